"""Exponential back-off with jitter for calls of a failing service."""

import random
from dataclasses import dataclass

from hemlockswitch.core.clock import Clock

INITIAL_PAUSE_MS = 100
MAX_PAUSE_MS = 3_000
MAX_DOUBLINGS = 16
MIN_OUTAGE_MS = 1_000
"""Failures over a shorter time, such as single refusals by a rate limit, do not count as an outage."""


@dataclass(frozen=True)
class Outage:
    """A period in which every call failed, in times of the process's clock."""

    began_ms: float
    ended_ms: float


class Backoff:
    """The pause in calls of a failing service.

    Explanation
    ===========

    Each failure doubles the pause up to a limit. The actual pause is drawn uniformly from the upper
    half of that length, so that daemons that observed the same failure do not retry simultaneously.
    A success ends the pause. A failed call that began before the pause does not extend it.

    Parameters
    ==========

    clock : the clock that pauses are measured with.
    max_ms : limit of a pause.

    Examples
    ========

    >>> from hemlockswitch.core.clock import ManualClock
    >>> backoff = Backoff(ManualClock())
    >>> backoff.get_pause_ms()
    0.0
    >>> backoff.record_failure(began_ms=0)
    >>> 50 <= backoff.get_pause_ms() <= 100
    True
    >>> backoff.record_success()
    >>> backoff.get_pause_ms()
    0.0
    """

    def __init__(self, clock: Clock, max_ms: float = MAX_PAUSE_MS) -> None:
        self._clock = clock
        self._max_ms = max_ms
        self._failures = 0
        self._paused_at_ms = float("-inf")
        self._resume_at_ms = float("-inf")
        self._failing_since_ms: float | None = None
        self.last_outage: Outage | None = None

    def get_pause_ms(self) -> float:
        """Return the remaining wait before the next call; 0 if a call may be made now."""
        return max(self._resume_at_ms - self._clock.now_ms(), 0.0)

    def record_success(self) -> None:
        """End the back-off."""
        since_ms, self._failing_since_ms = self._failing_since_ms, None
        now_ms = self._clock.now_ms()
        if since_ms is not None and now_ms - since_ms >= MIN_OUTAGE_MS:
            self.last_outage = Outage(since_ms, now_ms)
        self._failures = 0
        self._resume_at_ms = float("-inf")

    def record_failure(self, began_ms: float) -> None:
        """Start or extend the pause after the failure of a call that began at `began_ms`."""
        if self._failing_since_ms is None:
            self._failing_since_ms = began_ms
        if began_ms < self._paused_at_ms:
            return
        self._paused_at_ms = self._clock.now_ms()
        pause_ms = min(INITIAL_PAUSE_MS * 2**self._failures, self._max_ms)
        self._failures = min(self._failures + 1, MAX_DOUBLINGS)
        self._resume_at_ms = self._paused_at_ms + pause_ms * random.uniform(0.5, 1)
