"""What daemons of different zones tell each other of their backend servers: on question only.

Explanation
===========

An answer counts from the time at which its question was asked, on the asker's own clock. So the
facts of another zone are never older than they seem, however long an answer was on its way and
whatever the clocks of the VMs say. A zone that does not answer gets no new work.
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
from hemlockswitch.process.servers.backends import ZONE_SILENCE_MS, BackendDirectory
from hemlockswitch.version.backend import BackendServer

ASK_INTERVAL_MS = 500
ASK_TIMEOUT_MS = 500
ENOUGH_SERVERS = 8
OFFERED_SERVERS = 8
OFFERED_LEAVING = 1_000
ZONES_ASKED = 3
OVERFLOW_MS = 10_000.0


@register_message("zone_question")
@dataclass(frozen=True)
class ZoneQuestion:
    """Asks a daemon for its zone's backend servers.

    Parameters
    ==========

    asker : the asking daemon's name.
    digest : of the offer that the asker has; 0 for none.
    """

    asker: str
    digest: int


@register_message("zone_offer")
@dataclass(frozen=True)
class ZoneOffer:
    """The backend servers of a zone that may get work from the asker.

    Parameters
    ==========

    zone : the answering daemon's zone.
    digest : of the content; the content is left out when the asker has it.
    servers : records of the servers offered.
    leaving : names of servers that are leaving, newest last.
    """

    zone: str
    digest: int
    servers: list[dict[str, Any]]
    leaving: list[str]


class Network(Protocol):
    """What the questions need of the peer network."""

    def ask(self, address: str, message: Any, timeout_ms: float) -> Any:
        """Return the reply to a question."""

    def handle(self, message_type: type, handler: Callable[[str, Any], Any]) -> None:
        """Serve questions of a type."""


class ZoneDesk:
    """Answers the questions of other daemons about this daemon's zone."""

    def __init__(self, directory: BackendDirectory, is_fresh: Callable[[], bool]) -> None:
        self._directory = directory
        self._is_fresh = is_fresh

    def answer(self, sender: str, question: ZoneQuestion) -> ZoneOffer:
        """Return the offer for one asker.

        Raises
        ======

        PeerError : this daemon was paused and has to refresh its own facts first.
        """
        if not self._is_fresh():
            raise PeerError(ErrorKind.NOT_READY, "was paused a moment ago")
        servers = [asdict(server) for server in self._choose(question.asker)]
        leaving = list(self._directory.list_leaving())[-OFFERED_LEAVING:]
        digest = hash_stable(repr((servers, leaving)))
        if digest == question.digest:
            return ZoneOffer(self._directory.zone, digest, [], [])
        return ZoneOffer(self._directory.zone, digest, servers, leaving)

    def _choose(self, asker: str) -> list[BackendServer]:
        """Return some servers of each target, spread over the askers."""
        chosen: list[BackendServer] = []
        by_target: dict[str, dict[str, BackendServer]] = {}
        for server in self._directory.list_own_servers():
            by_target.setdefault(server.serves, {})[server.name] = server
        for target in sorted(by_target):
            names = rank_rendezvous(asker, by_target[target])[:OFFERED_SERVERS]
            chosen += [by_target[target][name] for name in names]
        return chosen


@dataclass
class _Asked:
    """What this daemon has of one zone."""

    digest: int = 0
    servers: tuple[BackendServer, ...] = ()
    answered_ms: float | None = None
    silent: bool = False


class ZoneQuestions:
    """A task that asks the other zones for their servers while they may be needed.

    Parameters
    ==========

    own_name : this daemon.
    directory : where the answers go.
    network : the peer network.
    list_addresses : gives the peer addresses of the live daemons of each zone.
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
        self._asked: dict[str, _Asked] = {}

    def run(self, zone: str) -> None:
        """Ask one zone for ever."""
        while True:
            if self.is_needed():
                self.ask_zone(zone)
            self._clock.sleep_ms(ASK_INTERVAL_MS * random.uniform(0.75, 1.25))

    def is_needed(self) -> bool:
        """Return whether the own zone has few servers of any target, or lately too little."""
        if self._clock.now_ms() - self._directory.overflowed_ms <= OVERFLOW_MS:
            return True
        targets = self._directory.list_targets()
        counts = [len(self._directory.list_own_servers(target)) for target in targets]
        return min(counts, default=0) < ENOUGH_SERVERS

    def choose_zones(self) -> list[str]:
        """Return the other zones that this daemon asks, the same ones as long as they live."""
        zones = set(self._list_addresses()) - {self._directory.zone}
        return rank_rendezvous(self._own_name, zones)[:ZONES_ASKED]

    def ask_zone(self, zone: str) -> None:
        """Ask a daemon of the zone, and note what it offers or that the zone is silent."""
        addresses = self._list_addresses().get(zone, [])
        state = self._asked.setdefault(zone, _Asked())
        asked_ms = self._clock.now_ms()
        try:
            offer = self._ask_one(addresses, state.digest)
        except PeerError:
            self._note_silence(zone, state)
            return
        if offer.digest != state.digest:
            state.digest = offer.digest
            state.servers = tuple(BackendServer.from_record(one) for one in offer.servers)
            for name in offer.leaving:
                self._directory.learn_leaving(name)
        if state.silent:
            log_event(Event.ZONE_HEARD, zone=zone)
        state.answered_ms, state.silent = asked_ms, False
        self._directory.learn_offer(zone, state.servers, asked_ms)

    def refresh_from(self, address: str) -> None:
        """Learn from a daemon of the own zone who is leaving.

        Raises
        ======

        PeerError : it does not answer or was paused itself.
        """
        offer = self._network.ask(address, ZoneQuestion(self._own_name, 0), ASK_TIMEOUT_MS)
        for name in offer.leaving:
            self._directory.learn_leaving(name)

    def _ask_one(self, addresses: list[str], digest: int) -> ZoneOffer:
        if not addresses:
            raise PeerError(ErrorKind.PEER_UNAVAILABLE, "no live daemon is known")
        question = ZoneQuestion(self._own_name, digest)
        return self._network.ask(random.choice(addresses), question, ASK_TIMEOUT_MS)

    def _note_silence(self, zone: str, state: _Asked) -> None:
        if state.silent or state.answered_ms is None:
            return
        if self._clock.now_ms() - state.answered_ms > ZONE_SILENCE_MS:
            state.silent = True
            log_event(Event.ZONE_SILENT, "warning", zone=zone)
