"""Forwarding of one request: admitted, sent to a backend server, and relayed to its caller.

`Forwarder` follows a request over all its sends. What may be sent again, and what a failure may
be answered with, is decided by `request/send_states.py`; where it goes by the view's placement.
"""

from collections.abc import Sequence
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import Protocol

import gevent

from hemlockswitch.connection.backend_pool import BackendPool, PooledExchange
from hemlockswitch.connection.backends import ExchangeError, Stage
from hemlockswitch.connection.forward_server import CallerLeftError, Reply
from hemlockswitch.connection.heads import ReceivedRequest
from hemlockswitch.connection.message_parsers import ParsedAnswer
from hemlockswitch.core.clock import MS_PER_SECOND, Clock
from hemlockswitch.core.errors import ErrorKind, RequestError
from hemlockswitch.request.dialect import Dialect, RequestFacts, SendFields
from hemlockswitch.request.event_stream import EventSplitter
from hemlockswitch.request.forward_admission import (
    AccountLimiter,
    AdmittedRequest,
    admit_request,
)
from hemlockswitch.request.overload import find_return_ms
from hemlockswitch.request.placement import Placement
from hemlockswitch.request.repeat_budget import RepeatBudget
from hemlockswitch.request.send_states import (
    SendFailure,
    SendState,
    SendVerdict,
    judge_failure,
)
from hemlockswitch.version.serving_table import RequestKind, ServingTable

MOST_ANSWER_BYTES = 16 * 1024 * 1024
REUSE_IDLE_MS = 60_000.0
"""Requests that may be repeated use any kept connection; the pool bounds its age."""
REUSE_IDLE_AT_MOST_ONCE_MS = 1_000.0
"""Requests that may run only once avoid connections that were idle for longer: a server that
closes one at the same moment leaves it unknown whether the request ran."""
MOST_UNREACHABLE = 4
"""Servers that are tried without a connection before the request is given up; none of these
tries reaches a server, so they cost no budget."""
COME_BACK_MS = 500
"""When to come back if no server could take the request: about the time in which a started copy
or a repaired list of servers shows up."""


class SendTicket(Protocol):
    """One send that is in progress, in the load that this daemon knows of."""

    def note_first_event(self) -> None:
        """The answer has begun: the prompt is read."""

    def end(self, failed: bool) -> None:
        """The send is over; `failed` counts against the server."""


class ForwardingView(Protocol):
    """What the process knows, as forwarding needs it."""

    def get_table(self) -> ServingTable | None:
        """Return the configuration in force."""

    def place(self, admitted: AdmittedRequest, excluded: Sequence[str]) -> Placement | None:
        """Return the server for the next send, or None when there is none."""

    def begin_send(self, admitted: AdmittedRequest, placement: Placement) -> SendTicket:
        """Count a send."""

    def note_misdirected(self, server_name: str) -> None:
        """The address belongs to another server by now."""

    def count_daemons(self) -> int:
        """Return how many daemons share the budgets."""


class ForwardObserver(Protocol):
    """Hears what became of requests, for logs, metrics and usage counts."""

    def attempt_failed(self, progress: "Progress", failure: SendFailure, detail: str) -> None:
        """One send failed."""

    def request_began(self, progress: "Progress") -> None:
        """A backend server has begun to answer."""

    def request_ended(self, progress: "Progress") -> None:
        """The request is over."""


@dataclass
class Progress:
    """What happened to one request so far; kept for its log line."""

    request: ReceivedRequest
    facts: RequestFacts | None = None
    admitted: AdmittedRequest | None = None
    state: SendState = SendState.NOT_RUN
    sends: list[str] = field(default_factory=list)
    excluded: list[str] = field(default_factory=list)
    unreachable: int = 0
    in_flight: bool = False
    expected_ms: float = 0.0
    began_ms: float | None = None
    last_event_id: str = ""
    outcome: str = ""
    status: int = 0
    detail: str = ""


class SendFailedError(Exception):
    """One send failed; nothing or only whole events of it went to the caller."""

    def __init__(self, failure: SendFailure, detail: str, was_sent: bool) -> None:
        super().__init__(detail)
        self.failure = failure
        self.detail = detail
        self.was_sent = was_sent


class OverdueError(Exception):
    """The request's time is up."""


class Forwarder:
    """Serves forwarded requests.

    Parameters
    ==========

    dialect : the wire format of callers and backend servers.
    view : what the process knows.
    limiter : the limits of client accounts.
    pool : connections to backend servers.
    budget : bounds repeated sends.
    observer : hears what happens.
    clock : the time.
    """

    def __init__(
        self,
        dialect: Dialect,
        view: ForwardingView,
        limiter: AccountLimiter,
        pool: BackendPool,
        budget: RepeatBudget,
        observer: ForwardObserver,
        clock: Clock,
    ) -> None:
        self._dialect = dialect
        self._view = view
        self._limiter = limiter
        self._pool = pool
        self._budget = budget
        self._observer = observer
        self._clock = clock
        self._is_leaving = False

    def stop_admitting(self) -> None:
        """Refuse every request from now on; those in progress are finished."""
        self._is_leaving = True

    def handle(self, request: ReceivedRequest, reply: Reply) -> None:
        """Serve one request and write its reply."""
        progress = Progress(request)
        try:
            self._serve(progress, reply)
        except RequestError as error:
            self._answer_error(progress, reply, error)
        except CallerLeftError:
            progress.outcome = progress.outcome or "caller_gone"
            raise
        finally:
            progress.status = reply.status
            self._observer.request_ended(progress)

    def _serve(self, progress: Progress, reply: Reply) -> None:
        request = progress.request
        progress.facts = self._dialect.decode_request(request)
        if self._is_leaving:
            raise RequestError(ErrorKind.LEAVING, "this process ends before it could answer")
        admitted = admit_request(self._view.get_table(), request, progress.facts, self._limiter)
        progress.admitted = admitted
        progress.last_event_id = progress.facts.last_event_id
        self._budget.earn(admitted.service)
        left_ms = admitted.deadline_ms - self._clock.now_ms()
        timer = gevent.Timeout(max(left_ms, 0) / MS_PER_SECOND, OverdueError())
        timer.start()
        try:
            self._send_until_answered(progress, admitted, reply)
        except OverdueError:
            self._give_up_overdue(progress, reply)
        finally:
            timer.close()

    def _send_until_answered(
        self, progress: Progress, admitted: AdmittedRequest, reply: Reply
    ) -> None:
        while True:
            if admitted.deadline_ms <= self._clock.now_ms():
                raise OverdueError
            placement = self._choose(progress, admitted, reply)
            try:
                self._send_once(progress, admitted, placement, reply)
                return
            except SendFailedError as failed:
                self._prepare_again(progress, admitted, placement, failed, reply)

    def _choose(self, progress: Progress, admitted: AdmittedRequest, reply: Reply) -> Placement:
        placement = self._view.place(admitted, progress.excluded)
        if placement is None and progress.excluded:
            placement = self._view.place(admitted, ())
        if placement is not None:
            progress.expected_ms = placement.expected_ms
            self._check_queue(progress, admitted, placement)
            return placement
        if reply.begun:
            raise CallerLeftError("no server is left for the rest of the answer")
        if progress.state is SendState.NOT_RUN:
            detail = f"no server of {admitted.service} is known"
            raise RequestError(ErrorKind.NO_BACKEND, detail, retry_after_ms=COME_BACK_MS)
        raise RequestError(ErrorKind.OUTCOME_UNKNOWN, "no other server is left")

    @staticmethod
    def _check_queue(progress: Progress, admitted: AdmittedRequest, placement: Placement) -> None:
        """Refuse a new model request that would wait too long; one under way goes on."""
        if admitted.facts.prompt is None or progress.sends or progress.last_event_id:
            return
        return_ms = find_return_ms(placement, admitted.queue_bound)
        if return_ms is not None:
            detail = f"a first event is expected after {placement.expected_ms:.0f} ms"
            raise RequestError(ErrorKind.OVERLOADED, detail, retry_after_ms=round(return_ms))

    def _prepare_again(
        self,
        progress: Progress,
        admitted: AdmittedRequest,
        placement: Placement,
        failed: SendFailedError,
        reply: Reply,
    ) -> None:
        """Note a failed send; raise when the request must not or cannot be sent again."""
        self._observer.attempt_failed(progress, failed.failure, failed.detail)
        progress.in_flight = False
        verdict = judge_failure(
            SendState.RELAYING if reply.begun else progress.state,
            failed.failure,
            is_repeatable=admitted.route.is_repeatable,
            was_sent=failed.was_sent,
        )
        progress.state = verdict.state
        progress.excluded.append(placement.candidate.server.name)
        if verdict.may_send_again and self._may_spend(progress, admitted, failed):
            return
        self._give_up(progress, verdict, failed.detail)

    def _may_spend(
        self, progress: Progress, admitted: AdmittedRequest, failed: SendFailedError
    ) -> bool:
        """Return whether attempts and budget allow another send."""
        if failed.failure is SendFailure.UNREACHABLE:
            progress.unreachable += 1
            return progress.unreachable < MOST_UNREACHABLE
        if len(progress.sends) >= admitted.route.max_attempts:
            return False
        return self._budget.take(admitted.service, self._view.count_daemons())

    @staticmethod
    def _give_up(progress: Progress, verdict: SendVerdict, detail: str) -> None:
        if verdict.answer is None:
            progress.outcome = "broken_off"
            progress.detail = detail
            raise CallerLeftError(detail)
        if verdict.state is SendState.NOT_RUN:
            raise RequestError(verdict.answer, detail, retry_after_ms=COME_BACK_MS)
        raise RequestError(verdict.answer, detail)

    def _give_up_overdue(self, progress: Progress, reply: Reply) -> None:
        if reply.begun:
            progress.outcome = "overdue_midway"
            raise CallerLeftError("the time is up inside the answer")
        verdict = judge_failure(
            progress.state,
            SendFailure.OVERDUE,
            is_repeatable=False,
            was_sent=progress.in_flight,
        )
        assert verdict.answer is not None
        progress.state = verdict.state
        raise RequestError(verdict.answer, "the time is up")

    def _send_once(
        self,
        progress: Progress,
        admitted: AdmittedRequest,
        placement: Placement,
        reply: Reply,
    ) -> None:
        """Send to one server and relay its answer.

        Raises
        ======

        SendFailedError : there is no complete answer.
        """
        exchange = self._open(admitted, placement)
        ticket = self._view.begin_send(admitted, placement)
        progress.sends.append(placement.candidate.server.name)
        progress.in_flight = True
        failed = True
        try:
            exchange.send(self._encode(progress, admitted, placement))
            answer = exchange.read_head()
            self._check_run(answer, placement)
            ticket.note_first_event()
            self._relay(progress, admitted, exchange, reply)
            failed = answer.status >= HTTPStatus.INTERNAL_SERVER_ERROR
        except ExchangeError as error:
            raise SendFailedError(SendFailure.BROKEN, error.detail, True) from error
        except (CallerLeftError, OverdueError):
            failed = False
            raise
        except SendFailedError as error:
            failed = error.failure is not SendFailure.DECLINED
            raise
        finally:
            ticket.end(failed)
            self._pool.finish(exchange)

    def _open(self, admitted: AdmittedRequest, placement: Placement) -> PooledExchange:
        request_id = admitted.facts.request_id
        is_once = not admitted.route.is_repeatable
        try:
            return self._pool.open(
                placement.candidate.server.address,
                admitted.request.method,
                lambda answer: self._dialect.is_answer_to(answer, request_id),
                most_idle_ms=REUSE_IDLE_AT_MOST_ONCE_MS if is_once else REUSE_IDLE_MS,
                timeout_ms=max(admitted.deadline_ms - self._clock.now_ms(), 1.0),
            )
        except ExchangeError as error:
            assert error.stage is Stage.BEFORE_SEND
            raise SendFailedError(SendFailure.UNREACHABLE, error.detail, False) from error

    def _encode(self, progress: Progress, admitted: AdmittedRequest, placement: Placement) -> bytes:
        fields = SendFields(
            server_name=placement.candidate.server.name,
            time_left_ms=max(admitted.deadline_ms - self._clock.now_ms(), 1.0),
            account=admitted.account.name if admitted.account else "",
            urgency=admitted.urgency,
            last_event_id=progress.last_event_id,
        )
        return self._dialect.encode_request(admitted.request, admitted.facts, fields)

    def _check_run(self, answer: ParsedAnswer, placement: Placement) -> None:
        """Raise unless the server ran the request and the answer is its own."""
        if self._dialect.states_not_run(answer):
            if answer.status == HTTPStatus.MISDIRECTED_REQUEST:
                self._view.note_misdirected(placement.candidate.server.name)
            detail = f"declined with {answer.status}"
            raise SendFailedError(SendFailure.DECLINED, detail, True)
        if not self._dialect.is_genuine(answer):
            detail = f"a {answer.status} that is not the server's own"
            raise SendFailedError(SendFailure.BROKEN, detail, True)

    def _relay(
        self,
        progress: Progress,
        admitted: AdmittedRequest,
        exchange: PooledExchange,
        reply: Reply,
    ) -> None:
        answer = exchange.answer
        is_success = answer.status < HTTPStatus.BAD_REQUEST
        if admitted.route.kind is RequestKind.STREAM and is_success:
            self._relay_stream(progress, admitted, exchange, reply)
        else:
            self._relay_whole(progress, admitted, exchange, reply)
        progress.outcome = "answered"

    def _relay_whole(
        self,
        progress: Progress,
        admitted: AdmittedRequest,
        exchange: PooledExchange,
        reply: Reply,
    ) -> None:
        """Read the whole answer before any of it goes to the caller."""
        answer = exchange.answer
        body = exchange.read_body(MOST_ANSWER_BYTES)
        is_failure = answer.status >= HTTPStatus.INTERNAL_SERVER_ERROR
        if is_failure and admitted.route.is_repeatable and self._has_another_try(progress):
            raise SendFailedError(SendFailure.BROKEN, f"the server failed: {answer.status}", True)
        if reply.begun:
            raise SendFailedError(SendFailure.BROKEN, f"no stream but {answer.status}", True)
        self._note_begun(progress)
        headers = self._dialect.select_answer_headers(answer)
        reply.send(answer.status, answer.reason, headers, body)

    def _has_another_try(self, progress: Progress) -> bool:
        admitted = progress.admitted
        assert admitted is not None
        if len(progress.sends) >= admitted.route.max_attempts:
            return False
        return self._view.place(admitted, [*progress.excluded, *progress.sends]) is not None

    def _relay_stream(
        self,
        progress: Progress,
        admitted: AdmittedRequest,
        exchange: PooledExchange,
        reply: Reply,
    ) -> None:
        """Relay the events as they come; of a stream that can go on elsewhere whole ones only."""
        splitter = EventSplitter() if admitted.route.is_resumable else None
        while piece := exchange.read_piece():
            if splitter is not None:
                whole = splitter.feed(piece)
                piece = whole.data
                progress.last_event_id = whole.last_id or progress.last_event_id
            if piece:
                self._begin_reply(progress, exchange.answer, reply)
                reply.write(piece)
        self._begin_reply(progress, exchange.answer, reply)
        if splitter is not None:
            reply.write(splitter.rest)
        reply.end()

    def _begin_reply(self, progress: Progress, answer: ParsedAnswer, reply: Reply) -> None:
        """Send the head of the first server's answer before its first event."""
        if reply.begun:
            return
        self._note_begun(progress)
        headers = self._dialect.select_answer_headers(answer)
        reply.begin(answer.status, answer.reason, headers)

    def _note_begun(self, progress: Progress) -> None:
        progress.began_ms = self._clock.now_ms()
        self._observer.request_began(progress)

    def _answer_error(self, progress: Progress, reply: Reply, error: RequestError) -> None:
        """Answer a request that failed here, unless its answer has begun."""
        progress.outcome = error.kind.value
        progress.detail = error.detail
        request_id = progress.facts.request_id if progress.facts else ""
        answer = self._dialect.describe_error(error, request_id)
        reply.send(answer.status, answer.reason, list(answer.headers), answer.body)
