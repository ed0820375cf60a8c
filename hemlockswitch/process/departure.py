"""The shutdown of an entry daemon, started by a signal or a reclaim notice."""

from collections.abc import Callable

from gevent.event import Event as Signal

from hemlockswitch.core.clock import Clock
from hemlockswitch.core.events import Event
from hemlockswitch.core.logs import log_event
from hemlockswitch.process.cluster_state import ClusterState
from hemlockswitch.process.gossip.state import GossipItem
from hemlockswitch.process.handover.handover import Handover, HandoverMember
from hemlockswitch.process.handover.messages import (
    ConfirmTake,
    DropState,
    FindState,
    HandOver,
    TakeState,
)
from hemlockswitch.process.handover.resuming import Resuming
from hemlockswitch.process.handover.state_store import StateStore
from hemlockswitch.process.membership.members import MemberState
from hemlockswitch.process.records import RequestRecords
from hemlockswitch.process.servers.backends import NOTICE_PREFIX
from hemlockswitch.process.serving import Serving
from hemlockswitch.process.shares.factory import list_share_members
from hemlockswitch.request.admission import Admission
from hemlockswitch.request.attempt import AttemptOpener
from hemlockswitch.request.relay import Relay
from hemlockswitch.version.settings import EntrySettings

DEFAULT_NOTICE_MS = 5_000.0


class Departure:
    """Detects that this daemon must leave, and hands over its generations.

    Parameters
    ==========

    settings : settings of this daemon.
    cluster_state : its gossip items, members and peer network.
    clock : the process's clock.
    relay : the generations in progress.
    opener : ends the engine streams of generations that were not fetched.
    count : called with the outcome of each generation.
    """

    def __init__(
        self,
        settings: EntrySettings,
        cluster_state: ClusterState,
        clock: Clock,
        relay: Relay,
        opener: AttemptOpener,
        count: Callable[[str], None],
    ) -> None:
        self._settings = settings
        self._cluster_state = cluster_state
        self._clock = clock
        self.stop_requested = Signal()
        self._count = count
        self.store = StateStore(clock, opener.cancel, count)
        self.handover = Handover(
            name=settings.name,
            zone=settings.zone,
            clock=clock,
            network=cluster_state.network,
            list_members=lambda: list_share_members(cluster_state.membership),
            list_running=lambda: list(relay.running.values()),
            store=self.store,
            count=count,
        )
        self._serve_peers()
        cluster_state.gossip_state.add_listener(
            f"{NOTICE_PREFIX}{settings.name}", self._handle_notice
        )
        cluster_state.directory.add_leaving_listener(self._handle_leaving)

    def build_resuming(
        self, admission: Admission, records: RequestRecords, serving: Serving
    ) -> Resuming:
        """Return the service that resumes requests handed over to this daemon."""
        return Resuming(
            name=self._settings.name,
            clock=self._clock,
            network=self._cluster_state.network,
            list_members=self._list_holders,
            store=self.store,
            admission=admission,
            records=records,
            answer=serving.answer,
            count=self._count,
        )

    def request(self) -> None:
        """Request a departure within the settings' grace period; called by signal handlers."""
        self.handover.set_deadline(self._clock.now_ms() + self._settings.stop_grace_ms)
        self.stop_requested.set()

    def run(self, is_busy: Callable[[], bool]) -> None:
        """Announce the departure, finish what fits in the time and hand over the remainder."""
        self.request()
        if self._cluster_state.membership is not None:
            self._cluster_state.membership.leave()
        self.handover.run(is_busy)
        log_event(Event.HANDOVER_ENDED, counts=self.handover.describe())

    def _serve_peers(self) -> None:
        network = self._cluster_state.network
        network.handle(HandOver, self.store.put, runs_inline=True)
        network.handle(FindState, self.store.find, runs_inline=True)
        network.handle(TakeState, self.store.reserve, runs_inline=True)
        network.handle(ConfirmTake, self.store.confirm, runs_inline=True)
        network.handle(DropState, self.store.drop, runs_inline=True)

    def _handle_notice(self, item: GossipItem) -> None:
        if item.key != f"{NOTICE_PREFIX}{self._settings.name}" or item.value is None:
            return
        left_ms = int(item.value.get("deadline_wall_ms", 0)) - self._clock.wall_ms()
        self._leave_in(left_ms)

    def _handle_leaving(self, name: str, deadline_wall_ms: int) -> None:
        # The VM list shows that the VM is leaving, but not when.
        if name == self._settings.name and not deadline_wall_ms:
            self._leave_in(DEFAULT_NOTICE_MS)

    def _leave_in(self, left_ms: float) -> None:
        log_event(Event.ENTRY_LEAVING, left_ms=int(left_ms))
        self.handover.set_deadline(self._clock.now_ms() + left_ms)
        self.stop_requested.set()

    def _list_holders(self) -> list[HandoverMember]:
        """Return the entry daemons that may store states, both live and leaving ones."""
        membership = self._cluster_state.membership
        members = membership.list_members() if membership is not None else []
        return [
            HandoverMember(member.name, member.zone, member.peer_address, not member.is_live)
            for member in members
            if member.caller_address and member.state is not MemberState.DEAD
        ]
