"""The links of this gateway to the backend servers: its own, and the detours over other gateways."""

from collections.abc import Callable
from typing import Any, Protocol

from hemlockswitch.connection.backend_pool import BackendPool
from hemlockswitch.connection.peers import PeerNetwork
from hemlockswitch.core.clock import Clock
from hemlockswitch.process.gateway.detours import AVOID_LEAVING_MS, AVOID_MS, Detours
from hemlockswitch.process.gateway.fleet import Fleet
from hemlockswitch.process.gateway.reachability import Reachability
from hemlockswitch.process.gateway.registry import ServerRegistry
from hemlockswitch.process.gateway.tunnel_host import TunnelHost, TunnelsClosing, TunnelsStalled

CONFIRM_MS = 400.0
"""Time without a connection after which requests in progress are moved away from links that hang."""


class SendAttempts(Protocol):
    """The attempts to send requests that are in progress."""

    def abandon_stalled(self, gateway: str = "") -> None:
        """Close the attempts on which nothing was received since the last call, if they may be repeated.

        These are the attempts that lead through a gateway, or the direct ones.
        """

    def abandon_through(self, gateway: str) -> None:
        """Close the attempts that lead through a gateway, if they may be repeated."""


class ServerLinks:
    """Reacts to the loss of this gateway's links to the servers, and of gateways that detours lead through.

    Parameters
    ==========

    cluster, name : of this gateway.
    network, fleet : the streams to the other gateways, and the list of these gateways.
    pool : the connections to servers.
    registry : the servers.
    reachability : tells which servers can be reached.
    get_attempts : returns the attempts in progress.
    clock : the time.

    Attributes
    ==========

    detours : opens connections through other gateways.
    host : serves the detours of other gateways.
    """

    def __init__(
        self,
        cluster: str,
        name: str,
        network: PeerNetwork,
        fleet: Fleet,
        pool: BackendPool,
        registry: ServerRegistry,
        reachability: Reachability,
        get_attempts: Callable[[], SendAttempts],
        clock: Clock,
    ) -> None:
        self.detours = Detours(
            cluster,
            name,
            network,
            fleet,
            reachability.find_connect_timeout_ms,
            self._handle_lost_gateway,
            clock,
        )
        self.host = TunnelHost(name, network, pool, reachability, registry.find_live, clock)
        self._pool = pool
        self._reachability = reachability
        self._get_attempts = get_attempts
        self._clock = clock
        network.handle(TunnelsClosing, self._apply_closing, runs_inline=True)
        network.handle(TunnelsStalled, self._apply_stalled, runs_inline=True)

    def run(self) -> None:
        """Look for lost links and gateways until the task is killed."""
        while True:
            self._clock.sleep_ms(CONFIRM_MS / 2)
            self.detours.check()
            if self._reachability.isolation.is_confirmed(CONFIRM_MS):
                self._get_attempts().abandon_stalled()
                self.host.report_stalled()

    def handle_unreachable(self, address: str | None) -> None:
        """Close the idle connections to a server, or to all servers, that no longer answers."""
        self._pool.close_idle_direct(address)

    def describe(self) -> dict[str, Any]:
        """Return the state for the status page."""
        return {
            **self._reachability.isolation.describe(),
            "through": self.detours.describe(),
            "tunnels_for": self.host.describe(),
        }

    def _handle_lost_gateway(self, gateway: str) -> None:
        self._pool.close_idle_tunnels(gateway)
        self._get_attempts().abandon_through(gateway)

    def _apply_closing(self, _address: str, message: TunnelsClosing) -> None:
        """Use other gateways instead of one that is shutting down; its tunnels in use stay open."""
        self.detours.avoid(message.name, AVOID_LEAVING_MS)
        self._pool.close_idle_tunnels(message.name)

    def _apply_stalled(self, _address: str, message: TunnelsStalled) -> None:
        """Move requests away from a gateway whose links to the servers hang."""
        self.detours.avoid(message.name, AVOID_MS, is_isolated=True)
        self._pool.close_idle_tunnels(message.name)
        self._get_attempts().abandon_stalled(message.name)
