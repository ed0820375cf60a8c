"""Types shared by all clients of an object service: objects, pages and outcomes of writes."""

import json
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any, Protocol

from hemlockswitch.connection.store_order import StoreEra


@dataclass(frozen=True)
class StoredObject:
    """One object of the object service at one version; a watch also returns deleted objects.

    Parameters
    ==========

    status : the status, written separately from the value by the process that acts on the object;
        None if there is none.
    created : the service's version at the object's creation; 0 if it is not reported.
    """

    kind: str
    name: str
    version: int
    value: Any
    deleted: bool = False
    status: Any = None
    created: int = 0


class PageSource(StrEnum):
    """How a page was obtained."""

    LIST = "list"
    WATCH = "watch"
    RELAY = "relay"


@dataclass(frozen=True)
class ObjectPage:
    """Objects returned by a list or a watch, and the service's version at that time.

    Parameters
    ==========

    is_whole : whether the page contains all objects of the kind, as opposed to changes.
    source : how the page was obtained.
    confirmed_ms : a time of this process's clock; a view that has applied the page includes all
        writes before that time. None if no such time can be stated.
    """

    items: tuple[StoredObject, ...]
    version: int
    is_whole: bool = False
    source: PageSource = field(default=PageSource.WATCH, compare=False)
    confirmed_ms: float | None = field(default=None, compare=False)


@dataclass(frozen=True)
class Written:
    """The write took effect."""

    version: int


@dataclass(frozen=True)
class Conflict:
    """The write's condition was not met; `version` is the object's current one, 0 if absent."""

    version: int


@dataclass(frozen=True)
class Unknown:
    """The write was sent and no answer was received; it may have taken effect or may still do so."""

    detail: str


WriteOutcome = Written | Conflict | Unknown


class ConditionalStore(Protocol):
    """An object service with conditional writes; `PlatformClient` describes their guarantees.

    Each call may raise `PlatformError` if the service does not answer.
    """

    def read(self, kind: str, name: str) -> StoredObject | None:
        """Return an object, or None if it does not exist."""

    def create(self, kind: str, name: str, value: Any) -> WriteOutcome:
        """Create an object that must not exist."""

    def update(self, kind: str, name: str, value: Any, version: int) -> WriteOutcome:
        """Replace an object if its version is `version`."""

    def delete(self, kind: str, name: str, version: int) -> WriteOutcome:
        """Delete an object if its version is `version`."""


class ListedStore(ConditionalStore, Protocol):
    """An object service that also offers stale lists at a lower cost, and may come back from a copy."""

    def get_era(self) -> StoreEra:
        """Return the newest era that an answer has stated."""

    def list_stale(self, kind: str) -> ObjectPage:
        """Return the objects of a kind, at most some seconds outdated."""


def encode_value(value: Any) -> bytes:
    """Encode a value as JSON; bytes are taken to be encoded already."""
    if isinstance(value, bytes):
        return value
    return json.dumps(value, separators=(",", ":")).encode()
