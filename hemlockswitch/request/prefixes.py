"""Prompt prefixes: the blocks that engines can cache, and what a daemon remembers of them."""

from collections import OrderedDict
from collections.abc import Sequence

from hemlockswitch.core.identifiers import hash_stable

BLOCK_TOKENS = 16
MAX_BLOCKS = 512
REMEMBERED_BLOCKS = 4_096


def count_tokens(text: str) -> int:
    """Return the number of tokens of `text`, counted as whitespace-separated words.

    Examples
    ========

    >>> count_tokens("is the hall  free?")
    4
    """
    return len(text.split())


def hash_blocks(text: str) -> tuple[int, ...]:
    """Return one hash for each whole leading block of `text`.

    Explanation
    ===========

    Each hash covers its block and all before it, so two prompts share the first ``n`` hashes
    exactly when they share the first ``n`` blocks. A last block that is not full is left out,
    and so are blocks past `MAX_BLOCKS`, which bounds the work for a long prompt.

    Examples
    ========

    >>> greeting = "word " * 20
    >>> len(hash_blocks(greeting))
    1
    >>> hash_blocks(greeting + "a " * 12)[0] == hash_blocks(greeting)[0]
    True
    """
    words = text.split()
    whole = min(len(words) // BLOCK_TOKENS, MAX_BLOCKS)
    hashes = []
    previous = 0
    for number in range(whole):
        block = " ".join(words[number * BLOCK_TOKENS : (number + 1) * BLOCK_TOKENS])
        previous = hash_stable(f"{previous:016x} {block}")
        hashes.append(previous)
    return tuple(hashes)


class PrefixMemory:
    """Which leading blocks were lately sent to which backend server, bounded in size.

    Explanation
    ===========

    An engine keeps the blocks used last, as this memory does, so what is remembered here is
    probably still there.

    Parameters
    ==========

    capacity : number of blocks kept for each server; the least lately used go first.

    Examples
    ========

    >>> memory = PrefixMemory()
    >>> memory.remember("llm-1", (1, 2, 3))
    >>> memory.count_cached("llm-1", (1, 2, 9))
    32
    >>> memory.count_cached("llm-2", (1, 2, 9))
    0
    """

    def __init__(self, capacity: int = REMEMBERED_BLOCKS) -> None:
        self._capacity = capacity
        self._blocks: dict[str, OrderedDict[int, None]] = {}

    def remember(self, server_name: str, blocks: Sequence[int]) -> None:
        """Note that a prompt with these leading blocks went to the server."""
        kept = self._blocks.setdefault(server_name, OrderedDict())
        for block in reversed(blocks):
            kept[block] = None
            kept.move_to_end(block)
        while len(kept) > self._capacity:
            kept.popitem(last=False)

    def count_cached(self, server_name: str, blocks: Sequence[int]) -> int:
        """Return how many leading tokens the server probably still has in its cache."""
        kept = self._blocks.get(server_name) or ()
        matched = 0
        for block in blocks:
            if block not in kept:
                break
            matched += 1
        return matched * BLOCK_TOKENS

    def count_all(self, blocks: Sequence[int]) -> dict[str, int]:
        """Return the leading tokens that each server probably has, for those that have any."""
        if not blocks:
            return {}
        holders = [name for name, kept in self._blocks.items() if blocks[0] in kept]
        return {name: self.count_cached(name, blocks) for name in holders}

    def forget_server(self, server_name: str) -> None:
        """Forget all that was sent to a server that is no more."""
        self._blocks.pop(server_name, None)
