"""Back-off with jitter towards a service that fails."""

import random
from dataclasses import dataclass

from hemlockswitch.core.clock import Clock

FIRST_PAUSE_MS = 100
LONGEST_PAUSE_MS = 3_000
MAX_DOUBLINGS = 16
SHORTEST_OUTAGE_MS = 1_000
"""Failures over less time than this, such as single refusals for the rate, are no outage."""


@dataclass(frozen=True)
class Outage:
    """A time in which every call failed, by the readings of the process's clock."""

    began_ms: float
    ended_ms: float


class Backoff:
    """How long to leave a failing service alone.

    Explanation
    ===========

    Each failure doubles the pause up to a bound; the pause is drawn evenly from its upper half,
    so that the daemons of a fleet which saw the same failure do not return together. A success
    ends it. A failure of a call that began before the pause did does not lengthen it.

    Parameters
    ==========

    clock : the time.
    longest_ms : bound of a pause.

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

    def __init__(self, clock: Clock, longest_ms: float = LONGEST_PAUSE_MS) -> None:
        self._clock = clock
        self._longest_ms = longest_ms
        self._failures = 0
        self._paused_at_ms = float("-inf")
        self._resume_at_ms = float("-inf")
        self._failing_since_ms: float | None = None
        self.last_outage: Outage | None = None

    def get_pause_ms(self) -> float:
        """Return how long still to wait before the next call; 0 when it may go now."""
        return max(self._resume_at_ms - self._clock.now_ms(), 0.0)

    def record_success(self) -> None:
        """End the back-off."""
        since_ms, self._failing_since_ms = self._failing_since_ms, None
        now_ms = self._clock.now_ms()
        if since_ms is not None and now_ms - since_ms >= SHORTEST_OUTAGE_MS:
            self.last_outage = Outage(since_ms, now_ms)
        self._failures = 0
        self._resume_at_ms = float("-inf")

    def record_failure(self, began_ms: float) -> None:
        """Begin or lengthen the pause after a call that began at `began_ms` failed."""
        if self._failing_since_ms is None:
            self._failing_since_ms = began_ms
        if began_ms < self._paused_at_ms:
            return
        self._paused_at_ms = self._clock.now_ms()
        pause_ms = min(FIRST_PAUSE_MS * 2**self._failures, self._longest_ms)
        self._failures = min(self._failures + 1, MAX_DOUBLINGS)
        self._resume_at_ms = self._paused_at_ms + pause_ms * random.uniform(0.5, 1)
