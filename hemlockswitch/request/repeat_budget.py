"""The daemon's part of the fleet's budget of repeated sends, in a sliding window."""

from collections import deque

from hemlockswitch.core.clock import Clock

SAFETY_SHARE = 0.75
"""What is used of the budget at the most: windows of the daemons and of whoever counts overlap."""


class RepeatBudget:
    """Bounds repeated sends to a service: a ratio of its requests and a fixed part.

    Explanation
    ===========

    In any window the repeats of all daemons together stay below ``ratio`` times the requests plus
    ``extra``. Requests are counted where they arrive, so the first part adds up by itself; the
    fixed part is divided by the number of daemons.

    Parameters
    ==========

    ratio : repeats for each request.
    extra : repeats in a window, over all daemons.
    window_ms : length of the window.
    clock : the time.

    Examples
    ========

    >>> from hemlockswitch.core.clock import ManualClock
    >>> budget = RepeatBudget(ratio=0.2, extra=4, window_ms=1000, clock=ManualClock())
    >>> [budget.take("s", daemons=2) for _ in range(3)]
    [True, False, False]
    """

    def __init__(self, ratio: float, extra: float, window_ms: float, clock: Clock) -> None:
        self._ratio = ratio
        self._extra = extra
        self._window_ms = window_ms
        self._clock = clock
        self._requests: dict[str, deque[float]] = {}
        self._repeats: dict[str, deque[float]] = {}

    def set_limits(self, ratio: float, extra: float, window_ms: float) -> None:
        """Use other limits from now on."""
        self._ratio = ratio
        self._extra = extra
        self._window_ms = window_ms

    def earn(self, service: str) -> None:
        """Count one request of a caller."""
        self._requests.setdefault(service, deque()).append(self._clock.now_ms())

    def take(self, service: str, daemons: int) -> bool:
        """Spend one repeat; return False when none is left in this window."""
        requests = self._trim(self._requests.setdefault(service, deque()))
        repeats = self._trim(self._repeats.setdefault(service, deque()))
        fixed = self._extra / max(daemons, 1)
        if len(repeats) + 1 > SAFETY_SHARE * (self._ratio * len(requests) + fixed):
            return False
        repeats.append(self._clock.now_ms())
        return True

    def _trim(self, moments: deque[float]) -> deque[float]:
        oldest_ms = self._clock.now_ms() - self._window_ms
        while moments and moments[0] < oldest_ms:
            moments.popleft()
        return moments
