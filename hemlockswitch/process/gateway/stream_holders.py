"""The gateways that hold the record of a stream: all of a small fleet, some of a larger one.

In a larger fleet the gateways are placed on a circle by the hashes of their names, and a stream's record is held
by those that follow the hash of its key. The gateway that began a stream and one that is asked for it find the
same holders, unless the fleet has changed in between.
"""

from bisect import bisect
from collections.abc import Callable, Collection, Iterator
from itertools import chain, islice

from hemlockswitch.core.identifiers import hash_stable
from hemlockswitch.process.gateway.peer_groups import Peer

HASH_BYTES = 8
HOLDERS = 4
"""Number of gateways that hold a record in a larger fleet, beside the one that began the stream."""
ASKED = 5
"""Number of gateways that are asked for a record: the holders, and one more as the asking gateway may be one."""


class HolderRing:
    """The other gateways, in the order of the circle.

    Parameters
    ==========

    peers : the other gateways.
    """

    def __init__(self, peers: Collection[Peer]) -> None:
        placed = sorted((hash_stable(peer.name), peer.name) for peer in peers)
        self._hashes = [position for position, _ in placed]
        self._names = [name for _, name in placed]

    def iterate_after(self, digest: bytes) -> Iterator[str]:
        """Return the names of all gateways, in the order that follows the key of a stream."""
        begin = bisect(self._hashes, int.from_bytes(digest[:HASH_BYTES], "big"))
        names = self._names
        return chain(islice(names, begin, None), islice(names, begin))


def choose_holders(
    ring: HolderRing, find_running: Callable[[str], Peer | None], digest: bytes, count: int
) -> list[Peer]:
    """Return the first `count` running gateways that follow a stream's key.

    Parameters
    ==========

    find_running : returns the gateway of a name; None if it is known to have ended.
    """
    running = (find_running(name) for name in ring.iterate_after(digest))
    return list(islice((peer for peer in running if peer is not None), count))
