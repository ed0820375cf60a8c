"""The exchange of reports: built from what this gateway's parts know, and handed on to them.

Every gateway tells every other one, several times a second, the load that it puts on backend
servers and what its accounts have spent; what is spent of a contended limit is told at once, and
what was counted for the usage reports goes to the holder of the duties alone. At the size of a site
this full mesh is cheap; docs/CAPACITY.md says where it ends.
"""

from collections.abc import Callable, Iterable
from typing import Any

from hemlockswitch.connection.backoff import Outage
from hemlockswitch.connection.peers import PeerNetwork
from hemlockswitch.core.clock import Clock
from hemlockswitch.process.gateway.accounts import SharedLimits
from hemlockswitch.process.gateway.fleet import Fleet, Peer
from hemlockswitch.process.gateway.loads import ServerLoads
from hemlockswitch.process.gateway.messages import GatewayReport, SpendingReport, UsageReport
from hemlockswitch.process.gateway.reachability import Reachability
from hemlockswitch.process.gateway.reported_loads import ServerLoad
from hemlockswitch.process.gateway.service_models import ServiceModels
from hemlockswitch.process.gateway.true_time import TrueTime
from hemlockswitch.process.gateway.usage import UsageCounts
from hemlockswitch.process.gateway.watch_guard import StoreView
from hemlockswitch.version.backend import BackendServer


class ReportExchange:
    """Sends this gateway's reports and takes those of others.

    Parameters
    ==========

    name : this gateway.
    network, fleet : the streams to the other gateways, and who these are.
    incarnation : differs for each start of its process.
    leads : returns whether this gateway holds the duties.
    reachability : learns what other gateways cannot reach.
    models : learns what other gateways have learned of the services.
    list_servers : returns the backend servers that are registered.
    get_view : returns what this gateway knows of the object service.
    clock : the time.
    """

    def __init__(
        self,
        name: str,
        incarnation: int,
        network: PeerNetwork,
        fleet: Fleet,
        loads: ServerLoads,
        limits: SharedLimits,
        usage: UsageCounts,
        true_time: TrueTime,
        leads: Callable[[], bool],
        reachability: Reachability,
        models: ServiceModels,
        list_servers: Callable[[], list[BackendServer]],
        get_view: Callable[[], StoreView],
        clock: Clock,
    ) -> None:
        self._name = name
        self._incarnation = incarnation
        self._network = network
        self._fleet = fleet
        self._loads = loads
        self._limits = limits
        self._usage = usage
        self._true_time = true_time
        self._leads = leads
        self._reachability = reachability
        self._models = models
        self._list_servers = list_servers
        self._get_view = get_view
        self._clock = clock
        network.handle(GatewayReport, self._take_report, quick=True)
        network.handle(SpendingReport, self._take_spending, quick=True)
        network.handle(UsageReport, self._take_usage, quick=True)

    def send_reports(self) -> None:
        """Tell every other gateway."""
        self._send(self._fleet.list_peers(), self._build_report())

    def send_spending(self) -> None:
        """Tell every gateway that is in touch what the accounts have spent."""
        spent = self._limits.describe_spent()
        self._send(self._fleet.list_heard(), SpendingReport(self._name, self._incarnation, spent))

    def send_usage(self) -> None:
        """Tell the holder of the duties what was counted."""
        holders = [one for one in self._fleet.list_heard() if one.report and one.report.leads]
        if holders:
            usage = self._usage.describe_own()
            self._send(holders, UsageReport(self._name, self._incarnation, usage))

    def _send(self, peers: Iterable[Peer], message: Any) -> None:
        self._network.send_all([peer.address for peer in peers], message)

    def _build_report(self) -> GatewayReport:
        loads = self._loads.describe_own()
        view = self._get_view()
        return GatewayReport(
            name=self._name,
            incarnation=self._incarnation,
            believed_ms=self._true_time.now_ms(),
            loads={name: (load.running, load.waiting_tokens) for name, load in loads.items()},
            demand=self._loads.measure_own_demand(),
            spent=self._limits.describe_spent(),
            leads=self._leads(),
            revision=view.revision,
            servers_digest=view.servers_digest,
            outage_ms_ago=self._tell_outage(view),
            sent=[(name, list(chain)) for name, chain in self._loads.pop_sent()],
            zone=self._fleet.zone,
            relayed_version=view.relayed_version,
            unreachable=self._reachability.describe_unreachable(),
            models=self._models.describe_own(),
        )

    def _take_report(self, address: str, report: GatewayReport) -> None:
        self._fleet.note_report(address, report, self._read_view(report))
        loads = {name: ServerLoad(int(one[0]), float(one[1])) for name, one in report.loads.items()}
        sent = [(name, tuple((one[0], one[1]) for one in chain)) for name, chain in report.sent]
        self._loads.take_report(report.name, loads, sent)
        self._limits.take_report(name_process(report.name, report.incarnation), report.spent)
        self._models.take_report(report.name, report.models)
        known = self._list_servers() if report.unreachable else ()
        self._reachability.take_report(report.zone, report.unreachable, known)

    def _tell_outage(self, view: StoreView) -> tuple[float, ...]:
        if view.outage is None:
            return ()
        now_ms = self._clock.now_ms()
        return (round(now_ms - view.outage.began_ms), round(now_ms - view.outage.ended_ms))

    def _read_view(self, report: GatewayReport) -> StoreView:
        """Return the other gateway's view with moments of the own clock."""
        outage = None
        if report.outage_ms_ago:
            now_ms = self._clock.now_ms()
            began_ms_ago, ended_ms_ago = report.outage_ms_ago
            outage = Outage(now_ms - began_ms_ago, now_ms - ended_ms_ago)
        return StoreView(report.revision, report.servers_digest, outage, report.relayed_version)

    def _take_spending(self, _address: str, report: SpendingReport) -> None:
        self._limits.take_report(name_process(report.name, report.incarnation), report.spent)

    def _take_usage(self, _address: str, report: UsageReport) -> None:
        self._usage.take_report(name_process(report.name, report.incarnation), report.usage)


def name_process(name: str, incarnation: int) -> str:
    """Return a name that differs for each start of a gateway: sums begin anew with it."""
    return f"{name}/{incarnation}"
