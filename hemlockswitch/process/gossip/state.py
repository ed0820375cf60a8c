"""Gossip items: versioned values that all daemons of a zone must receive soon."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any


@dataclass(frozen=True)
class GossipItem:
    """A versioned value.

    Parameters
    ==========

    key : its subject, such as ``vm/llm-1``, ``notice/llm-1`` or ``revision``.
    version : increases with each change of the value; the platform's version where there is one.
    value : msgpack-ready content.
    tombstone : whether the key was removed. A tombstone is retained for a time, so that older
        items of its key are not accepted again, and then discarded. It is not part of the digests
        that daemons compare.
    """

    key: str
    version: int
    value: Any
    tombstone: bool = False


Listener = Callable[[GossipItem], None]


class GossipState:
    """Stores the newest item of each key; the higher version wins.

    Explanation
    ===========

    `record` is idempotent and commutative, so items may arrive repeatedly, late and by any path.
    Listeners are called once for each item that is newer than the stored one; a listener must not
    block (it should put the item on its task's queue).

    Examples
    ========

    >>> gossip_state = GossipState()
    >>> gossip_state.record(GossipItem("vm/llm-1", 2, "live"))
    True
    >>> gossip_state.record(GossipItem("vm/llm-1", 1, "starting"))
    False
    >>> gossip_state.find("vm/llm-1").value
    'live'
    """

    def __init__(self) -> None:
        self._items: dict[str, GossipItem] = {}
        self._listeners: list[tuple[str, Listener]] = []

    def record(self, item: GossipItem) -> bool:
        """Store `item` if it is newer than the stored one, and call the listeners.

        Returns
        =======

        bool : whether the item was newer.
        """
        known = self._items.get(item.key)
        if known is not None and known.version >= item.version:
            return False
        self._items[item.key] = item
        for prefix, listener in self._listeners:
            if item.key.startswith(prefix):
                listener(item)
        return True

    def discard(self, key: str) -> None:
        """Discard the item of `key` without calling the listeners."""
        self._items.pop(key, None)

    def find(self, key: str) -> GossipItem | None:
        """Return the newest item of `key`, or None."""
        return self._items.get(key)

    def list_items(self, prefix: str = "") -> list[GossipItem]:
        """Return the newest items whose key starts with `prefix`."""
        return [item for key, item in self._items.items() if key.startswith(prefix)]

    def add_listener(self, prefix: str, listener: Listener) -> None:
        """Call `listener` for each newer item whose key starts with `prefix`."""
        self._listeners.append((prefix, listener))
