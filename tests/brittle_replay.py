"""Replay of a fleet on a simulated clock while the servers of a service are brittle.

Extends `tests.limit_replay`: the permits and issuers are the gateways' own code; messages, membership, servers and
callers are simulated, with the same restarts, freezes and cuts.
"""

import argparse
from collections import Counter
from dataclasses import dataclass, field

from hemlockswitch.core.logs import set_log_writer
from hemlockswitch.request.permits import UNLIMITED
from hemlockswitch.version.backend import BackendServer
from tests.limit_checks import STABLE_MS
from tests.limit_replay import MAX_PERMITS_REQUESTED, SEND_MS, Gateway, Setting, World

SLOTS, USUAL_ROOM = 6, 8
FALL_MS = 3_000.0
WORK_MS = (50.0, 250.0)
HOLD_MS = 4_000.0
MAX_ATTEMPTS = 3
BURST_MS, BURST_FACTOR = 1_000.0, 2.0
BRITTLE_MS = (8_000.0, 14_000.0)


@dataclass(eq=False)
class Run:
    """A request at a server."""

    gateway: Gateway
    starts: int
    release: object
    attempts: int


@dataclass(frozen=True)
class Rejection:
    """A request that was turned away for want of room."""

    at_ms: float
    is_in_touch: bool


@dataclass
class BrittleResult:
    """What the servers of a replay saw."""

    falls: list = field(default_factory=list)  # for each time of brittleness
    served: int = 0
    failed: int = 0
    refused: int = 0
    rejections: int = 0
    messages: int = 0
    verdicts: Counter = field(default_factory=Counter)

    @property
    def asked(self):
        return self.served + self.failed + self.refused


class BrittleServer:
    """A backend server with slots and room, which may fall over."""

    def __init__(self, world, number, zone):
        self.backend = BackendServer(f"s{number}", zone, f"10.0.0.1:{number}", "app", slots=SLOTS)
        self.world = world
        self.running, self.waiting = [], []
        self.rejections = []
        self.down_until_ms = 0.0

    def arrive(self, run):
        """Take a request in, or return False if there is no room."""
        if len(self.running) < SLOTS:
            self._start(run)
        elif len(self.waiting) < self.world.find_room():
            self.waiting.append(run)
        else:
            self._reject(run)
            return False
        return True

    def leave(self, run):
        """End a request; return whether it was still here."""
        if run in self.waiting:
            self.waiting.remove(run)
            return True
        if run not in self.running:
            return False
        self.running.remove(run)
        if self.waiting:
            self._start(self.waiting.pop(0))
        return True

    def _start(self, run):
        self.running.append(run)
        work_ms = self.world.draws.uniform(*WORK_MS)
        self.world.at(self.world.now_ms + work_ms, self.world.finish, self, run)

    def _reject(self, run):
        world = self.world
        world.result.rejections += 1
        is_in_touch = not run.gateway.is_disturbed(world.now_ms)
        self.rejections.append(Rejection(world.now_ms, is_in_touch))
        recent = [one for one in self.rejections if one.at_ms > world.now_ms - 1_000]
        self.rejections = recent
        if world.brittle and len(recent) > world.brittle:
            self._fall(2 * sum(one.is_in_touch for one in recent) > len(recent))

    def _fall(self, counts):
        self.world.result.falls[-1] += counts
        self.rejections = []
        self.down_until_ms = self.world.now_ms + FALL_MS
        lost, self.running, self.waiting = self.running + self.waiting, [], []
        for run in lost:
            self.world.fail(run)


class BrittleGateway(Gateway):
    """A gateway whose slot permits send their own messages."""

    def start(self, is_first=False):
        super().start(is_first)
        self.is_sending_slots = False
        self.permits.slots.issuer.find_slots = lambda _: SLOTS
        self.permits.slots.issuer._count_running = self.world.count_running
        self.permits.slots.issuer._read_boot = lambda: self.world.now_ms

    def schedule_changes(self):
        super().schedule_changes()
        if self.permits.slots.exchange.has_unsent and not self.is_sending_slots:
            self.is_sending_slots = True
            self.world.at(self.world.now_ms + SEND_MS, self._send_slot_changes, self.starts)

    def _send_slot_changes(self, starts):
        if self.starts == starts:
            self.is_sending_slots = False
            if self.is_up(self.world.now_ms):
                self.permits.slots.exchange.send_changes()


class BrittleWorld(World):
    """A fleet before the servers of one service, which are brittle for some time."""

    gateway_type = BrittleGateway

    def __init__(self, setting, seed):
        self.brittle = 0  # rejections in a second after which a server falls over; 0 if none does
        self.brittle_from_ms = 0.0
        self.room = USUAL_ROOM
        self.servers = []
        super().__init__(setting, seed)
        self.result = BrittleResult()
        self.servers = [
            BrittleServer(self, number, f"z{number % setting.zones}")
            for number in range(setting.servers)
        ]
        self.by_incarnation = {one.backend.incarnation: one for one in self.servers}

    def find_room(self):
        """Return how many requests may wait at a server now."""
        is_reduced = self.brittle and self.now_ms >= self.brittle_from_ms + STABLE_MS
        return self.room if is_reduced else USUAL_ROOM

    def count_running(self, names):
        """Return the number of requests in progress on servers, as the gateways report it."""
        servers = [self.by_incarnation[name] for name in names]
        return sum(len(one.running) + len(one.waiting) for one in servers)

    def _plan_limits(self):
        at_ms = self.draws.uniform(1_000, 3_000)
        while at_ms < self.setting.length_ms - 9_000:
            self.at(
                at_ms, self._begin, self.draws.choice((1, 2, 3, 5)), self.draws.choice((0, 1, 2))
            )
            at_ms += self.draws.uniform(*BRITTLE_MS)
            self.at(at_ms, self._end)
            at_ms += self.draws.uniform(2_000, 4_000)

    def _begin(self, rejections, room):
        self.brittle, self.room = rejections, room
        self.brittle_from_ms = self.now_ms
        self.result.falls.append(0)

    def _end(self):
        self.brittle = 0

    def _check(self, gateway):
        if gateway.is_up(self.now_ms):
            gateway.permits.slots.issuer.check()
            gateway.permits.slots.repeat_releases()
        super()._check(gateway)

    def _restart(self, gateway):
        super()._restart(gateway)
        for server in self.servers:  # The connections of a process that ended are closed.
            for run in [*server.waiting, *server.running]:
                if run.gateway is gateway and server.leave(run):
                    self.result.failed += 1

    def _draw_gap_ms(self):
        is_burst = int(self.now_ms // BURST_MS) % 2
        return super()._draw_gap_ms() / (BURST_FACTOR if is_burst else 1.0)

    def _ask(self):
        self.at(self.now_ms + self._draw_gap_ms(), self._ask)
        gateway = self.draws.choice(self.gateways)
        if gateway.is_up(self.now_ms):
            self._dispatch(gateway, gateway.starts, attempts=0, wait_until_ms=self.now_ms + 200)

    def _dispatch(self, gateway, starts, attempts, wait_until_ms):
        """Choose a server as `GatewayView.place` does, and wait for a slot as `Forwarder` does."""
        if gateway.starts != starts or not gateway.is_up(self.now_ms):
            self.result.failed += 1
            return
        slots = gateway.permits.slots
        up = [one.backend for one in self.servers if one.down_until_ms <= self.now_ms]
        for _ in range(MAX_PERMITS_REQUESTED):
            usable = slots.select(up, 0)
            if not usable:
                break
            chosen = min(
                self.draws.sample(usable, min(3, len(usable))),
                key=lambda one: self.count_running([one.incarnation]),
            )
            if not slots.needs_permit(chosen):
                self._pass_on(gateway, chosen, None, attempts)
                return
            permit = slots.take(chosen, HOLD_MS, 0)
            if permit is not None:
                self._pass_on(gateway, chosen, permit.release, attempts)
                return
        delay_ms = slots.find_retry_ms(up, 0)
        if delay_ms is None or self.now_ms + delay_ms > wait_until_ms:
            self.result.refused += 1
            return
        self.at(self.now_ms + delay_ms, self._dispatch, gateway, starts, attempts, wait_until_ms)

    def _pass_on(self, gateway, backend, release, attempts):
        run = Run(gateway, gateway.starts, release, attempts + 1)
        at_ms = self.now_ms + self.draws.uniform(1, 8)
        self.at(at_ms, self._reach, run, self.by_incarnation[backend.incarnation])

    def _reach(self, run, server):
        if run.gateway.starts != run.starts:
            self.result.failed += 1
            return
        if server.down_until_ms > self.now_ms:
            self.fail(run)
            return
        if not server.arrive(run):
            self._tell(run, server)
            run.gateway.permits.slots.record_rejection(server.backend)
            self.fail(run)

    def finish(self, server, run):
        """End a request that has run."""
        if server.leave(run):
            self.result.served += 1
            self._tell(run, server)
            self._release(run)

    def fail(self, run):
        """Send a request again, or give it up."""
        self._release(run)
        if run.attempts < MAX_ATTEMPTS:
            self._dispatch(run.gateway, run.starts, run.attempts, self.now_ms)
        else:
            self.result.failed += 1

    def _tell(self, run, server):
        """Let a gateway take in what a server states in an answer."""
        gateway = run.gateway
        if gateway.starts == run.starts and gateway.is_up(self.now_ms):
            stated = float(self.brittle) if self.brittle else UNLIMITED
            gateway.permits.slots.record_answer(server.backend, stated, gateway.clock.now_ms())
            gateway.schedule_changes()

    def _release(self, run):
        if run.release is None or run.gateway.starts != run.starts:
            return
        if run.gateway.is_up(self.now_ms):
            run.release()
        else:  # A gateway that stands still returns its permits when it goes on.
            self.at(self.now_ms + 500, self._release, run)

    def _judge(self):
        for one in self.gateways:
            self.result.verdicts.update(one.permits.slots.verdicts)
        return self.result


def play(seed, setting):
    """Return the result of a replay."""
    return BrittleWorld(setting, seed).run()


def find_allowed_falls(setting):
    """Return how often the servers may fall over in one time of brittleness."""
    return 2 + setting.servers / 10


def main():
    """Print the results of some seeds."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=20)
    parser.add_argument("--gateways", type=int, default=9)
    parser.add_argument("--zones", type=int, default=4)
    parser.add_argument("--servers", type=int, default=8)
    parser.add_argument("--requests-per-s", type=float, default=160.0)
    parser.add_argument("--faults", type=int, default=6)
    options = vars(parser.parse_args())
    set_log_writer(lambda event, level, fields: None)
    first, seeds = options.pop("first"), options.pop("seeds")
    setting = Setting(**options)
    falls, broken, served, asked, rejections = 0, [], 0, 0, 0
    verdicts = Counter()
    for seed in range(first, first + seeds):
        result = play(seed, setting)
        falls += sum(result.falls)
        served, asked = served + result.served, asked + result.asked
        rejections += result.rejections
        verdicts += result.verdicts
        if any(one > find_allowed_falls(setting) for one in result.falls):
            broken.append((seed, result.falls))
    print(
        f"{seeds} seeds: {falls} falls, over the bound {broken}, {rejections} rejections,", end=" "
    )
    print(f"served {served / asked:.3f} of {asked}; {dict(verdicts)}")


if __name__ == "__main__":
    main()
