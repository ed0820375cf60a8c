"""Planning of copies: how many a service needs, of which machine class and in which zone.

All functions are pure.
"""

import math
from collections.abc import Mapping
from dataclasses import dataclass, field, replace

from hemlockswitch.request.engine_model import PRIOR
from hemlockswitch.version.machine_class import MachineClass
from hemlockswitch.version.serving_table import ForwardedService


@dataclass(frozen=True, order=True)
class Pool:
    """Copies of one machine class in one zone."""

    zone: str
    machine_class: MachineClass


@dataclass(frozen=True)
class Demand:
    """Current demand for a service, over all gateways.

    Parameters
    ==========

    prefill_tokens_per_ms : rate of prompt tokens that were not expected in a cache.
    running : number of requests in progress.
    """

    prefill_tokens_per_ms: float = 0.0
    running: float = 0.0


@dataclass(frozen=True)
class Expected:
    """What the copies of a managed service have to serve when a copy that is ordered now has booted.

    Parameters
    ==========

    level : prompt tokens per millisecond that are newly requested, whether they are admitted or refused.
    growth : what the trend adds to the level within the boot time.
    slowness : number of copies at their present pace that do the work of one at the usual pace; at least 1.
    reclaimed : number of copies that serve, but are expected to go, for each pool whose reclaim has begun.
    reporting, report_age_ms : number of gateways in the level, and age of the oldest of their reports.
    span_ms : length of the history that the trend is derived from.
    fastest : the zone and route that grow most; None if none grows.
    pace_age_ms, reclaim_age_ms : ages of the oldest pace and reclaim in use; None if there is none.
    """

    level: float = 0.0
    growth: float = 0.0
    slowness: float = 1.0
    reclaimed: Mapping[Pool, int] = field(default_factory=dict)
    reporting: int = 0
    report_age_ms: float = 0.0
    span_ms: float = 0.0
    fastest: tuple[str, str] | None = None
    pace_age_ms: float | None = None
    reclaim_age_ms: float | None = None


@dataclass(frozen=True)
class CopiesSituation:
    """Inputs of a copy plan.

    Parameters
    ==========

    zones : the availability zones of the site.
    live : number of copies by pool that serve and are not leaving.
    unavailable : pools that recently had no copies to offer.
    min_copies : minimum number of copies, whatever the measured demand.
    tokens_per_ms : observed prefill rate of an engine.
    expected : the load when a copy that is ordered now has booted; None if the service is not managed.
    """

    service: ForwardedService
    zones: tuple[str, ...]
    live: Mapping[Pool, int]
    demand: Demand = Demand()
    unavailable: frozenset[Pool] = frozenset()
    min_copies: int = 0
    tokens_per_ms: float = PRIOR.tokens_per_ms
    expected: Expected | None = None


TARGET_PREFILL_SHARE = 0.55
"""Planned utilization of the engines' prefill capacity. Prompts arrive at random: at half of the
capacity, the mean wait is about the prefill time of one prompt. The capacity is the observed prefill
rate, which includes the decode steps of the batch."""
TARGET_SLOT_SHARE = 0.6
"""Planned utilization of the batch slots: decode steps slow down as batches fill."""
MIN_COPIES = 3
"""Minimum number of copies, whatever the measured demand. The remaining copies must prefill again what a
lost copy had cached, and the measured demand shows this only afterwards."""
FOUND_SHARE = 0.85
"""Fraction of the on-demand copies found at a takeover that counts as needed until the demand is
measured: operators size their fleets for the peak, and cold caches need more prefill than the demand
shows."""
RETAINED_SHARE = 0.4
"""Fraction of all copies found at a takeover that counts as needed until the demand is measured.
Reclaimable copies were ordered by an earlier holder at twice the need, so a larger fraction would raise
the orders at each takeover."""
PRIOR_LIFETIME_MS = 12_000.0
"""Time after the first requests in which the copies found at a takeover still count as needed: three
times the time constant of the measured demand, in which the shared prompt parts are prefilled once."""
RESERVE_FACTOR = 1.25
"""If the reclaimable copies that serve are this multiple of the need, on-demand copies are released
without delay: after a first start they are most of the cost until the first request."""
MAX_CHEAP_PRICE = 0.35
"""Up to this fraction of the full price, reclaimable copies that cover the loss of a second zone cost
less than the on-demand copies that a wave of reclaims requires, which boot too late."""
MAX_RUNNING_FACTOR = 2.0
"""The requests in progress are expected to grow at most by this factor when more is requested than sent: what
was refused shows how many prompts callers send, but not how long the answers are."""


def count_needed(situation: CopiesSituation) -> int:
    """Return how many copies are needed, without a reserve for losses."""
    return max(_count_by_demand(situation), situation.min_copies)


def count_measured(situation: CopiesSituation) -> int:
    """Return how many copies are needed without what is expected of the demand and the paces."""
    return count_needed(replace(situation, expected=None))


def _count_by_demand(situation: CopiesSituation) -> int:
    """Return how many copies the demand needs, ignoring the copies found at a takeover.

    What is expected adds copies to those that the measured demand needs, and never takes any away.
    """
    measured = _count_for(situation, situation.demand, 1.0)
    expected = situation.expected
    if expected is None:
        return measured
    sent = situation.demand.prefill_tokens_per_ms
    prefill = max(expected.level + expected.growth, sent)
    factor = min(prefill / sent, MAX_RUNNING_FACTOR) if sent > 0 else 1.0
    demand = Demand(prefill, situation.demand.running * factor)
    return max(measured, _count_for(situation, demand, expected.slowness))


def _count_for(situation: CopiesSituation, demand: Demand, slowness: float) -> int:
    """Return how many copies a demand needs if each does the work of 1 / `slowness` copies."""
    engine = situation.service.engine
    slots = engine.slots if engine is not None else 1
    tokens_per_ms = situation.tokens_per_ms / slowness
    by_prefill = demand.prefill_tokens_per_ms / (tokens_per_ms * TARGET_PREFILL_SHARE)
    by_slots = demand.running / (slots * TARGET_SLOT_SHARE)
    return max(math.ceil(by_prefill), math.ceil(by_slots), MIN_COPIES)


def plan_copies(situation: CopiesSituation) -> dict[Pool, int]:
    """Return how many copies every pool should have.

    Explanation
    ===========

    Reclaimable copies serve the demand. They are spread so that enough remain when all copies of one
    zone are reclaimed at once, or of two zones where copies are cheap, since a wave of reclaims moves
    from zone to zone before the first zone offers copies again. On-demand copies replace the missing
    ones in the cheapest zones: during a wave, nothing else is available. As soon as one zone has no
    copies to offer, on-demand copies also replace what the next zone would lose, since they boot for
    as long as a wave takes to reach the next zone; this counts only the measured demand. Without a
    wave no on-demand copies are retained: the reserve is reclaimable, and one on-demand copy costs as
    much as the reserve of a zone.
    """
    needed = count_needed(situation)
    wanted = _plan_reclaimable(situation, needed)
    present = _count_present(situation, wanted)
    missing = max(needed - present, 0)
    if situation.unavailable or _get_reclaimed(situation):
        remaining = present - _count_largest_zone(situation, wanted)
        missing = max(missing, _count_by_demand(situation) - remaining)
    return wanted | _plan_on_demand(situation, missing, wanted)


def _count_largest_zone(situation: CopiesSituation, wanted: Mapping[Pool, int]) -> int:
    """Return the largest number of wanted copies that serve in one pool; the next wave may reclaim them."""
    return max(
        (_count_serving(situation, pool, count) for pool, count in wanted.items()), default=0
    )


def has_reserve(situation: CopiesSituation, wanted: Mapping[Pool, int]) -> bool:
    """Return whether the serving reclaimable copies of a plan exceed the need by the reserve factor.

    On-demand copies may leave no room for that many. In that case it is enough that all planned
    reclaimable copies serve and cover the need, as long as no pool is unavailable.
    """
    reclaimable = {
        pool: count
        for pool, count in wanted.items()
        if pool.machine_class is MachineClass.RECLAIMABLE
    }
    present, needed = _count_present(situation, reclaimable), count_needed(situation)
    is_wave = bool(situation.unavailable or _get_reclaimed(situation))
    fills_room = present == sum(reclaimable.values()) and not is_wave
    return present >= (needed if fills_room else RESERVE_FACTOR * needed)


def _count_present(situation: CopiesSituation, wanted: Mapping[Pool, int]) -> int:
    """Return how many of the wanted copies serve now."""
    return sum(_count_serving(situation, pool, count) for pool, count in wanted.items())


def _count_serving(situation: CopiesSituation, pool: Pool, wanted: int) -> int:
    """Return how many of the wanted copies of a pool serve now and are not expected to be reclaimed."""
    remaining = situation.live.get(pool, 0) - _get_reclaimed(situation).get(pool, 0)
    return min(remaining, wanted)


def _get_reclaimed(situation: CopiesSituation) -> Mapping[Pool, int]:
    return situation.expected.reclaimed if situation.expected is not None else {}


def _plan_reclaimable(situation: CopiesSituation, needed: int) -> dict[Pool, int]:
    """Return the planned reclaimable copies by pool; an unavailable pool gets none beyond the present ones."""
    scaling = situation.service.scaling
    assert scaling is not None
    lost_zones = 2 if scaling.reclaimable_price <= MAX_CHEAP_PRICE else 1
    per_zone = math.ceil(needed / max(len(situation.zones) - lost_zones, 1))
    # Leave room in each zone for one on-demand copy.
    per_zone = min(per_zone, max(scaling.max_copies - 1, 1))
    wanted: dict[Pool, int] = {}
    for zone in situation.zones:
        pool = Pool(zone, MachineClass.RECLAIMABLE)
        present = situation.live.get(pool, 0)
        # The limit applies to both classes together; copies without room now are ordered later.
        room = scaling.max_copies - situation.live.get(Pool(zone, MachineClass.ON_DEMAND), 0)
        max_count = present if pool in situation.unavailable else max(room, present)
        wanted[pool] = min(per_zone, max_count)
    return wanted


def _plan_on_demand(
    situation: CopiesSituation, count: int, reclaimable: Mapping[Pool, int]
) -> dict[Pool, int]:
    """Distribute `count` copies over the zones, cheapest first, as evenly as the limits allow."""
    scaling = situation.service.scaling
    assert scaling is not None
    by_price = sorted(situation.zones, key=lambda zone: scaling.zone_prices.get(zone, 1.0))
    rooms = {
        zone: max(scaling.max_copies - reclaimable[Pool(zone, MachineClass.RECLAIMABLE)], 0)
        for zone in by_price
    }
    counts = dict.fromkeys(by_price, 0)
    while count > 0 and any(counts[zone] < rooms[zone] for zone in by_price):
        for zone in by_price:
            if count > 0 and counts[zone] < rooms[zone]:
                counts[zone] += 1
                count -= 1
    return {Pool(zone, MachineClass.ON_DEMAND): number for zone, number in counts.items()}


def count_prior(live: Mapping[Pool, int]) -> int:
    """Return how many of the copies found at a takeover count as needed."""
    found = sum(
        number for pool, number in live.items() if pool.machine_class is MachineClass.ON_DEMAND
    )
    return math.ceil(max(FOUND_SHARE * found, RETAINED_SHARE * sum(live.values())))
