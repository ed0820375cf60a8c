"""Sockets to other processes detect a peer that disappeared without closing its connections."""

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
    UNACKNOWLEDGED_TIMEOUT_MS,
    connect,
)
from hemlockswitch.core.clock import SystemClock

MAX_DETECTION_S = 3
"""A daemon must recover from a disturbance within 3 s, which includes detecting a dead watch."""


def read_options(connection):
    names = ("TCP_KEEPIDLE", "TCP_KEEPINTVL", "TCP_KEEPCNT", "TCP_USER_TIMEOUT")
    return [connection.getsockopt(socket.IPPROTO_TCP, getattr(socket, name)) for name in names] + [
        connection.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE)
    ]


EXPECTED = [KEEPALIVE_IDLE_S, KEEPALIVE_INTERVAL_S, KEEPALIVE_PROBES, UNACKNOWLEDGED_TIMEOUT_MS, 1]


def serve():
    server = StreamServer(("127.0.0.1", 0), lambda connection, address: connection.recv(1))
    server.start()
    return server


def test_platform_connections_probe_an_unresponsive_peer():
    server = serve()
    client = SingleSendClient("127.0.0.1", server.server_port)
    connection = client.open()
    assert read_options(connection) == EXPECTED
    connection.close()
    server.stop()


def test_backend_connections_probe_an_unresponsive_peer():
    server = serve()
    connection = connect(f"127.0.0.1:{server.server_port}", 1_000)
    assert read_options(connection) == EXPECTED
    connection.close()
    server.stop()


def test_unresponsive_peer_is_detected_in_time():
    assert KEEPALIVE_IDLE_S + KEEPALIVE_INTERVAL_S * KEEPALIVE_PROBES <= MAX_DETECTION_S
    assert UNACKNOWLEDGED_TIMEOUT_MS <= MAX_DETECTION_S * 1_000


def test_timed_out_call_is_reset_and_never_delivered_later():
    """After a plain close the kernel would deliver the request once a partition has ended."""
    ends = []

    def receive(connection, address):
        connection.recv(65_536)
        try:
            ends.append(connection.recv(1))
        except ConnectionResetError:
            ends.append("reset")

    server = StreamServer(("127.0.0.1", 0), receive)
    server.start()
    calls = PlatformCalls(f"127.0.0.1:{server.server_port}", {}, 100, SystemClock())
    with pytest.raises(AnswerLostError):
        calls.call(Backoff(SystemClock()), "POST", "/scale", b"{}", {})
    deadline = time.monotonic() + 5
    while not ends and time.monotonic() < deadline:
        gevent.sleep(0.01)
    assert ends == ["reset"]
    server.stop()
