"""How many licensed copies a target needs, and where: pure functions of what was measured.

A target is a model or a plain service. The one measure is the *late share*: the expected share
of requests whose first token comes after the latency target, over what queueing does with so
many copies and over how many copies a reclaim wave leaves. The smallest set of copies whose late
share is within the target's percentile is the one wanted.
"""

import math
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from functools import lru_cache

from hemlockswitch.core.clock import MS_PER_HOUR
from hemlockswitch.version.machine_class import MachineClass

LATE_SHARE_ALLOWED = 0.03
"""Below the 5 % of a p95 target, for what the model does not see."""
LATE_SHARE_TO_SHRINK = 0.015
POOL_EFFICIENCY = 0.9
LEAST_PRICE = 1e-6


@dataclass(frozen=True)
class Place:
    """Where a copy can run, with what it costs and risks there.

    Parameters
    ==========

    zone, machine_class : what the cloud API is asked for.
    price_per_hour : of one VM.
    reclaims_per_hour : expected reclaim waves; all reclaimable copies of a zone go together.
    """

    zone: str
    machine_class: MachineClass
    price_per_hour: float
    reclaims_per_hour: float


@dataclass(frozen=True)
class Demand:
    """What is asked of a target, measured.

    Parameters
    ==========

    busy : requests running or waiting at once, averaged over the last seconds.
    holding_ms : the time that one request holds its slot.
    prefill_ms : the part of the first token's time that no number of copies shortens.
    """

    busy: float
    holding_ms: float = 2_000
    prefill_ms: float = 100


@dataclass(frozen=True)
class Target:
    """What the configuration asks for one model or service."""

    name: str
    latency_ms: float
    slots: int
    least: int
    licensed: int


@dataclass(frozen=True)
class Copy:
    """One copy as the planner sees it.

    Parameters
    ==========

    name : what a removal names.
    is_staying : serving or on its way there; a leaving or stopping copy only counts as licence.
    """

    name: str
    place: Place
    is_staying: bool = True


@dataclass(frozen=True)
class Plan:
    """The difference that the planner wants; one of the two is empty."""

    starts: tuple[Place, ...] = ()
    stops: tuple[str, ...] = ()
    late_share: float = 0.0


def compute_late_share(copies: int, demand: Demand, target: Target) -> float:
    """Return the share of requests that `copies` serve after the latency target.

    Explanation
    ===========

    Waiting is that of an M/M/c queue (Erlang C) over the slots of all copies, fewer than there
    are because routing does not balance perfectly. Without enough slots the share is above 1 and
    grows with what is missing, so that more copies are better even then.

    Examples
    ========

    >>> target = Target("assistant-llm", latency_ms=830, slots=16, least=1, licensed=6)
    >>> compute_late_share(1, Demand(busy=30), target) > 1
    True
    >>> compute_late_share(3, Demand(busy=30), target) < 0.01
    True
    """
    if demand.busy <= 0:
        return 0.0 if copies else 1.0
    servers = math.floor(copies * target.slots * POOL_EFFICIENCY)
    if servers <= demand.busy:
        return 1.0 + (demand.busy - servers) / demand.busy
    budget_ms = max(target.latency_ms - demand.prefill_ms, 0)
    waits = _compute_erlang_c(servers, demand.busy)
    return waits * math.exp(-(servers - demand.busy) * budget_ms / demand.holding_ms)


def _compute_erlang_c(servers: int, busy: float) -> float:
    """Return the share of requests that wait at all (Erlang C), by the Erlang B recursion."""
    blocked = 1.0
    for number in range(1, servers + 1):
        blocked = busy * blocked / (number + busy * blocked)
    load = busy / servers
    return blocked / (1 - load + load * blocked)


def compute_survivors(places: Iterable[Place], replace_ms: float) -> list[float]:
    """Return the probability of each number of copies being there, from 0 up.

    Explanation
    ===========

    A copy is missing while its replacement starts. A zone's reclaimable copies go in one wave;
    on-demand copies go one by one.

    Examples
    ========

    >>> place = Place("abdoun-hall", MachineClass.RECLAIMABLE, 1.0, reclaims_per_hour=36)
    >>> [round(share, 3) for share in compute_survivors([place, place], replace_ms=10_000)]
    [0.091, 0.0, 0.909]
    """
    waves: dict[str, list[Place]] = {}
    shares = [1.0]
    for place in places:
        if place.machine_class == MachineClass.RECLAIMABLE:
            waves.setdefault(place.zone, []).append(place)
        else:
            shares = _convolve(shares, 1, _compute_missing(place.reclaims_per_hour, replace_ms))
    for zone in waves.values():
        rate = max(place.reclaims_per_hour for place in zone)
        shares = _convolve(shares, len(zone), _compute_missing(rate, replace_ms))
    return shares


def _compute_missing(reclaims_per_hour: float, replace_ms: float) -> float:
    expected = reclaims_per_hour * replace_ms / MS_PER_HOUR
    return expected / (1 + expected)


def _convolve(shares: Sequence[float], copies: int, missing: float) -> list[float]:
    """Add `copies` that are there together or missing together."""
    result = [0.0] * (len(shares) + copies)
    for number, share in enumerate(shares):
        result[number] += share * missing
        result[number + copies] += share * (1 - missing)
    return result


class Planner:
    """The rule that turns measured demand into starts and stops.

    Parameters
    ==========

    target : what the configuration asks.
    replace_ms : the time from a reclaim to a serving replacement, as measured.
    """

    def __init__(self, target: Target, replace_ms: float) -> None:
        self._target = target
        self._replace_ms = replace_ms
        self._late = lru_cache(maxsize=256)(compute_late_share)

    def compute_late(self, places: Iterable[Place], demand: Demand) -> float:
        """Return the late share of a set of copies under `demand`, reclaims included."""
        survivors = compute_survivors(places, self._replace_ms)
        return sum(
            share * self._late(number, demand, self._target)
            for number, share in enumerate(survivors)
            if share
        )

    def plan(
        self, copies: Sequence[Copy], free: Sequence[Place], now: Demand, peak: Demand
    ) -> Plan:
        """Return the starts or the one stop that `copies` need.

        Parameters
        ==========

        copies : all copies that count as licence.
        free : places where a start is not known to be refused.
        now : the demand to grow for.
        peak : the highest demand of the time that the planner waits before it shrinks.
        """
        staying = [copy for copy in copies if copy.is_staying]
        starts = self._choose_starts([copy.place for copy in staying], free, now, len(copies))
        if starts:
            late = self.compute_late([copy.place for copy in staying] + starts, now)
            return Plan(starts=tuple(starts), late_share=late)
        stop = self._choose_stop(staying, peak)
        late = self.compute_late([copy.place for copy in staying], now)
        return Plan(stops=(stop,) if stop else (), late_share=late)

    def _choose_starts(
        self, places: list[Place], free: Sequence[Place], demand: Demand, licences_used: int
    ) -> list[Place]:
        """Add places until the target holds and the least number is there."""
        starts: list[Place] = []
        room = self._target.licensed - licences_used
        while free and len(starts) < room:
            late = self.compute_late(places + starts, demand)
            is_late = late > LATE_SHARE_ALLOWED
            if not is_late and len(places) + len(starts) >= self._target.least:
                break
            gains = [late - self.compute_late(places + starts + [at], demand) for at in free]
            if is_late and max(gains) <= 0:
                break
            starts.append(_choose_place(free, gains, is_late))
        return starts

    def _choose_stop(self, staying: Sequence[Copy], peak: Demand) -> str:
        """Return the dearest copy without which the target holds with room, or nothing."""
        if len(staying) <= max(self._target.least, 0):
            return ""
        for copy in sorted(staying, key=lambda one: one.place.price_per_hour, reverse=True):
            rest = [other.place for other in staying if other is not copy]
            if self.compute_late(rest, peak) <= LATE_SHARE_TO_SHRINK:
                return copy.name
        return ""


def _choose_place(free: Sequence[Place], gains: Sequence[float], is_late: bool) -> Place:
    """Return what buys most for its price while requests are late, else the cheapest place."""

    def rate(at: int) -> tuple[float, float]:
        price = max(free[at].price_per_hour, LEAST_PRICE)
        return (gains[at] / price, -price) if is_late else (-price, gains[at])

    return free[max(range(len(free)), key=rate)]


def plan_over_licence(copies: Sequence[Copy], target: Target) -> tuple[str, ...]:
    """Return the copies to stop because the licence was lowered, dearest first."""
    over = len(copies) - target.licensed
    staying = [copy for copy in copies if copy.is_staying]
    leaving = len(copies) - len(staying)
    dearest = sorted(staying, key=lambda copy: copy.place.price_per_hour, reverse=True)
    return tuple(copy.name for copy in dearest[: max(0, over - leaving)])
