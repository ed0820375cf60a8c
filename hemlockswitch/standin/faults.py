"""The faults that a test sets on a stand-in engine or service."""

from typing import Literal

from pydantic import BaseModel, ConfigDict, Field

Stage = Literal["none", "before_run", "before_answer", "after_headers"]


class Faults(BaseModel):
    """What goes wrong, and for how many requests.

    Explanation
    ===========

    `count` bounds the per-request faults to the next `count` requests; 0 means all. Every post
    of faults replaces the earlier ones; an empty post mends everything. `freeze_ms` and
    `slow_factor` act on the whole stand-in.

    Parameters
    ==========

    refuse_status : answer this status without running; 0 for none.
    retry_after_ms : what a refusal says.
    cut_stage : reset the connection at this stage.
    cut_after_tokens : reset the connection after this many events of a stream.
    truncate_after_tokens : end the answer early, as if it were whole.
    mix_answers : swap the answers of two requests that are open together.
    duplicate_every : send every nth event twice.
    reorder_every : send every nth event after the one that follows it.
    delay_ms : wait before answering.
    """

    model_config = ConfigDict(extra="forbid", frozen=True)

    count: int = Field(default=0, ge=0)
    refuse_status: int = 0
    retry_after_ms: int = 1_000
    cut_stage: Stage = "none"
    cut_after_tokens: int | None = None
    truncate_after_tokens: int | None = None
    mix_answers: bool = False
    duplicate_every: int = 0
    reorder_every: int = 0
    delay_ms: int = 0
    slow_factor: float = Field(default=1.0, gt=0)
    freeze_ms: int = 0


NO_FAULTS = Faults()


class FaultBox:
    """Holds the faults in force and hands them to requests."""

    def __init__(self) -> None:
        self.current = NO_FAULTS
        self._left = 0

    def set(self, faults: Faults) -> None:
        """Replace the faults in force."""
        self.current = faults
        self._left = faults.count

    def take(self) -> Faults:
        """Return the faults for one new request."""
        if self.current.count == 0:
            return self.current
        if self._left == 0:
            return NO_FAULTS
        self._left -= 1
        return self.current
