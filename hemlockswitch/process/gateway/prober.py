"""The task that detects unresponsive zones and probes suspected backend servers."""

from collections.abc import Callable

import gevent

from hemlockswitch.connection.backend_pool import BackendPool
from hemlockswitch.connection.exchange_errors import ExchangeError
from hemlockswitch.core.clock import Clock
from hemlockswitch.process.gateway.reachability import ZONE_POLL_INTERVAL_MS, Reachability
from hemlockswitch.version.backend import BackendServer


class Prober:
    """Probes suspected servers by connecting; a connection that opens is kept for a request.

    Parameters
    ==========

    reachability : tells which servers are suspected, and records which answer.
    pool : opens the connections.
    list_servers : returns the backend servers that are registered.
    clock : the time.
    """

    def __init__(
        self,
        reachability: Reachability,
        pool: BackendPool,
        list_servers: Callable[[], list[BackendServer]],
        clock: Clock,
    ) -> None:
        self._reachability = reachability
        self._pool = pool
        self._list_servers = list_servers
        self._clock = clock

    def run(self) -> None:
        """Check the zones and probe suspects until the task is killed."""
        while True:
            self._clock.sleep_ms(ZONE_POLL_INTERVAL_MS)
            self._reachability.check_zones()
            for server in self._reachability.list_probes(self._list_servers()):
                gevent.spawn(self._probe, server)

    def refuses(self, server: BackendServer) -> bool:
        """Connect to a server, and return whether it refused the connection.

        A connection attempt that times out is not a refusal.
        """
        began_ms = self._clock.now_ms()
        timeout_ms = self._reachability.find_connect_timeout_ms()
        if self._connect(server, timeout_ms):
            return False
        has_timed_out = self._clock.now_ms() - began_ms >= timeout_ms
        self._reachability.record_unreachable(server, has_timed_out=has_timed_out)
        return not has_timed_out

    def _probe(self, server: BackendServer) -> None:
        # A server that cannot be reached stays suspected, which was logged when the suspicion began.
        self._connect(server, self._reachability.find_connect_timeout_ms())

    def _connect(self, server: BackendServer, timeout_ms: float) -> bool:
        """Return whether a connection to a server opened; the connection is kept for a request."""
        began_ms = self._clock.now_ms()
        try:
            self._pool.preconnect(server.address, timeout_ms)
        except ExchangeError:
            return False
        self._reachability.record_connected(server, self._clock.now_ms() - began_ms)
        return True
