"""The task that writes one partition, with all waiting operations in a batch."""

import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

import gevent
from gevent.event import AsyncResult
from gevent.event import Event as Signal

from hemlockswitch.connection.stored_objects import Conflict, Unknown, WriteOutcome, Written
from hemlockswitch.core.clock import MS_PER_SECOND, Clock
from hemlockswitch.core.errors import ErrorKind, HemlockError, PlatformError
from hemlockswitch.core.events import Event
from hemlockswitch.core.logs import log_event
from hemlockswitch.process.claims.ledger import Operation, Result, Verdict, apply
from hemlockswitch.process.claims.objects import PartitionObjects

MAX_PENDING = 4_096
MAX_BATCH = 64
MAX_ATTEMPTS = 8
CONFLICT_PAUSE_MS = 10.0
LOG_INTERVAL_MS = 5_000
MAX_REFUSAL_WAIT_MS = 400


@dataclass(frozen=True)
class Pace:
    """The rate of a partition's writes.

    Parameters
    ==========

    interval_ms : average time between two writes of the partition by this daemon.
    burst : number of writes that may follow at once after an idle period.
    lazy_ms : how long operations that no caller waits for are delayed, to be batched.
    """

    interval_ms: float = 64.0
    burst: int = 4
    lazy_ms: float = 200.0


@dataclass
class _PendingOperation:
    """An operation in the queue, and its future result."""

    operation: Operation
    result: AsyncResult = field(default_factory=AsyncResult)


@dataclass
class WriterCounts:
    """Counters of a process's writers, and the time of their last failure log."""

    operations: int = 0
    writes: int = 0
    conflicts: int = 0
    unknown: int = 0
    failures: int = 0
    logged_ms: float = float("-inf")


class PartitionWriter:
    """Applies operations to one partition in batches, one conditional write each.

    Explanation
    ===========

    Operations that arrive during a write form the next batch. After a conflict, or a write whose
    answer is lost, the head is read again and the same batch is applied again; this is safe
    because operations are identified by their claim's id.

    Parameters
    ==========

    objects : the partition.
    clock : provides the time.
    retention_ms : returns how long claims are retained.
    pace : limits the rate of writes.
    counts : counters, shared by the writers of a process.
    """

    def __init__(
        self,
        objects: PartitionObjects,
        clock: Clock,
        retention_ms: Callable[[], int],
        pace: Pace,
        counts: WriterCounts,
    ) -> None:
        self._objects = objects
        self._clock = clock
        self._retention_ms = retention_ms
        self._pace = pace
        self._counts = counts
        self._pending: deque[_PendingOperation] = deque()
        self._arrived = Signal()
        self._urgent = Signal()
        self._next_write_ms = float("-inf")
        self._task: gevent.Greenlet | None = None

    def perform(self, operation: Operation, timeout_ms: float) -> Result:
        """Return an operation's result once it is written, or ``uncertain`` after a timeout."""
        if len(self._pending) >= MAX_PENDING:
            return Result(Verdict.UNAVAILABLE)
        waiting = _PendingOperation(operation)
        self._pending.append(waiting)
        self._arrived.set()
        if not operation.lazy:
            self._urgent.set()
        if self._task is None:
            self._task = gevent.spawn(self._run)
        try:
            return waiting.result.get(timeout=max(timeout_ms, 0) / MS_PER_SECOND)
        except gevent.Timeout:
            return Result(Verdict.UNCERTAIN)

    def stop(self) -> None:
        """Stop the task; waiting operations get the verdict ``uncertain``."""
        if self._task is not None:
            self._task.kill(block=False)
        while self._pending:
            self._pending.popleft().result.set(Result(Verdict.UNCERTAIN))

    def _run(self) -> None:
        while True:
            self._arrived.wait()
            self._urgent.wait(self._pace.lazy_ms / MS_PER_SECOND)
            self._clock.sleep_ms(self._next_write_ms - self._clock.now_ms())
            self._serve(self._take_batch())

    def _take_batch(self) -> list[_PendingOperation]:
        count = min(len(self._pending), MAX_BATCH)
        batch = [self._pending.popleft() for _ in range(count)]
        if not self._pending:
            self._arrived.clear()
            self._urgent.clear()
        return batch

    def _serve(self, batch: list[_PendingOperation]) -> None:
        self._counts.operations += len(batch)
        try:
            results = self._commit([waiting.operation for waiting in batch])
        except Exception as error:
            log_event(Event.TASK_FAILED, "error", task="claim writer", error=repr(error))
            self._objects.discard_head()
            results = [Result(Verdict.UNCERTAIN)] * len(batch)
        for waiting, result in zip(batch, results, strict=True):
            waiting.result.set(result)

    def _commit(self, operations: list[Operation]) -> list[Result]:
        """Apply and write a batch until a write succeeds; after a failure, return its verdict."""
        uncertain = False
        began_ms = self._clock.now_ms()
        try:
            for _ in range(MAX_ATTEMPTS):
                was_cached = self._objects.is_head_cached()
                try:
                    results, outcome = self._try_once(operations)
                except PlatformError as error:
                    self._wait_out_refusal(error, began_ms)
                    continue
                if outcome is None and was_cached and _depends_on_freshness(results):
                    self._objects.discard_head()
                    continue
                if outcome is None or isinstance(outcome, Written):
                    return results
                uncertain = uncertain or isinstance(outcome, Unknown)
                self._count_failure(outcome)
            raise PlatformError(
                ErrorKind.PLATFORM_UNAVAILABLE, "too many failed attempts to write the claims"
            )
        except HemlockError as error:
            verdict = Verdict.UNCERTAIN if uncertain else Verdict.UNAVAILABLE
            self._record_failure(error.detail)
            return [Result(verdict)] * len(operations)

    def _wait_out_refusal(self, error: PlatformError, began_ms: float) -> None:
        """Sleep through a short refusal, such as one for the request rate; raise any other."""
        spent_ms = self._clock.now_ms() - began_ms + error.answer.retry_after_ms
        if error.kind is not ErrorKind.PLATFORM_UNAVAILABLE or spent_ms > MAX_REFUSAL_WAIT_MS:
            raise error
        self._clock.sleep_ms(error.answer.retry_after_ms)

    def _record_failure(self, reason: str) -> None:
        """Count a failed batch; failures are logged at most once per `LOG_INTERVAL_MS`."""
        self._counts.failures += 1
        now_ms = self._clock.now_ms()
        if now_ms - self._counts.logged_ms >= LOG_INTERVAL_MS:
            self._counts.logged_ms = now_ms
            failures = self._counts.failures
            log_event(Event.CLAIM_WRITE_FAILED, "warning", failures=failures, reason=reason)

    def _try_once(self, operations: list[Operation]) -> tuple[list[Result], WriteOutcome | None]:
        """Apply a batch and write it; the outcome is None if nothing had to be written."""
        now_wall_ms = self._clock.wall_ms()
        draft = self._objects.make_draft(now_wall_ms - self._retention_ms())
        results = [apply(operation, draft) for operation in operations]
        if not draft.changed:
            return results, None
        self._count_write()
        return results, self._objects.write(draft, now_wall_ms)

    def _count_write(self) -> None:
        """Count a write and schedule the earliest time of the next."""
        self._counts.writes += 1
        earliest_ms = self._clock.now_ms() - self._pace.burst * self._pace.interval_ms
        self._next_write_ms = max(self._next_write_ms, earliest_ms) + self._pace.interval_ms

    def _count_failure(self, outcome: WriteOutcome) -> None:
        if isinstance(outcome, Conflict):
            self._counts.conflicts += 1
            self._clock.sleep_ms(random.uniform(0, CONFLICT_PAUSE_MS))
        else:
            self._counts.unknown += 1


def _depends_on_freshness(results: list[Result]) -> bool:
    """Return whether a fresher head could change a result that needed no write."""
    return any(
        result.verdict is Verdict.FULL
        or (result.claim is not None and result.claim.outcome is None)
        for result in results
    )
