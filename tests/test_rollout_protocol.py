"""Stateful test of the rollout protocol at three gateways under random sequences of events.

Gateways restart and read outdated states of the order, messages are delayed, repeated or lost, the duties
pass to another gateway while the store is unavailable and its answers are lost, and the version may turn
bad at any time. The exposure bound must hold, and a final state must never change. Broken variants of the
protocol show that the model detects violations.
"""

import contextlib
import random
from dataclasses import dataclass, replace

import pytest
from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

from hemlockswitch.connection.stored_objects import ObjectPage
from hemlockswitch.core.clock import ManualClock
from hemlockswitch.core.errors import ErrorKind, PlatformError
from hemlockswitch.core.logs import _write_by_structlog, set_log_writer
from hemlockswitch.platform.rollouts import ROLLOUT_KIND, decode_rollout, encode_rollout_status
from hemlockswitch.process.gateway.fleet_clock import FleetClock
from hemlockswitch.process.gateway.rollout_duty import RolloutDuty
from hemlockswitch.process.gateway.rollouts import Rollouts, SendProperties
from hemlockswitch.process.lease import LeaseError
from hemlockswitch.request.rollout_credit import ExposureBound, ExposureCredit
from hemlockswitch.version.backend import BackendServer
from tests.test_rollout_duty import RolloutStore

BOUND = ExposureBound(0.1, 50)
GATEWAYS = 3
MAX_RESTARTS = 6
MAX_RECORDED_BAD = 50
REQUEST_INTERVAL_MS = 30.0
LIMIT_S = 20
TURN_MS = 250.0
ROUNDS_IN_TURN = 8
FINAL = ("completed", "rolled_back")
SERVERS = [
    BackendServer(f"{version}-{number}", "z1", f"127.0.0.1:{number}", "llm", version=version)
    for version in ("v1", "v2")
    for number in range(2)
]
NUMBERS = st.integers(0, GATEWAYS - 1)
SETTINGS = settings(
    max_examples=80,
    stateful_step_count=30,
    deadline=None,
    derandomize=True,
    database=None,
    phases=[Phase.generate],
)


@pytest.fixture(autouse=True)
def _no_lines():
    set_log_writer(lambda event, level, fields: None)
    yield
    set_log_writer(_write_by_structlog)


@dataclass
class Process:
    """A gateway process between its start and the next restart."""

    name: str
    rollouts: Rollouts
    duty: RolloutDuty

    @property
    def progress(self):
        """Progress of the order at this process; None before it has read the order."""
        return self.rollouts._progress.get("llm")


class MovingService(RuleBasedStateMachine):
    """Model of an order and three gateways, with the events and faults that may occur."""

    def __init__(self):
        super().__init__()
        self.clock = ManualClock()
        self.store = RolloutStore()
        self.store.order = replace(
            self.store.order, value={**self.store.order.value, "duration_s": LIMIT_S}
        )
        self.read_states = [self.store.order]
        self.messages = []
        self.starts = 0
        self.asked = self.sent = 0
        self.has_completed = False
        self.holder = 0
        self.processes = [self.start() for _ in range(GATEWAYS)]
        for number in range(GATEWAYS):
            self.read_order(number, age=0)

    def start(self):
        self.starts += 1
        rollouts = Rollouts(
            decode_rollout, BOUND, lambda: GATEWAYS, self.clock, random.Random(self.starts)
        )
        rollouts.replace_all(ObjectPage((), 1))
        duty = RolloutDuty(
            rollouts,
            self.store,
            ROLLOUT_KIND,
            encode_rollout_status,
            lambda: SERVERS,
            lambda names: 0,
            FleetClock(self.clock.now_ms, lambda: self.clock.now_ms() + 1e12),
            self.clock,
        )
        return Process(f"process-{self.starts}", rollouts, duty)

    @rule(number=NUMBERS, age=st.integers(0, 3))
    def read_order(self, number, age):
        """Read the current state of the order, or an outdated one."""
        order = self.read_states[max(0, len(self.read_states) - 1 - age)]
        process = self.processes[number]
        was_final = process.progress is not None and process.progress.order.is_final
        process.rollouts.apply_changes(ObjectPage((order,), order.version))
        assert process.progress.order.is_final or not was_final, "back from a final state"

    @rule(
        numbers=st.sets(NUMBERS, min_size=1),
        rounds=st.sampled_from([1, 20, 80]),
        bad_in_ten=st.sampled_from([0, 0, 2, 5, 10]),
    )
    def ask(self, numbers, rounds, bad_in_ten):
        """Send requests to some gateways."""
        for turn in range(rounds):
            self.clock.advance(REQUEST_INTERVAL_MS)
            for number in sorted(numbers):
                self.ask_once(self.processes[number], turn, fails=turn % 10 < bad_in_ten)

    def ask_once(self, process, turn, *, fails):
        self.asked += 1
        route = ("draft", "reply")[turn % 2]
        wish = SendProperties("llm", route, is_first=True, draws_canary=bool(turn % 3))
        selected = process.rollouts.select(wish, SERVERS)
        if process.progress is not None and process.progress.order.state == "completed":
            versions = {server.version for server in selected}
            assert versions == {"v2"}, "the old version after its servers have stopped"
        if selected:
            self.send(process, route, selected[0], fails=fails)

    @rule(turns=st.sampled_from([4, 20, 40]), bad_in_ten=st.sampled_from([0, 0, 0, 2]))
    def serve(self, turns, bad_in_ten):
        """Serve requests without faults for a number of turns."""
        for _ in range(turns):
            self.ask(set(range(GATEWAYS)), ROUNDS_IN_TURN, bad_in_ten)
            self.exchange()
            self.take_turn(self.holder)
            for number in range(GATEWAYS):
                self.read_order(number, 0)

    def send(self, process, route, server, *, fails):
        is_new = server.version == "v2"
        if is_new:
            self.sent += not self.has_completed
            self.check_may_send(process.progress)
        send = process.rollouts.begin_attempt(route, server, 250.0)
        if send is not None:
            is_bad = is_new and fails
            send.record_answer(succeeds=not is_bad)
            send.end(is_bad)

    def check_may_send(self, progress):
        assert progress is not None, "a version that nobody ordered"
        # Servers of the old version stop when an order is completed, whatever was decided here before.
        is_completed = progress.order.state == "completed"
        assert is_completed or not progress.stopped_for, "a version that was stopped here"
        assert progress.order.state != "rolled_back", "a version that was rolled back"
        bad = sum(one.target.bad for one in progress.get_sums().values())
        assert progress.order.is_final or bad < MAX_RECORDED_BAD, "a version known to be bad"

    @rule(number=NUMBERS)
    def tell(self, number):
        process = self.processes[number]
        reports = process.rollouts.make_reports(leads=number == self.holder)
        self.messages.append((process.name, reports))

    @rule()
    def exchange(self):
        """Deliver a report of every gateway to every other gateway."""
        for number in range(GATEWAYS):
            self.tell(number)
        for number in range(GATEWAYS):
            for which in range(GATEWAYS):
                self.bring(number, which)

    @precondition(lambda self: self.messages)
    @rule(number=NUMBERS, which=st.integers(0, 40))
    def bring(self, number, which):
        """Deliver any message, possibly again; messages that are never delivered are lost."""
        name, reports = self.messages[-1 - which % len(self.messages)]
        if name != self.processes[number].name:
            self.processes[number].rollouts.apply_reports(name, reports)

    @rule(turns=st.sampled_from([1, 4, 16]))
    def wait(self, turns):
        """Let the holder of the duties take some turns."""
        for _ in range(turns):
            self.clock.advance(TURN_MS)
            for process in self.processes:
                process.rollouts.check_all()
            self.take_turn(self.holder)

    @rule(number=NUMBERS)
    def take_turn(self, number):
        """Perform the duties at a gateway; one that does not hold the lease gets no fencing number."""

        def get_fencing():
            if number != self.holder:
                raise LeaseError(ErrorKind.STALE_FENCING, "lapsed")
            return 7

        before = self.store.order
        with contextlib.suppress(LeaseError, PlatformError):
            self.processes[number].duty.take_turn(get_fencing)
        if self.store.order is not before:
            self.read_states.append(self.store.order)
            self.has_completed = "completed" in self.store.states

    @rule(number=NUMBERS)
    def take_over(self, number):
        self.holder = number
        self.processes[number].duty.take_over()

    @precondition(lambda self: self.starts < GATEWAYS + MAX_RESTARTS)
    @rule(number=NUMBERS, age=st.integers(0, 1))
    def restart(self, number, age):
        self.processes[number] = self.start()
        self.read_order(number, age)

    @rule(is_away=st.booleans(), loses=st.integers(0, 2))
    def disturb(self, is_away, loses):
        self.store.is_down = is_away
        self.store.lost_answers = loses

    @invariant()
    def stays_within_the_bound(self):
        assert self.sent <= BOUND.share * self.asked + BOUND.slack, "exposure"

    @invariant()
    def has_one_final_state(self):
        ended = [state for state in self.store.states if state in FINAL]
        assert self.store.states[-1:] == ended or not ended, "a state after the final one"


class TestMovingService(MovingService.TestCase):
    settings = SETTINGS


def test_model_detects_gateways_that_exceed_their_share(monkeypatch):
    monkeypatch.setattr(ExposureCredit, "may_try", lambda self, route: True)
    check_model_fails("exposure")


def test_model_detects_a_gateway_that_leaves_a_final_state(monkeypatch):
    def apply_state(self, progress, order):
        progress.order = order

    monkeypatch.setattr(Rollouts, "_apply_state", apply_state)
    check_model_fails("back from a final state")


def test_model_detects_a_holder_that_ignores_the_object_version(monkeypatch):
    write = RolloutStore.update_status
    monkeypatch.setattr(
        RolloutStore,
        "update_status",
        lambda self, kind, name, status, version: write(
            self, kind, name, status, self.order.version
        ),
    )
    check_model_fails("a state after the final one")


def test_model_detects_a_gateway_that_sends_to_a_stopped_version(monkeypatch):
    select = Rollouts._select_by_order

    def select_stopped(self, progress, request, listed):
        chosen = select(self, progress, request, listed)
        return listed.target if progress.stopped_for else chosen

    monkeypatch.setattr(Rollouts, "_select_by_order", select_stopped)
    check_model_fails("a version that was stopped here")


def test_model_detects_a_gateway_that_ignores_the_completion(monkeypatch):
    select = Rollouts._select_by_order

    def select_old(self, progress, request, listed):
        chosen = select(self, progress, request, listed)
        return listed.others if progress.order.state == "completed" else chosen

    monkeypatch.setattr(Rollouts, "_select_by_order", select_old)
    check_model_fails("the old version after its servers have stopped")


def check_model_fails(message):
    with pytest.raises(AssertionError, match=message):
        run_state_machine_as_test(MovingService, settings=SETTINGS)
