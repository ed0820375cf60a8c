"""The back-off of each peer address to which a connection failed."""

from dataclasses import dataclass
from typing import Self

from hemlockswitch.connection.links import PeerBounds
from hemlockswitch.core.clock import Clock

FORGET_MS = 60_000


@dataclass(frozen=True)
class _Pause:
    """When an address that failed may be tried again, and how long its last pause was."""

    until_ms: float
    length_ms: float


class AddressBackoffs:
    """How long to leave each failing address alone; each failure doubles its pause up to a bound.

    Parameters
    ==========

    clock : the time.
    first_ms, longest_ms : first and longest pause.

    Examples
    ========

    >>> from hemlockswitch.core.clock import ManualClock
    >>> clock = ManualClock()
    >>> backoffs = AddressBackoffs(clock, first_ms=100, longest_ms=150)
    >>> backoffs.record_failure("127.0.0.1:80")
    >>> backoffs.is_paused("127.0.0.1:80")
    True
    >>> clock.advance(100)
    >>> backoffs.is_paused("127.0.0.1:80")
    False
    """

    def __init__(self, clock: Clock, first_ms: float, longest_ms: float) -> None:
        self._clock = clock
        self._first_ms = first_ms
        self._longest_ms = longest_ms
        self._pauses: dict[str, _Pause] = {}

    @classmethod
    def from_bounds(cls, bounds: PeerBounds, clock: Clock) -> Self:
        """Return the back-offs of a peer network with `bounds`."""
        return cls(clock, bounds.first_backoff_ms, bounds.longest_backoff_ms)

    def is_paused(self, address: str) -> bool:
        """Return whether `address` must not be tried yet."""
        pause = self._pauses.get(address)
        return pause is not None and self._clock.now_ms() < pause.until_ms

    def record_failure(self, address: str) -> None:
        """Begin or lengthen the pause of `address`."""
        known = self._pauses.get(address)
        length_ms = min(known.length_ms * 2, self._longest_ms) if known else 0
        length_ms = max(length_ms, self._first_ms)
        self._pauses[address] = _Pause(self._clock.now_ms() + length_ms, length_ms)

    def record_success(self, address: str) -> None:
        """End the back-off of `address`."""
        self._pauses.pop(address, None)

    def forget_old(self) -> None:
        """Forget addresses whose pause ended more than `FORGET_MS` ago."""
        now_ms = self._clock.now_ms()
        for address, pause in list(self._pauses.items()):
            if now_ms - pause.until_ms > FORGET_MS:
                del self._pauses[address]
