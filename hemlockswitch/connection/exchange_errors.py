"""How an exchange with a server can fail, and how far it had come."""

from enum import StrEnum

from hemlockswitch.core.errors import BackendError, ErrorKind, Ran


class Stage(StrEnum):
    """How far an exchange had come when it failed."""

    BEFORE_SEND = "before_send"
    DURING_SEND = "during_send"
    AFTER_SEND = "after_send"
    DURING_ANSWER = "during_answer"


class ExchangeError(BackendError):
    """An exchange with a server that failed, with the stage it had reached.

    Parameters
    ==========

    was_closed : whether the other side closed or reset the connection; it did not fall silent, and
        what it had sent could be read.
    """

    def __init__(self, stage: Stage, detail: str, *, was_closed: bool = False) -> None:
        ran = Ran.NO if stage is Stage.BEFORE_SEND else Ran.UNKNOWN
        super().__init__(ErrorKind.OUTCOME_UNKNOWN, f"{stage}: {detail}", ran=ran)
        self.stage = stage
        self.was_closed = was_closed
