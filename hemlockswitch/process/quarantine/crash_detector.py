"""Detects crashed backend servers: a crashed server closes a connection and refuses a new one.

A connection also ends when a link resets it, when the server drops this one request, or when it shuts down
as announced. A server counts as ended only if nothing listens at its address shortly afterwards, and as
crashed, which incriminates the request, only if it had not announced its end. The kernel closes the sockets
of a process one by one, so a server that is terminating may still accept a connection; one that accepts is
therefore probed a second time. A server that does not answer a probe at all does not count as ended.

The next process may serve under the name and at the address of the one that has ended. It is told apart by the time
since which the process behind a connection has been running.
"""

from collections.abc import Callable

from gevent.event import AsyncResult

from hemlockswitch.core.clock import Clock
from hemlockswitch.core.events import Event
from hemlockswitch.core.logs import log_event
from hemlockswitch.version.backend import BackendServer

MAX_CACHED_ENDS = 1_024
"""Limit on the cached servers that have ended; the cache avoids repeated probes."""
SECOND_PROBE_DELAY_MS = 25.0
"""Delay of the second probe after the answer to the first."""
MAX_FIRST_PROBE_MS = 75.0
"""A server that answered the first probe more slowly is not probed again, as the request waits for it."""


class ConnectionCrashDetector:
    """Detects crashed servers.

    Parameters
    ==========

    is_live : returns whether a server is registered and not leaving.
    refuses : opens a connection to a server; returns whether the server refused it.
    clock : the time source.
    """

    def __init__(
        self,
        is_live: Callable[[BackendServer], bool],
        refuses: Callable[[BackendServer], bool],
        clock: Clock,
    ) -> None:
        self._is_live = is_live
        self._refuses = refuses
        self._clock = clock
        self._pending_probes: dict[str, AsyncResult] = {}
        self._ended: dict[str, float] = {}  # incarnation to when the end was detected

    def has_crashed(self, server: BackendServer, since_ms: float | None = None) -> bool:
        """Return whether a server that closed a connection has crashed.

        Parameters
        ==========

        since_ms : since when the process that the connection led to has been running at least; None if its
            name identifies it.
        """
        return self._is_live(server) and self._has_ended(server, since_ms)

    def has_left(self, server: BackendServer, since_ms: float | None = None) -> bool:
        """Return whether a server that was leaving, or is no longer registered, has ended."""
        return not self._is_live(server) and self._has_ended(server, since_ms)

    def record_alive(
        self, server: BackendServer, sent_ms: float, since_ms: float | None = None
    ) -> None:
        """Withdraw the end of a server that has answered a request sent at `sent_ms`, if that was later."""
        ended_ms = self._ended.get(server.incarnation)
        if ended_ms is None or sent_ms <= ended_ms:
            return
        if since_ms is None or since_ms < ended_ms:
            del self._ended[server.incarnation]

    def list_ended(self) -> dict[str, float]:
        """Return the incarnations that have ended, and when that was detected."""
        return dict(self._ended)

    def withdraw_end(self, incarnation: str) -> None:
        """Withdraw the end of a server that has turned out to be running."""
        self._ended.pop(incarnation, None)

    def _has_ended(self, server: BackendServer, since_ms: float | None) -> bool:
        ended_ms = self._ended.get(server.incarnation)
        if ended_ms is not None and (since_ms is None or since_ms < ended_ms):
            return True
        earlier = self._pending_probes.get(server.incarnation)
        if earlier is not None and earlier.get():
            return True
        # An earlier probe may have connected before the crash.
        pending = self._pending_probes.get(server.incarnation)
        return pending.get() if pending is not None else self._probe(server)

    def _probe(self, server: BackendServer) -> bool:
        result = self._pending_probes[server.incarnation] = AsyncResult()
        has_ended = False
        try:
            has_ended = self._refuses_twice(server)
        finally:
            del self._pending_probes[server.incarnation]
            result.set(has_ended)
        if has_ended:
            self._record_end(server)
        return has_ended

    def _refuses_twice(self, server: BackendServer) -> bool:
        """Return whether a server refuses the first or the second probe."""
        started_ms = self._clock.now_ms()
        if self._refuses(server):
            return True
        if self._clock.now_ms() - started_ms > MAX_FIRST_PROBE_MS:
            return False
        self._clock.sleep_ms(SECOND_PROBE_DELAY_MS)
        return self._refuses(server)

    def _record_end(self, server: BackendServer) -> None:
        self._ended[server.incarnation] = self._clock.now_ms()
        if len(self._ended) > MAX_CACHED_ENDS:
            del self._ended[next(iter(self._ended))]
        log_event(Event.BACKEND_ENDED, server=server.incarnation, zone=server.zone)
