"""Back-off from peer addresses to which connections failed."""

from dataclasses import dataclass
from typing import Self

from hemlockswitch.connection.links import PeerBounds
from hemlockswitch.core.clock import Clock

DISCARD_AFTER_MS = 60_000


@dataclass(frozen=True)
class _Pause:
    """The end of an address's pause, and the pause's length."""

    until_ms: float
    length_ms: float


class AddressBackoffs:
    """Pauses in connecting to failing addresses; each failure doubles the pause up to a limit.

    Parameters
    ==========

    clock : the clock that pauses are measured with.
    first_ms, max_ms : initial and maximum pause.

    Examples
    ========

    >>> from hemlockswitch.core.clock import ManualClock
    >>> clock = ManualClock()
    >>> backoffs = AddressBackoffs(clock, first_ms=100, max_ms=150)
    >>> backoffs.record_failure("127.0.0.1:80")
    >>> backoffs.is_paused("127.0.0.1:80")
    True
    >>> clock.advance(100)
    >>> backoffs.is_paused("127.0.0.1:80")
    False
    """

    def __init__(self, clock: Clock, first_ms: float, max_ms: float) -> None:
        self._clock = clock
        self._first_ms = first_ms
        self._max_ms = max_ms
        self._pauses: dict[str, _Pause] = {}

    @classmethod
    def from_bounds(cls, bounds: PeerBounds, clock: Clock) -> Self:
        """Return the back-offs for a peer network with `bounds`."""
        return cls(clock, bounds.initial_backoff_ms, bounds.max_backoff_ms)

    def is_paused(self, address: str) -> bool:
        """Return whether no connection to `address` may be attempted yet."""
        pause = self._pauses.get(address)
        return pause is not None and self._clock.now_ms() < pause.until_ms

    def record_failure(self, address: str) -> None:
        """Start a pause for `address`, twice as long as its previous one."""
        previous = self._pauses.get(address)
        length_ms = min(previous.length_ms * 2, self._max_ms) if previous else 0
        length_ms = max(length_ms, self._first_ms)
        self._pauses[address] = _Pause(self._clock.now_ms() + length_ms, length_ms)

    def record_success(self, address: str) -> None:
        """End the back-off of `address`."""
        self._pauses.pop(address, None)

    def discard_expired(self) -> None:
        """Discard addresses whose pause ended more than `DISCARD_AFTER_MS` ago."""
        now_ms = self._clock.now_ms()
        for address, pause in list(self._pauses.items()):
            if now_ms - pause.until_ms > DISCARD_AFTER_MS:
                del self._pauses[address]
