"""Permits for the requests in progress on a brittle backend server, over all daemons.

A brittle server falls over if it has to turn away more requests in a second than it states. One daemon
issues its permits, no more at a time than the server has slots, so that no request has to wait there.
Pure decisions: times are passed in.
"""

from dataclasses import dataclass

from hemlockswitch.core.clock import MS_PER_SECOND
from hemlockswitch.request.permits import (
    MIN_REQUESTS_PER_S,
    MIN_RESERVE_MS,
    REQUESTS_PER_PERMIT,
    Decision,
    ReturnSchedule,
    Verdict,
)

MAX_HOLD_MS = 30_000.0
"""Lifetime of a permit whose release was lost, unless its request ends earlier."""
PRIOR_HOLD_MS = 100.0
HOLD_SMOOTHING = 0.2
"""Weight of one request in the moving average of the time for which permits are held."""
RECOVERY_MS = 5_000.0
"""Time after a rejection until one more request is allowed again."""
MAX_RETRY_MS = 2_000.0
MAX_PAUSE_MS = 10_000.0


@dataclass(frozen=True)
class Claim:
    """The request for a permit.

    Parameters
    ==========

    holder : the daemon that requests the permit.
    permit : its identifier.
    hold_ms : for how long the request to be sent may last.
    urgency : of that request; 0 is the most urgent.
    """

    holder: str
    permit: str
    hold_ms: float
    urgency: int = 0


@dataclass(frozen=True)
class _Held:
    """A permit in use: the daemon that holds it, since when, and until when at most."""

    holder: str
    since_ms: float
    until_ms: float


class SlotLedger:
    """The permits of one server that are in use.

    Parameters
    ==========

    opens_ms : clock time from which permits are issued.
    unpermitted : number of requests in progress that were sent without a permit.

    Examples
    ========

    >>> ledger = SlotLedger(opens_ms=0, unpermitted=0)
    >>> [ledger.take(10, 2, Claim("g1", str(number), 500)).verdict.value for number in range(3)]
    ['granted', 'granted', 'refused']
    >>> ledger.release(60, "0")
    >>> ledger.take(60, 2, Claim("g2", "3", 500)).verdict.value
    'granted'
    """

    def __init__(self, opens_ms: float, unpermitted: int) -> None:
        self._opens_ms = opens_ms
        self._unpermitted = unpermitted
        self._held: dict[str, _Held] = {}
        self._hold_ms = PRIOR_HOLD_MS
        self._refused_ms: dict[int, float] = {}  # urgency to when it was last refused
        self._retries = ReturnSchedule()
        self._requests = ReturnSchedule()
        self._learned: int | None = None
        self._rejected_ms = float("-inf")

    @property
    def has_unpermitted(self) -> bool:
        """Whether requests that were sent without a permit may still be in progress."""
        return self._unpermitted > 0

    def take(self, now_ms: float, capacity: int, claim: Claim) -> Decision:
        """Take a permit, or decide when the next one may be available.

        Parameters
        ==========

        capacity : number of requests that may be in progress.
        """
        self._drop_expired(now_ms)
        allowed = self._find_allowed(now_ms, capacity)
        free = allowed - len(self._held) - self._unpermitted
        needed = 2 if self._is_reserved(now_ms, claim.urgency) else 1
        if now_ms >= self._opens_ms and free >= min(needed, allowed):
            until_ms = now_ms + min(claim.hold_ms, MAX_HOLD_MS)
            self._held[claim.permit] = _Held(claim.holder, now_ms, until_ms)
            return Decision(Verdict.GRANTED)
        self._refused_ms[claim.urgency] = now_ms
        return self._refuse(now_ms, allowed, claim.urgency)

    def _is_reserved(self, now_ms: float, urgency: int) -> bool:
        """Return whether a more urgent request was refused recently, and may return for a permit."""
        return any(
            other < urgency and now_ms - refused_ms <= MIN_RESERVE_MS
            for other, refused_ms in self._refused_ms.items()
        )

    def _refuse(self, now_ms: float, allowed: int, urgency: int) -> Decision:
        """Return a refusal; refused requests and daemons are to return one after the other."""
        gap_ms = self._hold_ms / allowed
        requests_per_s = max(MIN_REQUESTS_PER_S, REQUESTS_PER_PERMIT * MS_PER_SECOND / gap_ms)
        available_ms = max(now_ms + gap_ms / REQUESTS_PER_PERMIT, self._opens_ms)
        retry_at_ms = self._retries.reserve(available_ms, now_ms + MAX_RETRY_MS, gap_ms, urgency)
        request_at_ms = self._requests.reserve(
            available_ms, now_ms + MAX_PAUSE_MS, MS_PER_SECOND / requests_per_s, urgency
        )
        return Decision(Verdict.REFUSED, retry_at_ms - now_ms, request_at_ms - now_ms)

    def release(self, now_ms: float, permit: str) -> None:
        """Return a permit."""
        held = self._held.pop(permit, None)
        if held is None:
            return
        self._hold_ms += HOLD_SMOOTHING * (now_ms - held.since_ms - self._hold_ms)

    def record_rejection(self, now_ms: float) -> None:
        """Record that the server turned a request away although it had a permit."""
        in_progress = len(self._held) + self._unpermitted
        self._learned = max(in_progress - 1, 1)
        self._rejected_ms = now_ms

    def reduce_unpermitted(self, in_progress: int) -> None:
        """Record how many requests are in progress, by the reports of all daemons.

        Those beyond the permits were sent without one; their number can only fall.
        """
        self._unpermitted = min(self._unpermitted, max(in_progress - len(self._held), 0))

    def drop_holders(self, running: set[str]) -> None:
        """Return the permits of daemons that have ended."""
        for permit in [name for name, held in self._held.items() if held.holder not in running]:
            del self._held[permit]

    def _find_allowed(self, now_ms: float, capacity: int) -> int:
        """Return the number of requests that may be in progress, less after a rejection."""
        if self._learned is None:
            return capacity
        recovered = int((now_ms - self._rejected_ms) // RECOVERY_MS)
        if self._learned + recovered >= capacity:
            self._learned = None
            return capacity
        return self._learned + recovered

    def _drop_expired(self, now_ms: float) -> None:
        for permit in [name for name, held in self._held.items() if held.until_ms <= now_ms]:
            del self._held[permit]


def find_fleet_share(capacity: int, fraction: float) -> int:
    """Return how many of a server's slots the issuer of one side of a partition may use.

    Examples
    ========

    >>> [find_fleet_share(6, fraction) for fraction in (1.0, 0.5, 0.1)]
    [6, 3, 1]
    """
    return max(int(capacity * fraction), 1)
