"""Whether a gateway knows what it needs, and whether it tells the balancer that it can serve."""

from collections.abc import Callable

from hemlockswitch.core.clock import Clock
from hemlockswitch.core.events import Event
from hemlockswitch.core.logs import log_event

LOOK_MS = 10.0
LONGEST_START_MS = 3_000.0
"""A gateway that does not know after this time what it needs waits for an outage to end, not for a list
that is on its way."""


class Readiness:
    """A gateway is ready from when it knows what it needs until it is told to stop.

    What is lost later, such as the object service, does not make it unready: it serves by what it knows.

    Parameters
    ==========

    is_synced : returns whether the configuration, the servers and what is held back are known.
    clock : the time.
    """

    def __init__(self, is_synced: Callable[[], bool], clock: Clock) -> None:
        self._is_synced = is_synced
        self._clock = clock
        self._starts_until_ms = clock.now_ms() + LONGEST_START_MS
        self._was_synced = False
        self._is_stopping = False
        self._was_ready = False

    def stop(self) -> None:
        """Be not ready any more."""
        self._is_stopping = True

    def is_ready(self) -> bool:
        """Return whether new callers can be served; a change is logged."""
        ready = self._has_synced() and not self._is_stopping
        if ready != self._was_ready:
            log_event(Event.READINESS_CHANGED, ready=ready, stopping=self._is_stopping)
        self._was_ready = ready
        return ready

    def await_synced(self, most_ms: float) -> None:
        """Wait until what is needed is known, while the process starts and for `most_ms` at the most."""
        until_ms = min(self._clock.now_ms() + most_ms, self._starts_until_ms)
        while not self._has_synced() and self._clock.now_ms() < until_ms:
            self._clock.sleep_ms(LOOK_MS)

    def _has_synced(self) -> bool:
        self._was_synced = self._was_synced or self._is_synced()
        return self._was_synced
