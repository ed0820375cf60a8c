"""Exchange between gateways about the limits of backend servers.

A gateway that observes a change tells the issuer of the server's permits, which tells all others: directly
in its zone, and over relays in the other zones. A lost message is repaired by the next answer of the server
or the next request for a permit.
"""

from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass

from gevent.event import Event as Signal

from hemlockswitch.connection.peers import PeerNetwork
from hemlockswitch.core.clock import Clock
from hemlockswitch.process.gateway.fleet import Fleet
from hemlockswitch.process.gateway.limit_messages import (
    LimitBroadcast,
    LimitObservations,
    StatementFields,
)
from hemlockswitch.process.gateway.permit_issuer import IssuerRanking
from hemlockswitch.process.gateway.server_limits import ServerLimits, read_statement, write_limit

SEND_INTERVAL_MS = 50.0
"""Minimum time between two messages; many servers may become limited together."""
REBROADCAST_INTERVAL_MS = 1_000.0
"""Minimum time between two broadcasts of a server that stays limited: only its issuer needs the exact limit."""
MAX_STATEMENTS_PER_MESSAGE = 500


@dataclass(frozen=True)
class ExchangeMessages:
    """The types of the messages of an exchange."""

    observations: type[LimitObservations]
    broadcast: type[LimitBroadcast]


LIMIT_MESSAGES = ExchangeMessages(LimitObservations, LimitBroadcast)


class LimitExchange:
    """Sends and applies changed limits.

    Parameters
    ==========

    network, fleet : the streams to the other gateways, and the list of these gateways.
    ranking : determines the issuer of each server's permits.
    limits : the limits known here.
    on_changed : called with the incarnation of a server whose limit another gateway reports as changed.
    clock : the time.
    messages : the types of the messages.
    """

    def __init__(
        self,
        network: PeerNetwork,
        fleet: Fleet,
        ranking: IssuerRanking,
        limits: ServerLimits,
        on_changed: Callable[[str], None],
        clock: Clock,
        messages: ExchangeMessages = LIMIT_MESSAGES,
    ) -> None:
        self._messages = messages
        self._on_changed = on_changed
        self._network = network
        self._fleet = fleet
        self._ranking = ranking
        self._limits = limits
        self._clock = clock
        self._changed = Signal()
        self._unsent: dict[str, str] = {}
        self._broadcast: dict[str, tuple[bool, float]] = {}
        network.handle(messages.observations, self.apply_observations, runs_inline=True)
        network.handle(messages.broadcast, self.apply_broadcast, runs_inline=True)

    @property
    def has_unsent(self) -> bool:
        """Whether changed statements wait to be sent."""
        return bool(self._unsent)

    def publish(self, incarnation: str, zone: str) -> None:
        """Send a server's changed statement soon.

        Parameters
        ==========

        zone : the server's availability zone.
        """
        self._unsent[incarnation] = zone
        self._changed.set()

    def tell_near(self, incarnation: str, zone: str) -> None:
        """Send a server's statement, observed here, to the near gateways at once.

        They thereby learn of it although the issuer of the server's permits may be cut off from them.
        """
        near = [peer.address for peer in self._fleet.list_near()]
        statements = [self.describe(incarnation, zone)]
        message = self._messages.broadcast(self._fleet.name, statements, is_relayed=True)
        self._network.send_all(near, message)

    def run(self) -> None:
        """Send changed statements until the task is killed."""
        while True:
            self._changed.wait()
            self._changed.clear()
            self.send_changes()
            self._clock.sleep_ms(SEND_INTERVAL_MS)

    def send_changes(self) -> None:
        """Send the changed statements to the issuers of the servers' permits, or from the issuer to all."""
        unsent, self._unsent = self._unsent, {}
        by_issuer: dict[str, list[StatementFields]] = defaultdict(list)
        for incarnation, zone in unsent.items():
            issuer = self._ranking.rank(incarnation, zone)[0]
            by_issuer[issuer].append(self.describe(incarnation, zone))
        own = by_issuer.pop(self._fleet.name, [])
        self._send_broadcast([fields for fields in own if self._is_due(fields)])
        for peer in self._fleet.list_peers():
            if peer.name in by_issuer:
                statements = by_issuer[peer.name][:MAX_STATEMENTS_PER_MESSAGE]
                observations = self._messages.observations(self._fleet.name, statements)
                self._network.send(peer.address, observations)

    def describe(self, incarnation: str, zone: str) -> StatementFields:
        """Return the fields of the newest statement of a server."""
        statement = self._limits.get(incarnation)
        return incarnation, zone, statement.number, write_limit(statement)

    def evict(self, incarnation: str) -> None:
        """Discard the state of a removed server."""
        self._unsent.pop(incarnation, None)
        self._broadcast.pop(incarnation, None)

    def apply_observations(self, _address: str, message: LimitObservations) -> None:
        """Apply the observations of another gateway, and publish those that are new here."""
        for fields in message.statements[:MAX_STATEMENTS_PER_MESSAGE]:
            if self.merge(fields, message.name):
                incarnation, zone, *_ = fields
                self.publish(incarnation, zone)

    def apply_broadcast(self, _address: str, message: LimitBroadcast) -> None:
        """Apply a broadcast, and relay one of another zone to the near gateways."""
        for fields in message.statements[:MAX_STATEMENTS_PER_MESSAGE]:
            self.merge(fields, message.name)
        if self._fleet.reports_by_zone and not message.is_relayed:
            relayed = self._messages.broadcast(message.name, message.statements, is_relayed=True)
            self._network.send_all([peer.address for peer in self._fleet.list_near()], relayed)

    def merge(self, fields: StatementFields, source: str) -> bool:
        """Apply a statement of another gateway; return whether it changes what is known here."""
        incarnation, _, number, limit_per_s = fields
        has_changed = self._limits.merge(incarnation, read_statement(number, limit_per_s), source)
        if has_changed:
            self._on_changed(incarnation)
        return has_changed

    def _is_due(self, fields: StatementFields) -> bool:
        """Return whether a statement is to be broadcast now, and record that it is."""
        incarnation, _, _, limit_per_s = fields
        now_ms = self._clock.now_ms()
        is_limited = limit_per_s is not None
        was_limited, sent_ms = self._broadcast.get(incarnation, (False, float("-inf")))
        if is_limited == was_limited and now_ms - sent_ms < REBROADCAST_INTERVAL_MS:
            return False
        self._broadcast[incarnation] = (is_limited, now_ms)
        return True

    def _send_broadcast(self, statements: list[StatementFields]) -> None:
        near = [peer.address for peer in self._fleet.list_near()]
        relays: list[str] = []
        if self._fleet.reports_by_zone:
            relays = [address for zone in self._fleet.draw_relays() for address in zone]
            relays = [address for address in relays if address not in near]
        for first in range(0, len(statements), MAX_STATEMENTS_PER_MESSAGE):
            part = statements[first : first + MAX_STATEMENTS_PER_MESSAGE]
            name, broadcast = self._fleet.name, self._messages.broadcast
            self._network.send_all(near, broadcast(name, part, is_relayed=True))
            self._network.send_all(relays, broadcast(name, part))
