"""Simulated cloud API and the duty that orders copies from it, for tests of copy orders."""

from dataclasses import dataclass, field

from hemlockswitch.core.clock import ManualClock
from hemlockswitch.process.gateway.copies_plan import CopiesSituation, Demand, Pool
from hemlockswitch.process.gateway.scaling import OrderOutcome, ScalingDuty
from hemlockswitch.version.backend import BackendServer
from hemlockswitch.version.machine_class import MachineClass
from hemlockswitch.version.serving_table import (
    CallerLimits,
    EngineCapacity,
    ForwardedService,
    ScalingBounds,
    ServingTable,
)

ZONES = ("z1", "z2", "z3", "z4")
PRICES = {"z1": 1.0, "z2": 0.8, "z3": 1.25, "z4": 0.9}
BOOT_MS = 4_000
SERVICE = ForwardedService(
    "llm", 600, EngineCapacity(128, 600_000), ScalingBounds(1, 3, BOOT_MS, 0.15, PRICES)
)
RECLAIMABLE, ON_DEMAND = MachineClass.RECLAIMABLE, MachineClass.ON_DEMAND


def make_situation(live=None, tokens=0.0, running=0, unavailable=()):
    return CopiesSituation(
        SERVICE, ZONES, live or {}, Demand(tokens, running), frozenset(unavailable)
    )


@dataclass
class Market:
    """Simulated cloud API whose copies boot, are reclaimed by zone, and are unavailable for some time."""

    clock: ManualClock
    unavailable_until_ms: float = 0.0
    booting: list = field(default_factory=list)
    servers: dict = field(default_factory=dict)
    calls: int = 0
    is_listed: bool = True
    is_mostly_listed: bool = False
    made: int = 0
    orders: list = field(default_factory=list)

    def order_copies(self, service, pool, wanted, fencing):
        self.calls += 1
        self.orders.append((pool, wanted))
        present = [one for one in self.servers.values() if self.pool_of(one) == pool]
        coming = [entry for entry in self.booting if entry[1] == pool]
        missing = wanted - len(present) - len(coming)
        is_unavailable = self.clock.now_ms() < self.unavailable_until_ms
        if missing > 0 and is_unavailable and pool.machine_class is RECLAIMABLE:
            return OrderOutcome.NONE_AVAILABLE
        for _ in range(max(missing, 0)):
            self.booting.append((self.clock.now_ms() + BOOT_MS, pool))
        for server in present[: max(-missing, 0)]:
            del self.servers[server.name]
        return OrderOutcome.TAKEN

    @staticmethod
    def pool_of(server):
        return Pool(server.zone, MachineClass(server.machine_class))

    def advance(self, duration_ms):
        self.clock.advance(duration_ms)
        for entry in [one for one in self.booting if one[0] <= self.clock.now_ms()]:
            self.booting.remove(entry)
            self.add(entry[1])

    def add(self, pool):
        self.made += 1
        name = f"copy-{self.made}"
        machine_class = pool.machine_class.value
        self.servers[name] = BackendServer(
            name, pool.zone, "127.0.0.1:1", "llm", machine_class, slots=128
        )

    def reclaim(self, zone, unavailable_ms):
        self.unavailable_until_ms = max(
            self.unavailable_until_ms, self.clock.now_ms() + unavailable_ms
        )
        pool = Pool(zone, RECLAIMABLE)
        for server in [one for one in self.servers.values() if self.pool_of(one) == pool]:
            del self.servers[server.name]

    def list(self):
        return list(self.servers.values())


def make_duty(market, tokens, service=SERVICE, count_running=lambda: 0):
    table = ServingTable(1, (), {"llm": service}, CallerLimits(), {})
    return ScalingDuty(
        market,
        ZONES,
        lambda: table,
        market.list,
        lambda name: Demand(tokens, count_running()),
        lambda name: 50.0,
        lambda: market.is_listed,
        lambda: market.is_mostly_listed,
        market.clock,
    )


def simulate(market, duty, duration_ms, sizes=None):
    for _ in range(int(duration_ms / 250)):
        duty.take_turn(lambda: 7)
        market.advance(250)
        if sizes is not None:
            sizes.append(len(market.servers))
