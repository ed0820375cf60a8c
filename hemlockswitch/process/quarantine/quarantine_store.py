"""Stores the quarantined traits of requests in the object service, where they survive all daemons.

Neither a daemon that starts nor a restart of the entire fleet may reset the crash counts. A trial requires
a conditional write, so that only one daemon runs a trial at a time even if messages are lost or late;
while the object service is unavailable, no trial is granted.

A stored object that is removed releases its trait. An object that is missing was removed only if it was in the
object service in the same era: a service that comes back from a copy loses the latest writes, and objects that
may be lost are written again.
"""

from dataclasses import dataclass
from typing import Any

from hemlockswitch.connection.store_order import find_era
from hemlockswitch.connection.stored_objects import (
    Conflict,
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
MAX_STORED_TRIALS = 1_000_000
"""More trials of a trait than daemons grant; another program wrote such a number."""


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
        self._stored: dict[str, int] = {}  # fingerprint to the last known version of its object
        self._pending_removals: set[str] = set()
        self._loaded_era: int | None = None

    @property
    def has_returned(self) -> bool:
        """Whether the object service has come back from a copy since the last load.

        A stale list may show the contents of before the return for `MAX_LIST_LAG_MS`.
        """
        era = self._store.get_era()
        is_settled = self._clock.now_ms() - era.observed_ms > MAX_LIST_LAG_MS
        return era.number != self._loaded_era and is_settled

    def load(self) -> None:
        """Apply the stored records, and release the traits whose object was removed.

        Raises
        ======

        PlatformError : the object service did not answer.
        """
        page = self._store.list_stale(HELD_KIND)
        is_current = self._loaded_era is None or self.has_returned
        if is_current:
            self._loaded_era = self._store.get_era().number
        listed = set()
        for item in page.items:
            record = _read_record(item)
            if record is not None:
                listed.add(record.fingerprint)
                self._quarantine.merge(record)
                self._record_listed(item)
        for fingerprint in set(self._stored) - listed:
            if self._stored[fingerprint] <= page.version:
                self._check_missing(fingerprint)
        self.is_loaded = True

    def _record_listed(self, item: StoredObject) -> None:
        """Record an object of a stale list, which may be one of an earlier era until the list is reliable."""
        if item.name not in self._stored or find_era(item.version) == self._loaded_era:
            self._stored[item.name] = item.version

    def _check_missing(self, fingerprint: str) -> None:
        """Read an object that a list, which may be old, does not have; release its trait if it was removed."""
        found = self._store.read(HELD_KIND, fingerprint)
        if found is not None:
            self._stored[fingerprint] = found.version
        else:
            self._apply_missing(fingerprint)

    def _apply_missing(self, fingerprint: str) -> None:
        """Release a trait whose object is missing, unless the object may have been lost in a return."""
        was_lost = self._may_be_lost(fingerprint)
        del self._stored[fingerprint]
        if was_lost:
            log_event(Event.OBJECT_LOST, "warning", kind=HELD_KIND, name=fingerprint)
        else:
            self._quarantine.record_answer(fingerprint)

    def _may_be_lost(self, fingerprint: str) -> bool:
        """Return whether the object service has returned since the object was last known to be there."""
        return find_era(self._stored[fingerprint]) < self._store.get_era().number

    def schedule_removal(self, fingerprint: str) -> None:
        """Schedule the removal of a trait that this daemon has cleared."""
        self._pending_removals.add(fingerprint)

    def untrack_released(self, *, acts_for_peers: bool) -> None:
        """Stop tracking stored traits that are no longer accused.

        Parameters
        ==========

        acts_for_peers : whether to remove also traits that other daemons cleared.
        """
        for fingerprint in set(self._stored) - set(self._quarantine.list_accused()):
            del self._stored[fingerprint]
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
            if (fingerprint not in self._stored or self._may_be_lost(fingerprint))
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
            self._stored[strongest] = version
            stored = _read_record(found)
            if stored is not None:
                self._quarantine.merge(stored)
        elif strongest in self._stored:
            self._apply_missing(strongest)
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
        written = self._find_written(outcome, fingerprint, value)
        if written is None:
            return TrialOutcome(False, "another daemon wrote the trial first")
        self._stored[fingerprint] = written
        for trait in self._quarantine.list_tested(traits):
            self._quarantine.record_trial(trait, self._quarantine.get_record(trait).trials + 1)
        return TrialOutcome(True)

    def _find_written(self, outcome: WriteOutcome, fingerprint: str, value: Any) -> int | None:
        """Return the version of a write, or None if it did not take effect; an unknown outcome is read."""
        if isinstance(outcome, Written):
            return outcome.version
        if isinstance(outcome, Unknown):
            found = self._store.read(HELD_KIND, fingerprint)
            if found is not None and found.value == value:
                return found.version
        return None

    def _create(self, fingerprint: str) -> None:
        trials = self._quarantine.get_record(fingerprint).trials
        value = self._build_value(fingerprint, trials)
        outcome = self._store.create(HELD_KIND, fingerprint, value)
        if isinstance(outcome, Written):
            self._stored[fingerprint] = outcome.version
        elif isinstance(outcome, Conflict):
            self._merge_stored(fingerprint, value)

    def _merge_stored(self, fingerprint: str, value: dict[str, Any]) -> None:
        """Merge an object that is there already; replace it if trials are missing, as a return may have lost them."""
        found = self._store.read(HELD_KIND, fingerprint)
        if found is None:
            return
        version: int | None = found.version
        stored = _read_record(found)
        if stored is not None:
            self._quarantine.merge(stored)
        if stored is None or stored.trials < value["trials"]:
            outcome = self._store.update(HELD_KIND, fingerprint, value, found.version)
            version = outcome.version if isinstance(outcome, Written) else None
        if version is not None:
            self._stored[fingerprint] = version

    def _remove(self, fingerprint: str) -> None:
        found = self._store.read(HELD_KIND, fingerprint)
        if found is not None:
            self._store.delete(HELD_KIND, fingerprint, found.version)
        self._stored.pop(fingerprint, None)
        self._pending_removals.discard(fingerprint)

    def _build_value(self, fingerprint: str, trials: int) -> dict[str, Any]:
        record = self._quarantine.get_record(fingerprint)
        counted = [one for one in record.ends if one not in record.excused]
        return {"ends": counted, "trials": trials, "by": self._process}


def _read_record(item: StoredObject) -> SuspectRecord | None:
    """Return the record in an object, or None if the object is malformed."""
    try:
        ends = [str(one) for one in item.value["ends"]]
        trials = int(item.value["trials"])
        if not 0 <= trials <= MAX_STORED_TRIALS:
            raise ValueError("the number of trials is out of range")
        return SuspectRecord(item.name, tuple(ends), (), trials)
    except (TypeError, KeyError, ValueError, OverflowError) as error:
        log_event(
            Event.OBJECT_UNREADABLE,
            "warning",
            kind=item.kind,
            name=item.name,
            detail=repr(error),
        )
        return None
