"""News: facts with rising versions that every daemon of a zone must learn soon."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any


@dataclass(frozen=True)
class NewsItem:
    """One fact.

    Parameters
    ==========

    key : what it is about, such as ``vm/llm-1``, ``notice/llm-1`` or ``revision``.
    version : rises with each change of the fact; the platform's version where it has one.
    value : msgpack-ready content.
    tombstone : the last word on its key, kept for a time so that older items do not come back,
        then forgotten; it is not part of the digests that daemons compare.
    """

    key: str
    version: int
    value: Any
    tombstone: bool = False


Listener = Callable[[NewsItem], None]


class NewsBoard:
    """The newest known item for each key; the higher version wins.

    Explanation
    ===========

    Learning is idempotent and commutative, so items may arrive twice, late and by any path.
    Listeners are called once for each item that is newer than what was known; a listener must
    return at once (put the item on its task's queue).

    Examples
    ========

    >>> board = NewsBoard()
    >>> board.learn(NewsItem("vm/llm-1", 2, "live"))
    True
    >>> board.learn(NewsItem("vm/llm-1", 1, "starting"))
    False
    >>> board.find("vm/llm-1").value
    'live'
    """

    def __init__(self) -> None:
        self._items: dict[str, NewsItem] = {}
        self._listeners: list[tuple[str, Listener]] = []

    def learn(self, item: NewsItem) -> bool:
        """Keep `item` if it is newer than what is known, and tell the listeners.

        Returns
        =======

        bool : whether the item was new.
        """
        known = self._items.get(item.key)
        if known is not None and known.version >= item.version:
            return False
        self._items[item.key] = item
        for prefix, listener in self._listeners:
            if item.key.startswith(prefix):
                listener(item)
        return True

    def forget(self, key: str) -> None:
        """Drop the item for `key` without telling the listeners."""
        self._items.pop(key, None)

    def find(self, key: str) -> NewsItem | None:
        """Return the newest item for `key`, or None."""
        return self._items.get(key)

    def list_items(self, prefix: str = "") -> list[NewsItem]:
        """Return the newest items whose key starts with `prefix`."""
        return [item for key, item in self._items.items() if key.startswith(prefix)]

    def add_listener(self, prefix: str, listener: Listener) -> None:
        """Call `listener` for each newer item whose key starts with `prefix`."""
        self._listeners.append((prefix, listener))
