"""Splitting of a JSON text into its parts, without decoding them.

A decoder refuses a whole text for one invalid value inside it, also where that value is kept raw. Split
first, the parts can be decoded one by one, and an invalid one takes away only itself.
"""

import re
from collections.abc import Iterator

import gevent

MAX_SPLIT_BYTES = 4 * 1_048_576
"""Longest text that is split: several times the length of a page of the object service."""
TOKENS_PER_TURN = 20_000
"""Number of runs of brackets, and of commas, after which other tasks get a turn."""

_STRING = rb'"(?:[^"\\]++|\\.)*+"'
_BRACKET = re.compile(rb'(?:[^"\[\]{}]++|' + _STRING + rb")*+([\[{]++|[\]}]++)", re.DOTALL)
_BRACKET_OR_COMMA = re.compile(
    rb'(?:[^"\[\]{},]++|' + _STRING + rb")*+([\[{]++|[\]}]++|,)", re.DOTALL
)
_MEMBER = re.compile(rb"\s*(" + _STRING + rb")\s*:\s*", re.DOTALL)
_WHITESPACE = b" \t\r\n"
_CLOSING = {b"[": b"]", b"{": b"}"}


def split_array(text: bytes) -> list[bytes]:
    """Return the texts of the elements of a JSON array.

    Only brackets, strings and commas are examined; an element may be no valid JSON.

    Raises
    ======

    ValueError : the text is no array, is cut off, or is longer than `MAX_SPLIT_BYTES`.

    Examples
    ========

    >>> split_array(b'[{"a": [1, 2]}, NaN, "x,y"]')
    [b'{"a": [1, 2]}', b'NaN', b'"x,y"']
    """
    return list(_iterate_parts(text, b"["))


def split_object(text: bytes) -> dict[bytes, bytes]:
    r"""Return the texts of the values of a JSON object, by the text of their names without quotes.

    The last value counts if a name stands twice, as it does for a decoder.

    Raises
    ======

    ValueError : the text is no object, is cut off, or is longer than `MAX_SPLIT_BYTES`.

    Examples
    ========

    >>> split_object(b'{"name": "s1", "zone": "\\udcf6"}')
    {b'name': b'"s1"', b'zone': b'"\\udcf6"'}
    """
    members: dict[bytes, bytes] = {}
    for part in _iterate_parts(text, b"{"):
        name = _MEMBER.match(part)
        if name is None:
            raise ValueError("a member of the object has no name")
        members[name.group(1)[1:-1]] = part[name.end() :]
    return members


def _iterate_parts(text: bytes, opening: bytes) -> Iterator[bytes]:
    """Yield the texts between the commas of an array or object that fills the whole text."""
    text = text.strip(_WHITESPACE)
    if len(text) > MAX_SPLIT_BYTES:
        raise ValueError(f"the text is longer than {MAX_SPLIT_BYTES} bytes")
    if not text.startswith(opening) or not text.endswith(_CLOSING[opening]):
        raise ValueError(f"the text does not begin with {opening!r} and end with its counterpart")
    depth = start = position = 1
    for number in range(1, len(text)):
        if number % TOKENS_PER_TURN == 0:
            gevent.sleep(0)
        token = (_BRACKET_OR_COMMA if depth == 1 else _BRACKET).match(text, position)
        if token is None:
            break
        position = token.end()
        if token[1] == b",":
            yield text[start : position - 1].strip(_WHITESPACE)
            start = position
            continue
        run = len(token[1])
        depth += run if token[1][0] in b"[{" else -run
        if depth < 0:
            break
        if depth == 0:
            yield from _take_last(text, start, position)
            return
    raise ValueError("the text is cut off, or closes more than it opens")


def _take_last(text: bytes, start: int, end: int) -> Iterator[bytes]:
    if end != len(text):
        raise ValueError("the text goes on after its end")
    last = text[start : end - 1].strip(_WHITESPACE)
    if last or start > 1:
        yield last
