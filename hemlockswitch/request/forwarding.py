"""Forwarding of a request: admission, send attempts to backend servers, and the reply to the caller.

`Forwarder` manages a request over all its attempts. `request/send_states.py` decides whether it may be
sent again and which error a failure is answered with; the view's placement chooses the server.
"""

import math
from http import HTTPStatus

import gevent

from hemlockswitch.connection.backend_pool import BackendPool
from hemlockswitch.connection.faults import log_fault
from hemlockswitch.connection.heads import ReceivedRequest
from hemlockswitch.connection.replies import CallerLeftError, Reply
from hemlockswitch.core.clock import MS_PER_SECOND, Clock
from hemlockswitch.core.errors import ErrorKind, Ran, RequestError
from hemlockswitch.request.clearance import CompleteAnswer, RequestGuard, clear_request
from hemlockswitch.request.dialect import Dialect, RequestFacts
from hemlockswitch.request.faults import describe_fault
from hemlockswitch.request.forward_admission import (
    AccountLimiter,
    AdmittedRequest,
    admit_request,
    give_back_cost,
)
from hemlockswitch.request.forwarding_view import ForwardingView
from hemlockswitch.request.placement import Placement
from hemlockswitch.request.placements import RETRY_DELAY_MS, Placements
from hemlockswitch.request.progress import ForwardObserver, Progress
from hemlockswitch.request.repeat_budget import RepeatBudget
from hemlockswitch.request.send_errors import LeavingError, OverdueError, SendFailedError
from hemlockswitch.request.send_states import (
    SendFailure,
    SendState,
    SendVerdict,
    judge_failure,
)
from hemlockswitch.request.sending import SendAttempt, Sender
from hemlockswitch.request.unreached_servers import UnreachedServers

START_WAIT_SHARE = 0.25
"""Fraction of the time to its deadline that a request may wait while this process starts."""


class Forwarder:
    """Serves forwarded requests.

    Parameters
    ==========

    dialect : the wire format of callers and backend servers.
    view : the process's state of configuration and servers.
    limiter : enforces the limits of client accounts.
    pool : connections to backend servers.
    guard : refuses quarantined requests.
    budget : limits repeated attempts.
    observer : is notified of attempts and of the end of requests.
    clock : the process's clock.
    """

    def __init__(
        self,
        dialect: Dialect,
        view: ForwardingView,
        limiter: AccountLimiter,
        pool: BackendPool,
        guard: RequestGuard,
        budget: RepeatBudget,
        observer: ForwardObserver,
        clock: Clock,
    ) -> None:
        self._dialect = dialect
        self._view = view
        self._limiter = limiter
        self._placements = Placements(view, clock)
        self._sender = Sender(dialect, view, pool, guard, observer, clock)
        self._guard = guard
        self._budget = budget
        self._observer = observer
        self._clock = clock
        self._is_leaving = False
        self._end_ms = math.inf
        self._in_progress: dict[gevent.Greenlet, tuple[Progress, Reply]] = {}

    def begin_leaving(self, end_ms: float) -> None:
        """Refuse from now on what is not expected to be answered before `end_ms`, unless it has been sent."""
        self._end_ms = end_ms

    def stop_admitting(self) -> None:
        """Refuse all new requests; those in progress continue."""
        self._is_leaving = True

    def end_requests(self) -> None:
        """Answer the requests in progress whose answers have not begun with an error.

        Those that were not sent to a server are refused as not run, so that their callers may send them elsewhere.
        """
        for task, (_, reply) in list(self._in_progress.items()):
            if not reply.begun and not reply.ended:
                task.kill(LeavingError(), block=False)

    def abandon_zone(self, zone: str) -> None:
        """Close the attempts in an unreachable zone whose requests may be sent again."""
        self._sender.abandon_zone(zone)

    def abandon_stalled(self, gateway: str = "") -> None:
        """Close the attempts on which nothing is received, if their requests may be sent again.

        These are the attempts that lead through a gateway, or the direct ones.
        """
        self._sender.abandon_stalled(gateway)

    def abandon_through(self, gateway: str) -> None:
        """Close the attempts that lead through a gateway, if their requests may be sent again."""
        self._sender.abandon_through(gateway)

    def handle(self, request: ReceivedRequest, reply: Reply) -> None:
        """Serve one request and write its reply."""
        clock = self._clock
        progress = Progress(request, UnreachedServers(clock), UnreachedServers(clock))
        task = gevent.getcurrent()
        self._in_progress[task] = progress, reply
        try:
            self._serve(progress, reply)
        except LeavingError:
            self._answer_leaving(progress, reply)
        except RequestError as error:
            if progress.admitted is not None and error.answer.ran is Ran.NO:
                give_back_cost(self._limiter, progress.admitted)
            self._answer_error(progress, reply, error)
        except CallerLeftError:
            progress.outcome = progress.outcome or "caller_gone"
            raise
        except Exception as fault:  # noqa: BLE001 - the caller must get an answer
            log_fault(progress.request_id, fault)
            self._answer_fault(progress, reply)
        finally:
            self._in_progress.pop(task, None)
            progress.status = reply.status
            self._report_ended(progress)

    def _serve(self, progress: Progress, reply: Reply) -> None:
        request = progress.request
        progress.facts = self._dialect.decode_request(request)
        self._view.await_synced(find_start_wait_ms(progress.facts))
        if self._is_leaving:
            raise RequestError(
                ErrorKind.LEAVING, "this process is shutting down and accepts no requests"
            )
        admitted = admit_request(self._view.get_table(), request, progress.facts, self._limiter)
        progress.admitted = admitted
        progress.last_event_id = progress.facts.last_event_id
        self._budget.earn(admitted.service)
        left_ms = admitted.deadline_ms - self._clock.now_ms()
        # An instance would keep its traceback, and with it the timer and what was received, in a cycle.
        timer = gevent.Timeout(max(left_ms, 0) / MS_PER_SECOND, OverdueError)
        timer.start()
        try:
            if continues_stream(admitted):
                progress.begun_version = self._view.find_begun_version(admitted)
            answer = self._send_until_answered(progress, admitted, reply)
        except OverdueError:
            self._give_up_overdue(progress, reply)
            return
        finally:
            timer.close()
        self._guard.record_complete_answer(admitted, answer)

    def _send_until_answered(
        self, progress: Progress, admitted: AdmittedRequest, reply: Reply
    ) -> CompleteAnswer:
        """Make attempts until a server has answered completely, and return its answer."""
        while True:
            if admitted.deadline_ms <= self._clock.now_ms():
                raise OverdueError
            self._clear(progress, admitted, reply)
            placement = self._placements.choose(progress, admitted, reply)
            self._check_end(progress, placement)
            sent_ms = self._clock.now_ms()
            continues = bool(progress.last_event_id)
            try:
                began_ms = self._sender.send(SendAttempt(progress, admitted, placement, reply))
                is_success = reply.status < HTTPStatus.MULTIPLE_CHOICES
                is_generated = is_success and not continues
                server = placement.candidate.server
                return CompleteAnswer(
                    server,
                    sent_ms,
                    began_ms,
                    is_generated,
                    progress.since_ms,
                    is_failure=reply.status >= HTTPStatus.INTERNAL_SERVER_ERROR,
                )
            except SendFailedError as failed:
                placement.release_permit()
                self._prepare_next_attempt(progress, admitted, placement, failed, reply)
            finally:
                placement.release_permit()

    def _check_end(self, progress: Progress, placement: Placement) -> None:
        """Refuse a request that was not sent, if its answer is not expected before this process ends."""
        if progress.state is not SendState.NOT_RUN or progress.sends:
            return
        if self._clock.now_ms() + placement.expected_ms > self._end_ms:
            placement.release_permit()
            raise RequestError(
                ErrorKind.LEAVING,
                f"this process ends before the answer, expected in {placement.expected_ms:.0f} ms",
            )

    def _clear(self, progress: Progress, admitted: AdmittedRequest, reply: Reply) -> None:
        """Raise if the request is quarantined; the error depends on whether it may have run."""
        ran = Ran.NO if progress.state is SendState.NOT_RUN else Ran.UNKNOWN
        try:
            progress.clearance = clear_request(
                self._guard, admitted, progress.clearance, is_first=not progress.sends, ran=ran
            )
        except RequestError as quarantined:
            if reply.begun:
                raise CallerLeftError(quarantined.detail) from quarantined
            raise

    def _prepare_next_attempt(
        self,
        progress: Progress,
        admitted: AdmittedRequest,
        placement: Placement,
        failed: SendFailedError,
        reply: Reply,
    ) -> None:
        """Record a failed attempt; raise if the request must not or cannot be sent again."""
        self._observer.attempt_failed(progress, failed.failure, failed.detail)
        progress.in_flight = False
        verdict = judge_failure(
            SendState.RELAYING if reply.begun else progress.state,
            failed.failure,
            is_repeatable=admitted.route.is_repeatable,
            was_sent=failed.was_sent,
        )
        progress.state = verdict.state
        progress.excluded.append(placement.candidate.server.incarnation)
        if failed.was_cut:
            # The guard tries to connect to the server, and the deadline may pass meanwhile: the
            # state of the request must be updated before.
            server = placement.candidate.server
            self._guard.record_broken_connection(admitted, server, progress.since_ms)
        if verdict.may_send_again and self._may_retry(progress, admitted, failed):
            return
        retry_after_ms = self._placements.find_retry_ms(progress, admitted)
        self._give_up(progress, verdict, failed.detail, retry_after_ms)

    def _may_retry(
        self, progress: Progress, admitted: AdmittedRequest, failed: SendFailedError
    ) -> bool:
        """Return whether the limits on attempts and the budget allow another attempt."""
        if failed.failure is SendFailure.UNREACHABLE:
            return progress.unreached.may_try_another()
        if failed.failure is SendFailure.WITHDRAWN:
            return progress.withdrawn.may_try_another()
        if len(progress.sends) >= admitted.route.max_attempts:
            return False
        return self._budget.take(admitted.service, self._view.count_daemons())

    @staticmethod
    def _give_up(
        progress: Progress, verdict: SendVerdict, detail: str, retry_after_ms: int
    ) -> None:
        if verdict.answer is None:
            progress.outcome = "broken_off"
            progress.detail = detail
            raise CallerLeftError(detail)
        if verdict.state is SendState.NOT_RUN:
            raise RequestError(verdict.answer, detail, retry_after_ms=retry_after_ms)
        raise RequestError(verdict.answer, detail)

    def _give_up_overdue(self, progress: Progress, reply: Reply) -> None:
        if reply.begun:
            progress.outcome = "overdue_midway"
            raise CallerLeftError("the deadline passed while the answer was relayed")
        verdict = judge_failure(
            progress.state,
            SendFailure.OVERDUE,
            is_repeatable=False,
            was_sent=progress.in_flight,
        )
        assert verdict.answer is not None
        progress.state = verdict.state
        raise RequestError(verdict.answer, "the deadline of the request has passed")

    def _answer_leaving(self, progress: Progress, reply: Reply) -> None:
        """Answer a request that is given up because this process ends."""
        if progress.state is SendState.NOT_RUN and not progress.in_flight:
            if progress.admitted is not None:
                give_back_cost(self._limiter, progress.admitted)
            error = RequestError(
                ErrorKind.LEAVING, "this process ends before the request was sent to a server"
            )
        else:
            error = RequestError(
                ErrorKind.OUTCOME_UNKNOWN, "this process ends before the server's answer"
            )
        self._answer_error(progress, reply, error)

    def _answer_fault(self, progress: Progress, reply: Reply) -> None:
        """Answer a request that an unexpected exception has ended, unless its answer is complete."""
        if reply.ended:
            return
        if reply.begun:
            progress.outcome = ErrorKind.INTERNAL.value
            raise CallerLeftError("an internal error while the answer was relayed")
        self._answer_error(progress, reply, describe_fault(progress))

    def _report_ended(self, progress: Progress) -> None:
        try:
            self._observer.request_ended(progress)
        except Exception as fault:  # noqa: BLE001 - the request has its answer
            log_fault(progress.request_id, fault)

    def _answer_error(self, progress: Progress, reply: Reply, error: RequestError) -> None:
        """Answer a request with an error; its reply must not have begun."""
        progress.outcome = error.kind.value
        progress.detail = error.detail
        answer = self._dialect.describe_error(error, progress.request_id)
        reply.send(answer.status, answer.reason, list(answer.headers), answer.body)


def continues_stream(admitted: AdmittedRequest) -> bool:
    """Return whether a request continues a stream that an earlier attempt of its caller began."""
    facts = admitted.facts
    return admitted.route.is_resumable and bool(facts.last_event_id or facts.resumes)


def find_start_wait_ms(facts: RequestFacts) -> float:
    """Return how long a request may wait while the process starts.

    The wait does not exceed the retry delay of a refusal, as the caller may retry only once.
    """
    if facts.time_left_ms is None:
        return RETRY_DELAY_MS
    return min(RETRY_DELAY_MS, facts.time_left_ms * START_WAIT_SHARE)
