"""The decision whether a request starts now, waits or is refused, from one estimate of a service's room.

Answers the load of more requests than the servers of a service can process in time. Whoever estimates the room,
a gateway from the reports of its peers or the dispatcher that assigns the slots of a group of servers, makes the
decision here, so that the same rules hold for engines and for plain services. Pure: times are passed in.
"""

from dataclasses import dataclass
from enum import IntEnum, StrEnum

BEYOND_PART_SHARE = 0.5
"""Fraction of the allowed wait for requests of an account beyond its fair part. The other half is left to accounts
within their parts, which thereby never find a queue that another account's surplus has filled."""


class Standing(IntEnum):
    """The standing of a request that comes back after a refusal; a lower value goes first.

    DUE : its caller was told to return at this time.
    NEW : it was not refused before, or nothing is known of it.
    EARLY : its caller was told to return later.
    """

    DUE = 0
    NEW = 1
    EARLY = 2


class Action(StrEnum):
    """What becomes of a request."""

    NOW = "now"
    LATER = "later"
    REFUSED = "refused"


@dataclass(frozen=True)
class Room:
    """The room of the servers that may get a request.

    Parameters
    ==========

    wait_ms : time until a server would begin with the request; 0 if it would begin at once.
    """

    wait_ms: float


@dataclass(frozen=True)
class Need:
    """What a request needs.

    Parameters
    ==========

    max_wait_ms : the longest wait after which it can still be answered in time.
    is_within_part : whether its account is within its fair part of the room.
    has_credit : whether its account, if beyond its part, has credit for one more request.
    standing : whether its caller was told to come now.
    """

    max_wait_ms: float
    is_within_part: bool = True
    has_credit: bool = True
    standing: Standing = Standing.NEW


def decide(room: Room, need: Need) -> Action:
    """Return what becomes of a request.

    Nobody is refused beside free room. A request that would wait for longer than it can is refused at once, and
    so is one whose caller was told to return later, since waiting callers would otherwise be overtaken by
    callers that repeat at once.

    Examples
    ========

    >>> decide(Room(wait_ms=0), Need(max_wait_ms=100, is_within_part=False)).value
    'now'
    >>> decide(Room(wait_ms=80), Need(max_wait_ms=100)).value
    'later'
    >>> decide(Room(wait_ms=80), Need(max_wait_ms=100, is_within_part=False)).value
    'refused'
    >>> decide(Room(wait_ms=10), Need(max_wait_ms=100, is_within_part=False, has_credit=False)).value
    'refused'
    >>> decide(Room(wait_ms=80), Need(max_wait_ms=100, standing=Standing.EARLY)).value
    'refused'
    """
    if room.wait_ms <= 0:
        return Action.NOW
    if need.standing is Standing.EARLY:
        return Action.REFUSED
    if need.is_within_part or need.standing is Standing.DUE:
        share = 1.0
    else:
        share = BEYOND_PART_SHARE if need.has_credit else 0.0
    return Action.LATER if room.wait_ms <= need.max_wait_ms * share else Action.REFUSED
