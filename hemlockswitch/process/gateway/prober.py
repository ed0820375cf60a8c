"""The task that detects unresponsive zones and lost links, and probes suspected backend servers."""

from collections.abc import Callable
from dataclasses import dataclass

import gevent

from hemlockswitch.connection.backend_pool import BackendPool
from hemlockswitch.connection.exchange_errors import ExchangeError
from hemlockswitch.core.clock import Clock
from hemlockswitch.process.gateway.detours import Detours
from hemlockswitch.process.gateway.reachability import ZONE_POLL_INTERVAL_MS, Reachability
from hemlockswitch.version.backend import BackendServer

MAX_IDLE_PROOF_MS = 1_000.0
"""An idle connection that was used in this time and is open shows that its server is running."""


@dataclass(frozen=True)
class _Failure:
    """A connection that did not open; `has_timed_out` if there was no answer at all."""

    has_timed_out: bool


class Prober:
    """Probes suspected servers by connecting; a connection that opens is kept for a request.

    Parameters
    ==========

    reachability : tells which servers are suspected, and records which answer.
    pool : opens the connections.
    list_servers : returns the backend servers that are registered.
    is_live : returns whether a server is registered and not leaving.
    detours : asks other gateways for a second opinion.
    clock : the time.
    """

    def __init__(
        self,
        reachability: Reachability,
        pool: BackendPool,
        list_servers: Callable[[], list[BackendServer]],
        is_live: Callable[[BackendServer], bool],
        detours: Detours,
        clock: Clock,
    ) -> None:
        self._reachability = reachability
        self._pool = pool
        self._list_servers = list_servers
        self._is_live = is_live
        self._detours = detours
        self._clock = clock

    def run(self) -> None:
        """Check the zones and probe suspects until the task is killed."""
        while True:
            self._clock.sleep_ms(ZONE_POLL_INTERVAL_MS)
            self._reachability.check_zones()
            for server in self._reachability.list_probes(self._list_servers()):
                gevent.spawn(self._probe, server)
            control = self._reachability.isolation.pick_control()
            if control is not None:
                gevent.spawn(self._try_control, control)

    def refuses(self, server: BackendServer) -> bool:
        """Connect to a server, and return whether it refuses connections, also those of another gateway.

        A connection attempt that times out is not a refusal. A refusal of this gateway alone may come from
        its own links, which are not to blame on the server. No connection is opened if another one, which a
        crash would have closed, is open.
        """
        if self._pool.has_open(server.address, MAX_IDLE_PROOF_MS):
            return False
        if not self._reachability.isolation.is_isolated and not self._refuses_here(server):
            return False
        confirmed = self._detours.confirms_refusal(server)
        if confirmed is None:
            return not self._reachability.isolation.is_isolated
        return confirmed

    def _refuses_here(self, server: BackendServer) -> bool:
        failure = self._connect(server)
        if failure is None:
            return False
        # The announced end of a server says nothing of the links to it.
        if self._is_live(server):
            self._reachability.record_unreachable(server, has_timed_out=failure.has_timed_out)
        return not failure.has_timed_out

    def _probe(self, server: BackendServer) -> None:
        # A server that cannot be reached stays suspected, which was logged when the suspicion began.
        failure = self._connect(server)
        if failure is not None:
            self._reachability.record_probe_failed(server, has_timed_out=failure.has_timed_out)

    def _try_control(self, server: BackendServer) -> None:
        """Connect to a server to find whether the fault of another one lies with the own links."""
        failure = self._connect(server)
        if failure is not None:
            self._reachability.record_unreachable(server, has_timed_out=failure.has_timed_out)

    def _connect(self, server: BackendServer) -> _Failure | None:
        """Connect to a server and keep the connection for a request; return the failure if it did not open."""
        began_ms = self._clock.now_ms()
        timeout_ms = self._reachability.find_connect_timeout_ms()
        try:
            self._pool.preconnect(server.address, timeout_ms)
        except ExchangeError:
            return _Failure(self._clock.now_ms() - began_ms >= timeout_ms)
        self._reachability.record_connected(server, self._clock.now_ms() - began_ms)
        return None
