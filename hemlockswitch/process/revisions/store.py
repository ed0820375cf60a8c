"""Reads the revisions and their pointer from the platform's object service."""

from dataclasses import dataclass
from typing import Any

from pydantic import ValidationError

from hemlockswitch.connection.stored_objects import ConditionalStore, StoredObject
from hemlockswitch.core.clock import Clock
from hemlockswitch.core.errors import ConfigurationError, ErrorKind, PlatformError
from hemlockswitch.version.revisions import (
    CURRENT_POINTER,
    NO_REVISION,
    POINTER_KIND,
    REVISION_KIND,
    Revision,
    StoredPointer,
)

RETRY_PAUSE_MS = 200
NO_VERSION = 0


@dataclass(frozen=True)
class CurrentRevision:
    """The revision that the platform's pointer names.

    Parameters
    ==========

    version : the pointer's version in the service; 0 if there is no pointer.
    revision : the revision that the pointer names; None if there is no pointer.
    """

    version: int
    revision: Revision | None

    @property
    def number(self) -> int:
        """The revision's number; 0 if there is none."""
        return NO_REVISION if self.revision is None else self.revision.number


class RevisionStore:
    """Reads revisions and their pointer from an object service.

    Parameters
    ==========

    objects : the platform's object service.
    clock : provides the time.
    timeout_ms : time limit for the attempts of one operation.
    """

    def __init__(self, objects: ConditionalStore, clock: Clock, timeout_ms: float = 10_000) -> None:
        self._objects = objects
        self._clock = clock
        self._timeout_ms = timeout_ms

    def read_revision(self, number: int) -> Revision | None:
        """Return a revision, or None if it does not exist.

        Raises
        ======

        PlatformError : the service does not answer.
        ConfigurationError : the stored object is corrupt.
        """
        stored = self._read_object(REVISION_KIND, str(number))
        return None if stored is None else Revision.from_value(stored.value)

    def read_current(self, min_version: int = NO_VERSION) -> CurrentRevision:
        """Return the revision that the pointer names, retrying reads older than `min_version`.

        Raises
        ======

        PlatformError : the service does not answer, or serves only stale reads.
        """
        deadline_ms = self._clock.now_ms() + self._timeout_ms
        while True:
            current = self._read_pointer()
            if current is not None and current.version >= min_version:
                return current
            if self._clock.now_ms() >= deadline_ms:
                raise PlatformError(
                    ErrorKind.PLATFORM_UNAVAILABLE,
                    "the platform serves only stale reads of the revision pointer",
                )
            self._clock.sleep_ms(RETRY_PAUSE_MS)

    def _read_pointer(self) -> CurrentRevision | None:
        stored = self._read_object(POINTER_KIND, CURRENT_POINTER)
        if stored is None:
            return CurrentRevision(NO_VERSION, None)
        pointer = read_pointer(stored.value)
        revision = self.read_revision(pointer.number)
        if revision is None or revision.digest != pointer.digest:
            return None
        return CurrentRevision(stored.version, revision)

    def _read_object(self, kind: str, name: str) -> StoredObject | None:
        deadline_ms = self._clock.now_ms() + self._timeout_ms
        while True:
            try:
                return self._objects.read(kind, name)
            except PlatformError:
                if self._clock.now_ms() >= deadline_ms:
                    raise
            self._clock.sleep_ms(RETRY_PAUSE_MS)


def read_pointer(value: Any) -> StoredPointer:
    """Decode the pointer in a stored value.

    Raises
    ======

    ConfigurationError : the value is not a pointer.
    """
    try:
        return StoredPointer.model_validate(value)
    except ValidationError as error:
        raise ConfigurationError(
            ErrorKind.INVALID_CONFIGURATION,
            "the platform's pointer object does not contain a revision pointer",
        ) from error
