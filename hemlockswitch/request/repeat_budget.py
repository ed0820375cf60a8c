"""The daemon's part of the fleet's budget of repeated sends, in a sliding window."""

from collections import deque

from hemlockswitch.core.clock import Clock

SAFETY_SHARE = 0.75
"""What is used of the budget at the most: windows of the daemons and of whoever counts overlap."""

FIRST_SHARE = 1 - SAFETY_SHARE
"""The same of the fixed part while processes that ended may have used theirs in the same window."""


class RepeatBudget:
    """Bounds repeated sends to a service: a ratio of its requests and a fixed part.

    Explanation
    ===========

    In any window the repeats of all daemons together stay below ``ratio`` times the requests plus
    ``extra``. Requests are counted where they arrive, so the first part adds up by itself; the
    fixed part is divided by the number of daemons. A process in its first window does not know what
    was spent in it before it started, so it uses only what is otherwise left as a safety.

    Parameters
    ==========

    ratio : repeats for each request.
    extra : repeats in a window, over all daemons.
    window_ms : length of the window.
    clock : the time.

    Examples
    ========

    >>> from hemlockswitch.core.clock import ManualClock
    >>> clock = ManualClock()
    >>> budget = RepeatBudget(ratio=0.2, extra=4, window_ms=1000, clock=clock)
    >>> clock.advance(1000)
    >>> [budget.take("s", daemons=2) for _ in range(3)]
    [True, False, False]
    """

    def __init__(self, ratio: float, extra: float, window_ms: float, clock: Clock) -> None:
        self._ratio = ratio
        self._extra = extra
        self._window_ms = window_ms
        self._clock = clock
        self._started_ms = clock.now_ms()
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

    def take(self, service: str, daemons: int | None) -> bool:
        """Spend one repeat; return False when none is left in this window.

        Parameters
        ==========

        daemons : how many share the fixed part; None while that is not known, which leaves none of it.
        """
        requests = self._trim(self._requests.setdefault(service, deque()))
        repeats = self._trim(self._repeats.setdefault(service, deque()))
        earned = SAFETY_SHARE * self._ratio * len(requests)
        fixed = self._find_fixed_share() * self._extra / daemons if daemons else 0.0
        if len(repeats) + 1 > earned + fixed:
            return False
        repeats.append(self._clock.now_ms())
        return True

    def _find_fixed_share(self) -> float:
        """Return how much of its part of the fixed budget this process may use."""
        is_first_window = self._clock.now_ms() - self._started_ms < self._window_ms
        return FIRST_SHARE if is_first_window else SAFETY_SHARE

    def _trim(self, moments: deque[float]) -> deque[float]:
        oldest_ms = self._clock.now_ms() - self._window_ms
        while moments and moments[0] < oldest_ms:
            moments.popleft()
        return moments
