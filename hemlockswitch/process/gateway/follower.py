"""Following the objects of one kind: listed once, then watched, and listed again when needed."""

import contextlib
from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Protocol

import gevent

from hemlockswitch.connection.stored_objects import ObjectPage
from hemlockswitch.core.clock import Clock
from hemlockswitch.core.errors import HistoryGoneError, PlatformError
from hemlockswitch.core.events import Event
from hemlockswitch.core.logs import log_event
from hemlockswitch.process.gateway.object_versions import ObjectVersions

WATCH_WAIT_MS = 25_000
"""How long a watch waits: near the longest that platforms allow, since each call costs; a dead
connection is found by the kernel's keep-alive probes long before."""
RETRY_MS = 250.0
"""Pause after a failed call. A change must be known within two seconds of the platform's return,
so the pause stays well below; the client's own back-off adds to it."""
MOST_CONFIRMATIONS = 16
"""Confirmations that wait for a page; one or two come in a second."""


class WatchRenewedError(Exception):
    """The watch is given up for a new one; nothing failed."""


class WatchedStore(Protocol):
    """The reading side of an object service."""

    def list(self, kind: str, prefix: str = "") -> ObjectPage:
        """Return all objects of a kind."""

    def watch(self, kind: str, since: int, wait_ms: int, prefix: str = "") -> ObjectPage:
        """Return what changed after version `since`."""


class AskedStore(WatchedStore, Protocol):
    """One that can also be asked for what has changed; see `process.gateway.relayed_watch`."""

    def ask(self, kind: str, since: int) -> ObjectPage:
        """Return at once what has changed after version `since`."""

    def note_known(self, version: int) -> None:
        """All changes up to a version are known."""


class ObjectConsumer(Protocol):
    """Takes what a follower learns."""

    def replace_all(self, page: ObjectPage) -> None:
        """These are all objects; others are gone."""

    def apply_changes(self, page: ObjectPage) -> None:
        """These objects changed or were deleted."""


@dataclass(frozen=True)
class _Confirmation:
    """What another gateway has told: see `ObjectFollower.take_confirmation`."""

    changed: int
    until: int
    confirmed_ms: float


class ObjectFollower:
    """Keeps a consumer up to date with the objects of one kind.

    Explanation
    ===========

    After a watch that failed or was given up everything is listed again: a list has each object
    once, a watch has each change of it since, which on a slow link may take longer than a call may.
    After a list that failed the next step is a watch, which other gateways may answer.

    Parameters
    ==========

    store : the object service.
    kind : the kind of objects.
    consumer : takes what is learned.
    clock : the time.
    get_settle_ms : returns how long to wait after a change before the next watch, so that changes
        that come together cost one call.
    wait_ms : how long a watch waits. Where changes are rare it must be less than the time for which the
        service keeps them, or each watch ends with the loss of its history.
    """

    def __init__(
        self,
        store: AskedStore,
        kind: str,
        consumer: ObjectConsumer,
        clock: Clock,
        get_settle_ms: Callable[[], float] = lambda: 0.0,
        wait_ms: int = WATCH_WAIT_MS,
    ) -> None:
        self._wait_ms = wait_ms
        self.recovered_ms = float("-inf")
        self.heard_ms = float("-inf")
        self.confirmed_ms = clock.now_ms()  # Nothing is older than the process.
        self.first_synced_ms: float | None = None
        self.is_synced = False
        self.is_lost = False
        self._store = store
        self.kind = kind
        self.watch_sent_ms: float | None = None
        self._task: gevent.Greenlet | None = None
        self._consumer = consumer
        self._clock = clock
        self._get_settle_ms = get_settle_ms
        self._versions = ObjectVersions()
        self._confirmations: list[_Confirmation] = []
        self._failed_call_ms = float("-inf")
        self._must_list = True

    @property
    def version(self) -> int:
        """The version up to which the consumer knows the kind."""
        return self._versions.known

    @property
    def changed_version(self) -> int:
        """The version of the last change that the consumer knows, or a later one without a change."""
        return self._versions.changed

    @property
    def live_version(self) -> int:
        """The version that the consumer knows; 0 while the service does not answer."""
        return self.version if self.is_synced and not self.is_lost else 0

    def measure_age_ms(self) -> float:
        """Return how long ago the consumer was known to know all that the service had."""
        return self._clock.now_ms() - self.confirmed_ms

    def run(self) -> None:
        """Follow until the task is ended."""
        while True:
            # A renewal may also come between two calls; then there is nothing to give up.
            with contextlib.suppress(WatchRenewedError):
                self.take_step()

    def renew_watch(self) -> None:
        """Give up the watch that waits now, once, and list everything again."""
        self._must_list = True
        self._give_up_watch()

    def _give_up_watch(self) -> None:
        task, self._task, self.watch_sent_ms = self._task, None, None
        if task is not None:
            task.kill(WatchRenewedError(), block=False)

    def ask(self) -> None:
        """Ask the service at once for what is not known here, beside the watch that waits.

        A watch that should have brought what comes, or that may have been swallowed, is sent anew.

        Raises
        ======

        PlatformError : the service did not answer.
        """
        was_lost = self.is_lost
        began_ms = self._clock.now_ms()
        try:
            page = self._store.ask(self.kind, self.version)
        except HistoryGoneError:
            self._note_history_gone()
            self._give_up_watch()
            return
        except PlatformError as error:
            self._note_lost(error, began_ms)
            raise
        self._note_heard()
        if self._take(page) or was_lost:
            self._give_up_watch()

    def take_confirmation(self, changed: int, until: int, confirmed_ms: float) -> None:
        """Take from another gateway that the last change up to version `until` was at `changed`.

        The confirmation waits here until the changes up to there are known.

        Parameters
        ==========

        confirmed_ms : when the service has said so, by this process's clock.
        """
        self._confirmations = [*self._confirmations, _Confirmation(changed, until, confirmed_ms)][
            -MOST_CONFIRMATIONS:
        ]
        self._use_confirmations()

    def _use_confirmations(self) -> None:
        """Use the confirmations of what is known here, and keep the others."""
        waiting, self._confirmations = self._confirmations, []
        for one in waiting:
            if one.confirmed_ms <= self.confirmed_ms:
                continue
            if self._versions.note_unchanged(one.changed, one.until):
                self.confirmed_ms = one.confirmed_ms
                self._store.note_known(self.version)
            else:
                self._confirmations.append(one)

    def take_step(self) -> None:
        """Make one call, or rest after a failed one."""
        began_ms = self._clock.now_ms()
        try:
            if self._must_list or not self.is_synced:
                self._list()
            else:
                self._watch()
        except HistoryGoneError:
            self._note_history_gone()
        except PlatformError as error:
            self._must_list = not self._must_list
            self._note_lost(error, began_ms)
            self._clock.sleep_ms(RETRY_MS)

    def _note_history_gone(self) -> None:
        log_event(Event.WATCH_HISTORY_GONE, "warning", kind=self.kind, since=self.version)
        self.is_synced = False

    def _list(self) -> None:
        page = self._store.list(self.kind)
        self._note_heard()
        self._take(replace(page, is_whole=True))
        self.is_synced = True
        self._must_list = False
        if self.first_synced_ms is None:
            self.first_synced_ms = self._clock.now_ms()

    def _watch(self) -> None:
        self.watch_sent_ms = self._clock.now_ms()
        self._task = gevent.getcurrent()
        try:
            page = self._store.watch(self.kind, self.version, self._wait_ms)
        finally:
            self.watch_sent_ms = self._task = None
        self._note_heard()
        self._take(page)
        if page.items:
            self._clock.sleep_ms(self._get_settle_ms())

    def _take(self, page: ObjectPage) -> bool:
        """Give the consumer what is news of a page; return whether there was any."""
        news = self._versions.take(page)
        if news.is_whole:
            self._consumer.replace_all(news)
        elif news.items:
            self._consumer.apply_changes(news)
        if page.confirmed_ms is not None:
            self.confirmed_ms = max(self.confirmed_ms, page.confirmed_ms)
        if self._confirmations:
            self._use_confirmations()
        return news.is_whole or bool(news.items)

    def _note_lost(self, error: PlatformError, began_ms: float) -> None:
        self._failed_call_ms = began_ms
        if not self.is_lost:
            log_event(Event.WATCH_FAILED, "warning", watch=self.kind, detail=error.detail)
        self.is_lost = True

    def _note_heard(self) -> None:
        self.heard_ms = self._clock.now_ms()
        if self.is_lost:
            # A call that fails late, after the service has answered others, shows no outage.
            if self.confirmed_ms <= self._failed_call_ms:
                self.recovered_ms = self._clock.now_ms()
            log_event(Event.WATCH_RECOVERED, watch=self.kind)
        self.is_lost = False
