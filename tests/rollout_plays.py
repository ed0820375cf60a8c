"""Replay of one rollout order to its end; see `tests.rollout_replay`."""

import heapq
import math
import random
from collections import Counter

from hemlockswitch.connection.stored_objects import ObjectPage
from hemlockswitch.core.clock import ManualClock
from hemlockswitch.core.errors import ErrorKind, PlatformError
from hemlockswitch.platform.rollouts import ROLLOUT_KIND, decode_rollout, encode_rollout_status
from hemlockswitch.process.gateway.fleet_clock import FleetClock
from hemlockswitch.process.gateway.rollout_duty import RolloutDuty
from hemlockswitch.process.gateway.rollouts import Rollouts, SendProperties
from hemlockswitch.process.lease import LeaseError
from hemlockswitch.version.backend import BackendServer
from tests.rollout_fleet import (
    AFTER_MS,
    BAD_ANSWERS,
    BOOT_MS,
    BOUND,
    CHANGE_REPORT_MS,
    FIRST_MS,
    LEASE_MS,
    LOST_SHARE,
    REPORT_MS,
    RESUMABLE,
    ROLLBACK_MS,
    ROUTES,
    SERVERS,
    SERVICE,
    STEP_MS,
    TURN_MS,
    Gateway,
    Outcome,
    Store,
)


class Replay:
    """Simulation of one rollout order to its end."""

    def __init__(self, gateways, seed, version, *, limit_s=12.0, rate=118.0, faults=True):
        self.rng = random.Random(seed)
        self.clock = ManualClock()
        self.version = version
        self.limit_ms = limit_s * 1_000
        self.rate = rate
        self.faults = faults
        self.outcome = Outcome()
        self.store = Store(self, limit_s)
        self.old = [self.make_server("old", "v1", one) for one in range(SERVERS)]
        self.new = [self.make_server("new", "v2", one) for one in range(SERVERS)]
        self.events = []
        self.order_number = 0
        self.running_old = Counter()
        self.holder = 0
        self.free_since = 0.0
        self.lease_lapsed = set()
        self.bad_moments = []
        self.stopped_old = False
        self.starts = Counter()
        self.store_away = (math.inf, math.inf)
        self.gateways = [self.start(number) for number in range(gateways)]
        for one in self.gateways:
            one.weight = self.rng.uniform(0.3, 1.7)
            self.deliver_order(one)

    @staticmethod
    def make_server(kind, version, number):
        return BackendServer(
            f"{kind}-{number}", "z1", f"127.0.0.1:{number}", SERVICE, version=version
        )

    def start(self, number):
        """Return a new process of the gateway with this number."""
        self.starts[number] += 1
        rollouts = Rollouts(decode_rollout, BOUND, lambda: len(self.gateways), self.clock, self.rng)
        rollouts.replace_all(ObjectPage((), 1))
        duty = RolloutDuty(
            rollouts,
            self.store,
            ROLLOUT_KIND,
            encode_rollout_status,
            lambda: self.gateways[number].servers,
            lambda names: sum(self.running_old.values()),
            FleetClock(self.clock.now_ms, lambda: self.clock.now_ms() + 1e12),
            self.clock,
        )
        one = Gateway(f"g{number}/{self.starts[number]}", rollouts, duty)
        one.servers = list(self.old) if not self.stopped_old else list(self.new)
        if self.clock.now_ms() >= BOOT_MS and not self.stopped_old:
            one.servers += self.new
        return one

    def at(self, delay_ms, act):
        """Schedule a call of `act` after a delay."""
        self.order_number += 1
        heapq.heappush(self.events, (self.clock.now_ms() + delay_ms, self.order_number, act))

    def is_away(self):
        return self.store_away[0] <= self.clock.now_ms() < self.store_away[1]

    def note_state(self, state):
        """Record a state that the holder has written."""
        outcome = self.outcome
        if outcome.state in ("completed", "rolled_back"):
            outcome.final_changes += 1
        outcome.state = state
        if state != "running":
            stopped = [one.stopped_for for one in self.list_progress() if one.stopped_for]
            outcome.reason = next((one for one in stopped if "told" not in one), "")
            outcome.closed_ms = min(outcome.closed_ms, self.clock.now_ms())
        if state == "completed":
            self.stopped_old = True
            outcome.resumed += self.running_old.pop(RESUMABLE, 0)
            outcome.cut += sum(self.running_old.values())
            self.running_old.clear()
            for one in self.gateways:
                self.at(self.rng.uniform(0, 400), lambda one=one: self.drop_old(one))

    def list_progress(self):
        return [order for one in self.gateways for order in one.rollouts.list_open()]

    def drop_old(self, gateway):
        gateway.servers = [one for one in gateway.servers if one.version != "v1"]

    def show_order(self):
        for one in self.gateways:
            self.at(self.rng.uniform(5, 60), lambda one=one: self.deliver_order(one))

    def deliver_order(self, gateway):
        """Deliver the current order to a gateway, once the store is available to it."""
        if self.is_away():
            wait_ms = self.store_away[1] - self.clock.now_ms() + self.rng.uniform(5, 300)
            self.at(wait_ms, lambda: self.deliver_order(gateway))
            return
        gateway.rollouts.apply_changes(ObjectPage((self.store.order,), self.store.order.version))
        gateway.knows_order = True

    def plan_faults(self):
        """Schedule random faults."""
        rng, limit = self.rng, self.limit_ms
        for _ in range(rng.randrange(3)):
            self.at(rng.uniform(0, limit), lambda: self.kill(self.holder))
        for _ in range(rng.randrange(2)):
            self.at(rng.uniform(0, limit), lambda: self.freeze(self.holder))
        for _ in range(rng.randrange(4)):
            self.at(rng.uniform(0, limit), lambda: self.kill(rng.randrange(len(self.gateways))))
        if rng.random() < 0.2:
            self.at(rng.uniform(0, limit), self.kill_all)
        if rng.random() < 0.4:
            began = rng.uniform(0, limit)
            self.store_away = (began, began + rng.uniform(300, 3_000))

    def kill(self, number):
        if 0 <= number < len(self.gateways):
            weight = self.gateways[number].weight
            self.gateways[number] = one = self.start(number)
            one.weight = weight
            one.frozen_until = self.clock.now_ms() + self.rng.uniform(300, 1_500)
            self.at(one.frozen_until - self.clock.now_ms(), lambda: self.deliver_order(one))

    def kill_all(self):
        for number in range(len(self.gateways)):
            self.kill(number)

    def freeze(self, number):
        if 0 <= number < len(self.gateways):
            self.gateways[number].frozen_until = self.clock.now_ms() + self.rng.uniform(
                1_000, 6_000
            )
            self.lease_lapsed.add(number)
            self.free_since = self.clock.now_ms() + LEASE_MS
            self.holder = -1

    def find_holder(self):
        if self.holder < 0 and self.clock.now_ms() >= self.free_since:
            ready = [
                number
                for number, one in enumerate(self.gateways)
                if one.frozen_until <= self.clock.now_ms()
            ]
            if ready:
                self.holder = self.rng.choice(ready)
                self.gateways[self.holder].duty.take_over()
                self.lease_lapsed.discard(self.holder)
        return self.holder

    def take_turn(self):
        # A holder that was killed acquires its lease again once it has restarted at its address.
        number = self.find_holder()
        if number < 0 or self.gateways[number].frozen_until > self.clock.now_ms():
            return
        self.store.is_down = self.is_away()
        try:
            self.gateways[number].duty.take_turn(lambda: self.get_fencing(number))
        except (PlatformError, LeaseError):
            return

    def get_fencing(self, number):
        if number in self.lease_lapsed:
            raise LeaseError(ErrorKind.STALE_FENCING, "lapsed")
        return 7

    def send_reports(self, complete):
        """Send the changed counts of each gateway, or the complete ones, to all other gateways."""
        now_ms = self.clock.now_ms()
        messages = []
        for number, one in enumerate(self.gateways):
            if one.frozen_until > now_ms:
                continue
            leads = number == self.holder
            reports = one.rollouts.make_reports(leads=leads) if complete else None
            reports = one.rollouts.pop_changed_reports(leads=leads) if reports is None else reports
            if reports:
                messages.append((number, one.name, reports))
        if messages:
            self.at(self.rng.uniform(30, 200), lambda: self.deliver_reports(messages))

    def deliver_reports(self, messages):
        now_ms = self.clock.now_ms()
        for receiver, one in enumerate(self.gateways):
            if one.frozen_until > now_ms:
                continue
            for sender, name, reports in messages:
                if sender != receiver and self.rng.random() >= LOST_SHARE:
                    one.rollouts.apply_reports(name, reports)

    def arrive(self):
        """Send the requests that arrive in one step."""
        swing = 1 + 0.42 * math.sin(self.clock.now_ms() / 40_000 * 2 * math.pi + self.rng.random())
        expected = self.rate * swing * STEP_MS / 1_000
        count = int(expected) + (self.rng.random() < expected % 1)
        weights = [one.weight for one in self.gateways]
        for number in self.rng.choices(range(len(self.gateways)), weights, k=count):
            gateway = self.gateways[number]
            if gateway.frozen_until <= self.clock.now_ms() and gateway.knows_order:
                self.ask(gateway)

    def ask(self, gateway):
        rng = self.rng
        (route,) = rng.choices(list(ROUTES), [one[0] for one in ROUTES.values()])
        properties = SendProperties(
            SERVICE,
            route,
            is_first=True,
            is_repeatable=route == RESUMABLE,
            draws_canary=rng.random() < 0.5,
        )
        selected = gateway.rollouts.select(properties, gateway.servers)
        now_ms = self.clock.now_ms()
        in_time = now_ms < self.limit_ms
        self.outcome.asked += in_time
        if not selected:
            return
        server = rng.choice(selected)
        send = gateway.rollouts.begin_attempt(route, server, FIRST_MS)
        is_new = server.version == "v2"
        if is_new and in_time:
            self.outcome.sent += 1
        if is_new and self.bad_moments[BAD_ANSWERS - 1 :]:
            self.outcome.late_sends += now_ms > self.bad_moments[BAD_ANSWERS - 1] + ROLLBACK_MS
        if not is_new:
            self.running_old[route] += 1
        self.begin_answer(gateway, route, send, server)

    def begin_answer(self, gateway, route, send, server):
        rng, version = self.rng, self.version
        is_new = server.version == "v2"
        is_on = is_new and version.is_bad and self.clock.now_ms() >= BOOT_MS + version.from_ms
        is_bad = is_on and version.route in ("", route)
        fails = rng.random() < max(ROUTES[route][2], version.failing if is_bad else 0.0)
        factor = version.slow if is_bad else 1.0
        if is_bad and (fails or factor > 1):
            moment = self.clock.now_ms() + FIRST_MS * factor
            self.at(FIRST_MS * factor, lambda: self.bad_moments.append(moment))
        first_ms = FIRST_MS * factor * rng.lognormvariate(0, 0.35)
        complete_ms = (
            first_ms if fails else first_ms + ROUTES[route][1] * factor * rng.uniform(0.6, 1.4)
        )

        def begin():
            if send is not None and gateway in self.gateways:
                send.record_answer(succeeds=not fails)

        def end():
            if not is_new and self.running_old[route]:
                self.running_old[route] -= 1
            if send is not None and gateway in self.gateways:
                send.end(fails)

        self.at(first_ms, begin)
        self.at(complete_ms, end)

    def list_new(self, gateway):
        if not self.stopped_old:
            gateway.servers = [*gateway.servers, *(s for s in self.new if s not in gateway.servers)]

    def run(self):
        """Run the replay until `AFTER_MS` after the time limit; return its outcome."""
        if self.faults:
            self.plan_faults()
        for number in range(len(self.gateways)):
            delay_ms = BOOT_MS + self.rng.uniform(0, 600)
            self.at(delay_ms, lambda number=number: self.list_new(self.gateways[number]))
        step = 0
        while self.clock.now_ms() < self.limit_ms + AFTER_MS:
            while self.events and self.events[0][0] <= self.clock.now_ms():
                heapq.heappop(self.events)[2]()
            self.arrive()
            if step % int(CHANGE_REPORT_MS / STEP_MS) == 0:
                self.send_reports(complete=False)
            if step % int(REPORT_MS / STEP_MS) == 0:
                self.send_reports(complete=True)
            if step % int(TURN_MS / STEP_MS) == 0:
                self.take_turn()
            if step % 10 == 0:
                for one in self.gateways:
                    one.rollouts.check_all()
            self.judge_bound()
            self.clock.advance(STEP_MS)
            step += 1
        self.outcome.bad = len(self.bad_moments)
        return self.outcome

    def judge_bound(self):
        """Record by how much the requests sent to a version on trial exceed the bound."""
        outcome = self.outcome
        if outcome.state != "completed" and self.clock.now_ms() < self.limit_ms:
            over = outcome.sent - BOUND.share * outcome.asked - BOUND.slack
            outcome.most_over = max(outcome.most_over, over)
