"""What backend servers state in their answers about further requests, told to the gateways that it concerns.

A server sees the machine that connects to it. A gateway that leads its requests through another one therefore
tells that one, which tells all others that lead requests to the server through it.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from hemlockswitch.connection.messages import register_message
from hemlockswitch.connection.peers import PeerNetwork
from hemlockswitch.core.events import Event
from hemlockswitch.core.logs import log_event
from hemlockswitch.process.gateway.fleet import Fleet
from hemlockswitch.process.gateway.peer_groups import list_broadcast_addresses
from hemlockswitch.process.gateway.registry import ServerRegistry
from hemlockswitch.process.gateway.server_limits import OWN
from hemlockswitch.process.gateway.server_rests import ServerRests
from hemlockswitch.version.backend import BackendServer


@register_message("server_leaving")
@dataclass(frozen=True)
class ServerLeaving:
    """A server stated in an answer that it leaves.

    Parameters
    ==========

    name : the name of the gateway that received the answer.
    server : incarnation of the server.
    is_relayed : whether the message has already been relayed.
    """

    name: str
    server: str
    is_relayed: bool = False


@register_message("server_rest")
@dataclass(frozen=True)
class ServerRest:
    """A server wants no requests from the receiving gateway, through which they were led, or through it.

    Parameters
    ==========

    name : the name of the gateway that received the answer.
    server : incarnation of the server.
    rest_ms : for how long, from now on.
    is_relayed : whether the message comes from the gateway that the requests were led through.
    """

    name: str
    server: str
    rest_ms: float
    is_relayed: bool = False


class ServerStatements:
    """Records the statements of servers, and exchanges them with the other gateways.

    Explanation
    ===========

    Every gateway learns that a server leaves: directly in the zone of the gateway that received the answer,
    and over two relays in each other zone. A lost message costs one request to the server, whose answer tells
    the gateway itself. A rest concerns one machine alone: the one that the server sees.

    Parameters
    ==========

    network, fleet : the streams to the other gateways, and the list of these gateways.
    registry : the servers.
    rests : the rests of servers.
    list_users : returns the addresses of the gateways that have tunnels through this one to a server.
    """

    def __init__(
        self,
        network: PeerNetwork,
        fleet: Fleet,
        registry: ServerRegistry,
        rests: ServerRests,
        list_users: Callable[[str], set[str]],
    ) -> None:
        self.rests = rests
        self._network = network
        self._fleet = fleet
        self._registry = registry
        self._list_users = list_users
        network.handle(ServerLeaving, self._apply_leaving, runs_inline=True)
        network.handle(ServerRest, self._apply_rest, runs_inline=True)

    def record_leaving(self, server: BackendServer, gateway: str) -> None:
        """Record that a server stated in an answer, received through `gateway`, that it leaves."""
        message = ServerLeaving(self._fleet.name, server.incarnation)
        if self._registry.record_leaving(server.incarnation, OWN):
            self._send(list_broadcast_addresses(self._fleet), message)
            self._send_to_users(message)
        # Also if it is known: the message to this gateway may have been lost.
        self._send(self._list_addresses_of(gateway), message)

    def record_rest(self, server: BackendServer, rest_ms: float, gateway: str) -> None:
        """Record that a server wants no requests for `rest_ms`, by an answer received through `gateway`."""
        self._put_rest(server.incarnation, rest_ms, OWN)
        if gateway:
            message = ServerRest(self._fleet.name, server.incarnation, rest_ms)
            self._send(self._list_addresses_of(gateway), message)
        else:
            self._send_rest_to_users(server.incarnation, rest_ms)

    def record_answered(self, server: BackendServer, sent_ms: float, *, was_declined: bool) -> None:
        """Record that a server has answered a request sent at `sent_ms`, or declined it."""
        if self.rests.record_answered(server.incarnation, sent_ms, was_declined=was_declined):
            log_event(Event.SERVER_RESTED, server=server.incarnation)

    def _put_rest(self, incarnation: str, rest_ms: float, source: str) -> None:
        if self.rests.record(incarnation, rest_ms, source):
            log_event(Event.SERVER_RESTS, server=incarnation, rest_ms=round(rest_ms), source=source)

    def _apply_rest(self, _address: str, message: ServerRest) -> None:
        self._put_rest(message.server, message.rest_ms, message.name)
        if not message.is_relayed:
            self._send_rest_to_users(message.server, message.rest_ms)

    def _send_rest_to_users(self, incarnation: str, rest_ms: float) -> None:
        """Tell the gateways that have tunnels to a server, as the server sees this machine."""
        message = ServerRest(self._fleet.name, incarnation, rest_ms, is_relayed=True)
        self._send(self._list_users(incarnation), message)

    def _apply_leaving(self, _address: str, message: ServerLeaving) -> None:
        if not self._registry.record_leaving(message.server, message.name):
            return
        self._send_to_users(message)
        if self._fleet.reports_by_zone and not message.is_relayed:
            near = [peer.address for peer in self._fleet.list_near()]
            self._send(near, ServerLeaving(message.name, message.server, is_relayed=True))

    def _send_to_users(self, message: ServerLeaving) -> None:
        relayed = ServerLeaving(message.name, message.server, is_relayed=True)
        self._send(self._list_users(message.server), relayed)

    def _send(self, addresses: Iterable[str], message: ServerLeaving | ServerRest) -> None:
        self._network.send_all(addresses, message)

    def _list_addresses_of(self, gateway: str) -> list[str]:
        """Return the address of the gateway that a connection leads through; none if it is direct."""
        return [peer.address for peer in self._fleet.list_connected() if peer.name == gateway]
