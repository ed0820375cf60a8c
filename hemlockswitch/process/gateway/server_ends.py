"""Whether a backend server has ended: it cut a connection, and refuses another one.

A connection also ends when a link resets it, when the server drops this one request, or when it leaves
as announced. None of these says anything about the request, so a server counts as ended only if nothing
listens at its address a moment later. One that does not answer at all has not shown that it ended.
"""

from gevent.event import AsyncResult

from hemlockswitch.connection.backend_pool import BackendPool
from hemlockswitch.connection.exchange_errors import ExchangeError
from hemlockswitch.core.clock import Clock
from hemlockswitch.core.events import Event
from hemlockswitch.core.logs import log_event
from hemlockswitch.process.gateway.reachability import Reachability
from hemlockswitch.process.gateway.registry import ServerRegistry
from hemlockswitch.version.backend import BackendServer

MOST_REMEMBERED = 1_024
"""Servers that ended, remembered so that each is asked once."""


class ServerEnds:
    """Finds out which servers have ended.

    Parameters
    ==========

    pool : makes the connections; one that opens is kept for a request.
    registry : says which servers leave as announced.
    reachability : learns which servers refuse connections.
    clock : the time.
    """

    def __init__(
        self,
        pool: BackendPool,
        registry: ServerRegistry,
        reachability: Reachability,
        clock: Clock,
    ) -> None:
        self._pool = pool
        self._registry = registry
        self._reachability = reachability
        self._clock = clock
        self._asking: dict[str, AsyncResult] = {}
        self._ended: dict[str, None] = {}

    def has_ended(self, server: BackendServer) -> bool:
        """Return whether a server that cut a connection has ended without notice; asks it once."""
        if not self._registry.is_live(server):
            return False
        if server.incarnation in self._ended:
            return True
        asked = self._asking.get(server.incarnation)
        return asked.get() if asked is not None else self._ask(server)

    def _ask(self, server: BackendServer) -> bool:
        asked = self._asking[server.incarnation] = AsyncResult()
        is_ended = False
        try:
            is_ended = self._refuses(server)
        finally:
            del self._asking[server.incarnation]
            asked.set(is_ended)
        if is_ended:
            self._remember(server)
        return is_ended

    def _refuses(self, server: BackendServer) -> bool:
        began_ms = self._clock.now_ms()
        timeout_ms = self._reachability.find_connect_timeout_ms()
        try:
            self._pool.warm(server.address, timeout_ms)
        except ExchangeError:
            is_silent = self._clock.now_ms() - began_ms >= timeout_ms
            self._reachability.note_unreachable(server, is_silent=is_silent)
            return not is_silent
        return False

    def _remember(self, server: BackendServer) -> None:
        self._ended[server.incarnation] = None
        if len(self._ended) > MOST_REMEMBERED:
            del self._ended[next(iter(self._ended))]
        log_event(Event.BACKEND_ENDED, server=server.incarnation, zone=server.zone)
