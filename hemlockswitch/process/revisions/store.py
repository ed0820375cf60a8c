"""Reads the revisions and the pointer that the platform's object service holds."""

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
class Current:
    """What the platform says is in force.

    Parameters
    ==========

    version : the pointer's version in the service; 0 when there is none.
    revision : the revision it names; None when there is none.
    """

    version: int
    revision: Revision | None

    @property
    def number(self) -> int:
        """The revision's number; 0 when there is none."""
        return NO_REVISION if self.revision is None else self.revision.number


class RevisionStore:
    """Reads revisions and the pointer of one object service.

    Parameters
    ==========

    objects : the platform's object service.
    clock : the time.
    patience_ms : how long one operation tries before it gives up.
    """

    def __init__(
        self, objects: ConditionalStore, clock: Clock, patience_ms: float = 10_000
    ) -> None:
        self._objects = objects
        self._clock = clock
        self._patience_ms = patience_ms

    def read_revision(self, number: int) -> Revision | None:
        """Return a revision object, or None where there is none.

        Raises
        ======

        PlatformError : the service does not answer.
        ConfigurationError : the object is damaged.
        """
        stored = self._read_object(REVISION_KIND, str(number))
        return None if stored is None else Revision.from_value(stored.value)

    def read_current(self, at_least: int = NO_VERSION) -> Current:
        """Return what the pointer says, waiting out reads older than version `at_least`.

        Raises
        ======

        PlatformError : the service does not answer, or answers only with old reads.
        """
        deadline_ms = self._clock.now_ms() + self._patience_ms
        while True:
            current = self._read_pointer()
            if current is not None and current.version >= at_least:
                return current
            if self._clock.now_ms() >= deadline_ms:
                raise PlatformError(
                    ErrorKind.PLATFORM_UNAVAILABLE, "the platform serves only old reads"
                )
            self._clock.sleep_ms(RETRY_PAUSE_MS)

    def _read_pointer(self) -> Current | None:
        stored = self._read_object(POINTER_KIND, CURRENT_POINTER)
        if stored is None:
            return Current(NO_VERSION, None)
        pointer = read_pointer(stored.value)
        revision = self.read_revision(pointer.number)
        if revision is None or revision.digest != pointer.digest:
            return None
        return Current(stored.version, revision)

    def _read_object(self, kind: str, name: str) -> StoredObject | None:
        deadline_ms = self._clock.now_ms() + self._patience_ms
        while True:
            try:
                return self._objects.read(kind, name)
            except PlatformError:
                if self._clock.now_ms() >= deadline_ms:
                    raise
            self._clock.sleep_ms(RETRY_PAUSE_MS)


def read_pointer(value: Any) -> StoredPointer:
    """Return the pointer in a stored value.

    Raises
    ======

    ConfigurationError : it is not a pointer.
    """
    try:
        return StoredPointer.model_validate(value)
    except ValidationError as error:
        raise ConfigurationError(
            ErrorKind.INVALID_CONFIGURATION, "the pointer in the platform is not one"
        ) from error
