"""Identifiers that the system makes, and the stable hash used wherever nodes must agree."""

import secrets
from collections.abc import Iterable

import xxhash

IDENTIFIER_BYTES = 12


def make_identifier(prefix: str) -> str:
    """Return a new random identifier such as ``req-1f0c...``."""
    return f"{prefix}-{secrets.token_hex(IDENTIFIER_BYTES)}"


def hash_stable(text: str) -> int:
    """Return a 64-bit hash that is the same in every process and version.

    Examples
    ========

    >>> hash_stable("abdoun-hall") == hash_stable("abdoun-hall")
    True
    """
    return xxhash.xxh3_64_intdigest(text.encode())


def rank_rendezvous(key: str, names: Iterable[str]) -> list[str]:
    """Order `names` by highest random weight for `key`, best first.

    Explanation
    ===========

    Every process that knows the same names gets the same order, and a name that comes or goes
    changes the order of no two others.

    Examples
    ========

    >>> full = rank_rendezvous("k", ["a", "b", "c"])
    >>> rank_rendezvous("k", ["c", "b", "a"]) == full
    True
    >>> [name for name in full if name != "b"] == rank_rendezvous("k", ["a", "c"])
    True
    """
    return sorted(names, key=lambda name: hash_stable(f"{key}\0{name}"), reverse=True)
