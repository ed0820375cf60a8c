"""TCP sockets between processes: connected by IP, and noticed soon when the peer is gone.

A partition or a lost VM sends no reset: only keep-alive probes and a bound on unacknowledged data
show it. Without them a waiting watch or a stream would hang until its own time-out.
"""

import contextlib
import struct

from gevent import socket

from hemlockswitch.core.addresses import split_address
from hemlockswitch.core.clock import MS_PER_SECOND

KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
"""With these a silent peer is found in 3 s, the time in which a daemon has to settle after a
disturbance on the smaller sites; one probe more would be too late."""
UNACKNOWLEDGED_MS = 3_000
"""The same time for data that was sent and not acknowledged."""


def set_liveness_options(connection: socket.socket) -> None:
    """Make the kernel notice a peer that is gone, and send small messages at once."""
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MS)


def connect(address: str, timeout_ms: float) -> socket.socket:
    """Connect to ``ip:port``; the socket has no time-out of its own afterwards.

    Raises
    ======

    OSError : no connection in `timeout_ms`.
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
    """Return whether nothing listens at ``ip:port``; an address that does not answer may listen."""
    try:
        connect(address, timeout_ms).close()
    except ConnectionRefusedError:
        return True
    except OSError:
        return False
    return False


def reset_on_close(connection: socket.socket) -> None:
    """Make every close of the connection a reset, whoever closes it.

    A plain close lets the kernel go on sending: a request that a partition held up would arrive
    seconds later, when its sender no longer stands by it.
    """
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))


def abort(connection: socket.socket) -> None:
    """Close with a reset, so that bytes which were not delivered yet never arrive."""
    # An error means that it is closed already: nothing is left to hold back.
    with contextlib.suppress(OSError):
        reset_on_close(connection)
    connection.close()
