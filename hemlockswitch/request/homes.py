"""Homes of shared prompt parts among the servers of a service: rendezvous hashing.

All daemons that know the same servers find the same homes without a word, and a server that comes or
goes changes the homes of few parts.
"""

from collections import OrderedDict
from collections.abc import Iterable, Sequence
from heapq import nlargest

import xxhash

HOMES = 3
"""How many homes a shared part has; a server beyond them is as good as any other."""
NO_HOME = HOMES
"""The rank of a server that is no home."""
KEPT_HOMES = 12
"""How many servers are remembered for a part, so that some may be away for a while."""
MOST_PARTS = 4_096


def rank_homes(key: str, names: Iterable[str], most: int = HOMES) -> list[str]:
    """Return the first homes of `key`, the best one first.

    Examples
    ========

    >>> homes = rank_homes("part", ["a", "b", "c", "d"], most=4)
    >>> sorted(homes)
    ['a', 'b', 'c', 'd']
    >>> rank_homes("part", [name for name in "abcd" if name != homes[0]]) == homes[1:]
    True
    """
    return nlargest(most, names, key=lambda name: xxhash.xxh64_intdigest(f"{name}\0{key}".encode()))


class Homes:
    """The homes of many parts, remembered while the servers stay the same.

    Examples
    ========

    >>> homes = Homes()
    >>> names = ["a", "b", "c", "d", "e"]
    >>> homes.rank("part", names) == {name: rank for rank, name in enumerate(rank_homes("part", names))}
    True
    """

    def __init__(self) -> None:
        self._known: set[str] = set()
        self._parts: OrderedDict[str, list[str]] = OrderedDict()

    def rank(self, key: str, names: Sequence[str]) -> dict[str, int]:
        """Return the ranks of the first homes of `key` among `names`; 0 is the first."""
        present = set(names)
        if not self._known.issuperset(present):
            self._known |= present
            self._parts.clear()
        homes = self._pick(key, present)
        if len(homes) < min(HOMES, len(present)):
            # Most of those that are remembered are gone.
            self._known = present
            self._parts.clear()
            homes = self._pick(key, present)
        return {name: rank for rank, name in enumerate(homes)}

    def _pick(self, key: str, present: set[str]) -> list[str]:
        ranked = self._parts.get(key)
        if ranked is None:
            ranked = self._parts[key] = rank_homes(key, self._known, KEPT_HOMES)
            if len(self._parts) > MOST_PARTS:
                self._parts.popitem(last=False)
        self._parts.move_to_end(key)
        return [name for name in ranked if name in present][:HOMES]
