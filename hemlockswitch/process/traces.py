"""OpenTelemetry traces: a span for each hop of a request, with context propagation.

Explanation
===========

Spans always have ids, so that an answer can name its trace. Their export is a setting: none (the
default) or to the log. A dedicated task writes the log from a bounded queue; when the queue is
full, spans are dropped, so that the export never delays a request.
"""

from collections.abc import Mapping, Sequence
from typing import Any, Self

from gevent.queue import Full, Queue
from opentelemetry.context import Context
from opentelemetry.sdk.resources import Resource
from opentelemetry.sdk.trace import ReadableSpan, SpanProcessor, TracerProvider
from opentelemetry.trace import Span, StatusCode, set_span_in_context
from opentelemetry.trace.propagation.tracecontext import TraceContextTextMapPropagator

from hemlockswitch.core.events import Event
from hemlockswitch.core.logs import log_event

NANOSECONDS_PER_MS = 1_000_000
MAX_QUEUED_SPANS = 2_048
PARENT_HEADER = "traceparent"

_propagator = TraceContextTextMapPropagator()


def describe_span(span: ReadableSpan) -> dict[str, Any]:
    """Return a span as the fields of a log line."""
    context = span.get_span_context()
    begun, ended = span.start_time or 0, span.end_time or 0
    return {
        "span": span.name,
        "trace_id": format(context.trace_id, "032x") if context else "",
        "span_id": format(context.span_id, "016x") if context else "",
        "parent_id": format(span.parent.span_id, "016x") if span.parent else "",
        "duration_ms": round((ended - begun) / NANOSECONDS_PER_MS, 3),
        **{key: value for key, value in (span.attributes or {}).items()},
    }


class LogExport(SpanProcessor):
    """Writes ended spans to the log in a dedicated task; drops them if its queue is full."""

    def __init__(self) -> None:
        self._queue: Queue[ReadableSpan] = Queue(MAX_QUEUED_SPANS)
        self.dropped = 0

    def on_end(self, span: ReadableSpan) -> None:
        """Queue an ended span, or drop it; never blocks."""
        try:
            self._queue.put_nowait(span)
        except Full:
            self.dropped += 1

    def run(self) -> None:
        """Write queued spans, without end."""
        while True:
            log_event(Event.SPAN_ENDED, **describe_span(self._queue.get()))


class Tracing:
    """Starts and ends spans.

    Parameters
    ==========

    process_name : identifies this process in each span.
    processors : receive every span when it ends.

    Examples
    ========

    >>> tracing = Tracing.from_setting("off", "entry-1")
    >>> root = tracing.begin("caller", {}, parent="00-" + "1" * 32 + "-" + "2" * 16 + "-01")
    >>> tracing.find_trace_id(root) == "1" * 32
    True
    >>> tracing.make_parent_header(root).split("-")[1] == "1" * 32
    True
    """

    def __init__(self, process_name: str, processors: Sequence[SpanProcessor] = ()) -> None:
        resource = Resource({"service.name": "hemlock-entry", "service.instance.id": process_name})
        self._provider = TracerProvider(resource=resource, shutdown_on_exit=False)
        for processor in processors:
            self._provider.add_span_processor(processor)
        self._tracer = self._provider.get_tracer("hemlockswitch")
        self.log_export = next((one for one in processors if isinstance(one, LogExport)), None)

    @classmethod
    def from_setting(cls, traces: str, process_name: str) -> Self:
        """Return the tracing for the value of the ``traces`` setting."""
        return cls(process_name, (LogExport(),) if traces == "log" else ())

    def begin(
        self,
        name: str,
        attributes: Mapping[str, str | int],
        parent: str = "",
        within: Span | None = None,
    ) -> Span:
        """Start a span under a ``traceparent`` header or within another span."""
        context = _read_parent(parent) if within is None else set_span_in_context(within)
        return self._tracer.start_span(name, context, attributes=dict(attributes))

    def end(self, span: Span, error: str = "") -> None:
        """End a span; if `error` is not empty, mark the span as failed."""
        if error:
            span.set_status(StatusCode.ERROR, error)
            span.set_attribute("error", error)
        span.end()

    @staticmethod
    def find_trace_id(span: Span) -> str:
        """Return the id of the span's trace."""
        return format(span.get_span_context().trace_id, "032x")

    @staticmethod
    def make_parent_header(span: Span) -> str:
        """Return the ``traceparent`` header for spans that other processes start under `span`."""
        carrier: dict[str, str] = {}
        _propagator.inject(carrier, set_span_in_context(span))
        return carrier.get(PARENT_HEADER, "")


def _read_parent(header: str) -> Context | None:
    """Return the context in a ``traceparent`` header; a malformed one is ignored."""
    return _propagator.extract({PARENT_HEADER: header}) if header else None
