"""The daemon's share of the fleet-wide budget of repeated send attempts, in a sliding window."""

from collections import deque

from hemlockswitch.core.clock import Clock

SAFETY_SHARE = 0.75
"""Maximum fraction of the budget that is used: the daemons' windows are not aligned with one another,
nor with the window in which the limit is checked."""

FIRST_WINDOW_SHARE = 1 - SAFETY_SHARE
"""Maximum fraction of the fixed part that is used in a process's first window, since a previous process
may have used its share in the same window."""


class RepeatBudget:
    """Limits repeated attempts at a service to a ratio of its requests plus a fixed number.

    Explanation
    ===========

    In any window, the repeats of all daemons together stay below ``ratio`` times the requests plus
    ``extra``. Each request is counted by the daemon that receives it, so the first part needs no
    coordination; the fixed part is divided by the number of daemons. A process in its first window
    cannot tell what was spent in the window before it started, so of the fixed part it uses only the
    fraction that is otherwise the safety margin.

    Parameters
    ==========

    ratio : repeats allowed per request.
    extra : repeats allowed per window in addition, over all daemons.
    window_ms : length of the window.
    clock : the process's clock.

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
        """Change the limits."""
        self._ratio = ratio
        self._extra = extra
        self._window_ms = window_ms

    def earn(self, service: str) -> None:
        """Count one new request."""
        self._requests.setdefault(service, deque()).append(self._clock.now_ms())

    def take(self, service: str, daemons: int | None) -> bool:
        """Spend one repeat; return False if none is left in this window.

        Parameters
        ==========

        daemons : number of daemons that share the fixed part; while it is None (undetermined), the
            fixed part is not used.
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
        """Return the fraction of its share of the fixed part that this process may use."""
        is_first_window = self._clock.now_ms() - self._started_ms < self._window_ms
        return FIRST_WINDOW_SHARE if is_first_window else SAFETY_SHARE

    def _trim(self, moments: deque[float]) -> deque[float]:
        oldest_ms = self._clock.now_ms() - self._window_ms
        while moments and moments[0] < oldest_ms:
            moments.popleft()
        return moments
