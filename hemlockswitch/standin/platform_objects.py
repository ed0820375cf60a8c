"""Object service of the stand-in: versions, conditional writes, watches and stale reads."""

import time
from collections import deque
from dataclasses import dataclass
from typing import Protocol

from gevent.event import Event as GeventEvent

from hemlockswitch.core.clock import MS_PER_SECOND

MAX_VALUE_BYTES = 1_048_576
HISTORY_LENGTH = 16


@dataclass(frozen=True)
class StoredValue:
    """A version of an object; `value` is JSON text, or None for a deleted object."""

    kind: str
    name: str
    version: int
    value: bytes | None

    def render(self) -> bytes:
        """Return the object as JSON text."""
        value = b"null" if self.value is None else self.value
        head = f'{{"kind": "{self.kind}", "name": "{self.name}", "version": {self.version}, '
        deleted = b'"deleted": true, ' if self.value is None else b""
        return head.encode() + deleted + b'"value": ' + value + b"}"


@dataclass(frozen=True)
class WriteResult:
    """Result of a conditional write: the HTTP status and the object's version after it."""

    status: int
    version: int


class ChangeSignal:
    """Wakes all waiting greenlets at each change."""

    def __init__(self) -> None:
        self._event = GeventEvent()

    def announce(self) -> None:
        """Wake all greenlets that are waiting now."""
        event, self._event = self._event, GeventEvent()
        event.set()

    def wait(self, timeout_ms: float) -> None:
        """Block until the next change, or for `timeout_ms` at most."""
        self._event.wait(max(timeout_ms, 0) / MS_PER_SECOND)


class Versioned(Protocol):
    """An object that signals its changes."""

    changed: ChangeSignal


class ObjectStore:
    """Objects by kind and name; all versions come from a single increasing counter.

    Examples
    ========

    >>> store = ObjectStore()
    >>> store.write("claims", "p1", b"1", expected=0)
    WriteResult(status=200, version=1)
    >>> store.write("claims", "p1", b"2", expected=0)
    WriteResult(status=412, version=1)
    >>> store.write("claims", "p1", b"2", expected=1)
    WriteResult(status=200, version=2)
    >>> store.find("claims", "p1", versions_back=1).value
    b'1'
    """

    def __init__(self) -> None:
        self.version = 0
        self.changed = ChangeSignal()
        self._history: dict[tuple[str, str], deque[StoredValue]] = {}

    def find(self, kind: str, name: str, versions_back: int = 0) -> StoredValue | None:
        """Return the latest or, with `versions_back`, an older version of an object.

        Only the last `HISTORY_LENGTH` versions are stored, and the oldest of them is used beyond
        that. Returns None if the object does not exist or was deleted in that version.
        """
        history = self._history.get((kind, name))
        if not history:
            return None
        found = history[max(len(history) - 1 - versions_back, 0)]
        return None if found.value is None else found

    def write(self, kind: str, name: str, value: bytes | None, expected: int | None) -> WriteResult:
        """Write a value (None deletes) if the current version is `expected`.

        For `expected`, 0 requires that the object does not exist, and None permits any version.
        """
        current = self.find(kind, name)
        current_version = 0 if current is None else current.version
        if expected is not None and expected != current_version:
            return WriteResult(412, current_version)
        if value is None and current is None:
            return WriteResult(404, 0)
        self.version += 1
        history = self._history.setdefault((kind, name), deque(maxlen=HISTORY_LENGTH))
        history.append(StoredValue(kind, name, self.version, value))
        self.changed.announce()
        return WriteResult(200, self.version)

    def list_objects(self, kind: str, prefix: str, versions_back: int = 0) -> list[StoredValue]:
        """Return the objects of a kind whose names start with `prefix`."""
        names = [name for (of, name) in self._history if of == kind and name.startswith(prefix)]
        found = [self.find(kind, name, versions_back) for name in sorted(names)]
        return [value for value in found if value is not None]

    def list_changes(self, kind: str, prefix: str, since: int) -> list[StoredValue]:
        """Return the objects changed after version `since`, including deleted ones, oldest first.

        Of each object only the latest version is returned.
        """
        newest = [
            history[-1]
            for (of, name), history in self._history.items()
            if of == kind and name.startswith(prefix) and history[-1].version > since
        ]
        return sorted(newest, key=lambda value: value.version)

    def watch(self, kind: str, prefix: str, since: int, wait_ms: float) -> list[StoredValue]:
        """Return the changes after version `since`, waiting up to `wait_ms` for the first."""
        deadline = time.monotonic() + wait_ms / MS_PER_SECOND
        while True:
            changes = self.list_changes(kind, prefix, since)
            left_ms = (deadline - time.monotonic()) * MS_PER_SECOND
            if changes or left_ms <= 0:
                return changes
            self.changed.wait(left_ms)
