"""Token buckets whose rate may change at any moment, and a meter of what is asked of them."""

from hemlockswitch.core.clock import MS_PER_SECOND

BURST_MS = 1_000.0
METER_MS = 1_000.0


class Bucket:
    """A token bucket that holds at most what its rate brings in `BURST_MS`.

    Explanation
    ===========

    The level may fall below zero: a request larger than the bucket is let in when the bucket is
    full, and what it took too much is paid back before the next one. When the rate changes, the
    time since the last look is credited at the lower of both rates, so that a change that was
    noticed late never admits more.

    Parameters
    ==========

    now_ms : the time of the clock that later calls use.
    rate : units a second.
    smallest : the bucket always has room for this much.
    full : whether it begins full.

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
        """What the bucket held at the last look."""
        return self._level

    def set_rate(self, now_ms: float, rate: float) -> None:
        """Change the rate from now on."""
        previous = self._rate
        self._rate = min(previous, rate)
        self._refill(now_ms)
        self._rate = rate
        self._level = min(self._level, self._capacity())

    def take(self, now_ms: float, amount: float) -> bool:
        """Take `amount` if the bucket holds it, or is full and `amount` is larger."""
        self._refill(now_ms)
        if self._rate <= 0 or self._level < self._find_needed(amount):
            return False
        self._level -= amount
        return True

    def give_back(self, now_ms: float, amount: float) -> None:
        """Put back `amount`, or take it whatever the level when it is negative."""
        self._refill(now_ms)
        self._level = min(self._level + amount, self._capacity())

    def drain(self, now_ms: float, most: float) -> float:
        """Take what the bucket holds, at most `most`, and return how much that was."""
        self._refill(now_ms)
        taken = max(min(self._level, most), 0.0)
        self._level -= taken
        return taken

    def measure_wait_ms(self, now_ms: float, amount: float) -> float | None:
        """Return how long until `amount` can be taken, or None if it never can."""
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
    """A rate over the last second, from the counts of two windows.

    Examples
    ========

    >>> meter = Meter(now_ms=0)
    >>> meter.add(now_ms=0, amount=10)
    >>> meter.measure(now_ms=0), meter.measure(now_ms=1_500), meter.measure(now_ms=2_000)
    (10.0, 5.0, 0.0)
    """

    def __init__(self, now_ms: float) -> None:
        self._begun_ms = now_ms
        self._amount = 0.0
        self._before = 0.0

    def add(self, now_ms: float, amount: float) -> None:
        """Count `amount`."""
        self._turn(now_ms)
        self._amount += amount

    def measure(self, now_ms: float) -> float:
        """Return the rate a second."""
        self._turn(now_ms)
        past = min((now_ms - self._begun_ms) / METER_MS, 1.0)
        return (self._before * (1 - past) + self._amount) / METER_MS * MS_PER_SECOND

    def _turn(self, now_ms: float) -> None:
        windows = int((now_ms - self._begun_ms) // METER_MS)
        if windows <= 0:
            return
        self._before = self._amount if windows == 1 else 0.0
        self._amount = 0.0
        self._begun_ms += windows * METER_MS
