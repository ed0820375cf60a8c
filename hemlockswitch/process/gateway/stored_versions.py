"""The versions of each service that may have begun streams, stated in an object of the object service.

A gateway that has just started knows nothing of the versions whose servers have left. It may rely on the object
alone, so the object states every version, also a single one: what it lacks has begun no stream. Its absence
states nothing, and neither does an object of an earlier era, whose last changes a return from a copy has lost.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, Protocol

import gevent

from hemlockswitch.connection.store_order import StoreEra
from hemlockswitch.connection.stored_objects import (
    ConditionalStore,
    StoredObject,
    Unknown,
    Written,
)
from hemlockswitch.core.clock import MS_PER_SECOND, Clock
from hemlockswitch.core.errors import PlatformError
from hemlockswitch.core.events import Event
from hemlockswitch.core.logs import log_event
from hemlockswitch.process.gateway.shared_call import SharedCall
from hemlockswitch.process.gateway.version_history import VersionHistory

VERSIONS_KIND = "service-versions"
VERSIONS_NAME = "stated"
KEPT_MARGIN_MS = 10_000.0
"""How much longer than its streams live a version stays in the object after its last server has left."""
KEEP_INTERVAL_MS = 250.0
"""Interval between checks whether the object states all versions."""
OTHERS_DELAY_MS = 300.0
"""How long a gateway without the duties waits for their holder to state a version."""
READ_TIMEOUT_MS = 500.0
READ_INTERVAL_MS = 1_000.0
"""Limits the reads that callers with streams of unknown origin can cause."""
IDLE_READ_INTERVAL_MS = 5_000.0
"""Time between two reads while nothing is stated and this gateway may not write."""


class StatementStore(ConditionalStore, Protocol):
    """The object service, as far as the statement needs it."""

    def get_era(self) -> StoreEra:
        """Return the newest era that an answer has stated."""


@dataclass(frozen=True)
class Statement:
    """What the object states.

    Parameters
    ==========

    era : the era in which it was written.
    versions : the versions of each service that may have begun streams which can be taken up.
    lives_ms : for how long a stream of each service may be taken up.
    """

    era: int
    versions: dict[str, frozenset[str]] = field(default_factory=dict)
    lives_ms: dict[str, float] = field(default_factory=dict)

    @classmethod
    def from_value(cls, value: Any) -> "Statement":
        """Return the statement of a stored value.

        Raises
        ======

        ValueError, TypeError, KeyError, AttributeError : the value has another form.
        """
        services = value["services"].items()
        return cls(
            int(value["era"]),
            {str(name): frozenset(map(str, one["versions"])) for name, one in services},
            {str(name): float(one["life_ms"]) for name, one in services},
        )

    def to_value(self) -> dict[str, Any]:
        """Return the stored value."""
        services = {
            name: {"versions": sorted(versions), "life_ms": self.lives_ms[name]}
            for name, versions in sorted(self.versions.items())
        }
        return {"era": self.era, "services": services}

    def covers(self, other: "Statement") -> bool:
        """Return whether this one, of the same era, states all that another one does."""
        return self.era == other.era and all(
            versions <= self.versions.get(name, frozenset())
            and other.lives_ms[name] <= self.lives_ms[name]
            for name, versions in other.versions.items()
        )


class StoredVersions:
    """Reads the object, and keeps it complete.

    Explanation
    ===========

    Each gateway of a small fleet states the versions that it lists and the object lacks, the holder of the duties
    first; in a larger fleet only the holder does. A gateway may state versions only if it knows of all that came
    before: from the object, as no gateway ran before it, or as it has watched for longer than streams live.

    Parameters
    ==========

    store : the object service.
    history : the versions registered since the start, to which those of the object are added.
    is_first_start : returns whether no process of this gateway has run before; None while that is unknown.
    clock : the time source.

    Attributes
    ==========

    before : the versions that had been stated when this gateway first read the object; None until it has.
    """

    def __init__(
        self,
        store: StatementStore,
        history: VersionHistory,
        is_first_start: Callable[[], bool | None],
        clock: Clock,
    ) -> None:
        self.before: dict[str, frozenset[str]] | None = None
        self._store = store
        self._history = history
        self._is_first_start = is_first_start
        self._clock = clock
        self._reading = SharedCall(self._read)
        self._read_ms = float("-inf")
        self._read_era: int | None = None
        self._statement: Statement | None = None
        self._version = 0  # of the object; 0 if there is none
        self._first_era: int | None = None  # in which no gateway ran before this one
        self._must_read = True
        self._lacking_since_ms: float | None = None

    def load(self, service: str) -> frozenset[str] | None:
        """Read the object, unless that was done lately, and return the versions that it states for a service.

        The result is None if the object does not state all that there were. Requests that need it at the same
        time share one read. If the object service does not answer, the last read of the same era counts.
        """
        if self._clock.now_ms() - self._read_ms >= READ_INTERVAL_MS:
            self._reading.run()
        return self._find_stated(service)

    def list_before(self, service: str) -> frozenset[str] | None:
        """Return the versions that may have begun streams before this gateway started; None if unknown."""
        return None if self.before is None else self.before.get(service, frozenset())

    def is_stated(self, service: str, version: str) -> bool:
        """Return whether the object stated a version when it was last read or written."""
        return version in (self._find_stated(service) or ())

    def keep(self, *, leads: bool, is_small: bool) -> None:
        """State the versions that the object lacks, and remove those whose streams can no longer be taken up.

        Parameters
        ==========

        leads : whether this gateway holds the duties.
        is_small : whether the fleet is small, so that each gateway may write.
        """
        if not leads and not is_small:
            return
        if self._is_read_due():
            self._reading.run()
        if self._must_read or not self._may_state():
            return
        needed = self._build_statement()
        if self._statement is not None and self._statement.covers(needed):
            self._lacking_since_ms = None
            if leads and not needed.covers(self._statement):
                self._write(needed)
        elif leads:
            self._write(needed)
        elif self._has_waited():
            self._write(self._merge(needed))

    def _is_read_due(self) -> bool:
        """Return whether the object has to be read before it can be kept complete."""
        if self._must_read or self._read_era != self._store.get_era().number:
            return True
        since_ms = self._clock.now_ms() - self._read_ms
        if self._statement is None:
            return since_ms >= IDLE_READ_INTERVAL_MS and not self._may_state()
        return since_ms >= READ_INTERVAL_MS and not self._is_current(self._statement)

    def _has_waited(self) -> bool:
        """Return whether the object has lacked a version for `OTHERS_DELAY_MS`; read it then."""
        now_ms = self._clock.now_ms()
        if self._lacking_since_ms is None:
            self._lacking_since_ms = now_ms
        if now_ms - self._lacking_since_ms < OTHERS_DELAY_MS:
            return False
        self._lacking_since_ms = None
        self._must_read = True
        self._reading.run()
        return not self._must_read

    def _find_stated(self, service: str) -> frozenset[str] | None:
        """Return the versions of a service that are stated in the present era; None if nothing is."""
        if self._statement is None or not self._is_current(self._statement):
            return None
        return self._statement.versions.get(service, frozenset())

    def _is_current(self, statement: Statement) -> bool:
        return statement.era == self._store.get_era().number

    def _may_state(self) -> bool:
        """Return whether the history contains all earlier versions."""
        if self.before is not None:
            return True
        lives_ms = [self._history.find_life_ms(name) for name in self._history.list_services()]
        life_ms = max(lives_ms, default=0.0)
        return 0.0 < life_ms < self._history.measure_watched_ms()

    def _build_statement(self) -> Statement:
        """Return the statement of the history of this gateway."""
        versions, lives_ms = {}, {}
        for service in self._history.list_services():
            life_ms = self._history.find_life_ms(service)
            known = self._history.list_versions(service, life_ms + KEPT_MARGIN_MS)
            if known:
                versions[service], lives_ms[service] = known, life_ms
        return Statement(self._store.get_era().number, versions, lives_ms)

    def _merge(self, needed: Statement) -> Statement:
        """Return a statement with all that the object has besides."""
        stated = self._statement
        if stated is None:
            return needed
        versions, lives_ms = dict(stated.versions), dict(stated.lives_ms)
        for name, known in needed.versions.items():
            versions[name] = known | versions.get(name, frozenset())
            lives_ms[name] = max(needed.lives_ms[name], lives_ms.get(name, 0.0))
        return Statement(needed.era, versions, lives_ms)

    def _write(self, statement: Statement) -> None:
        value = statement.to_value()
        try:
            if self._version:
                outcome = self._store.update(VERSIONS_KIND, VERSIONS_NAME, value, self._version)
            else:
                outcome = self._store.create(VERSIONS_KIND, VERSIONS_NAME, value)
        except PlatformError as error:
            log_event(Event.WATCH_FAILED, "warning", watch=VERSIONS_KIND, detail=error.detail)
            return
        if isinstance(outcome, Written):
            self._accept(statement, outcome.version)
        else:
            self._must_read = True
            if isinstance(outcome, Unknown):
                self._statement = None

    def _read(self) -> None:
        try:
            with gevent.Timeout(READ_TIMEOUT_MS / MS_PER_SECOND, False):
                self._apply(self._store.read(VERSIONS_KIND, VERSIONS_NAME))
        except PlatformError as error:
            log_event(Event.WATCH_FAILED, "warning", watch=VERSIONS_KIND, detail=error.detail)

    def _apply(self, item: StoredObject | None) -> None:
        self._read_ms = self._clock.now_ms()
        self._read_era = self._store.get_era().number
        self._must_read = False
        if item is None or item.deleted:
            self._apply_missing()
            return
        self._version = item.version
        statement = _read_statement(item)
        if statement is None:
            self._statement = None
            return
        for service, versions in statement.versions.items():
            self._history.record_life(service, statement.lives_ms[service])
            for version in versions:
                self._history.record_stated(service, version)
        self._accept(statement, item.version)

    def _apply_missing(self) -> None:
        """Apply that there is no object, which states something only if no gateway ran before this one."""
        era = self._store.get_era().number
        if self.before is None:
            is_first_start = self._is_first_start()
            self._must_read = is_first_start is None
            if is_first_start:
                self.before = {}
                self._first_era = era
        self._statement = Statement(era) if self._first_era == era else None
        self._version = 0

    def _accept(self, statement: Statement, version: int) -> None:
        self._statement, self._version = statement, version
        if self.before is None and self._is_current(statement):
            self.before = statement.versions


def _read_statement(item: StoredObject) -> Statement | None:
    """Return the statement of an object, or None if it has another form."""
    try:
        return Statement.from_value(item.value)
    except (ValueError, TypeError, KeyError, AttributeError) as error:
        log_event(
            Event.OBJECT_UNREADABLE, "warning", kind=item.kind, name=item.name, detail=repr(error)
        )
        return None
