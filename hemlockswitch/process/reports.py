"""What the relay and the service calls report, turned into metrics and spans."""

from dataclasses import dataclass, field
from typing import Protocol

from opentelemetry.trace import Span

from hemlockswitch.connection.intake import CallerRequest
from hemlockswitch.process.metrics import EntryMetrics
from hemlockswitch.process.traces import PARENT_HEADER, Tracing
from hemlockswitch.request.generation import Generation
from hemlockswitch.version.backend import BackendServer


class Identified(Protocol):
    """What has a request's id: a model request's generation or a service's call."""

    @property
    def request_id(self) -> str:
        """The id in every answer."""


@dataclass
class _Hops:
    """The open spans of one request."""

    root: Span
    open: dict[str, Span] = field(default_factory=dict)


class RequestReports:
    """Hears what happens to requests; counts it and keeps a span for each hop.

    Parameters
    ==========

    metrics : where it is counted.
    tracing : where spans come from.
    """

    def __init__(self, metrics: EntryMetrics, tracing: Tracing) -> None:
        self._metrics = metrics
        self._tracing = tracing
        self._hops: dict[str, _Hops] = {}

    def request_began(self, request_id: str, target: str, parent: str) -> str:
        """Begin the caller's span and return the trace's id."""
        root = self._tracing.begin("caller", {"request_id": request_id, "target": target}, parent)
        self._hops[request_id] = _Hops(root)
        return self._tracing.find_trace_id(root)

    def request_ended(self, request_id: str, outcome: str) -> None:
        """End the caller's span and whatever hop is still open in it."""
        hops = self._hops.pop(request_id, None)
        if hops is None:
            return
        error = "" if outcome == "ok" else outcome
        for span in hops.open.values():
            self._tracing.end(span, error)
        self._tracing.end(hops.root, error)

    def hop_began(self, request_id: str, name: str, **attributes: str | int) -> str:
        """Begin a hop within the request; return the header that carries the trace on."""
        hops = self._hops.get(request_id)
        if hops is None:
            return ""
        span = self._tracing.begin(name, attributes, within=hops.root)
        hops.open[name] = span
        return self._tracing.find_parent(span)

    def hop_ended(self, request_id: str, name: str, error: str = "") -> None:
        """End a hop."""
        hops = self._hops.get(request_id)
        span = hops.open.pop(name, None) if hops else None
        if span is not None:
            self._tracing.end(span, error)

    def choice_began(self, request: Identified) -> None:
        """A backend server is being chosen."""
        self.hop_began(request.request_id, "routing")

    def choice_ended(self, request: Identified, server_name: str) -> None:
        """It was chosen, or none was when the name is empty."""
        self.hop_ended(request.request_id, "routing", "" if server_name else "no backend server")

    def attempt_began(self, generation: Generation) -> str:
        """Count an attempt by its cause, and begin its hop."""
        self._metrics.attempts.labels(generation.cause.value).inc()
        return self.hop_began(
            generation.request_id,
            "backend",
            server=generation.server.name if generation.server else "",
            stream_id=generation.stream_id,
            cause=generation.cause.value,
            position=len(generation.tokens),
        )

    def first_token(self, generation: Generation, waited_ms: float) -> None:
        """Note the time to the first token."""
        self._metrics.observe_first_token(generation.model, waited_ms)

    def attempt_ended(self, generation: Generation, recomputed_tokens: int, reason: str) -> None:
        """Count what was computed again, and end the attempt's hop."""
        self._metrics.count_recomputed(generation.cause.value, recomputed_tokens)
        error = "" if reason in ("finished", "moved") else reason
        self.hop_ended(generation.request_id, "backend", error)

    def events_dropped(self, count: int) -> None:
        """Count dropped events."""
        self._metrics.dropped.inc(count)

    def dispatch_began(self, request: CallerRequest, server: BackendServer) -> dict[str, str]:
        """Begin the hop of a service call; return the headers that carry the trace on."""
        parent = self.hop_began(request.request_id, "backend", server=server.name)
        return {PARENT_HEADER: parent} if parent else {}

    def dispatch_ended(self, request: CallerRequest, outcome: str) -> None:
        """End the hop of a service call."""
        self.hop_ended(request.request_id, "backend", "" if outcome == "answered" else outcome)
