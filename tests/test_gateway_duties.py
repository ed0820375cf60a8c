"""Duties under the lease: only the holder acts, and a failed duty does not stop the remaining ones."""

import pytest

from hemlockswitch.core.clock import ManualClock
from hemlockswitch.core.errors import ErrorKind, PlatformError
from hemlockswitch.process.gateway.duties import DutyRunner, make_lease_times
from hemlockswitch.process.gateway.fleet_clock import FleetClock
from hemlockswitch.process.lease import LeaseError

AWAY = PlatformError(ErrorKind.PLATFORM_UNAVAILABLE, "away")


class StubLease:
    def __init__(self):
        self.is_held = True
        self.lapses = False

        self.turns = 0
        self.released = 0

    def get_fencing(self):
        if self.lapses:
            raise LeaseError(ErrorKind.STALE_FENCING, "lapsed")
        return 7

    def run_step(self):
        self.turns += 1
        return 1_000.0

    def release(self):
        self.is_held = False
        self.released += 1


class StubUsage:
    def __init__(self):
        self.reported = []
        self.took_over = 0

    def take_over(self, wall_ms):
        self.took_over += 1

    def list_due(self, wall_ms):
        return [3]

    def report(self, window, get_fencing):
        self.reported.append((window, get_fencing()))


class StubScaling:
    def __init__(self):
        self.turns = []
        self.took_over = 0
        self.error = None

    def take_over(self):
        self.took_over += 1

    def take_turn(self, get_fencing):
        if self.error is not None:
            raise self.error
        self.turns.append(get_fencing())


class StubUsageStore:
    def take_over(self):
        pass


class StubRollouts:
    def take_over(self):
        pass

    def take_turn(self, get_fencing):
        pass


class StubPeers:
    def has_other_leader(self):
        return False


@pytest.fixture
def parts():
    return StubLease(), StubUsage(), StubScaling()


def make_runner(parts):
    lease, usage, scaling = parts
    clock = ManualClock()
    return DutyRunner(
        lease, usage, scaling, StubUsageStore(), StubRollouts(), StubPeers(), FleetClock(), clock
    )


def test_holder_performs_duties_with_its_fencing_number(parts):
    make_runner(parts).take_turn()
    assert parts[1].reported == [(3, 7)]
    assert parts[2].turns == [7]


def test_gateway_without_the_lease_performs_no_duties(parts):
    parts[0].is_held = False
    make_runner(parts).take_turn()
    assert parts[1].reported == []
    assert parts[2].turns == []


def test_lease_expired_during_a_turn_stops_every_duty(parts):
    parts[0].lapses = True
    make_runner(parts).take_turn()
    assert parts[1].reported == []


def test_failed_duty_does_not_stop_the_next_one(parts):
    parts[2].error = AWAY
    make_runner(parts).take_turn()
    assert parts[1].reported == [(3, 7)]


def test_every_takeover_resets_the_duties(parts):
    runner = make_runner(parts)
    runner.take_turn()
    runner.take_turn()
    assert (parts[1].took_over, parts[2].took_over) == (1, 1)
    parts[0].is_held = False
    runner.take_turn()
    parts[0].is_held = True
    runner.take_turn()
    assert (parts[1].took_over, parts[2].took_over) == (2, 2)


@pytest.mark.parametrize("term_ms", [2_000, 4_000, 10_000])
def test_lease_times_leave_room_for_two_renewals(term_ms):
    times = make_lease_times(term_ms)
    assert 2 * times.renew_ms <= times.term_ms - times.stop_before_ms
    assert times.margin_ms > 0


def test_stopping_gateway_does_not_acquire_the_lease_again(parts):
    """During a rolling restart with the store unavailable, a stopping holder acquired the lease again,
    and two usage reports were late."""
    lease = parts[0]
    runner = make_runner(parts)
    runner.release()
    runner.maintain_lease()
    assert (lease.released, lease.turns) == (1, 0)


def test_lease_acquired_while_stopping_is_released(parts):
    lease = parts[0]
    runner = make_runner(parts)

    def run_step():
        runner.release()
        lease.is_held = True
        return 1_000.0

    lease.run_step = run_step
    runner.maintain_lease()
    assert lease.released == 2
    assert not runner.leads
