"""Random identifiers, and the stable hash for decisions on which all processes must agree."""

import secrets
from collections.abc import Iterable

import xxhash

IDENTIFIER_BYTES = 12


def make_identifier(prefix: str) -> str:
    """Return a new random identifier such as ``req-1f0c...``."""
    return f"{prefix}-{secrets.token_hex(IDENTIFIER_BYTES)}"


def hash_stable(text: str) -> int:
    """Return a 64-bit hash that is identical in every process and release.

    Examples
    ========

    >>> hash_stable("abdoun-hall") == hash_stable("abdoun-hall")
    True
    """
    return xxhash.xxh3_64_intdigest(text.encode())


def rank_rendezvous(key: str, names: Iterable[str]) -> list[str]:
    """Order `names` by rendezvous hashing (highest random weight) for `key`, best first.

    Explanation
    ===========

    Processes with the same set of names compute the same order. Adding or removing a name does not
    change the relative order of the remaining names.

    Examples
    ========

    >>> full = rank_rendezvous("k", ["a", "b", "c"])
    >>> rank_rendezvous("k", ["c", "b", "a"]) == full
    True
    >>> [name for name in full if name != "b"] == rank_rendezvous("k", ["a", "c"])
    True
    """
    return sorted(names, key=lambda name: hash_stable(f"{key}\0{name}"), reverse=True)
