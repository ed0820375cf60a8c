"""Detects a crashed server by probing it after it closed a connection.

Guards against missed crashes: the kernel closes the sockets of a terminating process one by one, with larger
gaps on a busy machine. A server that had just closed a connection accepted the next one, so its crash was
not counted, and a crashing request reached six servers instead of four.
"""

import pytest

from hemlockswitch.core.clock import ManualClock
from hemlockswitch.process.quarantine.server_ends import MOST_ASK_MS, ServerEnds
from hemlockswitch.version.backend import BackendServer

SERVER = BackendServer("runner", "z1", "127.0.0.1:1", "llm")


class Asked:
    """A probe with scripted answers, each of which takes `took_ms`."""

    def __init__(self, clock, *answers, took_ms=1.0):
        self.clock, self.answers, self.took_ms = clock, list(answers), took_ms

    def __call__(self, server):
        self.clock.advance(self.took_ms)
        return self.answers.pop(0)


def make_ends(*answers, took_ms=1.0, is_live=True):
    clock = ManualClock()
    asked = Asked(clock, *answers, took_ms=took_ms)
    return ServerEnds(lambda server: is_live, asked, clock), asked


@pytest.mark.parametrize(
    ("answers", "has_ended"), [((True,), True), ((False, True), True), ((False, False), False)]
)
def test_accepting_server_is_probed_once_more(answers, has_ended):
    ends, asked = make_ends(*answers)
    assert ends.has_ended(SERVER) is has_ended
    assert asked.answers == []


def test_slow_server_is_not_probed_again():
    ends, asked = make_ends(False, True, took_ms=MOST_ASK_MS + 1)
    assert ends.has_ended(SERVER) is False
    assert asked.answers == [True]


def test_crashed_server_is_probed_once():
    ends, _ = make_ends(True)
    assert [ends.has_ended(SERVER) for _ in range(3)] == [True] * 3


def test_leaving_server_is_not_probed():
    ends, asked = make_ends(True, is_live=False)
    assert ends.has_ended(SERVER) is False
    assert asked.answers == [True]
