"""What an operator's command makes of the zones' status objects."""

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

    ``waiting``: the zone has given a word since the revision was applied, and not all of its
    daemons have it. ``silent``: it has not given one; ``never_heard``: it never gave any.
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
    """One zone as its last word shows it.

    Parameters
    ==========

    zone : its name.
    state : against the revision that was asked for.
    age_ms : how old the last word is, by the wall clocks of both ends; None where there is none.
    revisions : the lowest and the highest revision in force there.
    behind : names of the daemons that do not have the revision yet.
    daemons : all that the zone says.
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
    """Return every zone's view against a revision, in the order of `zones`.

    Explanation
    ===========

    A zone is in force when its word says that each of its live daemons has the revision or a
    later one, however old the word is: numbers only rise. Whether a word is older than the apply
    is told by the platform's versions and not by clocks.

    Parameters
    ==========

    objects : the zones' status objects.
    number : of the revision.
    version : of the pointer when it was moved to the revision.
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
    """Return how often each limit refused a request, over these daemons since they started."""
    total: Counter[str] = Counter()
    for daemon in daemons:
        refused = daemon.details.get("refused")
        if isinstance(refused, dict):
            total.update({kind: count for kind, count in refused.items() if type(count) is int})
    return dict(total)
