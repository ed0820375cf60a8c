"""The difference between two configurations as typed changes by path.

Explanation
===========

Both sides are JSON trees. An element of a list that is sorted by name (accounts, models, services,
zones, draining) is addressed by its name, so changing one element is one change, whatever its
index. Every other list is replaced completely. Applying the changes gives exactly the other tree,
which its digest verifies. Unchanged subtrees are shared between the two trees and never modified
in place, so the cost of applying and comparing depends on the size of the change and not of the
file.
"""

import copy
from bisect import bisect_left
from collections.abc import Sequence
from dataclasses import dataclass
from functools import singledispatch
from typing import Any

from hemlockswitch.core.errors import ConfigurationError, ErrorKind
from hemlockswitch.version.documents import encode_canonical, find_sort_key

Steps = tuple[str, ...]
"""The object keys, and element names in named lists, from the root of the tree to a value."""


@dataclass(frozen=True)
class Put:
    """Set or insert `value` at `path`."""

    path: Steps
    value: Any


@dataclass(frozen=True)
class Remove:
    """Remove the value at `path`."""

    path: Steps


Change = Put | Remove


def compare_trees(old: Any, new: Any, path: Steps = ()) -> list[Change]:
    """Return the changes that turn `old` into `new`.

    Examples
    ========

    >>> compare_trees({"a": 1, "b": {"c": 2}}, {"a": 1, "b": {"c": 3}})
    [Put(path=('b', 'c'), value=3)]
    """
    if old is new:
        return []
    old_children = _find_children(old)
    new_children = _find_children(new)
    if old_children is None or new_children is None or type(old) is not type(new):
        return [] if _is_same(old, new) else _replace(path, new)
    changes: list[Change] = [
        Remove((*path, key)) for key in sorted(old_children.keys() - new_children.keys())
    ]
    for key, value in sorted(new_children.items()):
        if key in old_children:
            changes.extend(compare_trees(old_children[key], value, (*path, key)))
        else:
            changes.append(Put((*path, key), value))
    return changes


def _is_same(old: Any, new: Any) -> bool:
    """Return whether two values have the same JSON text; 1, 1.0 and true all differ."""
    if type(old) is not type(new):
        return False
    if isinstance(old, list | dict):
        return encode_canonical(old) == encode_canonical(new)
    return old == new


def _replace(path: Steps, new: Any) -> list[Change]:
    if not path:
        raise ConfigurationError(
            ErrorKind.INVALID_CONFIGURATION, "the root of both trees must be a JSON object"
        )
    return [Put(path, new)]


def apply_changes(tree: Any, changes: Sequence[Change]) -> Any:
    """Return a new tree with the changes applied; `tree` is not modified.

    Raises
    ======

    ConfigurationError : the path of a change does not exist in the tree.
    """
    copied_ids: set[int] = set()
    changed = _copy_once(tree, copied_ids)
    for change in changes:
        try:
            apply_change(change, _walk(changed, change.path[:-1], copied_ids))
        except (KeyError, IndexError, TypeError) as error:
            raise ConfigurationError(
                ErrorKind.INVALID_CONFIGURATION, f"path {format_steps(change.path)} does not exist"
            ) from error
    return changed


@singledispatch
def apply_change(change: Change, parent: Any) -> None:
    """Apply one change to the object or list that contains its target."""
    raise TypeError(f"not a change: {change!r}")


@apply_change.register
def _(change: Put, parent: Any) -> None:
    key = change.path[-1]
    if isinstance(parent, dict):
        parent[key] = change.value
        return
    if find_sort_key(change.value) != key:
        raise KeyError(key)
    place = bisect_left(parent, key, key=find_sort_key)
    exists = place < len(parent) and find_sort_key(parent[place]) == key
    parent[place : place + exists] = [change.value]


@apply_change.register
def _(change: Remove, parent: Any) -> None:
    key = change.path[-1]
    if isinstance(parent, dict):
        del parent[key]
    else:
        del parent[_find_index(parent, key)]


@singledispatch
def describe_change(change: Change) -> str:
    """Return a change as one line of text for operators."""
    raise TypeError(f"not a change: {change!r}")


@describe_change.register
def _(change: Put) -> str:
    return f"{format_steps(change.path)} = {encode_canonical(change.value)}"


@describe_change.register
def _(change: Remove) -> str:
    return f"{format_steps(change.path)} removed"


def format_steps(path: Steps) -> str:
    """Return a path in the notation for operators.

    Examples
    ========

    >>> format_steps(("models", "assistant-llm", "min_copies"))
    'models/assistant-llm/min_copies'
    """
    return "/".join(path)


def pack_changes(changes: Sequence[Change]) -> list[list[Any]]:
    """Return changes as lists for msgpack and JSON: the path, then the value of a `Put`."""
    return [
        [list(change.path), change.value] if isinstance(change, Put) else [list(change.path)]
        for change in changes
    ]


def unpack_changes(rows: Sequence[Sequence[Any]]) -> list[Change]:
    """Return the changes that `pack_changes` encoded.

    Raises
    ======

    ConfigurationError : a row does not encode a change.
    """
    changes: list[Change] = []
    for row in rows:
        path = tuple(row[0]) if row and isinstance(row[0], list) else ()
        if not path or len(row) > 2 or not all(isinstance(step, str) for step in path):
            raise ConfigurationError(
                ErrorKind.INVALID_CONFIGURATION, "row does not encode a change"
            )
        changes.append(Put(path, row[1]) if len(row) == 2 else Remove(path))
    return changes


def _find_children(value: Any) -> dict[str, Any] | None:
    """Return the addressable children of an object or a list that is sorted by name."""
    if isinstance(value, dict):
        return value
    if isinstance(value, list) and all(_has_name(element) for element in value):
        children = {find_sort_key(element): element for element in value}
        is_sorted = len(children) == len(value) and list(children) == sorted(children)
        return children if is_sorted else None
    return None


def _has_name(element: Any) -> bool:
    if isinstance(element, dict):
        return isinstance(element.get("name"), str)
    return isinstance(element, str)


def _walk(tree: Any, path: Steps, copied_ids: set[int]) -> Any:
    """Return the value at `path`, copying each value along the path that is still shared."""
    for step in path:
        place = step if isinstance(tree, dict) else _find_index(tree, step)
        tree[place] = _copy_once(tree[place], copied_ids)
        tree = tree[place]
    return tree


def _copy_once(value: Any, copied_ids: set[int]) -> Any:
    """Return `value` if its id is in `copied_ids`, else a shallow copy, whose id is added."""
    if id(value) in copied_ids:
        return value
    copied = copy.copy(value)
    copied_ids.add(id(copied))
    return copied


def _find_index(elements: list[Any], name: str) -> int:
    place = bisect_left(elements, name, key=find_sort_key)
    if place == len(elements) or find_sort_key(elements[place]) != name:
        raise KeyError(name)
    return place
