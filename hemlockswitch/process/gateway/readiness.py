"""Whether a gateway tells the balancer that it can serve new callers."""

from collections.abc import Callable

from hemlockswitch.core.events import Event
from hemlockswitch.core.logs import log_event


class Readiness:
    """A gateway is ready from when it knows what it needs until it is told to stop.

    What is lost later, such as the object service, does not make it unready: it serves by what it knows.

    Parameters
    ==========

    is_synced : returns whether the configuration, the servers and what is held back are known.
    """

    def __init__(self, is_synced: Callable[[], bool]) -> None:
        self._is_synced = is_synced
        self._is_stopping = False
        self._was_ready = False

    def stop(self) -> None:
        """Be not ready any more."""
        self._is_stopping = True

    def is_ready(self) -> bool:
        """Return whether new callers can be served; a change is logged."""
        ready = (self._was_ready or self._is_synced()) and not self._is_stopping
        if ready != self._was_ready:
            log_event(Event.READINESS_CHANGED, ready=ready, stopping=self._is_stopping)
        self._was_ready = ready
        return ready
