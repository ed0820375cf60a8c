"""Tasks that query the platform on behalf of their zone for VMs, notices, and the current revision.

Explanation
===========

Only the watchers, the first few daemons in the rendezvous order of the zone's live daemons, query the
platform; they publish the results by gossip. A watcher of the notices also publishes a heartbeat, the
`feed/<zone>` item. A daemon that receives no heartbeat queries the platform itself, so that frozen or
dead watchers do not hide a notice until membership detects their failure.
"""

import math
import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Any, Protocol

from hemlockswitch.core.clock import Clock
from hemlockswitch.core.errors import HemlockError
from hemlockswitch.core.events import Event
from hemlockswitch.core.identifiers import rank_rendezvous
from hemlockswitch.core.logs import log_event
from hemlockswitch.process.gossip.state import GossipItem, GossipState
from hemlockswitch.process.servers.backends import NOTICE_PREFIX

FEED_PREFIX = "feed/"
WATCHERS = 2
SUBSTITUTE_WATCHERS = 2
NOTICE_WAIT_MS = 1_000
POINTER_WAIT_MS = 5_000
HEARTBEAT_INTERVAL_MS = 500
CHECK_INTERVAL_MS = 400
FEED_SILENCE_MS = 2_000
ANSWER_MARGIN_MS = 300
IDLE_CHECK_MS = 250
FIRST_RETRY_MS = 250
MAX_RETRY_MS = 4_000


class Platform(Protocol):
    """The platform interface that the watchers need; each call has its own time-out."""

    def watch_notices(self, zone: str, since: int, wait_ms: int) -> Any:
        """Return the reclaim notices after number `since`, waiting until there is one."""

    def watch(self, kind: str, since: int, wait_ms: int, prefix: str) -> Any:
        """Return the objects of `kind` changed since a version, waiting until there is one."""


def is_watcher(own_name: str, zone: str, members: Sequence[str], count: int = WATCHERS) -> bool:
    """Return whether this daemon is among the first `count` that query the platform for the zone.

    Examples
    ========

    >>> is_watcher("entry-1", "marka-hall", [])
    True
    """
    names = {*members, own_name}
    return own_name in rank_rendezvous(zone, names)[:count]


@dataclass(frozen=True)
class WatcherSelection:
    """The inputs of the watcher selection: the daemon's name and zone, and the zone's live daemons."""

    own_name: str
    zone: str
    members: Callable[[], list[str]]

    def is_watcher(self, count: int = WATCHERS) -> bool:
        """Return whether this daemon is among the first `count` of its zone."""
        return is_watcher(self.own_name, self.zone, self.members(), count)


class Watcher:
    """A task that queries the platform periodically while this daemon is a watcher.

    Parameters
    ==========

    label : name of the queried data in logs.
    post : determines whether this daemon is a watcher.
    query : queries once and publishes the result.
    interval_ms : pause after an answer.
    clock : the process's clock.
    """

    def __init__(
        self,
        label: str,
        post: WatcherSelection,
        query: Callable[[], None],
        interval_ms: float,
        clock: Clock,
    ) -> None:
        self._label = label
        self._post = post
        self._query = query
        self._interval_ms = interval_ms
        self._clock = clock
        self._retry_ms = 0.0

    def run(self) -> None:
        """Query periodically until killed."""
        while True:
            self._clock.sleep_ms(self.step())

    def step(self) -> float:
        """Query once if this daemon is a watcher, and return the pause that follows."""
        if not self._post.is_watcher():
            return IDLE_CHECK_MS
        try:
            self._query()
        except HemlockError as error:
            return self._back_off(error)
        if self._retry_ms:
            log_event(Event.WATCH_RECOVERED, watch=self._label)
            self._retry_ms = 0.0
        return self._interval_ms

    def _back_off(self, error: HemlockError) -> float:
        if not self._retry_ms:
            log_event(Event.WATCH_FAILED, "warning", watch=self._label, error=str(error))
        self._retry_ms = min(max(self._retry_ms * 2, FIRST_RETRY_MS), MAX_RETRY_MS)
        return self._retry_ms * random.uniform(0.5, 1.0)


class NoticeFeed:
    """Publishes the cloud API's reclaim notices of one zone by gossip.

    Explanation
    ===========

    The `feed/<zone>` item, the heartbeat, contains the number of the last notice read and whether the
    platform answers. It is marked as a tombstone to exclude it from the gossip digests, since each one is
    valid only until the next.

    A daemon that is not a watcher queries the platform itself when the heartbeats stop. When the watchers
    report that the platform does not answer them, the next daemons in the order query it too.
    """

    def __init__(
        self, platform: Platform, post: WatcherSelection, gossip_state: GossipState, clock: Clock
    ) -> None:
        self._platform = platform
        self._post = post
        self._gossip_state = gossip_state
        self._clock = clock
        self._number = 0
        self._last_received_ms = clock.now_ms()
        self._answered_ms = clock.now_ms()
        self._watchers_answered = True
        self._published_answered = True
        self._key = FEED_PREFIX + post.zone
        gossip_state.add_listener(self._key, self._receive_heartbeat)

    @property
    def silent_ms(self) -> float:
        """Time since the last heartbeat of any watcher of the zone."""
        return self._clock.now_ms() - self._last_received_ms

    def read_notices(self, wait_ms: int = NOTICE_WAIT_MS) -> None:
        """Read the notices once, waiting until there is one, and publish them."""
        try:
            page = self._platform.watch_notices(self._post.zone, self._number, wait_ms)
        except HemlockError:
            self._answered_ms = -math.inf
            self._publish_heartbeat()
            raise
        self._answered_ms = self._clock.now_ms()
        for notice in page.notices:
            value = {"deadline_wall_ms": notice.deadline_wall_ms}
            self._gossip_state.record(GossipItem(NOTICE_PREFIX + notice.vm, notice.number, value))
        self._number = page.number
        # A heartbeat without changes is redundant if the zone's second watcher has just published one.
        if page.notices or not self._watchers_answered or self.silent_ms >= HEARTBEAT_INTERVAL_MS:
            self._publish_heartbeat()

    def check(self) -> None:
        """Publish a heartbeat if it is due, or query in place of watchers that have failed."""
        if self._post.is_watcher():
            if (
                self.silent_ms >= HEARTBEAT_INTERVAL_MS
                or self._is_answered() != self._published_answered
            ):
                self._publish_heartbeat()
        elif self.silent_ms > FEED_SILENCE_MS or self._is_substitute():
            self._query_once()

    def run_checks(self) -> None:
        """Check periodically until killed."""
        while True:
            self._clock.sleep_ms(CHECK_INTERVAL_MS * random.uniform(0.75, 1.0))
            self.check()

    def _is_substitute(self) -> bool:
        return not self._watchers_answered and self._post.is_watcher(WATCHERS + SUBSTITUTE_WATCHERS)

    def _query_once(self) -> None:
        try:
            self.read_notices(wait_ms=0)
        except HemlockError as error:
            log_event(Event.WATCH_FAILED, "warning", watch="notices in place", error=str(error))

    def _is_answered(self) -> bool:
        silent_ms = self._clock.now_ms() - self._answered_ms
        return silent_ms <= NOTICE_WAIT_MS + ANSWER_MARGIN_MS

    def _publish_heartbeat(self) -> None:
        current = self._gossip_state.find(self._key)
        version = max(self._clock.wall_ms(), current.version + 1 if current else 0)
        self._published_answered = self._is_answered()
        value = {"number": self._number, "answered": self._published_answered}
        self._gossip_state.record(GossipItem(self._key, version, value, tombstone=True))

    def _receive_heartbeat(self, item: GossipItem) -> None:
        if item.key != self._key:
            return
        self._last_received_ms = self._clock.now_ms()
        self._number = max(self._number, int(item.value.get("number", 0)))
        self._watchers_answered = bool(item.value.get("answered", True))


class Pointer:
    """Watches the pointer to the configuration's current revision."""

    def __init__(
        self, platform: Platform, kind: str, name: str, read: Callable[[Any], None]
    ) -> None:
        self._platform = platform
        self._kind = kind
        self._name = name
        self._read = read
        self._version = 0

    def query(self) -> None:
        """Wait for a change of the pointer, and read its revision.

        Explanation
        ===========

        If reading fails, the version is not advanced, and the next call gets this change again. The watch
        continues from the pointer's own version rather than the service's, so that after an answer with
        an outdated pointer the newer pointer still follows.
        """
        changes = self._platform.watch(self._kind, self._version, POINTER_WAIT_MS, self._name)
        for item in changes.items:
            self._read(item)
            self._version = max(self._version, item.version)
