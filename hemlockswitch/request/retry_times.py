"""Staggered retry times for refused callers, spaced by the rate at which slots become free."""

from hemlockswitch.core.clock import Clock

MAX_RETRY_DELAY_MS = 30_000.0


class RetryTimes:
    """Assigns retry times to refused callers.

    Explanation
    ===========

    If all callers were given the same time, they would retry simultaneously and most would be refused
    again. Each caller's time is one freed slot later than the previous caller's, at most
    `MAX_RETRY_DELAY_MS` from now.

    Examples
    ========

    >>> from hemlockswitch.core.clock import ManualClock
    >>> times = RetryTimes(ManualClock())
    >>> [times.assign("m", wait_ms=200, slot_ms=50) for _ in range(3)]
    [200.0, 250.0, 300.0]
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._assigned_ms: dict[str, float] = {}

    def assign(self, target: str, wait_ms: float, slot_ms: float) -> float:
        """Return the delay after which the next refused caller of `target` should retry.

        Parameters
        ==========

        target : the model or service.
        wait_ms : time until the queue has room for one more request.
        slot_ms : mean interval at which a slot becomes free.
        """
        now_ms = self._clock.now_ms()
        after_last_ms = self._assigned_ms.get(target, 0.0) + slot_ms
        assigned_ms = min(max(now_ms + wait_ms, after_last_ms), now_ms + MAX_RETRY_DELAY_MS)
        self._assigned_ms[target] = assigned_ms
        return assigned_ms - now_ms
