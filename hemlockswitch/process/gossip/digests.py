"""Digests of gossip items: a total to compare, and buckets to locate differences."""

import struct
from collections.abc import Iterable

from hemlockswitch.core.identifiers import hash_stable
from hemlockswitch.process.gossip.state import GossipItem

BUCKETS = 64
_PACKED = struct.Struct(f">{BUCKETS}Q")


def choose_bucket(key: str) -> int:
    """Return the index of the bucket to which `key` belongs."""
    return hash_stable(key) % BUCKETS


class Digest:
    """The exclusive or of the hashes of all live items, in buckets, updated incrementally.

    Explanation
    ===========

    Equal sets of items have equal digests, regardless of the order of insertion. Tombstones are
    excluded, so that daemons which discard them at different times still agree.

    Examples
    ========

    >>> left, right = Digest(), Digest()
    >>> left.replace(GossipItem("a", 1, None))
    >>> left.replace(GossipItem("a", 2, None))
    >>> right.replace(GossipItem("a", 2, None))
    >>> left.total == right.total
    True
    """

    def __init__(self) -> None:
        self.total = 0
        self._buckets = [0] * BUCKETS
        self._hashes: dict[str, int] = {}

    def replace(self, item: GossipItem) -> None:
        """Include `item`, in place of the item with the same key."""
        new = 0 if item.tombstone else hash_stable(f"{item.key}\0{item.version}")
        change = new ^ self._hashes.get(item.key, 0)
        if item.tombstone:
            self._hashes.pop(item.key, None)
        else:
            self._hashes[item.key] = new
        self.total ^= change
        self._buckets[choose_bucket(item.key)] ^= change

    def pack_buckets(self, digests: Iterable["Digest"] = ()) -> bytes:
        """Return the buckets, combined with those of other digests, as bytes."""
        buckets = list(self._buckets)
        for other in digests:
            buckets = [mine ^ its for mine, its in zip(buckets, other._buckets, strict=True)]
        return _PACKED.pack(*buckets)


def list_different(left: bytes, right: bytes) -> list[int]:
    """Return the indices of the buckets that differ between two packed digests.

    Raises
    ======

    struct.error : an argument is not a packed digest.
    """
    pairs = zip(_PACKED.unpack(left), _PACKED.unpack(right), strict=True)
    return [number for number, (mine, its) in enumerate(pairs) if mine != its]
