"""JSON documents: strict parsing, the canonical form, and its digest.

Explanation
===========

The canonical form is computed once, when a file is applied. Afterwards the JSON tree is stored,
sent and compared, never the dump of a model, so that a process with newer defaults computes the
same digest for a revision as the process that created it.
"""

import hashlib
import json
from dataclasses import dataclass
from typing import Any

from hemlockswitch.version.mistakes import Mistake, Path, format_path

SORTED_FIELDS = ("client_accounts", "draining", "models", "services", "zones")
"""Lists of the operator file whose order is not significant."""


@dataclass(frozen=True)
class Document:
    """A JSON tree, and the mistakes of its text that the tree cannot represent."""

    tree: Any
    mistakes: tuple[Mistake, ...]


class _Object(dict):
    """A JSON object that records its duplicate keys."""

    duplicate_keys: tuple[str, ...] = ()


def read_document(text: str) -> Document:
    """Return the JSON tree of `text`; NaN, infinities and unpaired surrogates are rejected.

    Raises
    ======

    ValueError : the text is not JSON.

    Examples
    ========

    >>> [str(mistake) for mistake in read_document('{"limits": {"a": 1, "a": 2}}').mistakes]
    ['limits.a: duplicate key in one object']
    """
    try:
        tree = json.loads(text, object_pairs_hook=_make_object, parse_constant=_refuse_constant)
    except RecursionError as error:
        raise ValueError("nested too deeply") from error
    encode_canonical(tree).encode()
    return Document(tree, tuple(_list_duplicate_keys(tree, ())))


def encode_canonical(tree: Any) -> str:
    """Return the canonical text of a JSON tree.

    Examples
    ========

    >>> encode_canonical({"b": 1, "a": [True]})
    '{"a":[true],"b":1}'
    """
    return json.dumps(
        tree, sort_keys=True, separators=(",", ":"), ensure_ascii=False, allow_nan=False
    )


def digest_tree(tree: Any) -> str:
    """Return the SHA-256 of the canonical form of `tree`."""
    return "sha256:" + hashlib.sha256(encode_canonical(tree).encode()).hexdigest()


def sort_file_tree(tree: dict[str, Any]) -> dict[str, Any]:
    """Return an operator file's tree with the lists of `SORTED_FIELDS` sorted."""
    return {
        key: sorted(value, key=find_sort_key) if key in SORTED_FIELDS else value
        for key, value in tree.items()
    }


def find_sort_key(element: Any) -> str:
    """Return the name of a named object, or a string element itself."""
    return element["name"] if isinstance(element, dict) else element


def _make_object(pairs: list[tuple[str, Any]]) -> _Object:
    made = _Object(pairs)
    if len(made) < len(pairs):
        keys = [key for key, _ in pairs]
        made.duplicate_keys = tuple(sorted({key for key in keys if keys.count(key) > 1}))
    return made


def _refuse_constant(name: str) -> Any:
    raise ValueError(f"{name} is not a JSON number")


def _list_duplicate_keys(tree: Any, path: Path) -> list[Mistake]:
    found: list[Mistake] = []
    if isinstance(tree, _Object):
        for duplicate_key in tree.duplicate_keys:
            place = format_path((*path, duplicate_key))
            found.append(Mistake(place, "duplicate key in one object"))
    for key, child in _list_children(tree):
        found.extend(_list_duplicate_keys(child, (*path, key)))
    return found


def _list_children(tree: Any) -> list[tuple[str | int, Any]]:
    if isinstance(tree, dict):
        return list(tree.items())
    if isinstance(tree, list):
        return list(enumerate(tree))
    return []
