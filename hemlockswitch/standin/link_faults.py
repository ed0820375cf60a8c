"""The faults that a test sets on a link of the fault-injecting proxy."""

from enum import StrEnum

from pydantic import BaseModel, ConfigDict, Field


class Mode(StrEnum):
    """What a link does with connections."""

    PASS = "pass"
    CUT = "cut"
    REFUSE = "refuse"
    BLACK_HOLE = "black_hole"


class Direction(StrEnum):
    """Which way bytes go."""

    NONE = "none"
    TO_TARGET = "to_target"
    TO_CALLER = "to_caller"


class LostAnswer(StrEnum):
    """How the answers of a link are lost after their requests went through."""

    NONE = "none"
    SILENT = "silent"
    RESET = "reset"


class LinkFaults(BaseModel):
    """What goes wrong on a link.

    Explanation
    ===========

    Every post replaces the faults in force for its `source`. TCP loses no bytes in a real
    network partition that heals, so a black hole and a freeze hold bytes back and pass them on
    later; only a lost answer drops bytes, and its connection stays unusable.

    Parameters
    ==========

    source : callers whose IP begins with this; the longest that fits decides.
    mode : pass; cut resets old and new connections; refuse stops listening too; black_hole
        holds back everything.
    delay_ms : added to each piece, per direction.
    bytes_per_s : bandwidth of each connection and direction; 0 for no bound.
    cut_after_bytes : reset a connection after this many bytes in `cut_direction`, counted from
        the time of the post.
    lose_answer : drop what the target answers, silently or with a reset.
    lose_count : for how many connections answers are lost; 0 for all.
    freeze : hold back one direction.
    """

    model_config = ConfigDict(extra="forbid", frozen=True)

    source: str = ""
    mode: Mode = Mode.PASS
    delay_ms: float = Field(default=0, ge=0)
    bytes_per_s: float = Field(default=0, ge=0)
    cut_after_bytes: int | None = None
    cut_direction: Direction = Direction.TO_CALLER
    lose_answer: LostAnswer = LostAnswer.NONE
    lose_count: int = 0
    freeze: Direction = Direction.NONE
