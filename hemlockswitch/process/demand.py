"""The demand on each model and service, from samples of the zone's reported load."""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from hemlockswitch.core.clock import MS_PER_SECOND, Clock
from hemlockswitch.process.copies import Demand

GROW_SHARE = 0.5
FALL_SHARE = 0.1
DEFAULT_HOLDING_MS = 2_000
DEFAULT_PREFILL_MS = 100


@dataclass
class _Series:
    busy: float = 0.0
    peaks: deque[tuple[float, float]] = field(default_factory=deque)
    begun: deque[tuple[float, int]] = field(default_factory=deque)


class DemandMeter:
    """Smooths samples: up at once by half, down slowly, and the highest of a long window.

    Parameters
    ==========

    clock : monotonic milliseconds.
    window_ms : how far back the peak reaches; the time that the planner waits before it shrinks.

    Examples
    ========

    >>> from hemlockswitch.core.clock import ManualClock
    >>> meter = DemandMeter(ManualClock(), window_ms=1_000)
    >>> for busy in (0, 8, 8):
    ...     meter.add_sample("assistant-llm", busy)
    >>> meter.get_now("assistant-llm").busy, meter.get_peak("assistant-llm").busy
    (6.0, 6.0)
    """

    def __init__(self, clock: Clock, window_ms: float) -> None:
        self._clock = clock
        self._window_ms = window_ms
        self._series: dict[str, _Series] = {}
        self._since_ms = clock.now_ms()

    @property
    def is_settled(self) -> bool:
        """Whether a whole window was seen, so that the peak means something."""
        return self._clock.now_ms() - self._since_ms >= self._window_ms

    def add_sample(self, target: str, busy: float, begun: int | None = None) -> None:
        """Take in what was running and waiting, and the count of requests begun so far."""
        series = self._series.setdefault(target, _Series())
        share = GROW_SHARE if busy > series.busy else FALL_SHARE
        series.busy += share * (busy - series.busy)
        now_ms = self._clock.now_ms()
        series.peaks.append((now_ms, series.busy))
        if begun is not None:
            series.begun.append((now_ms, begun))
        _forget(series.peaks, now_ms - self._window_ms)
        _forget(series.begun, now_ms - self._window_ms)

    def get_now(self, target: str) -> Demand:
        """Return the demand to grow for."""
        return self._make(target, lambda series: series.busy)

    def get_peak(self, target: str) -> Demand:
        """Return the highest demand of the window."""
        return self._make(target, lambda series: max(busy for _, busy in series.peaks))

    def _make(self, target: str, choose: Callable[[_Series], float]) -> Demand:
        series = self._series.get(target)
        if series is None:
            return Demand(0.0)
        return Demand(choose(series), _compute_holding(series), DEFAULT_PREFILL_MS)


def _compute_holding(series: _Series) -> float:
    """Return the time that a request holds its slot, by Little's law over the window."""
    if len(series.begun) < 2:
        return DEFAULT_HOLDING_MS
    (first_ms, first), (last_ms, last) = series.begun[0], series.begun[-1]
    if last <= first or last_ms <= first_ms:
        return DEFAULT_HOLDING_MS
    busy = sum(value for _, value in series.peaks) / len(series.peaks)
    arrivals_per_s = (last - first) * MS_PER_SECOND / (last_ms - first_ms)
    return max(busy / arrivals_per_s * MS_PER_SECOND, 1.0)


def _forget(samples: deque, before_ms: float) -> None:
    while len(samples) > 1 and samples[0][0] < before_ms:
        samples.popleft()
