"""Prompt prefixes: splits prompts into blocks that engines can cache, and records where they were sent."""

from collections import OrderedDict
from collections.abc import Sequence

from hemlockswitch.core.identifiers import hash_stable

BLOCK_TOKENS = 16
MAX_BLOCKS = 512
MAX_BLOCKS_PER_SERVER = 4_096


def count_tokens(text: str) -> int:
    """Return the number of tokens of `text`, counted as whitespace-separated words.

    Examples
    ========

    >>> count_tokens("is the hall  free?")
    4
    """
    return len(text.split())


def hash_blocks(text: str) -> tuple[int, ...]:
    """Return one hash for each complete leading block of `text`.

    Explanation
    ===========

    Each hash covers its block and all preceding blocks, so two prompts share the first ``n`` hashes if
    and only if they share the first ``n`` blocks. An incomplete last block is omitted, as are blocks
    beyond `MAX_BLOCKS`, which bounds the work for a long prompt.

    Examples
    ========

    >>> greeting = "word " * 20
    >>> len(hash_blocks(greeting))
    1
    >>> hash_blocks(greeting + "a " * 12)[0] == hash_blocks(greeting)[0]
    True
    """
    words = text.split()
    complete = min(len(words) // BLOCK_TOKENS, MAX_BLOCKS)
    hashes = []
    previous = 0
    for number in range(complete):
        block = " ".join(words[number * BLOCK_TOKENS : (number + 1) * BLOCK_TOKENS])
        previous = hash_stable(f"{previous:016x} {block}")
        hashes.append(previous)
    return tuple(hashes)


class PrefixRecord:
    """Bounded record of the leading blocks recently sent to each backend server.

    Explanation
    ===========

    Engines evict the least recently used blocks, as this class does, so a block recorded here is
    probably still in the engine's cache.

    Parameters
    ==========

    capacity : maximum number of blocks recorded for each server; the least recently used are evicted.

    Examples
    ========

    >>> memory = PrefixRecord()
    >>> memory.record("llm-1", (1, 2, 3))
    >>> memory.count_cached("llm-1", (1, 2, 9))
    32
    >>> memory.count_cached("llm-2", (1, 2, 9))
    0
    """

    def __init__(self, capacity: int = MAX_BLOCKS_PER_SERVER) -> None:
        self._capacity = capacity
        self._blocks: dict[str, OrderedDict[int, None]] = {}

    def record(self, server_name: str, blocks: Sequence[int]) -> None:
        """Record that a prompt with these leading blocks was sent to the server."""
        recorded = self._blocks.setdefault(server_name, OrderedDict())
        for block in reversed(blocks):
            recorded[block] = None
            recorded.move_to_end(block)
        while len(recorded) > self._capacity:
            recorded.popitem(last=False)

    def count_cached(self, server_name: str, blocks: Sequence[int]) -> int:
        """Return the number of leading tokens that the server probably has in its cache."""
        recorded = self._blocks.get(server_name) or ()
        matched = 0
        for block in blocks:
            if block not in recorded:
                break
            matched += 1
        return matched * BLOCK_TOKENS

    def count_all(self, blocks: Sequence[int]) -> dict[str, int]:
        """Return the estimated number of cached leading tokens of each server that has any."""
        if not blocks:
            return {}
        holders = [name for name, kept in self._blocks.items() if blocks[0] in kept]
        return {name: self.count_cached(name, blocks) for name in holders}

    def remove_server(self, server_name: str) -> None:
        """Discard the blocks of a server that has been removed."""
        self._blocks.pop(server_name, None)
