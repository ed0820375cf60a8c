"""A daemon's configuration, and the tasks that update it and report it to operators."""

import random
from collections.abc import Callable
from typing import Any

from hemlockswitch.connection.stored_objects import StoredObject
from hemlockswitch.core.clock import Clock
from hemlockswitch.core.errors import ErrorKind, PlatformError
from hemlockswitch.process.cluster_state import ClusterState
from hemlockswitch.process.membership.members import Member
from hemlockswitch.process.revisions.configuration import Configuration
from hemlockswitch.process.revisions.store import RevisionStore, read_pointer
from hemlockswitch.process.revisions.updates import RevisionUpdater
from hemlockswitch.process.servers.watchers import Pointer, Watcher
from hemlockswitch.process.status.zone_status import DaemonReport, ZoneMember, ZoneStatus
from hemlockswitch.version.revisions import CURRENT_POINTER, POINTER_KIND

READ_TIMEOUT_MS = 0.0
"""A read is not retried: the tasks that read have their own retry intervals."""


def follow_pointer(configuration: Configuration, store: RevisionStore, item: StoredObject) -> None:
    """Put the revision that the pointer names in force, if its number is higher.

    Raises
    ======

    PlatformError : the platform does not show the revision yet; the pointer must be read again.
    """
    pointer = read_pointer(item.value)
    if pointer.number <= configuration.revision:
        return
    revision = store.read_revision(pointer.number)
    if revision is None or revision.digest != pointer.digest:
        detail = f"revision {pointer.number} cannot be read from the platform yet"
        raise PlatformError(ErrorKind.PLATFORM_UNAVAILABLE, detail)
    configuration.adopt(revision, "platform")


class RevisionTasks:
    """Connects a daemon's configuration with the platform, its peers and its zone's status.

    Parameters
    ==========

    cluster_state : the daemon's members, gossip items, network and platform client.
    name, zone, program : of the daemon.
    clock : the daemon's clock.
    is_ready : returns whether the daemon accepts new work.
    describe : returns further values for the zone's status.
    """

    def __init__(
        self,
        cluster_state: ClusterState,
        name: str,
        zone: str,
        program: str,
        clock: Clock,
        is_ready: Callable[[], bool],
        describe: Callable[[], dict[str, Any]] = dict,
    ) -> None:
        self.configuration = Configuration(clock)
        self._cluster_state = cluster_state
        self._name = name
        self._zone = zone
        self._program = program
        self._clock = clock
        self._is_ready = is_ready
        self._describe = describe
        self._store = RevisionStore(cluster_state.platform, clock, READ_TIMEOUT_MS)
        self.updater = RevisionUpdater(
            self.configuration,
            cluster_state.gossip_state,
            cluster_state.network,
            self.list_peers,
            lambda: self._store.read_current().revision,
            clock,
        )
        self.zone_status = ZoneStatus(
            zone,
            name,
            self.make_report,
            self.list_zone,
            cluster_state.network,
            cluster_state.platform,
            clock,
        )
        self.configuration.add_listener(lambda _: self.zone_status.report_soon())

    def start(self, spawn: Callable[[str, Callable[[], None]], None]) -> None:
        """Start the tasks; `spawn` runs a named task until the daemon stops."""
        pointer = Pointer(self._cluster_state.platform, POINTER_KIND, CURRENT_POINTER, self.follow)
        watcher = Watcher(
            "revision pointer", self._cluster_state.post, pointer.query, 0, self._clock
        )
        spawn("revision pointer", watcher.run)
        spawn("revision spread", self.updater.run)
        spawn("zone reports", self.zone_status.run_reports)
        spawn("zone status", self.zone_status.run_writes)

    def follow(self, item: StoredObject) -> None:
        """Put the revision that the pointer names in force; raises as `follow_pointer` does."""
        follow_pointer(self.configuration, self._store, item)

    def list_peers(self) -> list[str]:
        """Return the peer addresses of the live peers, those of this zone first."""
        members = [one for one in self._list_live() if one.name != self._name]
        random.shuffle(members)
        members.sort(key=lambda member: member.zone != self._zone)
        return [member.peer_address for member in members]

    def list_zone(self) -> list[ZoneMember]:
        """Return the zone's live daemons that serve callers."""
        return [
            ZoneMember(member.name, member.peer_address)
            for member in self._list_live()
            if member.zone == self._zone and member.caller_address
        ]

    def make_report(self) -> DaemonReport:
        """Return this daemon's report for the zone's status."""
        return DaemonReport(
            self._name,
            self._program,
            self.configuration.revision,
            self.configuration.digest,
            self._is_ready(),
            self._describe(),
        )

    def describe_status(self) -> dict[str, Any]:
        """Return the part of ``GET /status`` about the configuration."""
        steps = [
            {"number": step.number, "wall_ms": step.wall_ms, "source": step.source}
            for step in self.configuration.adoptions
        ]
        return {
            "number": self.configuration.revision,
            "digest": self.configuration.digest,
            "in_force": steps,
            "received": vars(self.updater.counts),
        }

    def _list_live(self) -> list[Member]:
        membership = self._cluster_state.membership
        return [] if membership is None else membership.list_live()
