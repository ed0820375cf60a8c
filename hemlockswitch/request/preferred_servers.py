"""Preferred servers of shared prompt parts, assigned by rendezvous hashing.

All daemons with identical server lists compute identical assignments without communication, and adding
or removing a server changes the assignments of few parts.
"""

from collections import OrderedDict
from collections.abc import Iterable, Sequence
from heapq import nlargest

import xxhash

PREFERRED_COUNT = 3
"""Number of preferred servers of a shared part; all lower-ranked servers are equivalent."""
NOT_PREFERRED = PREFERRED_COUNT
"""Rank of a server that is not preferred."""
CACHED_RANKS = 12
"""Number of servers cached for a part, which allows for some that are temporarily absent."""
MAX_PARTS = 4_096


def rank_preferred_servers(
    key: str, names: Iterable[str], count: int = PREFERRED_COUNT
) -> list[str]:
    """Return the `count` most preferred servers of `key`, in descending order of preference.

    Examples
    ========

    >>> ranked = rank_preferred_servers("part", ["a", "b", "c", "d"], count=4)
    >>> sorted(ranked)
    ['a', 'b', 'c', 'd']
    >>> others = [name for name in "abcd" if name != ranked[0]]
    >>> rank_preferred_servers("part", others) == ranked[1:]
    True
    """
    return nlargest(
        count, names, key=lambda name: xxhash.xxh64_intdigest(f"{name}\0{key}".encode())
    )


class PreferredServers:
    """Cache of the preferred servers of prompt parts, cleared when new servers appear.

    Examples
    ========

    >>> preferred = PreferredServers()
    >>> names = ["a", "b", "c", "d", "e"]
    >>> ranked = rank_preferred_servers("part", names)
    >>> preferred.rank("part", names) == {name: rank for rank, name in enumerate(ranked)}
    True
    """

    def __init__(self) -> None:
        self._ranked_names: set[str] = set()
        self._parts: OrderedDict[str, list[str]] = OrderedDict()

    def rank(self, key: str, names: Sequence[str]) -> dict[str, int]:
        """Return the ranks of the preferred servers of `key` among `names`; 0 is the most preferred."""
        present = set(names)
        if not self._ranked_names.issuperset(present):
            self._ranked_names |= present
            self._parts.clear()
        preferred = self._select(key, present)
        if len(preferred) < min(PREFERRED_COUNT, len(present)):
            # Too few of the cached servers are present: rank the present ones only.
            self._ranked_names = present
            self._parts.clear()
            preferred = self._select(key, present)
        return {name: rank for rank, name in enumerate(preferred)}

    def _select(self, key: str, present: set[str]) -> list[str]:
        ranked = self._parts.get(key)
        if ranked is None:
            ranked = self._parts[key] = rank_preferred_servers(
                key, self._ranked_names, CACHED_RANKS
            )
            if len(self._parts) > MAX_PARTS:
                self._parts.popitem(last=False)
        self._parts.move_to_end(key)
        return [name for name in ranked if name in present][:PREFERRED_COUNT]
