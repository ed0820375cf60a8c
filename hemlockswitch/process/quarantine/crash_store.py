"""Stores the crashes of backend servers in the object service, so that they count after all daemons have ended.

A quarantined trait has an object of its own (`process.quarantine.quarantine_store`). A crash below the quarantine
counts against all traits in progress on the server, so there is one object for each crash, with these traits.
Traits that are excused are removed from it, and it is deleted with its last trait.
"""

import math
from dataclasses import dataclass
from typing import Any, Protocol

import xxhash

from hemlockswitch.connection.store_order import StoreEra, find_era
from hemlockswitch.connection.stored_objects import (
    ConditionalStore,
    ObjectPage,
    StoredObject,
    Written,
)
from hemlockswitch.core.clock import Clock
from hemlockswitch.core.events import Event
from hemlockswitch.core.logs import log_event
from hemlockswitch.request.fingerprint import is_part
from hemlockswitch.request.quarantine import Quarantine
from hemlockswitch.request.suspects import ANSWERED, SuspectRecord

CRASH_KIND = "server-crashes"
MAX_STORED_TRAITS = 4_096
"""Limits the size of an object; contents are kept before prompt parts."""
MIN_REMOVAL_INTERVAL_MS = 1_000.0
"""Minimum time between two writes that only remove traits of a crash: many are excused one after the other."""
MAX_TRIES = 3
"""Number of times in one pass that the object of a crash is written if other daemons write it too."""
RETURN_SETTLE_MS = 5_000.0
"""How long after a return of the object service its crashes stay that this daemon has not heard of."""

Traits = dict[str, bool]
"""Traits that a crash counts against, and whether a request with the trait was answered before."""


class CrashObjects(ConditionalStore, Protocol):
    """An object service with lists, which may come back from a copy."""

    def list(self, kind: str, prefix: str = "") -> ObjectPage:
        """Return all objects of a kind whose names start with `prefix`."""

    def get_era(self) -> StoreEra:
        """Return the newest era that an answer has stated."""


@dataclass(frozen=True)
class _KnownObject:
    """The object of a crash, as it was last read or written; no trait is removed before `removal_ms`."""

    traits: Traits
    version: int
    removal_ms: float = -math.inf


class CrashStore:
    """Stores the crashes that `quarantine` counts.

    Explanation
    ===========

    A crash is written by the daemons that saw it, and by the one that acts for its peers. They compare the traits
    that the crash counts against now with those that they last read or wrote. Traits that another daemon has added
    meanwhile are merged. If the object service comes back from a copy, crashes that are missing are written again, and
    those that it had forgotten to have deleted are deleted again.

    Parameters
    ==========

    process : identifier of this run of the daemon.
    quarantine : this daemon's records.
    store : the object service.
    clock : the time source.
    """

    def __init__(
        self, process: str, quarantine: Quarantine, store: CrashObjects, clock: Clock
    ) -> None:
        self.is_loaded = False
        self._process = process
        self._quarantine = quarantine
        self._store = store
        self._clock = clock
        self._known: dict[str, _KnownObject] = {}  # by the crashed server's incarnation
        self._written: set[str] = set()  # crashes whose objects this daemon has written
        self._listed_era: int | None = None

    def load(self) -> None:
        """Count the stored crashes; to be called until it succeeds once.

        Raises
        ======

        PlatformError : the object service did not answer.
        """
        for end, listed in self._list().items():
            self._merge(end, listed.traits)
            self._known[end] = listed
        self.is_loaded = True

    def _list(self, removal_ms: float = -math.inf) -> dict[str, _KnownObject]:
        page = self._store.list(CRASH_KIND)
        self._listed_era = self._store.get_era().number
        known = {}
        for item in page.items:
            crash = _read_crash(item)
            if crash is not None:
                end, traits = crash
                known[end] = _KnownObject(traits, item.version, removal_ms)
        return known

    @property
    def _has_returned(self) -> bool:
        return self._listed_era != self._store.get_era().number

    def must_save(self, *, acts_for_peers: bool) -> bool:
        """Return whether `save` has any object to write or delete."""
        return (acts_for_peers and self._has_returned) or bool(self._list_unsaved(acts_for_peers))

    def save(self, *, acts_for_peers: bool) -> None:
        """Write the crashes whose traits have changed.

        Parameters
        ==========

        acts_for_peers : whether to write also crashes that only other daemons saw; these may have stopped before
            they wrote them.

        Raises
        ======

        PlatformError : the object service did not answer.
        """
        if acts_for_peers and self._has_returned:
            listed = self._list(self._clock.now_ms() + RETURN_SETTLE_MS)
            self._known = listed | self._known
        for end in self._list_unsaved(acts_for_peers):
            for _ in range(MAX_TRIES):
                if self._must_save(end):
                    self._save(end)

    def _list_unsaved(self, acts_for_peers: bool) -> list[str]:
        crashes = self._quarantine.list_crashes()
        if acts_for_peers:
            ends = crashes.keys() | self._known.keys()
        else:
            ends = {end for end in crashes if self._quarantine.has_seen_crash(end)} | self._written
        return sorted(end for end in ends if self._must_save(end))

    def _must_save(self, end: str) -> bool:
        traits, known = self._list_traits(end), self._known.get(end)
        if known is None:
            return bool(traits)
        if traits == known.traits:
            return find_era(known.version) < self._store.get_era().number
        has_new = not traits.keys() <= known.traits.keys()
        return has_new or self._clock.now_ms() >= known.removal_ms

    def _list_traits(self, end: str) -> Traits:
        traits = self._quarantine.list_traits(end)
        if len(traits) <= MAX_STORED_TRAITS:
            return traits
        kept = sorted(traits, key=lambda trait: (is_part(trait), trait))[:MAX_STORED_TRAITS]
        return {trait: traits[trait] for trait in kept}

    def _save(self, end: str) -> None:
        """Write or delete the object of a crash; if this does not take effect, read the object."""
        name, known, traits = _hash_end(end), self._known.get(end), self._list_traits(end)
        value = self._build_value(end, traits)
        if known is None:
            outcome = self._store.create(CRASH_KIND, name, value)
        elif traits:
            outcome = self._store.update(CRASH_KIND, name, value, known.version)
        else:
            outcome = self._store.delete(CRASH_KIND, name, known.version)
        if not isinstance(outcome, Written):
            self._read(end)
        elif traits:
            removal_ms = self._clock.now_ms() + MIN_REMOVAL_INTERVAL_MS
            self._known[end] = _KnownObject(traits, outcome.version, removal_ms)
            self._written.add(end)
        else:
            self._forget(end)

    def _read(self, end: str) -> None:
        """Read the object of a crash, and count the traits that another daemon has added."""
        found = self._store.read(CRASH_KIND, _hash_end(end))
        if found is None:
            self._forget(end)
            return
        crash = _read_crash(found)
        traits = crash[1] if crash is not None else {}
        before = self._known[end].traits if end in self._known else {}
        self._merge(end, {trait: one for trait, one in traits.items() if trait not in before})
        self._known[end] = _KnownObject(traits, found.version)

    def _merge(self, end: str, traits: Traits) -> None:
        for trait, was_answered in traits.items():
            excused = (ANSWERED,) if was_answered else ()
            self._quarantine.merge(SuspectRecord(trait, (end,), excused))

    def _forget(self, end: str) -> None:
        self._known.pop(end, None)
        self._written.discard(end)

    def _build_value(self, end: str, traits: Traits) -> dict[str, Any]:
        answered = sorted(trait for trait, was_answered in traits.items() if was_answered)
        return {"end": end, "traits": sorted(traits), "answered": answered, "by": self._process}


def _hash_end(end: str) -> str:
    """Return the name of the object of a crash; an incarnation may contain characters that a name may not."""
    return xxhash.xxh3_128_hexdigest(end.encode())


def _read_crash(item: StoredObject) -> tuple[str, Traits] | None:
    """Return the crashed server's incarnation and the traits in an object, or None if the object is malformed."""
    try:
        end, traits, answered = (item.value[name] for name in ("end", "traits", "answered"))
        if not isinstance(end, str) or _hash_end(end) != item.name:
            raise ValueError("the name is not that of the crashed server")
        if not isinstance(traits, list) or len(traits) > MAX_STORED_TRAITS:
            raise ValueError(f"the traits are not a list of up to {MAX_STORED_TRAITS}")
        if not all(isinstance(one, str) for one in (*traits, *answered)):
            raise ValueError("not all traits are texts")
        known = frozenset(answered)
        return end, {trait: trait in known for trait in traits}
    except (TypeError, KeyError, ValueError) as error:
        log_event(
            Event.OBJECT_UNREADABLE,
            "warning",
            kind=item.kind,
            name=item.name,
            detail=repr(error),
        )
        return None
