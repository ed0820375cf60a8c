"""TCP sockets between processes, connected by IP, with fast detection of lost peers.

A partition or a lost VM sends no reset; only keep-alive probes and a limit on unacknowledged data
reveal it. Without them a waiting watch or a stream would hang until its own time-out.
"""

import contextlib
import struct
from collections.abc import Callable
from typing import Any, Protocol

import gevent
from gevent import socket

from hemlockswitch.core.addresses import split_address
from hemlockswitch.core.clock import MS_PER_SECOND

READ_EVENT = 1
"""The event of a `gevent` watcher for a socket with bytes to read."""
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
"""These values detect an unresponsive peer within 3 s, the time in which a daemon must recover from
a disturbance on the smaller sites; one more probe would exceed it."""
TCP_INFO_BYTES = 32
TCP_INFO_UNACKNOWLEDGED_OFFSET = 24
"""Offset of `tcpi_unacked` in the kernel's `struct tcp_info`, tcp(7)."""
UNACKNOWLEDGED_TIMEOUT_MS = 3_000
"""Time-out for sent data that is not acknowledged, equal to the detection time above."""


def set_liveness_options(connection: socket.socket) -> None:
    """Make the kernel detect a lost peer and send small messages without delay."""
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_TIMEOUT_MS)


def connect(address: str, timeout_ms: float) -> socket.socket:
    """Connect to ``ip:port``; the returned socket has no time-out.

    Raises
    ======

    OSError : the connection failed or was not established within `timeout_ms`.
    """
    connection = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    connection.settimeout(timeout_ms / MS_PER_SECOND)
    try:
        connection.connect(split_address(address))
        set_liveness_options(connection)
    except BaseException:
        connection.close()
        raise
    connection.settimeout(None)
    return connection


def refuses_connection(address: str, timeout_ms: float) -> bool:
    """Return whether connections to ``ip:port`` are refused; an unresponsive address is not refusing."""
    try:
        connect(address, timeout_ms).close()
    except ConnectionRefusedError:
        return True
    except OSError:
        return False
    return False


def count_waiting_connections(listener: socket.socket) -> int:
    """Return how many established connections of a listening socket were not accepted yet."""
    # For a listening socket the field of unacknowledged segments holds this number.
    info = listener.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES)
    (waiting,) = struct.unpack_from("=I", info, TCP_INFO_UNACKNOWLEDGED_OFFSET)
    return int(waiting)


class ReadWaiter:
    """Waits until a socket has bytes to read, with one watcher for the life of the socket.

    `gevent.socket.wait_read` makes a new watcher for each wait, which costs two more system calls.
    """

    def __init__(self, connection: socket.socket) -> None:
        self._watcher = gevent.get_hub().loop.io(connection.fileno(), READ_EVENT)

    def wait(self) -> None:
        """Wait until the socket has bytes to read, or its end."""
        socket.wait(self._watcher)

    def start(self, callback: Callable[[], None]) -> None:
        """Call `callback` whenever there are bytes to read, in place of `wait`, until `stop`."""
        self._watcher.start(callback)

    def stop(self) -> None:
        """End the calls that `start` began."""
        self._watcher.stop()

    def close(self) -> None:
        """Release the watcher; to be called before the socket is closed."""
        self._watcher.stop()
        self._watcher.close()


def receive(connection: socket.socket, max_bytes: int) -> bytes:
    """Wait for bytes and return them.

    `socket.recv` first tries to read without waiting, which fails for nearly every event of a stream.
    """
    if connection._read_event is not None:  # None once closed by another task, which `recv` reports
        connection._wait(connection._read_event)
    return connection.recv(max_bytes)


def send_all(connection: socket.socket, data: bytes) -> None:
    """Send `data` completely.

    `socket.sendall` also asks for the size of the send buffer each time, which only long data needs.
    """
    sent_bytes = connection.send(data)
    if sent_bytes < len(data):
        connection.sendall(memoryview(data)[sent_bytes:])


class Closable(Protocol):
    """A connection that can be closed, directly or through another process."""

    def setsockopt(self, level: int, option: int, value: Any, /) -> None:
        """Set an option of the socket."""

    def close(self) -> None:
        """Close the connection."""


def reset_on_close(connection: Closable) -> None:
    """Make every close of the connection a reset.

    After a plain close the kernel continues to send: a request delayed by a partition would be
    delivered seconds later, after its sender has abandoned it.
    """
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))


def allow_orderly_close(connection: Closable) -> None:
    """Undo `reset_on_close`."""
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 0, 0))


def abort(connection: Closable) -> None:
    """Close with a reset, so that undelivered bytes are discarded."""
    # An error means that the connection is already closed.
    with contextlib.suppress(OSError):
        reset_on_close(connection)
    connection.close()
