"""How many copies of a service to order in each availability zone, and of which machine class.

`plan_copies` is a pure function of what is known; `ScalingDuty` compares its result with the last
orders and sends the difference.
"""

from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from enum import StrEnum
from typing import Protocol

from hemlockswitch.core.clock import Clock
from hemlockswitch.core.events import Event
from hemlockswitch.core.logs import log_event
from hemlockswitch.version.backend import BackendServer, BackendState
from hemlockswitch.version.models import MachineClass
from hemlockswitch.version.serving_table import ForwardedService, ServingTable

DRY_MS = 3_000.0
"""How long not to ask again for a class in a zone that had none; reclaims leave a zone without
for some ten seconds, and each call costs."""
REPEAT_MS = 20_000.0
"""An order is sent again after this time even if nothing changed: a lost one must not stay lost."""


@dataclass(frozen=True, order=True)
class Pool:
    """Copies of one machine class in one zone."""

    zone: str
    machine_class: MachineClass


@dataclass(frozen=True)
class CopiesSituation:
    """What a plan is made from.

    Parameters
    ==========

    live : copies by pool that serve or start.
    dry : pools where none are to be had now.
    """

    service: ForwardedService
    zones: tuple[str, ...]
    live: Mapping[Pool, int]
    dry: frozenset[Pool] = frozenset()


STEADY_ON_DEMAND = 2
"""Copies that are never reclaimed, in the cheapest zones: what serves while a wave of reclaims is
replaced."""
RECLAIMABLE_PER_ZONE = 1


def plan_copies(situation: CopiesSituation) -> dict[Pool, int]:
    """Return how many copies to have in every pool."""
    scaling = situation.service.scaling
    assert scaling is not None
    by_price = sorted(situation.zones, key=lambda zone: scaling.zone_prices.get(zone, 1.0))
    wanted: dict[Pool, int] = {}
    for rank, zone in enumerate(by_price):
        reclaimable = Pool(zone, MachineClass.RECLAIMABLE)
        on_demand = Pool(zone, MachineClass.ON_DEMAND)
        steady = 1 if rank < STEADY_ON_DEMAND else 0
        lost = reclaimable in situation.dry and not situation.live.get(reclaimable)
        wanted[reclaimable] = RECLAIMABLE_PER_ZONE
        wanted[on_demand] = min(max(steady, 1 if lost else 0), scaling.max_copies)
    return wanted


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
    clock : the time.
    """

    def __init__(
        self,
        api: ScalingApi,
        zones: Sequence[str],
        get_table: Callable[[], ServingTable | None],
        list_servers: Callable[[], list[BackendServer]],
        clock: Clock,
    ) -> None:
        self._api = api
        self._zones = tuple(zones)
        self._get_table = get_table
        self._list_servers = list_servers
        self._clock = clock
        self._orders: dict[tuple[str, Pool], _Order] = {}
        self._dry_until_ms: dict[tuple[str, Pool], float] = {}

    def forget_orders(self) -> None:
        """Send every order anew: another gateway may have ordered in between."""
        self._orders.clear()

    def take_turn(self, get_fencing: Callable[[], int]) -> None:
        """Send the orders that are due.

        Raises
        ======

        LeaseError : the duty is not held any more.
        PlatformError : the API did not answer.
        """
        table = self._get_table()
        if table is None:
            return
        for service in table.services.values():
            if service.scaling is not None:
                self._order_service(service, get_fencing)

    def _order_service(self, service: ForwardedService, get_fencing: Callable[[], int]) -> None:
        wanted = plan_copies(self._describe(service))
        for pool, count in sorted(wanted.items()):
            if self._is_due(service.name, pool, count):
                self._send(service.name, pool, count, get_fencing())

    def _describe(self, service: ForwardedService) -> CopiesSituation:
        live: dict[Pool, int] = {}
        for server in self._list_servers():
            if server.serves == service.name and server.state is BackendState.LIVE:
                pool = Pool(server.zone, MachineClass(server.machine_class))
                live[pool] = live.get(pool, 0) + 1
        now_ms = self._clock.now_ms()
        dry = frozenset(
            pool
            for (name, pool), until_ms in self._dry_until_ms.items()
            if name == service.name and until_ms > now_ms
        )
        return CopiesSituation(service, self._zones, live, dry)

    def _is_due(self, service: str, pool: Pool, count: int) -> bool:
        now_ms = self._clock.now_ms()
        if self._dry_until_ms.get((service, pool), 0.0) > now_ms:
            return False
        last = self._orders.get((service, pool))
        return last is None or last.count != count or now_ms - last.sent_ms > REPEAT_MS

    def _send(self, service: str, pool: Pool, count: int, fencing: int) -> None:
        outcome = self._api.order_copies(service, pool, count, fencing)
        log_event(
            Event.COPIES_ORDERED,
            service=service,
            zone=pool.zone,
            machine_class=pool.machine_class.value,
            count=count,
            outcome=outcome.value,
            fencing=fencing,
        )
        now_ms = self._clock.now_ms()
        if outcome is OrderOutcome.TAKEN:
            self._orders[service, pool] = _Order(count, now_ms)
            return
        self._dry_until_ms[service, pool] = now_ms + DRY_MS
        self._orders.pop((service, pool), None)
