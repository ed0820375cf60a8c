"""Rate limits that backend servers state for all daemons together, and the permits that keep to them.

A server states its limit in its answers. One daemon issues the permits of a limited server, each for one
request, from a token bucket. Pure decisions: times are passed in.
"""

import math
from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum

from hemlockswitch.core.clock import MS_PER_SECOND

UNLIMITED = math.inf
MIN_RATE_PER_S = 0.5
"""Least rate at which permits are issued: only answers show that a limit has ended or changed."""
BURST = 2.0
"""Capacity of a bucket in permits: one is reserved for more urgent requests, one for all others."""
PERMIT_LIFETIME_MS = 250.0
"""A request must be sent this soon after its permit was requested. Longer lifetimes would let more of the
requests of one window reach the server in the next."""
MIN_RESERVE_MS = 1_000.0
"""Minimum time for which a permit is reserved after a more urgent request was refused."""
MAX_RETRY_DELAY_MS = 4_000.0
MIN_REQUESTS_PER_S = 20.0
REQUESTS_PER_PERMIT = 4.0
"""Refused daemons are told to pause so that requests for one server's permits arrive at the higher of these
rates: often enough to use every permit, whatever the number of daemons."""
MAX_PAUSE_MS = 10_000.0
_ROUNDING = 1e-9


@dataclass(frozen=True)
class LimitStatement:
    """The limit that a server has stated.

    Parameters
    ==========

    number : grows with each change that a daemon observes, over all daemons.
    limit_per_s : requests per second from all daemons together; infinite if the server states none.

    Examples
    ========

    >>> LimitStatement(2, 5.0).supersedes(LimitStatement(1, 1.0))
    True

    Of two changes that were observed at the same time, the stricter one counts:

    >>> LimitStatement(2, 5.0).supersedes(LimitStatement(2, 1.0))
    False
    """

    number: int = 0
    limit_per_s: float = UNLIMITED

    @property
    def is_limited(self) -> bool:
        """Whether the server limits its requests."""
        return self.limit_per_s < UNLIMITED

    def supersedes(self, other: "LimitStatement") -> bool:
        """Return whether this statement is newer than another."""
        if self.number != other.number:
            return self.number > other.number
        return self.limit_per_s < other.limit_per_s

    def follow(self, limit_per_s: float) -> "LimitStatement":
        """Return the statement of a changed limit, observed by a daemon that knows this one."""
        return LimitStatement(self.number + 1, limit_per_s)


class Verdict(StrEnum):
    """The result of a request for a permit."""

    GRANTED = "granted"
    REFUSED = "refused"
    UNLIMITED = "unlimited"
    NOT_ISSUER = "not_issuer"
    NO_REPLY = "no_reply"


@dataclass(frozen=True)
class Decision:
    """The decision of a bucket.

    Parameters
    ==========

    retry_ms : if refused, when a permit is expected to be available for the refused request.
    pause_ms : if refused, how long the daemon should wait before its next request for this server.
    """

    verdict: Verdict
    retry_ms: float = 0.0
    pause_ms: float = 0.0


@dataclass(frozen=True)
class Permit:
    """The permission to send one request to a limited server.

    Parameters
    ==========

    expires_ms : clock time until which the request must be sent.
    release : returns the permit when the request has ended or was not sent.
    """

    expires_ms: float
    release: Callable[[], None] = lambda: None


class PermitBucket:
    """Token bucket of one limited server. It starts empty.

    Parameters
    ==========

    opens_ms : clock time at which it begins to fill.

    Examples
    ========

    >>> bucket = PermitBucket(opens_ms=0)
    >>> bucket.take(1_000, rate_per_s=1, urgency=1).verdict.value
    'granted'
    >>> bucket.take(1_500, rate_per_s=1, urgency=1)
    Decision(verdict=<Verdict.REFUSED: 'refused'>, retry_ms=500.0, pause_ms=500.0)

    While more urgent requests are refused, the first permit is theirs:

    >>> bucket.take(1_900, rate_per_s=1, urgency=0).verdict.value
    'refused'
    >>> bucket.take(2_000, rate_per_s=1, urgency=1).verdict.value
    'refused'
    >>> bucket.take(2_000, rate_per_s=1, urgency=0).verdict.value
    'granted'
    """

    def __init__(self, opens_ms: float) -> None:
        self._level = 0.0
        self._filled_ms = opens_ms
        self._refused_ms: dict[int, float] = {}  # urgency to when it was last refused
        self._retries = ReturnSchedule()
        self._requests = ReturnSchedule()

    def take(self, now_ms: float, rate_per_s: float, urgency: int) -> Decision:
        """Take a permit for a request, or decide when the next one may be available.

        Parameters
        ==========

        rate_per_s : permits per second since the last call; at least `MIN_RATE_PER_S` is used.
        urgency : of the request; 0 is the most urgent.
        """
        rate_per_s = max(rate_per_s, MIN_RATE_PER_S)
        self._fill(now_ms, rate_per_s)
        needed = 2.0 if self._is_reserved(now_ms, rate_per_s, urgency) else 1.0
        if self._level >= needed - _ROUNDING:
            self._level -= 1.0
            return Decision(Verdict.GRANTED)
        self._refused_ms[urgency] = now_ms
        missing_ms = (needed - self._level) / rate_per_s * MS_PER_SECOND
        missing_ms += max(self._filled_ms - now_ms, 0.0)
        return self._refuse(now_ms, missing_ms, rate_per_s, urgency)

    def _fill(self, now_ms: float, rate_per_s: float) -> None:
        if now_ms <= self._filled_ms:
            return
        earned = rate_per_s * (now_ms - self._filled_ms) / MS_PER_SECOND
        self._level = min(self._level + earned, BURST)
        self._filled_ms = now_ms

    def _is_reserved(self, now_ms: float, rate_per_s: float, urgency: int) -> bool:
        """Return whether a more urgent request was refused recently, and may return for a permit."""
        reserve_ms = max(MIN_RESERVE_MS, BURST / rate_per_s * MS_PER_SECOND)
        return any(
            other < urgency and now_ms - refused_ms <= reserve_ms
            for other, refused_ms in self._refused_ms.items()
        )

    def _refuse(
        self, now_ms: float, missing_ms: float, rate_per_s: float, urgency: int
    ) -> Decision:
        """Return a refusal; refused requests and daemons are to return one after the other."""
        available_ms = now_ms + missing_ms
        requests_per_s = max(MIN_REQUESTS_PER_S, REQUESTS_PER_PERMIT * rate_per_s)
        retry_at_ms = self._retries.reserve(
            available_ms, now_ms + MAX_RETRY_DELAY_MS, MS_PER_SECOND / rate_per_s, urgency
        )
        request_at_ms = self._requests.reserve(
            available_ms, now_ms + MAX_PAUSE_MS, MS_PER_SECOND / requests_per_s, urgency
        )
        return Decision(Verdict.REFUSED, retry_at_ms - now_ms, request_at_ms - now_ms)


class ReturnSchedule:
    """Times at which refused requests return, one after the other, the more urgent first."""

    def __init__(self) -> None:
        self._next_ms: dict[int, float] = {}  # urgency to the next free time

    def reserve(self, earliest_ms: float, latest_ms: float, gap_ms: float, urgency: int) -> float:
        """Return the next free time of an urgency, which those of less urgent requests do not delay."""
        at_ms = min(self._find_free_ms(earliest_ms, urgency), latest_ms)
        self._next_ms[urgency] = at_ms + gap_ms
        return at_ms

    def find(
        self, earliest_ms: float, latest_ms: float, gap_ms: float, urgency: int
    ) -> float | None:
        """Reserve as `reserve` does, but return None and reserve nothing if no time until the latest is free."""
        at_ms = self._find_free_ms(earliest_ms, urgency)
        if at_ms > latest_ms:
            return None
        self._next_ms[urgency] = at_ms + gap_ms
        return at_ms

    def _find_free_ms(self, earliest_ms: float, urgency: int) -> float:
        taken_ms = [at_ms for other, at_ms in self._next_ms.items() if other <= urgency]
        return max([earliest_ms, *taken_ms])
