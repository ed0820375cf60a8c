"""Detects crashed backend servers: a crashed server closes a connection and refuses a new one.

A connection also ends when a link resets it, when the server drops this one request, or when it shuts down
as announced. None of these incriminates the request, so a server counts as crashed only if nothing
listens at its address shortly afterwards. The kernel closes the sockets of a process one by one, so a server
that is terminating may still accept a connection; one that accepts is therefore probed a second time. A
server that does not answer a probe at all does not count as crashed.
"""

from collections.abc import Callable

from gevent.event import AsyncResult

from hemlockswitch.core.clock import Clock
from hemlockswitch.core.events import Event
from hemlockswitch.core.logs import log_event
from hemlockswitch.version.backend import BackendServer

MOST_REMEMBERED = 1_024
"""Limit on the cached crashed servers; the cache avoids repeated probes."""
ASK_AGAIN_MS = 25.0
"""Delay of the second probe after the answer to the first."""
MOST_ASK_MS = 75.0
"""A server that answered the first probe more slowly is not probed again, as the request waits for it."""


class ServerEnds:
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
        self._asking: dict[str, AsyncResult] = {}
        self._ended: dict[str, None] = {}

    def has_ended(self, server: BackendServer) -> bool:
        """Return whether a server that closed a connection has crashed."""
        if not self._is_live(server):
            return False
        if server.incarnation in self._ended:
            return True
        asked = self._asking.get(server.incarnation)
        return asked.get() if asked is not None else self._ask(server)

    def _ask(self, server: BackendServer) -> bool:
        asked = self._asking[server.incarnation] = AsyncResult()
        is_ended = False
        try:
            is_ended = self._refuses_twice(server)
        finally:
            del self._asking[server.incarnation]
            asked.set(is_ended)
        if is_ended:
            self._remember(server)
        return is_ended

    def _refuses_twice(self, server: BackendServer) -> bool:
        """Return whether a server refuses the first or the second probe."""
        began_ms = self._clock.now_ms()
        if self._refuses(server):
            return True
        if self._clock.now_ms() - began_ms > MOST_ASK_MS:
            return False
        self._clock.sleep_ms(ASK_AGAIN_MS)
        return self._refuses(server)

    def _remember(self, server: BackendServer) -> None:
        self._ended[server.incarnation] = None
        if len(self._ended) > MOST_REMEMBERED:
            del self._ended[next(iter(self._ended))]
        log_event(Event.BACKEND_ENDED, server=server.incarnation, zone=server.zone)
