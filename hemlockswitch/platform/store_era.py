"""The era of the object store: the number of times that it has come back from a copy."""

import re

from hemlockswitch.connection.heads import Header, find_header
from hemlockswitch.connection.store_order import StoreEra
from hemlockswitch.core.clock import Clock
from hemlockswitch.core.events import Event
from hemlockswitch.core.logs import log_event

STORE_ERA = "store-era"
"""In all answers of the store; rises by one each time it comes back from a copy."""
_NUMBER = re.compile(r"\d{1,6}")


class EraTracker:
    """The highest era that an answer has stated, and when the first such answer was received.

    Parameters
    ==========

    clock : the time.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self.current = StoreEra()

    def record(self, headers: tuple[Header, ...]) -> int:
        """Return the era of an answer; that of the last one if it states none that can be read."""
        stated = find_header(headers, STORE_ERA).strip()
        if not _NUMBER.fullmatch(stated):
            return self.current.number
        era = int(stated)
        if era > self.current.number:
            log_event(Event.STORE_ERA_BEGAN, era=era, before=self.current.number)
            self.current = StoreEra(era, self._clock.now_ms())
        return era
