"""The trend of the demand for a service, by zone and kind of request (route).

Answers the load of a demand that rises by a third in ten seconds, differently in each zone, and of one kind of
request that doubles for some seconds. A copy that is ordered when the demand has risen serves a boot time later;
one that is ordered by the trend serves when it is needed. Pure: times are passed in.
"""

import math
import statistics
from collections import deque
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field

WINDOW_MS = 8_000.0
"""Age up to which samples count. A shorter window follows bursts faster, but takes the usual scatter of some
hundred requests a second for a trend; a longer one lags behind a swing of 40 s by a quarter of it."""
SAMPLE_INTERVAL_MS = 500.0
"""Time between samples: half of the time constant of what is sampled. With 16 samples, the slopes of all pairs of
one zone and route take some 0.1 ms to calculate."""
MIN_SPAN_MS = 4_000.0
"""Shortest history that gives a trend. A new holder of the duties plans without one until then."""
LEVEL_SPAN_MS = 2_000.0
"""Samples of this age are averaged for the present level, which steadies it to some percent of 100 requests a
second."""
METER_TIME_CONSTANT_MS = 1_000.0
"""Time constant of the rates that gateways report."""
LAG_MS = METER_TIME_CONSTANT_MS + LEVEL_SPAN_MS / 2
"""By how much the level lags behind a steadily changing demand."""
MAX_GROWTH = 0.5
"""A trend adds at most this fraction to the level of a zone and route. More has not been seen within a boot time,
and an engine that reads twice as many prompts as planned still reads most of them in time."""
CERTAINTY = 1.0
"""Number of standard errors by which the growth is reduced, so that the scatter of a steady demand is hardly a
trend. With 1.5, too few copies served for a twentieth more of the requests of a swinging demand; with 0.5, a steady
demand caused a third more orders."""
MAD_TO_DEVIATION = 1.48
"""Standard deviation of normally distributed values, divided by their median absolute deviation."""

TrendKey = tuple[str, str]
"""A zone and a route."""


@dataclass(frozen=True)
class GatewayDemand:
    """What is newly requested of one service at one gateway, whether it is admitted or refused.

    Parameters
    ==========

    zone : the zone of the gateway.
    rates : route to prompt tokens per millisecond.
    age_ms : age of the report.
    """

    zone: str
    rates: Mapping[str, float]
    age_ms: float = 0.0


@dataclass(frozen=True)
class Forecast:
    """The demand for a service, now and when a copy that is ordered now begins to serve.

    Parameters
    ==========

    level : prompt tokens per millisecond that are requested now.
    growth : what the trend adds until the horizon; never negative.
    span_ms : age of the oldest sample; 0 without samples.
    fastest : the zone and route that grow most; None if none grows.
    """

    level: float = 0.0
    growth: float = 0.0
    span_ms: float = 0.0
    fastest: TrendKey | None = None

    @property
    def expected(self) -> float:
        """The demand at the horizon."""
        return self.level + self.growth


@dataclass(frozen=True)
class Slope:
    """A robust slope and its standard error, both per millisecond."""

    value: float = 0.0
    error: float = 0.0


def fit_slope(samples: Sequence[tuple[float, float]]) -> Slope:
    """Return the median of the slopes of all pairs of samples (Theil and Sen), and its standard error.

    Up to 29 % of the samples may be outliers. Neighbouring samples depend on one another, as the sampled rates are
    smoothed: two time constants count as one independent sample.

    Examples
    ========

    >>> fit_slope([(0, 5), (500, 6), (1_000, 70), (1_500, 8), (2_000, 9)]).value
    0.002
    """
    slopes = [
        (value - earlier_value) / (ms - earlier_ms)
        for number, (ms, value) in enumerate(samples)
        for earlier_ms, earlier_value in samples[:number]
    ]
    if not slopes:
        return Slope()
    slope = statistics.median(slopes)
    rests = [value - slope * ms for ms, value in samples]
    middle = statistics.median(rests)
    deviation = MAD_TO_DEVIATION * statistics.median(abs(rest - middle) for rest in rests)
    span_ms = samples[-1][0] - samples[0][0]
    independent = max(span_ms / (2 * METER_TIME_CONSTANT_MS), 1.0)
    return Slope(slope, deviation * math.sqrt(12 / independent) / span_ms)


@dataclass
class _Series:
    """The changes of the demand of one zone and route, summed up, at the times of the samples."""

    values: deque[float] = field(default_factory=deque)
    level: float = 0.0


class DemandTrend:
    """The demand for one service in the last seconds.

    Explanation
    ===========

    A change counts only between two samples that both have a report of the gateway. A gateway whose reports are
    missing lowers the level, but neither this nor its return is a trend.

    Examples
    ========

    >>> trend = DemandTrend()
    >>> for second in range(9):
    ...     trend.add(second * 1_000.0, {"g1": GatewayDemand("z1", {"chat": 20.0 + second})})
    >>> forecast = trend.forecast(4_000)
    >>> forecast.level, round(forecast.growth, 1), forecast.fastest
    (27.5, 4.0, ('z1', 'chat'))
    """

    def __init__(self) -> None:
        self._times: deque[float] = deque()
        self._levels: deque[float] = deque()
        self._series: dict[TrendKey, _Series] = {}
        self._last: Mapping[str, GatewayDemand] = {}

    def add(self, now_ms: float, reported: Mapping[str, GatewayDemand]) -> None:
        """Add a sample of what the gateways report, unless the last one was taken a moment ago."""
        if self._times and now_ms - self._times[-1] < SAMPLE_INTERVAL_MS:
            return
        levels, changes = self._compare(reported)
        for key in levels:
            if key not in self._series:
                self._series[key] = _Series(deque([0.0] * len(self._times)))
        self._times.append(now_ms)
        self._levels.append(sum(levels.values()))
        for key, series in self._series.items():
            before = series.values[-1] if series.values else 0.0
            series.values.append(before + changes.get(key, 0.0))
            series.level = levels.get(key, 0.0)
        self._last = dict(reported)
        self._drop_old(now_ms)

    def forecast(self, horizon_ms: float) -> Forecast:
        """Return the demand now and, by its trend, after `horizon_ms`.

        The demand of zones and routes that fall is taken off what others add, since all engines serve all of
        them, but the sum never falls below the present level.
        """
        if not self._times:
            return Forecast()
        span_ms = self._times[-1] - self._times[0]
        level = self._average_level()
        if span_ms < MIN_SPAN_MS:
            return Forecast(level, span_ms=span_ms)
        growths: dict[TrendKey, float] = {}
        variance = 0.0
        for key, series in self._series.items():
            slope = fit_slope(list(zip(self._times, series.values, strict=True)))
            bound = MAX_GROWTH * series.level
            growths[key] = min(max(slope.value * horizon_ms, -bound), bound)
            variance += min(slope.error * horizon_ms, bound) ** 2
        growth = sum(growths.values()) - CERTAINTY * math.sqrt(variance)
        if growth <= 0:
            return Forecast(level, span_ms=span_ms)
        fastest = max(growths, key=lambda key: growths[key])
        return Forecast(level, min(growth, MAX_GROWTH * level), span_ms, fastest)

    def _average_level(self) -> float:
        oldest_ms = self._times[-1] - LEVEL_SPAN_MS
        recent = zip(self._times, self._levels, strict=True)
        return statistics.fmean(level for ms, level in recent if ms > oldest_ms)

    def _compare(
        self, reported: Mapping[str, GatewayDemand]
    ) -> tuple[dict[TrendKey, float], dict[TrendKey, float]]:
        """Return the levels by zone and route, and their changes at the gateways of the last sample."""
        levels: dict[TrendKey, float] = {}
        changes: dict[TrendKey, float] = {}
        for gateway, demand in reported.items():
            for route, rate in demand.rates.items():
                key = (demand.zone, route)
                levels[key] = levels.get(key, 0.0) + rate
            last = self._last.get(gateway)
            if last is None:
                continue
            for route in demand.rates.keys() | last.rates.keys():
                key = (demand.zone, route)
                change = demand.rates.get(route, 0.0) - last.rates.get(route, 0.0)
                changes[key] = changes.get(key, 0.0) + change
        return levels, changes

    def _drop_old(self, now_ms: float) -> None:
        while self._times[0] < now_ms - WINDOW_MS:
            self._times.popleft()
            self._levels.popleft()
            for series in self._series.values():
                series.values.popleft()
        for key, series in list(self._series.items()):
            if not series.level and len(set(series.values)) == 1:
                del self._series[key]
