"""Replay of a fleet on a simulated clock while backend servers state rate limits.

The limits, issuers and permits are the gateways' own code; the fleet's membership, the messages, the servers
and the callers are simulated. The seed draws callers, limits that begin, change and end in overlapping
series, and gateways that restart, stand still or are cut off.
"""

import argparse
import heapq
import itertools
import math
import random
from collections import Counter, defaultdict
from dataclasses import dataclass, field
from types import SimpleNamespace

from hemlockswitch.core.errors import ErrorKind, PeerError
from hemlockswitch.core.logs import set_log_writer
from hemlockswitch.process.gateway.permits import Permits
from hemlockswitch.process.gateway.report_period import (
    MAX_FAR_REPORTS_PER_S,
    MAX_NEAR_REPORTS_PER_S,
    MESH_GATEWAYS,
    ReportPeriod,
)
from hemlockswitch.process.gateway.server_limits import ServerLimits
from hemlockswitch.request.permits import (
    MIN_RATE_PER_S,
    PERMIT_LIFETIME_MS,
    UNLIMITED,
    Decision,
    Verdict,
)
from hemlockswitch.version.backend import BackendServer
from tests.limit_checks import STABLE_MS, Arrival, Statement, Told, find_excesses

LIMITS_PER_S = (0.0, 0.05, 0.5, 1.0, 1.0, 1.3, 3.0, 10.0, 25.0)
MAX_PERMITS_REQUESTED = 3
CHECK_MS = 250.0
SEND_MS = 50.0
RETURN_MS = 3_000.0
"""Time after the end of its limit within which a server must be back at its part of the work."""
CAUGHT_UP_REPORTS = 5


@dataclass(frozen=True)
class Setting:
    """Size and load of a replay."""

    gateways: int = 9
    zones: int = 4
    servers: int = 8
    requests_per_s: float = 160.0
    length_ms: float = 30_000.0
    faults: int = 6
    loss: float = 0.01
    all_limited: bool = False
    design: str = "issuer"


@dataclass
class Result:
    """What the servers of a replay saw."""

    excesses: list = field(default_factory=list)
    excesses_of_all: list = field(default_factory=list)
    permitted: float = 0.0
    arrived: float = 0.0
    returned: list = field(default_factory=list)
    verdicts: Counter = field(default_factory=Counter)
    refused: int = 0
    asked: int = 0
    messages: int = 0


class GatewayClock:
    """The clock of a gateway, which stands still while the gateway does."""

    def __init__(self, world):
        self.world = world
        self.frozen = []

    def now_ms(self):
        return self.read(self.world.now_ms)

    def read(self, at_ms):
        """Return the reading at a time of the world."""
        return at_ms - sum(
            max(min(at_ms, until_ms) - from_ms, 0.0) for from_ms, until_ms in self.frozen
        )


class Gateway:
    """A gateway: the real permits, with simulated messages and membership."""

    def __init__(self, world, number):
        self.world = world
        self.name = f"g{number}"
        self.zone = f"z{number % world.setting.zones}"
        self.phase_ms = world.draws.random()
        self.down = []  # spans of time in which it sends no reports
        self.cut = []
        self.starts = 0
        self.started_ms = float("-inf")
        self.is_listed = True
        self.start(is_first=True)

    def start(self, is_first=False):
        """Start with an empty state."""
        self.starts += 1
        if not is_first:
            self.started_ms = self.world.now_ms
        self.clock = GatewayClock(self.world)
        self.handlers = {}
        self.permits = DESIGNS[self.world.setting.design](
            self, self, ServerLimits(self.clock), self.clock, lambda: self.world.now_ms
        )
        self.is_sending = False

    def schedule_changes(self):
        """Send the unsent statements soon, as the gateway's task does."""
        if self.permits.exchange.has_unsent and not self.is_sending:
            self.is_sending = True
            at_ms = self.world.now_ms + SEND_MS
            self.world.at(at_ms, self._send_changes, self.starts)

    def _send_changes(self, starts):
        if self.starts == starts:
            self.is_sending = False
            if self.is_up(self.world.now_ms):
                self.permits.exchange.send_changes()

    @property
    def process(self):
        """The name of the process, which differs for each start."""
        return f"{self.name}#{self.starts}"

    def is_in(self, spans, at_ms):
        return any(from_ms <= at_ms < until_ms for from_ms, until_ms in spans)

    def is_up(self, at_ms):
        return not self.is_in(self.down, at_ms)

    def is_disturbed(self, at_ms):
        """Return whether the gateway was disturbed shortly before a time, which excuses it."""
        spans = self.down + self.cut
        return any(from_ms <= at_ms < until_ms + STABLE_MS for from_ms, until_ms in spans)

    # The interface of the network.

    def handle(self, message_type, handler, runs_inline):
        self.handlers[message_type] = handler

    def request(self, address, message, timeout_ms):
        other = self.world.by_name[address]
        if not self.world.is_connected(self, other) or self.world.is_lost():
            raise PeerError(ErrorKind.PEER_UNAVAILABLE, "no reply")
        self.world.result.messages += 2
        reply = other.handlers[type(message)](self.name, message)
        other.schedule_changes()
        return reply

    def send(self, address, message):
        self.send_all([address], message)
        return True

    def send_all(self, addresses, message):
        for address in addresses:
            self.world.deliver(self, address, message)

    # The interface of the fleet.

    @property
    def reports_by_zone(self):
        return len(self.world.gateways) > MESH_GATEWAYS + 1

    def get_near_period(self):
        return self.world.near_period

    def list_peers(self):
        return [SimpleNamespace(name=one.name, address=one.name) for one in self.world.gateways]

    def list_near(self):
        near = self.world.by_zone[self.zone] if self.reports_by_zone else self.world.gateways
        return [SimpleNamespace(name=one.name, address=one.name) for one in near if one is not self]

    def draw_relays(self):
        zones = [members for zone, members in self.world.by_zone.items() if zone != self.zone]
        return [
            [one.name for one in self.world.draws.sample(members, min(2, len(members)))]
            for members in zones
        ]

    def list_running(self, zone):
        members = self.world.gateways if zone is None else self.world.by_zone[zone]
        return [
            SimpleNamespace(name=one.name)
            for one in members
            if one is not self and self.has_heard(one)
        ]

    def has_heard(self, other):
        """Return whether the last report of another gateway is recent enough, on the own clock."""
        is_near = other.zone == self.zone or not self.reports_by_zone
        period = self.world.near_period if is_near else self.world.far_period
        now_ms = self.world.now_ms
        own_ms = self.clock.now_ms()
        if now_ms - self.started_ms <= period.disconnected_ms:
            return True
        if not (other.down or other.cut or self.cut or self.down):
            return True
        sent_ms = now_ms - (now_ms / period.ms - other.phase_ms) % 1.0 * period.ms
        oldest_ms = own_ms - period.disconnected_ms
        while self.clock.read(sent_ms) >= oldest_ms:
            if self.world.is_delivered(self, other, sent_ms):
                return True
            sent_ms -= period.ms
        return False

    def get_connected_fraction(self):
        if self.reports_by_zone:  # the far gateways' state is seen late, as in a real fleet
            return 1.0
        heard = sum(one is self or self.has_heard(one) for one in self.world.gateways)
        return heard / len(self.world.gateways)


class DividedPermits(Permits):
    """Alternative design: each gateway issues itself its part of the limit, beginning with one permit."""

    def _request(self, server, urgency):
        rate_per_s = self.limits.get(server.incarnation).limit_per_s / len(
            self._fleet.world.gateways
        )
        now_ms = self._clock.now_ms()
        levels = self.__dict__.setdefault("levels", {})
        level, filled_ms = levels.get(server.incarnation, (1.0, now_ms))
        level = min(level + rate_per_s * (now_ms - filled_ms) / 1_000, 1.0)
        is_granted = level >= 1.0
        levels[server.incarnation] = (level - is_granted, now_ms)
        return Decision(Verdict.GRANTED) if is_granted else Decision(Verdict.REFUSED, 50.0, 50.0)


class SoleSenderPermits(Permits):
    """Alternative design: only the issuer itself sends to a limited server."""

    def _request(self, server, urgency):
        return self.issuer.decide(server.incarnation, server.zone, urgency)


DESIGNS = {"issuer": Permits, "divided": DividedPermits, "sole_sender": SoleSenderPermits}


class Server:
    """A backend server that states limits."""

    def __init__(self, number, zone):
        self.backend = BackendServer(f"s{number}", zone, f"10.0.0.1:{number}", "app", slots=100)
        self.statements = [Statement(float("-inf"), UNLIMITED)]
        self.arrivals = []
        self.told = []

    def get_limit(self, at_ms):
        return [one.limit_per_s for one in self.statements if one.from_ms <= at_ms][-1]


class World:
    """The simulated fleet, its servers and callers."""

    gateway_type = Gateway

    def __init__(self, setting, seed):
        self.setting = setting
        self.draws = random.Random(seed)
        self.now_ms = 0.0
        self.result = Result()
        self._events = []
        self._numbers = itertools.count()
        self.gateways = []
        self.by_zone = defaultdict(list)
        self._find_periods()
        for number in range(setting.gateways):
            one = self.gateway_type(self, number)
            self.gateways.append(one)
            self.by_zone[one.zone].append(one)
        self.by_name = {one.name: one for one in self.gateways}
        self.servers = [
            Server(number, f"z{number % setting.zones}") for number in range(setting.servers)
        ]

    def _find_periods(self):
        setting = self.setting
        if setting.gateways <= MESH_GATEWAYS + 1:
            self.near_period = self.far_period = ReportPeriod.from_peers(setting.gateways - 1)
            return
        near = setting.gateways // setting.zones
        self.near_period = ReportPeriod.from_peers(near - 1, MAX_NEAR_REPORTS_PER_S)
        self.far_period = ReportPeriod.from_peers(setting.gateways - near, MAX_FAR_REPORTS_PER_S)

    # Time and messages

    def at(self, at_ms, action, *arguments):
        heapq.heappush(self._events, (at_ms, next(self._numbers), action, arguments))

    def run(self):
        self._plan_limits()
        self._plan_faults()
        self.at(self._draw_gap_ms(), self._ask)
        for number, one in enumerate(self.gateways):
            self.at(number % CHECK_MS, self._check, one)
        while self._events and self._events[0][0] <= self.setting.length_ms:
            self.now_ms, _, action, arguments = heapq.heappop(self._events)
            action(*arguments)
        return self._judge()

    def is_lost(self):
        return self.draws.random() < self.setting.loss

    def is_connected(self, one, other):
        now_ms = self.now_ms
        return one.is_up(now_ms) and other.is_up(now_ms) and not self.is_parted(one, other, now_ms)

    def is_parted(self, one, other, at_ms):
        """Return whether a cut lies between two gateways; those cut off together stay connected."""
        if one is other:
            return False
        cuts_one = [span for span in one.cut if span[0] <= at_ms < span[1]]
        cuts_other = [span for span in other.cut if span[0] <= at_ms < span[1]]
        return cuts_one != cuts_other

    def is_delivered(self, receiver, sender, sent_ms):
        if sent_ms < receiver.started_ms and receiver.starts > 1:
            return False
        is_sent = sender.is_up(sent_ms) and sent_ms >= sender.started_ms
        return is_sent and not self.is_parted(receiver, sender, sent_ms)

    def deliver(self, sender, address, message):
        other = self.by_name[address]
        self.result.messages += 1
        if self.is_connected(sender, other) and not self.is_lost():
            delay_ms = self.draws.expovariate(1 / 3)
            self.at(self.now_ms + delay_ms, self._take, other, other.starts, sender, message)

    def _take(self, receiver, starts, sender, message):
        if receiver.starts == starts and receiver.is_up(self.now_ms):
            receiver.handlers[type(message)](sender.name, message)
            receiver.schedule_changes()

    def _check(self, gateway):
        if gateway.is_up(self.now_ms):
            gateway.permits.issuer.check()
        self.at(self.now_ms + CHECK_MS, self._check, gateway)

    # Callers and servers

    def _draw_gap_ms(self):
        return self.draws.expovariate(self.setting.requests_per_s / 1_000)

    def _ask(self):
        self.at(self.now_ms + self._draw_gap_ms(), self._ask)
        gateway = self.draws.choice(self.gateways)
        if gateway.is_up(self.now_ms):
            self.result.asked += 1
            self._serve(gateway, self.draws.choice((0, 1, 1, 2)), self.draws.random() < 0.7)

    def _serve(self, gateway, urgency, is_repeatable):
        """Choose a server as `GatewayView.place` does, at random among the usable ones."""
        permits = gateway.permits
        by_name = {one.backend.incarnation: one for one in self.servers}
        backends = [one.backend for one in self.servers]
        for _ in range(MAX_PERMITS_REQUESTED):
            usable = permits.select(backends, urgency, is_repeatable=is_repeatable)
            if not usable:
                break
            chosen = self.draws.choice(usable)
            if not permits.is_limited(chosen):
                return self._send(gateway, by_name[chosen.incarnation], 0.0)
            if permits.take(chosen, urgency) is not None:
                return self._send(gateway, by_name[chosen.incarnation], self._draw_reply_ms())
        free = [one for one in backends if not permits.is_limited(one)]
        if free:
            return self._send(gateway, by_name[self.draws.choice(free).incarnation], 0.0)
        self.result.refused += 1
        return None

    def _draw_reply_ms(self):
        """Draw the time from a request for a permit to the send, which its lifetime bounds."""
        return min(self.draws.expovariate(1 / 5), PERMIT_LIFETIME_MS)

    def _send(self, gateway, server, after_ms):
        at_ms = self.now_ms + after_ms + self.draws.uniform(0.5, 3)
        self.at(at_ms, self._arrive, gateway, gateway.starts, server, self.now_ms)

    def _arrive(self, gateway, starts, server, sent_ms):
        if gateway.starts != starts:
            return
        server.arrivals.append(Arrival(self.now_ms, gateway.process))
        head_ms = self.draws.uniform(10, 300)
        self.at(self.now_ms + head_ms, self._answer, gateway, starts, server, sent_ms)

    def _answer(self, gateway, starts, server, sent_ms):
        """Send the head of the answer, which states the present limit; it arrives a little later."""
        limit_per_s = server.get_limit(self.now_ms)
        delay_ms = self.draws.expovariate(1 / 3)
        args = (gateway, starts, server, sent_ms, limit_per_s)
        self.at(self.now_ms + delay_ms, self._receive, *args)

    def _receive(self, gateway, starts, server, sent_ms, limit_per_s):
        if gateway.starts != starts or not gateway.is_up(self.now_ms):
            return
        if limit_per_s < UNLIMITED:
            server.told.append(Told(self.now_ms, gateway.process, limit_per_s))
        own_sent_ms = gateway.clock.read(sent_ms)
        gateway.permits.record_answer(server.backend, limit_per_s, own_sent_ms)
        gateway.schedule_changes()

    # The plan of a seed

    def _plan_limits(self):
        """Plan one or two series of limits; each limit may change before it ends."""
        limited = (
            self.servers if self.setting.all_limited else self.servers[: 3 + len(self.servers) // 4]
        )
        for server in limited:
            at_ms = self.draws.uniform(1_000, 4_000)
            while at_ms < self.setting.length_ms - 10_000:
                for _ in range(self.draws.choice((1, 1, 2))):
                    limit = self.draws.choice(LIMITS_PER_S)
                    server.statements.append(Statement(at_ms, limit))
                    at_ms += self.draws.uniform(5_000, 10_000)
                server.statements.append(Statement(at_ms, UNLIMITED))
                at_ms += self.draws.uniform(5_000, 9_000)

    def _plan_faults(self):
        setting, draws = self.setting, self.draws
        kinds = (self._restart, self._freeze, self._cut, self._cut_zone, self._restart_series)
        for _ in range(setting.faults):
            at_ms = draws.uniform(2_000, setting.length_ms - 6_000)
            self.at(at_ms, draws.choice(kinds), draws.choice(self.gateways))

    def _restart(self, gateway):
        if not gateway.is_up(self.now_ms):
            return
        end_ms = self.now_ms + self.draws.uniform(200, 3_000)
        gateway.down.append((self.now_ms, end_ms))
        self.at(end_ms, gateway.start)

    def _restart_series(self, gateway):
        """Restart the gateways of a zone one after the other."""
        for number, one in enumerate(self.by_zone[gateway.zone][:5]):
            self.at(self.now_ms + number * 700, self._restart, one)

    def _freeze(self, gateway):
        if not gateway.is_up(self.now_ms):
            return
        span = (self.now_ms, self.now_ms + self.draws.uniform(500, 5_000))
        gateway.down.append(span)
        gateway.clock.frozen.append(span)

    def _cut(self, gateway):
        span = (self.now_ms, self.now_ms + self.draws.uniform(500, 6_000))
        gateway.cut.append(span)

    def _cut_zone(self, gateway):
        span = (self.now_ms, self.now_ms + self.draws.uniform(1_000, 6_000))
        for one in self.by_zone[gateway.zone]:
            one.cut.append(span)

    # Judgement

    def _judge(self):
        result = self.result
        for server in self.servers:
            excused = [
                one
                for one in server.arrivals
                if self.by_name[one.gateway.split("#")[0]].is_disturbed(one.at_ms)
            ]
            counted = [one for one in server.arrivals if one not in set(excused)]
            told = server.told
            result.excesses += find_excesses(counted, told, server.statements)
            result.excesses_of_all += find_excesses(server.arrivals, told, server.statements)
            self._judge_use(server)
        for one in self.gateways:
            result.verdicts.update(one.permits.verdicts)
        return result

    def _judge_use(self, server):
        """Count the permits of settled limits, and the arrivals after the end of a limit."""
        fair_per_s = self.setting.requests_per_s / self.setting.servers
        ends = [one.from_ms for one in server.statements[1:]] + [math.inf]
        for one, end_ms in zip(server.statements, ends, strict=True):
            if one.from_ms == float("-inf"):
                continue
            if one.limit_per_s == UNLIMITED:
                until_ms = min(end_ms, self.setting.length_ms)
                from_ms = one.from_ms + RETURN_MS
                if until_ms - from_ms >= 1_000:
                    count = self._count(server, from_ms, until_ms)
                    part = count / (fair_per_s * (until_ms - from_ms) / 1_000)
                    result = self.result.returned
                    result.append(part)
                continue
            from_ms = one.from_ms + STABLE_MS
            end_ms = min(end_ms, self.setting.length_ms)
            if end_ms > from_ms and MIN_RATE_PER_S <= one.limit_per_s <= fair_per_s:
                self.result.permitted += one.limit_per_s * (end_ms - from_ms) / 1_000
                self.result.arrived += self._count(server, from_ms, end_ms)

    @staticmethod
    def _count(server, from_ms, until_ms):
        return sum(from_ms <= one.at_ms < until_ms for one in server.arrivals)


def main():
    """Replay seeds and print what the servers saw."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=20)
    parser.add_argument("--gateways", type=int, default=9)
    parser.add_argument("--zones", type=int, default=4)
    parser.add_argument("--servers", type=int, default=8)
    parser.add_argument("--requests-per-s", type=float, default=160.0)
    parser.add_argument("--faults", type=int, default=6)
    parser.add_argument("--design", choices=DESIGNS, default="issuer")
    parser.add_argument("--all-limited", action="store_true")
    options = vars(parser.parse_args())
    set_log_writer(lambda event, level, fields: None)
    first, seeds = options.pop("first"), options.pop("seeds")
    setting = Setting(**options)
    broken = 0
    total = Result()
    for seed in range(first, first + seeds):
        result = World(setting, seed).run()
        broken += bool(result.excesses)
        if result.excesses:
            print(seed, result.excesses[:3])
        total.excesses_of_all += result.excesses_of_all[:1]
        total.permitted += result.permitted
        total.arrived += result.arrived
        total.returned += result.returned
        total.verdicts.update(result.verdicts)
        total.refused += result.refused
        total.asked += result.asked
        total.messages += result.messages
    parts = sorted(total.returned)
    print(
        f"{setting.gateways} gateways, {seeds} seeds: {broken} over the bound"
        f" ({len(total.excesses_of_all)} with excused gateways counted),"
        f" permits used {total.arrived / max(total.permitted, 1):.2f},"
        f" back at {sum(parts) / max(len(parts), 1):.2f} of the part, least {parts[:3]},"
        f" refused {total.refused} of {total.asked}, {total.messages} messages, {dict(total.verdicts)}"
    )


if __name__ == "__main__":
    main()
