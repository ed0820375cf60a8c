"""The pace of a backend server: how long work takes there at the moment, relative to the usual time.

Answers the load of servers that share their machines with others and are slow for parts of a second. A server
states its pace in its answers. A statement is old when it arrives and soon says nothing, so it fades: a server
that was left out as slow is tried again. Pure: times are passed in.
"""

from dataclasses import dataclass

USUAL = 1.0
FRESH_MS = 200.0
"""A statement counts in full for this long: servers state another pace several times a second."""
LIFETIME_MS = 1_000.0
"""After this time a statement counts for nothing. A server that has become fast again lies idle for no longer."""
MAX_CONTRADICTION = 2.0
"""By how much the pace in use may differ from what the server's last answers took, either way. Requests wait in
queues that gateways do not see in full, so smaller differences prove nothing."""
OVERDUE_FACTOR = 2.0
"""A request that takes longer than this multiple of its predicted time shows that its server is slow."""
OBSERVATION_WEIGHT = 0.3
"""Weight of one answer in the moving average of what answers took: the last few answers determine it."""
OBSERVED_BOUNDS = (0.05, 100.0)


@dataclass(frozen=True)
class PaceStatement:
    """A pace that a server has stated.

    Parameters
    ==========

    pace : 1.0 as usual, 2.5 if work takes 2.5 times as long.
    stated_ms : clock time at which the answer with the statement arrived at a gateway.
    """

    pace: float
    stated_ms: float

    def is_fresh(self, now_ms: float) -> bool:
        """Return whether the statement counts in full."""
        return now_ms - self.stated_ms <= FRESH_MS


def fade_pace(pace: float, age_ms: float) -> float:
    """Return the pace to expect from a statement of some age.

    Examples
    ========

    >>> [fade_pace(4.0, age_ms) for age_ms in (100, 600, 1_000)]
    [4.0, 2.0, 1.0]
    """
    left = (LIFETIME_MS - age_ms) / (LIFETIME_MS - FRESH_MS)
    return pace ** min(max(left, 0.0), 1.0)


class ObservedPace:
    """What the last answers of a server took, relative to the usual time.

    Examples
    ========

    >>> observed = ObservedPace()
    >>> observed.bound(40.0)
    40.0
    >>> observed.record(1.0)
    >>> observed.bound(40.0), observed.bound(0.1)
    (2.0, 0.5)
    """

    def __init__(self) -> None:
        self._ratio: float | None = None

    def record(self, ratio: float) -> None:
        """Record that an answer took `ratio` times the usual time."""
        ratio = min(max(ratio, OBSERVED_BOUNDS[0]), OBSERVED_BOUNDS[1])
        before = ratio if self._ratio is None else self._ratio
        self._ratio = before + OBSERVATION_WEIGHT * (ratio - before)

    def bound(self, pace: float) -> float:
        """Return a stated pace, limited by what the answers took."""
        if self._ratio is None:
            return pace
        return min(max(pace, self._ratio / MAX_CONTRADICTION), self._ratio * MAX_CONTRADICTION)
