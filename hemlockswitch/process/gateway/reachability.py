"""Detection of unreachable backend servers, by failure domain: a single server or a zone.

A partition drops packets without an error: a request that is sent into it waits until its deadline,
and one that may run only once is lost. There are three kinds of evidence of a partition:

- a connection to a server cannot be opened;
- two servers of a zone in a row do not answer an opening packet: the zone is cut off;
- nothing at all is received from a zone for a while, neither from its gateways, which report
  several times a second, nor from its servers. Answers of servers count, because killed gateways
  leave working servers behind.

Suspected servers get no requests while others are available. They are probed by opening connections,
which risks no request. The first connection that opens ends the suspicion and is kept for the next
request.
"""

import random
from collections import defaultdict
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from enum import StrEnum

from hemlockswitch.core.clock import Clock
from hemlockswitch.core.events import Event
from hemlockswitch.core.logs import log_event
from hemlockswitch.process.gateway.isolation import IsolationDetector
from hemlockswitch.process.gateway.report_period import (
    ReportPeriod,
)
from hemlockswitch.process.gateway.zone_state import ReceivedReport, ZoneState
from hemlockswitch.version.backend import BackendServer

MIN_CONNECT_TIMEOUT_MS = 150.0
MAX_CONNECT_TIMEOUT_MS = 500.0
"""Bounds of the connection time-out: longer than this process pauses for a large configuration, and
shorter than the second after which a dropped opening packet is sent again."""
CONNECT_TIMEOUT_FACTOR = 10.0
"""Ratio of the connection time-out to the usual connection time, which includes queueing at a busy
server."""
CONNECT_TIME_SMOOTHING = 0.2
"""Weight of one connection in the moving average of the connection time."""
ZONE_POLL_INTERVAL_MS = 100.0
"""Time between two checks for unresponsive zones."""
MIN_STALL_MS = 250.0
"""A check that is this late shows that the process itself was stalled."""
DEFAULT_ZONE_LATENCY_MS = 3.0
"""Additional latency assumed for another zone before connections have been measured: two crossings of
about a millisecond."""
ZONE_CROSSING_COST_MS = 1.0
"""Cost of traffic between zones, expressed as latency: little compared with reading a prompt again."""
PROBE_INTERVAL_MS = 200.0
"""Time between two probes of a zone's suspects: how late the return of a zone may be detected."""
MAX_PROBES_PER_ZONE = 2
"""Maximum number of suspects of one zone that are probed at once, drawn at random. When a zone returns any
of its servers answers, and a single server among several suspects is probed within a second."""
ZONE_RETURN_GRACE_MS = 1_500.0
"""How long after its return a zone is not suspected for missing messages: broken streams to its gateways
are opened again only after a pause."""
RECENT_TIMEOUT_MS = 1_000.0
"""How long after a connection attempt that timed out another one would only wait for its time-out again; probes
find a server that returns sooner."""
TOLD_LIFETIME_MS = 1_000.0
"""How long the report of another gateway counts at an isolated one, which cannot probe the server itself."""
MIN_TIMED_OUT_SERVERS = 2
"""Number of servers of a zone that must not answer, without an answer from the zone in between, for the
zone to be suspected before its time without messages is up."""


class _Reason(StrEnum):
    """Why a server is suspected."""

    REFUSED = "refused"
    TIMED_OUT = "timed_out"
    TOLD = "told"


@dataclass(frozen=True)
class _Suspicion:
    """The suspicion that a server cannot be reached."""

    reason: _Reason
    since_ms: float


class Reachability:
    """Tracks which backend servers and zones can be reached.

    Parameters
    ==========

    zone : this gateway's availability zone, which is never suspected as a zone.
    get_period : returns the time between two reports of the gateways of this zone.
    clock : the time.
    on_zone_suspected : called with a zone when it becomes suspected.
    list_servers : returns the backend servers that are registered.
    on_unreachable : called with the address of a server that does not answer, or with None if no server does.
    on_links_changed : called when this gateway lost its links to all servers, and when they returned.

    Attributes
    ==========

    isolation : tells whether this gateway has lost its links to all servers.
    """

    def __init__(
        self,
        zone: str,
        get_period: Callable[[], ReportPeriod],
        clock: Clock,
        on_zone_suspected: Callable[[str], None] = lambda _: None,
        list_servers: Callable[[], Iterable[BackendServer]] = tuple,
        on_unreachable: Callable[[str | None], None] = lambda _: None,
        on_links_changed: Callable[[], None] = lambda: None,
    ) -> None:
        self.isolation = IsolationDetector(
            list_servers, clock, self._handle_isolated, on_links_changed
        )
        self._on_links_changed = on_links_changed
        self._on_unreachable = on_unreachable
        self._zone = zone
        self._get_period = get_period
        self._clock = clock
        self._on_zone_suspected = on_zone_suspected
        self._zones: dict[str, ZoneState] = {}
        self._suspicions: dict[str, _Suspicion] = {}  # by incarnation
        self._timed_out_ms: dict[str, float] = {}
        self._connected_ms = float("-inf")
        self._reached_ms: dict[str, float] = {}
        self._connect_ms: dict[str, float] = {}
        self._checked_ms = clock.now_ms()
        self._isolated_probe_ms = float("-inf")

    def is_suspect(self, server: BackendServer) -> bool:
        """Return whether a server should get no requests while other servers are available.

        Failed connections of a gateway that reaches no server say nothing about single ones.
        """
        suspicion = self._suspicions.get(server.incarnation)
        if suspicion is not None and not self._has_expired(suspicion):
            return True
        zone = self._zones.get(server.zone)
        return zone is not None and zone.is_suspect and not self.isolation.is_isolated

    def needs_detour(self, server: BackendServer) -> bool:
        """Return whether connections to a server should lead through another gateway."""
        return self.isolation.is_isolated or self.is_suspect(server)

    def has_timed_out_lately(self, server: BackendServer) -> bool:
        """Return whether a server did not answer a connection attempt a moment ago."""
        timed_out_ms = self._timed_out_ms.get(server.incarnation, float("-inf"))
        return self._clock.now_ms() - timed_out_ms < RECENT_TIMEOUT_MS

    def is_hopeless(self, server: BackendServer) -> bool:
        """Return whether another connection attempt to a server would only wait for its time-out."""
        if self.isolation.is_isolated and self.isolation.hangs:
            return True
        return self.has_timed_out_lately(server)

    def select_reachable(self, servers: list[BackendServer]) -> list[BackendServer]:
        """Return the servers that are not suspected; all of them if every one is."""
        return [server for server in servers if not self.is_suspect(server)] or servers

    def find_connect_timeout_ms(self) -> float:
        """Return the connection time-out."""
        if not self._connect_ms:
            return MAX_CONNECT_TIMEOUT_MS
        usual_ms = max(self._connect_ms.values())
        return min(
            max(CONNECT_TIMEOUT_FACTOR * usual_ms, MIN_CONNECT_TIMEOUT_MS), MAX_CONNECT_TIMEOUT_MS
        )

    def find_distance_ms(self, zone: str) -> float:
        """Return the additional latency of a request to a zone, compared with this gateway's zone."""
        if zone == self._zone:
            return 0.0
        if zone not in self._connect_ms or self._zone not in self._connect_ms:
            return DEFAULT_ZONE_LATENCY_MS
        longer_ms = self._connect_ms[zone] - self._connect_ms[self._zone]
        return max(longer_ms, 0.0) + ZONE_CROSSING_COST_MS

    def record_received(self, zone: str) -> None:
        """Record that a report, or bytes of a server's answer, came from a zone."""
        state = self._zones.setdefault(zone, ZoneState(self._clock.now_ms()))
        state.last_received_ms = self._clock.now_ms()
        if state.is_suspect:
            state.is_suspect = False
            state.returned_ms = self._clock.now_ms()
            state.timed_out.clear()
            log_event(Event.ZONE_REACHED, zone=zone)

    def record_connected(self, server: BackendServer, took_ms: float) -> None:
        """Record that a connection to a server was opened."""
        usual_ms = self._connect_ms.get(server.zone, took_ms)
        self._connect_ms[server.zone] = usual_ms + CONNECT_TIME_SMOOTHING * (took_ms - usual_ms)
        self._connected_ms = self._clock.now_ms()
        if server.incarnation in self._suspicions:
            self._end_suspicion(server)
        self.isolation.record_connected()
        self.record_answer(server)

    def record_answer(self, server: BackendServer) -> None:
        """Record that a server sent bytes."""
        self.record_received(server.zone)
        self._zones[server.zone].timed_out.clear()
        self._reached_ms[server.incarnation] = self._clock.now_ms()
        self._timed_out_ms.pop(server.incarnation, None)
        suspicion = self._suspicions.get(server.incarnation)
        if suspicion is None or suspicion.reason is _Reason.REFUSED:
            return  # An old connection may live on while new ones are refused.
        self._end_suspicion(server)

    def record_answer_through(self, server: BackendServer) -> None:
        """Record that a server sent bytes through another gateway, which says nothing about the own links."""
        suspicion = self._suspicions.get(server.incarnation)
        if suspicion is not None and suspicion.reason is _Reason.TOLD:
            self._end_suspicion(server)

    def record_unreachable(self, server: BackendServer, *, has_timed_out: bool) -> None:
        """Record that a connection to a server could not be opened.

        Parameters
        ==========

        has_timed_out : whether there was no answer at all; a refusal concerns this server alone.
        """
        if has_timed_out:
            self._record_timeout(server)
        self._suspect_server(server, _Reason.TIMED_OUT if has_timed_out else _Reason.REFUSED)
        self.isolation.record_failed(server, has_timed_out=has_timed_out)
        if not has_timed_out or self.isolation.is_isolated:
            return
        state = self._zones.setdefault(server.zone, ZoneState(self._clock.now_ms()))
        state.timed_out.add(server.incarnation)
        if server.zone != self._zone and len(state.timed_out) >= MIN_TIMED_OUT_SERVERS:
            self._suspect_zone(server.zone, state)

    def record_unreachable_for_others(self, server: BackendServer) -> None:
        """Record that another gateway, which reaches other servers, could not connect to a server."""
        self._suspect_server(server, _Reason.TOLD)

    def record_probe_failed(self, server: BackendServer, *, has_timed_out: bool) -> None:
        """Record that a suspected server still cannot be connected to."""
        if has_timed_out:
            self._record_timeout(server)
        if self.isolation.is_isolated:
            self.isolation.record_failed(server, has_timed_out=has_timed_out)

    def record_report(self, zone: str, gateway: str, period_ms: float) -> None:
        """Record that a gateway of a zone reported, and will report again within a period."""
        self.record_received(zone)
        if period_ms > 0:
            self._zones[zone].reports[gateway] = ReceivedReport(self._clock.now_ms(), period_ms)

    def apply_unreachable(
        self, zone: str, unreachable: Iterable[str], servers: Iterable[BackendServer]
    ) -> None:
        """Suspect the servers that another gateway of this zone suspects.

        A gateway of this zone is on the same side of a partition, so its suspicion is adopted, except for
        servers that recently answered this gateway.
        """
        reported = set(unreachable)
        if zone != self._zone or not reported:
            return
        oldest_ms = self._clock.now_ms() - self._get_period().suspicion_overrule_ms
        for server in servers:
            reached_ms = self._reached_ms.get(server.incarnation, float("-inf"))
            if server.incarnation in reported and reached_ms < oldest_ms:
                self._suspect_server(server, _Reason.TOLD)

    def describe_unreachable(self) -> list[str]:
        """Return the individually suspected servers, to be reported to other gateways.

        A failed connection is reported only after another one has opened: before that, the fault may lie
        with this gateway's own links.
        """
        if self.isolation.is_isolated:
            return []
        return sorted(
            incarnation
            for incarnation, suspicion in self._suspicions.items()
            if suspicion.reason is _Reason.TOLD or suspicion.since_ms <= self._connected_ms
        )

    def check_zones(self) -> None:
        """Suspect the zones that are unresponsive; to be called several times a second."""
        now_ms = self._clock.now_ms()
        if now_ms - self._checked_ms > MIN_STALL_MS:
            # Messages that arrived during the stall have not been read yet.
            for state in self._zones.values():
                state.last_received_ms = now_ms
        self._checked_ms = now_ms
        for zone, state in self._zones.items():
            since_ms = max(state.last_received_ms, state.returned_ms + ZONE_RETURN_GRACE_MS)
            if zone != self._zone and now_ms - since_ms > state.find_timeout_ms():
                self._suspect_zone(zone, state)

    def list_probes(self, servers: Iterable[BackendServer]) -> list[BackendServer]:
        """Return the suspects to probe now: a few of each zone."""
        now_ms = self._clock.now_ms()
        if self.isolation.is_isolated:
            return self._list_isolated_probes(list(servers))
        by_zone: dict[str, list[BackendServer]] = defaultdict(list)
        for server in servers:
            if self.is_suspect(server):
                by_zone[server.zone].append(server)
        chosen: list[BackendServer] = []
        for zone, suspects in by_zone.items():
            state = self._zones.setdefault(zone, ZoneState(now_ms))
            if now_ms - state.probed_ms >= PROBE_INTERVAL_MS:
                state.probed_ms = now_ms
                chosen += random.sample(suspects, min(MAX_PROBES_PER_ZONE, len(suspects)))
        return chosen

    def evict(self, server: BackendServer) -> None:
        """Discard the state of a removed server."""
        self._suspicions.pop(server.incarnation, None)
        self._timed_out_ms.pop(server.incarnation, None)
        self._reached_ms.pop(server.incarnation, None)
        self.isolation.evict(server.incarnation)

    def _list_isolated_probes(self, servers: list[BackendServer]) -> list[BackendServer]:
        now_ms = self._clock.now_ms()
        if now_ms - self._isolated_probe_ms < PROBE_INTERVAL_MS:
            return []
        self._isolated_probe_ms = now_ms
        return self.isolation.draw_probes(servers)

    def _handle_isolated(self, hangs: bool) -> None:
        """Discard the suspicions that the loss of the own links explains."""
        explained = [
            incarnation
            for incarnation, suspicion in self._suspicions.items()
            if suspicion.reason is not _Reason.TOLD and suspicion.since_ms > self._connected_ms
        ]
        for incarnation in explained:
            del self._suspicions[incarnation]
        if hangs:
            self._on_unreachable(None)
        self._on_links_changed()

    def _has_expired(self, suspicion: _Suspicion) -> bool:
        """Return whether a suspicion of another gateway is too old; an isolated gateway cannot verify it."""
        if not self.isolation.is_isolated or suspicion.reason is not _Reason.TOLD:
            return False
        return self._clock.now_ms() - suspicion.since_ms > TOLD_LIFETIME_MS

    def _record_timeout(self, server: BackendServer) -> None:
        self._timed_out_ms[server.incarnation] = self._clock.now_ms()
        self._on_unreachable(server.address)

    def _suspect_server(self, server: BackendServer, reason: _Reason) -> None:
        if self.isolation.is_isolated and reason is not _Reason.TOLD:
            return
        known = self._suspicions.get(server.incarnation)
        if known is not None and not self._has_expired(known):
            return
        log_event(
            Event.BACKEND_SUSPECTED,
            server=server.incarnation,
            zone=server.zone,
            reason=reason.value,
        )
        self._suspicions[server.incarnation] = _Suspicion(reason, self._clock.now_ms())

    def _end_suspicion(self, server: BackendServer) -> None:
        del self._suspicions[server.incarnation]
        log_event(Event.BACKEND_REACHED, server=server.incarnation)

    def _suspect_zone(self, zone: str, state: ZoneState) -> None:
        if state.is_suspect:
            return
        state.is_suspect = True
        silent_ms = round(self._clock.now_ms() - state.last_received_ms)
        timed_out = sorted(state.timed_out)
        log_event(
            Event.ZONE_UNREACHABLE, "warning", zone=zone, silent_ms=silent_ms, servers=timed_out
        )
        self._on_zone_suspected(zone)
