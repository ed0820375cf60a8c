"""Sockets towards other processes notice a peer that is gone without a word."""

from gevent import socket
from gevent.server import StreamServer

from hemlockswitch.connection.http import SingleSendClient
from hemlockswitch.connection.sockets import (
    KEEPALIVE_IDLE_S,
    KEEPALIVE_INTERVAL_S,
    KEEPALIVE_PROBES,
    UNACKNOWLEDGED_MS,
    connect,
)

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
