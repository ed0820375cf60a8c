"""The project's one clock type. All times and durations are milliseconds."""

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

    Durations and deadlines inside a process use `now_ms`, which never goes back. `wall_ms` is
    for what leaves the process (records, notices) and may step.
    """

    def now_ms(self) -> float:
        """Return monotonic milliseconds; only differences have a meaning."""

    def wall_ms(self) -> int:
        """Return milliseconds since the Unix epoch."""

    def sleep_ms(self, duration_ms: float) -> None:
        """Let other tasks run for `duration_ms` milliseconds."""


class SystemClock:
    """The clock of the machine.

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
    """A clock that moves only when told to, for tests.

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
        """Return the time set so far in milliseconds."""
        return self._now_ms

    def wall_ms(self) -> int:
        """Return the same reading as `now_ms`, as a whole number."""
        return int(self._now_ms)

    def sleep_ms(self, duration_ms: float) -> None:
        """Advance instead of waiting."""
        self.advance(duration_ms)
