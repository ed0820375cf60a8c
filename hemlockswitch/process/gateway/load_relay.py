"""Loads of other zones, passed on in this gateway's zone.

Where work goes depends on the load that every gateway puts on every backend server, so each should
know of a prompt that another one has sent within a fraction of the time that a server reads it. At a
large fleet no gateway can tell all others so often. It tells one of each other zone instead, and that
one passes on what it has heard in a moment to its neighbours. With 195 gateways in six zones a load is
known everywhere after some 150 ms, where reports to everybody take a second on average; a load
crosses to another zone once, in place of once for each of its gateways.
"""

from gevent.event import Event as Signal

from hemlockswitch.connection.peers import PeerNetwork
from hemlockswitch.core.clock import Clock
from hemlockswitch.process.gateway.fleet import Fleet
from hemlockswitch.process.gateway.loads import ServerLoads
from hemlockswitch.process.gateway.messages import GatewayReport, LoadReport, RelayedLoads
from hemlockswitch.process.gateway.reported_loads import ServerLoad

RELAY_MS = 100.0
"""How long loads gather before they are passed on: half of what a server needs for a prompt of ten
thousand tokens, and few enough messages that four relays of a zone spend some 80 each in a second."""
MOST_GATHERED = 1_000
"""Loads that wait to be passed on; more is dropped, and repaired by the reports that follow."""


def take_load(loads: ServerLoads, report: GatewayReport | LoadReport) -> None:
    """Take the load that another gateway has told, directly or over a relay."""
    by_server = {
        server: ServerLoad(int(running), float(waiting_tokens))
        for server, (running, waiting_tokens) in report.loads.items()
    }
    sent = [
        (server, tuple((digest, tokens) for digest, tokens in chain))
        for server, chain in report.sent
    ]
    loads.take_report(report.name, by_server, sent, (report.incarnation, report.number))


class LoadRelay:
    """Takes loads of other zones, and passes them on to the gateways near this one.

    Parameters
    ==========

    network, fleet : the streams to the other gateways, and who these are.
    loads : what this gateway knows of the load.
    clock : the time.
    """

    def __init__(
        self, network: PeerNetwork, fleet: Fleet, loads: ServerLoads, clock: Clock
    ) -> None:
        self._network = network
        self._fleet = fleet
        self._loads = loads
        self._clock = clock
        self._gathered: list[LoadReport] = []
        self._arrived = Signal()
        network.handle(LoadReport, self.take, quick=True)
        network.handle(RelayedLoads, self._take_relayed, quick=True)

    @property
    def has_gathered(self) -> bool:
        """Whether something waits to be passed on."""
        return bool(self._gathered)

    def run(self) -> None:
        """Pass on what comes until the task is ended."""
        while True:
            self._arrived.wait()
            self._clock.sleep_ms(RELAY_MS)
            self.pass_on()

    def pass_on(self) -> None:
        """Tell the gateways near this one what has come since the last time."""
        gathered, self._gathered = self._gathered, []
        self._arrived.clear()
        addresses = [peer.address for peer in self._fleet.list_near()]
        self._network.send_all(addresses, RelayedLoads.from_reports(gathered))

    def take(self, _address: str, report: LoadReport) -> None:
        """Take the load of a gateway of another zone, to be passed on."""
        take_load(self._loads, report)
        if len(self._gathered) < MOST_GATHERED:
            self._gathered.append(report)
        self._arrived.set()

    def _take_relayed(self, _address: str, message: RelayedLoads) -> None:
        for report in message.to_reports():
            take_load(self._loads, report)
