"""What the relay and the service calls report, turned into metrics."""

from typing import Any

from hemlockswitch.connection.callers import CallerRequest
from hemlockswitch.process.metrics import EntryMetrics
from hemlockswitch.request.generation import Generation
from hemlockswitch.version.backend import BackendServer


class RequestReports:
    """Hears of attempts and dispatches, and counts them.

    Parameters
    ==========

    metrics : where they are counted.
    """

    def __init__(self, metrics: EntryMetrics) -> None:
        self._metrics = metrics

    def attempt_began(self, generation: Generation) -> None:
        """Count an attempt by its cause."""
        self._metrics.attempts.labels(generation.cause.value).inc()

    def first_token(self, generation: Generation, waited_ms: float) -> None:
        """Note the time to the first token."""
        self._metrics.observe_first_token(generation.model, waited_ms)

    def attempt_ended(self, generation: Generation, recomputed_tokens: int, reason: str) -> None:
        """Count what was computed again."""
        self._metrics.count_recomputed(generation.cause.value, recomputed_tokens)

    def events_dropped(self, count: int) -> None:
        """Count dropped events."""
        self._metrics.dropped.inc(count)

    def dispatch_began(self, request: CallerRequest, server: BackendServer) -> dict[str, Any]:
        """Return the headers that carry the trace on."""
        parent = request.headers.get("traceparent")
        return {"traceparent": parent} if parent else {}

    def dispatch_ended(self, request: CallerRequest, outcome: str) -> None:
        """Nothing to count: the call itself is counted where it is answered."""
