"""Which gateway should hold the duties: one with spare, where gateways are chosen by it.

The lease alone decides who holds the duties (`process.lease`). This module only tells a gateway whether to try, and
whether to give up a lease that it holds; a wrong answer delays a takeover, and never leads to two holders.
"""

from collections.abc import Callable

from hemlockswitch.core.clock import Clock
from hemlockswitch.process.gateway.fleet import Fleet
from hemlockswitch.process.gateway.freshness import STALE_VIEW_MS
from hemlockswitch.process.gateway.gateway_capacity import GatewayCapacity
from hemlockswitch.process.gateway.peer_groups import Peer
from hemlockswitch.request.capacity_rank import ENOUGH_SPARE, is_below_overloaded

FIRST_CANDIDATES = 3
"""The number of gateways that try to take the duties at once; all three would have to end together to delay it."""
HOLD_BACK_MS = 3_000.0
"""How long the other gateways leave the duties to them: three renewals of the default lease."""
YIELD_AFTER_MS = 5_000.0
"""How long a holder must be overloaded before it gives up the duties. A takeover takes about a second, and is not
worth it for a shorter time."""


class DutyChoice:
    """Tells whether this gateway should take the duties, or give them up.

    Parameters
    ==========

    fleet : the other gateways.
    capacity : the spare of this gateway and of the others.
    measure_view_age_ms : returns the age of this gateway's view of the object service, which keeps the lease.
    clock : the time.
    """

    def __init__(
        self,
        fleet: Fleet,
        capacity: GatewayCapacity,
        measure_view_age_ms: Callable[[], float],
        clock: Clock,
    ) -> None:
        self._fleet = fleet
        self._capacity = capacity
        self._measure_view_age_ms = measure_view_age_ms
        self._clock = clock
        self._overloaded_since_ms: float | None = None

    def may_take(self, without_holder_ms: float) -> bool:
        """Return whether this gateway should try to take the duties.

        Parameters
        ==========

        without_holder_ms : how long this gateway has not known of a holder.
        """
        if not self._capacity.is_active or without_holder_ms >= HOLD_BACK_MS:
            return True
        if self._is_overloaded() and self._find_best_successor() is not None:
            return False
        own = self._capacity.rank_own()
        better = [one for one in self._list_able() if self._capacity.rank(one) < own]
        return len(better) < FIRST_CANDIDATES

    def find_successor(self) -> Peer | None:
        """Return the gateway for which this one, which holds the duties, should give them up; None to keep them.

        While the object service does not answer, nobody could take the lease before its term ends.
        """
        now_ms = self._clock.now_ms()
        if not self._is_overloaded():
            self._overloaded_since_ms = None
            return None
        if self._overloaded_since_ms is None:
            self._overloaded_since_ms = now_ms
        if now_ms - self._overloaded_since_ms < YIELD_AFTER_MS:
            return None
        if self._measure_view_age_ms() > STALE_VIEW_MS:
            return None
        successor = self._find_best_successor()
        if successor is not None:
            self._overloaded_since_ms = None
        return successor

    @property
    def own_spare(self) -> float | None:
        """The spare of this gateway as last reported."""
        return self._capacity.own_spare

    def _is_overloaded(self) -> bool:
        return is_below_overloaded(self._capacity.own_spare)

    def _find_best_successor(self) -> Peer | None:
        able = [one for one in self._list_able() if self._has_enough(one)]
        return min(able, key=self._capacity.rank, default=None)

    def _list_able(self) -> list[Peer]:
        """Return the connected gateways that follow the object service and reach backend servers."""
        return [
            peer
            for peer in self._fleet.list_connected()
            if peer.report is not None and peer.view.age_ms <= STALE_VIEW_MS
            if peer.links is None or not peer.links.is_isolated
        ]

    def _has_enough(self, peer: Peer) -> bool:
        spare = self._capacity.find_spare(peer)
        return spare is not None and spare >= ENOUGH_SPARE
