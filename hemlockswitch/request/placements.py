"""Choice of the server for each attempt of a request, with the wait for a permit if the server needs one."""

from hemlockswitch.connection.replies import CallerLeftError, Reply
from hemlockswitch.core.clock import Clock
from hemlockswitch.core.errors import ErrorKind, RequestError
from hemlockswitch.request.dispatch import Verdict
from hemlockswitch.request.forward_admission import AdmittedRequest
from hemlockswitch.request.forwarding_view import ForwardingView
from hemlockswitch.request.overload import find_retry_delay_ms
from hemlockswitch.request.placement import Placement
from hemlockswitch.request.progress import Progress
from hemlockswitch.request.send_states import SendState

RETRY_DELAY_MS = 500
"""Retry delay for the caller if no server could take the request: about the time until a started copy or
a corrected list of servers becomes visible."""
MIN_SLOT_RETRY_MS = 100
RESUME_WAIT_MS = 1_500.0
"""Maximum wait for a permit to continue an answer that has begun: callers abandon a stream that pauses for
two seconds."""
SLOT_WAIT_SHARE = 0.125
"""Fraction of the time to its deadline that a request may wait for a slot of a brittle server."""


class Placements:
    """Chooses the servers of requests.

    Parameters
    ==========

    view : the process's state of configuration and servers.
    clock : the process's clock.
    """

    def __init__(self, view: ForwardingView, clock: Clock) -> None:
        self._view = view
        self._clock = clock

    def choose(self, progress: Progress, admitted: AdmittedRequest, reply: Reply) -> Placement:
        """Return the server for the next attempt; wait for a permit if one is expected soon.

        Raises
        ======

        RequestError : no server can take the request now.
        CallerLeftError : no server can continue the answer that has begun.
        """
        self._confirm_version(progress, admitted, reply)
        placement = self._await_slot(progress, admitted) or self._place(progress, admitted)
        if placement is None:
            placement = self._await_permit(progress, admitted, reply)
        if placement is not None:
            progress.target = placement.candidate.server.name
            progress.expected_ms = placement.expected_ms
            progress.list_age_ms = placement.list_age_ms
            try:
                self._check_queue(progress, admitted, placement)
            except BaseException:
                placement.release_permit()
                raise
            return placement
        raise self._describe_missing_server(progress, admitted, reply)

    def _confirm_version(self, progress: Progress, admitted: AdmittedRequest, reply: Reply) -> None:
        """Wait until the version of a stream that has begun in this answer is certain."""
        if not reply.begun or progress.begun_version is None or not admitted.route.is_resumable:
            return
        try:
            progress.begun_version = self._view.confirm_begun_version(
                admitted, progress.begun_version
            )
        except RequestError as error:
            raise CallerLeftError(error.detail) from error

    def _await_slot(self, progress: Progress, admitted: AdmittedRequest) -> Placement | None:
        """Return the server that the dispatcher of a plain service assigns; None unless one does.

        A request that may have run is not refused, since the refusal would state that it has not.
        """
        if admitted.facts.prompt is not None or progress.clearance.is_careful:
            return None
        if progress.begun_version is not None:
            return None
        outcome = self._view.dispatch(admitted, progress.excluded)
        if outcome is None:
            return None
        progress.dispatched = f"{outcome.verdict.value} by {outcome.dispatcher}: {outcome.detail}"
        if outcome.verdict is Verdict.REFUSED and progress.state is SendState.NOT_RUN:
            detail = f"overloaded: {outcome.detail}"
            retry_ms = max(round(outcome.retry_ms), 1)
            raise RequestError(ErrorKind.OVERLOADED, detail, retry_after_ms=retry_ms)
        return outcome.placement

    def _place(self, progress: Progress, admitted: AdmittedRequest) -> Placement | None:
        """Choose a server; one on which an attempt failed is chosen only if there is no other."""
        is_careful = progress.clearance.is_careful
        begun_version = progress.begun_version
        placement = self._view.place(
            admitted, progress.excluded, is_careful=is_careful, begun_version=begun_version
        )
        if placement is None and progress.excluded:
            placement = self._view.place(
                admitted, (), is_careful=is_careful, begun_version=begun_version
            )
        return placement

    def _await_permit(
        self, progress: Progress, admitted: AdmittedRequest, reply: Reply
    ) -> Placement | None:
        """Choose a server as soon as a permit for one is available or the rest of one ends, if it is soon.

        A slot of a brittle server and the end of a rest are waited for as in the queue that other servers have;
        a permit of a rate limit only to continue a begun answer.
        """
        now_ms = self._clock.now_ms()
        until_ms = now_ms + SLOT_WAIT_SHARE * (admitted.deadline_ms - now_ms)
        if reply.begun:
            until_ms = now_ms + RESUME_WAIT_MS
        while True:
            delay_ms = self._find_wait_ms(progress, admitted)
            if delay_ms is None and reply.begun:
                delay_ms = self._view.find_permit_delay_ms(admitted, progress.begun_version)
            if delay_ms is None or self._clock.now_ms() + delay_ms > until_ms:
                return None
            self._clock.sleep_ms(delay_ms)
            placement = self._place(progress, admitted)
            if placement is not None:
                return placement

    def _find_wait_ms(self, progress: Progress, admitted: AdmittedRequest) -> float | None:
        """Return when a slot of a brittle server or the end of a rest is expected, in ms from now, or None."""
        delay_ms = self._view.find_rest_delay_ms(admitted, progress.begun_version)
        if delay_ms is not None:
            return delay_ms
        return self._view.find_slot_delay_ms(admitted, progress.begun_version)

    def find_retry_ms(self, progress: Progress, admitted: AdmittedRequest) -> int:
        """Return the retry delay of a request that no other server may get now."""
        delay_ms = self._view.find_rest_delay_ms(admitted, progress.begun_version)
        return RETRY_DELAY_MS if delay_ms is None else max(round(delay_ms), MIN_SLOT_RETRY_MS)

    def _describe_missing_server(
        self, progress: Progress, admitted: AdmittedRequest, reply: Reply
    ) -> Exception:
        """Return the error for a request for which no server could be chosen."""
        if reply.begun:
            return CallerLeftError("no server is left to continue the answer")
        if progress.state is not SendState.NOT_RUN:
            detail = "no backend server is left for another attempt"
            return RequestError(ErrorKind.OUTCOME_UNKNOWN, detail)
        target = describe_target(progress, admitted)
        delay_ms = self._view.find_rest_delay_ms(admitted, progress.begun_version)
        if delay_ms is not None:
            detail = f"every backend server of {target} wants no requests for now"
            retry_ms = max(round(delay_ms), MIN_SLOT_RETRY_MS)
            return RequestError(ErrorKind.OVERLOADED, detail, retry_after_ms=retry_ms)
        delay_ms = self._view.find_slot_delay_ms(admitted, progress.begun_version)
        if delay_ms is not None:
            detail = f"all slots of the brittle backend servers of {target} are in use"
            retry_ms = max(round(delay_ms), MIN_SLOT_RETRY_MS)
            return RequestError(ErrorKind.OVERLOADED, detail, retry_after_ms=retry_ms)
        delay_ms = self._view.find_permit_delay_ms(admitted, progress.begun_version)
        if delay_ms is not None:
            detail = f"every backend server of {target} is at its stated limit"
            return RequestError(ErrorKind.OVERLOADED, detail, retry_after_ms=round(delay_ms))
        detail = f"no backend server of {target}"
        return RequestError(ErrorKind.NO_BACKEND, detail, retry_after_ms=RETRY_DELAY_MS)

    def _check_queue(
        self, progress: Progress, admitted: AdmittedRequest, placement: Placement
    ) -> None:
        """Refuse a new model request that would wait too long; one that was already sent continues."""
        if admitted.facts.prompt is None or progress.sends or progress.last_event_id:
            return
        if self._view.is_managed(admitted.service):
            self._check_room(admitted, placement)
            return
        retry_delay_ms = find_retry_delay_ms(placement, admitted.queue_bound)
        if retry_delay_ms is not None:
            detail = f"overloaded: the first event is expected after {placement.expected_ms:.0f} ms"
            raise RequestError(ErrorKind.OVERLOADED, detail, retry_after_ms=round(retry_delay_ms))

    def _check_room(self, admitted: AdmittedRequest, placement: Placement) -> None:
        """Refuse a new request to an engine of a managed service that it cannot serve in time."""
        refusal = self._view.find_refusal(admitted, placement)
        if refusal is not None:
            detail = f"overloaded: {refusal.detail}"
            raise RequestError(ErrorKind.OVERLOADED, detail, retry_after_ms=round(refusal.retry_ms))


def describe_target(progress: Progress, admitted: AdmittedRequest) -> str:
    """Return which servers a request may be sent to, for its error."""
    service = f"service {admitted.service}"
    if progress.begun_version is None:
        return service
    return f"version {progress.begun_version} of {service}, which began the stream"
