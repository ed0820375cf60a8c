"""Circuit breaker for backend servers that fail."""

from dataclasses import dataclass

FIRST_BACK_OFF_MS = 250.0
MAX_BACK_OFF_MS = 8_000.0


@dataclass
class Circuit:
    """Consecutive failures of one backend server, and the time of its next trial.

    Explanation
    ===========

    After a failure the server gets no work for a back-off, which doubles with each further failure.
    After that, one request per back-off may try the server, until one succeeds.

    Examples
    ========

    >>> circuit = Circuit()
    >>> circuit.record_failure(now_ms=0)
    >>> circuit.is_open(now_ms=249), circuit.is_open(now_ms=250)
    (True, False)
    >>> circuit.record_trial(now_ms=250)
    >>> circuit.is_open(now_ms=251)
    True
    """

    failures: int = 0
    open_until_ms: float = 0.0

    def is_open(self, now_ms: float) -> bool:
        """Return whether the server gets no work now."""
        return self.failures > 0 and now_ms < self.open_until_ms

    def record_failure(self, now_ms: float) -> None:
        """Start a back-off, longer than that of the previous failure."""
        self.failures += 1
        self.open_until_ms = now_ms + self._back_off_ms()

    def record_trial(self, now_ms: float) -> None:
        """Restart the back-off of a failing server, so that no second request tries it concurrently."""
        if self.failures > 0:
            self.open_until_ms = now_ms + self._back_off_ms()

    def record_success(self) -> None:
        """Reset the failures."""
        self.failures = 0

    def _back_off_ms(self) -> float:
        return min(FIRST_BACK_OFF_MS * 2 ** min(self.failures - 1, 16), MAX_BACK_OFF_MS)
