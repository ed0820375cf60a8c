"""The listening socket for callers, which closes connections unread when it falls behind.

Explanation
===========

A process that gets more new connections than it can serve accepts them later and later, until each
caller has given up before its request is read: it works and serves nobody. A connection that is
closed before anything was read from it has run nothing, and its caller can go to another process.
"""

from collections.abc import Callable
from typing import Any

from gevent import socket
from gevent.server import StreamServer

from hemlockswitch.connection.sockets import abort, count_waiting_connections
from hemlockswitch.core.clock import MS_PER_SECOND, Clock
from hemlockswitch.core.events import Event
from hemlockswitch.core.logs import log_event

BACKLOG = 1_024
MAX_WAITING = 200
"""Accepting so many connections takes about 0.2 s, well within what callers wait for an answer."""
MAX_BURST_MS = 200.0
"""More than `MAX_WAITING` connections may wait for so long, as after the end of another process."""
OVERLOAD_MS = 1_000.0
"""How long no further burst is tolerated after an overload."""
MAX_ACCEPTED_AT_ONCE = 30
"""Connections accepted before those that are already open are served again."""
MAX_CLOSED_AT_ONCE = 200
LOG_INTERVAL_MS = MS_PER_SECOND


class CallerListener(StreamServer):
    """Accepts connections in their order; in an overload, closes the first while over `MAX_WAITING` wait.

    Parameters
    ==========

    address : host and port.
    handle : serves one connection, in a task of its own.
    clock : the process's clock.
    spawn : how tasks are started, as in `StreamServer`.

    Attributes
    ==========

    closed_unread : number of connections that were closed before anything was read from them.
    """

    max_accept = MAX_ACCEPTED_AT_ONCE

    def __init__(
        self,
        address: tuple[str, int],
        handle: Callable[[socket.socket, Any], None],
        clock: Clock,
        spawn: Any = "default",
    ) -> None:
        super().__init__(address, handle, backlog=BACKLOG, spawn=spawn)
        self.closed_unread = 0
        self._clock = clock
        self._behind_since_ms: float | None = None
        self._overload_until_ms = float("-inf")
        self._logged = 0
        self._logged_ms = float("-inf")

    def do_read(self) -> tuple[socket.socket, Any] | None:
        """Return the next connection to serve; None if no connection waits."""
        accepted = super().do_read()
        closed = 0
        while accepted and closed < MAX_CLOSED_AT_ONCE and self._is_behind():
            abort(accepted[0])
            closed += 1
            accepted = super().do_read()
        if closed:
            self._record_closed(closed)
        return accepted

    def _is_behind(self) -> bool:
        """Return whether too many connections wait, and not only for the time of a burst."""
        if count_waiting_connections(self.socket) <= MAX_WAITING:
            self._behind_since_ms = None
            return False
        now_ms = self._clock.now_ms()
        if self._behind_since_ms is None:
            self._behind_since_ms = now_ms
        is_burst = now_ms - self._behind_since_ms < MAX_BURST_MS
        if is_burst and now_ms >= self._overload_until_ms:
            return False
        self._overload_until_ms = now_ms + OVERLOAD_MS
        return True

    def _record_closed(self, count: int) -> None:
        """Count closed connections, and log them once a second at most."""
        self.closed_unread += count
        now_ms = self._clock.now_ms()
        if now_ms - self._logged_ms >= LOG_INTERVAL_MS:
            new = self.closed_unread - self._logged
            log_event(Event.CONNECTIONS_CLOSED_UNREAD, "warning", count=new)
            self._logged, self._logged_ms = self.closed_unread, now_ms
