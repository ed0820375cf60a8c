"""Faults that tests inject into a stand-in engine or service."""

from typing import Literal

from pydantic import BaseModel, ConfigDict, Field

Stage = Literal["none", "before_run", "before_answer", "after_headers"]


class Faults(BaseModel):
    """Faults to inject, and the number of requests that they affect.

    Explanation
    ===========

    `count` limits the per-request faults to the next `count` requests; 0 means all requests.
    Every post of faults replaces the previous ones; an empty post clears them. `freeze_ms` and
    `slow_factor` affect an engine as a whole, and each call of a service.

    Parameters
    ==========

    refuse_status : answer with this status without running the request; 0 disables it.
    retry_after_ms : retry delay sent with a refusal.
    cut_stage : reset the connection at this stage.
    cut_after_tokens : reset the connection when a stream reaches this position.
    truncate_after_tokens : end the answer at this position, as if it were complete.
    mix_answers : swap the answers of two requests.
    duplicate_every : send every nth event twice.
    reorder_every : send every nth event after the one that follows it.
    delay_ms : delay before the answer.
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


class ActiveFaults:
    """Stores the active faults and counts the requests that they still affect."""

    def __init__(self) -> None:
        self.current = NO_FAULTS
        self._remaining = 0

    def set(self, faults: Faults) -> None:
        """Replace the active faults."""
        self.current = faults
        self._remaining = faults.count

    def take(self) -> Faults:
        """Return the faults for a new request."""
        if self.current.count == 0:
            return self.current
        if self._remaining == 0:
            return NO_FAULTS
        self._remaining -= 1
        return self.current
