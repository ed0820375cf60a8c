"""The anchor of the shares: one object per zone in the platform's object service."""

from collections.abc import Callable
from dataclasses import dataclass

import gevent
from gevent.event import AsyncResult
from gevent.queue import Empty, Queue

from hemlockswitch.connection.stored_objects import ConditionalStore, Written
from hemlockswitch.core.clock import MS_PER_SECOND
from hemlockswitch.core.errors import ErrorKind, HemlockError, PlatformError
from hemlockswitch.core.events import Event
from hemlockswitch.core.logs import log_event
from hemlockswitch.process.shares.parts import ZoneTotals
from hemlockswitch.process.shares.record import (
    EntryWatch,
    RenewShares,
    ShareRecord,
    SharesRenewed,
)

KIND = "shares"
BATCH_MS = 300.0
MAX_WRITE_ATTEMPTS = 4


@dataclass(frozen=True)
class _PendingRenewal:
    """A renewal that waits to be written."""

    request: RenewShares
    result: AsyncResult


class ShareAnchor:
    """Writes the renewals of a zone's daemons into its record, several in one write.

    Explanation
    ===========

    Any daemon of the zone may write: of two concurrent conditional updates one succeeds, and the other
    writer reads again. A renewal is answered only after the platform has confirmed the write that contains
    it. A write with a lost answer is read back and, at worst, repeated, which has no effect because a
    renewal is identified by its counter.

    Parameters
    ==========

    store : the platform's object service.
    zone : name of the record.
    find_totals : returns what the zone divides now, according to the active configuration.
    watch : tracks for how long entries have not been renewed.
    batch_ms : renewals that arrive within this time are written together.
    """

    def __init__(
        self,
        store: ConditionalStore,
        zone: str,
        find_totals: Callable[[], ZoneTotals],
        watch: EntryWatch,
        batch_ms: float = BATCH_MS,
    ) -> None:
        self._store = store
        self._zone = zone
        self._find_totals = find_totals
        self._watch = watch
        self._batch_ms = batch_ms
        self._queue: Queue[_PendingRenewal] = Queue()
        self._task: gevent.Greenlet | None = None

    def start(self) -> None:
        """Start the writing task."""
        self._task = gevent.spawn(self._run)

    def stop(self) -> None:
        """Stop the task; pending renewals are not answered."""
        if self._task is not None:
            self._task.kill(block=False)

    def renew(self, request: RenewShares) -> SharesRenewed:
        """Write one renewal and return the grants after the platform has confirmed the write.

        Raises
        ======

        PlatformError : the platform did not confirm the write.
        """
        waiting = _PendingRenewal(request, AsyncResult())
        self._queue.put(waiting)
        return waiting.result.get()

    def write(self, requests: list[RenewShares]) -> list[SharesRenewed | None]:
        """Write several renewals in one write; the reply to an outdated renewal is None.

        Raises
        ======

        PlatformError : the platform did not confirm the write.
        """
        for _ in range(MAX_WRITE_ATTEMPTS):
            replies = self._try_write(requests)
            if replies is not None:
                return replies
        raise PlatformError(
            ErrorKind.PLATFORM_UNAVAILABLE, "the platform confirmed no write of the share record"
        )

    def _try_write(self, requests: list[RenewShares]) -> list[SharesRenewed | None] | None:
        """Read, apply, and write once; return None if the write was not confirmed."""
        stored = self._store.read(KIND, self._zone)
        record = ShareRecord() if stored is None else ShareRecord.from_value(stored.value)
        self._watch.observe(record.entries.values())
        record.remove_unreserved(self._watch)
        divided = self._find_totals()
        entries = record.entries.values()
        names = {entry.name for entry in entries if not self._watch.is_expired(entry)}
        names |= {request.member for request in requests} | divided.names
        names -= {request.member for request in requests if request.leaving}
        # Renewals that return units are applied first, so that the freed units are available to the others.
        order = sorted(range(len(requests)), key=lambda index: not requests[index].leaving)
        replies: list[SharesRenewed | None] = [None] * len(requests)
        for index in order:
            replies[index] = record.renew(requests[index], divided.totals, names, self._watch)
        if stored is None:
            outcome = self._store.create(KIND, self._zone, record.to_value())
        else:
            outcome = self._store.update(KIND, self._zone, record.to_value(), stored.version)
        return replies if isinstance(outcome, Written) else None

    def _run(self) -> None:
        while True:
            batch = self._collect()
            try:
                replies = self.write([waiting.request for waiting in batch])
            except HemlockError as error:
                _refuse(batch, error)
                continue
            except Exception as error:
                # A malformed record must not end the task, which would stop all renewals.
                log_event(Event.TASK_FAILED, "error", task="shares anchor", error=repr(error))
                _refuse(batch, PlatformError(ErrorKind.INTERNAL, "the share record is malformed"))
                continue
            for waiting, reply in zip(batch, replies, strict=True):
                self._answer(waiting, reply)

    def _answer(self, waiting: _PendingRenewal, reply: SharesRenewed | None) -> None:
        if reply is not None:
            waiting.result.set(reply)
            return
        late = PlatformError(ErrorKind.STALE_FENCING, "a newer renewal of this process is recorded")
        waiting.result.set_exception(late)

    def _collect(self) -> list[_PendingRenewal]:
        batch = [self._queue.get()]
        gevent.sleep(self._batch_ms / MS_PER_SECOND)
        while True:
            try:
                batch.append(self._queue.get_nowait())
            except Empty:
                return batch


def _refuse(batch: list[_PendingRenewal], error: HemlockError) -> None:
    for waiting in batch:
        waiting.result.set_exception(error)
