import gevent
import pytest

from hemlockswitch.core.clock import ManualClock, SystemClock
from hemlockswitch.core.errors import ErrorKind, PeerError
from hemlockswitch.process.freshness import PAUSE_MS, Freshness


class PausedClock(ManualClock):
    def __init__(self):
        super().__init__()
        self.advance(SystemClock().now_ms())


@pytest.fixture
def clock():
    return PausedClock()


def fail():
    raise PeerError(ErrorKind.NOT_READY, "was paused itself")


def test_requests_wait_after_a_pause_until_a_source_answered(clock):
    answered = []

    def answer():
        gevent.sleep(0.02)
        answered.append(True)

    freshness = Freshness(clock, lambda: [fail, answer])
    freshness.await_facts()
    assert not answered
    clock.advance(PAUSE_MS + 1)
    assert not freshness.is_fresh
    freshness.await_facts()
    assert answered
    assert freshness.is_fresh


def test_requests_go_on_with_what_is_known_when_nobody_answers(clock):
    freshness = Freshness(clock, lambda: [fail])
    clock.advance(PAUSE_MS + 1)
    with gevent.Timeout(10):
        freshness.await_facts()


def test_requests_do_not_wait_without_sources(clock):
    freshness = Freshness(clock, list)
    clock.advance(PAUSE_MS + 1)
    with gevent.Timeout(10):
        freshness.await_facts()
    assert freshness.is_fresh
