"""Replay of a fleet, without a network, while servers leave by their own answers and ask for rest.

``python -m tests.statement_replay --seeds 50 --gateways 100`` prints what was seen. The object service is away all the
time, some gateways are cut off from the servers and send through others, messages are late or lost, and gateways
restart. A server sees the machine that connects to it.
"""

import argparse
import heapq
import itertools
import random
from collections import defaultdict
from dataclasses import dataclass, field

from hemlockswitch.connection.stored_objects import ObjectPage, StoredObject
from hemlockswitch.core.clock import ManualClock
from hemlockswitch.process.gateway.registry import ServerRegistry
from hemlockswitch.process.gateway.server_rests import ServerRests
from hemlockswitch.process.gateway.server_statements import ServerStatements
from hemlockswitch.version.backend import BackendServer

LENGTH_MS = 12_000.0
SERVERS = 12
REQUESTS_PER_S = 150.0
ZONES = 4
NEAR_FLEET = 30
"""Size up to which every gateway is near to every other one."""
RELAYS = 2
DRAIN_MS = 2_000.0
REST_MARGIN_MS = 500.0
MAX_IN_REST = 2
TUNNEL_MS = 3_000.0
"""How long an idle tunnel stays open."""


@dataclass(frozen=True)
class Peer:
    """A gateway as another one sees it."""

    name: str
    address: str


@dataclass
class Gateway:
    """A gateway with its real state; `tunnels` has the end of each open tunnel by (server, host)."""

    name: str
    zone: int
    registry: ServerRegistry
    rests: ServerRests
    statements: ServerStatements = None
    handlers: dict = field(default_factory=dict)
    tunnels: dict = field(default_factory=dict)
    is_cut: bool = False


@dataclass
class Server:
    """A server: when it begins to leave, and the spans in which it turns requests away with a rest."""

    name: str
    leaves_ms: float
    rests: list


@dataclass
class Result:
    """What a replay has seen."""

    sends: int = 0
    served: int = 0
    turned_away: int = 0
    unplaced: int = 0
    late: list = field(default_factory=list)
    crowded: list = field(default_factory=list)


class Network:
    """The messages of one gateway to the others."""

    def __init__(self, replay, name):
        self._replay = replay
        self._name = name

    def handle(self, kind, handler, *, runs_inline):
        """Register the handler of a kind of message."""
        assert runs_inline
        self._replay.handlers[self._name][kind] = handler

    def send_all(self, addresses, message):
        """Deliver a message to each address after its delay, unless it is lost."""
        for address in list(addresses):
            self._replay.deliver(address, message)


class View:
    """The other gateways as one of them knows them."""

    def __init__(self, replay, name, zone):
        self._replay = replay
        self.name = name
        self._zone = zone

    @property
    def reports_by_zone(self):
        """Whether the fleet is too large for all gateways to be near."""
        return len(self._replay.gateways) > NEAR_FLEET

    def list_connected(self):
        """Return all other gateways."""
        return [Peer(name, name) for name in self._replay.gateways if name != self.name]

    def list_near(self):
        """Return the gateways of the own zone, or all of a small fleet."""
        return [
            Peer(one.name, one.name)
            for one in self._replay.gateways.values()
            if one.name != self.name and (not self.reports_by_zone or one.zone == self._zone)
        ]

    def draw_relays(self):
        """Return gateways of each other zone."""
        return [
            self._replay.rng.sample(names, min(RELAYS, len(names)))
            for zone, names in self._replay.names_by_zone.items()
            if zone != self._zone
        ]


class Replay:
    """One seed."""

    def __init__(self, seed, gateways, rests_all=False):
        self.rng = random.Random(seed)
        self.clock = ManualClock()
        self.result = Result()
        self.handlers = defaultdict(dict)
        self.names_by_zone = defaultdict(list)
        self._events = []
        self._numbers = itertools.count()
        self.servers = [self._draw_server(number, rests_all) for number in range(SERVERS)]
        self.gateways = {}
        for number in range(gateways):
            name, zone = f"g{number}", number % ZONES
            self.names_by_zone[zone].append(name)
            self.gateways[name] = self._start(name, zone)
        self._passed_on = {}  # (server, machine): when
        self._asked = defaultdict(list)  # (server, machine): (when, rest)
        self._arrived = defaultdict(list)  # (server, machine): when

    def _draw_server(self, number, rests_all):
        rng, spans = self.rng, []
        if rests_all or rng.random() < 0.4:
            at_ms = 2_000.0 if rests_all else rng.uniform(500, 6_000)
            spans.append((at_ms, at_ms + rng.uniform(500, 4_000), rng.uniform(300, 4_000)))
        leaves_ms = rng.uniform(1_000, 9_000) if rng.random() < 0.3 else float("inf")
        return Server(f"s{number}", leaves_ms, spans)

    def _start(self, name, zone):
        registry = ServerRegistry(
            lambda item: BackendServer(item.name, "z1", "127.0.0.1:1", "llm"),
            self.clock,
            lambda _: None,
        )
        items = tuple(StoredObject("servers", one.name, 1, "live") for one in self.servers)
        registry.replace_all(ObjectPage(items, 1, is_whole=True))
        gateway = Gateway(name, zone, registry, ServerRests(self.clock, self.rng))
        self.handlers[name] = {}
        gateway.statements = ServerStatements(
            Network(self, name),
            View(self, name, zone),
            registry,
            gateway.rests,
            lambda server: self._list_users(server, name),
        )
        return gateway

    def _list_users(self, server, host):
        now_ms = self.clock.now_ms()
        return {
            one.name
            for one in self.gateways.values()
            if one.tunnels.get((server, host), -1.0) > now_ms
        }

    def deliver(self, address, message):
        """Deliver a message later; one in a hundred is lost, some are late."""
        if self.rng.random() < 0.01:
            return
        delay_ms = (
            self.rng.uniform(200, 400) if self.rng.random() < 0.02 else self.rng.uniform(1, 20)
        )
        self._at(delay_ms, lambda: self._receive(address, message))

    def _receive(self, address, message):
        handler = self.handlers[address].get(type(message))
        if handler is not None:
            handler("", message)

    def _at(self, delay_ms, act):
        heapq.heappush(self._events, (self.clock.now_ms() + delay_ms, next(self._numbers), act))

    def run(self):
        """Play the seed and return what was seen."""
        self._at(0.0, self._ask)
        for _ in range(self.rng.randint(1, 4)):
            self._at(self.rng.uniform(0, LENGTH_MS), self._disturb)
        while self._events and self._events[0][0] < LENGTH_MS:
            at_ms, _, act = heapq.heappop(self._events)
            self.clock.advance(at_ms - self.clock.now_ms())
            act()
        self._check_rests()
        return self.result

    def _disturb(self):
        gateway = self.rng.choice(list(self.gateways.values()))
        if self.rng.random() < 0.3:
            self.gateways[gateway.name] = self._start(gateway.name, gateway.zone)
            self._forget(gateway.name)
            return
        gateway.is_cut = True
        gateway.tunnels.clear()
        self._at(self.rng.uniform(1_000, 6_000), lambda: setattr(gateway, "is_cut", False))

    def _forget(self, machine):
        """A restart of a machine excuses it."""
        for records in (self._passed_on, self._asked, self._arrived):
            for key in [key for key in records if key[1] == machine]:
                del records[key]

    def _ask(self):
        # A few gateways get most requests, so that each server is asked often by one machine.
        names = list(self.gateways)
        names = names[:5] if self.rng.random() < 0.8 else names
        self._place(self.gateways[self.rng.choice(names)], self.clock.now_ms(), attempts=3)
        self._at(self.rng.expovariate(REQUESTS_PER_S / 1_000), self._ask)

    def _place(self, gateway, asked_ms, attempts):
        servers = gateway.rests.select(gateway.registry.list_ready("llm"))
        if not servers:
            self.result.unplaced += 1
            return
        server = self.rng.choice(servers)
        host = self._find_host(gateway, server) if gateway.is_cut else ""
        if host is None:
            self.result.unplaced += 1
            return
        self._at(
            self.rng.uniform(0, 40), lambda: self._send(gateway, server, host, asked_ms, attempts)
        )

    def _find_host(self, gateway, server):
        """Return a gateway to lead through: one with an open tunnel, or one that accepts a new one."""
        now_ms = self.clock.now_ms()
        for (name, host), until_ms in gateway.tunnels.items():
            if name == server.name and until_ms > now_ms:
                return host
        connected = [one for one in self.gateways.values() if not one.is_cut]
        for host in self.rng.sample(connected, min(3, len(connected))):
            if host.registry.find_live(server.name) and host.rests.may_send(server.name):
                return host.name
        return None

    def _send(self, gateway, server, host, asked_ms, attempts):
        """Send to the server if it may still get the request, once the connection is open."""
        is_live = gateway.registry.is_live(server)
        if not is_live or not gateway.rests.may_send(server.name):
            self._place(gateway, asked_ms, attempts)
            return
        if host:
            gateway.tunnels[server.name, host] = self.clock.now_ms() + TUNNEL_MS
        gateway.rests.record_sent(server.name)
        self.result.sends += 1
        sent_ms = self.clock.now_ms()
        delay_ms = self.rng.uniform(1, 10)
        self._at(delay_ms, lambda: self._arrive(gateway, server, host, asked_ms, sent_ms, attempts))

    def _arrive(self, gateway, server, host, asked_ms, sent_ms, attempts):
        if self.gateways[gateway.name] is not gateway:
            return  # The process has ended, and its connection with it.
        now_ms, machine = self.clock.now_ms(), host or gateway.name
        state = next(one for one in self.servers if one.name == server.name)
        key = server.name, machine
        self._arrived[key].append(now_ms)
        if asked_ms > self._passed_on.get(key, float("inf")) + DRAIN_MS:
            self.result.late.append((now_ms, key))
        rest_ms = max(
            (rest_ms for from_ms, until_ms, rest_ms in state.rests if from_ms <= now_ms < until_ms),
            default=0.0,
        )
        if rest_ms:
            self._asked[key].append((now_ms, rest_ms))
        leaves = now_ms >= state.leaves_ms
        delay_ms = self.rng.uniform(1, 10) + (0.0 if rest_ms else self.rng.uniform(5, 400))
        self._at(
            delay_ms,
            lambda: self._answer(
                gateway, server, host, sent_ms, asked_ms, rest_ms, leaves, attempts
            ),
        )

    def _answer(self, gateway, server, host, sent_ms, asked_ms, rest_ms, leaves, attempts):
        if self.gateways[gateway.name] is not gateway:
            return  # The process has ended meanwhile.
        if leaves:
            gateway.statements.record_leaving(server, host)
            for machine in {gateway.name, host} - {""}:
                self._passed_on.setdefault((server.name, machine), self.clock.now_ms())
        if rest_ms:
            gateway.statements.record_rest(server, rest_ms, host)
        gateway.statements.record_answered(server, sent_ms, was_declined=bool(rest_ms))
        if not rest_ms:
            self.result.served += 1
            return
        self.result.turned_away += 1
        if attempts > 1:
            self._place(gateway, asked_ms, attempts - 1)

    def _check_rests(self):
        for key, asked in self._asked.items():
            for at_ms, rest_ms in asked:
                inside = [
                    one
                    for one in self._arrived[key]
                    if at_ms + REST_MARGIN_MS < one < at_ms + rest_ms
                ]
                if len(inside) > MAX_IN_REST:
                    self.result.crowded.append((at_ms, rest_ms, key, len(inside)))


def main():
    """Play seeds and print the sums."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=50)
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--gateways", type=int, default=9)
    parser.add_argument("--rests-all", action="store_true", help="all servers rest at a time")
    options = parser.parse_args()
    broken, totals = [], defaultdict(int)
    for seed in range(options.first, options.first + options.seeds):
        result = Replay(seed, options.gateways, options.rests_all).run()
        for name in ("sends", "served", "turned_away", "unplaced"):
            totals[name] += getattr(result, name)
        if result.late or result.crowded:
            broken.append(seed)
            print(seed, "late", result.late[:2], "crowded", result.crowded[:2])
    print(f"{options.seeds} seeds, {dict(totals)}, broken: {broken}")


if __name__ == "__main__":
    main()
