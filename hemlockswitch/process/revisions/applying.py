"""Applies a configuration atomically: writes its revision, then moves the pointer to it.

Explanation
===========

The revision object is created if absent and never changed. The pointer moves by a conditional
update from the version that named the revision which the operator saw. So of two concurrent
operators one succeeds and the other gets a conflict. Each write may be repeated after a lost
answer: if the first attempt took effect, the second is refused, and the apply id shows that the
refusal was caused by this apply itself.

An apply that stops between its two writes leaves a revision object that no pointer names. It
never comes in force: only its own apply would move the pointer to it, from a version that any
later apply has replaced. The next apply takes the next free number; no cleanup is needed.
"""

import contextlib
from collections.abc import Callable
from dataclasses import dataclass, replace

from hemlockswitch.connection.stored_objects import (
    ConditionalStore,
    Conflict,
    Unknown,
    WriteOutcome,
    Written,
)
from hemlockswitch.core.clock import Clock
from hemlockswitch.core.errors import ConfigurationError, ErrorKind, PlatformError
from hemlockswitch.core.identifiers import make_identifier
from hemlockswitch.process.revisions.store import CurrentRevision, RevisionStore
from hemlockswitch.version.checks import CheckedFile
from hemlockswitch.version.differences import Change, compare_trees
from hemlockswitch.version.documents import digest_tree
from hemlockswitch.version.revisions import (
    CURRENT_POINTER,
    NO_REVISION,
    POINTER_KIND,
    REVISION_KIND,
    Revision,
)

RETRY_PAUSE_MS = 200
RETAINED_REVISIONS = 200
"""Each apply deletes the revision object that is this many revisions older."""
FINAL_REFUSALS = frozenset({ErrorKind.BODY_TOO_LARGE})
"""Errors for which a retry is pointless."""


@dataclass(frozen=True)
class ApplyResult:
    """The result of an apply that took effect.

    Parameters
    ==========

    number, digest, apply_id : of the revision.
    changes : the changes from the revision that the operator saw.
    written : False if the file was already in force and nothing was written.
    replaced_by : the number of a later revision that is already in force, if any.
    version : a version of the pointer that names this revision or a later one.
    """

    number: int
    digest: str
    apply_id: str
    changes: tuple[Change, ...]
    written: bool = True
    replaced_by: int | None = None
    version: int = 0


class RevisionConflictError(ConfigurationError):
    """The revision in force is another operator's, not the one that this operator saw.

    Parameters
    ==========

    seen : the number of the revision that the operator saw.
    found : the number of the revision in force.
    their_changes : from the revision that the operator saw, if it still exists, to the one in
        force.
    our_changes : from the revision in force to the operator's file.
    """

    def __init__(
        self,
        seen: int,
        found: int,
        their_changes: tuple[Change, ...],
        our_changes: tuple[Change, ...],
    ) -> None:
        detail = f"revision {found} is in force instead of revision {seen}; nothing was changed"
        super().__init__(ErrorKind.REVISION_CONFLICT, detail)
        self.seen = seen
        self.found = found
        self.their_changes = their_changes
        self.our_changes = our_changes


class UnknownOutcomeError(PlatformError):
    """The platform did not confirm in time whether the pointer moved."""

    def __init__(self, number: int, apply_id: str) -> None:
        detail = f"no answer from the platform whether revision {number} ({apply_id}) took effect"
        super().__init__(ErrorKind.OUTCOME_UNKNOWN, detail)
        self.number = number
        self.apply_id = apply_id


class Applier:
    """Puts a checked file in force.

    Parameters
    ==========

    objects : the platform's object service.
    clock : provides the time.
    timeout_ms : time limit for all attempts.
    """

    def __init__(self, objects: ConditionalStore, clock: Clock, timeout_ms: float = 10_000) -> None:
        self._objects = objects
        self._store = RevisionStore(objects, clock, timeout_ms)
        self._clock = clock
        self._deadline_ms = clock.now_ms() + timeout_ms

    def apply(self, checked: CheckedFile, seen: int | None) -> ApplyResult:
        """Put a file in force as a new revision.

        Parameters
        ==========

        checked : the file.
        seen : the number of the revision that the operator saw; None accepts any revision.

        Raises
        ======

        RevisionConflictError : another revision is in force.
        UnknownOutcomeError : the apply may or may not have taken effect.
        PlatformError : the service does not answer; nothing was changed.
        """
        applied = self._apply_once(checked, seen)
        if applied.written:
            self._delete_revision(applied.number - RETAINED_REVISIONS)
        return applied

    def _apply_once(self, checked: CheckedFile, seen: int | None) -> ApplyResult:
        base = self._store.read_current()
        if base.revision is not None and base.revision.digest == digest_tree(checked.tree):
            return self._confirm_unchanged(checked, base, base.revision, seen)
        if seen is not None and base.number != seen:
            raise self._make_conflict(checked, seen, base)
        return self._write(checked, base)

    def _delete_revision(self, number: int) -> None:
        """Delete one old revision, which no pointer can name any more.

        Failures are ignored, since the file is already in force.
        """
        if number <= NO_REVISION:
            return
        with contextlib.suppress(PlatformError):
            stored = self._objects.read(REVISION_KIND, str(number))
            if stored is not None:
                self._objects.delete(REVISION_KIND, str(number), stored.version)

    def _confirm_unchanged(
        self, checked: CheckedFile, base: CurrentRevision, revision: Revision, seen: int | None
    ) -> ApplyResult:
        """Rewrite the pointer with its current value, to detect that `base` is a stale read."""
        outcome = self._write_until_confirmed(
            lambda: self._objects.update(
                POINTER_KIND, CURRENT_POINTER, revision.to_pointer(), base.version
            )
        )
        found = base
        if isinstance(outcome, Conflict):
            found = self._store.read_current(outcome.version)
        if found.number == base.number:
            number, digest, apply_id = revision.number, revision.digest, revision.apply_id
            return ApplyResult(number, digest, apply_id, (), written=False, version=base.version)
        raise self._make_conflict(checked, base.number if seen is None else seen, found)

    def _write(self, checked: CheckedFile, base: CurrentRevision) -> ApplyResult:
        proposal = self._write_revision(
            Revision.from_checked(
                checked,
                base.number + 1,
                make_identifier("apply"),
                base.number,
                self._clock.wall_ms(),
            )
        )
        outcome = self._write_until_confirmed(lambda: self._move_pointer(proposal, base), proposal)
        if isinstance(outcome, Written):
            return self._report(proposal, base, outcome.version)
        return self._resolve_conflict(checked, proposal, base, outcome.version)

    def _resolve_conflict(
        self, checked: CheckedFile, proposal: Revision, base: CurrentRevision, version: int
    ) -> ApplyResult:
        """Determine whether a conflict was caused by this apply's own write or by another apply."""
        try:
            found = self._store.read_current(version)
            was_in_force = self._was_in_force(proposal, found)
        except PlatformError as error:
            raise UnknownOutcomeError(proposal.number, proposal.apply_id) from error
        if not was_in_force:
            raise self._make_conflict(checked, base.number, found)
        applied = self._report(proposal, base, found.version)
        return (
            applied
            if found.number == proposal.number
            else replace(applied, replaced_by=found.number)
        )

    def _write_revision(self, proposal: Revision) -> Revision:
        """Create the revision object with the first free number."""
        while True:
            number, value = proposal.number, proposal.to_value()
            outcome = self._write_until_confirmed(
                lambda: self._objects.create(REVISION_KIND, str(number), value)  # noqa: B023
            )
            if isinstance(outcome, Written) or self._is_own(proposal):
                return proposal
            proposal = proposal.renumber(number + 1)

    def _is_own(self, proposal: Revision) -> bool:
        """Return whether the existing object with the proposal's number is this apply's own."""
        while True:
            found = self._store.read_revision(proposal.number)
            if found is not None:
                return found.apply_id == proposal.apply_id
            self._pause()

    def _move_pointer(self, proposal: Revision, base: CurrentRevision) -> WriteOutcome:
        value = proposal.to_pointer()
        if base.revision is None:
            return self._objects.create(POINTER_KIND, CURRENT_POINTER, value)
        return self._objects.update(POINTER_KIND, CURRENT_POINTER, value, base.version)

    def _was_in_force(self, proposal: Revision, found: CurrentRevision) -> bool:
        """Return whether the proposal is the revision in force or an ancestor of it."""
        revision = found.revision
        while revision is not None and revision.number > proposal.number:
            revision = self._store.read_revision(revision.previous) if revision.previous else None
        return revision is not None and revision.apply_id == proposal.apply_id

    def _write_until_confirmed(
        self, write: Callable[[], WriteOutcome], proposal: Revision | None = None
    ) -> Written | Conflict:
        """Send a conditional write until the service confirms its outcome.

        Repeating the write is safe: if the first attempt took effect, the second is refused.
        """
        may_have_run = False
        while True:
            error = PlatformError(ErrorKind.PLATFORM_UNAVAILABLE, "the platform does not answer")
            try:
                outcome = write()
            except PlatformError as refusal:
                error = refusal
            else:
                if not isinstance(outcome, Unknown):
                    return outcome
                may_have_run = True
            if self._clock.now_ms() >= self._deadline_ms or error.kind in FINAL_REFUSALS:
                if proposal is not None and may_have_run:
                    raise UnknownOutcomeError(proposal.number, proposal.apply_id)
                raise error
            self._clock.sleep_ms(RETRY_PAUSE_MS)

    def _pause(self) -> None:
        if self._clock.now_ms() >= self._deadline_ms:
            raise PlatformError(
                ErrorKind.PLATFORM_UNAVAILABLE, "the platform serves stale reads of revisions"
            )
        self._clock.sleep_ms(RETRY_PAUSE_MS)

    def _report(self, proposal: Revision, base: CurrentRevision, version: int) -> ApplyResult:
        old_tree = {} if base.revision is None else base.revision.tree
        changes = tuple(compare_trees(old_tree, proposal.tree))
        number, digest, apply_id = proposal.number, proposal.digest, proposal.apply_id
        return ApplyResult(number, digest, apply_id, changes, version=version)

    def _make_conflict(
        self, checked: CheckedFile, seen: int, found: CurrentRevision
    ) -> RevisionConflictError:
        known = self._store.read_revision(seen) if seen else None
        found_tree = {} if found.revision is None else found.revision.tree
        theirs = compare_trees(known.tree, found_tree) if known is not None else []
        ours = compare_trees(found_tree, checked.tree)
        return RevisionConflictError(seen, found.number, tuple(theirs), tuple(ours))
