"""Changes at the gateways of a large fleet, relayed inside each zone.

Placement depends on the load that every gateway puts on every backend server, so each gateway should
receive the report of a prompt sent by another one within a fraction of the time that a server takes to
read it. The same holds for the spending of a shared limit. In a large fleet no gateway can send to all
others so often. It sends its changes to one gateway of each zone instead, and this relay sends the
changes gathered within a short time to the gateways of its zone. A change thereby crosses to another zone
once, instead of once for each gateway there.
"""

from collections.abc import Iterable, Mapping
from typing import Any

from gevent.event import Event as Signal

from hemlockswitch.connection.peers import PeerNetwork
from hemlockswitch.core.clock import MS_PER_SECOND, Clock
from hemlockswitch.process.gateway.accounts import SharedLimits
from hemlockswitch.process.gateway.fleet import Fleet
from hemlockswitch.process.gateway.limit_division import LimitDivision
from hemlockswitch.process.gateway.loads import ServerLoads
from hemlockswitch.process.gateway.messages import ChangeReport, Loads, PromptFields, RelayedChanges
from hemlockswitch.process.gateway.reported_loads import ServerLoad
from hemlockswitch.process.gateway.return_bookings import ReturnBookings
from hemlockswitch.process.gateway.rollouts import Rollouts
from hemlockswitch.process.gateway.server_paces import ServerPaces
from hemlockswitch.request.dialect import Chain

RELAY_INTERVAL_MS = 100.0
"""How long changes gather before they are relayed: less than a server needs for a large prompt, and
long enough that a relay sends few messages. A server that has become slow or fast is relayed at once: it may be
slow for half a second only."""
MAX_GATHERED_CHANGES = 1_000
"""Maximum number of changes that wait to be relayed. More are dropped; later reports repair the loss."""


def write_loads(loads: Mapping[str, ServerLoad]) -> Loads:
    """Return loads in the form used by messages."""
    return {server: (load.running, load.waiting_tokens) for server, load in loads.items()}


def read_loads(loads: Loads) -> dict[str, ServerLoad]:
    """Return the loads of a message."""
    return {
        server: ServerLoad(int(running), float(waiting_tokens))
        for server, (running, waiting_tokens, *_) in loads.items()
    }


def read_sent(sent: list[PromptFields]) -> list[tuple[str, Chain]]:
    """Return the sent prompts of a message."""
    return [(server, tuple((digest, tokens) for digest, tokens in chain)) for server, chain in sent]


def name_process(name: str, incarnation: int) -> str:
    """Return a name that differs for each start of a gateway, since its sums start again from zero."""
    return f"{name}/{incarnation}"


def send_to_first(network: PeerNetwork, relays: Iterable[str], message: Any) -> None:
    """Send to the first relay that has a stream; a killed relay refuses connections."""
    for address in relays:
        if network.send(address, message):
            return


class ChangeRelay:
    """Applies the changes that other gateways send, and relays them to the near gateways.

    Parameters
    ==========

    network, fleet : the streams to the other gateways, and the list of these gateways.
    loads, limits, rollouts : the local state of the load, of the accounts, and of services that move to
        another version.
    paces : the paces of the servers.
    bookings : the times at which refused callers return.
    division : divides the limits of accounts between their routes.
    clock : the time.
    """

    def __init__(
        self,
        network: PeerNetwork,
        fleet: Fleet,
        loads: ServerLoads,
        limits: SharedLimits,
        rollouts: Rollouts,
        clock: Clock,
        paces: ServerPaces,
        bookings: ReturnBookings,
        division: LimitDivision,
    ) -> None:
        self._network = network
        self._fleet = fleet
        self._loads = loads
        self._limits = limits
        self._rollouts = rollouts
        self._clock = clock
        self._paces = paces
        self._bookings = bookings
        self._division = division
        self._gathered: list[ChangeReport] = []
        self._arrived = Signal()
        self._urgent = Signal()  # set while a changed pace waits to be relayed
        network.handle(ChangeReport, self.apply_report, runs_inline=True)
        network.handle(RelayedChanges, self._apply_relayed, runs_inline=True)

    @property
    def has_gathered(self) -> bool:
        """Whether changes wait to be relayed."""
        return bool(self._gathered)

    def run(self) -> None:
        """Relay received changes until the task is killed."""
        while True:
            self._arrived.wait()
            self._urgent.wait(RELAY_INTERVAL_MS / MS_PER_SECOND)
            self.send_gathered()

    def send_gathered(self) -> None:
        """Send the changes gathered since the last call to the near gateways."""
        gathered, self._gathered = self._gathered, []
        self._arrived.clear()
        self._urgent.clear()
        addresses = [peer.address for peer in self._fleet.list_near()]
        self._network.send_all(addresses, RelayedChanges.from_reports(gathered))

    def apply_report(self, _address: str, report: ChangeReport) -> None:
        """Apply the changes at a gateway, and gather them to be relayed."""
        self._apply_change(report)
        if len(self._gathered) < MAX_GATHERED_CHANGES:
            self._gathered.append(report)
        self._arrived.set()

    def _apply_relayed(self, _address: str, message: RelayedChanges) -> None:
        for report in message.to_reports():
            self._apply_change(report)

    def _apply_change(self, report: ChangeReport) -> None:
        """Apply a change, unless it is one of this gateway that was relayed back."""
        if report.name == self._fleet.name:
            return
        self._fleet.record_alive(report.name)
        order = (report.incarnation, report.number)
        self._fleet.record_links(report.name, order, is_isolated=report.is_isolated)
        changes, sent = read_loads(report.loads), read_sent(report.sent)
        self._loads.apply_changes(report.name, changes, sent, order)
        self._bookings.apply_reported(report.bookings)
        if report.limited:
            self._division.apply_report(report.name, report.limited)
        if self._paces.apply_reported(report.loads):
            self._urgent.set()
        self._loads.failures.apply_reported(report.name, report.results)
        process = name_process(report.name, report.incarnation)
        self._limits.apply_report(process, report.spent)
        self._rollouts.apply_reports(process, report.rollouts)
