"""How many copies of a service to order in each availability zone, and of which machine class.

`plan_copies` is a pure function of what is known; `ScalingDuty` compares its result with the last
orders and sends the difference.
"""

import math
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from enum import StrEnum
from typing import Protocol

from hemlockswitch.core.clock import Clock
from hemlockswitch.core.events import Event
from hemlockswitch.core.logs import log_event
from hemlockswitch.request.engine_model import PRIOR
from hemlockswitch.version.backend import BackendServer, BackendState
from hemlockswitch.version.machine_class import MachineClass
from hemlockswitch.version.serving_table import ForwardedService, ServingTable

DRY_MS = 3_000.0
"""How long not to ask again for a class in a zone that had none; reclaims leave a zone without
for some ten seconds, and each call costs."""
SHRINK_AFTER_MS = 4_000.0
"""How long fewer copies must be enough before some are given back: a started copy boots for some
four seconds, so giving one back for less time only costs."""
REORDER_MS = 8_000.0
"""When to order again copies that have not come: twice the time in which they boot."""
REPEAT_MS = 20_000.0
"""An order is sent again after this time even if nothing changed: a lost one must not stay lost."""


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
    running: int = 0


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
"""Part of the engines' reading time that is planned for. Prompts of some 10,000 tokens arrive at
random; at half of the capacity the mean wait is about one prompt's reading, which the objectives
allow, and a burst of 1.7 times still fits. The rate is the one that was observed, with the steps of
the batch in it; between 0.45 and 0.65 the requests in time differ by less than one in a hundred."""
TARGET_SLOT_SHARE = 0.6
"""Part of the batches' slots that is planned for: token steps slow down as batches fill."""
FEWEST_COPIES = 3
"""Whatever the measured demand: what a lost copy had cached must be read again by the others, which
the demand shows only afterwards. With two, quiet-1 of qafza-book waited 650 ms for first events in a
wave of reclaims, and its worst windows fell from 0.87 to 0.66."""


FOUND_SHARE = 0.85
"""Part of the copies at the full price found at a takeover that is needed until the demand is
measured: operators size their fleets for the peak, and cold caches need more reading than the demand shows.
Trials of quiet-1 of the grown Qafza site: worth 0.346 with 0.4, 0.508 with 0.6, 0.577 with 0.85."""
KEPT_SHARE = 0.4
"""The same part of all copies. Reclaimable ones were ordered by an earlier holder and are twice what
is needed; with 0.85 of them too each takeover raised the orders, and trouble-1 of the small Qafza
site fell from 0.522 to 0.469."""
PRIOR_MS = 12_000.0
"""How long after the first requests the measured demand is not trusted alone: three times the time
constant with which it is measured, in which the shared parts have been read once."""
RESERVE_FACTOR = 1.25
"""With this many times what is needed in reclaimable copies that serve, copies at the full price are
given back at once: at the start of a day they are most of what is paid until the first request."""
CHEAP_PRICE = 0.35
"""Up to this part of the full price, copies for the loss of a second zone cost less than the stand-ins
that are ordered in a wave, and boot too late, at the full price."""


def count_needed(situation: CopiesSituation) -> int:
    """Return how many copies the demand needs, without reserve for a loss."""
    engine = situation.service.engine
    slots = engine.slots if engine is not None else 1
    demand = situation.demand
    by_prefill = demand.prefill_tokens_per_ms / (situation.tokens_per_ms * TARGET_PREFILL_SHARE)
    by_slots = demand.running / (slots * TARGET_SLOT_SHARE)
    needed = max(math.ceil(by_prefill), math.ceil(by_slots))
    return max(needed, situation.fewest, FEWEST_COPIES)


def plan_copies(situation: CopiesSituation) -> dict[Pool, int]:
    """Return how many copies to have in every pool.

    Explanation
    ===========

    Reclaimable copies carry the demand, spread so that what is needed is left when one zone's
    are reclaimed at once; two zones' where they are cheap, since waves of reclaims go from zone to
    zone before the first one has any again. Copies that are not reclaimable stand in for those that
    are missing, in the cheapest zones: while a wave of reclaims goes round, nothing else is to be
    had. As soon as one zone has none to give, they also stand in for what the next zone would take,
    since they boot as long as a wave takes to the next zone. In calm times none is kept: the reserve
    is reclaimable, and one copy at the full price costs as much as a zone's worth of it.
    """
    needed = count_needed(situation)
    wanted = _plan_reclaimable(situation, needed)
    present = _count_present(situation, wanted)
    if situation.dry:
        present -= _count_largest_zone(situation, wanted)
    missing = max(needed - present, 0)
    return wanted | _plan_on_demand(situation, missing, wanted)


def _count_largest_zone(situation: CopiesSituation, wanted: Mapping[Pool, int]) -> int:
    """Return how many of the wanted reclaimable copies the next wave may take."""
    return max(
        (min(situation.live.get(pool, 0), count) for pool, count in wanted.items()), default=0
    )


def has_reserve(situation: CopiesSituation, wanted: Mapping[Pool, int]) -> bool:
    """Return whether the reclaimable copies of a plan that serve now are well above the need."""
    reclaimable = {
        pool: count
        for pool, count in wanted.items()
        if pool.machine_class is MachineClass.RECLAIMABLE
    }
    return _count_present(situation, reclaimable) >= RESERVE_FACTOR * count_needed(situation)


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
        wanted[pool] = min(per_zone, present) if pool in situation.dry else per_zone
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


def _count_prior(live: Mapping[Pool, int]) -> int:
    """Return how many of the copies found count as needed."""
    found = sum(
        number for pool, number in live.items() if pool.machine_class is MachineClass.ON_DEMAND
    )
    return math.ceil(max(FOUND_SHARE * found, KEPT_SHARE * sum(live.values())))


class OrderOutcome(StrEnum):
    """What became of an order."""

    TAKEN = "taken"
    NONE_AVAILABLE = "none_available"
    REFUSED = "refused"


class ScalingApi(Protocol):
    """Takes orders for copies."""

    def order_copies(self, service: str, pool: Pool, count: int, fencing: int) -> OrderOutcome:
        """Order `count` copies in a pool."""


@dataclass(frozen=True)
class _Order:
    count: int
    sent_ms: float


class ScalingDuty:
    """Keeps the ordered copies at what the plan wants.

    Parameters
    ==========

    api : takes the orders.
    zones : the availability zones of the site.
    get_table : returns the configuration in force.
    list_servers : returns the backend servers that are registered.
    measure_demand : returns the demand of a service over all gateways.
    find_tokens_per_ms : returns how fast a service's engines read prompts.
    knows_all : returns whether the list of servers is complete; nothing is ordered before, as an
        order also says how many copies are too many.
    clock : the time.
    """

    def __init__(
        self,
        api: ScalingApi,
        zones: Sequence[str],
        get_table: Callable[[], ServingTable | None],
        list_servers: Callable[[], list[BackendServer]],
        measure_demand: Callable[[str], Demand],
        find_tokens_per_ms: Callable[[str], float],
        knows_all: Callable[[], bool],
        clock: Clock,
    ) -> None:
        self._api = api
        self._zones = tuple(zones)
        self._get_table = get_table
        self._list_servers = list_servers
        self._measure_demand = measure_demand
        self._find_tokens_per_ms = find_tokens_per_ms
        self._knows_all = knows_all
        self._clock = clock
        self._orders: dict[tuple[str, Pool], _Order] = {}
        self._dry_until_ms: dict[tuple[str, Pool], float] = {}
        self._enough_since_ms: dict[tuple[str, Pool], float] = {}
        self._priors: dict[str, int] = {}
        self._demand_since_ms: dict[str, float] = {}

    def take_over(self) -> None:
        """Forget the own orders: another gateway may have ordered in between.

        The copies that are registered then stand for its last orders, so that a new holder whose
        picture is incomplete does not give copies back at once.
        """
        self._orders.clear()
        self._enough_since_ms.clear()
        self._priors.clear()
        self._demand_since_ms.clear()

    def take_turn(self, get_fencing: Callable[[], int]) -> None:
        """Send the orders that are due.

        Raises
        ======

        LeaseError : the duty is not held any more.
        PlatformError : the API did not answer.
        """
        table = self._get_table()
        if table is None or not self._knows_all():
            return
        for service in table.services.values():
            if service.scaling is not None:
                self._order_service(service, get_fencing)

    def _order_service(self, service: ForwardedService, get_fencing: Callable[[], int]) -> None:
        situation = self._describe(service)
        wanted = plan_copies(situation)
        is_covered = has_reserve(situation, wanted)
        for pool, count in sorted(wanted.items()):
            shrink_after_ms = SHRINK_AFTER_MS
            if is_covered and pool.machine_class is MachineClass.ON_DEMAND:
                shrink_after_ms = 0.0
            key = (service.name, pool)
            self._orders.setdefault(key, _Order(situation.live.get(pool, 0), float("-inf")))
            live = situation.live.get(pool, 0)
            if self._is_due(service.name, pool, count, live, shrink_after_ms):
                self._send(situation, pool, count, get_fencing())

    def _describe(self, service: ForwardedService) -> CopiesSituation:
        live: dict[Pool, int] = {}
        now_ms = self._clock.now_ms()
        for server in self._list_servers():
            if server.serves != service.name:
                continue
            pool = Pool(server.zone, MachineClass(server.machine_class))
            if server.state is BackendState.LIVE:
                live[pool] = live.get(pool, 0) + 1
            elif pool.machine_class is MachineClass.RECLAIMABLE:
                # A zone whose copies are being reclaimed has no others for a while.
                self._dry_until_ms[service.name, pool] = now_ms + DRY_MS
        dry = frozenset(
            pool
            for (name, pool), until_ms in self._dry_until_ms.items()
            if name == service.name and until_ms > now_ms
        )
        demand = self._measure_demand(service.name)
        fewest = self._find_prior(service.name, live, demand)
        tokens_per_ms = self._find_tokens_per_ms(service.name)
        return CopiesSituation(service, self._zones, live, demand, dry, fewest, tokens_per_ms)

    def _find_prior(self, service: str, live: Mapping[Pool, int], demand: Demand) -> int:
        """Return what to keep of the copies found, until the demand has been measured."""
        now_ms = self._clock.now_ms()
        prior = self._priors.setdefault(service, _count_prior(live))
        if demand.running or demand.prefill_tokens_per_ms > 0:
            self._demand_since_ms.setdefault(service, now_ms)
        since_ms = self._demand_since_ms.get(service)
        return prior if since_ms is None or now_ms - since_ms < PRIOR_MS else 0

    def _is_due(
        self, service: str, pool: Pool, count: int, live: int, shrink_after_ms: float
    ) -> bool:
        now_ms = self._clock.now_ms()
        if self._dry_until_ms.get((service, pool), 0.0) > now_ms:
            return False
        last = self._orders[service, pool]
        if count >= last.count:
            self._enough_since_ms.pop((service, pool), None)
            period_ms = REORDER_MS if count > live else REPEAT_MS
            return count > last.count or now_ms - last.sent_ms > period_ms
        since_ms = self._enough_since_ms.setdefault((service, pool), now_ms)
        return now_ms - since_ms >= shrink_after_ms

    def _send(self, situation: CopiesSituation, pool: Pool, count: int, fencing: int) -> None:
        service = situation.service.name
        outcome = self._api.order_copies(service, pool, count, fencing)
        log_event(
            Event.COPIES_ORDERED,
            service=service,
            zone=pool.zone,
            machine_class=pool.machine_class.value,
            count=count,
            live=situation.live.get(pool, 0),
            needed=count_needed(situation),
            prefill_tokens_per_ms=round(situation.demand.prefill_tokens_per_ms, 1),
            running=situation.demand.running,
            tokens_per_ms=round(situation.tokens_per_ms, 1),
            outcome=outcome.value,
            fencing=fencing,
        )
        now_ms = self._clock.now_ms()
        if outcome is OrderOutcome.TAKEN:
            self._orders[service, pool] = _Order(count, now_ms)
            self._enough_since_ms.pop((service, pool), None)
            return
        self._dry_until_ms[service, pool] = now_ms + DRY_MS
