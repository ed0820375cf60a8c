"""The stable subset of a zone's backend servers that one daemon uses."""

import math
from collections.abc import Collection

from hemlockswitch.core.identifiers import hash_stable

SUBSET_SIZE = 32


class Subset:
    """Selects the servers of a zone that this daemon uses.

    Explanation
    ===========

    Each server is used by the first ``n`` daemons of its own rendezvous order, with the same ``n`` for
    all servers, so that every server is used by equally many daemons. (If each daemon used the first
    servers of its order, some servers would have no daemon at all.) A daemon that stops is replaced only
    at its own servers, and an added server changes the use of no other server.

    Ranks are cached, so that a change of one daemon costs one hash per server rather than one per pair.

    Parameters
    ==========

    own_name : name of this daemon.
    size : average number of servers that a daemon uses; a zone with at most this many is used entirely.

    Examples
    ========

    >>> subset = Subset("entry-1", size=2)
    >>> sorted(subset.update({"entry-1", "entry-2"}, {"a", "b"}))
    ['a', 'b']
    """

    def __init__(self, own_name: str, size: int = SUBSET_SIZE) -> None:
        self._own_name = own_name
        self._size = size
        self._members: frozenset[str] = frozenset()
        self._ranks: dict[str, int] = {}

    def update(self, members: Collection[str], servers: Collection[str]) -> set[str]:
        """Return the servers to use, given the zone's live daemons and live servers."""
        others = frozenset(members) - {self._own_name}
        self._follow_members(others)
        self._follow_servers(servers)
        if len(servers) <= self._size:
            return set(servers)
        daemons = len(others) + 1
        takers = math.ceil(self._size * daemons / len(servers))
        return {server for server, rank in self._ranks.items() if rank < takers}

    def _follow_members(self, others: frozenset[str]) -> None:
        added = others - self._members
        removed = self._members - others
        for server, rank in self._ranks.items():
            own_weight = self._weigh(server, self._own_name)
            rank += sum(self._weigh(server, name) > own_weight for name in added)
            rank -= sum(self._weigh(server, name) > own_weight for name in removed)
            self._ranks[server] = rank
        self._members = others

    def _follow_servers(self, servers: Collection[str]) -> None:
        for server in set(self._ranks) - set(servers):
            del self._ranks[server]
        for server in set(servers) - set(self._ranks):
            own_weight = self._weigh(server, self._own_name)
            ahead = sum(self._weigh(server, name) > own_weight for name in self._members)
            self._ranks[server] = ahead

    @staticmethod
    def _weigh(server: str, daemon: str) -> int:
        return hash_stable(f"{server}\0{daemon}")
