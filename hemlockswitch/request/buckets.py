"""Token buckets with a variable rate, and a meter of the demand on them."""

from hemlockswitch.core.clock import MS_PER_SECOND

BURST_MS = 1_000.0
METER_MS = 1_000.0


class Bucket:
    """A token bucket whose capacity is the amount that its rate adds in `BURST_MS`.

    Explanation
    ===========

    The level may become negative: a request larger than the bucket is admitted when the bucket is
    full, and the excess must be refilled before the next request. When the rate changes, the time
    since the last refill is credited at the lower of the two rates, so that a rate change that is
    applied late never admits more.

    Parameters
    ==========

    now_ms : current time of the clock that later calls use.
    rate : units per second.
    smallest : minimum capacity.
    full : whether the bucket is initially full.

    Examples
    ========

    >>> bucket = Bucket(now_ms=0, rate=2, smallest=1)
    >>> bucket.take(now_ms=0, amount=2), bucket.take(now_ms=0, amount=1)
    (True, False)
    >>> bucket.measure_wait_ms(now_ms=0, amount=1)
    500.0
    >>> bucket.take(now_ms=500, amount=1)
    True
    """

    def __init__(
        self, now_ms: float, rate: float, smallest: float = 0.0, *, full: bool = True
    ) -> None:
        self._smallest = smallest
        self._rate = rate
        self._level = self._capacity() if full else 0.0
        self._updated_ms = now_ms

    @property
    def level(self) -> float:
        """The level after the last operation."""
        return self._level

    def set_rate(self, now_ms: float, rate: float) -> None:
        """Change the rate from now on."""
        previous = self._rate
        self._rate = min(previous, rate)
        self._refill(now_ms)
        self._rate = rate
        self._level = min(self._level, self._capacity())

    def take(self, now_ms: float, amount: float) -> bool:
        """Take `amount` if the level suffices, or if the bucket is full and `amount` exceeds its capacity.

        Returns whether `amount` was taken.
        """
        self._refill(now_ms)
        if self._rate <= 0 or self._level < self._find_needed(amount):
            return False
        self._level -= amount
        return True

    def give_back(self, now_ms: float, amount: float) -> None:
        """Add `amount`; a negative amount is subtracted regardless of the level."""
        self._refill(now_ms)
        self._level = min(self._level + amount, self._capacity())

    def drain(self, now_ms: float, most: float) -> float:
        """Take everything in the bucket, up to `most`, and return the amount taken."""
        self._refill(now_ms)
        taken = max(min(self._level, most), 0.0)
        self._level -= taken
        return taken

    def measure_wait_ms(self, now_ms: float, amount: float) -> float | None:
        """Return the time until `amount` can be taken, or None if it never can."""
        self._refill(now_ms)
        if self._rate <= 0:
            return None
        missing = self._find_needed(amount) - self._level
        return max(missing, 0) / self._rate * MS_PER_SECOND

    def _find_needed(self, amount: float) -> float:
        return min(amount, self._capacity())

    def _capacity(self) -> float:
        if self._rate <= 0:
            return 0.0
        return max(self._rate * BURST_MS / MS_PER_SECOND, self._smallest)

    def _refill(self, now_ms: float) -> None:
        elapsed_ms = max(now_ms - self._updated_ms, 0)
        self._updated_ms = max(now_ms, self._updated_ms)
        earned = self._rate * elapsed_ms / MS_PER_SECOND
        self._level = min(self._level + earned, self._capacity())


class Meter:
    """Measures a rate over the last second by interpolating the counts of two windows.

    Examples
    ========

    >>> meter = Meter(now_ms=0)
    >>> meter.add(now_ms=0, amount=10)
    >>> meter.measure(now_ms=0), meter.measure(now_ms=1_500), meter.measure(now_ms=2_000)
    (10.0, 5.0, 0.0)
    """

    def __init__(self, now_ms: float) -> None:
        self._window_start_ms = now_ms
        self._amount = 0.0
        self._previous_amount = 0.0

    def add(self, now_ms: float, amount: float) -> None:
        """Count `amount`."""
        self._advance_window(now_ms)
        self._amount += amount

    def measure(self, now_ms: float) -> float:
        """Return the rate per second."""
        self._advance_window(now_ms)
        past = min((now_ms - self._window_start_ms) / METER_MS, 1.0)
        return (self._previous_amount * (1 - past) + self._amount) / METER_MS * MS_PER_SECOND

    def _advance_window(self, now_ms: float) -> None:
        windows = int((now_ms - self._window_start_ms) // METER_MS)
        if windows <= 0:
            return
        self._previous_amount = self._amount if windows == 1 else 0.0
        self._amount = 0.0
        self._window_start_ms += windows * METER_MS
