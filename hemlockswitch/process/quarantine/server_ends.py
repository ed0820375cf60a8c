"""Whether a backend server has ended: it cut a connection, and refuses another one.

A connection also ends when a link resets it, when the server drops this one request, or when it leaves
as announced. None of these says anything about the request, so a server counts as ended only if nothing
listens at its address a moment later. The kernel closes the sockets of a process one by one: a server that
is just ending may still accept a connection, so one that accepts is asked once more. A server that does
not answer at all has not shown that it ended.
"""

from collections.abc import Callable

from gevent.event import AsyncResult

from hemlockswitch.core.clock import Clock
from hemlockswitch.core.events import Event
from hemlockswitch.core.logs import log_event
from hemlockswitch.version.backend import BackendServer

MOST_REMEMBERED = 1_024
"""Servers that ended, remembered so that each is asked once."""
ASK_AGAIN_MS = 25.0
"""How long after its first answer a server is asked again."""
MOST_ASK_MS = 75.0
"""A server whose first answer took longer is not asked again: the request waits for it."""


class ServerEnds:
    """Finds out which servers have ended.

    Parameters
    ==========

    is_live : returns whether a server is registered and does not leave.
    refuses : asks a server for a connection; returns whether it refused it.
    clock : the time.
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
        """Return whether a server that cut a connection has ended without notice."""
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
        """Return whether a server refuses a connection, now or a moment later."""
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
