"""Callers that open more connections than a process may have descriptors.

Guards against callers that say nothing, or open connections without end, and thereby keep others from being
served: nobody can connect any more, or connections close without an answer.
"""

import subprocess
import sys

import gevent
import pytest
from gevent import socket

from tests.gateway_site import make_request, read_reply

DESCRIPTORS = 128
IDLE = 3 * DESCRIPTORS
CALLERS = 8


class Program:
    """The program `tests.limited_server` in a process of its own."""

    def __init__(self):
        self._process = subprocess.Popen(
            [sys.executable, "-m", "tests.limited_server", str(DESCRIPTORS)],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
        )
        host, _, port = self._process.stdout.readline().decode().strip().rpartition(":")
        self._address = (host, int(port))
        self._connections = []

    def connect(self):
        connection = socket.create_connection(self._address, timeout=10)
        self._connections.append(connection)
        return connection

    def ask(self, target="/x", connection=None):
        connection = connection or self.connect()
        connection.sendall(make_request(target, "id", method="GET", body=b""))
        return read_reply(connection)

    def close(self):
        for connection in self._connections:
            connection.close()
        self._process.stdin.close()
        self._process.wait(10)
        self._process.stdout.close()


@pytest.fixture
def program():
    one = Program()
    yield one
    one.close()


def test_callers_are_served_beside_more_idle_connections_than_descriptors(program):
    idle = [program.connect() for _ in range(IDLE)]
    replies = gevent.joinall([gevent.spawn(program.ask) for _ in range(CALLERS)], timeout=10)
    assert [one.get().status for one in replies] == [200] * CALLERS
    for connection in idle:
        connection.close()
    assert [program.ask().status for _ in range(CALLERS)] == [200] * CALLERS


def test_callers_beyond_the_limit_are_refused_at_once_while_all_connections_are_in_use(program):
    slow = [gevent.spawn(program.ask, "/slow") for _ in range(DESCRIPTORS)]
    gevent.joinall(slow, timeout=20)
    replies = [one.get() for one in slow]
    assert all(reply.is_whole for reply in replies), "none is closed unanswered"
    assert {reply.status for reply in replies} == {200, 503}
    assert sum(reply.status == 200 for reply in replies) >= DESCRIPTORS // 4
    refused = [reply for reply in replies if reply.status == 503]
    assert all("retry-after" in reply.headers for reply in refused)
    assert [program.ask().status for _ in range(CALLERS)] == [200] * CALLERS


def test_connection_in_use_lately_outlives_those_that_are_idle_for_longer(program):
    for _ in range(DESCRIPTORS // 4):
        program.connect()
    used = program.connect()
    for _ in range(2 * DESCRIPTORS):
        assert program.ask(connection=used).status == 200
        program.connect()
