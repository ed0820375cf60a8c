"""The demand on each model and service, from samples of the zone's reported load."""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from hemlockswitch.core.clock import Clock
from hemlockswitch.process.copies import Demand

GROW_SHARE = 0.5
FALL_SHARE = 0.1
DEFAULT_HOLDING_MS = 2_000
DEFAULT_PREFILL_MS = 100


@dataclass
class _Series:
    busy: float = 0.0
    holding_ms: float = DEFAULT_HOLDING_MS
    peaks: deque[tuple[float, float]] = field(default_factory=deque)


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

    def add_sample(self, target: str, busy: float, holding_ms: float | None = None) -> None:
        """Take in what is running and waiting, and how long a request holds its slot."""
        series = self._series.setdefault(target, _Series())
        share = GROW_SHARE if busy > series.busy else FALL_SHARE
        series.busy += share * (busy - series.busy)
        series.holding_ms = holding_ms or series.holding_ms
        now_ms = self._clock.now_ms()
        series.peaks.append((now_ms, series.busy))
        while series.peaks[0][0] < now_ms - self._window_ms:
            series.peaks.popleft()

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
        return Demand(choose(series), series.holding_ms, DEFAULT_PREFILL_MS)
