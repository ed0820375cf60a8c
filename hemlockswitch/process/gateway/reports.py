"""The exchange of reports, which are built from the local state and applied to it.

In a small fleet every gateway reports to every other one, several times a second, the load that it puts
on backend servers and the spending of its accounts; the spending of a contended limit is reported at
once. In a larger fleet a gateway reports as often as the number of gateways allows, to those of its zone
more often than to the others, and sends each change of its load and its accounts to one gateway of each
zone, which relays it there (`process.gateway.change_relay`). Usage counts are sent only to the holder of
the duties. The limits of this design are in docs/CAPACITY.md.
"""

from collections.abc import Callable, Iterable
from typing import Any

from hemlockswitch.connection.backoff import Outage
from hemlockswitch.connection.peers import PeerNetwork
from hemlockswitch.core.clock import Clock
from hemlockswitch.process.gateway.accounts import SharedLimits
from hemlockswitch.process.gateway.change_relay import (
    name_process,
    read_loads,
    read_sent,
    send_to_first,
    write_loads,
)
from hemlockswitch.process.gateway.gateway_state import GatewayState
from hemlockswitch.process.gateway.limit_division import LimitDivision
from hemlockswitch.process.gateway.messages import (
    BookingFields,
    ChangeReport,
    GatewayReport,
    PromptFields,
    SpendingReport,
    UsageReport,
)
from hemlockswitch.process.gateway.peer_groups import Peer
from hemlockswitch.process.gateway.report_period import ReportPeriod
from hemlockswitch.process.gateway.watch_guard import StoreView


class ReportExchange:
    """Sends this gateway's reports and applies those of other gateways.

    Parameters
    ==========

    name : the name of this gateway.
    incarnation : differs for each start of its process.
    network : the streams to the other gateways.
    state : the local state, which is reported and to which received reports are applied.
    limits : the spending of the client accounts.
    leads : returns whether this gateway holds the duties.
    get_view : returns this gateway's view of the object service.
    clock : the time.
    count_tunnels : returns the number of tunnels that this gateway serves for others.
    division : divides the limits of accounts between their routes.
    state_spare : returns this gateway's spare; None if it is not in use.
    """

    def __init__(
        self,
        name: str,
        incarnation: int,
        network: PeerNetwork,
        state: GatewayState,
        limits: SharedLimits,
        leads: Callable[[], bool],
        get_view: Callable[[], StoreView],
        clock: Clock,
        count_tunnels: Callable[[], int] = lambda: 0,
        division: LimitDivision | None = None,
        state_spare: Callable[[], float | None] = lambda: None,
    ) -> None:
        self._division = division
        self._name = name
        self._incarnation = incarnation
        self._network = network
        self._fleet = state.fleet
        self._loads = state.loads
        self._paces = state.paces
        self._demands = state.demands
        self._bookings = state.bookings
        self._limits = limits
        self._usage = state.usage
        self._fleet_clock = state.fleet_clock
        self._leads = leads
        self._reachability = state.reachability
        self._models = state.models
        self._rollouts = state.rollouts
        self._list_servers = state.registry.list_all
        self._get_view = get_view
        self._count_tunnels = count_tunnels
        self._state_spare = state_spare
        self._clock = clock
        self._last_number = 0
        network.handle(GatewayReport, self._apply_report, runs_inline=True)
        network.handle(SpendingReport, self._apply_spending, runs_inline=True)
        network.handle(UsageReport, self._apply_usage, runs_inline=True)

    def send_near(self) -> None:
        """Send a complete report to the near gateways."""
        sent = [] if self._fleet.reports_by_zone else self._pop_sent()
        bookings = [] if self._fleet.reports_by_zone else self._bookings.pop_unreported()
        report = self._build_report(self._fleet.get_near_period(), sent, bookings)
        self._send(self._fleet.list_near(), report)

    def send_far(self) -> None:
        """Send a report without sent prompts to the far gateways."""
        self._send(self._fleet.list_far(), self._build_report(self._fleet.get_far_period(), [], []))

    def announce(self) -> None:
        """Report to every other gateway at once, for instance after taking over the duties."""
        self.send_near()
        self.send_far()

    def send_changes(self) -> None:
        """Send the changes to one gateway of each zone, which relays them there."""
        change = ChangeReport(
            self._name,
            self._incarnation,
            self._next_number(),
            self._paces.add_to(write_loads(self._loads.pop_changed())),
            self._pop_sent(),
            self._limits.pop_unreported(),
            self._loads.failures.pop_unreported(),
            self._rollouts.pop_changed_reports(leads=self._leads()),
            self._reachability.isolation.is_isolated,
            self._bookings.pop_unreported(),
            self._division.describe_changed() if self._division is not None else {},
        )
        for relays in self._fleet.draw_relays():
            send_to_first(self._network, relays, change)

    def send_spending(self) -> None:
        """Send the spending of the accounts to every connected gateway."""
        spent = self._limits.describe_spent()
        self._send(
            self._fleet.list_connected(), SpendingReport(self._name, self._incarnation, spent)
        )

    def send_usage(self) -> None:
        """Send the usage counts to the holder of the duties."""
        holders = [one for one in self._fleet.list_connected() if one.report and one.report.leads]
        if holders:
            usage = self._usage.describe_own()
            self._send(holders, UsageReport(self._name, self._incarnation, usage))

    def _send(self, peers: Iterable[Peer], message: Any) -> None:
        self._network.send_all([peer.address for peer in peers], message)

    def _next_number(self) -> int:
        self._last_number += 1
        return self._last_number

    def _pop_sent(self) -> list[PromptFields]:
        return [(name, list(chain)) for name, chain in self._loads.pop_sent()]

    def _build_report(
        self, period: ReportPeriod, sent: list[PromptFields], bookings: BookingFields
    ) -> GatewayReport:
        view = self._get_view()
        return GatewayReport(
            name=self._name,
            incarnation=self._incarnation,
            believed_ms=self._fleet_clock.now_ms(),
            loads=self._paces.add_to(write_loads(self._loads.describe_own())),
            demand=self._loads.describe_demand(self._fleet.count_daemons()),
            spent=self._limits.describe_spent(),
            leads=self._leads(),
            revision=view.revision,
            servers_digest=view.servers_digest,
            outage_ms_ago=self._describe_outage(view),
            sent=sent,
            zone=self._fleet.zone,
            relayed=dict(view.relayed),
            unreachable=self._reachability.describe_unreachable(),
            models=self._models.describe_own(),
            number=self._next_number(),
            period_ms=period.ms,
            link_mbps=self._fleet.link_mbps,
            held_digest=view.held_digest,
            rollouts=self._rollouts.make_reports(leads=self._leads()),
            view_age_ms=round(view.age_ms),
            is_isolated=self._reachability.isolation.is_isolated,
            tunnels=self._count_tunnels(),
            requested=self._demands.describe_own(),
            limited=self._division.describe_own() if self._division is not None else {},
            bookings=bookings,
            spare=self._state_spare(),
        )

    def _apply_report(self, address: str, report: GatewayReport) -> None:
        self._fleet.record_report(address, report, self._read_view(report))
        order = (report.incarnation, report.number)
        self._loads.apply_report(
            report.name, read_loads(report.loads), read_sent(report.sent), order
        )
        self._paces.apply_reported(report.loads)
        self._demands.apply_report(report.name, report.requested)
        if self._division is not None:
            self._division.apply_report(report.name, report.limited)
        self._bookings.apply_reported(report.bookings)
        process = name_process(report.name, report.incarnation)
        self._limits.apply_report(process, report.spent)
        self._rollouts.apply_reports(process, report.rollouts)
        self._models.apply_report(report.name, report.models)
        self._reachability.record_report(report.zone, report.name, report.period_ms)
        if not report.unreachable or report.is_isolated:
            return
        servers = self._list_servers()
        self._reachability.apply_unreachable(report.zone, report.unreachable, servers)

    def _describe_outage(self, view: StoreView) -> tuple[float, ...]:
        if view.outage is None:
            return ()
        now_ms = self._clock.now_ms()
        return (round(now_ms - view.outage.began_ms), round(now_ms - view.outage.ended_ms))

    def _read_view(self, report: GatewayReport) -> StoreView:
        """Return the view in a report, with times converted to this process's clock."""
        outage = None
        if report.outage_ms_ago:
            now_ms = self._clock.now_ms()
            began_ms_ago, ended_ms_ago = report.outage_ms_ago
            outage = Outage(now_ms - began_ms_ago, now_ms - ended_ms_ago)
        return StoreView(
            report.revision,
            report.servers_digest,
            outage,
            report.relayed,
            report.held_digest,
            report.view_age_ms,
        )

    def _apply_spending(self, _address: str, report: SpendingReport) -> None:
        self._limits.apply_report(name_process(report.name, report.incarnation), report.spent)

    def _apply_usage(self, _address: str, report: UsageReport) -> None:
        self._usage.apply_report(name_process(report.name, report.incarnation), report.usage)
