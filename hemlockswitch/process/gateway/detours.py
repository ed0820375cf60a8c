"""Detours: connections to backend servers through other gateways, while this one cannot connect itself.

The gateways to lead through are drawn at random from those that are connected, the less loaded one of two,
so that the work of isolated gateways spreads over all others. Where gateways are chosen by their spare, overloaded
ones are left out, and the tunnels are compared with what a gateway has free. One that cannot help says so in its reply, and
is left out for a while: nothing needs to be told in advance, whatever the number of gateways.
"""

import random
from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Any, Protocol

from hemlockswitch.connection.exchange_errors import ExchangeError, Stage
from hemlockswitch.connection.peers import PeerNetwork
from hemlockswitch.connection.tunnels import (
    TunnelConnection,
    TunnelRequest,
    TunnelVerdict,
    open_tunnel,
)
from hemlockswitch.core.clock import Clock
from hemlockswitch.core.errors import PeerError
from hemlockswitch.core.events import Event
from hemlockswitch.core.logs import log_event
from hemlockswitch.process.gateway.fleet import Fleet
from hemlockswitch.process.gateway.peer_groups import Peer
from hemlockswitch.version.backend import BackendServer

MAX_GATEWAYS_TRIED = 3
REPLY_MARGIN_MS = 100.0
"""Time for a gateway's reply, beyond the connection time-out that it applies itself."""
AVOID_MS = 1_000.0
"""How long a gateway that did not help is left out."""
OPENED_MS = 2_000.0
"""How long after it opened a tunnel a gateway is asked although its last report, which may be old, calls it
isolated."""
HOPELESS_MS = 100.0
"""How long no gateway is asked after a search among gateways that all seem to be isolated."""
AVOID_LEAVING_MS = 30_000.0
"""How long a gateway that is shutting down is left out: longer than any shutdown."""
SAMPLED_GATEWAYS = 2


@dataclass(frozen=True)
class _Avoidance:
    """A gateway that is left out, and why."""

    since_ms: float
    until_ms: float
    is_isolated: bool

    def applies(self, peer: Peer, now_ms: float) -> bool:
        """Return whether a gateway is still left out; a newer report shows that it is no longer isolated."""
        if self.until_ms <= now_ms:
            return False
        if not self.is_isolated or peer.links is None:
            return True
        return peer.links.reported_ms <= self.since_ms


class TunnelCapacity(Protocol):
    """The spare of the other gateways, as needed to choose one to lead through."""

    def select_not_overloaded(self, peers: Iterable[Peer]) -> list[Peer]:
        """Return the gateways that are not overloaded; all if all are."""

    def find_free(self, peer: Peer) -> float:
        """Return what a gateway has free, in a unit that is the same for all gateways."""


class NoDetourError(ExchangeError):
    """No other gateway can connect this one to backend servers; nothing was sent."""

    def __init__(self) -> None:
        super().__init__(Stage.BEFORE_SEND, "no other gateway can be led through")


class ServerUnreachableError(ExchangeError):
    """Another gateway, which reaches other servers, could not connect to the server; nothing was sent.

    Parameters
    ==========

    has_timed_out : whether the server did not answer it at all.
    """

    def __init__(self, gateway: str, has_timed_out: bool) -> None:
        super().__init__(Stage.BEFORE_SEND, f"{gateway} cannot connect to the server")
        self.has_timed_out = has_timed_out


class Detours:
    """Opens tunnels to backend servers through other gateways.

    Parameters
    ==========

    cluster, name : of this gateway.
    network, fleet : the streams to the other gateways, and the list of these gateways.
    get_timeout_ms : returns the time-out for connecting to a server.
    on_lost : called with the name of a gateway through which tunnels lead, when it is no longer connected.
    clock : the time.

    Attributes
    ==========

    verdicts : number of requested tunnels by the verdict of the other gateway.
    capacity : the spare of the other gateways; None to choose by the number of tunnels alone.
    """

    def __init__(
        self,
        cluster: str,
        name: str,
        network: PeerNetwork,
        fleet: Fleet,
        get_timeout_ms: Callable[[], float],
        on_lost: Callable[[str], None],
        clock: Clock,
    ) -> None:
        self.capacity: TunnelCapacity | None = None
        self.verdicts: Counter[str] = Counter()
        self._cluster = cluster
        self._name = name
        self._network = network
        self._fleet = fleet
        self._get_timeout_ms = get_timeout_ms
        self._on_lost = on_lost
        self._clock = clock
        self._open: Counter[str] = Counter()
        self._avoided: dict[str, _Avoidance] = {}
        self._opened_ms: dict[str, float] = {}
        self._hopeless_until_ms = float("-inf")

    def open(self, server: BackendServer) -> TunnelConnection:
        """Return a new tunnel to a server.

        Raises
        ======

        NoDetourError : no other gateway helps.
        ServerUnreachableError : a gateway that reaches other servers cannot connect to this one.
        """
        if self._clock.now_ms() < self._hopeless_until_ms:
            raise NoDetourError
        for _ in range(MAX_GATEWAYS_TRIED):
            peer = self._choose_gateway(server.zone)
            if peer is None:
                break
            tunnel = self._request(peer, server)
            if tunnel is not None:
                self._opened_ms[peer.name] = self._clock.now_ms()
                return tunnel
        if not self._list_candidates(includes_isolated=False):
            self._hopeless_until_ms = self._clock.now_ms() + HOPELESS_MS
        raise NoDetourError

    def confirms_refusal(self, server: BackendServer) -> bool | None:
        """Return whether another gateway finds that a server refuses connections; None if none can tell."""
        try:
            self.open(server).close()
        except ServerUnreachableError as error:
            return not error.has_timed_out
        except NoDetourError:
            return None
        return False

    def avoid(self, gateway: str, for_ms: float, *, is_isolated: bool = False) -> None:
        """Leave a gateway out for some time; an isolated one only until it reports that it is not."""
        now_ms = self._clock.now_ms()
        self._avoided[gateway] = _Avoidance(now_ms, now_ms + for_ms, is_isolated)

    def check(self) -> None:
        """Report the gateways with tunnels that are no longer connected."""
        self._drop_expired()
        if not self._open:
            return
        connected = {peer.name for peer in self._fleet.list_connected()}
        for gateway in [name for name in self._open if name not in connected]:
            self.avoid(gateway, AVOID_MS)
            self._on_lost(gateway)

    def describe(self) -> dict[str, Any]:
        """Return the number of open tunnels by gateway, for the status page."""
        return dict(self._open)

    def _request(self, peer: Peer, server: BackendServer) -> TunnelConnection | None:
        """Request a tunnel through a gateway; return None if it does not help."""
        request = TunnelRequest(
            self._cluster, self._name, self._network.address, server.incarnation
        )
        timeout_ms = self._get_timeout_ms() + REPLY_MARGIN_MS
        try:
            reply, connection = open_tunnel(peer.address, request, timeout_ms)
        except PeerError as error:
            self._record(peer, "no_reply", error.detail)
            return None
        if reply.verdict == TunnelVerdict.OPEN:
            self.verdicts[reply.verdict] += 1
            self._open[peer.name] += 1
            return TunnelConnection(connection, peer.name, lambda: self._record_closed(peer.name))
        if reply.verdict == TunnelVerdict.SERVER_UNREACHABLE:
            self.verdicts[reply.verdict] += 1
            raise ServerUnreachableError(peer.name, reply.has_timed_out)
        if reply.verdict in (TunnelVerdict.UNKNOWN_SERVER, TunnelVerdict.SERVER_RESTS):
            self.verdicts[reply.verdict] += 1
            return None
        self._record(peer, reply.verdict, "")
        return None

    def _record(self, peer: Peer, verdict: str, detail: str) -> None:
        """Record that a gateway does not help now."""
        self.verdicts[verdict] += 1
        for_ms = AVOID_LEAVING_MS if verdict == TunnelVerdict.LEAVING else AVOID_MS
        self.avoid(peer.name, for_ms, is_isolated=verdict == TunnelVerdict.ISOLATED)
        log_event(Event.TUNNEL_REFUSED, gateway=peer.name, verdict=verdict, detail=detail)

    def _record_closed(self, gateway: str) -> None:
        self._open[gateway] -= 1
        if not self._open[gateway]:
            del self._open[gateway]

    def _choose_gateway(self, zone: str) -> Peer | None:
        """Return a gateway to lead through to a server in `zone`.

        Gateways in the zone of the server or of this gateway are preferred, as bytes then cross zones no
        more often than without a detour.
        """
        candidates = self._list_candidates(includes_isolated=False)
        # A report that a gateway is isolated may be old; its reply tells.
        candidates = candidates or self._list_candidates(includes_isolated=True)
        if self.capacity is not None:
            candidates = self.capacity.select_not_overloaded(candidates)
        close = [peer for peer in candidates if peer.zone in (zone, self._fleet.zone)]
        candidates = close or candidates
        if not candidates:
            return None
        sampled = random.sample(candidates, min(SAMPLED_GATEWAYS, len(candidates)))
        return min(sampled, key=self._estimate_fill)

    def _list_candidates(self, *, includes_isolated: bool) -> list[Peer]:
        now_ms = self._clock.now_ms()
        return [
            peer
            for peer in self._fleet.list_connected()
            if not self._is_avoided(peer, now_ms)
            if includes_isolated or self._seems_connected(peer, now_ms)
        ]

    def _seems_connected(self, peer: Peer, now_ms: float) -> bool:
        """Return whether a gateway reaches servers, by its report or by a tunnel that it opened lately."""
        if peer.links is None or not peer.links.is_isolated:
            return True
        return now_ms - self._opened_ms.get(peer.name, float("-inf")) < OPENED_MS

    def _estimate_fill(self, peer: Peer) -> float:
        """Return the number of tunnels through a gateway with a further one, divided by what it has free."""
        free = self.capacity.find_free(peer) if self.capacity is not None else 1.0
        return (self._estimate_tunnels(peer) + 1) / free

    def _estimate_tunnels(self, peer: Peer) -> int:
        """Return the number of tunnels through a gateway, of this gateway and as it last reported."""
        reported = peer.report.tunnels if peer.report is not None else 0
        return max(reported, self._open[peer.name])

    def _is_avoided(self, peer: Peer, now_ms: float) -> bool:
        avoidance = self._avoided.get(peer.name)
        return avoidance is not None and avoidance.applies(peer, now_ms)

    def _drop_expired(self) -> None:
        now_ms = self._clock.now_ms()
        for name in [name for name, one in self._avoided.items() if one.until_ms <= now_ms]:
            del self._avoided[name]
        oldest_ms = now_ms - OPENED_MS
        for name in [name for name, at_ms in self._opened_ms.items() if at_ms < oldest_ms]:
            del self._opened_ms[name]
