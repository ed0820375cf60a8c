"""Sockets towards other processes notice a peer that is gone without a word."""

import time

import gevent
import pytest
from gevent import socket
from gevent.server import StreamServer

from hemlockswitch.connection.backoff import Backoff
from hemlockswitch.connection.http import SingleSendClient
from hemlockswitch.connection.platform_calls import AnswerLostError, PlatformCalls
from hemlockswitch.connection.sockets import (
    KEEPALIVE_IDLE_S,
    KEEPALIVE_INTERVAL_S,
    KEEPALIVE_PROBES,
    UNACKNOWLEDGED_MS,
    connect,
)
from hemlockswitch.core.clock import SystemClock

LONGEST_SILENCE_S = 3
"""A daemon has three seconds to settle after a disturbance; a dead watch must be found in them."""


def read_options(connection):
    names = ("TCP_KEEPIDLE", "TCP_KEEPINTVL", "TCP_KEEPCNT", "TCP_USER_TIMEOUT")
    return [connection.getsockopt(socket.IPPROTO_TCP, getattr(socket, name)) for name in names] + [
        connection.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE)
    ]


EXPECTED = [KEEPALIVE_IDLE_S, KEEPALIVE_INTERVAL_S, KEEPALIVE_PROBES, UNACKNOWLEDGED_MS, 1]


def serve():
    server = StreamServer(("127.0.0.1", 0), lambda connection, address: connection.recv(1))
    server.start()
    return server


def test_the_platforms_connections_probe_a_silent_peer():
    server = serve()
    client = SingleSendClient("127.0.0.1", server.server_port)
    connection = client.open()
    assert read_options(connection) == EXPECTED
    connection.close()
    server.stop()


def test_backend_connections_probe_a_silent_peer():
    server = serve()
    connection = connect(f"127.0.0.1:{server.server_port}", 1_000)
    assert read_options(connection) == EXPECTED
    connection.close()
    server.stop()


def test_a_silent_peer_is_found_in_time():
    assert KEEPALIVE_IDLE_S + KEEPALIVE_INTERVAL_S * KEEPALIVE_PROBES <= LONGEST_SILENCE_S
    assert UNACKNOWLEDGED_MS <= LONGEST_SILENCE_S * 1_000


def test_a_call_that_is_given_up_on_is_reset_so_that_it_cannot_arrive_later():
    """A plain close would let the kernel deliver the request after a cut has healed."""
    ends = []

    def hear(connection, address):
        connection.recv(65_536)
        try:
            ends.append(connection.recv(1))
        except ConnectionResetError:
            ends.append("reset")

    server = StreamServer(("127.0.0.1", 0), hear)
    server.start()
    calls = PlatformCalls(f"127.0.0.1:{server.server_port}", {}, 100, SystemClock())
    with pytest.raises(AnswerLostError):
        calls.call(Backoff(SystemClock()), "POST", "/scale", b"{}", {})
    deadline = time.monotonic() + 5
    while not ends and time.monotonic() < deadline:
        gevent.sleep(0.01)
    assert ends == ["reset"]
    server.stop()
