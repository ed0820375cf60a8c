"""Replay of a fleet on a simulated clock while gateways lose their links to the backend servers.

Reachability, isolation and detours are the gateways' own code; connections, reports and servers are simulated.
The seed draws cuts of some, most or all gateways of a zone or of several zones, which overlap, and gateways
that restart or stand still. Every request opens a new connection.
"""

import argparse
import heapq
import itertools
import random
from collections import Counter
from dataclasses import dataclass, field
from types import SimpleNamespace

from hemlockswitch.connection.tunnels import TunnelVerdict
from hemlockswitch.core.logs import set_log_writer
from hemlockswitch.process.gateway.change_relay import RELAY_INTERVAL_MS
from hemlockswitch.process.gateway.detours import (
    Detours,
    NoDetourError,
    ServerUnreachableError,
)
from hemlockswitch.process.gateway.reachability import ZONE_POLL_INTERVAL_MS, Reachability
from hemlockswitch.process.gateway.report_period import (
    MAX_FAR_REPORTS_PER_S,
    MAX_NEAR_REPORTS_PER_S,
    MESH_GATEWAYS,
    ReportPeriod,
)
from hemlockswitch.process.gateway.reporting import CHANGE_REPORT_INTERVAL_MS
from hemlockswitch.request.unreached_servers import MAX_UNREACHED, MAX_UNREACHED_MS
from hemlockswitch.version.backend import BackendServer
from tests.server_links import HANG, REFUSE, RESET

STABLE_MS = 3_000.0
ROUND_TRIP_MS = 2.0
CUT_MS = (4_000.0, 12_000.0)
SHARES = (0.1, 0.4, 0.7, 1.0)
RELAYED_MS = CHANGE_REPORT_INTERVAL_MS + RELAY_INTERVAL_MS
"""Time after which a change has reached the gateways of other zones at the latest."""


@dataclass(frozen=True)
class Setting:
    """Size and load of a replay."""

    gateways: int = 9
    zones: int = 4
    servers: int = 20
    requests_per_s: float = 300.0
    length_ms: float = 24_000.0
    cuts: int = 4
    faults: int = 4


@dataclass(frozen=True)
class Outcome:
    """A request of a gateway, and how it ended."""

    sent_ms: float
    is_cut: bool
    is_served: bool
    took_ms: float


@dataclass
class Result:
    """The outcomes of a replay, and the work of the gateways that were led through."""

    outcomes: list[Outcome] = field(default_factory=list)
    early: list[Outcome] = field(default_factory=list)
    tunnels: Counter = field(default_factory=Counter)
    verdicts: Counter = field(default_factory=Counter)
    isolations: int = 0
    false_isolations: int = 0

    def measure_served(self, is_cut: bool) -> float | None:
        """Return the share of served requests at cut or at other gateways; None if there were none."""
        served = [one.is_served for one in self.outcomes if one.is_cut == is_cut]
        return sum(served) / len(served) if served else None


class ReplayDetours(Detours):
    """Detours whose requests are answered by simulated gateways; adds up the time they take."""

    def __init__(self, gateway, world):
        super().__init__(
            "replay",
            gateway.name,
            SimpleNamespace(address=gateway.name),
            gateway,
            gateway.reach.find_connect_timeout_ms,
            lambda _: None,
            world.clock,
        )
        self.spent_ms = 0.0
        self._gateway = gateway
        self._world = world

    def _request(self, peer, server):
        helper = self._world.by_name[peer.name]
        if helper.is_in(helper.frozen):
            self.spent_ms += self._get_timeout_ms()
            self._record(peer, "no_reply", "")
            return None
        if helper.is_in(helper.down):
            self.spent_ms += ROUND_TRIP_MS
            self._record(peer, "no_reply", "")
            return None
        verdict, took_ms = helper.serve_tunnel(server)
        self.spent_ms += took_ms + ROUND_TRIP_MS
        self.verdicts[verdict] += 1
        if verdict == TunnelVerdict.SERVER_UNREACHABLE:
            raise ServerUnreachableError(peer.name, False)
        if verdict != TunnelVerdict.OPEN:
            self._record(peer, verdict, "")
            return None
        self._world.result.tunnels[helper.name] += 1
        return helper


class Gateway:
    """A gateway: its own view of the servers, with simulated connections."""

    def __init__(self, world, number):
        self.world = world
        self.name = f"g{number}"
        self.zone = f"z{number % world.setting.zones}"
        self.cuts = []  # (from, until, kind)
        self.down, self.frozen = [], []
        self.history = []  # (time, whether it was isolated)
        self.peers = None
        self.start()

    def start(self):
        """Start with an empty state."""
        self.reach = Reachability(
            self.zone,
            lambda: self.world.near,
            self.world.clock,
            list_servers=lambda: self.world.servers,
        )
        self.detours = ReplayDetours(self, self.world)

    def is_in(self, spans, slack_ms=0.0):
        now_ms = self.world.clock.now_ms()
        return any(one[0] <= now_ms < one[1] + slack_ms for one in spans)

    def find_cut(self):
        """Return the newest cut that lasts, or None."""
        now_ms = self.world.clock.now_ms()
        return max((one for one in self.cuts if one[0] <= now_ms < one[1]), default=None)

    def connect(self, server):
        """Connect to a server; return whether it opened and how long that took, and record neither."""
        cut = self.find_cut()
        if cut is None:
            return True, ROUND_TRIP_MS
        return False, self.reach.find_connect_timeout_ms() if cut[2] == HANG else ROUND_TRIP_MS

    def record(self, server, opened, took_ms, is_probe=False):
        """Record a connection attempt when it has ended."""
        before = self.reach.isolation.is_isolated
        has_timed_out = took_ms >= self.reach.find_connect_timeout_ms()
        if opened:
            self.reach.record_connected(server, took_ms)
        elif is_probe:
            self.reach.record_probe_failed(server, has_timed_out=has_timed_out)
        else:
            self.reach.record_unreachable(server, has_timed_out=has_timed_out)
        after = self.reach.isolation.is_isolated
        if before != after:
            self.history.append((self.world.clock.now_ms(), after))
            self.world.result.isolations += after
            self.world.result.false_isolations += after and self.find_cut() is None

    def serve_tunnel(self, server):
        """Return the verdict on a request for a tunnel, and the time that it takes."""
        if self.reach.isolation.is_isolated:
            return TunnelVerdict.ISOLATED, 0.0
        opened, took_ms = self.connect(server)
        self.record(server, opened, took_ms)
        if opened:
            return TunnelVerdict.OPEN, took_ms
        if self.reach.isolation.count_failed() > 1:
            return TunnelVerdict.ISOLATED, took_ms
        return TunnelVerdict.SERVER_UNREACHABLE, took_ms

    def list_connected(self):
        """Return the other gateways, as their last reports describe them."""
        if self.peers is None:
            seen = self.world.list_seen(self.zone)
            self.peers = [one for one in seen if one.name != self.name]
        return self.peers


class SeenGateway:
    """A gateway as its last report shows it to the gateways of a zone; stands for a `Peer` and its report."""

    tunnels = 0

    def __init__(self, world, gateway, zone):
        is_near = gateway.zone == zone or world.far is world.near
        self.name = self.address = gateway.name
        self.zone = gateway.zone
        self._report_age_ms = world.near.urgent_gap_ms if is_near else world.far.ms
        self._change_age_ms = min(self._report_age_ms, RELAYED_MS) + ROUND_TRIP_MS
        self._world, self._gateway = world, gateway

    @property
    def report(self):
        return self

    @property
    def links(self):
        return self

    @property
    def reported_ms(self):
        """When the last report arrived: a periodic one, or that of a change."""
        change = self._find_change()
        changed_ms = change[0] + self._change_age_ms if change else float("-inf")
        return max(self._world.now_ms - self._report_age_ms, changed_ms)

    @property
    def is_isolated(self):
        change = self._find_change()
        return change is not None and change[1]

    def _find_change(self):
        """Return the last change that has arrived, and whether the gateway was isolated from then on."""
        for change in reversed(self._gateway.history):
            if change[0] + self._change_age_ms <= self._world.now_ms:
                return change
        return None


class World:
    """A fleet of gateways before servers in several zones."""

    def __init__(self, seed, setting):
        self.setting = setting
        self.draws = random.Random(seed)
        self.clock = SimpleNamespace(now_ms=lambda: self.now_ms)
        self.now_ms = 0.0
        self.result = Result()
        self.seen = {}
        self._events = []
        self._numbers = itertools.count()
        self.servers = [
            BackendServer(f"s{number}", f"z{number % setting.zones}", "10.0.0.1:80", "llm")
            for number in range(setting.servers)
        ]
        near = setting.gateways // setting.zones
        self.near = ReportPeriod.from_peers(setting.gateways)
        self.far = self.near
        if setting.gateways > MESH_GATEWAYS:
            self.near = ReportPeriod.from_peers(near, MAX_NEAR_REPORTS_PER_S)
            self.far = ReportPeriod.from_peers(setting.gateways - near, MAX_FAR_REPORTS_PER_S)
        self.gateways = [Gateway(self, number) for number in range(setting.gateways)]
        self.by_name = {one.name: one for one in self.gateways}

    def list_seen(self, zone):
        """Return all gateways as the gateways of a zone see them."""
        if zone not in self.seen:
            self.seen[zone] = [SeenGateway(self, one, zone) for one in self.gateways]
        return self.seen[zone]

    def at(self, at_ms, action, *arguments):
        heapq.heappush(self._events, (at_ms, next(self._numbers), action, arguments))

    def run(self):
        """Play the replay and return its result."""
        self._plan_cuts()
        self._plan_faults()
        self.at(0.0, self._ask)
        for number, gateway in enumerate(self.gateways):
            self.at(number % ZONE_POLL_INTERVAL_MS, self._probe, gateway)
        while self._events and self._events[0][0] <= self.setting.length_ms:
            self.now_ms, _, action, arguments = heapq.heappop(self._events)
            action(*arguments)
        for gateway in self.gateways:
            self.result.verdicts += gateway.detours.verdicts
        return self.result

    def _plan_cuts(self):
        zones = sorted({one.zone for one in self.gateways})
        for _ in range(self.setting.cuts):
            chosen = self.draws.sample(zones, self.draws.choice((1, 1, 2)))
            share, kind = self.draws.choice(SHARES), self.draws.choice((HANG, RESET, REFUSE))
            from_ms = self.draws.uniform(2_000, self.setting.length_ms - 6_000)
            until_ms = from_ms + self.draws.uniform(*CUT_MS)
            for zone in chosen:
                members = [one for one in self.gateways if one.zone == zone]
                for one in self.draws.sample(members, max(round(share * len(members)), 1)):
                    one.cuts.append((from_ms, until_ms, kind))

    def _plan_faults(self):
        for _ in range(self.setting.faults):
            gateway = self.draws.choice(self.gateways)
            from_ms = self.draws.uniform(2_000, self.setting.length_ms)
            if self.draws.random() < 0.5:
                gateway.frozen.append((from_ms, from_ms + self.draws.uniform(500, 3_000)))
            else:
                gateway.down.append((from_ms, from_ms + 1_000))
                self.at(from_ms + 1_000, gateway.start)

    def _probe(self, gateway):
        self.at(self.now_ms + ZONE_POLL_INTERVAL_MS, self._probe, gateway)
        if gateway.is_in(gateway.down) or gateway.is_in(gateway.frozen):
            return
        isolation = gateway.reach.isolation
        for server in gateway.reach.list_probes(self.servers):
            self._try(gateway, server, is_probe=True)
        control = isolation.pick_control()
        if control is not None:
            self._try(gateway, control, is_probe=False)

    def _try(self, gateway, server, is_probe):
        opened, took_ms = gateway.connect(server)
        self.at(self.now_ms + took_ms, gateway.record, server, opened, took_ms, is_probe)

    def _ask(self):
        self.at(self.now_ms + self.draws.expovariate(self.setting.requests_per_s) * 1e3, self._ask)
        gateway = self.draws.choice(self.gateways)
        if not gateway.is_in(gateway.down) and not gateway.is_in(gateway.frozen):
            self._resume(self._send(gateway), gateway, self.now_ms)

    def _resume(self, steps, gateway, sent_ms):
        """Run a request until it waits, and go on when its wait is over."""
        try:
            delay_ms = next(steps)
        except StopIteration as ended:
            self._judge(gateway, sent_ms, ended.value)
            return
        self.at(self.now_ms + delay_ms, self._resume, steps, gateway, sent_ms)

    def _send(self, gateway):
        """Send a request as `request.sending` does; the value of this generator tells whether it was served."""
        excluded, began_ms = set(), self.now_ms
        while len(excluded) < MAX_UNREACHED and self.now_ms - began_ms < MAX_UNREACHED_MS:
            remaining = [one for one in self.servers if one.incarnation not in excluded]
            if not remaining:
                return False
            server = self.draws.choice(gateway.reach.select_reachable(remaining))
            if excluded or gateway.reach.needs_detour(server):
                opened, waited_ms = self._open_detour(gateway, server)
                yield waited_ms
                if opened:
                    return True
                if opened is False or gateway.reach.is_hopeless(server):
                    excluded.add(server.incarnation)
                    continue
            opened, took_ms = gateway.connect(server)
            yield took_ms
            gateway.record(server, opened, took_ms)
            if opened:
                return True
            excluded.add(server.incarnation)
        return False

    @staticmethod
    def _open_detour(gateway, server):
        """Return whether a tunnel opened, None if no gateway helps, and how long that took."""
        gateway.detours.spent_ms = 0.0
        try:
            opened = gateway.detours.open(server) is not None
        except ServerUnreachableError:
            gateway.reach.record_unreachable_for_others(server)
            opened = False
        except NoDetourError:
            opened = None
        return opened, gateway.detours.spent_ms

    def _judge(self, gateway, sent_ms, is_served):
        if not any(one.find_cut() is None for one in self.gateways):
            return  # Nobody reaches a server.
        spans = gateway.down + gateway.frozen
        if any(one[0] <= sent_ms < one[1] + STABLE_MS for one in spans):
            return
        cut = max((one for one in gateway.cuts if one[0] <= sent_ms < one[1]), default=None)
        outcome = Outcome(sent_ms, cut is not None, is_served, self.now_ms - sent_ms)
        is_early = cut is not None and sent_ms < cut[0] + STABLE_MS
        (self.result.early if is_early else self.result.outcomes).append(outcome)


def play(seed, setting):
    """Return the result of a replay."""
    return World(seed, setting).run()


def main():
    """Print the results of some seeds."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=10)
    for name, kind in Setting.__annotations__.items():
        flag = f"--{name.replace('_', '-')}"
        parser.add_argument(flag, type=kind, default=getattr(Setting, name))
    options = vars(parser.parse_args())
    set_log_writer(lambda event, level, fields: None)
    first, seeds = options.pop("first"), options.pop("seeds")
    setting = Setting(**options)
    every, worst, tunnels, verdicts = Result(), 1.0, [], Counter()
    for seed in range(first, first + seeds):
        result = play(seed, setting)
        cut, others = result.measure_served(True), result.measure_served(False)
        if cut is not None and others is not None:
            worst = min(worst, cut - others)
        every.outcomes += result.outcomes
        every.early += result.early
        every.false_isolations += result.false_isolations
        every.isolations += result.isolations
        verdicts += result.verdicts
        if result.tunnels:
            mean = sum(result.tunnels.values()) / setting.gateways
            tunnels.append(max(result.tunnels.values()) / mean)
    early = [one.is_served for one in every.early]
    slow = sorted(one.took_ms for one in every.outcomes if one.is_cut)
    print(f"{seeds} seeds: served at cut gateways {every.measure_served(True):.4f},", end=" ")
    print(f"others {every.measure_served(False):.4f}, worst difference of a seed {worst:+.3f};")
    print(f"first 3 s {sum(early) / len(early):.4f} of {len(early)};", end=" ")
    print(f"99th percentile {slow[int(0.99 * len(slow))]:.0f} ms;", end=" ")
    print(f"busiest helper {max(tunnels):.1f} times the mean; {dict(verdicts)};", end=" ")
    print(f"isolations {every.isolations}, of them without a cut {every.false_isolations}")


if __name__ == "__main__":
    main()
