"""Following the objects of one kind: list once, then watch, and list again when needed."""

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
"""How long a watch waits: close to the maximum that platforms allow, since each call has a cost. A dead
connection is detected by the kernel's keep-alive probes long before."""
RETRY_DELAY_MS = 250.0
"""Pause after a failed call. Changes must be received within two seconds of the platform's return, so the
pause is much shorter; the client's own back-off adds to it."""
MAX_QUEUED_CONFIRMATIONS = 16
"""Maximum number of confirmations that wait for a page; one or two arrive per second."""


class WatchRenewedError(Exception):
    """The watch is cancelled to be replaced by a new one; not a failure."""


class WatchedStore(Protocol):
    """The reading side of an object service."""

    def list(self, kind: str, prefix: str = "") -> ObjectPage:
        """Return all objects of a kind."""

    def watch(self, kind: str, since: int, wait_ms: int, prefix: str = "") -> ObjectPage:
        """Return the changes after version `since`."""


class QueriedStore(WatchedStore, Protocol):
    """A store that can also be queried without waiting; see `process.gateway.relayed_watch`."""

    def query(self, kind: str, since: int) -> ObjectPage:
        """Return the changes after version `since` without waiting for one."""

    def record_received(self, version: int) -> None:
        """Record that all changes up to a version were received."""


class ObjectConsumer(Protocol):
    """Receives the objects and changes that a follower reads."""

    def replace_all(self, page: ObjectPage) -> None:
        """Replace the state with the complete list in `page`; objects not in it were deleted."""

    def apply_changes(self, page: ObjectPage) -> None:
        """Apply the changed and deleted objects in `page`."""


@dataclass(frozen=True)
class _Confirmation:
    """A confirmation of another gateway; see `ObjectFollower.apply_confirmation`."""

    changed: int
    until: int
    confirmed_ms: float


class ObjectFollower:
    """Keeps a consumer up to date with the objects of one kind.

    Explanation
    ===========

    After a watch that failed or was cancelled all objects are listed again: a list contains each object
    once, but a watch contains every change since, whose transfer over a slow link may exceed the time-out
    of a call. After a failed list the next step is a watch, because other gateways may supply its pages.

    Parameters
    ==========

    store : the object service.
    kind : the kind of objects.
    consumer : receives the objects and changes.
    clock : the time.
    get_settle_ms : returns how long to wait after a change before the next watch, so that changes
        that come together cost one call.
    wait_ms : how long a watch waits. Where changes are rare it must be less than the time for which the
        service retains them, or each watch ends with the loss of its history.
    """

    def __init__(
        self,
        store: QueriedStore,
        kind: str,
        consumer: ObjectConsumer,
        clock: Clock,
        get_settle_ms: Callable[[], float] = lambda: 0.0,
        wait_ms: int = WATCH_WAIT_MS,
    ) -> None:
        self._wait_ms = wait_ms
        self.recovered_ms = float("-inf")
        self.received_ms = float("-inf")
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
        self._history_lost_ms = float("-inf")
        self._must_list = True

    @property
    def version(self) -> int:
        """The version up to which the consumer has received all changes."""
        return self._versions.complete_version

    @property
    def changed_version(self) -> int:
        """The version of the last change that the consumer received, or a later one without a change."""
        return self._versions.changed_version

    @property
    def live_version(self) -> int:
        """The version up to which the consumer is complete; 0 while the service does not answer."""
        return self.version if self.is_synced and not self.is_lost else 0

    def measure_age_ms(self) -> float:
        """Return the time since the consumer was last confirmed to match the service."""
        return self._clock.now_ms() - self.confirmed_ms

    def run(self) -> None:
        """Follow until the task is killed."""
        while True:
            # A renewal may also come between two calls, when there is no watch to cancel.
            with contextlib.suppress(WatchRenewedError):
                self.run_step()

    def renew_watch(self) -> None:
        """Cancel the waiting watch, if there is one, and list all objects again."""
        self._must_list = True
        self._cancel_watch()

    def _cancel_watch(self) -> None:
        task, self._task, self.watch_sent_ms = self._task, None, None
        if task is not None:
            task.kill(WatchRenewedError(), block=False)

    def query(self) -> None:
        """Query the service for missing changes without waiting, beside the waiting watch.

        The watch is sent again if it should have returned the changes found, or may have been lost
        because the service was unavailable.

        Raises
        ======

        PlatformError : the service did not answer.
        """
        was_lost = self.is_lost
        began_ms = self._clock.now_ms()
        try:
            page = self._store.query(self.kind, self.version)
        except HistoryGoneError:
            self._record_history_loss()
            self._cancel_watch()
            return
        except PlatformError as error:
            self._record_failure(error, began_ms)
            raise
        self._record_answer()
        if self._apply(page) or was_lost:
            self._cancel_watch()

    def apply_confirmation(self, changed: int, until: int, confirmed_ms: float) -> None:
        """Apply another gateway's confirmation that the last change up to version `until` was at `changed`.

        The confirmation is queued until the changes up to `changed` have been received here.

        Parameters
        ==========

        confirmed_ms : when the service confirmed this, by this process's clock.
        """
        self._confirmations = [*self._confirmations, _Confirmation(changed, until, confirmed_ms)][
            -MAX_QUEUED_CONFIRMATIONS:
        ]
        self._apply_confirmations()

    def _apply_confirmations(self) -> None:
        """Apply the confirmations whose changes have been received, and keep the remaining ones queued."""
        waiting, self._confirmations = self._confirmations, []
        for one in waiting:
            if one.confirmed_ms <= self.confirmed_ms:
                continue
            if self._versions.record_unchanged(one.changed, one.until):
                self.confirmed_ms = one.confirmed_ms
                self._store.record_received(self.version)
            else:
                self._confirmations.append(one)

    def run_step(self) -> None:
        """Make one call, and pause if it fails."""
        began_ms = self._clock.now_ms()
        lists = self._must_list or not self.is_synced
        self._must_list = False
        try:
            if lists:
                self._list()
            else:
                self._watch()
        except WatchRenewedError:
            self._must_list = self._must_list or lists
            raise
        except HistoryGoneError:
            self._record_history_loss()
            if began_ms - self._history_lost_ms < RETRY_DELAY_MS:
                self._clock.sleep_ms(RETRY_DELAY_MS)
            self._history_lost_ms = self._clock.now_ms()
        except PlatformError as error:
            self._must_list = self._must_list or not lists
            self._record_failure(error, began_ms)
            self._clock.sleep_ms(RETRY_DELAY_MS)

    def _record_history_loss(self) -> None:
        log_event(Event.WATCH_HISTORY_GONE, "warning", kind=self.kind, since=self.version)
        self.is_synced = False

    def _list(self) -> None:
        page = self._store.list(self.kind)
        self._record_answer()
        self._apply(replace(page, is_whole=True))
        self.is_synced = True
        if self.first_synced_ms is None:
            self.first_synced_ms = self._clock.now_ms()

    def _watch(self) -> None:
        self.watch_sent_ms = self._clock.now_ms()
        self._task = gevent.getcurrent()
        try:
            page = self._store.watch(self.kind, self.version, self._wait_ms)
        finally:
            self.watch_sent_ms = self._task = None
        self._record_answer()
        self._apply(page)
        if page.items:
            self._clock.sleep_ms(self._get_settle_ms())

    def _apply(self, page: ObjectPage) -> bool:
        """Pass the new entries of a page to the consumer; return whether there were any."""
        new_page = self._versions.apply(page)
        if new_page.is_whole:
            self._consumer.replace_all(new_page)
        elif new_page.items:
            self._consumer.apply_changes(new_page)
        if page.confirmed_ms is not None:
            self.confirmed_ms = max(self.confirmed_ms, page.confirmed_ms)
        if self._confirmations:
            self._apply_confirmations()
        return new_page.is_whole or bool(new_page.items)

    def _record_failure(self, error: PlatformError, began_ms: float) -> None:
        self._failed_call_ms = began_ms
        if not self.is_lost:
            log_event(Event.WATCH_FAILED, "warning", watch=self.kind, detail=error.detail)
        self.is_lost = True

    def _record_answer(self) -> None:
        self.received_ms = self._clock.now_ms()
        if self.is_lost:
            # A call that began before the last confirmed answer and failed later shows no outage.
            if self.confirmed_ms <= self._failed_call_ms:
                self.recovered_ms = self._clock.now_ms()
            log_event(Event.WATCH_RECOVERED, watch=self.kind)
        self.is_lost = False
