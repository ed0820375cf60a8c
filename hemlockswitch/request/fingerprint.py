"""Names of requests by what they ask for, the same for every attempt of a caller.

A caller that comes again sends a new identifier, to any daemon. What stays is the account, the method,
the target and the body. Their hash names the request in logs and messages without showing any of it; the
account is part of it, so that no caller can name another one's request.
"""

import hashlib
from collections.abc import Iterable

HASH_CHARACTERS = 32
"""128 bits: nobody finds a second content with the same name."""
LENGTH_BYTES = 4
"""Each part is hashed behind its length, so that no two lists of parts give the same bytes."""


def hash_call(parts: Iterable[str], body: bytes) -> str:
    """Return a hash, in hexadecimal, of the parts of a call and its body.

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
