"""Fingerprints of requests by their content, identical for every attempt of a caller, and of prompt parts.

A caller that retries sends a new request identifier, possibly to another daemon. The account, method,
target and body do not change. Their hash identifies the request in logs and messages without revealing
its content; it includes the account, so that no caller can produce the fingerprint of another account's
request.
"""

import hashlib
from collections.abc import Iterable
from functools import lru_cache

HASH_CHARACTERS = 32
"""128 bits, which makes it infeasible to find two contents with equal fingerprints."""
PART_PREFIX = "part-"
"""Distinguishes the fingerprints of prompt parts from those of contents."""
SHARED_PART_PREFIX = f"{PART_PREFIX}any-"
"""Distinguishes the fingerprints of prompt parts at any service."""
MAX_CACHED_PARTS = 4_096
"""Number of prompt parts whose fingerprints are cached: requests share most of their parts."""
MAX_CACHED_CHARACTERS = 64
"""Longest identifier that is cached: callers choose identifiers, and could fill the memory with long ones."""
LENGTH_BYTES = 4
"""Each part is prefixed with its length, so that different lists of parts never give equal bytes."""


def hash_call(parts: Iterable[str], body: bytes) -> str:
    """Return a hexadecimal hash of the parts of a call and its body.

    Examples
    ========

    >>> hash_call(["a", "bc"], b"") == hash_call(["ab", "c"], b"")
    False
    """
    digest = hashlib.sha256()
    for part in parts:
        encoded = part.encode("utf-8", "surrogateescape")
        digest.update(len(encoded).to_bytes(LENGTH_BYTES, "big") + encoded)
    digest.update(body)
    return digest.hexdigest()[:HASH_CHARACTERS]


def hash_content_at(service: str, fingerprint: str) -> str:
    """Return the fingerprint of a content at one service, if its route is split between services."""
    return hash_call(("content", service, fingerprint), b"")


def hash_part(service: str, identifier: str) -> str:
    """Return the fingerprint of a prompt part, identical for all requests of a service that contain it.

    Examples
    ========

    >>> hash_part("llm", "5c1e07a2") == hash_part("llm", "91bd3f06")
    False
    """
    if len(identifier) > MAX_CACHED_CHARACTERS:
        return _hash_part(service, identifier)
    return _hash_cached_part(service, identifier)


def hash_shared_part(identifier: str) -> str:
    """Return the fingerprint of a prompt part, identical for all requests of any service that contain it.

    Examples
    ========

    >>> hash_shared_part("5c1e07a2") == hash_part("llm", "5c1e07a2")
    False
    """
    if len(identifier) > MAX_CACHED_CHARACTERS:
        return _hash_shared_part(identifier)
    return _hash_cached_shared_part(identifier)


def _hash_part(service: str, identifier: str) -> str:
    return PART_PREFIX + hash_call(("part", service, identifier), b"")


def _hash_shared_part(identifier: str) -> str:
    return SHARED_PART_PREFIX + hash_call(("part", identifier), b"")


_hash_cached_part = lru_cache(MAX_CACHED_PARTS)(_hash_part)
_hash_cached_shared_part = lru_cache(MAX_CACHED_PARTS)(_hash_shared_part)


def is_part(fingerprint: str) -> bool:
    """Return whether a fingerprint is that of a prompt part."""
    return fingerprint.startswith(PART_PREFIX)


def is_shared_part(fingerprint: str) -> bool:
    """Return whether a fingerprint is that of a prompt part at any service."""
    return fingerprint.startswith(SHARED_PART_PREFIX)
