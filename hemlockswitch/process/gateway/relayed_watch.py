"""Watches of the object service by a few gateways of each availability zone, relayed to the others.

If every gateway watched, each change and each loss of the service's history would cost as many calls as
there are gateways. Instead, the first gateways of a zone (`zone_watchers.WATCHERS_PER_ZONE`) have a watch
open, and send every page that it returns to the other gateways of their zone. Every gateway determines
the watchers from the reports, so there is no election. A gateway watches for itself whenever no watcher
of its zone reports a live watch, and queries the service once when the reports show that a page did not
arrive.
"""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Protocol

from gevent.event import Event as Signal

from hemlockswitch.connection.messages import encode_message
from hemlockswitch.connection.stored_objects import ObjectPage, PageSource
from hemlockswitch.core.clock import MS_PER_SECOND, Clock
from hemlockswitch.core.events import Event
from hemlockswitch.core.logs import log_event
from hemlockswitch.process.gateway.follower import WatchedStore
from hemlockswitch.process.gateway.messages import WatchedPage

WATCHERS_POLL_INTERVAL_MS = 200.0
"""Time between two checks of the zone's watchers while no page arrives."""
CATCH_UP_WAIT_MS = 100
"""How long a call for changes that are known to exist may wait."""
QUERY_WAIT_MS = 1
"""How long a call that checks for changes may wait: the shortest wait that the service supports."""
MAX_RELAYED_PAGE_BYTES = 32 * 1024
"""Maximum size of a relayed page; for a larger page only a notice is sent. To thirty gateways over a link of
20 Mbit/s this size takes 0.4 s. A configuration of 300 KB would take four seconds, where each gateway reads
it from the object service in 0.1 s."""
MAX_QUEUED_PAGES = 64
"""Maximum number of pages that are queued while a call is in progress. A dropped page leaves a gap, for which
the service is queried."""


class WatcherDirectory(Protocol):
    """The watchers of this gateway's zone; see `process.gateway.zone_watchers.ZoneWatchers`."""

    def is_watcher(self) -> bool:
        """Return whether this gateway watches for its zone."""

    def find_relayed_version(self, kind: str) -> int:
        """Return the newest version of a kind that a watcher has relayed; 0 if there is none."""


@dataclass(frozen=True)
class _ArrivedPage:
    """A received page, and when it would have arrived without a delay."""

    page: WatchedPage
    arrived_ms: float


class RelayedWatch:
    """The reading side of an object service, which uses pages relayed by other gateways where possible.

    Parameters
    ==========

    store : the object service.
    directory : the watchers of this zone.
    send_page : sends a page to the gateways of the zone that do not watch.
    clock : the time.
    watcher_wait_ms : how long after a list to wait for a report of a watcher before this gateway watches for
        itself. After a start of the whole fleet no gateway has a report of the watchers yet, and each
        would watch.
    """

    def __init__(
        self,
        store: WatchedStore,
        directory: WatcherDirectory,
        send_page: Callable[[WatchedPage], None],
        clock: Clock,
        watcher_wait_ms: float = 0.0,
    ) -> None:
        self._watcher_wait_ms = watcher_wait_ms
        self._wait_for_watchers_until_ms = float("-inf")
        self._store = store
        self._directory = directory
        self._send_page = send_page
        self._clock = clock
        self._pages: deque[_ArrivedPage] = deque(maxlen=MAX_QUEUED_PAGES)
        self._arrived = Signal()
        self._must_query = False
        self._uses_watchers = False
        self._received_version = 0

    def list(self, kind: str, prefix: str = "") -> ObjectPage:
        """Return all objects of a kind, from the object service itself.

        A watcher relays the list: after the service has lost its history the other gateways need none.
        """
        requested_ms = self._clock.now_ms()
        page = replace(
            self._store.list(kind, prefix),
            is_whole=True,
            source=PageSource.LIST,
            confirmed_ms=requested_ms,
        )
        self._wait_for_watchers_until_ms = self._clock.now_ms() + self._watcher_wait_ms
        self._send_as_watcher(kind, 0, page)
        return page

    def watch(self, kind: str, since: int, wait_ms: int, prefix: str = "") -> ObjectPage:
        """Return the changes after version `since`, from a watcher or from the object service.

        Raises
        ======

        HistoryGoneError, PlatformError : as from the object service.
        """
        arrived = self._wait_for_page(kind, since)
        if arrived is not None:
            return arrived.page.to_object_page(arrived.arrived_ms)
        since = max(since, self._received_version)
        if self._must_query:
            wait_ms = CATCH_UP_WAIT_MS
        self._must_query = False
        requested_ms = self._clock.now_ms()
        answer = self._store.watch(kind, since, wait_ms, prefix)
        # Without a change the service answers at the end of the wait; with one, at any time since the call.
        has_waited = not answer.items and self._clock.now_ms() >= requested_ms + wait_ms
        answer = replace(
            answer, confirmed_ms=requested_ms + wait_ms if has_waited else requested_ms
        )
        self._send_as_watcher(kind, since, answer)
        return answer

    def query(self, kind: str, since: int) -> ObjectPage:
        """Return the changes after version `since` from the object service, without waiting.

        If there are any, the zone's watchers have not relayed them, so they are sent to the zone.

        Raises
        ======

        HistoryGoneError, PlatformError : as from the object service.
        """
        requested_ms = self._clock.now_ms()
        page = replace(self._store.watch(kind, since, QUERY_WAIT_MS), confirmed_ms=requested_ms)
        self.record_received(page.version)
        if page.items:
            self._send(kind, since, page)
        return page

    def record_received(self, version: int) -> None:
        """Record that all changes up to a version were received by other means than a page of `watch`."""
        self._received_version = max(self._received_version, version)

    def _send_as_watcher(self, kind: str, since: int, page: ObjectPage) -> None:
        """Send a page to the other gateways of the zone, if this gateway watches for it."""
        if self._directory.is_watcher():
            self._send(kind, since, page)

    def _send(self, kind: str, since: int, page: ObjectPage) -> None:
        now_ms = self._clock.now_ms()
        message = WatchedPage.from_object_page(kind, since, page, now_ms)
        if not _can_relay(message):
            message = WatchedPage.make_notice(kind, page.version, now_ms)
        self._send_page(message)

    def queue_page(self, page: WatchedPage, delay_ms: float = 0.0) -> None:
        """Queue a page from a watcher; it was in transit for `delay_ms` longer than usual."""
        self._pages.append(_ArrivedPage(page, self._clock.now_ms() - delay_ms))
        self._arrived.set()

    def _wait_for_page(self, kind: str, since: int) -> _ArrivedPage | None:
        """Return the next relayed page; None if the service must be called instead."""
        while self._may_wait_for_watchers(kind):
            self._wait()
        while not self._must_query:
            received = max(since, self._received_version)
            relayed = self._find_relayed(kind, received)
            if not relayed:
                break
            arrived = self._find_page(received, relayed)
            if arrived is not None:
                return arrived
            self._wait()
        return None

    def _may_wait_for_watchers(self, kind: str) -> bool:
        """Return whether to wait for a watcher's report before this gateway watches for itself."""
        if self._must_query or self._clock.now_ms() >= self._wait_for_watchers_until_ms:
            return False
        return not self._directory.find_relayed_version(kind)

    def _find_relayed(self, kind: str, since: int) -> int:
        """Return the version relayed by connected watchers; 0 if this gateway must watch for itself."""
        watches = self._directory.is_watcher()
        relayed = 0 if watches else self._directory.find_relayed_version(kind)
        relies = relayed > 0
        if relies != self._uses_watchers:
            log_event(
                Event.WATCH_RELIANCE_CHANGED,
                watch=kind,
                relies=relies,
                relayed=relayed,
                since=since,
            )
        self._uses_watchers = relies
        return relayed

    def _find_page(self, since: int, relayed: int) -> _ArrivedPage | None:
        """Return the next queued page; None if there is none or a page is missing, which is recorded."""
        self._arrived.clear()
        while self._pages:
            arrived = self._pages.popleft()
            page = arrived.page
            if page.since <= since < page.version:
                return arrived
            if page.since > since:
                self._record_gap(since, page.since)
                return None
        if relayed > since:
            self._record_gap(since, relayed)
        return None

    def _record_gap(self, since: int, relayed: int) -> None:
        self._must_query = True
        log_event(Event.WATCH_PAGE_MISSED, "warning", since=since, relayed=relayed)

    def _wait(self) -> None:
        if not self._must_query:
            self._arrived.wait(WATCHERS_POLL_INTERVAL_MS / MS_PER_SECOND)


def _can_relay(page: WatchedPage) -> bool:
    """Return whether a page is short enough for a message, and a message can contain its objects."""
    try:
        return len(encode_message(page)) <= MAX_RELAYED_PAGE_BYTES
    except (ValueError, OverflowError, RecursionError) as error:
        log_event(Event.OBJECT_UNREADABLE, "warning", kind=page.kind, name="", detail=repr(error))
        return False
