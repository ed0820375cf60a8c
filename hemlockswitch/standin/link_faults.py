"""Faults that tests inject into a link of the fault-injecting proxy."""

from enum import StrEnum

from pydantic import BaseModel, ConfigDict, Field


class Mode(StrEnum):
    """How a link handles connections."""

    PASS = "pass"
    CUT = "cut"
    REFUSE = "refuse"
    BLACK_HOLE = "black_hole"


class Direction(StrEnum):
    """Direction of the bytes on a link."""

    NONE = "none"
    TO_TARGET = "to_target"
    TO_CALLER = "to_caller"


class LostAnswer(StrEnum):
    """How the answers of a link are lost after their requests were forwarded."""

    NONE = "none"
    SILENT = "silent"
    RESET = "reset"


class LinkFaults(BaseModel):
    """Faults of a link.

    Explanation
    ===========

    Every post replaces the active faults for its `source`. TCP loses no bytes in a real network
    partition that heals, so a black hole and a freeze delay the bytes and forward them later;
    only a lost answer drops bytes, and its connection remains unusable.

    Parameters
    ==========

    source : prefix of the caller IPs that the faults apply to; the longest matching prefix wins.
    mode : ``pass`` forwards bytes; ``cut`` resets open and new connections; ``refuse`` also stops
        listening; ``black_hole`` delays the bytes of both directions until the mode changes.
    delay_ms : delay of each chunk of bytes, per direction.
    bytes_per_s : bandwidth of each connection and direction; 0 means unlimited.
    cut_after_bytes : reset a connection after this many bytes in `cut_direction`, counted from
        the time of the post.
    lose_answer : drop the bytes that the target answers, silently or with a reset.
    lose_count : number of connections whose answers are lost; 0 means all.
    freeze : delay the bytes of one direction until the faults change.
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
