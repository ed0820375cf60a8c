"""What backend servers state in their answers about further requests, told to the gateways that it concerns.

A server sees the machine that connects to it. A gateway that leads its requests through another one therefore
tells that one, which tells all others that lead requests to the server through it.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from hemlockswitch.connection.messages import register_message
from hemlockswitch.connection.peers import PeerNetwork
from hemlockswitch.process.gateway.fleet import Fleet
from hemlockswitch.process.gateway.registry import ServerRegistry
from hemlockswitch.process.gateway.server_limits import OWN
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


class ServerStatements:
    """Records the statements of servers, and exchanges them with the other gateways.

    Explanation
    ===========

    Every gateway learns that a server leaves: directly in the zone of the gateway that received the answer,
    and over two relays in each other zone. A lost message costs one request to the server, whose answer tells
    the gateway itself.

    Parameters
    ==========

    network, fleet : the streams to the other gateways, and the list of these gateways.
    registry : the servers.
    list_users : returns the addresses of the gateways that have tunnels through this one to a server.
    """

    def __init__(
        self,
        network: PeerNetwork,
        fleet: Fleet,
        registry: ServerRegistry,
        list_users: Callable[[str], set[str]],
    ) -> None:
        self._network = network
        self._fleet = fleet
        self._registry = registry
        self._list_users = list_users
        network.handle(ServerLeaving, self._apply_leaving, runs_inline=True)

    def record_leaving(self, server: BackendServer, gateway: str) -> None:
        """Record that a server stated in an answer, received through `gateway`, that it leaves."""
        message = ServerLeaving(self._fleet.name, server.incarnation)
        if self._registry.record_leaving(server.incarnation, OWN):
            self._send(self._list_addresses(), message)
            self._send_to_users(message)
        # Also if it is known: the message to this gateway may have been lost.
        self._send(self._list_addresses_of(gateway), message)

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

    def _send(self, addresses: Iterable[str], message: ServerLeaving) -> None:
        self._network.send_all(addresses, message)

    def _list_addresses(self) -> list[str]:
        """Return the addresses of the near gateways, and of the relays of the other zones."""
        addresses = [peer.address for peer in self._fleet.list_near()]
        if self._fleet.reports_by_zone:
            relays = [address for zone in self._fleet.draw_relays() for address in zone]
            addresses += [address for address in relays if address not in addresses]
        return addresses

    def _list_addresses_of(self, gateway: str) -> list[str]:
        """Return the address of the gateway that a connection leads through; none if it is direct."""
        return [peer.address for peer in self._fleet.list_connected() if peer.name == gateway]
