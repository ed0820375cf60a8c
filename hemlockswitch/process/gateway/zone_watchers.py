"""Which gateways of a zone watch the object service for the others of it."""

from hemlockswitch.core.clock import Clock
from hemlockswitch.process.gateway.fleet import Fleet
from hemlockswitch.process.gateway.neighbours import Peer, rank_gateway

WATCHERS_PER_ZONE = 2
"""Gateways of each zone that watch the object service for the others. One that is killed or frozen
leaves another, so that nothing waits for its silence to be noticed."""


class ZoneWatchers:
    """The watchers of this gateway's zone: of those in touch, the ones with the fastest links.

    Parameters
    ==========

    fleet : this gateway and the others.
    clock : the time.
    """

    def __init__(self, fleet: Fleet, clock: Clock) -> None:
        self._fleet = fleet
        self._clock = clock

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

    def _list_names(self) -> list[str]:
        ranks = [rank_gateway(peer.name, peer.link_mbps) for peer in self._list_zone()]
        ranks.append(rank_gateway(self._fleet.name, self._fleet.link_mbps))
        return [name for _, name in sorted(ranks)[:WATCHERS_PER_ZONE]]
