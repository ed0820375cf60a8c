"""Revisions: numbered, complete configurations, and their format in the object service."""

from dataclasses import dataclass, replace
from typing import Any

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from hemlockswitch.core.errors import ConfigurationError, ErrorKind
from hemlockswitch.version.checks import CheckedFile
from hemlockswitch.version.documents import digest_tree
from hemlockswitch.version.models import KeyHash, OperatorFile

REVISION_KIND = "revisions"
POINTER_KIND = "pointers"
CURRENT_POINTER = "current"
NO_REVISION = 0
"""The number that represents the absence of a configuration."""


class _Stored(BaseModel):
    """Base of stored values; unknown fields are ignored, since a newer program may write them."""

    model_config = ConfigDict(extra="ignore", frozen=True)


class StoredRevision(_Stored):
    """The value of ``revisions/<number>``, which is written once and never changed."""

    number: int = Field(gt=NO_REVISION)
    digest: KeyHash
    apply_id: str
    previous: int = Field(ge=NO_REVISION)
    applied_wall_ms: int = Field(ge=0)
    file: dict[str, Any]


class StoredPointer(_Stored):
    """The value of ``pointers/current``: the revision that all daemons should apply."""

    number: int = Field(gt=NO_REVISION)
    digest: KeyHash
    apply_id: str


@dataclass(frozen=True)
class Revision:
    """A complete configuration as it was applied.

    Parameters
    ==========

    number : increases with each apply; numbers may be skipped but are never reused.
    digest : digest of the canonical form of `tree`.
    apply_id : random identifier of the apply that wrote it, which lets the apply recognise its own
        write.
    previous : number of the revision that this one replaces; 0 for the first.
    applied_wall_ms : wall-clock time at which the operator's command created it.
    tree : the file's JSON tree, which is stored, sent and compared.
    file : the file's model.
    """

    number: int
    digest: str
    apply_id: str
    previous: int
    applied_wall_ms: int
    tree: dict[str, Any]
    file: OperatorFile

    @classmethod
    def from_checked(
        cls, checked: CheckedFile, number: int, apply_id: str, previous: int, applied_wall_ms: int
    ) -> "Revision":
        """Create the revision that an apply proposes."""
        digest = digest_tree(checked.tree)
        return cls(number, digest, apply_id, previous, applied_wall_ms, checked.tree, checked.file)

    @classmethod
    def from_value(cls, value: Any) -> "Revision":
        """Decode a stored or received revision.

        Raises
        ======

        ConfigurationError : the value is not a revision, or its file does not match its digest.
        """
        try:
            stored = StoredRevision.model_validate(value)
            file = OperatorFile.model_validate(stored.file, strict=False)
        except ValidationError as error:
            raise _make_error(f"not a stored revision: {error.error_count()} mistakes") from error
        if digest_tree(stored.file) != stored.digest:
            raise _make_error(f"revision {stored.number} does not match its digest")
        return cls(
            stored.number,
            stored.digest,
            stored.apply_id,
            stored.previous,
            stored.applied_wall_ms,
            stored.file,
            file,
        )

    def to_value(self) -> dict[str, Any]:
        """Return the value in the format of `StoredRevision`."""
        return self.to_head() | {"file": self.tree}

    def to_head(self) -> dict[str, Any]:
        """Return the value without the file."""
        return {
            "number": self.number,
            "digest": self.digest,
            "apply_id": self.apply_id,
            "previous": self.previous,
            "applied_wall_ms": self.applied_wall_ms,
        }

    def to_pointer(self) -> dict[str, Any]:
        """Return the pointer value that makes this revision the active one."""
        return {"number": self.number, "digest": self.digest, "apply_id": self.apply_id}

    def renumber(self, number: int) -> "Revision":
        """Return a copy with another number."""
        return replace(self, number=number)


def _make_error(detail: str) -> ConfigurationError:
    return ConfigurationError(ErrorKind.INVALID_CONFIGURATION, detail)
