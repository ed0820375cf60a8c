"""Whether a server that cut a connection has ended, by what it answers when it is asked for another one.

The kernel closes the sockets of a process that ends one by one, and later still on a busy machine: a
server whose connection was cut accepted the next one, so its end was not counted, and a request that
ends servers reached six of them instead of four.
"""

import pytest

from hemlockswitch.core.clock import ManualClock
from hemlockswitch.process.quarantine.server_ends import MOST_ASK_MS, ServerEnds
from hemlockswitch.version.backend import BackendServer

SERVER = BackendServer("runner", "z1", "127.0.0.1:1", "llm")


class Asked:
    """Answers in turn, each after a time, whether the server refuses."""

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
def test_a_server_that_accepts_is_asked_once_more(answers, has_ended):
    ends, asked = make_ends(*answers)
    assert ends.has_ended(SERVER) is has_ended
    assert asked.answers == []


def test_a_silent_server_is_not_asked_again():
    ends, asked = make_ends(False, True, took_ms=MOST_ASK_MS + 1)
    assert ends.has_ended(SERVER) is False
    assert asked.answers == [True]


def test_a_server_that_ended_is_remembered():
    ends, _ = make_ends(True)
    assert [ends.has_ended(SERVER) for _ in range(3)] == [True] * 3


def test_a_server_that_leaves_is_not_asked():
    ends, asked = make_ends(True, is_live=False)
    assert ends.has_ended(SERVER) is False
    assert asked.answers == [True]
