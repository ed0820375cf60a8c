"""The wall-clock time that the daemons agree on, even if some clocks step.

A window of the usage report begins at a time of this shared clock. A single daemon's clock may be seconds
off; the median of all daemons' clocks is not, as long as most of them are correct.
"""

import statistics
import time
from collections.abc import Callable

from hemlockswitch.core.clock import NANOSECONDS_PER_MS

MAX_SKEW_MS = 500.0
"""Maximum accepted difference from the median of the other daemons, which is adopted beyond it. Clocks differ
by some tens of milliseconds when none has stepped."""
MIN_ESTIMATES = 2


def read_boot_ms() -> float:
    """Return milliseconds since the machine's start, including the time for which it was suspended."""
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) / NANOSECONDS_PER_MS


def read_wall_ms() -> float:
    """Return the machine's wall-clock time in milliseconds since 1970."""
    return time.time_ns() / NANOSECONDS_PER_MS


class FleetClock:
    """An estimate of the wall-clock time, which does not follow steps of the machine's clock.

    The wall clock is read once, advanced by the boot clock, and compared with the estimates of other
    daemons.

    Examples
    ========

    >>> moments = {"boot": 0.0}
    >>> fleet_clock = FleetClock(lambda: moments["boot"], lambda: 1_000_000.0)
    >>> fleet_clock.apply_estimates({"b": 5_000.0, "c": 5_010.0, "d": 5_020.0})
    >>> fleet_clock.now_ms()
    5010.0
    """

    def __init__(
        self,
        read_boot: Callable[[], float] = read_boot_ms,
        read_wall: Callable[[], float] = read_wall_ms,
    ) -> None:
        self._read_boot = read_boot
        self._offset_ms = read_wall() - read_boot()

    def now_ms(self) -> float:
        """Return the estimated wall-clock time."""
        return self._read_boot() + self._offset_ms

    def apply_estimates(self, estimates: dict[str, float]) -> None:
        """Compare with the present estimates of other daemons, and adopt their median if far off."""
        if len(estimates) < MIN_ESTIMATES:
            return
        median_ms = statistics.median(estimates.values())
        if abs(median_ms - self.now_ms()) > MAX_SKEW_MS:
            self._offset_ms = median_ms - self._read_boot()
