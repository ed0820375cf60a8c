"""The number of copies compared to the licence, from the VM list and the operator file."""

from collections import Counter
from collections.abc import Iterable, Sequence
from dataclasses import asdict, dataclass
from typing import Any

from hemlockswitch.connection.platform_models import ListedVm
from hemlockswitch.version.models import Model, OperatorFile, Service

COUNTED_STATES = ("live", "starting", "leaving")
"""A leaving copy uses a licence until its VM has stopped."""


@dataclass(frozen=True)
class CopyCount:
    """The copies of one model or service.

    Parameters
    ==========

    live, starting, leaving : numbers of VMs that serve it, by state.
    licensed, min_copies : from the operator file in force.
    limited_by : short description of what limits its capacity; empty if nothing does.
    """

    name: str
    live: int
    starting: int
    leaving: int
    licensed: int
    min_copies: int
    limited_by: str


def count_copies(file: OperatorFile, vms: Iterable[ListedVm]) -> list[CopyCount]:
    """Return the copy counts of every model and service of the operator file."""
    states = Counter((vm.serves, vm.state) for vm in vms)
    targets: Sequence[Model | Service] = (*file.models, *file.services)
    return [_count_target(target, states) for target in targets]


def _count_target(target: Model | Service, states: Counter[tuple[str, str]]) -> CopyCount:
    live, starting, leaving = (states[target.name, state] for state in COUNTED_STATES)
    limited_by = _find_limit(target, live, live + starting + leaving)
    return CopyCount(
        target.name,
        live,
        starting,
        leaving,
        target.licensed_copies,
        target.min_copies,
        limited_by,
    )


def _find_limit(target: Model | Service, live: int, held: int) -> str:
    if held > target.licensed_copies:
        return "over the licence"
    if held == target.licensed_copies:
        return "the licence: every copy is held"
    if live < target.min_copies:
        return "copies missing: starts are pending or refused"
    return ""


def describe_copies(count: CopyCount) -> dict[str, Any]:
    """Return the JSON-ready form of a count."""
    return asdict(count)


def format_copies(count: CopyCount) -> str:
    """Return a human-readable line for a count."""
    held = count.live + count.starting + count.leaving
    line = f"{count.name}: {held} of {count.licensed} licensed copies held"
    line += f" ({count.live} live, {count.starting} starting, {count.leaving} leaving;"
    line += f" at least {count.min_copies})"
    return f"{line}; limited by {count.limited_by}" if count.limited_by else line
