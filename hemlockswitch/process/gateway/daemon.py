"""The gateway daemon: construction of its components, and their start and stop in order."""

import time
from collections.abc import Callable

from hemlockswitch.connection.backend_pool import BackendPool
from hemlockswitch.connection.byte_counts import ByteCounts
from hemlockswitch.connection.descriptors import find_caller_limit, find_idle_limit
from hemlockswitch.connection.forward_server import ForwardServer
from hemlockswitch.connection.peers import PeerNetwork
from hemlockswitch.core.addresses import split_address
from hemlockswitch.core.clock import MS_PER_SECOND, Clock
from hemlockswitch.core.events import Event
from hemlockswitch.core.logs import log_event
from hemlockswitch.process.gateway.account_demand import AccountDemands
from hemlockswitch.process.gateway.accounts import SharedLimits
from hemlockswitch.process.gateway.adapter import Adapter
from hemlockswitch.process.gateway.change_relay import ChangeRelay, name_process
from hemlockswitch.process.gateway.configuration import ServingTableStore
from hemlockswitch.process.gateway.dispatchers import Dispatchers
from hemlockswitch.process.gateway.duty_assembly import build_duties
from hemlockswitch.process.gateway.exposure import build_status_page, connect_metrics
from hemlockswitch.process.gateway.fleet import Fleet
from hemlockswitch.process.gateway.fleet_clock import FleetClock
from hemlockswitch.process.gateway.followed_objects import FollowedObjects
from hemlockswitch.process.gateway.gateway_capacity import GatewayCapacity
from hemlockswitch.process.gateway.gateway_state import GatewayState
from hemlockswitch.process.gateway.limit_division import LimitDivision
from hemlockswitch.process.gateway.loads import ServerLoads
from hemlockswitch.process.gateway.maintenance import Maintenance
from hemlockswitch.process.gateway.managed_services import NEVER, ManagedServices
from hemlockswitch.process.gateway.observation import GatewayObserver
from hemlockswitch.process.gateway.pages import GatewayPages
from hemlockswitch.process.gateway.permits import Permits
from hemlockswitch.process.gateway.prober import Prober
from hemlockswitch.process.gateway.reachability import Reachability
from hemlockswitch.process.gateway.readiness import Readiness
from hemlockswitch.process.gateway.registry import ServerRegistry
from hemlockswitch.process.gateway.reporting import ReportSchedule
from hemlockswitch.process.gateway.reports import ReportExchange
from hemlockswitch.process.gateway.return_bookings import ReturnBookings
from hemlockswitch.process.gateway.rollouts import Rollouts
from hemlockswitch.process.gateway.server_limits import ServerLimits
from hemlockswitch.process.gateway.server_links import ServerLinks
from hemlockswitch.process.gateway.server_paces import ServerPaces
from hemlockswitch.process.gateway.server_rests import ServerRests
from hemlockswitch.process.gateway.server_statements import ServerStatements
from hemlockswitch.process.gateway.service_models import ServiceModels
from hemlockswitch.process.gateway.stream_origins import ServerEvidence
from hemlockswitch.process.gateway.stream_versions import StreamVersions
from hemlockswitch.process.gateway.suspect_exchange import SuspectExchange
from hemlockswitch.process.gateway.usage import UsageCounts
from hemlockswitch.process.gateway.view import GatewayView
from hemlockswitch.process.quarantine.crash_detector import ConnectionCrashDetector
from hemlockswitch.process.quarantine.crash_store import CrashStore
from hemlockswitch.process.quarantine.guard import Guard
from hemlockswitch.process.quarantine.quarantine_store import QuarantineStore
from hemlockswitch.process.quarantine.survivors import Survivors
from hemlockswitch.process.tasks import Tasks
from hemlockswitch.request.forwarding import Forwarder
from hemlockswitch.request.quarantine import Quarantine
from hemlockswitch.request.repeat_budget import RepeatBudget
from hemlockswitch.request.rollout_credit import ExposureBound
from hemlockswitch.version.backend import BackendServer
from hemlockswitch.version.gateway_settings import GatewaySettings

LISTEN_ON_STOP_MS = 2_500.0
"""How long to accept connections after a stop signal. Balancers check readiness once a second and remove
a daemon after two answers, so new connections arrive for up to two seconds. Requests that arrive after
three seconds might not finish in the remaining time."""
FORCE_MARGIN_MS = 500.0
"""The process exits this long before the platform kills it."""
ANSWER_MARGIN_MS = 500.0
ANSWER_MARGIN_SHARE = 0.25
"""The requests in progress are answered with errors this long before the exit, or this share of a short grace."""
STOP_POLL_INTERVAL_MS = 50.0


class GatewayDaemon:
    """A `hemlock-gateway` process.

    Parameters
    ==========

    settings : the validated settings file.
    adapter : access to the external systems.
    clock : the clock of the process.
    """

    def __init__(self, settings: GatewaySettings, adapter: Adapter, clock: Clock) -> None:
        self.settings = settings
        self._adapter = adapter
        self._clock = clock
        self._tasks = Tasks(clock)
        self._readiness = Readiness(
            lambda: self.followed.is_synced and self.guard.is_ready,
            lambda: self.followed.is_partly_synced,
            clock,
        )
        self._build_state()
        self._build_forwarding()
        self._build_duties()
        self._build_servers()

    def _build_state(self) -> None:
        """Build the local state of the daemon: configuration, backend servers, other gateways."""
        adapter, clock = self._adapter, self._clock
        self.fleet_clock = FleetClock()
        self._incarnation = time.time_ns()
        self._process = name_process(self.settings.name, self._incarnation)
        self.usage = UsageCounts(self.settings.usage_window_s, self._process)
        self.tables = ServingTableStore(adapter.config_name, adapter.decode_table)
        self.models = ServiceModels(clock)
        self.managed = ManagedServices(self.settings.admission_control)
        self.pool = BackendPool(clock, self._count_connection, find_idle_limit())
        self.registry = ServerRegistry(adapter.decode_server, clock, self._evict_server)
        self.network = PeerNetwork(
            self.settings.cluster, self.settings.name, self.settings.peer_listen, clock=clock
        )
        self.fleet = Fleet(
            self.settings.name,
            lambda: self.network.address,
            clock,
            self.settings.zone,
            self.settings.link_mbps,
        )
        self.reachability = Reachability(
            self.settings.zone,
            self.fleet.get_near_period,
            clock,
            lambda zone: self.forwarder.abandon_zone(zone),
            self.registry.list_all,
            lambda address: self.links.handle_unreachable(address),
            lambda: self.schedule.report_links(),
        )
        self.links = ServerLinks(
            self.settings.cluster,
            self.settings.name,
            self.network,
            self.fleet,
            self.pool,
            self.registry,
            self.reachability,
            lambda: self.forwarder,
            clock,
        )
        self.capacity = self._build_capacity()
        self.statements = ServerStatements(
            self.network,
            self.fleet,
            self.registry,
            ServerRests(clock),
            self.links.host.list_users,
        )
        self.links.host.may_send = self.statements.rests.may_send
        self.paces = ServerPaces(
            self.managed,
            self.registry.find_service,
            clock,
            lambda: self.schedule.report_pace(),
        )
        self.demands = AccountDemands(
            clock,
            self._find_capacity,
            lambda: self.fleet.get_far_period().load_lifetime_ms,
            self.fleet.count_daemons,
        )
        self.bookings = ReturnBookings(clock, self.fleet.count_daemons)
        self.loads = ServerLoads(
            clock, self.fleet.get_far_period, lambda: self.schedule.changed.set()
        )
        self.quarantine = Quarantine(clock)
        self.rollouts = self._build_rollouts()
        self.permits = Permits(
            self.network,
            self.fleet,
            ServerLimits(clock),
            clock,
            count_running=self.loads.count_running,
        )
        self.permits.slots.issuer.find_slots = self.registry.find_slots
        self.dispatchers = Dispatchers(
            self.network,
            self.fleet,
            self.registry,
            self.paces,
            self.models,
            self.managed,
            self.loads.count_running,
            self._has_engines,
            clock,
        )
        self.streams = StreamVersions(
            self.network,
            self.fleet,
            lambda: self.registry.measure_age_ms(),
            clock,
            ServerEvidence(
                self.registry.find_registered,
                lambda server, since_ms: self.guard.was_replaced(server, since_ms),
                self.pool.is_running_since,
            ),
        )
        self.registry.on_listed = self.streams.record_listed
        self.registry.on_restarting = self.streams.record_restarting
        self.state = GatewayState(
            tables=self.tables,
            registry=self.registry,
            fleet=self.fleet,
            reachability=self.reachability,
            loads=self.loads,
            models=self.models,
            paces=self.paces,
            demands=self.demands,
            bookings=self.bookings,
            managed=self.managed,
            rollouts=self.rollouts,
            streams=self.streams,
            statements=self.statements,
            dispatchers=self.dispatchers,
            permits=self.permits,
            usage=self.usage,
            fleet_clock=self.fleet_clock,
        )
        self.maintenance = Maintenance(
            adapter.store, self.network, self.state, self.pool, self._leads, clock
        )
        self.followed = FollowedObjects(
            adapter,
            self.tables,
            self.registry,
            self.rollouts if self.settings.rollout_share is not None else None,
            self.network,
            self.fleet,
            self.quarantine.hash_quarantined,
            clock,
        )

    def _build_capacity(self) -> GatewayCapacity:
        """Build the measurement of this gateway's spare, and let gateways be chosen by it."""
        capacity = GatewayCapacity(self.fleet, self.managed, self._count_bytes, self._clock)
        self.fleet.rank_peer, self.fleet.rank_own = capacity.rank, capacity.rank_own
        self.links.detours.capacity = capacity
        return capacity

    def _build_rollouts(self) -> Rollouts:
        """Build the tracking of rollout orders."""
        settings = self.settings
        bound = None
        if settings.rollout_share is not None:
            bound = ExposureBound(settings.rollout_share, settings.rollout_slack)
        return Rollouts(self._adapter.decode_rollout, bound, self.fleet.count_listed, self._clock)

    def _build_forwarding(self) -> None:
        """Build the components that process requests."""
        settings, clock = self.settings, self._clock
        self.division = LimitDivision(
            settings.admission_control != NEVER,
            clock,
            lambda: self.fleet.get_far_period().load_lifetime_ms,
            self.fleet.count_daemons,
        )
        self.limits = SharedLimits(
            clock,
            self.fleet.get_connected_fraction,
            lambda: self.schedule.contended.set(),
            settings.limit_slack,
            self.fleet.get_far_period,
            self.division,
        )
        self.relay = ChangeRelay(
            self.network,
            self.fleet,
            self.loads,
            self.limits,
            self.rollouts,
            clock,
            self.paces,
            self.bookings,
            self.division,
        )
        self.reports = ReportExchange(
            settings.name,
            self._incarnation,
            self.network,
            self.state,
            self.limits,
            self._leads,
            self.followed.view,
            clock,
            lambda: self.links.host.active,
            self.division,
            self.capacity.state_spare,
        )
        self.schedule = ReportSchedule(self.reports, self.fleet, self.followed.guard, clock)
        self.observer = GatewayObserver(self.usage, self.fleet_clock, clock)
        self.budget = RepeatBudget(
            settings.repeat_ratio,
            settings.repeat_extra,
            settings.repeat_window_s * MS_PER_SECOND,
            clock,
        )
        view = GatewayView(
            self.state,
            self._readiness,
            self.links.detours,
            self.schedule.report_large_prompt,
            clock,
        )
        view.has_crashed = self.quarantine.has_crash
        self._build_guard()
        self.forwarder = Forwarder(
            self._adapter.dialect,
            view,
            self.limits,
            self.pool,
            self.guard,
            self.budget,
            self.observer,
            clock,
        )

    def _build_guard(self) -> None:
        """Build the guard, which quarantines requests that crash backend servers."""
        clock, quarantine = self._clock, self.quarantine
        self.prober = Prober(
            self.reachability,
            self.pool,
            self.registry.list_all,
            self.registry.is_live,
            self.links.detours,
            clock,
        )
        self.suspects = SuspectExchange(self.network, self.fleet, quarantine, clock)
        self.guard = Guard(
            quarantine,
            ConnectionCrashDetector(self.registry.is_live, self.prober.refuses, clock),
            QuarantineStore(self._process, quarantine, self._adapter.store, clock),
            CrashStore(self._process, quarantine, self._adapter.store, clock),
            self.suspects,
            self._leads,
            clock,
            Survivors(
                self.registry.find_live, lambda: clock.now_ms() - self.registry.measure_age_ms()
            ),
        )
        connect_metrics(self)

    def _build_duties(self) -> None:
        """Build the duties, if the adapter has an API for them."""
        self.duties = build_duties(
            self.settings,
            self._adapter,
            self.state,
            self.followed,
            lambda: self.network.address,
            self.reports.announce,
            self._clock,
            self.capacity,
        )

    def _build_servers(self) -> None:
        """Build the servers for callers, the balancer and operators."""
        self.status = build_status_page(self)
        self.callers = ForwardServer(
            split_address(self.settings.listen),
            self.forwarder.handle,
            lambda: self.tables.bounds,
            self._clock,
            find_caller_limit(),
        )
        self.callers.sheds = self.capacity.is_self_overloaded
        self.pages = GatewayPages(
            self.settings, self.is_ready, self.status, self.observer.metrics.render, self._clock
        )

    def start(self) -> dict[str, str]:
        """Open the sockets, spawn the tasks and return the bound addresses."""
        peer_address = self.network.start()
        listen_address = self.callers.start()
        page_addresses = self.pages.start()
        for follower in self.followed.followers:
            self._tasks.spawn(follower.kind, follower.run)
        for kind, refresher in self.followed.refreshers.items():
            self._tasks.spawn(f"freshness of {kind}", refresher.run)
        for name, run in self._list_tasks().items():
            self._tasks.spawn(name, run)
        return {"listen": listen_address, "peer": peer_address, **page_addresses}

    def _list_tasks(self) -> dict[str, Callable[[], None]]:
        """Return the background tasks, which run until the process ends, by name."""
        tasks: dict[str, Callable[[], None]] = {
            **self.maintenance.list_tasks(),
            "near reports": self.schedule.send_near,
            "far reports": self.schedule.send_far,
            "changes": self.schedule.send_changes,
            "relayed changes": self.relay.run,
            "spending": self.schedule.send_spending,
            "usage": self.schedule.send_usage,
            "suspects": self.suspects.run,
            "quarantine": self.guard.run,
            "limits": self.permits.exchange.run,
            "permits": self.permits.issuer.run,
            "brittle servers": self.permits.slots.exchange.run,
            "slots": self.permits.slots.issuer.run,
            "slot releases": self.permits.slots.run,
            "dispatch": self.dispatchers.run,
            "dispatch releases": self.dispatchers.run_repeats,
            "probes": self.prober.run,
            "server links": self.links.run,
            "capacity": self.capacity.run,
        }
        if self.settings.rollout_share is not None:
            tasks["rollouts"] = self.rollouts.run
        if self.duties is not None:
            tasks["lease"] = self.duties.maintain_lease
            tasks["duties"] = self.duties.act
            tasks["kept usage"] = self.duties.save_usage
        return tasks

    def is_ready(self) -> bool:
        """Return whether new callers can be served."""
        return self._readiness.is_ready()

    def stop(self) -> None:
        """Report as not ready to the balancer, finish the requests in progress, and close."""
        began_ms = self._clock.now_ms()
        self._readiness.stop()
        self.callers.begin_closing()
        self.links.host.begin_closing()
        end_ms = began_ms + self.settings.stop_grace_s * MS_PER_SECOND - FORCE_MARGIN_MS
        answer_ms = end_ms - min(ANSWER_MARGIN_MS, ANSWER_MARGIN_SHARE * (end_ms - began_ms))
        listen_until_ms = min(began_ms + LISTEN_ON_STOP_MS, answer_ms)
        self.forwarder.begin_leaving(answer_ms)
        if self.duties is not None:
            self.duties.release()
        while self._clock.now_ms() < listen_until_ms:
            self._clock.sleep_ms(STOP_POLL_INTERVAL_MS)
        self.forwarder.stop_admitting()
        self.callers.stop_accepting()
        self._await_requests(answer_ms)
        self.forwarder.end_requests()
        self._await_requests(end_ms)
        self.reports.send_usage()
        self.streams.hand_over()
        self._clock.sleep_ms(STOP_POLL_INTERVAL_MS)
        while self.guard.has_unsaved and self._clock.now_ms() < end_ms:
            self._clock.sleep_ms(STOP_POLL_INTERVAL_MS)
        self._close()

    def _await_requests(self, until_ms: float) -> None:
        """Wait until no requests are in progress, at most until a time."""
        while (self.callers.active or self.links.host.active) and self._clock.now_ms() < until_ms:
            self._clock.sleep_ms(STOP_POLL_INTERVAL_MS)
            self.callers.close_idle()

    def apply_settings(self, settings: GatewaySettings) -> None:
        """Apply changed settings; changed addresses and names take effect at the next start."""
        changed = sorted(
            name
            for name in type(settings).__struct_fields__
            if getattr(settings, name) != getattr(self.settings, name)
        )
        log_event(Event.SETTINGS_CHANGED, fields=changed)
        self.settings = settings
        self.budget.set_limits(
            settings.repeat_ratio,
            settings.repeat_extra,
            settings.repeat_window_s * MS_PER_SECOND,
        )

    def _close(self) -> None:
        self._tasks.kill(block=False)
        self.network.stop()
        self.pages.stop()
        self._adapter.store.close()

    def _leads(self) -> bool:
        """Return whether this gateway holds the duties."""
        return self.duties is not None and self.duties.leads

    def _evict_server(self, server: BackendServer) -> None:
        self.pool.close_idle(server.address)
        self.reachability.evict(server)
        self.loads.evict(server.incarnation)
        self.permits.evict(server.incarnation)
        self.paces.evict(server.incarnation)
        self.managed.evict(server.serves, server.incarnation)
        self.streams.history.record_removed(server)

    def _has_engines(self, service: str) -> bool:
        """Return whether the servers of a service are engines, by the configuration; unknown services may be."""
        table = self.tables.current
        settings = table.services.get(service) if table is not None else None
        return settings is None or settings.engine is not None

    def _find_capacity(self, service: str) -> float:
        """Return the prompt tokens per ms that a service's engines read for the gateways connected to this one."""
        tokens_per_ms = self.models.get(service).tokens_per_ms
        paces = [self.paces.find_pace(one.incarnation) for one in self.registry.list_ready(service)]
        return sum(tokens_per_ms / pace for pace in paces) * self.fleet.get_connected_fraction()

    def _count_bytes(self) -> ByteCounts:
        """Return the bytes exchanged with callers, servers and other gateways."""
        callers, servers, peers = self.callers.counts, self.pool.counts, self.network.traffic
        passed = self.links.host.bytes_passed
        return ByteCounts(
            callers.sent + servers.sent + peers.bytes_out + passed,
            callers.received + servers.received + peers.bytes_in + passed,
        )

    def _count_connection(self, _address: str) -> None:
        self.observer.metrics.connections += 1
