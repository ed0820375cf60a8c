"""The configuration in force in this process; its revision number only increases."""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, replace

from hemlockswitch.core.clock import Clock
from hemlockswitch.core.errors import ConfigurationError, ErrorKind
from hemlockswitch.core.events import Event
from hemlockswitch.core.logs import log_event
from hemlockswitch.version.differences import Change, compare_trees
from hemlockswitch.version.models import OperatorFile
from hemlockswitch.version.revisions import NO_REVISION, Revision

MAX_RETAINED_ADOPTIONS = 64
MAX_RETAINED_CHANGES = 4_096
"""Changes retained over all adoptions, to serve differences to daemons that lag behind."""

Listener = Callable[[Revision], None]


@dataclass(frozen=True)
class Adoption:
    """A transition of this process from a revision to a later one.

    Parameters
    ==========

    number, digest : of the revision that came in force.
    base_number, base_digest : of the previous revision; 0 and empty for the first.
    wall_ms : wall-clock time at which the revision came in force here.
    source : where the revision came from, such as ``platform``, a peer's address or ``news``.
    changes : from the previous revision; None if there is none or the changes were discarded.
    """

    number: int
    digest: str
    base_number: int
    base_digest: str
    wall_ms: int
    source: str
    changes: tuple[Change, ...] | None


class Configuration:
    """Stores the revision in force and the latest adoptions that led to it.

    Explanation
    ===========

    `adopt` replaces a single reference, so a request that reads `current` once sees one consistent
    revision. A lower number is never adopted, regardless of its source.

    Parameters
    ==========

    clock : provides the time.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._current: Revision | None = None
        self._adoptions: deque[Adoption] = deque(maxlen=MAX_RETAINED_ADOPTIONS)
        self._listeners: list[Listener] = []

    @property
    def current(self) -> Revision | None:
        """The revision in force; None before the first adoption."""
        return self._current

    @property
    def revision(self) -> int:
        """The number of the revision in force; 0 before the first adoption."""
        return NO_REVISION if self._current is None else self._current.number

    @property
    def digest(self) -> str:
        """The digest of the revision in force; empty before the first adoption."""
        return "" if self._current is None else self._current.digest

    @property
    def is_ready(self) -> bool:
        """Whether a revision is in force; before that, a daemon accepts no work."""
        return self._current is not None

    @property
    def file(self) -> OperatorFile:
        """The operator file in force.

        Raises
        ======

        ConfigurationError : no revision is in force yet.
        """
        if self._current is None:
            raise ConfigurationError(ErrorKind.NOT_READY, "no configuration is in force yet")
        return self._current.file

    @property
    def adoptions(self) -> tuple[Adoption, ...]:
        """The latest adoptions, oldest first."""
        return tuple(self._adoptions)

    def adopt(self, revision: Revision, source: str = "") -> bool:
        """Put a revision in force if its number is higher than that of the one in force.

        Returns
        =======

        bool : whether the revision came in force.
        """
        current = self._current
        if current is not None and revision.number <= current.number:
            self._log_refusal(current, revision, source)
            return False
        self._adoptions.append(self._make_adoption(current, revision, source))
        self._discard_old_changes()
        self._current = revision
        log_event(
            Event.REVISION_IN_FORCE, revision=revision.number, digest=revision.digest, source=source
        )
        for listener in self._listeners:
            listener(revision)
        return True

    def add_listener(self, listener: Listener) -> None:
        """Call `listener` now for the revision in force, and for each later one."""
        self._listeners.append(listener)
        if self._current is not None:
            listener(self._current)

    def find_changes(self, number: int, digest: str) -> tuple[Change, ...] | None:
        """Return the changes from an earlier revision to the one in force, if still retained."""
        found: list[Change] = []
        started = False
        for step in self._adoptions:
            started = started or (step.base_number, step.base_digest) == (number, digest)
            if not started:
                continue
            if step.changes is None:
                return None
            found.extend(step.changes)
        return tuple(found) if started else None

    def _make_adoption(self, current: Revision | None, revision: Revision, source: str) -> Adoption:
        old_number, old_digest = (current.number, current.digest) if current else (NO_REVISION, "")
        changes = tuple(compare_trees(current.tree, revision.tree)) if current else None
        wall_ms = self._clock.wall_ms()
        return Adoption(
            revision.number, revision.digest, old_number, old_digest, wall_ms, source, changes
        )

    def _discard_old_changes(self) -> None:
        kept = 0
        for place in range(len(self._adoptions) - 1, -1, -1):
            step = self._adoptions[place]
            kept += len(step.changes or ())
            if kept > MAX_RETAINED_CHANGES:
                self._adoptions[place] = replace(step, changes=None)

    def _log_refusal(self, current: Revision, revision: Revision, source: str) -> None:
        fields = {"revision": current.number, "offered": revision.number, "source": source}
        if revision.number < current.number:
            log_event(Event.OLDER_REVISION_REFUSED, "debug", **fields)
        elif revision.digest != current.digest:
            log_event(Event.REVISION_DIGEST_DIFFERS, "error", **fields)
