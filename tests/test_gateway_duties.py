"""The duties of one gateway at a time: who acts, and what a failure of one of them stops."""

import pytest

from hemlockswitch.core.clock import ManualClock
from hemlockswitch.core.errors import ErrorKind, PlatformError
from hemlockswitch.process.gateway.duties import DutyRunner, make_lease_times
from hemlockswitch.process.gateway.true_time import TrueTime
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

    def take_turn(self):
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


class StubKeeper:
    def take_over(self):
        pass


class StubRollouts:
    def take_over(self):
        pass

    def take_turn(self, get_fencing):
        pass


class StubOthers:
    def has_other_leader(self):
        return False


@pytest.fixture
def parts():
    return StubLease(), StubUsage(), StubScaling()


def make_runner(parts):
    lease, usage, scaling = parts
    clock = ManualClock()
    return DutyRunner(
        lease, usage, scaling, StubKeeper(), StubRollouts(), StubOthers(), TrueTime(), clock
    )


def test_the_holder_does_both_duties_under_its_number(parts):
    make_runner(parts).take_turn()
    assert parts[1].reported == [(3, 7)]
    assert parts[2].turns == [7]


def test_a_gateway_without_the_lease_does_nothing(parts):
    parts[0].is_held = False
    make_runner(parts).take_turn()
    assert parts[1].reported == []
    assert parts[2].turns == []


def test_a_lease_that_lapses_in_between_stops_every_duty(parts):
    parts[0].lapses = True
    make_runner(parts).take_turn()
    assert parts[1].reported == []


def test_a_duty_that_fails_does_not_stop_the_other(parts):
    parts[2].error = AWAY
    make_runner(parts).take_turn()
    assert parts[1].reported == [(3, 7)]


def test_every_takeover_begins_anew(parts):
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
def test_the_lease_times_fit_together(term_ms):
    times = make_lease_times(term_ms)
    assert 2 * times.renew_ms <= times.term_ms - times.stop_before_ms
    assert times.margin_ms > 0


def test_a_stopping_gateway_does_not_seek_the_lease_again(parts):
    """A rolling restart while the store was away; the stopping
    holder took the lease once more, and two usage reports came too late."""
    lease = parts[0]
    runner = make_runner(parts)
    runner.release()
    runner.maintain_lease()
    assert (lease.released, lease.turns) == (1, 0)


def test_a_lease_that_is_taken_while_the_gateway_begins_to_stop_is_given_back(parts):
    lease = parts[0]
    runner = make_runner(parts)

    def take_turn():
        runner.release()
        lease.is_held = True
        return 1_000.0

    lease.take_turn = take_turn
    runner.maintain_lease()
    assert lease.released == 2
    assert not runner.leads
