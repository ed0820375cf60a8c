"""The record of one caller's request: its permit, its spans and its outcome."""

from collections import Counter
from types import TracebackType
from typing import Protocol

from hemlockswitch.connection.intake import CallerRequest
from hemlockswitch.core.clock import MS_PER_SECOND, Clock
from hemlockswitch.core.errors import ErrorKind, HemlockError, Ran
from hemlockswitch.process.metrics import EntryMetrics
from hemlockswitch.process.reports import RequestReports

TRACE_HEADER = "X-Trace-Id"
OK = "ok"
CALLER_DISCONNECTED = "caller_gone"
CAPACITY_OUTCOMES = (ErrorKind.OVERLOADED.value, ErrorKind.NO_BACKEND.value)


class Permit(Protocol):
    """The right to run one admitted request."""

    def record_tokens(self, count: int) -> None:
        """Add to the number of tokens that the request used."""

    def close(self) -> None:
        """End the request and charge what it used."""

    def cancel(self) -> None:
        """End the request without a charge, since nothing was sent."""


class Admitter(Protocol):
    """Decides whether a request is admitted."""

    def admit(
        self,
        account: str,
        tokens_wanted: int,
        priority: int = 1,
        deadline_ms: float | None = None,
    ) -> Permit:
        """Return a permit, or raise a `RequestError` with the refusal."""


class RequestRecord:
    """A request from its first span to its outcome; a context manager.

    Parameters
    ==========

    records : counts the request.
    request_id : the request's id.
    target : the model or service that it is for.
    """

    def __init__(self, records: "RequestRecords", request_id: str, target: str) -> None:
        self._records = records
        self._request_id = request_id
        self._target = target
        self._permit: Permit | None = None
        self.started_ms = records.clock.now_ms()

    def admit(
        self, account: str, tokens_wanted: int, priority: int, deadline_ms: float | None
    ) -> None:
        """Obtain the permit; a refusal ends the record.

        Raises
        ======

        RequestError : the request was refused; nothing was sent.
        """
        self._records.reports.hop_began(self._request_id, "admission")
        try:
            self._permit = self._records.admission.admit(
                account, tokens_wanted, priority, deadline_ms
            )
        except BaseException as error:
            self.end(error)
            raise
        self._records.reports.hop_ended(self._request_id, "admission")

    def adopt_permit(self, permit: Permit) -> None:
        """Use a permit that the caller of this method obtained."""
        self._permit = permit

    def record_tokens(self, count: int) -> None:
        """Record tokens that the request used."""
        if self._permit is not None:
            self._permit.record_tokens(count)

    def end(self, error: BaseException | None = None) -> None:
        """Close the permit and the spans, and count the outcome."""
        permit, self._permit = self._permit, None
        if permit is not None:
            refund = isinstance(error, HemlockError) and error.answer.ran is Ran.NO
            permit.cancel() if refund else permit.close()
        self._records.count(self._request_id, self._target, _name_outcome(error))

    def __enter__(self) -> "RequestRecord":
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self.end(error)


class RequestRecords:
    """Creates the records of requests and counts their outcomes.

    Parameters
    ==========

    admission : decides whether requests are admitted.
    metrics : counts requests.
    reports : traces requests.
    clock : the process's clock.
    """

    def __init__(
        self, admission: Admitter, metrics: EntryMetrics, reports: RequestReports, clock: Clock
    ) -> None:
        self.admission = admission
        self.metrics = metrics
        self.reports = reports
        self.clock = clock
        self.in_progress = 0
        self.refused: Counter[str] = Counter()

    def begin(self, request: CallerRequest, target: str) -> RequestRecord:
        """Create a request's record and set the answer's `TRACE_HEADER`."""
        parent = request.headers.get("traceparent", "")
        trace_id = self.reports.request_began(request.request_id, target, parent)
        request.answer_headers[TRACE_HEADER] = trace_id
        self.in_progress += 1
        return RequestRecord(self, request.request_id, target)

    def count(self, request_id: str, target: str, outcome: str) -> None:
        """Count the outcome of a request."""
        self.in_progress -= 1
        self.metrics.requests.labels(target, outcome).inc()
        if outcome in CAPACITY_OUTCOMES:
            self.refused[target] += 1
        self.reports.request_ended(request_id, outcome)

    def observe_call(self, target: str, begun_ms: float) -> None:
        """Record the duration of a service call."""
        waited_ms = self.clock.now_ms() - begun_ms
        self.metrics.call_seconds.labels(target).observe(waited_ms / MS_PER_SECOND)


def _name_outcome(error: BaseException | None) -> str:
    """Return the outcome for the metrics: ok, an error kind, or that the caller disconnected."""
    if error is None:
        return OK
    return error.kind.value if isinstance(error, HemlockError) else CALLER_DISCONNECTED
