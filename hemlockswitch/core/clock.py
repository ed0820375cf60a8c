"""The clock interface and its implementations. All times and durations are in milliseconds."""

import time
from typing import Protocol

import gevent

NANOSECONDS_PER_MS = 1_000_000
MS_PER_SECOND = 1_000
MS_PER_HOUR = 3_600_000


class Clock(Protocol):
    """A source of time in milliseconds.

    Explanation
    ===========

    Durations and deadlines inside a process use `now_ms`, which never decreases. Data that leaves
    the process (records, notices) uses `wall_ms`, which may jump when the system time is set.
    """

    def now_ms(self) -> float:
        """Return monotonic milliseconds; only differences between readings are meaningful."""

    def wall_ms(self) -> int:
        """Return milliseconds since the Unix epoch."""

    def sleep_ms(self, duration_ms: float) -> None:
        """Suspend the current task for `duration_ms` milliseconds; other tasks run meanwhile."""


class SystemClock:
    """The operating system's clock.

    Examples
    ========

    >>> clock = SystemClock()
    >>> clock.now_ms() <= clock.now_ms()
    True
    """

    def now_ms(self) -> float:
        """Return monotonic milliseconds."""
        return time.monotonic_ns() / NANOSECONDS_PER_MS

    def wall_ms(self) -> int:
        """Return milliseconds since the Unix epoch."""
        return time.time_ns() // NANOSECONDS_PER_MS

    def sleep_ms(self, duration_ms: float) -> None:
        """Yield to the event loop for `duration_ms` milliseconds."""
        gevent.sleep(max(duration_ms, 0) / MS_PER_SECOND)


class ManualClock:
    """A clock for tests that moves only when it is advanced.

    Examples
    ========

    >>> clock = ManualClock(now_ms=5)
    >>> clock.advance(10)
    >>> clock.now_ms()
    15.0
    """

    def __init__(self, now_ms: float = 0) -> None:
        self._now_ms = float(now_ms)

    def advance(self, duration_ms: float) -> None:
        """Move the clock forward by `duration_ms` milliseconds."""
        self._now_ms += duration_ms

    def now_ms(self) -> float:
        """Return the current reading in milliseconds."""
        return self._now_ms

    def wall_ms(self) -> int:
        """Return the reading of `now_ms` as an integer."""
        return int(self._now_ms)

    def sleep_ms(self, duration_ms: float) -> None:
        """Advance the clock without waiting."""
        self.advance(duration_ms)
