"""KV cache transfer between engines: handles, their size, and the duration of a pull."""

import json
from collections import OrderedDict
from dataclasses import asdict, dataclass
from typing import Any

from geventhttpclient import HTTPClient

from hemlockswitch.core.clock import MS_PER_SECOND, Clock
from hemlockswitch.core.identifiers import make_identifier
from hemlockswitch.standin.batch import Stream
from hemlockswitch.standin.server import RefusalError, parse_address

MAX_RETAINED_HANDLES = 256
PULL_TIMEOUT_S = 5


@dataclass(frozen=True)
class KvCache:
    """KV cache of the leading tokens of a prompt and its answer, offered under a handle."""

    seed: int
    tokens: int
    size_bytes: int


class KvStore:
    """KV caches that an engine offers or has pulled, by handle.

    Parameters
    ==========

    bytes_per_token : size of the KV cache of one token.
    bytes_per_s : speed of a pull from another engine.
    clock : source of time.
    """

    def __init__(self, bytes_per_token: int, bytes_per_s: float, clock: Clock) -> None:
        self._bytes_per_token = bytes_per_token
        self._bytes_per_s = bytes_per_s
        self._clock = clock
        self._caches: OrderedDict[str, KvCache] = OrderedDict()
        self.exported = 0
        self.imported = 0

    def export(self, stream: Stream) -> dict[str, Any]:
        """Offer the KV cache computed so far for a stream, and return its handle and size."""
        tokens = stream.computed_tokens
        cache = KvCache(stream.seed, tokens, tokens * self._bytes_per_token)
        self.exported += 1
        return {"kv_handle": self._store(cache), "tokens": tokens, "size_bytes": cache.size_bytes}

    def describe(self, handle: str) -> dict[str, Any]:
        """Return the KV cache of a handle, as another engine pulls it.

        Raises
        ======

        RefusalError : the handle does not exist or was evicted.
        """
        cache = self._caches.get(handle)
        if cache is None:
            raise RefusalError(404, "unknown_kv_handle")
        return asdict(cache)

    def pull(self, source: str, handle: str) -> dict[str, Any]:
        """Pull a KV cache from another engine and return its new, local handle.

        Raises
        ======

        RefusalError : the other engine does not answer or does not have the handle.
        """
        cache = _fetch_cache(source, handle)
        self._clock.sleep_ms(cache.size_bytes / self._bytes_per_s * MS_PER_SECOND)
        self.imported += 1
        return {"kv_handle": self._store(cache), "tokens": cache.tokens}

    def count_carried_tokens(self, handle: str | None, seed: int) -> int:
        """Return how many leading tokens the KV cache of a handle covers.

        This is 0 without a stored handle, or if its KV cache belongs to an answer with another
        seed.
        """
        cache = self._caches.get(handle or "")
        return cache.tokens if cache is not None and cache.seed == seed else 0

    def _store(self, cache: KvCache) -> str:
        handle = make_identifier("kv")
        self._caches[handle] = cache
        while len(self._caches) > MAX_RETAINED_HANDLES:
            self._caches.popitem(last=False)
        return handle


def _fetch_cache(source: str, handle: str) -> KvCache:
    host, port = parse_address(source)
    client = HTTPClient(
        host, port, connection_timeout=PULL_TIMEOUT_S, network_timeout=PULL_TIMEOUT_S
    )
    try:
        answer = client.get(f"/v1/kv/{handle}")
        content = answer.read()
        if answer.status_code != 200:
            raise RefusalError(404, "unknown_kv_handle")
        return KvCache(**json.loads(content))
    except OSError as error:
        raise RefusalError(502, f"kv source: {error}") from error
    finally:
        client.close()
