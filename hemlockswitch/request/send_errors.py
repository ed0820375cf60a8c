"""The exceptions that end an attempt to send a request without a complete answer."""

from hemlockswitch.request.send_states import SendFailure


class SendFailedError(Exception):
    """An attempt failed after nothing, or only complete events, had been relayed to the caller.

    Parameters
    ==========

    failure : how the attempt failed.
    detail : description for the log and the error.
    was_sent : whether any byte of the request may have reached the server.
    was_cut : whether the server closed or reset the connection before the end of the answer.
    """

    def __init__(
        self, failure: SendFailure, detail: str, was_sent: bool, was_cut: bool = False
    ) -> None:
        super().__init__(detail)
        self.failure = failure
        self.detail = detail
        self.was_sent = was_sent
        self.was_cut = was_cut


class LeavingError(Exception):
    """This process ends before the request has been answered."""


class OverdueError(Exception):
    """The deadline of the request has passed."""
