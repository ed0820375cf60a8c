"""Leaving a backend server alone for a while after it failed."""

from dataclasses import dataclass

FIRST_BACK_OFF_MS = 250.0
MAX_BACK_OFF_MS = 8_000.0


@dataclass
class Circuit:
    """Failures of one backend server in a row, and when it may be tried again.

    Explanation
    ===========

    After a failure the server gets no work for a back-off that doubles with each further one.
    Then one request may try it in each back-off, until one succeeds.

    Examples
    ========

    >>> circuit = Circuit()
    >>> circuit.note_failure(now_ms=0)
    >>> circuit.is_open(now_ms=249), circuit.is_open(now_ms=250)
    (True, False)
    >>> circuit.note_trial(now_ms=250)
    >>> circuit.is_open(now_ms=251)
    True
    """

    failures: int = 0
    open_until_ms: float = 0.0

    def is_open(self, now_ms: float) -> bool:
        """Return whether the server is to be left alone."""
        return self.failures > 0 and now_ms < self.open_until_ms

    def note_failure(self, now_ms: float) -> None:
        """Leave the server alone, longer than after the failure before."""
        self.failures += 1
        self.open_until_ms = now_ms + self._back_off_ms()

    def note_trial(self, now_ms: float) -> None:
        """Let no second request try a failing server at the same time."""
        if self.failures > 0:
            self.open_until_ms = now_ms + self._back_off_ms()

    def note_success(self) -> None:
        """Forget the failures."""
        self.failures = 0

    def _back_off_ms(self) -> float:
        return min(FIRST_BACK_OFF_MS * 2 ** min(self.failures - 1, 16), MAX_BACK_OFF_MS)
