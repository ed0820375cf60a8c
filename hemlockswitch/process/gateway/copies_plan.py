"""How many copies of a service are needed, and of which kind in which zone: pure functions."""

import math
from collections.abc import Mapping
from dataclasses import dataclass

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
    """The work that callers ask of a service now, over all gateways.

    Parameters
    ==========

    prefill_tokens_per_ms : prompt tokens that were not expected in a cache.
    running : requests in progress.
    """

    prefill_tokens_per_ms: float = 0.0
    running: float = 0.0


@dataclass(frozen=True)
class CopiesSituation:
    """What a plan is made from.

    Parameters
    ==========

    zones : the availability zones of the site.
    live : copies by pool that serve and are not leaving.
    dry : pools where none were to be had a moment ago.
    fewest : copies that are needed whatever the demand seems to be.
    tokens_per_ms : how fast an engine reads prompts, as far as was observed.
    """

    service: ForwardedService
    zones: tuple[str, ...]
    live: Mapping[Pool, int]
    demand: Demand = Demand()
    dry: frozenset[Pool] = frozenset()
    fewest: int = 0
    tokens_per_ms: float = PRIOR.tokens_per_ms


TARGET_PREFILL_SHARE = 0.55
"""Part of the engines' reading time that is planned for. Prompts arrive at random: at half of the
capacity the mean wait is about one prompt's reading. The rate is the one that was observed, with the
steps of the batch in it."""
TARGET_SLOT_SHARE = 0.6
"""Part of the batches' slots that is planned for: token steps slow down as batches fill."""
FEWEST_COPIES = 3
"""Whatever the measured demand: what a lost copy had cached must be read again by the others, which
the demand shows only afterwards."""
FOUND_SHARE = 0.85
"""Part of the copies at the full price found at a takeover that is needed until the demand is
measured: operators size their fleets for the peak, and cold caches need more reading than the
demand shows."""
KEPT_SHARE = 0.4
"""The same part of all copies. Reclaimable ones were ordered by an earlier holder and are twice
what is needed: a larger part would raise the orders at each takeover."""
PRIOR_MS = 12_000.0
"""How long after the first requests the measured demand is not trusted alone: three times the time
constant with which it is measured, in which the shared parts have been read once."""
RESERVE_FACTOR = 1.25
"""With this many times what is needed in reclaimable copies that serve, copies at the full price
are given back at once: after a first start they are most of what is paid until the first request."""
CHEAP_PRICE = 0.35
"""Up to this part of the full price, copies for the loss of a second zone cost less than the
stand-ins that are ordered in a wave, and boot too late, at the full price."""


def count_needed(situation: CopiesSituation) -> int:
    """Return how many copies the demand needs, without reserve for a loss."""
    return max(_count_by_demand(situation), situation.fewest)


def _count_by_demand(situation: CopiesSituation) -> int:
    """Return how many copies the measured demand needs, whatever was found at a takeover."""
    engine = situation.service.engine
    slots = engine.slots if engine is not None else 1
    demand = situation.demand
    by_prefill = demand.prefill_tokens_per_ms / (situation.tokens_per_ms * TARGET_PREFILL_SHARE)
    by_slots = demand.running / (slots * TARGET_SLOT_SHARE)
    return max(math.ceil(by_prefill), math.ceil(by_slots), FEWEST_COPIES)


def plan_copies(situation: CopiesSituation) -> dict[Pool, int]:
    """Return how many copies to have in every pool.

    Explanation
    ===========

    Reclaimable copies carry the demand, spread so that what is needed is left when one zone's are
    reclaimed at once; two zones' where they are cheap, since waves of reclaims go from zone to zone
    before the first one has any again. Copies that are not reclaimable stand in for those that are
    missing, in the cheapest zones: while a wave of reclaims goes round, nothing else is to be had.
    As soon as one zone has none to give, they also stand in for what the next zone would take,
    since they boot as long as a wave takes to the next zone; for that the measured demand counts
    alone. In calm times none is kept: the reserve is reclaimable, and one copy at the full price
    costs as much as a zone's worth of it.
    """
    needed = count_needed(situation)
    wanted = _plan_reclaimable(situation, needed)
    present = _count_present(situation, wanted)
    missing = max(needed - present, 0)
    if situation.dry:
        left = present - _count_largest_zone(situation, wanted)
        missing = max(missing, _count_by_demand(situation) - left)
    return wanted | _plan_on_demand(situation, missing, wanted)


def _count_largest_zone(situation: CopiesSituation, wanted: Mapping[Pool, int]) -> int:
    """Return how many of the wanted reclaimable copies the next wave may take."""
    return max(
        (min(situation.live.get(pool, 0), count) for pool, count in wanted.items()), default=0
    )


def has_reserve(situation: CopiesSituation, wanted: Mapping[Pool, int]) -> bool:
    """Return whether the reclaimable copies of a plan that serve now are well above the need.

    Copies at the full price may leave no room for that many: then it is enough that all which fit
    beside them serve, as long as there are more to be had in every zone.
    """
    reclaimable = {
        pool: count
        for pool, count in wanted.items()
        if pool.machine_class is MachineClass.RECLAIMABLE
    }
    present, needed = _count_present(situation, reclaimable), count_needed(situation)
    fills_room = present == sum(reclaimable.values()) and not situation.dry
    return present >= (needed if fills_room else RESERVE_FACTOR * needed)


def _count_present(situation: CopiesSituation, wanted: Mapping[Pool, int]) -> int:
    """Return how many of the wanted copies serve now."""
    return sum(min(situation.live.get(pool, 0), count) for pool, count in wanted.items())


def _plan_reclaimable(situation: CopiesSituation, needed: int) -> dict[Pool, int]:
    """Return the reclaimable copies by zone; none beyond the present ones where it is dry."""
    scaling = situation.service.scaling
    assert scaling is not None
    lost_zones = 2 if scaling.reclaimable_price <= CHEAP_PRICE else 1
    per_zone = math.ceil(needed / max(len(situation.zones) - lost_zones, 1))
    # One place in each zone stays free for a copy that is not reclaimable.
    per_zone = min(per_zone, max(scaling.max_copies - 1, 1))
    wanted: dict[Pool, int] = {}
    for zone in situation.zones:
        pool = Pool(zone, MachineClass.RECLAIMABLE)
        present = situation.live.get(pool, 0)
        # The bound is on both classes together: what has no room now is ordered once it has.
        room = scaling.max_copies - situation.live.get(Pool(zone, MachineClass.ON_DEMAND), 0)
        most = present if pool in situation.dry else max(room, present)
        wanted[pool] = min(per_zone, most)
    return wanted


def _plan_on_demand(
    situation: CopiesSituation, count: int, reclaimable: Mapping[Pool, int]
) -> dict[Pool, int]:
    """Return `count` copies over the zones, the cheapest first, as evenly as the bounds allow."""
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
    """Return how many of the copies found count as needed."""
    found = sum(
        number for pool, number in live.items() if pool.machine_class is MachineClass.ON_DEMAND
    )
    return math.ceil(max(FOUND_SHARE * found, KEPT_SHARE * sum(live.values())))
