"""The daemon's limit on requests in progress, and the queue for it."""

import bisect
import itertools
from dataclasses import dataclass, field

from gevent.event import Event

from hemlockswitch.core.clock import MS_PER_SECOND, Clock
from hemlockswitch.core.errors import ErrorKind, RequestError

DEFAULT_PLACES = 1_024
DEFAULT_QUEUE_LENGTH = 256
MAX_WAIT_MS = 2_000.0
INITIAL_DURATION_MS = 500.0
DURATION_WEIGHT = 0.05


@dataclass(order=True)
class _Waiter:
    """One request in the queue; the smallest is first."""

    priority: int
    number: int
    ready: Event = field(compare=False, default_factory=Event)
    evicted: bool = field(compare=False, default=False)


class CapacityQueue:
    """Limits concurrent requests; excess requests wait in order of priority or are refused early.

    Explanation
    ===========

    A request is refused immediately if the queue is full of requests ahead of it, or if its expected
    wait exceeds its deadline or `max_wait_ms`. In a full queue, a request with a higher priority
    than the last one evicts it.

    Parameters
    ==========

    clock : the process's clock.
    places : maximum number of requests in progress.
    queue_length : maximum number of waiting requests.
    max_wait_ms : maximum time that a request waits.
    """

    def __init__(
        self,
        clock: Clock,
        places: int = DEFAULT_PLACES,
        queue_length: int = DEFAULT_QUEUE_LENGTH,
        max_wait_ms: float = MAX_WAIT_MS,
    ) -> None:
        self._clock = clock
        self._places = places
        self._queue_length = queue_length
        self._max_wait_ms = max_wait_ms
        self._running = 0
        self._waiting: list[_Waiter] = []
        self._numbers = itertools.count()
        self._last_release_ms: float | None = None
        self._gap_ms = INITIAL_DURATION_MS / places

    @property
    def running(self) -> int:
        """Requests in progress."""
        return self._running

    @property
    def waiting(self) -> int:
        """Requests in the queue."""
        return len(self._waiting)

    def enter(self, priority: int, deadline_ms: float | None = None) -> None:
        """Acquire a place, waiting for one if it is expected to become free in time.

        Raises
        ======

        RequestError : ``overloaded``, or ``deadline_before_dispatch`` if the caller's deadline passes
            first.
        """
        self._check_deadline(deadline_ms)
        if self._running < self._places and not self._waiting:
            self._running += 1
            return
        waiter = _Waiter(priority, next(self._numbers))
        wait_ms = self._find_max_wait_ms(deadline_ms)
        self._check_wait(waiter, wait_ms)
        self._make_room(waiter)
        bisect.insort(self._waiting, waiter)
        self._wait(waiter, wait_ms, deadline_ms)

    def leave(self) -> None:
        """Release a place and pass it to the first request in the queue."""
        self._record_gap()
        if self._waiting:
            self._waiting.pop(0).ready.set()
            return
        self._running -= 1

    def _check_deadline(self, deadline_ms: float | None) -> None:
        if deadline_ms is not None and deadline_ms <= self._clock.now_ms():
            raise RequestError(
                ErrorKind.DEADLINE_BEFORE_DISPATCH, "the caller's deadline has passed"
            )

    def _find_max_wait_ms(self, deadline_ms: float | None) -> float:
        if deadline_ms is None:
            return self._max_wait_ms
        return min(self._max_wait_ms, deadline_ms - self._clock.now_ms())

    def _check_wait(self, waiter: _Waiter, wait_ms: float) -> None:
        ahead = bisect.bisect(self._waiting, waiter) + 1
        if ahead * self._gap_ms > wait_ms:
            raise self._build_overloaded("the expected wait for a place is too long")

    def _make_room(self, waiter: _Waiter) -> None:
        if len(self._waiting) < self._queue_length:
            return
        if not self._waiting or self._waiting[-1].priority <= waiter.priority:
            raise self._build_overloaded("the request queue is full")
        last = self._waiting.pop()
        last.evicted = True
        last.ready.set()

    def _wait(self, waiter: _Waiter, wait_ms: float, deadline_ms: float | None) -> None:
        try:
            ready = waiter.ready.wait(timeout=wait_ms / MS_PER_SECOND)
        except BaseException:
            self._abandon(waiter)
            raise
        if ready and not waiter.evicted:
            return
        if not waiter.evicted:
            self._waiting.remove(waiter)
            self._check_deadline(deadline_ms)
        raise self._build_overloaded("no place became free in time")

    def _abandon(self, waiter: _Waiter) -> None:
        if waiter in self._waiting:
            self._waiting.remove(waiter)
        elif waiter.ready.is_set() and not waiter.evicted:
            self.leave()

    def _build_overloaded(self, detail: str) -> RequestError:
        retry_after_ms = int(max(self._gap_ms * (len(self._waiting) + 1), 50))
        return RequestError(ErrorKind.OVERLOADED, detail, retry_after_ms=retry_after_ms)

    def _record_gap(self) -> None:
        now_ms = self._clock.now_ms()
        if self._last_release_ms is not None and self._running >= self._places:
            self._gap_ms += DURATION_WEIGHT * (now_ms - self._last_release_ms - self._gap_ms)
        self._last_release_ms = now_ms
