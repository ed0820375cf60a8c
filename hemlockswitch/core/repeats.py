"""Limits how often a repeated finding is logged."""

from collections.abc import Hashable

from hemlockswitch.core.clock import Clock

INTERVAL_MS = 60_000.0
MAX_FINDINGS = 256
"""Number of findings that are remembered; beyond it the oldest one may be logged again sooner."""


class RepeatLimiter:
    """Allows one log line for each finding in `INTERVAL_MS`.

    An object that another program writes is read again with each of its writes.

    Examples
    ========

    >>> from hemlockswitch.core.clock import ManualClock
    >>> clock = ManualClock()
    >>> limiter = RepeatLimiter(clock)
    >>> limiter.allow("servers", "x1"), limiter.allow("servers", "x1")
    (True, False)
    >>> clock.advance(INTERVAL_MS)
    >>> limiter.allow("servers", "x1")
    True
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._allowed_ms: dict[Hashable, float] = {}

    def allow(self, *finding: Hashable) -> bool:
        """Return whether a finding may be logged now, and record that it is."""
        now_ms = self._clock.now_ms()
        allowed_ms = self._allowed_ms.get(finding)
        if allowed_ms is not None and now_ms - allowed_ms < INTERVAL_MS:
            return False
        self._allowed_ms.pop(finding, None)
        self._allowed_ms[finding] = now_ms
        if len(self._allowed_ms) > MAX_FINDINGS:
            del self._allowed_ms[next(iter(self._allowed_ms))]
        return True
