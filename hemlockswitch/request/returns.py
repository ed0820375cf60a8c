"""Staggered retry times for refused callers, spaced by the rate at which slots become free."""

from hemlockswitch.core.clock import Clock

LATEST_RETURN_MS = 30_000.0


class ReturnTimes:
    """Assigns retry times to refused callers.

    Explanation
    ===========

    If all callers were given the same time, they would retry simultaneously and most would be refused
    again. Each caller's time is one freed slot later than the previous caller's, at most
    `LATEST_RETURN_MS` from now.

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
        """Return the delay after which the next refused caller of `target` should retry.

        Parameters
        ==========

        target : the model or service.
        wait_ms : time until the queue has room for one more request.
        slot_ms : mean interval at which a slot becomes free.
        """
        now_ms = self._clock.now_ms()
        after_last_ms = self._promised_ms.get(target, 0.0) + slot_ms
        promised_ms = min(max(now_ms + wait_ms, after_last_ms), now_ms + LATEST_RETURN_MS)
        self._promised_ms[target] = promised_ms
        return promised_ms - now_ms
