"""Results of a run of `hemlock-load`: counts, percentiles and problems found."""

from collections import Counter
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any

from hdrh.histogram import HdrHistogram

from hemlockswitch.core.clock import MS_PER_SECOND

US_PER_MS = 1_000
MAX_DURATION_US = 600_000_000
SIGNIFICANT_DIGITS = 3
PERCENTILES = (50, 90, 95, 99, 99.9)
MAX_RETAINED_PROBLEMS = 50


class Verdict(StrEnum):
    """Result of a request."""

    WHOLE = "whole"
    WRONG = "wrong"
    REFUSED = "refused"
    FAILED = "failed"
    UNKNOWN = "unknown"
    LEFT = "left"
    UNFINISHED = "unfinished"


@dataclass
class Outcome:
    """The outcome of a request from its caller's point of view.

    Parameters
    ==========

    tries : number of exchanges, including the first.
    refusals : error kinds of the refusals that were followed by a retry.
    problems : problems that the check of the answer found.
    recomputed_tokens : value reported in the answer's usage; None if it was not reported.
    """

    number: int
    account: str
    kind: str
    verdict: Verdict = Verdict.UNFINISHED
    error_kind: str = ""
    ran: str = ""
    tries: int = 0
    refusals: list[str] = field(default_factory=list)
    resumed: int = 0
    moved: int = 0
    lost_connections: int = 0
    tokens: int = 0
    first_token_ms: float | None = None
    gaps_ms: list[float] = field(default_factory=list)
    took_ms: float = 0
    problems: list[str] = field(default_factory=list)
    recomputed_tokens: int | None = None


class Distribution:
    """Histogram of durations.

    Examples
    ========

    >>> distribution = Distribution()
    >>> distribution.add(2.0)
    >>> distribution.describe()["count"]
    1
    """

    def __init__(self) -> None:
        self._histogram = HdrHistogram(1, MAX_DURATION_US, SIGNIFICANT_DIGITS)

    def add(self, duration_ms: float) -> None:
        """Add one duration."""
        self._histogram.record_value(min(max(int(duration_ms * US_PER_MS), 1), MAX_DURATION_US))

    def describe(self) -> dict[str, float]:
        """Return the count, and percentiles and maximum in milliseconds."""
        found: dict[str, float] = {"count": self._histogram.get_total_count()}
        for percentile in PERCENTILES:
            value_us = self._histogram.get_value_at_percentile(percentile)
            found[f"p{percentile:g}_ms"] = value_us / US_PER_MS
        found["max_ms"] = self._histogram.get_max_value() / US_PER_MS
        return found


class Results:
    """Accumulates the outcomes of a run."""

    def __init__(self) -> None:
        self.verdicts: Counter[str] = Counter()
        self.by_account: dict[str, Counter[str]] = {}
        self.by_kind: dict[str, Counter[str]] = {}
        self.errors: Counter[str] = Counter()
        self.refusals_retried: Counter[str] = Counter()
        self.totals: Counter[str] = Counter()
        self.problems: list[str] = []
        self.first_token = Distribution()
        self.token_gap = Distribution()
        self.call = Distribution()
        self.start_lag = Distribution()

    def add(self, outcome: Outcome) -> None:
        """Add the outcome of a request."""
        verdict = outcome.verdict.value
        self.verdicts[verdict] += 1
        self.by_account.setdefault(outcome.account, Counter())[verdict] += 1
        self.by_kind.setdefault(outcome.kind, Counter())[verdict] += 1
        if outcome.error_kind:
            self.errors[f"{outcome.error_kind}, ran {outcome.ran or 'not said'}"] += 1
        self.refusals_retried.update(outcome.refusals)
        for name in ("tries", "resumed", "moved", "lost_connections", "tokens"):
            self.totals[name] += getattr(outcome, name)
        if outcome.recomputed_tokens is not None:
            self.totals["recomputed_tokens"] += outcome.recomputed_tokens
        self._add_times(outcome)
        free = MAX_RETAINED_PROBLEMS - len(self.problems)
        described = [f"request {outcome.number}: {problem}" for problem in outcome.problems]
        self.problems.extend(described[:free])

    def _add_times(self, outcome: Outcome) -> None:
        if outcome.first_token_ms is not None:
            self.first_token.add(outcome.first_token_ms)
        for gap_ms in outcome.gaps_ms:
            self.token_gap.add(gap_ms)
        if outcome.kind == "call" and outcome.verdict is Verdict.WHOLE:
            self.call.add(outcome.took_ms)

    def describe(self, took_ms: float) -> dict[str, Any]:
        """Return the results as a JSON-serializable dictionary."""
        return {
            "requests": sum(self.verdicts.values()),
            "took_ms": took_ms,
            "verdicts": dict(self.verdicts),
            "by_account": {name: dict(counts) for name, counts in self.by_account.items()},
            "by_kind": {name: dict(counts) for name, counts in self.by_kind.items()},
            "errors": dict(self.errors),
            "refusals_retried": dict(self.refusals_retried),
            "totals": dict(self.totals),
            "tokens_per_s": self.totals["tokens"] / took_ms * MS_PER_SECOND if took_ms else 0,
            "first_token": self.first_token.describe(),
            "token_gap": self.token_gap.describe(),
            "call": self.call.describe(),
            "start_lag": self.start_lag.describe(),
            "problems": self.problems,
        }
