"""The status of each zone for operators: a platform object written by one daemon at a low rate.

Explanation
===========

Every daemon sends a short report to its zone's reporter, the first of the rendezvous order over
the zone's live daemons: immediately when a revision comes in force, and otherwise at a long
interval. The reporter writes ``status/<zone>``. So the number of platform writes grows with the
number of zones, not of daemons. If a zone is disconnected from the platform, the whole zone's
status stops changing, and its age shows for how long.
"""

import random
from collections.abc import Callable, Sequence
from dataclasses import asdict, dataclass
from typing import Any

from gevent.event import Event as Signal

from hemlockswitch.connection.messages import register_message
from hemlockswitch.connection.peers import PeerNetwork
from hemlockswitch.connection.stored_objects import ConditionalStore, Conflict, Unknown
from hemlockswitch.core.clock import MS_PER_SECOND, Clock
from hemlockswitch.core.errors import PlatformError
from hemlockswitch.core.events import Event
from hemlockswitch.core.identifiers import rank_rendezvous
from hemlockswitch.core.logs import log_event

STATUS_KIND = "status"
REPORT_INTERVAL_MS = 10_000
REPORTER_CHECK_MS = 1_000
WRITE_INTERVAL_MS = 10_000
MIN_WRITE_INTERVAL_MS = 1_000
FAILED_WRITE_PAUSE_MS = 2_000
MAX_REPORTS = 1_024


@register_message("daemon-report")
@dataclass(frozen=True)
class DaemonReport:
    """A daemon's report about itself.

    Parameters
    ==========

    name : name of the daemon.
    program : its program, such as ``hemlock-entry``.
    revision, digest : of the revision in force there; 0 and empty before the first.
    ready : whether it accepts new work.
    details : further values for operators.
    """

    name: str
    program: str
    revision: int
    digest: str
    ready: bool
    details: dict[str, Any]


@dataclass(frozen=True)
class ZoneMember:
    """A live daemon of the zone, according to the membership."""

    name: str
    peer_address: str


@dataclass(frozen=True)
class _ReceivedReport:
    report: DaemonReport
    received_ms: float


class ZoneStatus:
    """Sends this daemon's reports, and writes the zone's status while it is the reporter.

    Parameters
    ==========

    zone, name : of this daemon.
    describe : returns this daemon's report.
    list_members : returns the live daemons of the zone, including this one.
    network : the connections to peers.
    objects : the platform's object service.
    clock : provides the time.
    """

    def __init__(
        self,
        zone: str,
        name: str,
        describe: Callable[[], DaemonReport],
        list_members: Callable[[], Sequence[ZoneMember]],
        network: PeerNetwork,
        objects: ConditionalStore,
        clock: Clock,
    ) -> None:
        self._zone = zone
        self._name = name
        self._describe = describe
        self._list_members = list_members
        self._network = network
        self._objects = objects
        self._clock = clock
        self._reports: dict[str, _ReceivedReport] = {}
        self._version = 0
        self._wake_report = Signal()
        self._wake_write = Signal()
        network.handle(DaemonReport, self._receive_report, runs_inline=True)

    def report_soon(self) -> None:
        """Request a report before the interval is over, without blocking."""
        self._wake_report.set()

    def report(self) -> None:
        """Send this daemon's report to the zone's reporter."""
        report = self._describe()
        reporter = self._find_reporter()
        if reporter is None or reporter.name == self._name:
            self._receive_report("", report)
        else:
            self._network.send(reporter.peer_address, report)

    def write(self) -> bool:
        """Write the zone's status if this daemon is the reporter; return whether it was written.

        Raises
        ======

        PlatformError : the platform does not answer.
        """
        reporter = self._find_reporter()
        if reporter is not None and reporter.name != self._name:
            return False
        value = self.make_value()
        if self._version == 0:
            outcome = self._objects.create(STATUS_KIND, self._zone, value)
        else:
            outcome = self._objects.update(STATUS_KIND, self._zone, value, self._version)
        if isinstance(outcome, Unknown):
            return False
        self._version = outcome.version
        return not isinstance(outcome, Conflict)

    def make_value(self) -> dict[str, Any]:
        """Return the status object's value."""
        now_ms = self._clock.now_ms()
        members = sorted(member.name for member in self._list_members()) or [self._name]
        self._reports = {name: one for name, one in self._reports.items() if name in members}
        return {
            "zone": self._zone,
            "writer": self._name,
            "written_wall_ms": self._clock.wall_ms(),
            "daemons": [self._describe_member(name, now_ms) for name in members],
        }

    def _describe_member(self, name: str, now_ms: float) -> dict[str, Any]:
        received = self._reports.get(name)
        if received is None:
            return {"name": name, "revision": 0, "ready": False, "age_ms": None}
        return asdict(received.report) | {"age_ms": round(now_ms - received.received_ms)}

    def _find_reporter(self) -> ZoneMember | None:
        members = {member.name: member for member in self._list_members()}
        ranked = rank_rendezvous(f"{STATUS_KIND}/{self._zone}", members)
        return members[ranked[0]] if ranked else None

    def _receive_report(self, _: str, report: DaemonReport) -> None:
        if len(self._reports) >= MAX_REPORTS and report.name not in self._reports:
            return
        before = self._reports.get(report.name)
        self._reports[report.name] = _ReceivedReport(report, self._clock.now_ms())
        reported = (report.revision, report.ready)
        if before is None or (before.report.revision, before.report.ready) != reported:
            self._wake_write.set()

    def run_reports(self) -> None:
        """Report on a change, to a new reporter and after each interval, without end."""
        last_reporter: ZoneMember | None = None
        due_ms = 0.0
        while True:
            reporter = self._find_reporter()
            if (
                self._wake_report.is_set()
                or reporter != last_reporter
                or self._clock.now_ms() >= due_ms
            ):
                self._wake_report.clear()
                self.report()
                last_reporter = reporter
                due_ms = self._clock.now_ms() + REPORT_INTERVAL_MS * random.uniform(0.8, 1.2)
            self._wake_report.wait(REPORTER_CHECK_MS / MS_PER_SECOND)

    def run_writes(self) -> None:
        """Write the status periodically while this daemon is the reporter, without end."""
        failing = False
        while True:
            self._wake_write.wait(WRITE_INTERVAL_MS / MS_PER_SECOND)
            self._wake_write.clear()
            try:
                written = self.write()
                failing = False
            except PlatformError as error:
                written = False
                if not failing:
                    log_event(Event.ZONE_STATUS_FAILED, "warning", reason=error.detail)
                failing = True
            pause_ms = FAILED_WRITE_PAUSE_MS if failing else MIN_WRITE_INTERVAL_MS
            self._clock.sleep_ms(pause_ms * random.uniform(0.8, 1.2))
            if failing or not written:
                self._wake_write.set()
