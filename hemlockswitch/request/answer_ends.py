"""Checks whether an answer that seems to have ended is complete.

A server may be terminated while it answers. If the answer has neither a length nor chunks, the end of its connection
looks the same in both cases.
"""

from hemlockswitch.connection.heads import find_header
from hemlockswitch.connection.message_parsers import ParsedAnswer
from hemlockswitch.request.clearance import RequestGuard
from hemlockswitch.request.event_stream import EventSplitter, is_event_stream
from hemlockswitch.request.forward_admission import AdmittedRequest
from hemlockswitch.request.send_errors import OverdueError, SendFailedError
from hemlockswitch.request.send_states import SendFailure
from hemlockswitch.version.backend import BackendServer


def check_stream_end(answer: ParsedAnswer, splitter: EventSplitter, *, continues: bool) -> None:
    """Check that a stream has not ended inside an event, or before its first one.

    A body of another type than events is complete if it is framed.

    Parameters
    ==========

    continues : whether the stream continues an earlier one, of which nothing may be left.

    Raises
    ======

    SendFailedError : the stream has been broken off.
    """
    is_cut = answer.ends_with_connection
    if not is_cut and not is_event_stream(find_header(answer.headers, "content-type")):
        return
    if splitter.is_inside_event:
        detail = "the stream ended inside an event"
        raise SendFailedError(SendFailure.BROKEN, detail, was_sent=True, was_cut=is_cut)
    if is_cut and not splitter.has_event and not continues:
        detail = "the connection ended before the first event of the stream"
        raise SendFailedError(SendFailure.BROKEN, detail, was_sent=True, was_cut=is_cut)


class AnswerEnds:
    """Checks answers that ended with their connection.

    Parameters
    ==========

    guard : tells whether a server has ended, and counts a crash against the request.
    """

    def __init__(self, guard: RequestGuard) -> None:
        self._guard = guard

    def check_server(
        self,
        admitted: AdmittedRequest,
        server: BackendServer,
        answer: ParsedAnswer,
        since_ms: float,
    ) -> None:
        """Check that the server did not end when its answer ended with the connection.

        A server that is leaving may end as well while answers are in progress. If the deadline passes meanwhile
        the answer counts as complete, as nothing shows that it is not.

        Parameters
        ==========

        since_ms : since when the process that answered has been running at least.

        Raises
        ======

        SendFailedError : the server has ended; a crash has been counted.
        """
        if not answer.ends_with_connection:
            return
        try:
            has_crashed = self._guard.record_broken_connection(admitted, server, since_ms)
            has_left = not has_crashed and self._guard.has_left(server, since_ms)
        except OverdueError:
            return
        if has_crashed or has_left:
            detail = f"the server {'crashed' if has_crashed else 'left'} when its answer ended"
            raise SendFailedError(SendFailure.BROKEN, detail, was_sent=True)
