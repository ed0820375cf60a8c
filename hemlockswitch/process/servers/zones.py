"""Queries between daemons of different zones for each other's backend servers.

Explanation
===========

The age of an answer counts from the time at which its query was sent, on the clock of the querying daemon.
The data of another zone is therefore never older than assumed, regardless of network delay and clock
differences between VMs. A zone that does not answer gets no new work.
"""

import random
from collections.abc import Callable
from dataclasses import asdict, dataclass
from typing import Any, Protocol

from hemlockswitch.connection.messages import register_message
from hemlockswitch.core.clock import Clock
from hemlockswitch.core.errors import ErrorKind, PeerError
from hemlockswitch.core.events import Event
from hemlockswitch.core.identifiers import hash_stable, rank_rendezvous
from hemlockswitch.core.logs import log_event
from hemlockswitch.process.servers.backends import ZONE_OFFER_EXPIRY_MS, BackendDirectory
from hemlockswitch.version.backend import BackendServer

QUERY_INTERVAL_MS = 500
QUERY_TIMEOUT_MS = 500
MIN_LOCAL_SERVERS = 8
MAX_OFFERED_SERVERS = 8
MAX_OFFERED_LEAVING = 1_000
MAX_QUERIED_ZONES = 3
OVERFLOW_MS = 10_000.0


@register_message("zone_question")
@dataclass(frozen=True)
class ZoneQuestion:
    """Query to a daemon for its zone's backend servers.

    Parameters
    ==========

    asker : name of the querying daemon.
    digest : digest of the offer that the querying daemon has; 0 for none.
    """

    asker: str
    digest: int


@register_message("zone_offer")
@dataclass(frozen=True)
class ZoneOffer:
    """The backend servers of a zone that the querying daemon may use.

    Parameters
    ==========

    zone : the answering daemon's zone.
    digest : digest of the content, which is omitted if the querying daemon has it.
    servers : records of the offered servers.
    leaving : names of leaving servers, newest last.
    """

    zone: str
    digest: int
    servers: list[dict[str, Any]]
    leaving: list[str]


class Network(Protocol):
    """The peer network interface that the queries need."""

    def request(self, address: str, message: Any, timeout_ms: float) -> Any:
        """Return the reply to a query."""

    def handle(self, message_type: type, handler: Callable[[str, Any], Any]) -> None:
        """Register the handler of a query type."""


class ZoneQueryHandler:
    """Answers the queries of other daemons for the servers of this daemon's zone."""

    def __init__(self, directory: BackendDirectory, is_fresh: Callable[[], bool]) -> None:
        self._directory = directory
        self._is_fresh = is_fresh

    def answer(self, sender: str, question: ZoneQuestion) -> ZoneOffer:
        """Return the offer for one querying daemon.

        Raises
        ======

        PeerError : this daemon was paused and has to refresh its own state first.
        """
        if not self._is_fresh():
            raise PeerError(
                ErrorKind.NOT_READY, "the daemon was paused and has not refreshed its state yet"
            )
        servers = [asdict(server) for server in self._choose(question.asker)]
        leaving = list(self._directory.list_leaving())[-MAX_OFFERED_LEAVING:]
        digest = hash_stable(repr((servers, leaving)))
        if digest == question.digest:
            return ZoneOffer(self._directory.zone, digest, [], [])
        return ZoneOffer(self._directory.zone, digest, servers, leaving)

    def _choose(self, asker: str) -> list[BackendServer]:
        """Return some servers of each target, distributed over the querying daemons."""
        chosen: list[BackendServer] = []
        by_target: dict[str, dict[str, BackendServer]] = {}
        for server in self._directory.list_own_servers():
            by_target.setdefault(server.serves, {})[server.name] = server
        for target in sorted(by_target):
            names = rank_rendezvous(asker, by_target[target])[:MAX_OFFERED_SERVERS]
            chosen += [by_target[target][name] for name in names]
        return chosen


@dataclass
class _ZoneState:
    """The last answer of one zone."""

    digest: int = 0
    servers: tuple[BackendServer, ...] = ()
    answered_ms: float | None = None
    silent: bool = False


class ZoneQueries:
    """Tasks that query other zones for their servers while these may be needed.

    Parameters
    ==========

    own_name : name of this daemon.
    directory : receives the answers.
    network : the peer network.
    list_addresses : returns the peer addresses of the live daemons of each zone.
    clock : the process's clock.
    """

    def __init__(
        self,
        own_name: str,
        directory: BackendDirectory,
        network: Network,
        list_addresses: Callable[[], dict[str, list[str]]],
        clock: Clock,
    ) -> None:
        self._own_name = own_name
        self._directory = directory
        self._network = network
        self._list_addresses = list_addresses
        self._clock = clock
        self._states: dict[str, _ZoneState] = {}

    def run(self, zone: str) -> None:
        """Query one zone periodically until killed."""
        while True:
            if self.is_needed():
                self.query_zone(zone)
            self._clock.sleep_ms(QUERY_INTERVAL_MS * random.uniform(0.75, 1.25))

    def is_needed(self) -> bool:
        """Return whether the local zone has few servers of any target, or overflowed recently."""
        if self._clock.now_ms() - self._directory.overflowed_ms <= OVERFLOW_MS:
            return True
        targets = self._directory.list_targets()
        counts = [len(self._directory.list_own_servers(target)) for target in targets]
        return min(counts, default=0) < MIN_LOCAL_SERVERS

    def choose_zones(self) -> list[str]:
        """Return the other zones that this daemon queries; the choice is stable while they are live."""
        zones = set(self._list_addresses()) - {self._directory.zone}
        return rank_rendezvous(self._own_name, zones)[:MAX_QUERIED_ZONES]

    def query_zone(self, zone: str) -> None:
        """Query a daemon of the zone, and record its offer or that the zone is unresponsive."""
        addresses = self._list_addresses().get(zone, [])
        state = self._states.setdefault(zone, _ZoneState())
        requested_ms = self._clock.now_ms()
        try:
            offer = self._query_one(addresses, state.digest)
        except PeerError:
            self._record_silence(zone, state)
            return
        if offer.digest != state.digest:
            state.digest = offer.digest
            state.servers = tuple(BackendServer.from_record(one) for one in offer.servers)
            for name in offer.leaving:
                self._directory.record_leaving(name)
        if state.silent:
            log_event(Event.ZONE_HEARD, zone=zone)
        state.answered_ms, state.silent = requested_ms, False
        self._directory.record_offer(zone, state.servers, requested_ms)

    def withdraw_unattended(self, zone: str) -> None:
        """Use no server of a zone without a live daemon: nobody there says which servers leave."""
        if zone != self._directory.zone and zone not in self._list_addresses():
            self._directory.withdraw_offer(zone)

    def refresh_from(self, address: str) -> None:
        """Fetch the leaving servers from a daemon of the local zone.

        Raises
        ======

        PeerError : the daemon does not answer, or was paused itself.
        """
        offer = self._network.request(address, ZoneQuestion(self._own_name, 0), QUERY_TIMEOUT_MS)
        for name in offer.leaving:
            self._directory.record_leaving(name)

    def _query_one(self, addresses: list[str], digest: int) -> ZoneOffer:
        if not addresses:
            raise PeerError(ErrorKind.PEER_UNAVAILABLE, "no live daemon of the zone is recorded")
        question = ZoneQuestion(self._own_name, digest)
        return self._network.request(random.choice(addresses), question, QUERY_TIMEOUT_MS)

    def _record_silence(self, zone: str, state: _ZoneState) -> None:
        if state.silent or state.answered_ms is None:
            return
        if self._clock.now_ms() - state.answered_ms > ZONE_OFFER_EXPIRY_MS:
            state.silent = True
            log_event(Event.ZONE_SILENT, "warning", zone=zone)
