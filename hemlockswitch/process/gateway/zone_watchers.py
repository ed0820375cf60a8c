"""Which gateways of a zone watch the object service for the others of it."""

from collections.abc import Callable

from hemlockswitch.core.clock import Clock
from hemlockswitch.process.gateway.fleet import Fleet
from hemlockswitch.process.gateway.freshness import STALE_MS, AskTurn
from hemlockswitch.process.gateway.neighbours import Peer, rank_gateway

WATCHERS_PER_ZONE = 2
"""Gateways of each zone that watch the object service for the others. One that is killed or frozen
leaves another, so that nothing waits for its silence to be noticed."""


class ZoneWatchers:
    """The watchers of this gateway's zone: of those in touch, the ones with the fastest links.

    Gateways that do not hear the object service are left out, unless none hears it.

    Parameters
    ==========

    fleet : this gateway and the others.
    clock : the time.
    measure_own_age_ms : returns the age of what this gateway knows of the object service.
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
        """Return whether this gateway is to watch the object service for others of its zone."""
        return self._fleet.name in self._list_names()

    def find_relayed_version(self, kind: str) -> int:
        """Return the newest version of a kind that a watcher of this zone in touch has sent."""
        names = self._list_names()
        watchers = (one for one in self._list_zone() if one.name in names)
        relayed = (one.view.relayed.get(kind, 0) for one in watchers)
        return max(relayed, default=0)

    def list_relay_addresses(self) -> list[str]:
        """Return the gateways of this zone that hear of changes from its watchers."""
        names = self._list_names()
        return [peer.address for peer in self._list_zone() if peer.name not in names]

    def _list_zone(self) -> list[Peer]:
        """Return the other gateways of this zone that were heard a moment ago."""
        oldest_ms = self._clock.now_ms() - self._fleet.get_near_period().covered_ms
        heard = (peer for peer in self._fleet.list_peers() if peer.heard_ms >= oldest_ms)
        return [peer for peer in heard if peer.zone == self._fleet.zone]

    def find_ask_turn(self) -> AskTurn:
        """Return whether this gateway asks the object service for the fleet, its zone, or itself only."""
        if self._rank_current(self._fleet.list_heard())[0][1] == self._fleet.name:
            return AskTurn.FLEET
        if self._rank_current(self._list_zone())[0][1] == self._fleet.name:
            return AskTurn.ZONE
        return AskTurn.SELF

    def _list_names(self) -> list[str]:
        return [name for _, name in self._rank_current(self._list_zone())[:WATCHERS_PER_ZONE]]

    def _rank_current(self, peers: list[Peer]) -> list[tuple[float, str]]:
        """Return those of some gateways and this one that hear the object service; all if none does."""
        own = rank_gateway(self._fleet.name, self._fleet.link_mbps)
        ages = {rank_gateway(peer.name, peer.link_mbps): peer.view.age_ms for peer in peers}
        ages[own] = self._measure_own_age_ms()
        hearing = [rank for rank, age_ms in ages.items() if age_ms <= STALE_MS]
        return sorted(hearing or ages)
