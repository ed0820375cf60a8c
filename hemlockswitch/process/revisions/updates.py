"""Disseminates revisions: small changes by gossip, everything else on request from a peer.

Explanation
===========

The gossip item ``revision`` carries the number, the address of a daemon that has the content, and
the changes from the previous revision if they are small. A daemon that has the previous revision
adopts the new one immediately. Any other sends its own number and digest to a peer and receives
the difference. The complete file is sent only to a daemon without a revision, or if none of the
queried peers has the difference. The platform is read last; in normal operation only by the
daemons that watch it.
"""

import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass

import gevent
import msgpack
from gevent.event import Event as Signal

from hemlockswitch.connection.peers import PeerNetwork
from hemlockswitch.core.clock import MS_PER_SECOND, Clock
from hemlockswitch.core.errors import HemlockError
from hemlockswitch.core.events import Event
from hemlockswitch.core.logs import log_event
from hemlockswitch.process.gossip.state import GossipState
from hemlockswitch.process.revisions.configuration import Configuration
from hemlockswitch.process.revisions.messages import (
    REVISION_KEY,
    RevisionItem,
    RevisionQuery,
    RevisionReply,
)
from hemlockswitch.version.differences import (
    apply_changes,
    pack_changes,
    unpack_changes,
)
from hemlockswitch.version.revisions import NO_REVISION, Revision

REQUEST_TIMEOUT_MS = 1_000
INITIAL_RETRY_PAUSE_MS = 100
MAX_RETRY_PAUSE_MS = 2_000
MAX_NEAR_PEERS = 3
MAX_FAR_PEERS = 3
PLATFORM_READ_DELAY_MS = 5_000
"""How long peers are tried before the platform; daemons that watch the platform read it sooner."""
MAX_GOSSIP_CHANGES_BYTES = 4_096
"""Larger differences are not included in the gossip item; peers request them."""


@dataclass
class ReceivedCounts:
    """How many revisions this daemon received from each source, for metrics and /status."""

    by_news: int = 0
    by_difference: int = 0
    by_whole: int = 0
    by_platform: int = 0
    failed: int = 0


class RevisionUpdater:
    """Updates this daemon's configuration to the highest revision that its peers have.

    Parameters
    ==========

    configuration : the configuration of this daemon.
    gossip_state : the gossip items.
    network : the connections to peers.
    list_peers : returns the peer addresses of running daemons, the nearest first.
    read_platform : reads the revision that the platform's pointer names; raises `HemlockError`.
    clock : provides the time.
    """

    def __init__(
        self,
        configuration: Configuration,
        gossip_state: GossipState,
        network: PeerNetwork,
        list_peers: Callable[[], Iterable[str]],
        read_platform: Callable[[], Revision | None],
        clock: Clock,
    ) -> None:
        self.counts = ReceivedCounts()
        self._configuration = configuration
        self._gossip_state = gossip_state
        self._network = network
        self._list_peers = list_peers
        self._read_platform = read_platform
        self._clock = clock
        self._wake = Signal()
        self._next_platform_read_ms = clock.now_ms() + PLATFORM_READ_DELAY_MS
        network.handle(RevisionQuery, self._answer)
        gossip_state.add_listener(REVISION_KEY, lambda _: self._wake.set())
        configuration.add_listener(self._publish)

    @property
    def announced_number(self) -> int:
        """The highest revision number that this daemon has received by gossip."""
        item = self._gossip_state.find(REVISION_KEY)
        return NO_REVISION if item is None else item.version

    def catch_up(self) -> bool:
        """Try once to adopt the highest announced revision; return whether it is in force."""
        if self._is_behind():
            self._adopt_from_gossip()
        if self._is_behind():
            self._adopt_from_peers()
        if self._is_behind():
            self._adopt_from_platform()
        return not self._is_behind()

    def check_peers(self) -> None:
        """Adopt a newer revision from a peer, for a process that does not receive gossip."""
        if not self._configuration.is_ready:
            self._adopt_from_peers()
            return
        for address in self._choose_peers():
            answer = self._fetch(address, whole=True)
            if answer is not None:
                self._adopt_answer(answer, address)
                return

    def run(self) -> None:
        """Catch up after each announcement, with retries until it succeeds, without end."""
        pause_ms = INITIAL_RETRY_PAUSE_MS
        while True:
            self._wake.clear()
            if self.catch_up():
                pause_ms = INITIAL_RETRY_PAUSE_MS
                self._wake.wait()
                self._next_platform_read_ms = self._clock.now_ms() + PLATFORM_READ_DELAY_MS
                continue
            self._wake.wait(pause_ms * random.uniform(0.5, 1.5) / MS_PER_SECOND)
            pause_ms = min(pause_ms * 2, MAX_RETRY_PAUSE_MS)

    def _is_behind(self) -> bool:
        """Return whether a higher revision was announced, or no revision is in force."""
        return (
            not self._configuration.is_ready or self._configuration.revision < self.announced_number
        )

    def _adopt_from_gossip(self) -> None:
        item = RevisionItem.from_item(self._gossip_state.find(REVISION_KEY))
        if item is None or item.changes is None:
            return
        have = self._configuration
        if (item.base_number, item.base_digest) != (have.revision, have.digest):
            return
        if self._adopt(RevisionReply(item.head, item.changes), "news"):
            self.counts.by_news += 1

    def _adopt_from_peers(self) -> None:
        """Request the difference from peers; if none has it, request the complete file."""
        addresses = self._choose_peers()
        if self._configuration.is_ready:
            for address in addresses:
                if self._adopt_from_peer(address, whole=False):
                    return
        else:
            addresses = self._rank_by_number(addresses)
        for address in addresses:
            if self._adopt_from_peer(address, whole=True):
                return

    def _rank_by_number(self, addresses: list[str]) -> list[str]:
        """Return the peers that have a revision, the highest number first."""
        asked = [gevent.spawn(self._find_number, address) for address in addresses]
        gevent.joinall(asked)
        numbers = {address: task.value for address, task in zip(addresses, asked, strict=True)}
        having = [address for address in addresses if numbers[address] != NO_REVISION]
        return sorted(having, key=lambda address: numbers[address], reverse=True)

    def _find_number(self, address: str) -> int:
        answer = self._fetch(address, whole=False)
        return NO_REVISION if answer is None else int(answer.head.get("number", NO_REVISION))

    def _choose_peers(self) -> list[str]:
        own = self._network.address
        addresses = [address for address in self._list_peers() if address != own]
        near = addresses[:MAX_NEAR_PEERS]
        far = addresses[MAX_NEAR_PEERS:]
        chosen = near + random.sample(far, min(len(far), MAX_FAR_PEERS))
        item = RevisionItem.from_item(self._gossip_state.find(REVISION_KEY))
        if item is None or item.holder in ("", own):
            return chosen
        return [item.holder, *(address for address in chosen if address != item.holder)]

    def _adopt_from_peer(self, address: str, whole: bool) -> bool:
        """Request from one peer and adopt its answer; return whether this daemon is up to date."""
        answer = self._fetch(address, whole)
        if answer is not None:
            self._adopt_answer(answer, address)
        return not self._is_behind()

    def _fetch(self, address: str, whole: bool) -> RevisionReply | None:
        have = self._configuration
        query = RevisionQuery(have.revision, have.digest, whole)
        try:
            return self._network.request(address, query, REQUEST_TIMEOUT_MS)
        except HemlockError:
            return None

    def _adopt_answer(self, answer: RevisionReply, address: str) -> None:
        if answer.changes is None and answer.file is None:
            return
        by_difference = answer.changes is not None
        if self._adopt(answer, address):
            self.counts.by_difference += by_difference
            self.counts.by_whole += not by_difference

    def _adopt_from_platform(self) -> None:
        now_ms = self._clock.now_ms()
        if now_ms < self._next_platform_read_ms:
            return
        self._next_platform_read_ms = now_ms + PLATFORM_READ_DELAY_MS
        try:
            revision = self._read_platform()
        except HemlockError:
            return
        if revision is not None and self._configuration.adopt(revision, "platform"):
            self.counts.by_platform += 1

    def _adopt(self, answer: RevisionReply, source: str) -> bool:
        try:
            revision = self._read_answer(answer)
        except HemlockError as error:
            self.counts.failed += 1
            log_event(Event.REVISION_UNUSABLE, "warning", source=source, reason=error.detail)
            return False
        return self._configuration.adopt(revision, source)

    def _read_answer(self, answer: RevisionReply) -> Revision:
        tree = answer.file
        if answer.changes is not None:
            current = self._configuration.current
            base = {} if current is None else current.tree
            tree = apply_changes(base, unpack_changes(answer.changes))
        return Revision.from_value(answer.head | {"file": tree})

    def _answer(self, sender: str, query: RevisionQuery) -> RevisionReply:
        del sender
        current = self._configuration.current
        if current is None:
            return RevisionReply({})
        if current.number <= query.number:
            return RevisionReply(current.to_head())
        changes = self._configuration.find_changes(query.number, query.digest)
        if changes is not None:
            return RevisionReply(current.to_head(), pack_changes(changes))
        return RevisionReply(current.to_head(), None, current.tree if query.whole else None)

    def _publish(self, revision: Revision) -> None:
        """Announce a revision by gossip, including the changes if they are small."""
        step = self._configuration.adoptions[-1]
        rows = None if step.changes is None else pack_changes(step.changes)
        if rows is not None and len(msgpack.packb(rows)) > MAX_GOSSIP_CHANGES_BYTES:
            rows = None
        item = RevisionItem(
            revision.to_head(), self._network.address, step.base_number, step.base_digest, rows
        )
        self._gossip_state.record(item.to_item(revision.number))
