"""Measurement of how much longer than usual a message was in transit.

An age stated in a message was correct when the message was sent. After a partition the streams deliver
delayed messages seconds later; without a correction such a message would make old state look new.
"""

from collections import deque

from hemlockswitch.core.clock import Clock

MAX_COMPARED_MESSAGES = 100
"""Number of messages of a sender that are compared; after as many, an offset from before a clock stalled is
discarded."""


class TransitTimes:
    """Compares the clocks of senders with this process's clock, message by message.

    Parameters
    ==========

    clock : the time.

    Examples
    ========

    >>> from hemlockswitch.core.clock import ManualClock
    >>> clock = ManualClock(now_ms=500)
    >>> transits = TransitTimes(clock)
    >>> transits.measure_delay_ms("g1", sent_ms=70_000.0)
    0.0
    >>> clock.advance(5_000)
    >>> transits.measure_delay_ms("g1", sent_ms=70_200.0)
    4800.0
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._offsets: dict[str, deque[float]] = {}

    def measure_delay_ms(self, sender: str, sent_ms: float) -> float:
        """Return how much longer a message was in transit than the fastest recent one of its sender.

        Parameters
        ==========

        sent_ms : when the message was sent, by the sender's clock.
        """
        offset_ms = self._clock.now_ms() - sent_ms
        offsets = self._offsets.setdefault(sender, deque(maxlen=MAX_COMPARED_MESSAGES))
        offsets.append(offset_ms)
        return offset_ms - min(offsets)
