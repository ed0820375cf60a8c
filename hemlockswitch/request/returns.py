"""When refused callers are told to come back, one after another as slots become free."""

from hemlockswitch.core.clock import Clock

LATEST_RETURN_MS = 30_000.0


class ReturnTimes:
    """The times promised to the callers refused so far.

    Explanation
    ===========

    If all were told the same time, all would come at once and most be refused again. Each is told
    a time one freed slot later than the one before, at most `LATEST_RETURN_MS` from now.

    Examples
    ========

    >>> from hemlockswitch.core.clock import ManualClock
    >>> times = ReturnTimes(ManualClock())
    >>> [times.promise("m", wait_ms=200, slot_ms=50) for _ in range(3)]
    [200.0, 250.0, 300.0]
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._promised_ms: dict[str, float] = {}

    def promise(self, target: str, wait_ms: float, slot_ms: float) -> float:
        """Return after how long one more refused caller of `target` is to come back.

        Parameters
        ==========

        target : the model or service.
        wait_ms : when the queue is short enough for one more.
        slot_ms : time between two slots that become free.
        """
        now_ms = self._clock.now_ms()
        after_last_ms = self._promised_ms.get(target, 0.0) + slot_ms
        promised_ms = min(max(now_ms + wait_ms, after_last_ms), now_ms + LATEST_RETURN_MS)
        self._promised_ms[target] = promised_ms
        return promised_ms - now_ms
