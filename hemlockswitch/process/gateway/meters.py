"""Exponentially smoothed rates and levels of load."""

import math

DEMAND_TIME_CONSTANT_MS = 4_000.0
"""Time constant of the measured demand. It equals the boot time of a copy, so that orders for copies
neither lag behind the demand nor react to single prompts."""


class DemandMeter:
    """Rate of work that follows changes in demand within seconds and smooths out single requests.

    Parameters
    ==========

    time_constant_ms : how quickly it follows; may be changed.

    Examples
    ========

    >>> meter = DemandMeter()
    >>> meter.add(0, 4_000)
    >>> meter.get(0)
    1.0
    """

    def __init__(self, time_constant_ms: float = DEMAND_TIME_CONSTANT_MS) -> None:
        self.time_constant_ms = time_constant_ms
        self._rate = 0.0
        self._updated_ms = 0.0

    def add(self, now_ms: float, amount: float) -> None:
        """Add `amount` of work at `now_ms`."""
        self._rate = self.get(now_ms) + amount / self.time_constant_ms
        self._updated_ms = now_ms

    def get(self, now_ms: float) -> float:
        """Return the rate of work per millisecond."""
        return self._rate * math.exp(-(now_ms - self._updated_ms) / self.time_constant_ms)


class LevelMeter:
    """Smoothed level of a quantity, such as the number of requests in progress.

    Explanation
    ===========

    The number of requests in progress fluctuates by about its square root. A plan that followed
    each reading would order a copy and release it before it has booted.

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
        """Add a reading and return the smoothed level."""
        if self._level is None:
            self._level = value
        weight = 1.0 - math.exp(-(now_ms - self._read_ms) / DEMAND_TIME_CONSTANT_MS)
        self._level += weight * (value - self._level)
        self._read_ms = now_ms
        return self._level
