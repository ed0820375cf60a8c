"""Objects of an object service, and what became of a write: the types that every client of one uses."""

import json
from dataclasses import dataclass
from typing import Any


@dataclass(frozen=True)
class StoredObject:
    """One object of the object service at one version; a watch also shows deleted ones."""

    kind: str
    name: str
    version: int
    value: Any
    deleted: bool = False


@dataclass(frozen=True)
class ObjectPage:
    """Objects that a list or a watch answered, and the service's version then.

    Parameters
    ==========

    is_whole : whether these are all objects of the kind, and not changes.
    """

    items: tuple[StoredObject, ...]
    version: int
    is_whole: bool = False


@dataclass(frozen=True)
class Written:
    """A write took effect."""

    version: int


@dataclass(frozen=True)
class Conflict:
    """A write's condition did not hold; `version` is the object's current one, 0 if absent."""

    version: int


@dataclass(frozen=True)
class Unknown:
    """A write was sent and its answer did not come: it may have taken effect, or still may."""

    detail: str


WriteOutcome = Written | Conflict | Unknown


def encode_value(value: Any) -> bytes:
    """Return a value's JSON text; bytes are JSON text already."""
    if isinstance(value, bytes):
        return value
    return json.dumps(value, separators=(",", ":")).encode()
