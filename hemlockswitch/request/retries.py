"""The retry budget: repeated work as a bounded ratio of new work."""

from hemlockswitch.core.clock import MS_PER_SECOND, Clock

BURST = 64.0
FLOOR_PER_SECOND = 2.0
WAIT_STEP_MS = 20.0


class RetryBudget:
    """How many more times requests may be sent again.

    Explanation
    ===========

    Each new request earns `ratio` of a retry and each retry spends one, up to a burst that lets
    the streams of a few lost backend servers continue at once. A small floor per second lets a
    daemon with little traffic retry too. Without the budget a wave of failures would become a
    wave of retries as large as the traffic itself.

    Parameters
    ==========

    ratio : retries earned by one new request.
    clock : the clock that paces the floor.

    Examples
    ========

    >>> from hemlockswitch.core.clock import ManualClock
    >>> budget = RetryBudget(0.5, ManualClock(), burst=1.0)
    >>> budget.take(), budget.take()
    (True, False)
    >>> budget.earn()
    >>> budget.earn()
    >>> budget.take()
    True
    """

    def __init__(self, ratio: float, clock: Clock, burst: float = BURST) -> None:
        self._ratio = ratio
        self._clock = clock
        self._burst = burst
        self._left = burst
        self._paced_ms = clock.now_ms()

    def set_ratio(self, ratio: float) -> None:
        """Use the ratio of a new revision."""
        self._ratio = ratio

    def earn(self) -> None:
        """Count one new request."""
        self._add(self._ratio)

    def take(self) -> bool:
        """Spend one retry; return False when none is left."""
        self._pace()
        if self._left < 1:
            return False
        self._left -= 1
        return True

    def wait(self, patience_ms: float) -> bool:
        """Spend one retry, waiting up to `patience_ms` for the floor to bring it."""
        until_ms = self._clock.now_ms() + patience_ms
        while not self.take():
            if self._clock.now_ms() + WAIT_STEP_MS > until_ms:
                return False
            self._clock.sleep_ms(WAIT_STEP_MS)
        return True

    def _pace(self) -> None:
        now_ms = self._clock.now_ms()
        self._add((now_ms - self._paced_ms) / MS_PER_SECOND * FLOOR_PER_SECOND)
        self._paced_ms = now_ms

    def _add(self, amount: float) -> None:
        self._left = min(self._burst, self._left + amount)


class Pace:
    """Spaces out starts that cost no budget, such as those after an announced reclaim.

    Parameters
    ==========

    per_second : most starts in a second.
    clock : the clock that is waited on.

    Examples
    ========

    >>> from hemlockswitch.core.clock import ManualClock
    >>> clock = ManualClock()
    >>> pace = Pace(100, clock)
    >>> pace.wait(); pace.wait(); pace.wait()
    >>> clock.now_ms()
    20.0
    """

    def __init__(self, per_second: float, clock: Clock) -> None:
        self._gap_ms = MS_PER_SECOND / per_second
        self._clock = clock
        self._next_ms = clock.now_ms()

    def wait(self) -> None:
        """Return when the caller's turn has come."""
        now_ms = self._clock.now_ms()
        turn_ms = max(now_ms, self._next_ms)
        self._next_ms = turn_ms + self._gap_ms
        if turn_ms > now_ms:
            self._clock.sleep_ms(turn_ms - now_ms)
