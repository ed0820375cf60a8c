"""Measured rates and levels of load, smoothed over the time in which a copy boots."""

import math

DEMAND_MS = 4_000.0
"""Time constant of the measured demand: as long as a copy boots, so that an order that follows it
is neither stale nor led by single prompts."""


class DemandMeter:
    """A rate of work that follows the demand within seconds and smooths single requests.

    Examples
    ========

    >>> meter = DemandMeter()
    >>> meter.add(0, 4_000)
    >>> meter.get(0)
    1.0
    """

    def __init__(self) -> None:
        self._rate = 0.0
        self._updated_ms = 0.0

    def add(self, now_ms: float, amount: float) -> None:
        """Count `amount` of work."""
        self._rate = self.get(now_ms) + amount / DEMAND_MS
        self._updated_ms = now_ms

    def get(self, now_ms: float) -> float:
        """Return the work in a millisecond."""
        return self._rate * math.exp(-(now_ms - self._updated_ms) / DEMAND_MS)


class LevelMeter:
    """A level, such as the requests in progress, that is smoothed over its latest readings.

    Explanation
    ===========

    Requests in progress vary by the root of their number from one moment to the next. A plan that
    follows each reading orders a copy and gives it back before it has booted.

    Examples
    ========

    >>> level = LevelMeter()
    >>> level.read(0, 20.0)
    20.0
    >>> round(level.read(400, 30.0), 1)
    21.0
    """

    def __init__(self) -> None:
        self._level: float | None = None
        self._read_ms = 0.0

    def read(self, now_ms: float, value: float) -> float:
        """Take a reading and return the level."""
        if self._level is None:
            self._level = value
        weight = 1.0 - math.exp(-(now_ms - self._read_ms) / DEMAND_MS)
        self._level += weight * (value - self._level)
        self._read_ms = now_ms
        return self._level
