"""`hemlock-ctl status` and `history`: the state of the system, and earlier revisions."""

from datetime import UTC, datetime
from typing import Any

from cleo.helpers import option

from hemlockswitch.connection.platform_models import ListedVm
from hemlockswitch.core.clock import MS_PER_SECOND
from hemlockswitch.core.errors import HemlockError
from hemlockswitch.process.revisions.store import CurrentRevision, RevisionStore
from hemlockswitch.process.status.fleet_view import count_copies, describe_copies, format_copies
from hemlockswitch.process.status.zone_status import STATUS_KIND
from hemlockswitch.process.status.zone_view import StoredDaemon, ZoneView, sum_refusals, view_zones
from hemlockswitch.programs.ctl_apply import describe_view, format_view
from hemlockswitch.programs.ctl_files import ExitCode
from hemlockswitch.programs.ctl_platform import PLATFORM_OPTIONS, PlatformCommand
from hemlockswitch.version.differences import compare_trees, describe_change
from hemlockswitch.version.revisions import NO_REVISION, Revision

MAX_NUMBERS_AHEAD = 3
"""How many numbers above the pointer `history` searches for revisions that were never in force."""


class StatusCommand(PlatformCommand):
    """Show zones, daemons, backend servers, copies and limits."""

    name = "status"
    description = "Show zones, daemons, revisions in force, backend servers and copies."
    options = [*PLATFORM_OPTIONS, option("daemons", None, "Show every daemon, not only zones.")]
    help = """Shows the revision that the pointer names, the last report of each zone and its age, the
backend servers of the VM list (which lags), and the copies of each model and service compared with
the licence, with the reason that limits them.

Exit codes: 0 shown, 4 the platform does not answer."""

    def run_command(self) -> int:
        """Query the platform and write the result."""
        current = RevisionStore(self.client, self.clock, self.retry_timeout_ms).read_current()
        vms = self._list_vms()
        views = self._view_zones(current)
        answer = self._describe(current, views, vms)
        self.write_answer(answer, self._list_lines(current, views, vms))
        return ExitCode.DONE

    def _list_vms(self) -> tuple[ListedVm, ...] | None:
        """Return the VM list, or None if the cloud API does not answer.

        The cloud API may be down while the object service answers.
        """
        try:
            return self.client.list_vms().vms
        except HemlockError:
            return None

    def _view_zones(self, current: CurrentRevision) -> list[ZoneView]:
        if current.revision is None:
            return []
        objects = self.client.list(STATUS_KIND).items
        zones = current.revision.file.zones
        now_ms = self.clock.wall_ms()
        return view_zones(zones, objects, current.number, current.version, now_ms)

    def _describe(
        self, current: CurrentRevision, views: list[ZoneView], vms: tuple[ListedVm, ...] | None
    ) -> dict[str, Any]:
        file = None if current.revision is None else current.revision.file
        counts = count_copies(file, vms) if file is not None and vms is not None else []
        zones = [
            describe_view(view)
            | {"daemons": [one.model_dump() for one in view.daemons]}
            | {"refused": sum_refusals(view.daemons)}
            for view in views
        ]
        return {
            "ok": True,
            "revision": current.number,
            "digest": "" if current.revision is None else current.revision.digest,
            "zones": zones,
            "backend_servers": None if vms is None else [describe_vm(vm) for vm in vms],
            "copies": [describe_copies(count) for count in counts],
        }

    def _list_lines(
        self, current: CurrentRevision, views: list[ZoneView], vms: tuple[ListedVm, ...] | None
    ) -> list[str]:
        if current.revision is None:
            return ["no revision was ever applied"]
        lines = [f"revision {current.number} ({current.revision.digest})", "", "zones:"]
        for view in views:
            lines.append(f"  {format_view(view)}{format_refusals(sum_refusals(view.daemons))}")
            if self.option("daemons"):
                lines += [f"    {format_daemon(one, view.age_ms or 0)}" for one in view.daemons]
        lines += ["", "copies:"]
        if vms is None:
            return [*lines, "  the VM list does not answer"]
        lines += [f"  {format_copies(one)}" for one in count_copies(current.revision.file, vms)]
        lines += ["", "backend servers:"]
        lines += [f"  {format_vm(vm)}" for vm in vms]
        lines += ["", "limits of the client accounts, over the whole system:"]
        return lines + [f"  {line}" for line in list_limits(current.revision)]


class HistoryCommand(PlatformCommand):
    """Show earlier revisions and what each changed."""

    name = "history"
    description = "Show the latest revisions and what each one changed."
    options = [
        *PLATFORM_OPTIONS,
        option("count", None, "How many revisions to show.", flag=False, default="10"),
        option("changes", None, "Show each revision's changes."),
    ]
    help = """Goes back from the revision that the pointer names. A revision that the pointer never
named (its apply crashed, or lost a race) is shown as never in force.

Exit codes: 0 shown, 2 the count is wrong, 4 the platform does not answer."""

    def run_command(self) -> int:
        """Write the revisions, newest first."""
        count = self.read_count("count")
        self._store = RevisionStore(self.client, self.clock, self.retry_timeout_ms)
        current = self._store.read_current()
        rows = self._list_rows(current.number, count)
        self.write_answer({"ok": True, "revisions": rows}, [_format_row(row) for row in rows])
        return ExitCode.DONE

    def _list_rows(self, number: int, count: int) -> list[dict[str, Any]]:
        rows: list[dict[str, Any]] = []
        in_force = number
        for at in range(number + MAX_NUMBERS_AHEAD, NO_REVISION, -1):
            if len(rows) >= count:
                break
            revision = self._store.read_revision(at)
            if revision is None:
                continue
            was_in_force = revision.number == in_force
            if was_in_force:
                in_force = revision.previous
            rows.append(self._describe(revision, number, was_in_force))
        return rows

    def _describe(self, revision: Revision, current: int, was_in_force: bool) -> dict[str, Any]:
        state = "replaced" if was_in_force else "never in force"
        row = {
            "number": revision.number,
            "state": "in force" if revision.number == current else state,
            "previous": revision.previous,
            "applied_wall_ms": revision.applied_wall_ms,
            "apply_id": revision.apply_id,
            "digest": revision.digest,
        }
        if self.option("changes"):
            previous = self._store.read_revision(revision.previous) if revision.previous else None
            tree = {} if previous is None else previous.tree
            row["changes"] = [
                describe_change(change) for change in compare_trees(tree, revision.tree)
            ]
        return row


def _format_row(row: dict[str, Any]) -> str:
    at = datetime.fromtimestamp(row["applied_wall_ms"] / MS_PER_SECOND, UTC).isoformat(
        timespec="seconds"
    )
    line = f"{row['number']}: {row['state']}, {at}, after {row['previous']}, {row['apply_id']}"
    return "\n".join([line, *(f"  {change}" for change in row.get("changes", ()))])


def describe_vm(vm: ListedVm) -> dict[str, Any]:
    """Return a VM as JSON fields."""
    return {
        "name": vm.name,
        "zone": vm.zone,
        "serves": vm.serves,
        "state": vm.state,
        "machine_class": vm.machine_class,
        "price_per_hour": vm.price_per_hour,
    }


def format_vm(vm: ListedVm) -> str:
    """Return a VM as one line of text."""
    price = f"{vm.machine_class} at {vm.price_per_hour} an hour"
    return f"{vm.name}: {vm.state} in {vm.zone}, serves {vm.serves}, {price}"


def format_daemon(daemon: StoredDaemon, zone_age_ms: int) -> str:
    """Return a daemon as one line; the age of its report is the sum of the zone's and its own."""
    ready = "ready" if daemon.ready else "not ready"
    age = "never heard"
    if daemon.age_ms is not None:
        age = f"{(daemon.age_ms + zone_age_ms) / MS_PER_SECOND:.1f} s ago"
    in_progress = daemon.details.get("requests_in_progress", 0)
    refusals = format_refusals(sum_refusals([daemon]))
    line = f"{daemon.name}: revision {daemon.revision}, {ready}, {in_progress} requests in progress"
    return f"{line} ({age}){refusals}"


def format_refusals(refused: dict[str, int]) -> str:
    """Return the numbers of refused requests by reason as text; empty if there are none."""
    counts = ", ".join(f"{kind} {count}" for kind, count in sorted(refused.items()))
    return f"; refused by {counts}" if counts else ""


def list_limits(revision: Revision) -> list[str]:
    """Return one line with the limits of each client account."""
    return [
        f"{one.name}: {one.limits.requests_per_second:g} requests/s,"
        f" {one.limits.tokens_per_second:g} tokens/s,"
        f" {one.limits.concurrent_requests} at once, priority {one.priority}"
        for one in revision.file.client_accounts
    ]
