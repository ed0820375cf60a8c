"""The demand on each model and service, measured from samples of the reported load."""

import math
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from hemlockswitch.core.clock import Clock
from hemlockswitch.process.copies.planner import Demand

FALL_FACTOR = 4
DEFAULT_HOLDING_MS = 2_000
DEFAULT_PREFILL_MS = 100


@dataclass
class _Series:
    busy: float = 0.0
    sampled_ms: float | None = None
    holding_ms: float = DEFAULT_HOLDING_MS
    peaks: deque[tuple[float, float]] = field(default_factory=deque)


class DemandMeter:
    """Smooths load samples, and records their peak in a time window.

    Explanation
    ===========

    The number of requests in progress fluctuates randomly within a holding time; a change that persists
    longer is a change of demand. The time constant is one holding time for rises and `FALL_FACTOR` times that
    for falls.

    Parameters
    ==========

    clock : monotonic milliseconds.
    window_ms : window of the peak, which is the time that the planner waits before it shrinks.

    Examples
    ========

    >>> from hemlockswitch.core.clock import ManualClock
    >>> clock = ManualClock()
    >>> meter = DemandMeter(clock, window_ms=60_000)
    >>> meter.add_sample("assistant-llm", 8, holding_ms=1_000)
    >>> clock.advance(1_000)
    >>> meter.add_sample("assistant-llm", 16)
    >>> round(meter.get_now("assistant-llm").busy, 1)
    13.1
    >>> clock.advance(1_000)
    >>> meter.add_sample("assistant-llm", 0)
    >>> round(meter.get_now("assistant-llm").busy, 1)
    10.2
    >>> round(meter.get_peak("assistant-llm").busy, 1)
    13.1
    """

    def __init__(self, clock: Clock, window_ms: float) -> None:
        self._clock = clock
        self._window_ms = window_ms
        self._series: dict[str, _Series] = {}
        self._since_ms = clock.now_ms()

    @property
    def is_settled(self) -> bool:
        """Whether a complete window has been measured, so that the peak is meaningful."""
        return self._clock.now_ms() - self._since_ms >= self._window_ms

    def add_sample(self, target: str, busy: float, holding_ms: float | None = None) -> None:
        """Add a sample of the running and waiting requests, and of the holding time of a slot."""
        series = self._series.setdefault(target, _Series())
        series.holding_ms = holding_ms or series.holding_ms
        now_ms = self._clock.now_ms()
        series.busy += _compute_share(series, busy, now_ms) * (busy - series.busy)
        series.sampled_ms = now_ms
        series.peaks.append((now_ms, series.busy))
        while series.peaks[0][0] < now_ms - self._window_ms:
            series.peaks.popleft()

    def get_now(self, target: str) -> Demand:
        """Return the current demand."""
        return self._build_demand(target, lambda series: series.busy)

    def get_peak(self, target: str) -> Demand:
        """Return the maximum demand of the window."""
        return self._build_demand(target, lambda series: max(busy for _, busy in series.peaks))

    def _build_demand(self, target: str, choose: Callable[[_Series], float]) -> Demand:
        series = self._series.get(target)
        if series is None:
            return Demand(0.0)
        return Demand(choose(series), series.holding_ms, DEFAULT_PREFILL_MS)


def _compute_share(series: _Series, busy: float, now_ms: float) -> float:
    """Return the weight of a new sample, given the time since the previous one."""
    if series.sampled_ms is None:
        return 1.0
    over_ms = series.holding_ms * (1 if busy > series.busy else FALL_FACTOR)
    return 1 - math.exp(-(now_ms - series.sampled_ms) / over_ms)
