"""The members of the system, with their addresses and states."""

import contextlib
import random
from collections.abc import Callable, Iterable
from dataclasses import replace

import gevent

from hemlockswitch.connection.peers import PeerNetwork
from hemlockswitch.core.clock import MS_PER_SECOND, Clock, SystemClock
from hemlockswitch.core.errors import HemlockError, PeerError
from hemlockswitch.core.events import Event
from hemlockswitch.core.identifiers import rank_rendezvous
from hemlockswitch.core.logs import log_event
from hemlockswitch.process.gossip.gossip import Gossip
from hemlockswitch.process.gossip.state import GossipItem, GossipState
from hemlockswitch.process.membership.members import MEMBER_PREFIX, Member, MemberState
from hemlockswitch.process.membership.overlay import Links, choose_links
from hemlockswitch.process.membership.probes import SWEEP_INTERVAL_MS, Prober, ProbeTimes

__all__ = ["Member", "MemberState", "Membership", "ProbeTimes"]

MemberListener = Callable[[Member], None]

INITIAL_JOIN_RETRY_MS = 200
MAX_JOIN_RETRY_MS = 5_000
DISCOVERY_INTERVAL_MS = 10_000


class Membership:
    """This daemon's local view of the members of the system.

    Explanation
    ===========

    Each member is a gossip item whose version increases with the member's incarnation and, within
    one incarnation, with its state; `Gossip` disseminates these items like any others. Only the
    daemon itself increases its incarnation: when it receives a report that it is suspect or dead,
    it refutes the report with a higher incarnation.

    A daemon that has had no answer from any peer for the detection time is isolated. It then
    reports no peer as failed, since the fault is most likely its own link. While it is isolated,
    `list_members` shows the peers as dead.

    Parameters
    ==========

    own : this daemon; its `peer_address` and `incarnation` are set when it starts.
    seeds : peer addresses to join by.
    discover : returns further peer addresses, such as those of the platform's VM list; it may
        raise a `HemlockError`, and is called rarely.
    """

    def __init__(
        self,
        own: Member,
        gossip_state: GossipState,
        network: PeerNetwork,
        gossip: Gossip,
        *,
        seeds: Iterable[str] = (),
        discover: Callable[[], list[str]] = list,
        clock: Clock | None = None,
        times: ProbeTimes | None = None,
    ) -> None:
        self.times = times or ProbeTimes()
        self.joined = False
        self._own = own
        self._gossip_state = gossip_state
        self._network = network
        self._gossip = gossip
        self._seeds = tuple(seeds)
        self._discover = discover
        self._clock = clock or SystemClock()
        self._members: dict[str, Member] = {}
        self._listeners: list[MemberListener] = []
        self._links: Links | None = None
        self._suspected_ms: dict[str, float] = {}
        self._active_ms = 0.0
        self._was_isolated = False
        self._prober = self._make_prober()
        self._tasks: list[gevent.Greenlet] = []
        gossip_state.add_listener(MEMBER_PREFIX, self._apply_item)

    def _make_prober(self) -> Prober:
        return Prober(
            self._own,
            self._network,
            self._gossip,
            self.times,
            self._clock,
            lambda: self._find_links().probed,
            lambda: [member for member in self._members.values() if member.is_live],
            self._suspect,
        )

    def start(self) -> None:
        """Announce this daemon, and start to join and probe its peers in the background."""
        address = self._network.address
        incarnation = self._clock.wall_ms()
        self._own = replace(self._own, peer_address=address, incarnation=incarnation)
        self._gossip_state.record(self._own.to_item())
        self._gossip.start(lambda: self._find_links().gossip_peers)
        tasks = (self._join_forever, self._prober.run, self._sweep_forever, self._retry_dead)
        self._tasks = [gevent.spawn(task) for task in tasks]

    def leave(self) -> None:
        """Announce that this daemon is leaving; it accepts no new work from now on."""
        self._own = replace(self._own, state=MemberState.LEAVING)
        self._gossip_state.record(self._own.to_item())

    def stop(self) -> None:
        """Announce that this daemon has stopped, and stop the tasks."""
        gevent.killall(self._tasks, block=False)
        self._own = replace(self._own, state=MemberState.DEAD)
        self._gossip_state.record(self._own.to_item())
        self._gossip.stop()

    @property
    def own(self) -> Member:
        """This daemon as it announces itself."""
        return self._own

    @property
    def is_isolated(self) -> bool:
        """Whether there are live peers and none has answered for the detection time."""
        has_live_peers = any(
            one.is_live for one in self._members.values() if one.name != self._own.name
        )
        return has_live_peers and not self._was_answered_within(self.times.detection_ms)

    def _was_answered_within(self, span_ms: float) -> bool:
        return self._clock.now_ms() - self._prober.last_answer_ms <= span_ms

    def list_members(self, zone: str | None = None) -> list[Member]:
        """Return the members of one zone or of all zones, including this daemon."""
        members = list(self._members.values())
        if self.is_isolated:
            members = [self._mark_dead(member) for member in members]
        return [member for member in members if zone is None or member.zone == zone]

    def list_live(self, zone: str | None = None) -> list[Member]:
        """Return the members that are assumed to be running: alive or suspect."""
        return [member for member in self.list_members(zone) if member.is_live]

    def list_names(self) -> list[str]:
        """Return the names of the running members of this daemon's zone."""
        return [member.name for member in self.list_live(self._own.zone)]

    def add_listener(self, listener: MemberListener) -> None:
        """Call `listener` with each member whose state or incarnation changed.

        A listener must not block.
        """
        self._listeners.append(listener)

    def _mark_dead(self, member: Member) -> Member:
        if member.name == self._own.name:
            return member
        return replace(member, state=max(member.state, MemberState.DEAD))

    def _find_links(self) -> Links:
        if self._links is None:
            live = [member for member in self._members.values() if member.is_live]
            if self._own.name not in {member.name for member in live}:
                live.append(self._own)
            self._links = choose_links(self._own, live)
        return self._links

    def _apply_item(self, item: GossipItem) -> None:
        try:
            member = Member.from_item(item)
        except (TypeError, ValueError) as error:
            log_event(Event.MEMBER_INVALID, "error", key=item.key, reason=str(error))
            return
        if member.name == self._own.name and member != self._own:
            self._handle_report_on_self(member)
            return
        before = self._members.get(member.name)
        self._members[member.name] = member
        self._record_suspicion(member)
        if before is None or before.is_live != member.is_live or before != member:
            self._links = None
        if before is None or before.state != member.state:
            log_event(Event.MEMBER_CHANGED, member=member.name, state=member.state.name.lower())
        for listener in self._listeners:
            listener(member)

    def _record_suspicion(self, member: Member) -> None:
        if member.state is MemberState.SUSPECT:
            # Rounded up to the next sweep, so that the time to refute is never shortened.
            self._suspected_ms[member.name] = self._active_ms + SWEEP_INTERVAL_MS
        else:
            self._suspected_ms.pop(member.name, None)

    def _handle_report_on_self(self, reported: Member) -> None:
        another_process = reported.peer_address != self._own.peer_address
        if another_process and reported.state is MemberState.ALIVE:
            # The newer process keeps the name. If both refuted, they would outbid each other's
            # incarnation without end.
            log_event(Event.MEMBER_NAME_TAKEN, "error", address=reported.peer_address)
            return
        self._refute(reported)

    def _refute(self, reported: Member) -> None:
        incarnation = max(self._clock.wall_ms(), reported.incarnation + 1)
        self._own = replace(self._own, incarnation=incarnation)
        log_event(Event.MEMBERSHIP_REFUTED, "warning", heard=reported.state.name.lower())
        self._gossip_state.record(self._own.to_item())

    def _suspect(self, unresponsive: list[Member]) -> None:
        if len(unresponsive) > 1:
            log_event(
                Event.ZONE_SUSPECTED,
                "warning",
                zone=unresponsive[0].zone,
                members=len(unresponsive),
            )
        for member in unresponsive:
            known = self._members.get(member.name)
            if known is not None and known.state is MemberState.ALIVE:
                self._gossip_state.record(replace(known, state=MemberState.SUSPECT).to_item())

    def _sweep_forever(self) -> None:
        last_ms = self._clock.now_ms()
        while True:
            gevent.sleep(SWEEP_INTERVAL_MS / MS_PER_SECOND)
            now_ms = self._clock.now_ms()
            # Time in which this process was paused does not count: no refutation could arrive.
            self._active_ms += min(now_ms - last_ms, 2 * SWEEP_INTERVAL_MS)
            last_ms = now_ms
            self._gossip.discard_tombstones()
            self._log_isolation_change()
            if self._was_answered_within(self.times.suspicion_timeout_ms):
                self._expire_suspicions()

    def _log_isolation_change(self) -> None:
        if self.is_isolated != self._was_isolated:
            self._was_isolated = self.is_isolated
            log_event(Event.MEMBERSHIP_ISOLATED, "warning", isolated=self._was_isolated)

    def _expire_suspicions(self) -> None:
        probed = {member.name for member in self._find_links().probed}
        for name, since_ms in list(self._suspected_ms.items()):
            # Daemons that probe the suspect declare it dead first; the others wait twice as long,
            # and act only if all of those have failed as well.
            wait_ms = self.times.suspicion_timeout_ms * (1 if name in probed else 2)
            if self._active_ms - since_ms >= wait_ms:
                self._gossip_state.record(
                    replace(self._members[name], state=MemberState.DEAD).to_item()
                )

    def _retry_dead(self) -> None:
        while True:
            gevent.sleep(
                self.times.retry_dead_interval_ms * random.uniform(0.5, 1.5) / MS_PER_SECOND
            )
            dead = [one for one in self._members.values() if one.state is MemberState.DEAD]
            if dead:
                self._try_address(random.choice(dead).peer_address)

    def _join_forever(self) -> None:
        wait_ms: float = INITIAL_JOIN_RETRY_MS
        while True:
            if self._needs_to_join():
                self._try_candidates()
                wait_ms = (
                    INITIAL_JOIN_RETRY_MS if self.joined else min(wait_ms * 2, MAX_JOIN_RETRY_MS)
                )
            elif self._is_first_of_zone():
                wait_ms = DISCOVERY_INTERVAL_MS
                self._try_candidates()
            else:
                wait_ms = DISCOVERY_INTERVAL_MS
            gevent.sleep(wait_ms * random.uniform(0.75, 1.25) / MS_PER_SECOND)

    def _needs_to_join(self) -> bool:
        return len(self.list_live()) < 2

    def _is_first_of_zone(self) -> bool:
        return rank_rendezvous(self._own.zone, self.list_names())[:1] == [self._own.name]

    def _try_candidates(self) -> None:
        known = {member.peer_address for member in self.list_live()}
        for address in self._list_candidates():
            if address not in known:
                self._try_address(address)

    def _list_candidates(self) -> list[str]:
        candidates = list(self._seeds)
        # The platform may be down: the seeds are still tried, and the next round retries it.
        with contextlib.suppress(HemlockError):
            candidates += self._discover()
        random.shuffle(candidates)
        return [address for address in candidates if address != self._own.peer_address]

    def _try_address(self, address: str) -> None:
        try:
            self._gossip.repair(address)
        except PeerError:
            return
        self._prober.last_answer_ms = self._clock.now_ms()
        if not self.joined:
            self.joined = True
            log_event(Event.MEMBERSHIP_JOINED, through=address)
