"""The other gateways: who they are, from the object service, and what they last reported.

Each gateway registers its address once, lists the others from time to time, and tells every other
one, several times a second, the load that it puts on backend servers and what its accounts have
spent. A gateway that was not listed yet makes itself known by its first report. The usage that it
counted goes to the holder of the duties alone. At the size of a site this full mesh is cheap;
docs/CAPACITY.md says where it ends.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Any, Protocol

from hemlockswitch.connection.messages import register_message
from hemlockswitch.connection.peers import PeerNetwork
from hemlockswitch.connection.platform_models import (
    ObjectPage,
    StoredObject,
    Unknown,
    WriteOutcome,
    Written,
)
from hemlockswitch.core.clock import Clock
from hemlockswitch.core.errors import PlatformError
from hemlockswitch.core.events import Event
from hemlockswitch.core.logs import log_event

GATEWAY_KIND = "gateways"
LIST_MS = 10_000.0
"""Time between two lists of the registrations; gateways that come later report by themselves."""
FIRST_LIST_MS = 1_000.0
"""The same while this gateway is not registered or knows no other one."""
USAGE_MS = 500.0
"""Time between two reports of usage; what a killed gateway counted since is lost."""
REPORT_MS = 200.0
"""Time between two reports at a small fleet. What accounts overspend and what runners get too
much grows with it; a fifth of a second of the largest account's traffic is far below the bounds."""
REPORTS_PER_S = 100.0
"""Reports that a daemon may send in a second, over all peers: beyond twenty daemons the period
grows with their number, so that control stays a small part of a core."""
SILENT_MS = 1_500.0
"""A gateway that was not heard for this long counts as out of touch; several reports are missing."""


@register_message("gateway_report")
@dataclass(frozen=True)
class GatewayReport:
    """What a gateway tells the others.

    Parameters
    ==========

    name : the gateway.
    incarnation : differs for each start of its process.
    believed_ms : its time of day.
    loads : server name to (requests in progress, prompt tokens that wait).
    demand : service to the prompt tokens in a millisecond that it sends.
    spent : account to what it has spent since the process began.
    leads : whether it holds the duties.
    """

    name: str
    incarnation: int
    believed_ms: float
    loads: dict[str, tuple[int, float]]
    demand: dict[str, float]
    spent: dict[str, float]
    leads: bool = False


@register_message("account_spending")
@dataclass(frozen=True)
class SpendingReport:
    """What a gateway's accounts have spent, sent at once while a limit is contended.

    Parameters
    ==========

    spent : account to what it has spent since the process began, as in `GatewayReport`.
    """

    name: str
    incarnation: int
    spent: dict[str, float]


@register_message("usage_counts")
@dataclass(frozen=True)
class UsageReport:
    """What a gateway counted in the latest windows, for the holder of the duties.

    Parameters
    ==========

    usage : window number, as text, to account to count.
    """

    name: str
    incarnation: int
    usage: dict[str, dict[str, int]]


@dataclass
class Peer:
    """Another gateway."""

    name: str
    address: str
    heard_ms: float = float("-inf")
    report: GatewayReport | None = None


class RegistrationStore(Protocol):
    """What the fleet needs of the object service; see `PlatformClient`."""

    def list_stale(self, kind: str) -> ObjectPage:
        """Return the objects of a kind as they were at most some seconds ago."""

    def create(self, kind: str, name: str, value: Any) -> WriteOutcome:
        """Write an object that must not exist yet."""

    def update(self, kind: str, name: str, value: Any, version: int) -> WriteOutcome:
        """Write an object whose version must be `version`."""


@dataclass(frozen=True)
class ReportSource:
    """Where the parts of the own report come from."""

    build: Callable[[], GatewayReport]
    take: Callable[[GatewayReport], None]
    build_spending: Callable[[], SpendingReport]
    take_spending: Callable[[SpendingReport], None]
    build_usage: Callable[[], UsageReport]
    take_usage: Callable[[UsageReport], None]


class Fleet:
    """Lists the registrations, sends reports and takes those of others.

    Parameters
    ==========

    name : this gateway.
    network : the streams to other processes.
    source : builds the own report and takes those of others.
    clock : the time.
    """

    def __init__(self, name: str, network: PeerNetwork, source: ReportSource, clock: Clock) -> None:
        self.own_version: int | None = None
        self.is_registered = False
        self._name = name
        self._network = network
        self._source = source
        self._clock = clock
        self._peers: dict[str, Peer] = {}
        network.handle(GatewayReport, self._take_report, quick=True)
        network.handle(SpendingReport, lambda _, report: source.take_spending(report), quick=True)
        network.handle(UsageReport, lambda _, report: source.take_usage(report), quick=True)

    def replace_all(self, page: ObjectPage) -> None:
        """Take the whole list of registrations; who reports without being listed stays."""
        listed = {item.name for item in page.items}
        heard = {peer.name for peer in self.list_heard()}
        for item in page.items:
            if item.name == self._name:
                self._take_own(item)
            else:
                self._put(item.name, str(item.value.get("address", "")))
        for name in [name for name in self._peers if name not in listed | heard]:
            del self._peers[name]

    def refresh(self, store: RegistrationStore) -> None:
        """List the registrations, and write the own one if it is not among them."""
        try:
            self.replace_all(store.list_stale(GATEWAY_KIND))
        except PlatformError as error:
            log_event(Event.REGISTRATION_FAILED, "warning", detail=error.detail)
            return
        if not self.is_registered:
            self.register(store)

    def get_list_period_ms(self) -> float:
        """Return the time until the next list."""
        return LIST_MS if self.is_registered and self._peers else FIRST_LIST_MS

    def register(self, store: RegistrationStore) -> bool:
        """Write the own address; return whether it is known to be written."""
        value = {"address": self._network.address}
        try:
            if self.own_version is None:
                outcome = store.create(GATEWAY_KIND, self._name, value)
            else:
                outcome = store.update(GATEWAY_KIND, self._name, value, self.own_version)
        except PlatformError as error:
            log_event(Event.REGISTRATION_FAILED, "warning", detail=error.detail)
            return False
        if isinstance(outcome, Written):
            self.own_version = outcome.version
            self.is_registered = True
            return True
        if not isinstance(outcome, Unknown):
            self.own_version = outcome.version or None
        return False

    def send_reports(self) -> None:
        """Tell every other gateway."""
        self._send_to(self._peers.values(), self._source.build())

    def send_spending(self) -> None:
        """Tell every gateway that is in touch what the accounts have spent."""
        self._send_to(self.list_heard(), self._source.build_spending())

    def send_usage(self) -> None:
        """Tell the holder of the duties what was counted."""
        leaders = [peer for peer in self.list_heard() if peer.report and peer.report.leads]
        if leaders:
            self._send_to(leaders, self._source.build_usage())

    def _send_to(self, peers: Iterable[Peer], message: Any) -> None:
        self._network.send_all([peer.address for peer in peers], message)

    def get_period_ms(self) -> float:
        """Return the time between two reports."""
        return max(REPORT_MS, len(self._peers) * 1_000.0 / REPORTS_PER_S)

    def list_heard(self) -> list[Peer]:
        """Return the gateways that were heard lately."""
        oldest_ms = self._clock.now_ms() - max(SILENT_MS, 4 * self.get_period_ms())
        return [peer for peer in self._peers.values() if peer.heard_ms >= oldest_ms]

    def get_share(self) -> float:
        """Return the part of the fleet that is in touch with this gateway, with itself."""
        return self.count_in_touch() / self.count_daemons()

    def count_in_touch(self) -> int:
        """Return how many gateways were heard lately, with this one."""
        return len(self.list_heard()) + 1

    def count_daemons(self) -> int:
        """Return how many gateways are registered, with this one."""
        return len(self._peers) + 1

    def has_other_leader(self) -> bool:
        """Return whether another gateway says that it holds the duties."""
        return any(peer.report is not None and peer.report.leads for peer in self.list_heard())

    def describe(self) -> dict[str, Any]:
        """Return the state for the status page."""
        now_ms = self._clock.now_ms()
        return {
            peer.name: {"address": peer.address, "heard_ms_ago": round(now_ms - peer.heard_ms)}
            for peer in self._peers.values()
            if peer.report is not None
        }

    def sum_demand(self, service: str) -> float:
        """Return the demand of a service that the gateways heard lately report."""
        reports = [peer.report for peer in self.list_heard() if peer.report is not None]
        return sum(report.demand.get(service, 0.0) for report in reports)

    def list_opinions(self) -> dict[str, float]:
        """Return what the gateways that were heard lately believe the time of day is now."""
        now_ms = self._clock.now_ms()
        return {
            peer.name: peer.report.believed_ms + now_ms - peer.heard_ms
            for peer in self.list_heard()
            if peer.report is not None
        }

    def _take_own(self, item: StoredObject) -> None:
        """Note what the own registration says; an earlier process may have had another address."""
        self.own_version = None if item.deleted else item.version
        self.is_registered = not item.deleted and item.value.get("address") == self._network.address

    def _put(self, name: str, address: str) -> None:
        peer = self._peers.get(name)
        if peer is None or peer.address != address:
            self._peers[name] = Peer(name, address)

    def _take_report(self, address: str, report: GatewayReport) -> None:
        peer = self._peers.get(report.name)
        if peer is None:
            peer = self._peers[report.name] = Peer(report.name, address)
        peer.heard_ms = self._clock.now_ms()
        peer.report = report
        self._source.take(report)
