"""The failure detector: probes the linked members, directly and through helpers."""

import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass

import gevent

from hemlockswitch.connection.messages import register_message
from hemlockswitch.connection.peers import PeerNetwork
from hemlockswitch.core.clock import MS_PER_SECOND, Clock
from hemlockswitch.core.errors import ErrorKind, PeerError
from hemlockswitch.process.gossip.gossip import Gossip
from hemlockswitch.process.membership.members import Member

SWEEP_INTERVAL_MS = 500
MAX_HELPERS = 3
ZONE_SAMPLE_SIZE = 3
PAUSE_FACTOR = 2


@register_message("probe")
@dataclass(frozen=True)
class Probe:
    """A heartbeat request.

    Parameters
    ==========

    target : the member that must answer; a different member at its address must refuse.
    zone : the prober's zone.
    """

    target: str
    zone: str


@register_message("ack")
@dataclass(frozen=True)
class Ack:
    """The reply to a probe: the digest of the items that the two daemons' zones share."""

    digest: int


@register_message("probe-for")
@dataclass(frozen=True)
class ProbeFor:
    """Asks the receiver to probe the member `target` at `address` on behalf of the sender."""

    target: str
    address: str
    zone: str


@register_message("probed-for")
@dataclass(frozen=True)
class ProbedFor:
    """The reply to `ProbeFor`: whether the member answered."""

    answered: bool


@dataclass(frozen=True)
class ProbeTimes:
    """The times of the failure detector in milliseconds.

    Parameters
    ==========

    period_ms : each linked member is probed once per period.
    direct_timeout_ms : timeout of a direct probe.
    indirect_timeout_ms : timeout of a probe through a helper.
    suspicion_timeout_ms : a suspect that does not refute within this time is declared dead.
    retry_dead_interval_ms : average time between attempts to reach a dead member.
    """

    period_ms: float = 2_000
    direct_timeout_ms: float = 500
    indirect_timeout_ms: float = 1_000
    suspicion_timeout_ms: float = 3_000
    retry_dead_interval_ms: float = 5_000

    @classmethod
    def from_period(cls, period_ms: float) -> "ProbeTimes":
        """Return times for a probe period, in the proportions of the defaults.

        Examples
        ========

        >>> ProbeTimes.from_period(2_000) == ProbeTimes()
        True
        """
        shares = (1, 0.25, 0.5, 1.5, 2.5)
        return cls(*(share * period_ms for share in shares))

    @property
    def detection_ms(self) -> float:
        """Maximum time from a daemon's failure until the daemons that probe it declare it dead."""
        probing_ms = self.period_ms + 2 * self.direct_timeout_ms + self.indirect_timeout_ms
        return probing_ms + self.suspicion_timeout_ms + 2 * SWEEP_INTERVAL_MS


class Prober:
    """Probes the linked members each period and reports those that cannot be reached.

    Explanation
    ===========

    A member that does not answer is probed through helpers: one of its zone, one of this daemon's
    zone and one of a third zone if there is one, so that a broken link alone raises no suspicion.
    If a member of another zone cannot be reached, a sample of that zone is probed; if none answers,
    all live members of the zone are reported. Nothing is reported after a probe during which this
    process was paused or no other peer answered.

    Parameters
    ==========

    list_probed : returns the members to probe.
    list_live : returns the members that are assumed to be running.
    report : called with the members that cannot be reached.
    """

    def __init__(
        self,
        own: Member,
        network: PeerNetwork,
        gossip: Gossip,
        times: ProbeTimes,
        clock: Clock,
        list_probed: Callable[[], Iterable[Member]],
        list_live: Callable[[], list[Member]],
        report: Callable[[list[Member]], None],
    ) -> None:
        self.last_answer_ms = clock.now_ms()
        self._own = own
        self._network = network
        self._gossip = gossip
        self._times = times
        self._clock = clock
        self._list_probed = list_probed
        self._list_live = list_live
        self._report = report
        self._busy: set[str] = set()
        network.handle(Probe, self._answer_probe, runs_inline=True)
        network.handle(ProbeFor, self._answer_probe_for)

    def run(self) -> None:
        """Probe each linked member once per period, evenly spaced, without end."""
        while True:
            probed = list(self._list_probed())
            step_ms = self._times.period_ms / max(len(probed), 1)
            for member in probed:
                if member.name not in self._busy:
                    self._busy.add(member.name)
                    gevent.spawn(self._probe_member, member)
                gevent.sleep(step_ms / MS_PER_SECOND)
            if not probed:
                gevent.sleep(step_ms / MS_PER_SECOND)

    def probe(self, target: str, address: str, zone: str, timeout_ms: float) -> bool:
        """Probe one member at its address and return whether it answered."""
        try:
            ack = self._network.request(address, Probe(target, self._own.zone), timeout_ms)
        except PeerError:
            return False
        self.last_answer_ms = self._clock.now_ms()
        self._gossip.check_digest(address, zone, ack.digest)
        return True

    def _probe_member(self, member: Member) -> None:
        try:
            started_ms = self._clock.now_ms()
            timeout_ms = self._times.direct_timeout_ms
            if self.probe(member.name, member.peer_address, member.zone, timeout_ms):
                return
            if self._probe_indirectly(member):
                return
            unresponsive = self._find_unresponsive(member)
            allowed_ms = self._times.direct_timeout_ms + 2 * self._times.indirect_timeout_ms
            paused = self._clock.now_ms() - started_ms > PAUSE_FACTOR * allowed_ms
            # If no other peer answered either, the fault may be on this daemon's side.
            any_answer = self.last_answer_ms >= started_ms
            if any_answer and not paused:
                self._report(unresponsive)
        finally:
            self._busy.discard(member.name)

    def _find_unresponsive(self, member: Member) -> list[Member]:
        if member.zone == self._own.zone:
            return [member]
        others = [one for one in self._list_live() if one.zone == member.zone and one != member]
        sample = random.sample(others, min(ZONE_SAMPLE_SIZE, len(others)))
        timeout_ms = self._times.direct_timeout_ms
        tasks = [
            gevent.spawn(self.probe, one.name, one.peer_address, one.zone, timeout_ms)
            for one in sample
        ]
        gevent.joinall(tasks)
        return [member] if any(task.value for task in tasks) else [member, *others]

    def _probe_indirectly(self, member: Member) -> bool:
        tasks = [
            gevent.spawn(self._request_probe, one, member) for one in self._choose_helpers(member)
        ]
        gevent.joinall(tasks)
        return any(task.value for task in tasks)

    def _request_probe(self, helper: Member, member: Member) -> bool:
        message = ProbeFor(member.name, member.peer_address, member.zone)
        try:
            reply = self._network.request(
                helper.peer_address, message, self._times.indirect_timeout_ms
            )
        except PeerError:
            return False
        self.last_answer_ms = self._clock.now_ms()
        return reply.answered

    def _choose_helpers(self, member: Member) -> list[Member]:
        others = [one for one in self._list_live() if one.name not in (member.name, self._own.name)]
        random.shuffle(others)
        chosen: dict[str, Member] = {}
        for one in others:
            place = one.zone if one.zone in (member.zone, self._own.zone) else ""
            chosen.setdefault(place, one)
        for one in others:
            if len(chosen) >= MAX_HELPERS:
                break
            chosen.setdefault(one.name, one)
        return list({one.name: one for one in chosen.values()}.values())

    def _answer_probe(self, sender: str, probe: Probe) -> Ack:
        if probe.target != self._own.name:
            raise PeerError(
                ErrorKind.BAD_REQUEST, f"probe is for another daemon; this is {self._own.name}"
            )
        return Ack(self._gossip.compute_digest(probe.zone))

    def _answer_probe_for(self, sender: str, message: ProbeFor) -> ProbedFor:
        timeout_ms = self._times.direct_timeout_ms
        return ProbedFor(self.probe(message.target, message.address, message.zone, timeout_ms))
