"""Errors of an exchange with a server, with the stage that it had reached."""

from enum import StrEnum

from hemlockswitch.core.errors import BackendError, ErrorKind, Ran


class Stage(StrEnum):
    """The stage of an exchange at which it failed."""

    BEFORE_SEND = "before_send"
    DURING_SEND = "during_send"
    AFTER_SEND = "after_send"
    DURING_ANSWER = "during_answer"


class ExchangeError(BackendError):
    """An exchange with a server failed.

    Parameters
    ==========

    stage : the stage that the exchange had reached.
    was_closed : whether the server closed or reset the connection, as opposed to a time-out or an
        answer that could not be parsed.
    """

    def __init__(self, stage: Stage, detail: str, *, was_closed: bool = False) -> None:
        ran = Ran.NO if stage is Stage.BEFORE_SEND else Ran.UNKNOWN
        super().__init__(ErrorKind.OUTCOME_UNKNOWN, f"{stage}: {detail}", ran=ran)
        self.stage = stage
        self.was_closed = was_closed
