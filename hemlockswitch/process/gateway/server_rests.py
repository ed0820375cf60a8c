"""The rests of backend servers: times for which a server wants no requests from this gateway."""

import random
from collections.abc import Collection
from dataclasses import dataclass
from typing import Any

from hemlockswitch.core.clock import Clock
from hemlockswitch.version.backend import BackendServer

MAX_REST_MS = 600_000.0
"""A longer rest is cut to this, so that a server which states nonsense is tried again from time to time."""
SPREAD_SHARE = 0.2
"""Part of a rest by which gateways prolong it at random: a server that was full must not get the requests of all
gateways at one moment."""
MAX_SPREAD_MS = 1_000.0
TRIAL_MS = 100.0
"""Time for which a request after a rest keeps others back, unless it is answered earlier: a server that turns
requests away does so at once."""
KEPT_MS = 30_000.0
"""Time after the end of a rest for which requests are sent one at a time if none has been accepted."""
MAX_SERVERS = 16_384
"""Maximum number of servers whose rests are recorded; more than a fleet has."""


@dataclass
class _Rest:
    """The rest of a server.

    Parameters
    ==========

    stated_until_ms : end of the time that the server stated.
    until_ms : when this gateway may send to it again.
    source : ``own``, or the name of the gateway that received the answer.
    trial_until_ms : until when the first request after the rest keeps others back.
    """

    stated_until_ms: float
    until_ms: float
    source: str
    trial_until_ms: float = float("-inf")


class ServerRests:
    """Decides whether a server may get requests from this gateway.

    Explanation
    ===========

    A later answer may prolong a rest and never shortens it, as answers overtake one another. After the rest
    the server gets one request at a time, until it has accepted one.

    Parameters
    ==========

    clock : the time.
    rng : draws how much longer than stated a rest lasts.

    Examples
    ========

    >>> from hemlockswitch.core.clock import ManualClock
    >>> clock = ManualClock()
    >>> rests = ServerRests(clock, random.Random(1))
    >>> rests.record("s1", 3_000, "own")
    True
    >>> rests.may_send("s1")
    False
    >>> clock.advance(4_000)
    >>> rests.may_send("s1")
    True
    """

    def __init__(self, clock: Clock, rng: random.Random | None = None) -> None:
        self._clock = clock
        self._rng = rng or random.Random()
        self._rests: dict[str, _Rest] = {}

    def record(self, incarnation: str, rest_ms: float, source: str) -> bool:
        """Record that a server wants no requests for `rest_ms`; return whether it did not rest before."""
        now_ms = self._clock.now_ms()
        stated_ms = min(rest_ms, MAX_REST_MS)
        known = self._rests.get(incarnation)
        if known is not None and known.stated_until_ms >= now_ms + stated_ms:
            return False
        if known is None and len(self._rests) >= MAX_SERVERS:
            del self._rests[next(iter(self._rests))]
        spread_ms = self._rng.uniform(0.0, min(SPREAD_SHARE * stated_ms, MAX_SPREAD_MS))
        until_ms = now_ms + stated_ms + spread_ms
        if known is not None:
            until_ms = max(until_ms, known.until_ms)
        self._rests[incarnation] = _Rest(now_ms + stated_ms, until_ms, source)
        return known is None or known.until_ms <= now_ms

    def may_send(self, incarnation: str) -> bool:
        """Return whether a request may be sent to a server now."""
        rest = self._rests.get(incarnation)
        if rest is None:
            return True
        return max(rest.until_ms, rest.trial_until_ms) <= self._clock.now_ms()

    def select(self, servers: list[BackendServer]) -> list[BackendServer]:
        """Return the servers that may get a request now."""
        if not self._rests:
            return servers
        return [server for server in servers if self.may_send(server.incarnation)]

    def record_sent(self, incarnation: str) -> None:
        """Record that a request is sent to a server; the first one after a rest keeps others back."""
        rest = self._rests.get(incarnation)
        if rest is not None:
            rest.trial_until_ms = self._clock.now_ms() + TRIAL_MS

    def record_answered(self, incarnation: str, sent_ms: float, *, was_declined: bool) -> bool:
        """Record the answer to a request, and return whether it is the first accepted one after a rest.

        Parameters
        ==========

        sent_ms : when the request was sent.
        """
        rest = self._rests.get(incarnation)
        if rest is None or sent_ms < rest.until_ms:
            return False
        if was_declined:
            rest.trial_until_ms = float("-inf")
            return False
        del self._rests[incarnation]
        return True

    def find_delay_ms(self, servers: Collection[BackendServer]) -> float | None:
        """Return when the first of some servers may get a request, in ms from now.

        The result is None if there are no servers, or one of them may get a request now.
        """
        now_ms = self._clock.now_ms()
        ends_ms = [self._find_end_ms(server.incarnation) for server in servers]
        first_ms = min(ends_ms, default=0.0)
        return first_ms - now_ms if first_ms > now_ms else None

    def remove_ended(self) -> None:
        """Discard the rests after which no request was sent for `KEPT_MS`.

        The rest of a server that was removed stays until then: its entry may be registered again.
        """
        oldest_ms = self._clock.now_ms() - KEPT_MS
        for name in [name for name, rest in self._rests.items() if rest.until_ms < oldest_ms]:
            del self._rests[name]

    def describe(self) -> list[dict[str, Any]]:
        """Return the resting servers for the status page."""
        now_ms = self._clock.now_ms()
        return [
            {"server": name, "left_ms": round(rest.until_ms - now_ms), "source": rest.source}
            for name, rest in self._rests.items()
            if rest.until_ms > now_ms
        ]

    def _find_end_ms(self, incarnation: str) -> float:
        rest = self._rests.get(incarnation)
        return 0.0 if rest is None else max(rest.until_ms, rest.trial_until_ms)
