"""Answer text of the stand-in engines, and the hashes under which they cache prompt prefixes.

Explanation
===========

Token `i` of an answer depends only on the model, the prompt and `i`. Any engine can therefore
continue an answer that another engine started, and a checker can compute the expected answer in
advance. Every token is one word followed by a space; prompts are measured in words too.
"""

from collections.abc import Iterator, Mapping, Sequence

from hemlockswitch.core.identifiers import hash_stable

BLOCK_WORDS = 16
DEFAULT_MAX_TOKENS = 64
_MASK = (1 << 64) - 1
_STEP = 0x9E3779B97F4A7C15
_MIX = 0xD6E8FEB86659FD93
_SYLLABLES = [a + b for a, b in zip("bcdfghjklmnprstw", "aeiouaeioeuaioue", strict=True)]
_WORDS = [f"{a}{b}{c} " for a in _SYLLABLES for b in _SYLLABLES for c in _SYLLABLES]


def join_prompt(messages: Sequence[Mapping[str, object]]) -> str:
    """Return the messages of a chat as a single prompt text.

    Examples
    ========

    >>> join_prompt([{"role": "user", "content": "two slots"}])
    'user: two slots'
    """
    return "\n".join(f"{message.get('role')}: {message.get('content')}" for message in messages)


def seed_answer(model: str, prompt: str) -> int:
    """Return the seed from which the answer of `model` to `prompt` is generated."""
    return hash_stable(f"{model}\0{prompt}")


def make_token(seed: int, index: int) -> str:
    """Return token `index` of the answer generated from `seed`.

    Examples
    ========

    >>> make_token(7, 0) == make_token(7, 0)
    True
    >>> make_token(7, 0).endswith(" ")
    True
    """
    mixed = (seed + (index + 1) * _STEP) & _MASK
    mixed = ((mixed ^ (mixed >> 32)) * _MIX) & _MASK
    return _WORDS[mixed >> 52]


def make_answer(model: str, prompt: str, tokens: int) -> str:
    """Return the first `tokens` tokens of an answer as a single string.

    Examples
    ========

    >>> len(make_answer("assistant-llm", "user: two slots", 5).split())
    5
    """
    seed = seed_answer(model, prompt)
    return "".join(make_token(seed, index) for index in range(tokens))


def count_words(text: str) -> int:
    """Return the number of tokens in `text`; each word is one token."""
    return len(text.split())


def hash_prefixes(prompt: str) -> Iterator[int]:
    """Yield the hash of each prefix of `prompt` made of full blocks, shortest first.

    Explanation
    ===========

    Each block of `BLOCK_WORDS` words, joined by spaces, is hashed together with the hash of the
    preceding blocks, written as sixteen hexadecimal digits (zeros for the first block). An
    incomplete last block is not cached.
    """
    words = prompt.split()
    before = 0
    for start in range(0, len(words) - BLOCK_WORDS + 1, BLOCK_WORDS):
        block = " ".join(words[start : start + BLOCK_WORDS])
        before = hash_stable(f"{before:016x} {block}")
        yield before
