"""A fleet that follows the registry of backend servers, simulated without a network.

Every gateway has the components of the daemon that follow the object service: followers, relayed watches,
watch guard, and the confirmations that bound the age of the view. The object service, the messages and the
faults are simulated.
"""

import heapq
import random
from collections import defaultdict
from dataclasses import dataclass, field
from types import SimpleNamespace

import gevent
from gevent.event import Event as Signal

from hemlockswitch.connection.platform_calls import WATCH_MARGIN_MS
from hemlockswitch.connection.stored_objects import ObjectPage, StoredObject
from hemlockswitch.core.errors import ErrorKind, PlatformError
from hemlockswitch.platform.store import TIMEOUT_MS
from hemlockswitch.process.gateway.configuration import ServingTableStore
from hemlockswitch.process.gateway.fleet import Fleet
from hemlockswitch.process.gateway.followed_objects import FollowedObjects
from hemlockswitch.process.gateway.messages import GatewayReport
from hemlockswitch.process.gateway.registry import ServerRegistry
from hemlockswitch.version.backend import BackendServer, BackendState

SERVICE = "llm"
SERVERS = "servers"
CONFIG = "config"
ANSWER_MS = 4.0
MESSAGE_MS = 2.0
CONNECTED_MS = 4_000.0
"""A gateway counts as connected if it has not been disturbed for this long."""
POLL_INTERVAL_MS = 25.0


class SimulatedClock:
    """Simulated time that advances to the next wake-up when no task can run."""

    def __init__(self):
        self._now_ms = 1_000.0
        self._wakes = []
        self._last = 0

    def now_ms(self):
        return self._now_ms

    def sleep_ms(self, duration_ms):
        self.wait(Signal(), duration_ms)

    def wait(self, signal, most_ms):
        """Wait until a signal is set, or for at most `most_ms`."""
        self._last += 1
        heapq.heappush(self._wakes, (self._now_ms + max(most_ms, 0.0), self._last, signal))
        signal.wait()

    def run_until(self, end_ms):
        """Run all tasks until `end_ms`."""
        gevent.idle()
        while self._wakes and self._wakes[0][0] <= end_ms:
            self._now_ms, _, signal = heapq.heappop(self._wakes)
            signal.set()
            gevent.idle()
        self._now_ms = end_ms


class SimulatedStore:
    """The object service: objects by kind, their changes, and callers that it does not answer."""

    def __init__(self, clock):
        self.version = 1
        self.objects = defaultdict(dict)
        self.changes = []
        self.silent_to = set()
        self.calls = 0
        self._clock = clock
        self._waiting = []

    def put(self, kind, name, value):
        self.version += 1
        self.objects[kind][name] = StoredObject(kind, name, self.version, value)
        self._record_change(self.objects[kind][name])

    def remove(self, kind, name):
        self.version += 1
        del self.objects[kind][name]
        self._record_change(StoredObject(kind, name, self.version, None, True))

    def _record_change(self, change):
        self.changes.append(change)
        waiting, self._waiting = self._waiting, []
        for signal in waiting:
            signal.set()

    def list(self, caller, kind):
        self._begin(caller, TIMEOUT_MS)
        page = ObjectPage(tuple(self.objects[kind].values()), self.version)
        return self._answer(caller, page, TIMEOUT_MS)

    def watch(self, caller, kind, since, wait_ms):
        margin_ms = TIMEOUT_MS + min(wait_ms, WATCH_MARGIN_MS)
        self._begin(caller, margin_ms + wait_ms)
        until_ms = self._clock.now_ms() + wait_ms
        while True:
            items = [one for one in self.changes if one.kind == kind and one.version > since]
            if items or self._clock.now_ms() >= until_ms:
                break
            signal = Signal()
            self._waiting.append(signal)
            self._clock.wait(signal, until_ms - self._clock.now_ms())
        left_ms = max(until_ms - self._clock.now_ms(), 0.0)
        page = ObjectPage(tuple(items), self.version)
        return self._answer(caller, page, margin_ms + left_ms)

    def _begin(self, caller, limit_ms):
        self.calls += 1
        if caller in self.silent_to:
            self._clock.sleep_ms(limit_ms)
            raise PlatformError(ErrorKind.PLATFORM_UNAVAILABLE, "no answer")

    def _answer(self, caller, page, limit_ms):
        if caller in self.silent_to:
            self._clock.sleep_ms(limit_ms)
            raise PlatformError(ErrorKind.PLATFORM_UNAVAILABLE, "no answer")
        self._clock.sleep_ms(ANSWER_MS)
        return page


class Port:
    """One gateway's side of the network."""

    def __init__(self, fleet, name):
        self._fleet = fleet
        self._name = name
        self.handlers = {}

    def handle(self, message_type, handler, *, runs_inline):
        assert runs_inline
        self.handlers[message_type] = handler

    def send(self, address, message):
        target = self._fleet.gateways.get(address)
        if target is None or not target.lives:
            return False
        self._fleet.deliver(self._name, target, message)
        return True

    def send_all(self, addresses, message):
        for address in addresses:
            self.send(address, message)


@dataclass
class SimulatedGateway:
    """One gateway: its components, and when it was last disturbed."""

    name: str
    zone: str
    port: Port
    fleet: Fleet
    registry: ServerRegistry
    followed: FollowedObjects
    lives: bool = True
    disturbed_ms: float = float("-inf")
    tasks: list = field(default_factory=list)


def decode_server(item):
    state = BackendState.LIVE if item.value == "ready" else BackendState.LEAVING
    return BackendServer(item.name, "z1", "10.9.0.1:80", SERVICE, state=state)


class FreshnessFleet:
    """Gateways in zones, which follow one object service.

    Parameters
    ==========

    zones, in_zone : the number of zones, and of gateways in each.
    seed : the seed of all random choices.
    lost : the fraction of the messages between gateways that are lost.
    """

    def __init__(self, zones, in_zone, seed=1, lost=0.0):
        random.seed(seed)  # Relays are drawn from the module's own source.
        self.rng = random.Random(seed)
        self.clock = SimulatedClock()
        self.store = SimulatedStore(self.clock)
        self.gateways = {}
        self._lost = lost
        self.store.put(CONFIG, "main", None)
        for zone in range(zones):
            for number in range(in_zone):
                self._add(f"g{zone}-{number}", f"z{zone}", 200.0 if number < 2 else 10.0)

    def _add(self, name, zone, link_mbps):
        port = Port(self, name)
        fleet = Fleet(name, lambda: name, self.clock, zone, link_mbps)
        registry = ServerRegistry(decode_server, self.clock, lambda server: None)
        store = SimpleNamespace(
            list=lambda kind, prefix="": self.store.list(name, kind),
            watch=lambda kind, since, wait_ms, prefix="": self.store.watch(
                name, kind, since, wait_ms
            ),
            last_outage=None,
        )
        adapter = SimpleNamespace(store=store, config_kind=CONFIG, server_kind=SERVERS)
        tables = ServingTableStore("none", lambda item: item)
        followed = FollowedObjects(
            adapter, tables, registry, None, port, fleet, lambda: 0, self.clock
        )
        for refresher in followed.refreshers.values():
            refresher._rng = self.rng
        for watch in followed._watches.values():
            watch._wait = lambda: self.clock.sleep_ms(POLL_INTERVAL_MS)
        self.gateways[name] = SimulatedGateway(name, zone, port, fleet, registry, followed)

    def start(self):
        """Start all gateways in random order within 0.3 s."""
        for gateway in self.gateways.values():
            for other in self.gateways.values():
                if other is not gateway:
                    self._report(other, gateway)
            runs = [one.run for one in gateway.followed.followers]
            runs += [one.run for one in gateway.followed.refreshers.values()]
            runs += [lambda one=gateway: self._send_reports(one)]
            delay_ms = self.rng.uniform(0, 300)
            for run in runs:
                gateway.tasks.append(gevent.spawn(self._start, delay_ms, run))

    def _start(self, delay_ms, run):
        self.clock.sleep_ms(delay_ms)
        run()

    def close(self):
        """End all tasks."""
        for gateway in self.gateways.values():
            gevent.killall(gateway.tasks)

    def deliver(self, sender, target, message):
        """Deliver a message after the time in transit, unless it is lost."""
        if self.rng.random() >= self._lost:
            gevent.spawn(self._hand_over, sender, target, message)

    def _hand_over(self, sender, target, message):
        self.clock.sleep_ms(MESSAGE_MS)
        if target.lives and type(message) in target.port.handlers:
            target.port.handlers[type(message)](sender, message)

    def _send_reports(self, gateway):
        """Report to the near gateways at the near period, and to all at the far period."""
        reported_far_ms = self.clock.now_ms()
        while True:
            self.clock.sleep_ms(gateway.fleet.get_near_period().ms)
            others = gateway.fleet.list_near()
            if self.clock.now_ms() - reported_far_ms >= gateway.fleet.get_far_period().ms:
                reported_far_ms = self.clock.now_ms()
                others = gateway.fleet.list_peers()
            view = gateway.followed.view()
            for peer in others:
                if self.gateways[peer.name].lives and self.rng.random() >= self._lost:
                    self._report(gateway, self.gateways[peer.name], view)
            gateway.followed.guard.compare([one.view for one in gateway.fleet.list_connected()])

    def _report(self, sender, receiver, view=None):
        report = GatewayReport(
            sender.name, 1, 0.0, {}, {}, {}, zone=sender.zone, link_mbps=sender.fleet.link_mbps
        )
        receiver.fleet.record_report(sender.name, report, view or sender.followed.view())

    def kill(self, gateway):
        """Kill a gateway."""
        gateway.lives = False
        gevent.killall(gateway.tasks)

    def silence(self, gateways):
        """Cut gateways off: the object service does not answer them any more."""
        for gateway in gateways:
            self.store.silent_to.add(gateway.name)
            gateway.disturbed_ms = float("inf")

    def heal(self):
        """Let the object service answer all gateways again."""
        for name in self.store.silent_to:
            self.gateways[name].disturbed_ms = self.clock.now_ms()
        self.store.silent_to.clear()

    def list_connected(self):
        """Return the gateways that have not been disturbed for `CONNECTED_MS`."""
        oldest_ms = self.clock.now_ms() - CONNECTED_MS
        return [one for one in self.gateways.values() if one.lives and one.disturbed_ms < oldest_ms]

    def run(self, duration_ms):
        """Advance the simulated time."""
        self.clock.run_until(self.clock.now_ms() + duration_ms)

    def keep_changing(self, names, pause_ms):
        """Start a task that changes servers all the time, and return it."""
        return gevent.spawn(self._keep_changing, names, pause_ms)

    def _keep_changing(self, names, pause_ms):
        while True:
            name = self.rng.choice(names)
            known = self.store.objects[SERVERS].get(name)
            if known is None or known.value == "draining":
                self.store.put(SERVERS, name, "ready")
            elif self.rng.random() < 0.5:
                self.store.put(SERVERS, name, "draining")
            else:
                self.store.remove(SERVERS, name)
            self.clock.sleep_ms(self.rng.uniform(0.5, 1.5) * pause_ms)

    def find_unaware(self, name):
        """Return the connected gateways that would send requests to a server."""
        return [
            one.name
            for one in self.list_connected()
            if any(server.name == name for server in one.registry.list_ready(SERVICE))
        ]
