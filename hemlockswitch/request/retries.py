"""The retry budget: limits retries to a ratio of new requests."""

from hemlockswitch.core.clock import MS_PER_SECOND, Clock

BURST = 64.0
FLOOR_PER_SECOND = 2.0
WAIT_POLL_INTERVAL_MS = 20.0


class RetryBudget:
    """Budget of retries, earned by new requests.

    Explanation
    ===========

    Each new request earns `ratio` of a retry and each retry spends one. Unspent retries accumulate up
    to a burst with which the streams of a few lost backend servers can continue immediately.
    A small constant rate of retries allows a daemon with little traffic to retry too. Without the
    budget, a wave of failures would cause as many retries as there are requests.

    Parameters
    ==========

    ratio : retries earned by one new request.
    clock : clock for the constant rate.
    burst : maximum and initial number of available retries.

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
        self._last_added_ms = clock.now_ms()

    def set_ratio(self, ratio: float) -> None:
        """Apply the ratio of a new revision."""
        self._ratio = ratio

    def earn(self) -> None:
        """Count one new request."""
        self._add(self._ratio)

    def take(self) -> bool:
        """Spend one retry; return False if none is left."""
        self._pace()
        if self._left < 1:
            return False
        self._left -= 1
        return True

    def wait(self, timeout_ms: float) -> bool:
        """Spend one retry, waiting up to `timeout_ms` for the constant rate to provide it."""
        until_ms = self._clock.now_ms() + timeout_ms
        while not self.take():
            if self._clock.now_ms() + WAIT_POLL_INTERVAL_MS > until_ms:
                return False
            self._clock.sleep_ms(WAIT_POLL_INTERVAL_MS)
        return True

    def _pace(self) -> None:
        now_ms = self._clock.now_ms()
        self._add((now_ms - self._last_added_ms) / MS_PER_SECOND * FLOOR_PER_SECOND)
        self._last_added_ms = now_ms

    def _add(self, amount: float) -> None:
        self._left = min(self._burst, self._left + amount)


class Pace:
    """Limits the rate of starts that cost no budget, such as those after an announced reclaim.

    Parameters
    ==========

    per_second : maximum number of starts per second.
    clock : clock used to wait.

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
        """Wait until the next start is allowed."""
        now_ms = self._clock.now_ms()
        turn_ms = max(now_ms, self._next_ms)
        self._next_ms = turn_ms + self._gap_ms
        if turn_ms > now_ms:
            self._clock.sleep_ms(turn_ms - now_ms)
