"""The ranking of gateways by their spare capacity, and the damping of the measured spare.

The *spare* of a gateway is the smaller one of the free shares of its processor and of its link, from 0 to 1. Each
gateway damps its own spare before it reports it, so that all gateways with the same reports choose the same
relays, watchers and holder of the duties. Pure decisions: times and measurements are passed in.
"""

from collections import deque
from collections.abc import Mapping

Rank = tuple[int, float, str]
"""The sort key of a gateway; the least one is chosen first."""

OVERLOADED_SPARE = 0.1
"""Below this spare a gateway is overloaded. Waiting times in a queue grow with 1 / spare: at 0.1 an answer takes ten
times as long as on an idle gateway."""
MIN_CHANGE = 0.2
"""The reported spare changes only if the measured one differs by this much. Half a second of a gateway with a link of
5 Mbit/s differs from the next one by as much, since a single large prompt fills the link for that long."""
ENOUGH_SPARE = OVERLOADED_SPARE + MIN_CHANGE
"""Gateways that report less are chosen after all others: the true spare may be lower by `MIN_CHANGE`, so that they may
be about to be overloaded."""
UNKNOWN_SPARE = 0.5
"""The spare assumed of a gateway that reports none. It is ranked by its link, before gateways with little spare and
behind those of the same link that are known to be idle."""
UNKNOWN_LINK_MBPS = 1.0
"""The speed assumed of an unknown link, less than that of any known one."""
OVERLOADED_AFTER_MS = 1_000.0
"""How long the spare must be below `OVERLOADED_SPARE`: garbage collection and single large prompts take less."""
FALL_MS = 2_000.0
"""The reported spare falls if the mean over this time is lower by `MIN_CHANGE`."""
RISE_MS = 30_000.0
"""The reported spare rises if the mean over this time is higher by `MIN_CHANGE`. A gateway that gives up relaying
gains spare by that; with this delay, two that replace each other do so at most twice a minute each."""
RELIEVED_AFTER_MS = 5_000.0
"""An overloaded gateway counts as relieved when its mean spare over this time is at least `ENOUGH_SPARE`. This is
less than `RISE_MS`, so that it takes callers again soon, but it is not preferred before its reported spare rises."""
MAX_OVERLOADED_VALUE = 0.09
"""The reported spare is rounded to two digits, and must stay below `OVERLOADED_SPARE`."""


def is_below_overloaded(spare: float | None) -> bool:
    """Return whether a reported spare means an overload; None, for a gateway that reports none, does not."""
    return spare is not None and spare < OVERLOADED_SPARE


class StableSpare:
    """The spare that a gateway reports, derived from its measurements with hysteresis.

    Attributes
    ==========

    value : the spare to report; None before the first second of measurements.

    Examples
    ========

    >>> spare = StableSpare()
    >>> for number in range(8):
    ...     spare.record(500.0 * number, 0.6 + 0.1 * (number % 2))
    >>> spare.value
    0.63
    """

    def __init__(self) -> None:
        self.value: float | None = None
        self._samples: deque[tuple[float, float]] = deque()

    @property
    def is_overloaded(self) -> bool:
        """Whether the gateway is overloaded."""
        return is_below_overloaded(self.value)

    def record(self, now_ms: float, measured: float) -> None:
        """Record a measured spare, and update `value`."""
        self._samples.append((now_ms, measured))
        self._drop_before(now_ms - RISE_MS)
        value = self._find_value(now_ms)
        if value is not None:
            self.value = round(value, 2)
            # The samples of the last second alone count again: an overload must not be noticed later because the
            # value has just fallen.
            self._drop_before(now_ms - OVERLOADED_AFTER_MS)

    def _find_value(self, now_ms: float) -> float | None:
        """Return the new value, or None if it stays."""
        value = self.value
        last_second = self._list_since(now_ms, OVERLOADED_AFTER_MS)
        if value is None:
            return _find_mean(last_second) if last_second else None
        if value < OVERLOADED_SPARE:
            recent = self._list_since(now_ms, RELIEVED_AFTER_MS)
            is_relieved = bool(recent) and _find_mean(recent) >= ENOUGH_SPARE
            return OVERLOADED_SPARE if is_relieved else None
        if last_second and max(last_second) < OVERLOADED_SPARE:
            return min(_find_mean(last_second), MAX_OVERLOADED_VALUE)
        return self._find_moved(now_ms, value)

    def _find_moved(self, now_ms: float, value: float) -> float | None:
        """Return the spare after a fall or rise, at least that at which a gateway is not overloaded."""
        recent = self._list_since(now_ms, FALL_MS)
        if recent and _find_mean(recent) < value - MIN_CHANGE:
            return max(_find_mean(recent), OVERLOADED_SPARE)
        lasting = self._list_since(now_ms, RISE_MS)
        if lasting and _find_mean(lasting) > value + MIN_CHANGE:
            return _find_mean(lasting)
        return None

    def _drop_before(self, since_ms: float) -> None:
        """Drop the samples before a time, except the last of them, which shows that the others reach back so far."""
        while len(self._samples) > 1 and self._samples[1][0] <= since_ms:
            self._samples.popleft()

    def _list_since(self, now_ms: float, duration_ms: float) -> list[float]:
        """Return the samples of the last `duration_ms`; none if they do not reach back so far."""
        since_ms = now_ms - duration_ms
        if not self._samples or self._samples[0][0] > since_ms:
            return []
        return [measured for at_ms, measured in self._samples if at_ms >= since_ms]


def _find_mean(samples: list[float]) -> float:
    return sum(samples) / len(samples)


def rank_by_link(name: str, link_mbps: float) -> Rank:
    """Return the sort key of a gateway by its link alone, fastest first.

    Relaying the changes of a zone would fill most of a slow link, and callers' prompts would wait on it.

    Examples
    ========

    >>> sorted([rank_by_link("g1", 10.0), rank_by_link("g2", 100.0)])[0][-1]
    'g2'
    """
    return (0, -link_mbps, name)


def find_free_mbps(link_mbps: float, spare: float | None) -> float:
    """Return the free part of a gateway's link, at least a hundredth of it.

    Parameters
    ==========

    link_mbps, spare : as for `rank_by_spare`.
    """
    known = UNKNOWN_SPARE if spare is None else spare
    return max(known, 0.01) * (link_mbps or UNKNOWN_LINK_MBPS)


def rank_by_spare(name: str, link_mbps: float, spare: float | None) -> Rank:
    """Return the sort key of a gateway by its spare and link: the most free bits per second first.

    Parameters
    ==========

    link_mbps : speed of its VM's link; 0 if unknown.
    spare : the spare that it last reported; None if it reports none, or the report is old.

    Examples
    ========

    >>> busy, slow = rank_by_spare("g1", 100.0, 0.05), rank_by_spare("g2", 5.0, 0.9)
    >>> sorted([busy, slow, rank_by_spare("g3", 100.0, 0.4)])[0][-1], slow < busy
    ('g3', True)
    """
    known = UNKNOWN_SPARE if spare is None else spare
    tier = 0 if known >= ENOUGH_SPARE else 1 if known >= OVERLOADED_SPARE else 2
    return (tier, -find_free_mbps(link_mbps, spare), name)


def select_overloaded(spares: Mapping[str, float | None]) -> frozenset[str]:
    """Return the gateways of a zone that count as overloaded: at most half of them, those with the least spare.

    If more than half are overloaded, avoiding all of them would overload the remaining ones.

    Parameters
    ==========

    spares : the last reported spare of each gateway of the zone; None if it reports none.

    Examples
    ========

    >>> sorted(select_overloaded({"g1": 0.05, "g2": 0.0, "g3": 0.9, "g4": None}))
    ['g1', 'g2']
    >>> sorted(select_overloaded({"g1": 0.05, "g2": 0.0, "g3": 0.09}))
    ['g2']
    """
    overloaded = sorted(
        (spare, name)
        for name, spare in spares.items()
        if spare is not None and is_below_overloaded(spare)
    )
    return frozenset(name for _, name in overloaded[: len(spares) // 2])
