"""Readiness of a gateway: whether it has received its initial state and accepts new callers."""

from collections.abc import Callable

from hemlockswitch.core.clock import Clock
from hemlockswitch.core.events import Event
from hemlockswitch.core.logs import log_event

SYNC_POLL_INTERVAL_MS = 10.0
MAX_START_MS = 3_000.0
"""A gateway that has not received its initial state this long after its start, or after the first part of that state,
is waiting for the end of an outage, not for a list in transit."""


class Readiness:
    """Readiness state of a gateway: ready once its initial state is complete, until it is stopped.

    A later failure, for example of the object service, does not make the gateway unready: it serves
    with its local state.

    Parameters
    ==========

    is_synced : returns whether the configuration, the servers, the rollouts and the quarantine have been received.
    is_partly_synced : returns whether any of these has been received.
    clock : source of the current time.
    """

    def __init__(
        self, is_synced: Callable[[], bool], is_partly_synced: Callable[[], bool], clock: Clock
    ) -> None:
        self._is_synced = is_synced
        self._is_partly_synced = is_partly_synced
        self._was_partly_synced = False
        self._clock = clock
        self._start_deadline_ms = clock.now_ms() + MAX_START_MS
        self._was_synced = False
        self._is_stopping = False
        self._was_ready = False

    def stop(self) -> None:
        """Report the gateway as not ready from now on."""
        self._is_stopping = True

    def is_ready(self) -> bool:
        """Return whether new callers can be served; log a change."""
        ready = self._has_synced() and not self._is_stopping
        if ready != self._was_ready:
            log_event(Event.READINESS_CHANGED, ready=ready, stopping=self._is_stopping)
        self._was_ready = ready
        return ready

    def await_synced(self, max_wait_ms: float) -> None:
        """Wait until the initial state is complete, during the start phase and for at most `max_wait_ms`."""
        until_ms = self._clock.now_ms() + max_wait_ms
        while not self._has_synced() and self._clock.now_ms() < min(
            until_ms, self._find_deadline()
        ):
            self._clock.sleep_ms(SYNC_POLL_INTERVAL_MS)

    def _find_deadline(self) -> float:
        """Return the end of the start phase, which begins anew with the first part of the state."""
        if not self._was_partly_synced and self._is_partly_synced():
            self._was_partly_synced = True
            self._start_deadline_ms = self._clock.now_ms() + MAX_START_MS
        return self._start_deadline_ms

    def _has_synced(self) -> bool:
        self._was_synced = self._was_synced or self._is_synced()
        return self._was_synced
