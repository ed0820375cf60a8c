"""The links of gateways to backend servers, which a test cuts and restores for each gateway."""

import time
from collections import defaultdict

import gevent
from gevent import socket
from gevent.event import Event

from hemlockswitch.connection.exchange_errors import ExchangeError, Stage

HANG, RESET, REFUSE = "hang", "reset", "refuse"
"""Kinds of cuts. Open connections hang, are reset, or live on; new ones hang in the first kind, and are
refused in the others."""
KEEPALIVE_S = 3.0
"""Time after which keep-alive probes end a connection whose peer is cut off."""


class _Link:
    """The link of one gateway."""

    def __init__(self):
        self.kind = None
        self.connections = set()
        self.restored = Event()
        self.restored.set()


class LinkedConnection:
    """A connection over a link; has the methods of a socket that the pool uses."""

    def __init__(self, link, connection):
        self._link = link
        self._connection = connection
        self._unsent = b""
        self._is_reset = False
        link.connections.add(self)

    def __getattr__(self, name):
        return getattr(self._connection, name)

    def sendall(self, data):
        """Send data; while the link hangs it is kept, and sent when the link is restored."""
        if self._link.kind == HANG:
            if not self._unsent:
                gevent.spawn(self._send_when_restored)
            self._unsent += data
            return
        self._connection.sendall(data)

    def recv(self, size):
        """Receive data; while the link hangs nothing arrives."""
        self._await_link()
        try:
            data = self._connection.recv(size)
        except OSError as error:
            if self._is_reset:
                raise ConnectionResetError("connection reset") from error
            raise
        self._await_link()
        return data

    def reset(self):
        """End the connection for both sides."""
        self._is_reset = True
        try:
            self._connection.shutdown(socket.SHUT_RDWR)
        except OSError:
            return

    def _await_link(self):
        if self._link.kind == HANG and not self._link.restored.wait(KEEPALIVE_S):
            raise TimeoutError("the connection timed out")

    def _send_when_restored(self):
        self._link.restored.wait()
        try:
            self._connection.sendall(self._unsent)
        except OSError:
            return
        finally:
            self._unsent = b""


class ServerLinks:
    """Cuts gateways of a test site off from all backend servers."""

    def __init__(self):
        self._links = defaultdict(_Link)
        self.cut_at_s = {}

    def attach(self, gateway):
        """Put the links of a gateway under the control of this object."""
        link = self._links[gateway]
        connect = gateway.pool._connect
        gateway.pool._connect = lambda address, timeout_ms: self._connect(
            link, connect, address, timeout_ms
        )

    def cut(self, gateway, kind):
        """Cut a gateway off."""
        link = self._links[gateway]
        link.kind = kind
        link.restored.clear()
        self.cut_at_s[gateway] = time.monotonic()
        if kind == RESET:
            for connection in list(link.connections):
                connection.reset()

    def restore(self, gateway):
        """Restore a gateway's links."""
        link = self._links[gateway]
        link.kind = None
        link.restored.set()

    @staticmethod
    def _connect(link, connect, address, timeout_ms):
        if link.kind == HANG:
            link.restored.wait(timeout_ms / 1_000)
            if link.kind == HANG:
                raise ExchangeError(Stage.BEFORE_SEND, "timed out")
        if link.kind is not None:
            raise ExchangeError(Stage.BEFORE_SEND, "connection refused")
        return LinkedConnection(link, connect(address, timeout_ms))
