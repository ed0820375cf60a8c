"""`hemlock-ctl diff` and `apply`: compare a file with the revision in force, and apply it."""

from typing import Any

from cleo.helpers import argument, option

from hemlockswitch.core.clock import MS_PER_SECOND
from hemlockswitch.core.errors import HemlockError
from hemlockswitch.process.revisions.applying import Applier, ApplyResult
from hemlockswitch.process.revisions.store import RevisionStore
from hemlockswitch.process.status.zone_status import STATUS_KIND
from hemlockswitch.process.status.zone_view import ZoneState, ZoneView, view_zones
from hemlockswitch.programs.ctl_files import ExitCode, read_file
from hemlockswitch.programs.ctl_platform import PLATFORM_OPTIONS, PlatformCommand, describe_changes
from hemlockswitch.version.checks import CheckedFile, InvalidFileError
from hemlockswitch.version.differences import compare_trees, describe_change

POLL_INTERVAL_MS = 300
LATEST = "latest"


class DiffCommand(PlatformCommand):
    """Show what a file would change."""

    name = "diff"
    description = "Show what a file would change in the revision in force."
    arguments = [argument("file", "The operator file, JSON.")]
    help = """Prints the number of the revision in force and each change with its path. Pass that
number to apply with --from.

Exit codes: 0 compared, 2 the file has mistakes, 4 the platform does not answer."""

    def run_command(self) -> int:
        """Compare the file with the revision in force and write the changes."""
        checked = read_file(self.argument("file"))
        current = RevisionStore(self.client, self.clock, self.retry_timeout_ms).read_current()
        tree = {} if current.revision is None else current.revision.tree
        changes = tuple(compare_trees(tree, checked.tree))
        answer = {
            "ok": True,
            "in_force": current.number,
            "changes": [describe_change(change) for change in changes],
        }
        lines = [f"revision {current.number} is in force; the file changes:"]
        self.write_answer(answer, lines + describe_changes(changes))
        return ExitCode.DONE


class ApplyCommand(PlatformCommand):
    """Apply a file as a new revision."""

    name = "apply"
    description = "Apply an operator file, completely or not at all."
    arguments = [argument("file", "The operator file, JSON.")]
    options = [
        *PLATFORM_OPTIONS,
        option(
            "from",
            None,
            "Revision that the file is based on, or 'latest'. Required unless none exists yet.",
            flag=False,
        ),
        option("wait", None, "Seconds to wait until it is active in every zone.", flag=False),
    ]
    help = """Validates the file, writes it as a new revision, and moves the pointer to it if the
revision in force is still the one given with --from. Otherwise nothing is changed and the
differences are shown. If the answer to a write is lost, the write is recognised by its apply id.
Applying the file that is already in force writes nothing and succeeds.

With --wait, the command returns when every live daemon of every zone of the file has the revision,
or at the time-out; it then names the zones that do not answer and the age of their last report.

Exit codes: 0 applied (with --wait: and in force everywhere), 1 wrong use, 2 the file has
mistakes, 3 another revision is in force, 4 the platform does not answer and nothing was
changed, 5 unknown whether it took effect (run the same command again), 6 applied, but not in
force in every zone within the time-out."""

    def run_command(self) -> int:
        """Apply the file and, with ``--wait``, wait until it is in force."""
        seen = self._read_base_number()
        wait_ms = self.read_seconds("wait") * MS_PER_SECOND if self.option("wait") else None
        checked = read_file(self.argument("file"))
        applied = Applier(self.client, self.clock, self.retry_timeout_ms).apply(checked, seen)
        answer = self._describe(applied)
        lines = self._list_lines(applied)
        if wait_ms is None:
            self.write_answer(answer, lines)
            return ExitCode.DONE
        if not self.option("json"):
            self.write_answer({}, lines)
        views = self._wait(checked, applied, wait_ms)
        done = all(view.state is ZoneState.IN_FORCE for view in views)
        answer |= {"ok": done, "zones": [describe_view(view) for view in views]}
        self.write_answer(answer, [format_view(view) for view in views])
        return ExitCode.DONE if done else ExitCode.NOT_IN_FORCE

    def _read_base_number(self) -> int | None:
        seen = self.option("from")
        if seen is None:
            return 0
        if seen == LATEST:
            return None
        if not seen.isdigit():
            raise InvalidFileError.from_reason("--from must be a revision number or 'latest'")
        return int(seen)

    def _wait(self, checked: CheckedFile, applied: ApplyResult, wait_ms: float) -> list[ZoneView]:
        deadline_ms = self.clock.now_ms() + wait_ms
        views: list[ZoneView] = []
        while True:
            views = self._view(checked, applied) or views
            if views and all(view.state is ZoneState.IN_FORCE for view in views):
                return views
            if self.clock.now_ms() >= deadline_ms:
                return views or view_zones(checked.file.zones, (), applied.number, 0, 0)
            self.clock.sleep_ms(POLL_INTERVAL_MS)

    def _view(self, checked: CheckedFile, applied: ApplyResult) -> list[ZoneView]:
        try:
            objects = self.client.list(STATUS_KIND).items
        except HemlockError:
            return []
        zones, now_ms = checked.file.zones, self.clock.wall_ms()
        return view_zones(zones, objects, applied.number, applied.version, now_ms)

    def _describe(self, applied: ApplyResult) -> dict[str, Any]:
        return {
            "ok": True,
            "number": applied.number,
            "digest": applied.digest,
            "apply_id": applied.apply_id,
            "written": applied.written,
            "replaced_by": applied.replaced_by,
            "changes": [describe_change(change) for change in applied.changes],
        }

    def _list_lines(self, applied: ApplyResult) -> list[str]:
        if not applied.written:
            return [f"nothing to change: revision {applied.number} holds this file already"]
        lines = [f"applied as revision {applied.number} ({applied.apply_id}); changes:"]
        lines += describe_changes(applied.changes)
        if applied.replaced_by is not None:
            lines.append(f"another operator has replaced it since by {applied.replaced_by}")
        return lines


def describe_view(view: ZoneView) -> dict[str, Any]:
    """Return the view of a zone as JSON fields."""
    return {
        "zone": view.zone,
        "state": view.state.value,
        "age_ms": view.age_ms,
        "revisions": list(view.revisions),
        "behind": list(view.behind),
        "daemons": len(view.daemons),
    }


def format_view(view: ZoneView) -> str:
    """Return the view of a zone as one line of text."""
    if view.age_ms is None:
        return f"{view.zone}: does not answer; it never gave a word"
    age_s = view.age_ms / MS_PER_SECOND
    count = len(view.daemons)
    if view.state is ZoneState.IN_FORCE:
        return f"{view.zone}: in force at {count} of {count} daemons ({age_s:.1f} s ago)"
    low, high = view.revisions
    if view.state is ZoneState.SILENT:
        return f"{view.zone}: does not answer; its last word, {age_s:.1f} s old, was revision {low}"
    behind = ", ".join(view.behind)
    return f"{view.zone}: not yet; {low} to {high} in force, behind: {behind} ({age_s:.1f} s ago)"
