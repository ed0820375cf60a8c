"""The controller daemon: builds, connects, starts and stops its parts."""

from collections.abc import Callable
from typing import Self

import gevent
from gevent.event import Event as Signal
from prometheus_client import CollectorRegistry, Gauge, generate_latest

from hemlockswitch.connection.caller_server import CallerServer
from hemlockswitch.connection.control_api import build_control_application
from hemlockswitch.connection.orders import OrderClient
from hemlockswitch.connection.peers import PeerNetwork
from hemlockswitch.connection.platform import PlatformClient
from hemlockswitch.connection.status_page import StatusPage
from hemlockswitch.core.addresses import split_address
from hemlockswitch.core.clock import MS_PER_SECOND, Clock, SystemClock
from hemlockswitch.core.errors import HemlockError
from hemlockswitch.core.events import Event
from hemlockswitch.core.logs import log_event
from hemlockswitch.process.copies.controller import Controller, ControlSettings
from hemlockswitch.process.copies.cost import CostMeter
from hemlockswitch.process.copies.observed_zone import Sources
from hemlockswitch.process.copies.reclaims import Reclaims
from hemlockswitch.process.copies.records import CopyRecords
from hemlockswitch.process.copies.usage import EntryDaemonClient
from hemlockswitch.process.copies.zone_load import ZoneSummaries
from hemlockswitch.process.gossip.state import GossipState
from hemlockswitch.process.lease import Lease, LeaseTimes
from hemlockswitch.process.revisions.configuration import Configuration
from hemlockswitch.process.revisions.store import RevisionStore
from hemlockswitch.process.revisions.tasks import READ_TIMEOUT_MS, follow_pointer
from hemlockswitch.process.revisions.updates import RevisionUpdater
from hemlockswitch.version.models import OperatorFile
from hemlockswitch.version.revisions import CURRENT_POINTER, POINTER_KIND
from hemlockswitch.version.settings import ControllerSettings

PLATFORM_ROLE = "controller"
PAGE_TIMEOUT_MS = 10_000


class CurrentFile:
    """The configuration that the controller works towards; its revision number only increases.

    Explanation
    ===========

    The platform may serve a stale read, which a newly started controller could not detect; so the
    entry daemons are queried as well, for the difference once the controller has a revision.

    Parameters
    ==========

    platform : the controller's client of the platform.
    network : the controller's connections to peers.
    list_daemons : returns the peer addresses of entry daemons.
    clock : the process's clock.
    """

    def __init__(
        self,
        platform: PlatformClient,
        network: PeerNetwork,
        list_daemons: Callable[[], list[str]],
        clock: Clock,
    ) -> None:
        self._platform = platform
        self._store = RevisionStore(platform, clock, READ_TIMEOUT_MS)
        self._configuration = Configuration(clock)
        self._updater = RevisionUpdater(
            self._configuration, GossipState(), network, list_daemons, lambda: None, clock
        )

    @property
    def number(self) -> int:
        """The number of the revision in force here; 0 before the first adoption."""
        return self._configuration.revision

    def refresh(self) -> OperatorFile | None:
        """Adopt a newer revision from the daemons or the platform; return the file in force."""
        self._updater.check_peers()
        stored = self._platform.read(POINTER_KIND, CURRENT_POINTER)
        if stored is not None:
            follow_pointer(self._configuration, self._store, stored)
        return self._configuration.file if self._configuration.is_ready else None


class ControllerMetrics:
    """The metrics of the controller."""

    def __init__(self, clock: Clock) -> None:
        self.registry = CollectorRegistry()
        self.cost = CostMeter(self.registry, clock)
        self.held = Gauge(
            "hemlock_lease_held", "1 while this process may give orders", registry=self.registry
        )

    def render(self) -> bytes:
        """Return the metrics as Prometheus text."""
        return generate_latest(self.registry)


class ControllerDaemon:
    """A `hemlock-controller` process: a candidate for its zone's lease, or its holder.

    Parameters
    ==========

    settings : the validated settings.
    clock : the process's clock.
    """

    def __init__(self, settings: ControllerSettings, clock: Clock) -> None:
        self.settings = settings
        self._clock = clock
        self._wake = Signal()
        self._tasks: list[gevent.Greenlet] = []
        self._platform = PlatformClient.from_settings(settings, PLATFORM_ROLE)
        self._network = PeerNetwork(settings.cluster, settings.name, settings.peer_listen)
        self._current = CurrentFile(
            self._platform, self._network, lambda: list(settings.seeds), clock
        )
        self._metrics = ControllerMetrics(clock)
        self.lease = Lease(
            self._platform,
            clock,
            settings.zone,
            settings.name,
            LeaseTimes(**settings.lease.model_dump()),
            lambda: settings.candidates,
        )
        self._metrics.held.set_function(lambda: self.lease.is_held)
        self._reclaims = Reclaims(
            self._platform, clock, settings.zone, settings.copies.risk_window_ms
        )
        self.controller = self._make_controller()
        self._status_server = self._make_status_server()

    @classmethod
    def from_settings(cls, settings: ControllerSettings) -> Self:
        """Return a daemon that uses the system's clock."""
        return cls(settings, SystemClock())

    def _make_controller(self) -> Controller:
        settings, copies = self.settings, self.settings.copies
        sources = Sources(
            self._platform,
            self._clock,
            OrderClient(settings.order_timeout_ms),
            EntryDaemonClient(self._network, settings.seeds),
            self._reclaims,
            ZoneSummaries(self._platform, self._clock, settings.zone, copies.report_ms),
        )
        times = ControlSettings(
            copies.replace_ms, copies.shrink_after_ms, copies.gone_after_ms, copies.parallel_starts
        )
        records = CopyRecords(self._platform)
        return Controller(settings.zone, self.lease, records, sources, times, self._metrics.cost)

    def _make_status_server(self) -> CallerServer:
        status = StatusPage()
        status.add("name", lambda: self.settings.name)
        status.add("zone", lambda: self.settings.zone)
        status.add("revision", lambda: self._current.number)
        status.add("lease", self.lease.describe)
        status.add("copies", self.controller.describe)
        application = build_control_application(status, self._metrics.render)
        address = split_address(self.settings.control_listen)
        return CallerServer(address, application, PAGE_TIMEOUT_MS)

    def start(self) -> dict[str, str]:
        """Open the sockets, spawn the tasks and return the bound addresses."""
        self._status_server.start()
        peer_address = self._network.start()
        watch, is_leader = self._reclaims.watch_forever, lambda: self.lease.is_held
        self._tasks = [
            gevent.spawn(self._run_lease),
            gevent.spawn(self._run_control),
            gevent.spawn(watch, is_leader, self._wake),
        ]
        return {"control": self._status_server.bound_address, "peers": peer_address}

    def stop(self) -> None:
        """Stop the tasks, then release the lease."""
        gevent.killall(self._tasks)
        self.lease.release()
        self._network.stop()
        self._status_server.stop(timeout=1)

    def _run_lease(self) -> None:
        while True:
            was_held = self.lease.is_held
            pause_ms = self.lease.run_step()
            if self.lease.is_held and not was_held:
                self._wake.set()
            self._clock.sleep_ms(pause_ms)

    def _run_control(self) -> None:
        while True:
            self._wake.clear()
            self._reconcile()
            self._wake.wait(self.settings.copies.pass_ms / MS_PER_SECOND)

    def _reconcile(self) -> None:
        if not self.lease.is_held:
            return
        try:
            file = self._current.refresh()
            if file is not None:
                self.controller.reconcile(file)
        except HemlockError as error:
            log_event(Event.CONTROL_PASS_FAILED, "warning", kind=error.kind, detail=error.detail)
        except Exception as error:
            log_event(Event.TASK_FAILED, "error", task="control", error=repr(error))
