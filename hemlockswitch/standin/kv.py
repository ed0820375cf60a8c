"""KV cache that engines hand to one another: handles, their size, and the time a pull takes."""

import json
from collections import OrderedDict
from dataclasses import asdict, dataclass
from typing import Any

from geventhttpclient import HTTPClient

from hemlockswitch.core.clock import MS_PER_SECOND, Clock
from hemlockswitch.core.identifiers import make_identifier
from hemlockswitch.standin.batch import Stream
from hemlockswitch.standin.server import RefusalError, parse_address

HANDLES_KEPT = 256
PULL_TIMEOUT_S = 5


@dataclass(frozen=True)
class KvCache:
    """What a handle stands for: the leading tokens of one prompt and its answer."""

    seed: int
    tokens: int
    size_bytes: int


class KvStore:
    """The handles that one engine offers or has pulled.

    Parameters
    ==========

    bytes_per_token : size of the cache.
    bytes_per_s : how fast a pull from another engine is.
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
        """Offer the cache of a stream as far as it has come, and return its handle."""
        tokens = stream.computed_tokens
        cache = KvCache(stream.seed, tokens, tokens * self._bytes_per_token)
        self.exported += 1
        return {"kv_handle": self._keep(cache), "tokens": tokens, "size_bytes": cache.size_bytes}

    def describe(self, handle: str) -> dict[str, Any]:
        """Return what another engine pulls.

        Raises
        ======

        RefusalError : the handle is not known, or not any more.
        """
        cache = self._caches.get(handle)
        if cache is None:
            raise RefusalError(404, "unknown_kv_handle")
        return asdict(cache)

    def pull(self, source: str, handle: str) -> dict[str, Any]:
        """Pull a cache from another engine and return the handle that it has here.

        Raises
        ======

        RefusalError : the other engine does not answer or does not have it.
        """
        cache = _ask(source, handle)
        self._clock.sleep_ms(cache.size_bytes / self._bytes_per_s * MS_PER_SECOND)
        self.imported += 1
        return {"kv_handle": self._keep(cache), "tokens": cache.tokens}

    def count_carried_tokens(self, handle: str | None, seed: int) -> int:
        """Return how many leading tokens a handle brings to an answer; 0 if it is another's."""
        cache = self._caches.get(handle or "")
        return cache.tokens if cache is not None and cache.seed == seed else 0

    def _keep(self, cache: KvCache) -> str:
        handle = make_identifier("kv")
        self._caches[handle] = cache
        while len(self._caches) > HANDLES_KEPT:
            self._caches.popitem(last=False)
        return handle


def _ask(source: str, handle: str) -> KvCache:
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
