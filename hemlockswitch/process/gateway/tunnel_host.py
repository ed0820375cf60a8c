"""Serving of tunnels: this gateway connects others, which cannot connect themselves, to backend servers."""

import contextlib
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from gevent import socket

from hemlockswitch.connection.backend_pool import BackendPool
from hemlockswitch.connection.exchange_errors import ExchangeError
from hemlockswitch.connection.messages import register_message
from hemlockswitch.connection.peers import PeerNetwork
from hemlockswitch.connection.tunnels import (
    Tunnel,
    TunnelReply,
    TunnelRequest,
    TunnelVerdict,
    send_reply,
)
from hemlockswitch.core.clock import Clock
from hemlockswitch.process.gateway.reachability import Reachability
from hemlockswitch.version.backend import BackendServer

MAX_TUNNELS = 512
"""Maximum number of tunnels served at a time; each has two descriptors and up to 128 KB of buffers."""


@register_message("tunnels_closing")
@dataclass(frozen=True)
class TunnelsClosing:
    """Sent by a gateway that is shutting down, to those that have tunnels through it."""

    name: str


@register_message("tunnels_stalled")
@dataclass(frozen=True)
class TunnelsStalled:
    """Sent by a gateway whose own links to the servers hang, to those that have tunnels through it.

    The tunnels stay open: the answer of a request that must not run twice may still arrive.
    """

    name: str


class TunnelHost:
    """Serves the tunnels of other gateways.

    Parameters
    ==========

    name : the name of this gateway.
    network : the streams to the other gateways.
    pool : opens the connections to servers.
    reachability : tells which servers can be reached.
    find_server : returns the registered server of an incarnation that may get requests, or None.
    clock : the time.
    """

    def __init__(
        self,
        name: str,
        network: PeerNetwork,
        pool: BackendPool,
        reachability: Reachability,
        find_server: Callable[[str], BackendServer | None],
        clock: Clock,
    ) -> None:
        self.may_send: Callable[[str], bool] = lambda _: True  # by incarnation
        self._name = name
        self._network = network
        self._pool = pool
        self._reachability = reachability
        self._find_server = find_server
        self._clock = clock
        self._tunnels: dict[Tunnel, TunnelRequest] = {}
        self._is_leaving = False
        self._ended_bytes = 0
        network.handle_stream(TunnelRequest, self._serve)

    @property
    def active(self) -> int:
        """The number of tunnels that are being served."""
        return len(self._tunnels)

    @property
    def bytes_passed(self) -> int:
        """The number of bytes passed through tunnels, each received once and sent once."""
        open_bytes = sum(one.bytes_up + one.bytes_down for one in self._tunnels)
        return self._ended_bytes + open_bytes

    def begin_closing(self) -> None:
        """Refuse new tunnels, and ask the gateways that have tunnels to use others from now on."""
        self._is_leaving = True
        self._send_to_users(TunnelsClosing(self._name))

    def report_stalled(self) -> None:
        """Tell the gateways that have tunnels that the links to the servers hang."""
        self._send_to_users(TunnelsStalled(self._name))

    def list_users(self, incarnation: str) -> set[str]:
        """Return the addresses of the gateways that have tunnels to a server."""
        return {
            request.address for request in self._tunnels.values() if request.server == incarnation
        }

    def describe(self) -> dict[str, Any]:
        """Return the number of tunnels by the gateway that uses them, for the status page."""
        return dict(Counter(request.name for request in self._tunnels.values()))

    def _send_to_users(self, message: TunnelsClosing | TunnelsStalled) -> None:
        addresses = {request.address for request in self._tunnels.values()}
        self._network.send_all(addresses, message)

    def _serve(self, stream: socket.socket, request: TunnelRequest) -> None:
        """Serve one tunnel until it ends."""
        with contextlib.suppress(OSError):  # The other gateway may have given up already.
            server = self._connect(stream, request)
            if server is None:
                return
            tunnel = Tunnel(stream, server, self._clock)
            self._tunnels[tunnel] = request
            try:
                send_reply(stream, TunnelReply(TunnelVerdict.OPEN.value))
                tunnel.run()
            finally:
                server.close()
                del self._tunnels[tunnel]
                self._ended_bytes += tunnel.bytes_up + tunnel.bytes_down

    def _connect(self, stream: socket.socket, request: TunnelRequest) -> socket.socket | None:
        """Connect to the server; return None after a refusal was sent."""
        refusal = self._find_refusal()
        server = self._find_server(request.server)
        if refusal is None and server is None:
            refusal = TunnelReply(TunnelVerdict.UNKNOWN_SERVER.value)
        if refusal is None and not self.may_send(request.server):
            refusal = TunnelReply(TunnelVerdict.SERVER_RESTS.value)
        if refusal is None and server is not None:
            if self._reachability.has_timed_out_lately(server):
                refusal = TunnelReply(TunnelVerdict.SERVER_UNREACHABLE.value, has_timed_out=True)
            else:
                try:
                    return self._connect_to(server)
                except ExchangeError:
                    refusal = self._describe_failure(server)
        if refusal is not None:
            send_reply(stream, refusal)
        return None

    def _find_refusal(self) -> TunnelReply | None:
        """Return the refusal of any tunnel, if this gateway cannot help now."""
        if self._is_leaving:
            return TunnelReply(TunnelVerdict.LEAVING.value)
        if self._reachability.isolation.is_isolated:
            return TunnelReply(TunnelVerdict.ISOLATED.value)
        if len(self._tunnels) >= MAX_TUNNELS:
            return TunnelReply(TunnelVerdict.FULL.value)
        return None

    def _connect_to(self, server: BackendServer) -> socket.socket:
        began_ms = self._clock.now_ms()
        timeout_ms = self._reachability.find_connect_timeout_ms()
        try:
            connection = self._pool.connect(server.address, timeout_ms)
        except ExchangeError:
            has_timed_out = self._clock.now_ms() - began_ms >= timeout_ms
            self._reachability.record_unreachable(server, has_timed_out=has_timed_out)
            raise
        self._reachability.record_connected(server, self._clock.now_ms() - began_ms)
        return connection

    def _describe_failure(self, server: BackendServer) -> TunnelReply:
        """Return the refusal after a failed connection.

        If other servers could not be reached either, the fault may lie with this gateway's own links.
        """
        if self._reachability.isolation.count_failed() > 1:
            return TunnelReply(TunnelVerdict.ISOLATED.value)
        has_timed_out = self._reachability.has_timed_out_lately(server)
        return TunnelReply(TunnelVerdict.SERVER_UNREACHABLE.value, has_timed_out)
