"""Plans how many licensed copies a target needs, and where, as pure functions of measurements.

A target is a model or a plain service. The only criterion is the *late share*: the expected share of
requests whose first token arrives after the latency target, given the queueing delay with a number of
copies and the distribution of the number of copies that survive reclaim waves. The plan is the smallest
set of copies whose late share is within the target's percentile.
"""

import math
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from functools import lru_cache

from hemlockswitch.core.clock import MS_PER_HOUR
from hemlockswitch.version.machine_class import MachineClass

LATE_SHARE_ALLOWED = 0.03
"""Below the 5 % of a p95 target, as a margin for effects that the model does not include."""
LATE_SHARE_TO_SHRINK = 0.015
POOL_EFFICIENCY = 0.9
MIN_PRICE = 1e-6


@dataclass(frozen=True)
class Place:
    """A zone and machine class for a copy, with its price and reclaim rate.

    Parameters
    ==========

    zone, machine_class : the parameters of a start in the cloud API.
    price_per_hour : price of one VM.
    reclaims_per_hour : expected reclaim waves; a wave takes all reclaimable copies of a zone.
    """

    zone: str
    machine_class: MachineClass
    price_per_hour: float
    reclaims_per_hour: float


@dataclass(frozen=True)
class Demand:
    """The measured demand on a target.

    Parameters
    ==========

    busy : concurrently running or waiting requests, averaged over the last seconds.
    holding_ms : time for which one request occupies its slot.
    prefill_ms : part of the time to the first token that is independent of the number of copies.
    """

    busy: float
    holding_ms: float = 2_000
    prefill_ms: float = 100


@dataclass(frozen=True)
class Target:
    """The configured requirements of one model or service."""

    name: str
    latency_ms: float
    slots: int
    min_copies: int
    licensed: int


@dataclass(frozen=True)
class Copy:
    """The planner's view of one copy.

    Parameters
    ==========

    name : identifies the copy in `Plan.stops`.
    is_staying : whether the copy is serving or starting; a leaving or stopping copy only uses a licence.
    """

    name: str
    place: Place
    is_staying: bool = True


@dataclass(frozen=True)
class Plan:
    """The planned changes; `starts` or `stops` is empty."""

    starts: tuple[Place, ...] = ()
    stops: tuple[str, ...] = ()
    late_share: float = 0.0


def compute_late_share(copies: int, demand: Demand, target: Target) -> float:
    """Return the share of requests that `copies` serve after the latency target.

    Explanation
    ===========

    The delay is that of an M/M/c queue (Erlang C) over a reduced number of the slots of all copies, since
    routing does not balance perfectly. With too few slots the result exceeds 1 and grows with the deficit,
    so that additional copies improve it even then.

    Examples
    ========

    >>> target = Target("assistant-llm", latency_ms=830, slots=16, min_copies=1, licensed=6)
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
    """Return the probability of each number of available copies, from 0 up.

    Explanation
    ===========

    A copy is unavailable while its replacement starts. A zone's reclaimable copies are reclaimed in one
    wave, on-demand copies independently of each other.

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
            shares = _convolve(
                shares, 1, _compute_unavailability(place.reclaims_per_hour, replace_ms)
            )
    for zone in waves.values():
        rate = max(place.reclaims_per_hour for place in zone)
        shares = _convolve(shares, len(zone), _compute_unavailability(rate, replace_ms))
    return shares


def _compute_unavailability(reclaims_per_hour: float, replace_ms: float) -> float:
    expected = reclaims_per_hour * replace_ms / MS_PER_HOUR
    return expected / (1 + expected)


def _convolve(shares: Sequence[float], copies: int, missing: float) -> list[float]:
    """Extend the distribution by `copies` copies that are all available or all missing."""
    result = [0.0] * (len(shares) + copies)
    for number, share in enumerate(shares):
        result[number] += share * missing
        result[number + copies] += share * (1 - missing)
    return result


class Planner:
    """Plans starts and stops from the measured demand.

    Parameters
    ==========

    target : the configured requirements.
    replace_ms : time from a reclaim to a serving replacement.
    """

    def __init__(self, target: Target, replace_ms: float) -> None:
        self._target = target
        self._replace_ms = replace_ms
        self._late = lru_cache(maxsize=256)(compute_late_share)

    def compute_expected_late_share(self, places: Iterable[Place], demand: Demand) -> float:
        """Return the late share of a set of copies under `demand`, including the effect of reclaims."""
        survivors = compute_survivors(places, self._replace_ms)
        return sum(
            share * self._late(number, demand, self._target)
            for number, share in enumerate(survivors)
            if share
        )

    def plan(
        self, copies: Sequence[Copy], free: Sequence[Place], now: Demand, peak: Demand
    ) -> Plan:
        """Return the starts, or the single stop, that the demand requires.

        Parameters
        ==========

        copies : all copies that use a licence.
        free : places without a recent refusal of a start.
        now : the demand that determines starts.
        peak : the maximum demand of the shrink window, which determines stops.
        """
        staying = [copy for copy in copies if copy.is_staying]
        starts = self._choose_starts([copy.place for copy in staying], free, now, len(copies))
        if starts:
            late = self.compute_expected_late_share([copy.place for copy in staying] + starts, now)
            return Plan(starts=tuple(starts), late_share=late)
        stop = self._choose_stop(staying, peak)
        late = self.compute_expected_late_share([copy.place for copy in staying], now)
        return Plan(stops=(stop,) if stop else (), late_share=late)

    def _choose_starts(
        self, places: list[Place], free: Sequence[Place], demand: Demand, licences_used: int
    ) -> list[Place]:
        """Return places to add until the late share is allowed and the minimum number is reached."""
        starts: list[Place] = []
        room = self._target.licensed - licences_used
        while free and len(starts) < room:
            late = self.compute_expected_late_share(places + starts, demand)
            is_late = late > LATE_SHARE_ALLOWED
            if not is_late and len(places) + len(starts) >= self._target.min_copies:
                break
            gains = [
                late - self.compute_expected_late_share(places + starts + [at], demand)
                for at in free
            ]
            if is_late and max(gains) <= 0:
                break
            starts.append(_choose_place(free, gains, is_late))
        return starts

    def _choose_stop(self, staying: Sequence[Copy], peak: Demand) -> str:
        """Return the most expensive copy that can be stopped with a margin in the late share, or ``""``."""
        if len(staying) <= max(self._target.min_copies, 0):
            return ""
        for copy in sorted(staying, key=lambda one: one.place.price_per_hour, reverse=True):
            remaining = [other.place for other in staying if other is not copy]
            if self.compute_expected_late_share(remaining, peak) <= LATE_SHARE_TO_SHRINK:
                return copy.name
        return ""


def _choose_place(free: Sequence[Place], gains: Sequence[float], is_late: bool) -> Place:
    """Return the place with the largest gain per price if requests are late, otherwise the cheapest one."""

    def rate(at: int) -> tuple[float, float]:
        price = max(free[at].price_per_hour, MIN_PRICE)
        return (gains[at] / price, -price) if is_late else (-price, gains[at])

    return free[max(range(len(free)), key=rate)]


def plan_excess_stops(copies: Sequence[Copy], target: Target) -> tuple[str, ...]:
    """Return the copies to stop because they exceed a reduced licence, most expensive first."""
    over = len(copies) - target.licensed
    staying = [copy for copy in copies if copy.is_staying]
    leaving = len(copies) - len(staying)
    dearest = sorted(staying, key=lambda copy: copy.place.price_per_hour, reverse=True)
    return tuple(copy.name for copy in dearest[: max(0, over - leaving)])
