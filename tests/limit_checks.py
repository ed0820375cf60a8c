"""The bound on what a server that states a rate limit may get, judged from its arrivals."""

import math
from dataclasses import dataclass

WINDOW_MS = 4_000.0
STABLE_MS = 3_000.0
"""The bound holds for windows that begin this long after the server first stated a limit."""
PASSED_ON_MS = 500.0
"""A gateway counts this long after it has passed on an answer with a limit."""
EXCESS_FACTOR = 1.5
EXCESS_REQUESTS = 5


@dataclass(frozen=True)
class Arrival:
    """A request that reached a server, and the gateway that sent it."""

    at_ms: float
    gateway: str


@dataclass(frozen=True)
class Told:
    """An answer with a limit that a gateway passed on."""

    at_ms: float
    gateway: str
    limit_per_s: float


@dataclass(frozen=True)
class Send:
    """An arrival that counts, and the limit that its sender was told last."""

    at_ms: float
    told_per_s: float


@dataclass(frozen=True)
class Statement:
    """The limit that a server states from a time on; infinite if it states none."""

    from_ms: float
    limit_per_s: float


@dataclass(frozen=True)
class Excess:
    """A window with more arrivals than allowed."""

    from_ms: float
    count: int
    allowed: float


def count_allowed(limit_per_s):
    """Return how many requests a server may get in one window."""
    return EXCESS_FACTOR * limit_per_s * WINDOW_MS / 1_000 + EXCESS_REQUESTS


def find_limit(statements, from_ms, until_ms):
    """Return the highest limit in force in a span of time, or shortly before it."""
    ends = [one.from_ms for one in statements[1:]] + [math.inf]
    limits = [
        one.limit_per_s
        for one, end_ms in zip(statements, ends, strict=True)
        if one.from_ms < until_ms and end_ms > from_ms - PASSED_ON_MS
    ]
    return max(limits, default=math.inf)


def find_excesses(arrivals, told, statements):
    """Return the windows in which the gateways that were told have sent too much.

    A gateway that was told once counts from then on, also when the server states a limit again. One that was
    told a higher limit last, since the server began to state limits, may keep to that.

    Parameters
    ==========

    arrivals : all arrivals at one server.
    told : each answer with a limit that a gateway passed on.
    statements : the limits that the server stated, in order of time.
    """
    stated = [one.from_ms for one in statements if one.limit_per_s < math.inf]
    if not stated:
        return []
    told = sorted(told, key=lambda one: one.at_ms)
    sends = [
        Send(one.at_ms, limit_per_s)
        for one in sorted(arrivals, key=lambda one: one.at_ms)
        if (limit_per_s := find_told_limit(told, one, statements)) is not None
    ]
    return _find_excesses_from(sends, stated[0] + STABLE_MS, statements)


def find_told_limit(told, arrival, statements):
    """Return the limit that the sender was told last, 0 if only of earlier ones, None if it was never told."""
    in_time = [
        one
        for one in told
        if one.gateway == arrival.gateway and one.at_ms + PASSED_ON_MS <= arrival.at_ms
    ]
    if not in_time:
        return None
    last = in_time[-1]
    return last.limit_per_s if last.at_ms >= find_began_ms(statements, arrival.at_ms) else 0.0


def find_began_ms(statements, at_ms):
    """Return since when a server has stated limits without a break, as of a time."""
    began_ms = math.inf
    for before, one in zip(statements, statements[1:], strict=False):
        if one.from_ms > at_ms:
            break
        if before.limit_per_s == math.inf:
            began_ms = one.from_ms
    return began_ms


def _find_excesses_from(sends, from_ms, statements):
    excesses = []
    for number, first in enumerate(sends):
        if first.at_ms < from_ms:
            continue
        end_ms = first.at_ms + WINDOW_MS
        window = [one for one in sends[number:] if one.at_ms <= end_ms]
        limit_per_s = find_limit(statements, first.at_ms, end_ms)
        allowed = count_allowed(max([limit_per_s, *(one.told_per_s for one in window)]))
        if len(window) > allowed:
            excesses.append(Excess(first.at_ms, len(window), allowed))
    return excesses
