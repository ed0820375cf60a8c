"""How much longer than usual a message was on its way.

An age that a message tells was true when it was sent. After a partition the streams bring what was held up
by it, seconds later; taken as it stands such a message would make old knowledge look new.
"""

from collections import deque

from hemlockswitch.core.clock import Clock

MESSAGES = 100
"""So many messages of a sender are compared; a clock that stood still is forgotten after them."""


class TransitTimes:
    """Compares the clocks of senders with the own one, message by message.

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
        """Return how much longer a message was on its way than the fastest one of its sender.

        Parameters
        ==========

        sent_ms : when it was sent, by the sender's clock.
        """
        offset_ms = self._clock.now_ms() - sent_ms
        offsets = self._offsets.setdefault(sender, deque(maxlen=MESSAGES))
        offsets.append(offset_ms)
        return offset_ms - min(offsets)
