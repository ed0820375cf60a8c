"""Which backend servers this gateway cannot reach now, by failure domain: one server, or a zone.

A partition is silent: a request that is sent into it waits until its time is up, and one that may
run only once is lost. Evidence of a partition comes from three sides:

- a server that a connection cannot be made to;
- two servers of a zone in a row that do not answer an opening packet: the zone is cut off;
- a zone from which nothing at all was heard for a while, neither from its gateways, which report
  several times a second, nor from its servers, whose answers count as well: gateways that were
  killed leave servers that work.

Suspects get no requests while there are others. They are asked for a connection again and again,
which risks no request, and the first one that opens ends the suspicion; it is kept for the next
request.
"""

import random
from collections import defaultdict
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from hemlockswitch.core.clock import Clock
from hemlockswitch.core.events import Event
from hemlockswitch.core.logs import log_event
from hemlockswitch.process.gateway.report_period import MISSED_REPORTS, SILENT_GAPS, ReportPeriod
from hemlockswitch.version.backend import BackendServer

SILENT_MS = 500.0
"""How long nothing may be heard from a zone at the least; its gateways' own periods may ask for more."""
LEAST_CONNECT_MS = 150.0
MOST_CONNECT_MS = 500.0
"""Bounds of the time to wait for a connection: above a pause of the own process for a large
configuration, and below the second after which a dropped opening packet is sent again."""
CONNECT_FACTOR = 10.0
"""How many times the usual time a connection may take; queues at a busy server are part of it."""
SMOOTHING = 0.2
"""Weight of one connection in the usual time."""
LOOK_MS = 100.0
"""Time between two looks for silent zones."""
STALL_MS = 250.0
"""A look that comes this late shows that the process itself stood still."""
PRIOR_DISTANCE_MS = 3.0
"""What the way to another zone is assumed to take longer before connections were made: two crossings
of about a millisecond."""
CROSSING_MS = 1.0
"""What the bytes between zones cost beside the time: little against a prompt that is read again."""
PROBE_MS = 200.0
"""Time between two tries to connect to suspects of a zone: how late its return may be noticed."""
MOST_PROBES = 2
"""Suspects of one zone that are tried at once, drawn at random; a zone that returns answers with any
server, and one server among several suspects is tried within a second."""
RETURN_MS = 1_500.0
"""How long after its return a zone's silence counts for nothing: streams to its gateways that broke
are made anew only after a pause."""
ZONE_EVIDENCE = 2
"""Servers of a zone that must fall silent, without one that answers in between, for the zone to be
suspected before it has been silent for long."""


@dataclass(frozen=True)
class _Word:
    """When a gateway was heard, and within which time it said that it would report again."""

    heard_ms: float
    period_ms: float


@dataclass
class _Zone:
    """What is known of a zone."""

    heard_ms: float
    returned_ms: float = float("-inf")
    is_suspect: bool = False
    probed_ms: float = float("-inf")
    timed_out: set[str] = field(default_factory=set)  # incarnations, since a server answered
    words: dict[str, _Word] = field(default_factory=dict)  # by gateway

    def find_silence_ms(self) -> float:
        """Return how long nothing may be heard from the zone."""
        talking = [
            word
            for word in self.words.values()
            if self.heard_ms - word.heard_ms <= MISSED_REPORTS * word.period_ms
        ]
        if not talking:
            return SILENT_MS
        gap_ms = 1.0 / sum(1.0 / word.period_ms for word in talking)
        shortest_ms = min(word.period_ms for word in talking)
        return max(SILENT_MS, min(MISSED_REPORTS * shortest_ms, SILENT_GAPS * gap_ms))


class Reachability:
    """Who can be reached.

    Parameters
    ==========

    zone : this gateway's availability zone; its own silence is no evidence.
    get_period : returns the time between two reports of the gateways of this zone.
    clock : the time.
    on_zone_lost : called with a zone when it becomes a suspect.
    """

    def __init__(
        self,
        zone: str,
        get_period: Callable[[], ReportPeriod],
        clock: Clock,
        on_zone_lost: Callable[[str], None] = lambda _: None,
    ) -> None:
        self._zone = zone
        self._get_period = get_period
        self._clock = clock
        self._on_zone_lost = on_zone_lost
        self._zones: dict[str, _Zone] = {}
        self._suspects: dict[str, BackendServer] = {}
        self._reached_ms: dict[str, float] = {}
        self._connect_ms: dict[str, float] = {}
        self._looked_ms = clock.now_ms()

    def is_suspect(self, server: BackendServer) -> bool:
        """Return whether a server should get nothing while others can."""
        zone = self._zones.get(server.zone)
        return server.incarnation in self._suspects or (zone is not None and zone.is_suspect)

    def select_reachable(self, servers: list[BackendServer]) -> list[BackendServer]:
        """Return the servers that are no suspects; all of them if every one is."""
        return [server for server in servers if not self.is_suspect(server)] or servers

    def find_connect_timeout_ms(self) -> float:
        """Return how long to wait for a connection."""
        if not self._connect_ms:
            return MOST_CONNECT_MS
        usual_ms = max(self._connect_ms.values())
        return min(max(CONNECT_FACTOR * usual_ms, LEAST_CONNECT_MS), MOST_CONNECT_MS)

    def find_distance_ms(self, zone: str) -> float:
        """Return how much longer a request to a zone is on its way than inside the own zone."""
        if zone == self._zone:
            return 0.0
        if zone not in self._connect_ms or self._zone not in self._connect_ms:
            return PRIOR_DISTANCE_MS
        longer_ms = self._connect_ms[zone] - self._connect_ms[self._zone]
        return max(longer_ms, 0.0) + CROSSING_MS

    def note_heard(self, zone: str) -> None:
        """Something came from a zone: a report, or bytes of a server's answer."""
        known = self._zones.setdefault(zone, _Zone(self._clock.now_ms()))
        known.heard_ms = self._clock.now_ms()
        if known.is_suspect:
            known.is_suspect = False
            known.returned_ms = self._clock.now_ms()
            known.timed_out.clear()
            log_event(Event.ZONE_REACHED, zone=zone)

    def note_connected(self, server: BackendServer, took_ms: float) -> None:
        """A connection to a server was made."""
        usual_ms = self._connect_ms.get(server.zone, took_ms)
        self._connect_ms[server.zone] = usual_ms + SMOOTHING * (took_ms - usual_ms)
        self.note_answer(server)

    def note_answer(self, server: BackendServer) -> None:
        """Bytes came from a server."""
        self.note_heard(server.zone)
        self._zones[server.zone].timed_out.clear()
        self._reached_ms[server.incarnation] = self._clock.now_ms()
        if self._suspects.pop(server.incarnation, None) is not None:
            log_event(Event.BACKEND_REACHED, server=server.incarnation)

    def note_unreachable(self, server: BackendServer, *, is_silent: bool) -> None:
        """No connection to a server could be made.

        Parameters
        ==========

        is_silent : nothing answered at all; a refusal concerns this server alone.
        """
        self._suspect(server, "unreachable")
        if not is_silent:
            return
        known = self._zones.setdefault(server.zone, _Zone(self._clock.now_ms()))
        known.timed_out.add(server.incarnation)
        if server.zone != self._zone and len(known.timed_out) >= ZONE_EVIDENCE:
            self._lose(server.zone, known)

    def note_report(self, zone: str, gateway: str, period_ms: float) -> None:
        """A gateway of a zone lives, and will report again within a period."""
        self.note_heard(zone)
        if period_ms > 0:
            self._zones[zone].words[gateway] = _Word(self._clock.now_ms(), period_ms)

    def take_unreachable(
        self, zone: str, unreachable: Iterable[str], known: Iterable[BackendServer]
    ) -> None:
        """Take the servers that a gateway of a zone suspects.

        A gateway of the own zone is on the same side of a partition, so its word counts until a
        server has answered this gateway.
        """
        told = set(unreachable)
        if zone != self._zone or not told:
            return
        oldest_ms = self._clock.now_ms() - self._get_period().told_ms
        for server in known:
            reached_ms = self._reached_ms.get(server.incarnation, float("-inf"))
            if server.incarnation in told and reached_ms < oldest_ms:
                self._suspect(server, "told")

    def describe_unreachable(self) -> list[str]:
        """Return the servers that this gateway suspects by themselves, for others."""
        return sorted(self._suspects)

    def look(self) -> None:
        """Suspect the zones that have fallen silent; to be called several times a second."""
        now_ms = self._clock.now_ms()
        if now_ms - self._looked_ms > STALL_MS:
            # What came meanwhile is yet to be read.
            for known in self._zones.values():
                known.heard_ms = now_ms
        self._looked_ms = now_ms
        for zone, known in self._zones.items():
            since_ms = max(known.heard_ms, known.returned_ms + RETURN_MS)
            if zone != self._zone and now_ms - since_ms > known.find_silence_ms():
                self._lose(zone, known)

    def list_probes(self, servers: Iterable[BackendServer]) -> list[BackendServer]:
        """Return the suspects to try a connection to now: a few of each zone."""
        now_ms = self._clock.now_ms()
        by_zone: dict[str, list[BackendServer]] = defaultdict(list)
        for server in servers:
            if self.is_suspect(server):
                by_zone[server.zone].append(server)
        chosen: list[BackendServer] = []
        for zone, suspects in by_zone.items():
            known = self._zones.setdefault(zone, _Zone(now_ms))
            if now_ms - known.probed_ms >= PROBE_MS:
                known.probed_ms = now_ms
                chosen += random.sample(suspects, min(MOST_PROBES, len(suspects)))
        return chosen

    def forget(self, server: BackendServer) -> None:
        """Forget a server that is gone."""
        self._suspects.pop(server.incarnation, None)
        self._reached_ms.pop(server.incarnation, None)

    def _suspect(self, server: BackendServer, reason: str) -> None:
        if server.incarnation not in self._suspects:
            log_event(
                Event.BACKEND_SUSPECTED, server=server.incarnation, zone=server.zone, reason=reason
            )
        self._suspects[server.incarnation] = server

    def _lose(self, zone: str, known: _Zone) -> None:
        if known.is_suspect:
            return
        known.is_suspect = True
        silent_ms = round(self._clock.now_ms() - known.heard_ms)
        timed_out = sorted(known.timed_out)
        log_event(
            Event.ZONE_UNREACHABLE, "warning", zone=zone, silent_ms=silent_ms, servers=timed_out
        )
        self._on_zone_lost(zone)
