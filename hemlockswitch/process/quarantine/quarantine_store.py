"""Stores the quarantined traits of requests in the object service, where they survive all daemons.

Neither a daemon that starts nor a restart of the entire fleet may reset the crash counts. A trial requires
a conditional write, so that only one daemon runs a trial at a time even if messages are lost or late;
while the object service is unavailable, no trial is granted.
"""

from dataclasses import dataclass
from typing import Any

from hemlockswitch.connection.stored_objects import (
    ListedStore,
    StoredObject,
    Unknown,
    WriteOutcome,
    Written,
)
from hemlockswitch.core.clock import Clock
from hemlockswitch.core.events import Event
from hemlockswitch.core.logs import log_event
from hemlockswitch.request.quarantine import Quarantine
from hemlockswitch.request.suspects import SuspectRecord

HELD_KIND = "held-requests"
MAX_LIST_LAG_MS = 5_000.0
"""A list may lack objects written within this time before it."""


@dataclass(frozen=True)
class TrialOutcome:
    """Whether a trial is granted, with the reason."""

    is_granted: bool
    detail: str = ""


class QuarantineStore:
    """Stores the traits in `quarantine`, and grants trials.

    Parameters
    ==========

    process : identifier of this run of the daemon.
    quarantine : this daemon's records.
    store : the object service.
    clock : the time source.
    """

    def __init__(
        self, process: str, quarantine: Quarantine, store: ListedStore, clock: Clock
    ) -> None:
        self.is_loaded = False
        self._process = process
        self._quarantine = quarantine
        self._store = store
        self._clock = clock
        self._last_stored_ms: dict[str, float] = (
            {}
        )  # fingerprint to the last time it was seen stored
        self._pending_removals: set[str] = set()

    def load(self) -> None:
        """Apply the stored records, and release the traits whose object was removed.

        Raises
        ======

        PlatformError : the object service did not answer.
        """
        page = self._store.list_stale(HELD_KIND)
        listed = set()
        for item in page.items:
            record = _read_record(item)
            if record is not None:
                listed.add(record.fingerprint)
                self._quarantine.merge(record)
                self._last_stored_ms[record.fingerprint] = self._clock.now_ms()
        oldest_ms = self._clock.now_ms() - MAX_LIST_LAG_MS
        for fingerprint, stored_ms in list(self._last_stored_ms.items()):
            if fingerprint not in listed and stored_ms < oldest_ms:
                del self._last_stored_ms[fingerprint]
                self._quarantine.record_answer(fingerprint)
        self.is_loaded = True

    def schedule_removal(self, fingerprint: str) -> None:
        """Schedule the removal of a trait that this daemon has cleared."""
        self._pending_removals.add(fingerprint)

    def untrack_released(self, *, acts_for_peers: bool) -> None:
        """Stop tracking stored traits that are no longer accused.

        Parameters
        ==========

        acts_for_peers : whether to remove also traits that other daemons cleared.
        """
        for fingerprint in set(self._last_stored_ms) - set(self._quarantine.list_accused()):
            del self._last_stored_ms[fingerprint]
            if acts_for_peers:
                self._pending_removals.add(fingerprint)

    def must_save(self, *, acts_for_peers: bool) -> bool:
        """Return whether `save` has any object to write or remove."""
        return bool(self._pending_removals or self._list_unsaved(acts_for_peers))

    def save(self, *, acts_for_peers: bool) -> None:
        """Write quarantined traits that are not stored yet, and remove cleared ones.

        A trait whose crashes others explain stays stored, as peers take a removal for a release.

        Parameters
        ==========

        acts_for_peers : whether to write also traits that only other daemons saw crash servers; such a
            daemon may have stopped before it wrote them.

        Raises
        ======

        PlatformError : the object service did not answer.
        """
        for fingerprint in self._list_unsaved(acts_for_peers):
            self._create(fingerprint)
        self._pending_removals -= set(self._quarantine.list_accused())
        for fingerprint in sorted(self._pending_removals):
            self._remove(fingerprint)

    def _list_unsaved(self, acts_for_peers: bool) -> list[str]:
        return [
            fingerprint
            for fingerprint in self._quarantine.list_quarantined()
            if fingerprint not in self._last_stored_ms
            and (acts_for_peers or self._quarantine.was_seen_here(fingerprint))
        ]

    def request_trial(self, traits: tuple[str, ...]) -> TrialOutcome:
        """Request the permission to send a request with quarantined traits; only one daemon gets it at a time.

        Parameters
        ==========

        traits : the quarantined traits, the likeliest cause first; its object is the one written.

        Raises
        ======

        PlatformError : the object service did not answer.
        """
        strongest = traits[0]
        found = self._store.read(HELD_KIND, strongest)
        version = None
        if found is not None:
            version = found.version
            self._last_stored_ms[strongest] = self._clock.now_ms()
            stored = _read_record(found)
            if stored is not None:
                self._quarantine.merge(stored)
        elif strongest in self._last_stored_ms:
            del self._last_stored_ms[strongest]
            self._quarantine.record_answer(strongest)
        status = self._quarantine.judge(traits)
        if not status.is_quarantined:
            return TrialOutcome(True, "the request was released by another daemon")
        # The stored record may show a trial by another daemon, and another request of this daemon may
        # have started one during the read.
        if status.trial_in_ms != 0:
            return TrialOutcome(False, "another trial has started")
        return self._write_trial(traits, version)

    def _write_trial(self, traits: tuple[str, ...], version: int | None) -> TrialOutcome:
        fingerprint = traits[0]
        value = self._build_value(fingerprint, self._quarantine.get_record(fingerprint).trials + 1)
        if version is None:
            outcome = self._store.create(HELD_KIND, fingerprint, value)
        else:
            outcome = self._store.update(HELD_KIND, fingerprint, value, version)
        if not isinstance(outcome, Written) and not self._was_written(outcome, fingerprint, value):
            return TrialOutcome(False, "another daemon wrote the trial first")
        self._last_stored_ms[fingerprint] = self._clock.now_ms()
        for trait in self._quarantine.list_tested(traits):
            self._quarantine.record_trial(trait, self._quarantine.get_record(trait).trials + 1)
        return TrialOutcome(True)

    def _was_written(self, outcome: WriteOutcome, fingerprint: str, value: Any) -> bool:
        """Return whether a write with an unknown outcome took effect."""
        if not isinstance(outcome, Unknown):
            return False
        found = self._store.read(HELD_KIND, fingerprint)
        return found is not None and found.value == value

    def _create(self, fingerprint: str) -> None:
        trials = self._quarantine.get_record(fingerprint).trials
        value = self._build_value(fingerprint, trials)
        outcome = self._store.create(HELD_KIND, fingerprint, value)
        if not isinstance(outcome, Unknown):
            self._last_stored_ms[fingerprint] = self._clock.now_ms()

    def _remove(self, fingerprint: str) -> None:
        found = self._store.read(HELD_KIND, fingerprint)
        if found is not None:
            self._store.delete(HELD_KIND, fingerprint, found.version)
        self._last_stored_ms.pop(fingerprint, None)
        self._pending_removals.discard(fingerprint)

    def _build_value(self, fingerprint: str, trials: int) -> dict[str, Any]:
        record = self._quarantine.get_record(fingerprint)
        counted = [one for one in record.ends if one not in record.excused]
        return {"ends": counted, "trials": trials, "by": self._process}


def _read_record(item: StoredObject) -> SuspectRecord | None:
    """Return the record in an object, or None if the object is malformed."""
    try:
        ends = [str(one) for one in item.value["ends"]]
        return SuspectRecord(item.name, tuple(ends), (), int(item.value["trials"]))
    except (TypeError, KeyError, ValueError) as error:
        log_event(
            Event.OBJECT_UNREADABLE,
            "warning",
            kind=item.kind,
            name=item.name,
            detail=repr(error),
        )
        return None
