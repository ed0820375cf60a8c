"""Tasks that ask the platform on behalf of their zone: whose turn it is, notices, the revision.

Explanation
===========

Only the first few of the rendezvous order over the zone's live daemons ask; the rest hear from
them through the news board. What a watcher learns of the notices it follows with a sign of life,
the `feed/<zone>` item. A daemon that misses the sign asks the platform itself, so that frozen or
dead watchers do not hide a notice until they are found dead.
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
from hemlockswitch.process.news.board import NewsBoard, NewsItem
from hemlockswitch.process.servers.backends import NOTICE_PREFIX

FEED_PREFIX = "feed/"
WATCHERS = 2
SUBSTITUTES = 2
NOTICE_WAIT_MS = 1_000
POINTER_WAIT_MS = 5_000
SIGN_INTERVAL_MS = 500
CHECK_INTERVAL_MS = 400
FEED_SILENCE_MS = 2_000
ANSWER_MARGIN_MS = 300
IDLE_CHECK_MS = 250
FIRST_RETRY_MS = 250
MAX_RETRY_MS = 4_000


class Platform(Protocol):
    """What the watchers ask of the platform; each call has a time-out of its own."""

    def watch_notices(self, zone: str, since: int, wait_ms: int) -> Any:
        """Return the reclaim notices after number `since`, waiting for the first."""

    def watch(self, kind: str, since: int, wait_ms: int, prefix: str) -> Any:
        """Return the objects of `kind` changed since a version, waiting for the first."""


def is_watcher(own_name: str, zone: str, members: Sequence[str], count: int = WATCHERS) -> bool:
    """Return whether this daemon is among those that ask the platform for its zone.

    Examples
    ========

    >>> is_watcher("entry-1", "marka-hall", [])
    True
    """
    names = {*members, own_name}
    return own_name in rank_rendezvous(zone, names)[:count]


@dataclass(frozen=True)
class Post:
    """Where a watcher stands: the daemon's name and zone, and the zone's live daemons."""

    own_name: str
    zone: str
    members: Callable[[], list[str]]

    def is_watcher(self, count: int = WATCHERS) -> bool:
        """Return whether this daemon is among the first `count`, which ask the platform now."""
        return is_watcher(self.own_name, self.zone, self.members(), count)


class Watcher:
    """A task that asks the platform again and again while it is this daemon's turn.

    Parameters
    ==========

    label : what it asks for, in logs.
    post : whose turn it is.
    ask : asks once and passes on what it learned.
    interval_ms : pause after an answer.
    clock : the process's clock.
    """

    def __init__(
        self, label: str, post: Post, ask: Callable[[], None], interval_ms: float, clock: Clock
    ) -> None:
        self._label = label
        self._post = post
        self._ask = ask
        self._interval_ms = interval_ms
        self._clock = clock
        self._retry_ms = 0.0

    def run(self) -> None:
        """Ask for ever."""
        while True:
            self._clock.sleep_ms(self.step())

    def step(self) -> float:
        """Ask once if it is this daemon's turn, and return the pause that follows."""
        if not self._post.is_watcher():
            return IDLE_CHECK_MS
        try:
            self._ask()
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
    """Passes the cloud API's reclaim notices of one zone on to the news board.

    Explanation
    ===========

    The `feed/<zone>` item says how far the feed was read and whether the platform answers. It is
    marked as a tombstone because each is the last word until the next, and so it stays out of
    the boards' digests.

    A daemon that is no watcher asks by itself when the signs stop. When the watchers say that
    the platform does not answer them, the next ones of the order ask as well.
    """

    def __init__(self, platform: Platform, post: Post, board: NewsBoard, clock: Clock) -> None:
        self._platform = platform
        self._post = post
        self._board = board
        self._clock = clock
        self._number = 0
        self._heard_ms = clock.now_ms()
        self._answered_ms = clock.now_ms()
        self._watchers_answered = True
        self._signed_answered = True
        self._key = FEED_PREFIX + post.zone
        board.add_listener(self._key, self._hear)

    @property
    def silent_ms(self) -> float:
        """How long ago any watcher of the zone gave a sign of life."""
        return self._clock.now_ms() - self._heard_ms

    def ask(self, wait_ms: int = NOTICE_WAIT_MS) -> None:
        """Read the notices once, waiting for the first, and tell the zone."""
        try:
            page = self._platform.watch_notices(self._post.zone, self._number, wait_ms)
        except HemlockError:
            self._answered_ms = -math.inf
            self._sign()
            raise
        self._answered_ms = self._clock.now_ms()
        for notice in page.notices:
            value = {"deadline_wall_ms": notice.deadline_wall_ms}
            self._board.learn(NewsItem(NOTICE_PREFIX + notice.vm, notice.number, value))
        self._number = page.number
        # Two watchers ask: where the other has just signed the same, nobody needs to hear it again.
        if page.notices or not self._watchers_answered or self.silent_ms >= SIGN_INTERVAL_MS:
            self._sign()

    def check(self) -> None:
        """Give a sign of life, or ask in the watchers' place if they do not do their part."""
        if self._post.is_watcher():
            if self.silent_ms >= SIGN_INTERVAL_MS or self._is_answered() != self._signed_answered:
                self._sign()
        elif self.silent_ms > FEED_SILENCE_MS or self._is_substitute():
            self._ask_once()

    def run_checks(self) -> None:
        """Check for ever."""
        while True:
            self._clock.sleep_ms(CHECK_INTERVAL_MS * random.uniform(0.75, 1.0))
            self.check()

    def _is_substitute(self) -> bool:
        return not self._watchers_answered and self._post.is_watcher(WATCHERS + SUBSTITUTES)

    def _ask_once(self) -> None:
        try:
            self.ask(wait_ms=0)
        except HemlockError as error:
            log_event(Event.WATCH_FAILED, "warning", watch="notices in place", error=str(error))

    def _is_answered(self) -> bool:
        silent_ms = self._clock.now_ms() - self._answered_ms
        return silent_ms <= NOTICE_WAIT_MS + ANSWER_MARGIN_MS

    def _sign(self) -> None:
        known = self._board.find(self._key)
        version = max(self._clock.wall_ms(), known.version + 1 if known else 0)
        self._signed_answered = self._is_answered()
        value = {"number": self._number, "answered": self._signed_answered}
        self._board.learn(NewsItem(self._key, version, value, tombstone=True))

    def _hear(self, item: NewsItem) -> None:
        if item.key != self._key:
            return
        self._heard_ms = self._clock.now_ms()
        self._number = max(self._number, int(item.value.get("number", 0)))
        self._watchers_answered = bool(item.value.get("answered", True))


class Pointer:
    """Follows the pointer to the configuration's current revision."""

    def __init__(
        self, platform: Platform, kind: str, name: str, read: Callable[[Any], None]
    ) -> None:
        self._platform = platform
        self._kind = kind
        self._name = name
        self._read = read
        self._version = 0

    def ask(self) -> None:
        """Wait for a change of the pointer, and have the revision read when it comes.

        Explanation
        ===========

        Where the reading raises, the version stays, and the same change is asked for again. It
        follows the pointer's own version, not the service's: an answer that shows an old pointer
        is then followed by the newer one.
        """
        changes = self._platform.watch(self._kind, self._version, POINTER_WAIT_MS, self._name)
        for item in changes.items:
            self._read(item)
            self._version = max(self._version, item.version)
