"""Interprets the zones' status objects for the operator's commands."""

from collections import Counter
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from hemlockswitch.connection.stored_objects import StoredObject


class ZoneState(StrEnum):
    """Whether a revision is in force in a zone.

    Explanation
    ===========

    ``waiting``: the zone has written its status since the revision was applied, and not all of its
    daemons have the revision. ``silent``: it has not written its status since then.
    ``never_heard``: it has no readable status.
    """

    IN_FORCE = "in_force"
    WAITING = "waiting"
    SILENT = "silent"
    NEVER_HEARD = "never_heard"


class StoredDaemon(BaseModel):
    """One daemon in a zone's status object."""

    model_config = ConfigDict(extra="ignore", frozen=True)

    name: str
    program: str = ""
    revision: int = Field(default=0, ge=0)
    digest: str = ""
    ready: bool = False
    age_ms: int | None = None
    details: dict[str, Any] = {}


class StoredZone(BaseModel):
    """The value of ``status/<zone>``."""

    model_config = ConfigDict(extra="ignore", frozen=True)

    zone: str
    writer: str
    written_wall_ms: int
    daemons: tuple[StoredDaemon, ...] = ()


@dataclass(frozen=True)
class ZoneView:
    """A zone according to its last written status.

    Parameters
    ==========

    zone : name of the zone.
    state : whether the requested revision is in force in the zone.
    age_ms : age of the status, from the wall clocks of its writer and its reader; None if there is
        no status.
    revisions : the lowest and the highest revision in force in the zone.
    behind : names of the daemons that do not have the revision yet.
    daemons : the reported daemons.
    """

    zone: str
    state: ZoneState
    age_ms: int | None = None
    revisions: tuple[int, int] = (0, 0)
    behind: tuple[str, ...] = ()
    daemons: tuple[StoredDaemon, ...] = field(default=(), repr=False)


def view_zones(
    zones: Sequence[str],
    objects: Iterable[StoredObject],
    number: int,
    version: int,
    now_wall_ms: int,
) -> list[ZoneView]:
    """Return the view of every zone with respect to a revision, in the order of `zones`.

    Explanation
    ===========

    The revision is in force in a zone if the zone's status shows it or a later one for each live
    daemon, regardless of the status's age: revision numbers only increase. Whether a status is
    older than the apply is decided by the platform's versions, not by clocks.

    Parameters
    ==========

    objects : the zones' status objects.
    number : the number of the revision.
    version : the version of the pointer when it was moved to the revision.
    """
    stored = {one.name: one for one in objects}
    return [_view_zone(zone, stored.get(zone), number, version, now_wall_ms) for zone in zones]


def _view_zone(
    zone: str, found: StoredObject | None, number: int, version: int, now_wall_ms: int
) -> ZoneView:
    stored = _read_zone(found)
    if found is None or stored is None:
        return ZoneView(zone, ZoneState.NEVER_HEARD)
    numbers = [daemon.revision for daemon in stored.daemons]
    behind = tuple(daemon.name for daemon in stored.daemons if daemon.revision < number)
    state = ZoneState.SILENT if found.version < version else ZoneState.WAITING
    if numbers and not behind:
        state = ZoneState.IN_FORCE
    age_ms = max(now_wall_ms - stored.written_wall_ms, 0)
    revisions = (min(numbers, default=0), max(numbers, default=0))
    return ZoneView(zone, state, age_ms, revisions, behind, stored.daemons)


def _read_zone(found: StoredObject | None) -> StoredZone | None:
    if found is None:
        return None
    try:
        return StoredZone.model_validate(found.value)
    except ValidationError:
        return None


def sum_refusals(daemons: Iterable[StoredDaemon]) -> dict[str, int]:
    """Return the number of requests that each limit refused, summed over these daemons."""
    total: Counter[str] = Counter()
    for daemon in daemons:
        refused = daemon.details.get("refused")
        if isinstance(refused, dict):
            total.update({kind: count for kind, count in refused.items() if type(count) is int})
    return dict(total)
