"""The entry daemon: builds, connects, starts and stops its parts."""

from typing import Any, Self

import gevent

from hemlockswitch.connection.backends import BackendClient
from hemlockswitch.connection.caller_server import CallerServer
from hemlockswitch.connection.callers import build_application
from hemlockswitch.connection.control_api import build_control_application
from hemlockswitch.connection.sockets import refuses_connection
from hemlockswitch.connection.status_page import StatusPage
from hemlockswitch.core.addresses import split_address
from hemlockswitch.core.clock import MS_PER_SECOND, Clock, SystemClock
from hemlockswitch.core.errors import ErrorKind, RequestError
from hemlockswitch.process.claims.members import build_claims
from hemlockswitch.process.cluster_state import ClusterState
from hemlockswitch.process.copies.usage import UsageReporter
from hemlockswitch.process.departure import Departure
from hemlockswitch.process.metrics import EntryMetrics
from hemlockswitch.process.peer_metrics import PeerCollector
from hemlockswitch.process.quarantine.crash_detector import ConnectionCrashDetector
from hemlockswitch.process.quarantine.crash_store import CrashStore
from hemlockswitch.process.quarantine.guard import Guard
from hemlockswitch.process.quarantine.metrics import GuardCollector
from hemlockswitch.process.quarantine.quarantine_store import QuarantineStore
from hemlockswitch.process.quarantine.suspect_gossip import SuspectGossip
from hemlockswitch.process.records import RequestRecords
from hemlockswitch.process.reports import RequestReports
from hemlockswitch.process.revisions.tasks import RevisionTasks
from hemlockswitch.process.serving import Serving
from hemlockswitch.process.shares.factory import PLATFORM_CALL_TIMEOUT_MS as SHARE_CALL_MS
from hemlockswitch.process.shares.factory import build_shares
from hemlockswitch.process.tasks import Tasks
from hemlockswitch.process.traces import Tracing
from hemlockswitch.request.admission import Admission
from hemlockswitch.request.attempt import AttemptOpener
from hemlockswitch.request.capacity import CapacityQueue
from hemlockswitch.request.migration import Mover
from hemlockswitch.request.overdue import OverdueSweep
from hemlockswitch.request.quarantine import Quarantine
from hemlockswitch.request.relay import Relay
from hemlockswitch.request.retries import RetryBudget
from hemlockswitch.request.routing import Router, TargetTraits
from hemlockswitch.request.service_call import ServiceCaller
from hemlockswitch.version.models import Limits, OperatorFile
from hemlockswitch.version.settings import EntrySettings

CLAIM_FLUSH_TIMEOUT_MS = 3_000.0
CRASH_CHECK_TIMEOUT_MS = 50.0
"""Timeout of a test connection to a server that broke a connection. A refusal arrives within one
network round trip, and the request waits for it."""


class EntryDaemon:
    """A `hemlock-entry` process.

    Explanation
    ===========

    `__init__` builds the parts, lowest layer first; `start` opens the sockets and spawns the
    tasks; `stop` ends them gracefully. Each part owns its sockets and state.

    Parameters
    ==========

    settings : the validated settings.
    clock : the process's clock.
    """

    def __init__(self, settings: EntrySettings, clock: Clock) -> None:
        self.settings = settings
        self.clock = clock
        self.metrics = EntryMetrics()
        self.status = StatusPage()
        self.file: OperatorFile | None = None
        self.revision = 0
        self._tasks = Tasks(clock)
        self._build_facts()
        self._build_requests()
        self._build_servers()

    @classmethod
    def from_settings(cls, settings: EntrySettings) -> Self:
        """Return a daemon that uses the system's clock."""
        return cls(settings, SystemClock())

    def _build_facts(self) -> None:
        """Build the daemon's view of the cluster and the configuration in force."""
        self.cluster_state = ClusterState.from_settings(self.settings, "entry", self.clock)
        self.gossip_state = self.cluster_state.gossip_state
        self.directory = self.cluster_state.directory
        PeerCollector.register(self.cluster_state, self.metrics.registry)
        self.usage = UsageReporter(
            self.cluster_state.network,
            self.directory,
            lambda: dict(self.records.refused),
            self._list_peers,
        )
        self.revisions = RevisionTasks(
            self.cluster_state,
            self.settings.name,
            self.settings.zone,
            "hemlock-entry",
            self.clock,
            self._is_ready,
            self._describe_use,
        )
        self.status.add("revision", lambda: self.revision)
        self.status.add("configuration", self.revisions.describe_status)
        self.status.add("members", self.cluster_state.describe_members)
        self.status.add("backend_servers", self.cluster_state.describe_backends)
        self.status.add("leaving", lambda: sorted(self.directory.list_leaving()))
        self.status.add("zone", lambda: self.settings.zone)
        self.status.add("name", lambda: self.settings.name)

    def _build_requests(self) -> None:
        """Build the parts that a request passes through."""
        client = BackendClient()
        self.tracing = Tracing.from_setting(self.settings.traces, self.settings.name)
        reports = RequestReports(self.metrics, self.tracing)
        self._build_guard()
        self._build_relay(client, reports)
        self._build_service_calls(client, reports)
        self._build_admission(reports)
        self._build_departure()

    def _build_guard(self) -> None:
        """Build the quarantine of requests that crash backend servers."""
        self.quarantine = Quarantine(self.clock)
        process = f"{self.settings.name}/{self.clock.wall_ms()}"
        suspect_gossip = SuspectGossip(
            self.settings.name, self.gossip_state, self.quarantine, self._is_isolated, self.clock
        )
        self.guard = Guard(
            self.quarantine,
            ConnectionCrashDetector(
                lambda server: not self.directory.is_leaving(server.name),
                lambda server: refuses_connection(server.address, CRASH_CHECK_TIMEOUT_MS),
                self.clock,
            ),
            QuarantineStore(process, self.quarantine, self.cluster_state.platform, self.clock),
            CrashStore(process, self.quarantine, self.cluster_state.platform, self.clock),
            suspect_gossip,
            lambda: False,
            self.clock,
        )
        self.metrics.registry.register(GuardCollector(self.guard.counts))
        self.status.add("quarantine", self.quarantine.describe)

    def _is_isolated(self) -> bool:
        membership = self.cluster_state.membership
        return membership is not None and membership.is_isolated

    def _build_relay(self, client: BackendClient, reports: RequestReports) -> None:
        """Build the parts that choose a backend server and relay its stream."""
        self.router = Router(
            self.directory,
            self._find_traits,
            await_cluster_state=self.cluster_state.freshness.await_refresh,
        )
        self.directory.add_leaving_listener(lambda name, _: self.router.memory.remove_server(name))
        self.budget = RetryBudget(Limits().retry_ratio, self.clock)
        self.opener = AttemptOpener(client, self.clock)
        self.relay = Relay(
            self.router,
            self.directory,
            self.opener,
            self.budget,
            self.guard,
            self.clock,
            reports,
        )
        self.mover = Mover(
            lambda: list(self.relay.running.values()),
            self.router,
            self.directory,
            client,
            self.clock,
        )
        self.directory.add_leaving_listener(self.mover.leave)
        self.sweep = OverdueSweep(self.relay, self.clock)

    def _build_service_calls(self, client: BackendClient, reports: RequestReports) -> None:
        """Build the calls to plain services, and the claims that prevent repeated runs."""
        self.claims = build_claims(
            self.settings,
            self.cluster_state,
            self.clock,
            self._find_limits,
            self.metrics.count_claim,
        )
        self.status.add("claims", self.claims.describe)
        self.services = ServiceCaller(
            self.router,
            self.directory,
            client,
            self.budget,
            self.clock,
            reports,
            self.claims,
            self.guard,
        )

    def _build_admission(self, reports: RequestReports) -> None:
        """Build the parts that admit requests, record them and serve their callers."""
        self.shares = build_shares(self.settings, self.cluster_state, self.clock, self._find_file)
        self.status.add("limits", self.shares.describe)
        capacity = CapacityQueue(self.clock)
        self.admission = Admission(self.shares, self.clock, capacity, starts_full=False)
        self.shares.set_use(self.admission)
        self.records = RequestRecords(self.admission, self.metrics, reports, self.clock)
        self.serving = Serving(self.relay, self.services, self.records, self.clock)
        self.serving.has_limits = lambda: self.shares.is_ready
        self.metrics.shares_in_term.set_function(lambda: int(self.shares.book.in_term))
        self.metrics.in_progress.set_function(lambda: self.records.in_progress)

    def _build_departure(self) -> None:
        """Build the handover of requests, which needs all the other parts of their path."""
        self.departure = Departure(
            self.settings,
            self.cluster_state,
            self.clock,
            self.relay,
            self.opener,
            self.metrics.count_handover,
        )
        self.serving.resumer = self.departure.build_resuming(
            self.admission, self.records, self.serving
        )
        self.status.add("handover", self.departure.handover.describe)
        self.status.add("requests_in_progress", lambda: self.records.in_progress)

    def _build_servers(self) -> None:
        """Build the two HTTP servers, which do not listen yet."""
        timeout_ms = self.settings.caller_timeout_ms
        self.callers = CallerServer(
            split_address(self.settings.listen),
            build_application(self.serving, self.clock),
            timeout_ms,
        )
        self.control = CallerServer(
            split_address(self.settings.control_listen),
            build_control_application(self.status, self.metrics.render),
            timeout_ms,
        )

    def use_file(self, file: OperatorFile, number: int) -> None:
        """Put a configuration in force in every part."""
        self.file, self.revision = file, number
        self.cluster_state.zones = file.zones
        self.metrics.revision.set(number)
        self.budget.set_ratio(file.limits.retry_ratio)
        self.directory.set_draining(file.draining)
        self.router.queue_length = file.limits.queue_length
        self.serving.use_configuration(file)
        self.shares.start()

    def start(self) -> dict[str, str]:
        """Open the sockets, spawn the tasks and return the bound addresses."""
        self.control.start()
        self.callers.start()
        peer_address = self.cluster_state.start(self.callers.bound_address, self._tasks.spawn)
        self.revisions.configuration.add_listener(
            lambda revision: self.use_file(revision.file, revision.number)
        )
        self.revisions.start(self._tasks.spawn)
        self._tasks.spawn("sweep", self.sweep.run)
        self._tasks.spawn("quarantine", self.guard.run)
        self._tasks.spawn("waiting states", self.departure.store.run)
        if self.tracing.log_export is not None:
            self._tasks.spawn("traces", self.tracing.log_export.run)
        return {
            "callers": self.callers.bound_address,
            "control": self.control.bound_address,
            "peers": peer_address,
            "peer_listen": self.cluster_state.network.bound_address,
        }

    def stop(self) -> None:
        """Refuse new requests, finish or hand over those in progress, then stop."""
        self.serving.stop_accepting()
        gevent.spawn(self.shares.leave)
        self.departure.run(lambda: self.callers.answering > 0)
        self.claims.flush(CLAIM_FLUSH_TIMEOUT_MS)
        gevent.spawn(self.shares.leave).join(timeout=SHARE_CALL_MS / MS_PER_SECOND)
        self.shares.stop()
        self._tasks.kill()
        self.cluster_state.stop()
        self.callers.stop(timeout=1)
        self.control.stop(timeout=1)

    def _describe_use(self) -> dict[str, Any]:
        """Return the details of this daemon for the zone's status."""
        return {
            "requests_in_progress": self.records.in_progress,
            "refused": self.metrics.count_refusals(),
        }

    def _is_ready(self) -> bool:
        try:
            self.serving.check_ready()
        except RequestError:
            return False
        return True

    def _list_peers(self) -> list[tuple[str, str]]:
        """Return the names and peer addresses of the live peers of all zones."""
        live = self.cluster_state.membership.list_live() if self.cluster_state.membership else []
        return [(one.name, one.peer_address) for one in live if one.name != self.settings.name]

    def _find_limits(self) -> Limits:
        return self.file.limits if self.file else Limits()

    def _find_file(self) -> OperatorFile:
        if self.file is None:
            raise RequestError(ErrorKind.NOT_READY, "no configuration is in force yet")
        return self.file

    def _find_traits(self, target: str) -> TargetTraits:
        """Return the traits of a model or service from the configuration."""
        models = self.file.models if self.file else ()
        for model in models:
            if model.name == target:
                return TargetTraits(model.first_token_target_ms, model.slots_per_copy)
        services = self.file.services if self.file else ()
        for service in services:
            if service.name == target:
                return TargetTraits(service.timeout_ms, service.concurrent_calls_per_copy)
        return TargetTraits()
