"""What gateways tell one another of the requests under which backend servers end.

Each change goes to every gateway at once: directly to those near this one, and to two gateways of each
other zone, which pass it on there. It is rare and small, and each moment of delay may cost a server. A
message that is lost is made up for by the digest in the reports: gateways near one another that hold
back other contents tell all they know, and list those that the object service keeps.
"""

from dataclasses import dataclass

from gevent.event import Event as Signal

from hemlockswitch.connection.messages import register_message
from hemlockswitch.connection.peers import PeerNetwork
from hemlockswitch.core.clock import Clock
from hemlockswitch.process.gateway.fleet import Fleet
from hemlockswitch.process.gateway.neighbours import Peer
from hemlockswitch.request.quarantine import Quarantine, SuspectFields, SuspectRecord

GATHER_MS = 20.0
"""Least time between two messages: what was in progress on one server ends within milliseconds."""
REPAIR_MS = 1_000.0
"""Least time between two repairs of one gateway; its reports show after a period whether it has helped."""
MOST_TOLD = 200
"""Contents in one message, some 20 KB; more than that is in progress on few servers."""


@register_message("suspect_report")
@dataclass(frozen=True)
class SuspectReport:
    """Contents under which servers have ended.

    Parameters
    ==========

    name : the gateway that tells it.
    suspects : the fields of each `SuspectRecord`.
    is_relayed : whether it was passed on already.
    """

    name: str
    suspects: list[SuspectFields]
    is_relayed: bool = False


class SuspectExchange:
    """Tells and takes what gateways know of these contents.

    Parameters
    ==========

    network, fleet : the streams to the other gateways, and who these are.
    quarantine : what this gateway knows.
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
        network.handle(SuspectReport, self.take, quick=True)

    def run(self) -> None:
        """Tell what changes until the task is ended."""
        while True:
            self._changed.wait()
            self._changed.clear()
            self.tell()
            self._clock.sleep_ms(GATHER_MS)

    def note_change(self) -> None:
        """Something has changed here that is to be told."""
        self._changed.set()

    def differ(self) -> bool:
        """Return whether another gateway holds back something else."""
        return bool(self._list_peers_that_differ())

    def are_missed(self) -> bool:
        """Return whether some gateways are not in touch."""
        return self._fleet.count_in_touch() < self._fleet.count_daemons()

    def tell(self) -> None:
        """Tell every other gateway what has changed here."""
        records = self._quarantine.pop_untold()
        for first in range(0, len(records), MOST_TOLD):
            fields = [one.list_fields() for one in records[first : first + MOST_TOLD]]
            report = SuspectReport(self._fleet.name, fields)
            self._network.send_all(self._list_addresses(), report)

    def repair(self) -> None:
        """Tell the gateways near this one that hold back something else all that is known here.

        So one that started or was cut off learns it from its neighbours, without the object service.
        """
        addresses = self._list_differing()
        if not addresses:
            return
        now_ms = self._clock.now_ms()
        self._repaired_ms.update((address, now_ms) for address in addresses)
        fields = [one.list_fields() for one in self._quarantine.list_records()[:MOST_TOLD]]
        report = SuspectReport(self._fleet.name, fields, is_relayed=True)
        self._network.send_all(addresses, report)

    def _list_differing(self) -> list[str]:
        differing = self._list_peers_that_differ()
        if not differing:
            return []
        near = {peer.address for peer in self._fleet.list_near()}
        oldest_ms = self._clock.now_ms() - REPAIR_MS
        return [
            peer.address
            for peer in differing
            if peer.address in near and self._repaired_ms.get(peer.address, 0.0) <= oldest_ms
        ]

    def _list_peers_that_differ(self) -> list[Peer]:
        """Return the gateways that hold back something else, by their last reports."""
        digest = self._quarantine.hash_held()
        return [peer for peer in self._fleet.list_heard() if peer.view.held_digest != digest]

    def take(self, _address: str, report: SuspectReport) -> None:
        """Take what another gateway knows, and pass it on to those near this one if need be."""
        for fields in report.suspects[:MOST_TOLD]:
            self._quarantine.take(SuspectRecord.from_fields(fields))
        if self._fleet.reports_by_zone and not report.is_relayed:
            relayed = SuspectReport(report.name, report.suspects, is_relayed=True)
            self._network.send_all([peer.address for peer in self._fleet.list_near()], relayed)

    def _list_addresses(self) -> list[str]:
        """Return those near this gateway, and the relays of the zones that are not."""
        addresses = [peer.address for peer in self._fleet.list_near()]
        if self._fleet.reports_by_zone:
            relays = [address for zone in self._fleet.draw_relays() for address in zone]
            addresses += [address for address in relays if address not in addresses]
        return addresses
