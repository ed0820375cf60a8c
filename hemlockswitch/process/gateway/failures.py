"""How often sends to each backend server failed lately: the own ones, and those of other gateways.

A gateway of a large fleet sends each server a request every half minute, so by itself it would meet
every server that fails while it calls itself healthy. Gateways therefore tell one another how their
sends have ended. What others tell moves the rate less than an own send does, and each of them counts
for few failures at a time: a gateway whose own link fails its sends must not empty the servers.
"""

import math
from collections import defaultdict

from hemlockswitch.core.clock import Clock
from hemlockswitch.process.gateway.messages import Results

FAILURE_HALF_LIFE_MS = 2_000.0
"""After this time a failure weighs half: long enough to steer work away from a failing server,
short enough to try it again within seconds."""
OWN_WEIGHT = 0.5
"""How far one own failure moves the rate towards 1, and one success towards 0."""
TOLD_WEIGHT = 0.15
"""The same for a send of another gateway: three gateways that were failed weigh like one own failure,
and a service of which every seventh call fails in any case moves by little from call to call."""
MOST_TOLD_FAILURES = 2
"""Failures of one gateway at one server that count within a half-life."""


class FailureRate:
    """A rate of failures that decays with time.

    Examples
    ========

    >>> rate = FailureRate()
    >>> rate.note(0, failed=True)
    >>> rate.get(0), rate.get(2_000)
    (0.5, 0.25)
    """

    def __init__(self) -> None:
        self._rate = 0.0
        self._noted_ms = 0.0

    def note(self, now_ms: float, *, failed: bool, weight: float = OWN_WEIGHT) -> None:
        """Count one send."""
        rate = self.get(now_ms)
        self._rate = rate + weight * ((1.0 if failed else 0.0) - rate)
        self._noted_ms = now_ms

    def get(self, now_ms: float) -> float:
        """Return the rate now."""
        return self._rate * math.pow(0.5, (now_ms - self._noted_ms) / FAILURE_HALF_LIFE_MS)


class ServerFailures:
    """The rates of all servers, by incarnation.

    Parameters
    ==========

    clock : the time.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._own: dict[str, FailureRate] = defaultdict(FailureRate)
        self._told: dict[str, FailureRate] = defaultdict(FailureRate)
        self._told_failures: dict[tuple[str, str], FailureCount] = defaultdict(FailureCount)
        self._untold: Results = {}

    def note_own(self, server: str, *, failed: bool) -> None:
        """Count the end of an own send."""
        self._own[server].note(self._clock.now_ms(), failed=failed)
        succeeded_before, failed_before = self._untold.get(server, (0, 0))
        self._untold[server] = (succeeded_before + (not failed), failed_before + failed)

    def pop_untold(self) -> Results:
        """Return how the own sends since the last call have ended, for other gateways."""
        untold, self._untold = self._untold, {}
        return untold

    def take_told(self, gateway: str, results: Results) -> None:
        """Take how another gateway's sends have ended."""
        now_ms = self._clock.now_ms()
        for server, (succeeded, failed) in results.items():
            counted = self._told_failures[gateway, server].limit(now_ms, failed) if failed else 0
            for _ in range(counted):
                self._told[server].note(now_ms, failed=True, weight=TOLD_WEIGHT)
            for _ in range(min(succeeded, MOST_TOLD_FAILURES)):
                self._told[server].note(now_ms, failed=False, weight=TOLD_WEIGHT)

    def get_rate(self, server: str) -> float:
        """Return the part of the recent sends that failed: the own ones or the others', the higher."""
        now_ms = self._clock.now_ms()
        rates = (rates.get(server) for rates in (self._own, self._told))
        return max((rate.get(now_ms) for rate in rates if rate is not None), default=0.0)

    def forget(self, server: str) -> None:
        """Forget a server that is gone."""
        self._own.pop(server, None)
        self._told.pop(server, None)
        self._untold.pop(server, None)
        for key in [key for key in self._told_failures if key[1] == server]:
            del self._told_failures[key]


class FailureCount:
    """How many failures of one gateway at one server have counted in this half-life."""

    def __init__(self) -> None:
        self._since_ms = float("-inf")
        self._counted = 0

    def limit(self, now_ms: float, failed: int) -> int:
        """Return how many of some new failures count."""
        if now_ms - self._since_ms >= FAILURE_HALF_LIFE_MS:
            self._since_ms, self._counted = now_ms, 0
        counted = min(failed, MOST_TOLD_FAILURES - self._counted)
        self._counted += counted
        return counted
