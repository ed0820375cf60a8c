"""Tests of applying a configuration.

They guard against an apply that takes effect in part or twice, or overwrites another operator's
revision, because the answer of a write is lost, a read is stale or the apply stops midway.
"""

import json

import pytest

from hemlockswitch.connection.stored_objects import Conflict, StoredObject, Unknown, Written
from hemlockswitch.core.clock import ManualClock
from hemlockswitch.core.errors import ErrorKind, PlatformError
from hemlockswitch.process.revisions.applying import (
    RETAINED_REVISIONS,
    Applier,
    RevisionConflictError,
    UnknownOutcomeError,
)
from hemlockswitch.version.checks import parse_file

LATEST = None


class FakeObjects:
    """An in-memory object service; `plan` lists the outcomes of the writes of the pointer."""

    def __init__(self):
        self.objects = {}
        self.version = 0
        self.plan = []
        self.deleted = []
        self.old_reads = 0
        self.before_pointer_write = lambda: None

    def read(self, kind, name):
        history = self.objects.get((kind, name), [])
        if self.old_reads and kind == "pointers":
            self.old_reads -= 1
            history = history[:-1]
        return history[-1] if history else None

    def create(self, kind, name, value):
        return self._write(kind, name, value, 0)

    def update(self, kind, name, value, version):
        return self._write(kind, name, value, version)

    def delete(self, kind, name, version):
        self.deleted.append(int(name))
        return Written(version + 1)

    def _write(self, kind, name, value, expected):
        fate = "answer"
        if kind == "pointers":
            hook, self.before_pointer_write = self.before_pointer_write, lambda: None
            hook()
            fate = self.plan.pop(0) if self.plan else "answer"
        if fate == "down":
            raise PlatformError(ErrorKind.PLATFORM_UNAVAILABLE, "down")
        if fate == "lost before":
            return Unknown("no answer")
        outcome = self._store(kind, name, value, expected)
        return Unknown("no answer") if fate == "lost after" else outcome

    def _store(self, kind, name, value, expected):
        history = self.objects.setdefault((kind, name), [])
        current = history[-1].version if history else 0
        if current != expected:
            return Conflict(current)
        self.version += 1
        history.append(StoredObject(kind, name, self.version, json.loads(json.dumps(value))))
        return Written(self.version)

    @property
    def in_force(self):
        return self.objects["pointers", "current"][-1].value["number"]


def make_checked(copies):
    model = {"name": "m", "licensed_copies": copies}
    return parse_file(json.dumps({"zones": ["a"], "models": [model]}))


def apply(objects, copies, seen=LATEST):
    return Applier(objects, ManualClock(), 5_000).apply(make_checked(copies), seen)


@pytest.fixture
def objects():
    made = FakeObjects()
    apply(made, 1, seen=0)
    return made


def test_revisions_follow_one_another(objects):
    applied = apply(objects, 2, seen=1)
    assert (applied.number, objects.in_force) == (2, 2)
    assert [change.path for change in applied.changes] == [("models", "m", "licensed_copies")]


@pytest.mark.parametrize(
    "plan",
    [["lost after"], ["lost before"], ["lost after", "lost before"], ["down", "lost after"]],
)
def test_a_lost_answer_is_recognised(objects, plan):
    objects.plan = plan
    assert apply(objects, 2).number == 2
    assert objects.in_force == 2
    assert len(objects.objects["pointers", "current"]) == 2


def test_a_lost_answer_is_recognised_under_a_later_revision(objects):
    objects.plan = ["lost after"]
    first = Applier(objects, ManualClock(), 5_000)
    update, calls = objects.update, []

    def update_and_race(*arguments):
        outcome = update(*arguments)
        if not calls:
            calls.append(arguments)
            apply(objects, 3)
        return outcome

    objects.update = update_and_race
    applied = first.apply(make_checked(2), 1)
    assert (applied.number, applied.replaced_by) == (2, 3)


def test_the_loser_of_a_race_gets_the_difference(objects):
    objects.before_pointer_write = lambda: apply(objects, 5)
    with pytest.raises(RevisionConflictError) as caught:
        apply(objects, 2, seen=1)
    error = caught.value
    assert (error.seen, error.found, objects.in_force) == (1, 3, 3)
    assert [change.value for change in error.their_changes] == [5]
    assert [change.value for change in error.our_changes] == [2]


def test_a_revision_that_was_not_seen_is_a_conflict(objects):
    apply(objects, 2, seen=1)
    with pytest.raises(RevisionConflictError):
        apply(objects, 3, seen=1)
    assert objects.in_force == 2


def test_an_apply_that_stopped_between_its_writes_is_ignored(objects):
    def die():
        raise KeyboardInterrupt

    objects.before_pointer_write = die
    with pytest.raises(KeyboardInterrupt):
        apply(objects, 2)
    assert objects.in_force == 1
    assert apply(objects, 3).number == 3
    assert objects.objects["revisions", "2"][-1].value["file"]["models"][0]["licensed_copies"] == 2


def test_a_platform_that_stays_down_changes_nothing(objects):
    objects.plan = ["down"] * 100
    with pytest.raises(PlatformError) as caught:
        apply(objects, 2)
    assert caught.value.kind is ErrorKind.PLATFORM_UNAVAILABLE
    assert objects.in_force == 1


def test_an_unknown_outcome_is_reported(objects):
    objects.plan = ["lost before"] * 100
    with pytest.raises(UnknownOutcomeError):
        apply(objects, 2)


def test_the_file_in_force_is_not_written_again(objects):
    assert not apply(objects, 1, seen=0).written
    assert objects.in_force == 1


def test_a_stale_read_is_not_taken_for_the_revision_in_force(objects):
    apply(objects, 2)
    objects.old_reads = 1
    with pytest.raises(RevisionConflictError):
        apply(objects, 1, seen=1)
    objects.old_reads = 1
    with pytest.raises(RevisionConflictError):
        apply(objects, 4, seen=1)
    assert objects.in_force == 2


def test_old_revisions_are_deleted_one_by_one(objects):
    for copies in range(2, RETAINED_REVISIONS + 4):
        apply(objects, copies)
    assert objects.deleted == [1, 2, 3]
