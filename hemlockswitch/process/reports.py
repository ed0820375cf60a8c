"""Turns the reports of the relay and of service calls into metrics and spans."""

from dataclasses import dataclass, field
from typing import Protocol

from opentelemetry.trace import Span

from hemlockswitch.connection.intake import CallerRequest
from hemlockswitch.process.metrics import EntryMetrics
from hemlockswitch.process.traces import PARENT_HEADER, Tracing
from hemlockswitch.request.generation import Generation
from hemlockswitch.version.backend import BackendServer


class Identified(Protocol):
    """An object with a request's id: a model request's generation or a service call."""

    @property
    def request_id(self) -> str:
        """The id that every answer contains."""


@dataclass
class _Hops:
    """The open spans of one request."""

    root: Span
    open: dict[str, Span] = field(default_factory=dict)


class RequestReports:
    """Receives the events of requests, counts them and records a span for each hop.

    Parameters
    ==========

    metrics : the counters.
    tracing : creates spans.
    """

    def __init__(self, metrics: EntryMetrics, tracing: Tracing) -> None:
        self._metrics = metrics
        self._tracing = tracing
        self._hops: dict[str, _Hops] = {}

    def request_began(self, request_id: str, target: str, parent: str) -> str:
        """Start the caller's span and return the trace's id."""
        root = self._tracing.begin("caller", {"request_id": request_id, "target": target}, parent)
        self._hops[request_id] = _Hops(root)
        return self._tracing.find_trace_id(root)

    def request_ended(self, request_id: str, outcome: str) -> None:
        """End the caller's span and the hops that are still open in it."""
        hops = self._hops.pop(request_id, None)
        if hops is None:
            return
        error = "" if outcome == "ok" else outcome
        for span in hops.open.values():
            self._tracing.end(span, error)
        self._tracing.end(hops.root, error)

    def hop_began(self, request_id: str, name: str, **attributes: str | int) -> str:
        """Start a hop within the request; return the ``traceparent`` header for the next hop."""
        hops = self._hops.get(request_id)
        if hops is None:
            return ""
        span = self._tracing.begin(name, attributes, within=hops.root)
        hops.open[name] = span
        return self._tracing.make_parent_header(span)

    def hop_ended(self, request_id: str, name: str, error: str = "") -> None:
        """End a hop."""
        hops = self._hops.get(request_id)
        span = hops.open.pop(name, None) if hops else None
        if span is not None:
            self._tracing.end(span, error)

    def choice_began(self, request: Identified) -> None:
        """Start the routing hop."""
        self.hop_began(request.request_id, "routing")

    def choice_ended(self, request: Identified, server_name: str) -> None:
        """End the routing hop; an empty name means that no backend server was chosen."""
        self.hop_ended(request.request_id, "routing", "" if server_name else "no backend server")

    def attempt_began(self, generation: Generation) -> str:
        """Count an attempt by its cause and start its hop."""
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
        """Record the time to the first token."""
        self._metrics.observe_first_token(generation.model, waited_ms)

    def attempt_ended(self, generation: Generation, recomputed_tokens: int, reason: str) -> None:
        """Count the recomputed tokens and end the attempt's hop."""
        self._metrics.count_recomputed(generation.cause.value, recomputed_tokens)
        error = "" if reason in ("finished", "moved") else reason
        self.hop_ended(generation.request_id, "backend", error)

    def events_dropped(self, count: int) -> None:
        """Count dropped events."""
        self._metrics.dropped.inc(count)

    def dispatch_began(self, request: CallerRequest, server: BackendServer) -> dict[str, str]:
        """Start the hop of a service call; return the trace headers for the backend server."""
        parent = self.hop_began(request.request_id, "backend", server=server.name)
        return {PARENT_HEADER: parent} if parent else {}

    def dispatch_ended(self, request: CallerRequest, outcome: str) -> None:
        """End the hop of a service call."""
        self.hop_ended(request.request_id, "backend", "" if outcome == "answered" else outcome)
