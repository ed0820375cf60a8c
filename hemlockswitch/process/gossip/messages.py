"""The messages of the gossip protocol, and its limits."""

from dataclasses import dataclass
from typing import Any

import msgpack

from hemlockswitch.connection.messages import register_message
from hemlockswitch.process.gossip.state import GossipItem


@register_message("news")
@dataclass(frozen=True)
class GossipItems:
    """Items, as rows of key, version, value and tombstone flag."""

    items: list[list[Any]]


@register_message("have")
@dataclass(frozen=True)
class Have:
    """Announces large items that the sender stores, as rows of key and version."""

    held: list[list[Any]]


@register_message("fetch")
@dataclass(frozen=True)
class Fetch:
    """Requests the items with these keys."""

    keys: list[str]


@register_message("compare")
@dataclass(frozen=True)
class Compare:
    """Requests the versions that the receiver stores in the buckets that differ."""

    zone: str
    buckets: bytes


@register_message("difference")
@dataclass(frozen=True)
class Difference:
    """The buckets that differ, and rows of key, version and tombstone flag for their items."""

    buckets: list[int]
    held: list[list[Any]]


@dataclass(frozen=True)
class GossipLimits:
    """Limits of the gossip protocol.

    Parameters
    ==========

    batch_delay_ms : how long a new item waits, to be batched with others.
    max_batch_bytes : maximum size of one message of items.
    max_pushed_bytes : a larger item is announced, and fetched once by each daemon that lacks it.
    max_item_bytes : a larger item is not sent.
    max_difference_rows : maximum number of rows in one `Difference`.
    max_fetch_keys : maximum number of keys in one `Fetch`.
    request_timeout_ms : how long a daemon waits for each reply.
    tombstone_retention_ms : how long a tombstone is retained; longer than any network partition that must
        be repaired without an operator.
    """

    batch_delay_ms: int = 10
    max_batch_bytes: int = 65_536
    max_pushed_bytes: int = 128
    max_item_bytes: int = 524_288
    max_difference_rows: int = 4_000
    max_fetch_keys: int = 500
    request_timeout_ms: int = 2_000
    tombstone_retention_ms: int = 7_200_000


@dataclass(frozen=True)
class Row:
    """An item encoded for sending, with its size."""

    content: list[Any]
    size_bytes: int

    @classmethod
    def from_item(cls, item: GossipItem) -> "Row":
        """Return the row of an item.

        Examples
        ========

        >>> Row.from_item(GossipItem("revision", 3, "")).content
        ['revision', 3, '', False]
        """
        content = [item.key, item.version, item.value, item.tombstone]
        return cls(content, len(msgpack.packb(content)))


def batch_rows(rows: list[Row], batch_bytes: int) -> list[list[Any]]:
    """Return the rows' contents in batches of at most `batch_bytes`; a larger row forms its own batch.

    Examples
    ========

    >>> rows = [Row(["a"], 40), Row(["b"], 40), Row(["c"], 40)]
    >>> batch_rows(rows, 90)
    [[['a'], ['b']], [['c']]]
    """
    batches: list[list[Any]] = []
    size_bytes = 0
    for row in rows:
        size_bytes += row.size_bytes
        if not batches or size_bytes > batch_bytes:
            batches.append([])
            size_bytes = row.size_bytes
        batches[-1].append(row.content)
    return batches
