"""Selection of the gateways that watch the object service on behalf of their zone."""

from collections.abc import Callable

from hemlockswitch.core.clock import Clock
from hemlockswitch.process.gateway.fleet import Fleet
from hemlockswitch.process.gateway.freshness import STALE_VIEW_MS, QueryScope
from hemlockswitch.process.gateway.peer_groups import Peer

WATCHERS_PER_ZONE = 2
"""Number of gateways of each zone that watch the object service for the others. With two of them, no change
is delayed until the loss of a killed or frozen watcher is detected."""


class ZoneWatchers:
    """The watchers of this gateway's zone: the connected gateways with the fastest links, or with the most spare.

    Gateways whose view of the object service is older than `STALE_VIEW_MS` are left out, unless all views are.

    Parameters
    ==========

    fleet : this gateway and its peers.
    clock : the time.
    measure_own_age_ms : returns the age of this gateway's view of the object service.
    """

    def __init__(
        self,
        fleet: Fleet,
        clock: Clock,
        measure_own_age_ms: Callable[[], float] = lambda: 0.0,
    ) -> None:
        self._fleet = fleet
        self._clock = clock
        self._measure_own_age_ms = measure_own_age_ms

    def is_watcher(self) -> bool:
        """Return whether this gateway watches the object service for its zone."""
        return self._fleet.name in self._list_watcher_names()

    def find_relayed_version(self, kind: str) -> int:
        """Return the newest version of a kind that a connected watcher of this zone has sent; 0 if none."""
        names = self._list_watcher_names()
        watchers = (one for one in self._list_zone_peers() if one.name in names)
        relayed = (one.view.relayed.get(kind, 0) for one in watchers)
        return max(relayed, default=0)

    def list_relay_addresses(self) -> list[str]:
        """Return the addresses of the gateways of this zone that get changes from its watchers."""
        names = self._list_watcher_names()
        return [peer.address for peer in self._list_zone_peers() if peer.name not in names]

    def _list_zone_peers(self) -> list[Peer]:
        """Return the other gateways of this zone that are recent enough to be relied on."""
        oldest_ms = self._clock.now_ms() - self._fleet.get_near_period().reliance_ms
        recent = (peer for peer in self._fleet.list_peers() if peer.last_received_ms >= oldest_ms)
        return [peer for peer in recent if peer.zone == self._fleet.zone]

    def find_query_scope(self) -> QueryScope:
        """Return whether this gateway queries the object service for the fleet, its zone, or itself only."""
        if self._rank_current(self._fleet.list_connected())[0] == self._fleet.name:
            return QueryScope.FLEET
        if self._rank_current(self._list_zone_peers())[0] == self._fleet.name:
            return QueryScope.ZONE
        return QueryScope.SELF

    def _list_watcher_names(self) -> list[str]:
        return self._rank_current(self._list_zone_peers())[:WATCHERS_PER_ZONE]

    def _rank_current(self, peers: list[Peer]) -> list[str]:
        """Return the names of `peers` and this gateway by rank, without those whose view is stale; all if all are."""
        fleet = self._fleet
        ages = {fleet.rank_peer(peer): peer.view.age_ms for peer in peers}
        ages[fleet.rank_own()] = self._measure_own_age_ms()
        current = [rank for rank, age_ms in ages.items() if age_ms <= STALE_VIEW_MS]
        return [name for *_, name in sorted(current or ages)]
