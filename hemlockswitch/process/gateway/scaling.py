"""Duty that orders copies according to the plan; see `process.gateway.copies_plan`."""

from collections import Counter
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, replace
from enum import StrEnum
from typing import Any, Protocol

from hemlockswitch.core.clock import Clock
from hemlockswitch.core.events import Event
from hemlockswitch.core.logs import log_event
from hemlockswitch.process.gateway.copies_ahead import CopiesAhead
from hemlockswitch.process.gateway.copies_plan import (
    PRIOR_LIFETIME_MS,
    CopiesSituation,
    Demand,
    Expected,
    Pool,
    count_measured,
    count_needed,
    count_prior,
    has_reserve,
    plan_copies,
)
from hemlockswitch.process.gateway.meters import LevelMeter
from hemlockswitch.version.backend import BackendServer, BackendState
from hemlockswitch.version.machine_class import MachineClass
from hemlockswitch.version.serving_table import ForwardedService, ServingTable

UNAVAILABLE_RETRY_MS = 3_000.0
"""How long not to order from a pool that had no copies to offer. Reclaims leave a zone without copies
for some ten seconds, and each call costs."""
SHRINK_AFTER_MS = 4_000.0
"""How long fewer copies must suffice before some are released. A copy boots for some four seconds, so
releasing one for a shorter time only costs."""
REORDER_DELAY_MS = 8_000.0
"""When to repeat an order whose copies have not registered: twice the boot time of a copy."""
REPEAT_INTERVAL_MS = 20_000.0
"""An order is repeated after this time even if nothing changed, in case it was lost."""


class OrderOutcome(StrEnum):
    """Outcome of an order for copies."""

    TAKEN = "taken"
    NONE_AVAILABLE = "none_available"
    REFUSED = "refused"


class ScalingApi(Protocol):
    """Accepts orders for copies."""

    def order_copies(self, service: str, pool: Pool, count: int, fencing: int) -> OrderOutcome:
        """Order a total of `count` copies in a pool."""


@dataclass(frozen=True)
class _Order:
    count: int
    sent_ms: float


class ScalingDuty:
    """Orders and releases copies so that their number follows the plan.

    Parameters
    ==========

    api : accepts the orders.
    zones : the availability zones of the site.
    get_table : returns the configuration in force.
    list_servers : returns the registered backend servers.
    measure_demand : returns the demand of a service over all gateways.
    find_tokens_per_ms : returns the prefill rate of a service's engines.
    has_all_servers : returns whether the list of servers is complete. Until then only the first reclaimable
        copies are ordered, since an order also releases the copies above its count.
    has_most_servers : returns whether live servers have had time to register.
    clock : source of the current time.
    is_moving : returns whether a service moves to another version. No copies are released meanwhile,
        since an order does not name a version.
    ahead : the expected load of the managed services; None if no service is managed.

    `situations` has the inputs of the last plan of each service, and `orders` the number of orders by service,
    machine class and outcome, for the metrics.
    """

    def __init__(
        self,
        api: ScalingApi,
        zones: Sequence[str],
        get_table: Callable[[], ServingTable | None],
        list_servers: Callable[[], list[BackendServer]],
        measure_demand: Callable[[str], Demand],
        find_tokens_per_ms: Callable[[str], float],
        has_all_servers: Callable[[], bool],
        has_most_servers: Callable[[], bool],
        clock: Clock,
        is_moving: Callable[[str], bool] = lambda _: False,
        ahead: CopiesAhead | None = None,
    ) -> None:
        self._ahead = ahead
        self.situations: dict[str, CopiesSituation] = {}
        self.orders: Counter[tuple[str, str, str]] = Counter()
        self._is_moving = is_moving
        self._api = api
        self._zones = tuple(zones)
        self._get_table = get_table
        self._list_servers = list_servers
        self._measure_demand = measure_demand
        self._find_tokens_per_ms = find_tokens_per_ms
        self._has_all_servers = has_all_servers
        self._has_most_servers = has_most_servers
        self._clock = clock
        self._orders: dict[tuple[str, Pool], _Order] = {}
        self._unavailable_until_ms: dict[tuple[str, Pool], float] = {}
        self._surplus_since_ms: dict[tuple[str, Pool], float] = {}
        self._priors: dict[str, int] = {}
        self._demand_since_ms: dict[str, float] = {}
        self._running: dict[str, LevelMeter] = {}

    def take_over(self) -> None:
        """Discard this gateway's orders, since another gateway may have ordered in the meantime.

        The registered copies then stand in for the last orders, so that a new holder with incomplete
        data does not release copies at once.
        """
        self._orders.clear()
        self._surplus_since_ms.clear()
        self._priors.clear()
        self._demand_since_ms.clear()
        self._running.clear()
        self.situations.clear()
        if self._ahead is not None:
            self._ahead.reset()

    def take_turn(self, get_fencing: Callable[[], int]) -> None:
        """Send the orders that are due.

        Raises
        ======

        LeaseError : the lease is no longer held.
        PlatformError : the API did not answer.
        """
        table = self._get_table()
        if table is None:
            return
        order = self._order_service if self._has_all_servers() else self._order_initial
        for service in table.services.values():
            if service.scaling is not None:
                order(service, get_fencing)
        for name in self.situations.keys() - table.services.keys():
            del self.situations[name]

    def _order_initial(self, service: ForwardedService, get_fencing: Callable[[], int]) -> None:
        """Order reclaimable copies if none is registered, before the list of servers is complete.

        An order also releases the copies above its count, so other orders wait for the complete list.
        At a first start the copies found run at the full price until reclaimable copies serve: each
        second saved saves one copy-second for each of them.
        """
        if not self._has_most_servers():
            return
        situation = self._describe(service)
        wanted = plan_copies(situation)
        has_reclaimable = any(
            pool.machine_class is MachineClass.RECLAIMABLE for pool in situation.live
        )
        if not situation.live or has_reclaimable:
            return
        for pool, count in sorted(wanted.items()):
            last = self._orders.get((service.name, pool))
            is_more = last is None or count > last.count
            is_wanted = is_more and pool not in situation.unavailable
            if is_wanted and pool.machine_class is MachineClass.RECLAIMABLE:
                self._send(situation, pool, count, get_fencing())

    def _order_service(self, service: ForwardedService, get_fencing: Callable[[], int]) -> None:
        situation = self._describe(service)
        wanted = plan_copies(situation)
        is_covered = has_reserve(situation, wanted)
        for pool, count in sorted(wanted.items()):
            live = situation.live.get(pool, 0)
            last = self._orders.setdefault((service.name, pool), _Order(live, float("-inf")))
            shrink_after_ms = self._find_shrink_delay_ms(situation)
            has_booted = self._clock.now_ms() - last.sent_ms >= SHRINK_AFTER_MS
            if is_covered and has_booted and pool.machine_class is MachineClass.ON_DEMAND:
                shrink_after_ms = 0.0
            if self._is_due(service.name, pool, count, live, shrink_after_ms):
                self._send(situation, pool, count, get_fencing())

    @staticmethod
    def _find_shrink_delay_ms(situation: CopiesSituation) -> float:
        """Return how long fewer copies must suffice; for a managed service a boot time longer.

        The demand that a copy was released for may return before another one has booted. With the shorter delay
        too few copies served for a tenth of the requests of a steady demand.
        """
        scaling = situation.service.scaling
        if situation.expected is None or scaling is None:
            return SHRINK_AFTER_MS
        return SHRINK_AFTER_MS + scaling.boot_ms

    def _describe(self, service: ForwardedService) -> CopiesSituation:
        live: dict[Pool, int] = {}
        now_ms = self._clock.now_ms()
        servers = [one for one in self._list_servers() if one.serves == service.name]
        for server in servers:
            pool = Pool(server.zone, MachineClass(server.machine_class))
            if server.state is BackendState.LIVE:
                live[pool] = live.get(pool, 0) + 1
            elif pool.machine_class is MachineClass.RECLAIMABLE:
                # A zone whose copies are being reclaimed offers no new ones for a while.
                self._unavailable_until_ms[service.name, pool] = now_ms + UNAVAILABLE_RETRY_MS
        unavailable = frozenset(
            pool
            for (name, pool), until_ms in self._unavailable_until_ms.items()
            if name == service.name and until_ms > now_ms
        )
        demand = self._measure(service.name)
        min_copies = self._find_prior(service.name, live, demand)
        tokens_per_ms = self._find_tokens_per_ms(service.name)
        expected = None
        if self._ahead is not None:
            is_moving = self._is_moving(service.name)
            expected = self._ahead.describe(service, servers, is_moving=is_moving)
        situation = CopiesSituation(
            service, self._zones, live, demand, unavailable, min_copies, tokens_per_ms, expected
        )
        self.situations[service.name] = situation
        return situation

    def _measure(self, service: str) -> Demand:
        measured = self._measure_demand(service)
        meter = self._running.setdefault(service, LevelMeter())
        return replace(measured, running=meter.read(self._clock.now_ms(), measured.running))

    def _find_prior(self, service: str, live: Mapping[Pool, int], demand: Demand) -> int:
        """Return how many of the copies found to retain; 0 once the demand has been measured."""
        now_ms = self._clock.now_ms()
        prior = self._priors.get(service, count_prior(live))
        if self._has_all_servers():
            self._priors[service] = prior
        if demand.running or demand.prefill_tokens_per_ms > 0:
            self._demand_since_ms.setdefault(service, now_ms)
        since_ms = self._demand_since_ms.get(service)
        return prior if since_ms is None or now_ms - since_ms < PRIOR_LIFETIME_MS else 0

    def _is_due(
        self, service: str, pool: Pool, count: int, live: int, shrink_after_ms: float
    ) -> bool:
        now_ms = self._clock.now_ms()
        if self._unavailable_until_ms.get((service, pool), 0.0) > now_ms:
            return False
        last = self._orders[service, pool]
        if count >= last.count:
            self._surplus_since_ms.pop((service, pool), None)
            period_ms = REORDER_DELAY_MS if count > live else REPEAT_INTERVAL_MS
            return count > last.count or now_ms - last.sent_ms > period_ms
        if self._is_moving(service):
            return False
        since_ms = self._surplus_since_ms.setdefault((service, pool), now_ms)
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
            running=round(situation.demand.running, 1),
            tokens_per_ms=round(situation.tokens_per_ms, 1),
            outcome=outcome.value,
            fencing=fencing,
            **_describe_expected(situation),
        )
        self.orders[service, pool.machine_class.value, outcome.value] += 1
        now_ms = self._clock.now_ms()
        if outcome is OrderOutcome.TAKEN:
            self._record_release(service, pool, situation.live.get(pool, 0) - count)
            self._orders[service, pool] = _Order(count, now_ms)
            self._surplus_since_ms.pop((service, pool), None)
            return
        self._unavailable_until_ms[service, pool] = now_ms + UNAVAILABLE_RETRY_MS

    def _record_release(self, service: str, pool: Pool, count: int) -> None:
        """Record that an order releases `count` copies, if it does and the service is managed."""
        if count > 0 and self._ahead is not None and self._ahead.is_managed(service):
            self._ahead.record_release(service, pool, count)


def _describe_expected(situation: CopiesSituation) -> dict[str, Any]:
    """Return what is expected of a managed service and the age of each input, for the log."""
    expected: Expected | None = situation.expected
    if expected is None:
        return {}
    return {
        "measured_needed": count_measured(situation),
        "requested_tokens_per_ms": round(expected.level, 1),
        "growth_tokens_per_ms": round(expected.growth, 1),
        "fastest": "/".join(expected.fastest) if expected.fastest is not None else "",
        "trend_ms": round(expected.span_ms),
        "reporting": expected.reporting,
        "report_age_ms": round(expected.report_age_ms),
        "slowness": round(expected.slowness, 2),
        "pace_age_ms": None if expected.pace_age_ms is None else round(expected.pace_age_ms),
        "reclaimed": {pool.zone: count for pool, count in sorted(expected.reclaimed.items())},
        "reclaim_age_ms": (
            None if expected.reclaim_age_ms is None else round(expected.reclaim_age_ms)
        ),
    }
