"""`hemlock-ctl diff` and `apply`: compare a file with what is in force, and put it in force."""

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

POLL_MS = 300
LATEST = "latest"


class DiffCommand(PlatformCommand):
    """Show what a file would change."""

    name = "diff"
    description = "Show what a file would change in the revision in force."
    arguments = [argument("file", "The operator file, JSON.")]
    help = """Prints the revision in force and each change by its path. Apply with --from and the
number that this printed.

Exit codes: 0 compared, 2 the file has mistakes, 4 the platform does not answer."""

    def run_command(self) -> int:
        """Compare and write the changes."""
        checked = read_file(self.argument("file"))
        current = RevisionStore(self.client, self.clock, self.patience_ms).read_current()
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
    """Put a file in force as a whole."""

    name = "apply"
    description = "Put an operator file in force, as a whole or not at all."
    arguments = [argument("file", "The operator file, JSON.")]
    options = [
        *PLATFORM_OPTIONS,
        option(
            "from",
            None,
            "Number of the revision that you saw, or 'latest'. Needed once there is one.",
            flag=False,
        ),
        option("wait", None, "Seconds to wait until it is in force in every zone.", flag=False),
    ]
    help = """Checks the file, writes it as one new revision, and moves the pointer if the revision
in force is still the one that you saw (--from). Otherwise nothing changes and the difference
is shown. A write whose answer is lost is recognised by the apply's own id. Applying what is
in force already writes nothing and succeeds.

With --wait it returns as soon as every live daemon of every zone of the file has the revision,
or when the time is over; it names the zones that do not answer and how old their last word is.

Exit codes: 0 applied (with --wait: and in force everywhere), 1 wrong use, 2 the file has
mistakes, 3 another revision is in force, 4 the platform does not answer and nothing was
changed, 5 it is not known whether it took effect (run the same command again), 6 applied, but
not yet in force in every zone when the time was over."""

    def run_command(self) -> int:
        """Apply and, if asked, wait."""
        seen = self._read_seen()
        wait_ms = self.read_seconds("wait") * MS_PER_SECOND if self.option("wait") else None
        checked = read_file(self.argument("file"))
        applied = Applier(self.client, self.clock, self.patience_ms).apply(checked, seen)
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

    def _read_seen(self) -> int | None:
        seen = self.option("from")
        if seen is None:
            return 0
        if seen == LATEST:
            return None
        if not seen.isdigit():
            raise InvalidFileError.from_reason("--from is neither a number nor 'latest'")
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
            self.clock.sleep_ms(POLL_MS)

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
    """Return a zone's view for a program."""
    return {
        "zone": view.zone,
        "state": view.state.value,
        "age_ms": view.age_ms,
        "revisions": list(view.revisions),
        "behind": list(view.behind),
        "daemons": len(view.daemons),
    }


def format_view(view: ZoneView) -> str:
    """Return a zone's view for people."""
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
