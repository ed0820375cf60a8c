"""Recent failure rates of the backend servers, from this gateway's send attempts and from other gateways.

A gateway of a large fleet sends each server a request every half minute. On its own it would run into
every server that fails while it reports itself healthy, so gateways exchange the results of their send
attempts. A reported result changes the rate less than an own one, and only a few failures of each
gateway count at a time: a gateway whose own link makes its attempts fail must not take the work away
from all servers.
"""

import math
from collections import defaultdict

from hemlockswitch.core.clock import Clock
from hemlockswitch.process.gateway.messages import Results

FAILURE_HALF_LIFE_MS = 2_000.0
"""Half-life of a failure's weight: long enough to steer work away from a failing server, short enough to
try the server again within seconds."""
OWN_WEIGHT = 0.5
"""Weight of one own result: how far a failure moves the rate towards 1, and a success towards 0."""
REPORTED_WEIGHT = 0.15
"""Weight of one result of another gateway. Failures reported by three gateways weigh like one own failure,
and the rate of a service of which every seventh call fails anyway changes little from call to call."""
MAX_REPORTED_FAILURES = 2
"""Maximum number of failures of one gateway at one server that count within a half-life."""


class FailureRate:
    """A failure rate that decays with time.

    Examples
    ========

    >>> rate = FailureRate()
    >>> rate.record(0, failed=True)
    >>> rate.get(0), rate.get(2_000)
    (0.5, 0.25)
    """

    def __init__(self) -> None:
        self._rate = 0.0
        self._updated_ms = 0.0

    def record(self, now_ms: float, *, failed: bool, weight: float = OWN_WEIGHT) -> None:
        """Record the result of one send attempt."""
        rate = self.get(now_ms)
        self._rate = rate + weight * ((1.0 if failed else 0.0) - rate)
        self._updated_ms = now_ms

    def get(self, now_ms: float) -> float:
        """Return the rate now."""
        return self._rate * math.pow(0.5, (now_ms - self._updated_ms) / FAILURE_HALF_LIFE_MS)


class ServerFailures:
    """The failure rates of all servers, by incarnation.

    Parameters
    ==========

    clock : the time.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._own: dict[str, FailureRate] = defaultdict(FailureRate)
        self._reported: dict[str, FailureRate] = defaultdict(FailureRate)
        self._reported_counts: dict[tuple[str, str], FailureCount] = defaultdict(FailureCount)
        self._unreported: Results = {}

    def record_own(self, server: str, *, failed: bool) -> None:
        """Record the result of one of this gateway's send attempts."""
        self._own[server].record(self._clock.now_ms(), failed=failed)
        succeeded_before, failed_before = self._unreported.get(server, (0, 0))
        self._unreported[server] = (succeeded_before + (not failed), failed_before + failed)

    def pop_unreported(self) -> Results:
        """Return the own results since the last call, to be reported to other gateways."""
        unreported, self._unreported = self._unreported, {}
        return unreported

    def apply_reported(self, gateway: str, results: Results) -> None:
        """Apply the results of another gateway's send attempts."""
        now_ms = self._clock.now_ms()
        for server, (succeeded, failed) in results.items():
            counted = self._reported_counts[gateway, server].limit(now_ms, failed) if failed else 0
            for _ in range(counted):
                self._reported[server].record(now_ms, failed=True, weight=REPORTED_WEIGHT)
            for _ in range(min(succeeded, MAX_REPORTED_FAILURES)):
                self._reported[server].record(now_ms, failed=False, weight=REPORTED_WEIGHT)

    def get_rate(self, server: str) -> float:
        """Return the recent failure rate: the own one or the reported one, whichever is higher."""
        now_ms = self._clock.now_ms()
        rates = (rates.get(server) for rates in (self._own, self._reported))
        return max((rate.get(now_ms) for rate in rates if rate is not None), default=0.0)

    def evict(self, server: str) -> None:
        """Discard the rates of a removed server."""
        self._own.pop(server, None)
        self._reported.pop(server, None)
        self._unreported.pop(server, None)
        for key in [key for key in self._reported_counts if key[1] == server]:
            del self._reported_counts[key]


class FailureCount:
    """Counts the failures of one gateway at one server within a half-life."""

    def __init__(self) -> None:
        self._since_ms = float("-inf")
        self._counted = 0

    def limit(self, now_ms: float, failed: int) -> int:
        """Return how many of `failed` new failures count."""
        if now_ms - self._since_ms >= FAILURE_HALF_LIFE_MS:
            self._since_ms, self._counted = now_ms, 0
        counted = min(failed, MAX_REPORTED_FAILURES - self._counted)
        self._counted += counted
        return counted
