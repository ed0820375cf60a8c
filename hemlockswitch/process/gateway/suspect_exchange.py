"""Exchange between gateways about requests that crash backend servers.

Each change is sent to every gateway at once: directly to the near gateways, and to two gateways of each
other zone, which relay it there. Changes are rare and small, and any delay may cost a server. A lost
message is repaired by the digest in the reports: near gateways that quarantine different contents send one
another all their records, and list the records stored in the object service.
"""

from dataclasses import dataclass

from gevent.event import Event as Signal

from hemlockswitch.connection.messages import register_message
from hemlockswitch.connection.peers import PeerNetwork
from hemlockswitch.core.clock import Clock
from hemlockswitch.process.gateway.fleet import Fleet
from hemlockswitch.process.gateway.peer_groups import Peer, list_broadcast_addresses
from hemlockswitch.request.quarantine import Quarantine
from hemlockswitch.request.suspects import SuspectFields, SuspectRecord

SEND_INTERVAL_MS = 20.0
"""Minimum time between two messages: the requests in progress on one server end within milliseconds."""
REPAIR_INTERVAL_MS = 1_000.0
"""Minimum time between two repairs of one gateway; its reports show after a period whether a repair worked."""
MAX_RECORDS_PER_MESSAGE = 200
"""Maximum number of contents in one message, some 20 KB; few servers have more requests in progress."""


@register_message("suspect_report")
@dataclass(frozen=True)
class SuspectReport:
    """Request contents that were in progress when servers crashed.

    Parameters
    ==========

    name : the name of the sending gateway.
    suspects : the fields of each `SuspectRecord`.
    is_relayed : whether the message has already been relayed.
    """

    name: str
    suspects: list[SuspectFields]
    is_relayed: bool = False


class SuspectExchange:
    """Sends and applies the records of suspected contents.

    Parameters
    ==========

    network, fleet : the streams to the other gateways, and the list of these gateways.
    quarantine : the records of this gateway.
    clock : the time.
    """

    def __init__(
        self, network: PeerNetwork, fleet: Fleet, quarantine: Quarantine, clock: Clock
    ) -> None:
        self._changed = Signal()
        self._repaired_ms: dict[str, float] = {}
        self._network = network
        self._fleet = fleet
        self._quarantine = quarantine
        self._clock = clock
        network.handle(SuspectReport, self.apply_report, runs_inline=True)

    def run(self) -> None:
        """Send changed records until the task is killed."""
        while True:
            self._changed.wait()
            self._changed.clear()
            self.send_changes()
            self._clock.sleep_ms(SEND_INTERVAL_MS)

    def publish_changes(self) -> None:
        """Wake the task because a record has changed."""
        self._changed.set()

    def has_differing_peer(self) -> bool:
        """Return whether another gateway quarantines different contents."""
        return bool(self._list_differing_peers())

    def has_disconnected_peer(self) -> bool:
        """Return whether some gateways are not connected."""
        return self._fleet.count_connected() < self._fleet.count_daemons()

    def send_changes(self) -> None:
        """Send the changed records to every other gateway."""
        records = self._quarantine.pop_unsent()
        for first in range(0, len(records), MAX_RECORDS_PER_MESSAGE):
            fields = [one.list_fields() for one in records[first : first + MAX_RECORDS_PER_MESSAGE]]
            report = SuspectReport(self._fleet.name, fields)
            self._network.send_all(list_broadcast_addresses(self._fleet), report)

    def repair(self) -> None:
        """Send up to `MAX_RECORDS_PER_MESSAGE` records to the near gateways that quarantine different contents.

        A gateway that started or was cut off thereby gets the records from its peers, without the object
        service.
        """
        addresses = self._list_repair_addresses()
        if not addresses:
            return
        now_ms = self._clock.now_ms()
        self._repaired_ms.update((address, now_ms) for address in addresses)
        fields = [
            one.list_fields() for one in self._quarantine.list_records()[:MAX_RECORDS_PER_MESSAGE]
        ]
        report = SuspectReport(self._fleet.name, fields, is_relayed=True)
        self._network.send_all(addresses, report)

    def _list_repair_addresses(self) -> list[str]:
        differing = self._list_differing_peers()
        if not differing:
            return []
        near = {peer.address for peer in self._fleet.list_near()}
        oldest_ms = self._clock.now_ms() - REPAIR_INTERVAL_MS
        return [
            peer.address
            for peer in differing
            if peer.address in near and self._repaired_ms.get(peer.address, 0.0) <= oldest_ms
        ]

    def _list_differing_peers(self) -> list[Peer]:
        """Return the gateways that quarantine different contents, according to their last reports."""
        digest = self._quarantine.hash_quarantined()
        return [peer for peer in self._fleet.list_connected() if peer.view.held_digest != digest]

    def apply_report(self, _address: str, report: SuspectReport) -> None:
        """Apply the records of another gateway, and relay a message from another zone to the near gateways."""
        for fields in report.suspects[:MAX_RECORDS_PER_MESSAGE]:
            self._quarantine.merge(SuspectRecord.from_fields(fields))
        if self._fleet.reports_by_zone and not report.is_relayed:
            relayed = SuspectReport(report.name, report.suspects, is_relayed=True)
            self._network.send_all([peer.address for peer in self._fleet.list_near()], relayed)
