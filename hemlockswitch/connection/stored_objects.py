"""Objects of an object service, and what became of a write: the types that every client of one uses."""

import json
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any, Protocol


@dataclass(frozen=True)
class StoredObject:
    """One object of the object service at one version; a watch also shows deleted ones.

    Parameters
    ==========

    status : what was written beside the value, by whom the object is for; None if nothing was.
    created : the service's version at the object's creation; 0 where it is not told.
    """

    kind: str
    name: str
    version: int
    value: Any
    deleted: bool = False
    status: Any = None
    created: int = 0


class PageSource(StrEnum):
    """How a page came here."""

    LIST = "list"
    WATCH = "watch"
    RELAY = "relay"


@dataclass(frozen=True)
class ObjectPage:
    """Objects that a list or a watch answered, and the service's version then.

    Parameters
    ==========

    is_whole : whether these are all objects of the kind, and not changes.
    source : how it came here.
    confirmed_ms : a moment of this process's clock; whoever has taken the page knows all that was written
        before. None if no such moment is known.
    """

    items: tuple[StoredObject, ...]
    version: int
    is_whole: bool = False
    source: PageSource = field(default=PageSource.WATCH, compare=False)
    confirmed_ms: float | None = field(default=None, compare=False)


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


class ConditionalStore(Protocol):
    """An object service whose writes have a condition; `PlatformClient` says what they promise.

    Each call may raise `PlatformError` when the service does not answer.
    """

    def read(self, kind: str, name: str) -> StoredObject | None:
        """Return an object, or None where there is none."""

    def create(self, kind: str, name: str, value: Any) -> WriteOutcome:
        """Write an object that must not exist yet."""

    def update(self, kind: str, name: str, value: Any, version: int) -> WriteOutcome:
        """Write an object whose version must be `version`."""

    def delete(self, kind: str, name: str, version: int) -> WriteOutcome:
        """Delete an object whose version must be `version`."""


class ListedStore(ConditionalStore, Protocol):
    """An object service that also lists, at less cost, what it held some seconds ago."""

    def list_stale(self, kind: str) -> ObjectPage:
        """Return the objects of a kind as they were at most some seconds ago."""


def encode_value(value: Any) -> bytes:
    """Return a value's JSON text; bytes are JSON text already."""
    if isinstance(value, bytes):
        return value
    return json.dumps(value, separators=(",", ":")).encode()
