"""The entry daemon's Prometheus metrics, with units in their names."""

from collections import Counter as Tally

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram, generate_latest

from hemlockswitch.core.clock import MS_PER_SECOND
from hemlockswitch.core.errors import ErrorKind

FIRST_TOKEN_BUCKETS = (0.025, 0.05, 0.1, 0.2, 0.4, 0.6, 0.83, 1.2, 2.0, 4.0, 8.0)
TOKEN_GAP_BUCKETS = (0.005, 0.01, 0.02, 0.03, 0.04, 0.06, 0.1, 0.2, 0.5, 1.0, 3.0)
CALL_BUCKETS = (0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 10.0)

LIMITING_KINDS = (
    ErrorKind.REQUEST_LIMIT,
    ErrorKind.TOKEN_LIMIT,
    ErrorKind.CONCURRENCY_LIMIT,
    ErrorKind.OVERLOADED,
    ErrorKind.NO_BACKEND,
)


class EntryMetrics:
    """The metrics of the entry daemon.

    Examples
    ========

    >>> metrics = EntryMetrics()
    >>> metrics.count_recomputed("reclaim", 12)
    >>> b'hemlock_recomputed_tokens_total{cause="reclaim"} 12.0' in metrics.render()
    True
    """

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self._build_request_counters()
        self._build_histograms()
        self._build_outcome_counters()
        self._build_gauges()

    def _build_request_counters(self) -> None:
        self.requests = Counter(
            "hemlock_requests",
            "Requests answered, by target and outcome (ok or the error kind).",
            ["target", "outcome"],
            registry=self.registry,
        )
        self.recomputed = Counter(
            "hemlock_recomputed_tokens",
            "Tokens that engines computed again, by cause.",
            ["cause"],
            registry=self.registry,
        )
        self.relayed = Counter(
            "hemlock_relayed_tokens", "Tokens passed on to callers.", registry=self.registry
        )
        self.dropped = Counter(
            "hemlock_dropped_events",
            "Engine events dropped because they were late or doubled.",
            registry=self.registry,
        )
        self.attempts = Counter(
            "hemlock_attempts",
            "Attempts on backend servers, by cause.",
            ["cause"],
            registry=self.registry,
        )

    def _build_histograms(self) -> None:
        self.first_token = Histogram(
            "hemlock_first_token_seconds",
            "Time from the admitted request to its first token.",
            ["model"],
            buckets=FIRST_TOKEN_BUCKETS,
            registry=self.registry,
        )
        self.token_gap = Histogram(
            "hemlock_token_gap_seconds",
            "Mean time between tokens of one answer.",
            ["model"],
            buckets=TOKEN_GAP_BUCKETS,
            registry=self.registry,
        )
        self.call_seconds = Histogram(
            "hemlock_service_call_seconds",
            "Time of a plain service's answer.",
            ["service"],
            buckets=CALL_BUCKETS,
            registry=self.registry,
        )

    def _build_outcome_counters(self) -> None:
        self.claims = Counter(
            "hemlock_claims",
            "Calls with an idempotency key, by what became of their claim.",
            ["outcome"],
            registry=self.registry,
        )
        self.handovers = Counter(
            "hemlock_handovers",
            "Generations that changed their daemon, by what became of them.",
            ["outcome"],
            registry=self.registry,
        )

    def _build_gauges(self) -> None:
        self.shares_in_term = Gauge(
            "hemlock_limit_shares_in_term",
            "1 while this daemon's shares of the limits are renewed.",
            registry=self.registry,
        )
        self.in_progress = Gauge(
            "hemlock_requests_in_progress", "Requests in progress.", registry=self.registry
        )
        self.revision = Gauge(
            "hemlock_revision_number",
            "The configuration in force.",
            registry=self.registry,
        )

    def count_claim(self, outcome: str) -> None:
        """Count the outcome of a call's claim."""
        self.claims.labels(outcome).inc()

    def count_handover(self, outcome: str) -> None:
        """Count the outcome of a generation that moves to another daemon."""
        self.handovers.labels(outcome).inc()

    def count_recomputed(self, cause: str, tokens: int) -> None:
        """Count tokens that were recomputed because of `cause`."""
        if tokens:
            self.recomputed.labels(cause).inc(tokens)

    def observe_first_token(self, model: str, waited_ms: float) -> None:
        """Record the time to a request's first token."""
        self.first_token.labels(model).observe(waited_ms / MS_PER_SECOND)

    def observe_answer(self, model: str, tokens: int, streamed_ms: float) -> None:
        """Record an answer's number of tokens and the time from the first to the last token."""
        self.relayed.inc(tokens)
        if tokens > 1:
            gap_ms = streamed_ms / (tokens - 1)
            self.token_gap.labels(model).observe(gap_ms / MS_PER_SECOND)

    def count_refusals(self) -> dict[str, int]:
        """Return the number of requests that each limit refused since the process started."""
        counts: Tally[str] = Tally()
        for family in self.requests.collect():
            for sample in family.samples:
                if sample.name.endswith("_total") and sample.labels["outcome"] in LIMITING_KINDS:
                    counts[sample.labels["outcome"]] += int(sample.value)
        return dict(counts)

    def render(self) -> bytes:
        """Return the metrics as Prometheus text."""
        return generate_latest(self.registry)
