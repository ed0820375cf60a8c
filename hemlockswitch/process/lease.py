"""The lease of an availability zone, which permits one process at a time to give orders.

The lease is the platform object ``leases/<zone>``. Every write of it is conditional on the version
that the writer last read, so the platform decides between two writers. The version that a write
returns is the fencing number of the orders given under it.
"""

import random
from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Any

from hemlockswitch.connection.store_order import StoreEra, find_era
from hemlockswitch.connection.stored_objects import (
    ConditionalStore,
    StoredObject,
    WriteOutcome,
    Written,
)
from hemlockswitch.core.clock import Clock
from hemlockswitch.core.errors import ErrorKind, HemlockError, PlatformError
from hemlockswitch.core.events import Event
from hemlockswitch.core.identifiers import make_identifier
from hemlockswitch.core.logs import log_event

LEASE_KIND = "leases"
MAX_RECORDED_WRITES = 8
RECENT_HOLDERS = 3
"""Earlier holders recorded in the lease: more than can hold it in succession within a term."""


@dataclass(frozen=True)
class LeaseTimes:
    """The durations of the lease protocol, equal for all candidates.

    Parameters
    ==========

    term_ms : how long a write of the lease is valid.
    renew_ms : time between two renewals.
    stop_before_ms : a holder gives no orders in this last part of the term. It is longer than an
        order's timeout, so that every order ends before the term.
    margin_ms : how long a successor waits beyond the term, to allow for clocks that run at
        different rates.
    look_ms : average time between two polls of the lease, over all candidates of a zone.
    """

    term_ms: int = 10_000
    renew_ms: int = 3_000
    stop_before_ms: int = 2_500
    margin_ms: int = 1_000
    look_ms: int = 2_500


class LeaseError(HemlockError):
    """The process does not hold the lease, so it may not give orders."""


@dataclass(frozen=True)
class _Held:
    version: int
    ends_ms: float


@dataclass(frozen=True)
class _SentWrite:
    """A write of the lease: when it was sent, and in which era of the object service."""

    sent_ms: float
    era: int


@dataclass(frozen=True)
class _ObservedVersion:
    version: int
    since_ms: float
    term_ms: float


class Lease:
    """This process's role in its zone's lease, as a candidate or as the holder.

    Explanation
    ===========

    A holder's term starts at its clock reading before the write was sent; a successor counts from
    its reading after it first read the version. So on two clocks of about the same rate the
    successor's wait ends after the holder's term. A process that held the lease recently, before
    another holder, also waits for a term, whether or not the lease was released: its orders before
    and after the other holder's would look like those of two concurrent holders. After a lost
    answer, the process finds its write by the identifier in the lease's value; the term then
    counts from the time that this write was sent.

    The object service may come back from a copy in which the lease is older than its holder's last
    write, or missing. In a new era a candidate therefore waits for a full term since it read such a
    lease; by then every holder of an earlier era has stopped. A holder whose term had not ended when
    it got the first answer of the era writes the lease again at once: no other process can have held
    it. The lease names the era in which it was written, which tells a process that has just started
    whether it must wait.

    Parameters
    ==========

    platform : the object service that stores the lease.
    clock : provides monotonic time.
    zone : the availability zone.
    holder : name of this process. Candidates compare it with the recent holders that the lease
        records.
    times : the durations of the protocol.
    count_candidates : returns the number of candidates in the zone; their polls are spread out
        accordingly.
    get_address : returns the address that this process has bound, or an empty string. A candidate
        that finds its own address in the lease takes the lease immediately: the address could not
        be bound if the process that wrote the lease were still running.
    get_era : returns the era of the object service.
    """

    def __init__(
        self,
        platform: ConditionalStore,
        clock: Clock,
        zone: str,
        holder: str,
        times: LeaseTimes | None = None,
        count_candidates: Callable[[], int] = lambda: 2,
        get_address: Callable[[], str] = lambda: "",
        get_era: Callable[[], StoreEra] = StoreEra,
    ) -> None:
        self._platform = platform
        self._clock = clock
        self._zone = zone
        self._holder = holder
        self._times = times or LeaseTimes()
        self._count_candidates = count_candidates
        self._get_address = get_address
        self._get_era = get_era
        self._held: _Held | None = None
        self._observed: _ObservedVersion | None = None
        self._sent: dict[str, _SentWrite] = {}
        self._recent_holders: list[str] = []
        self._lapse_logged = False

    @property
    def is_held(self) -> bool:
        """Whether this process may give orders now."""
        return self._held is not None and self._left_ms(self._held) > 0

    @property
    def is_renewable(self) -> bool:
        """Whether this process has held the lease and does not know of another holder since."""
        return self._held is not None

    def get_fencing(self) -> int:
        """Return the fencing number, after checking the remaining time.

        Raises
        ======

        LeaseError : this process does not hold the lease, or the lease is about to end.
        """
        if self._held is None:
            raise LeaseError(
                ErrorKind.STALE_FENCING,
                f"this process does not hold the lease of zone {self._zone}",
            )
        if self._left_ms(self._held) <= 0:
            self._log_lapse(self._held)
            raise LeaseError(ErrorKind.STALE_FENCING, f"the lease of zone {self._zone} has lapsed")
        return self._held.version

    def describe(self) -> dict[str, object]:
        """Return the state for the status page."""
        return {
            "held": self.is_held,
            "fencing": self._held.version if self._held else 0,
            "left_ms": round(self._left_ms(self._held)) if self._held else 0,
        }

    def run_step(self) -> float:
        """Renew or poll the lease, and return the time in milliseconds until the next call."""
        try:
            if self._held is not None:
                return self._renew(self._held)
            return self._poll()
        except PlatformError as error:
            self._log_unreachable(error)
            return self._times.renew_ms / 4

    def step_down(self, highest: int) -> None:
        """Stop giving orders if a backend server has seen a higher fencing number, `highest`."""
        if self._held is not None and highest > self._held.version:
            self._lose(highest)

    def release(self) -> None:
        """Release the lease, so that a successor need not wait for the end of the term."""
        held, self._held = self._held, None
        self._sent.clear()
        if held is None:
            return
        recent = [self._holder, *self._recent_holders][:RECENT_HOLDERS]
        value = {
            "holder": "",
            "write": "",
            "term_ms": 0,
            "recent": recent,
            "era": self._get_era().number,
        }
        try:
            outcome = self._platform.update(LEASE_KIND, self._zone, value, held.version)
        except PlatformError as error:
            self._log_unreachable(error)
            return
        if isinstance(outcome, Written):
            log_event(Event.LEASE_RELEASED, zone=self._zone, fencing=held.version)

    def _left_ms(self, held: _Held) -> float:
        return held.ends_ms - self._times.stop_before_ms - self._clock.now_ms()

    def _renew(self, held: _Held) -> float:
        if find_era(held.version) < self._get_era().number:
            return self._hold_in_new_era(held)
        self._write(
            lambda value: self._platform.update(LEASE_KIND, self._zone, value, held.version)
        )
        return self._times.renew_ms

    def _hold_in_new_era(self, held: _Held) -> float:
        """Write the lease again, or become a candidate if another process may have held it since.

        Nobody else has held it if this process got an answer of the era before its term ended.
        """
        found = self._read()
        sent = self._find_own_write(found) if found is not None else None
        if found is not None and sent is not None:
            self._hold(found.version, sent.sent_ms)
            return self._times.renew_ms
        was_held = self._get_era().observed_ms <= held.ends_ms
        if was_held and found is None:
            return self._create()
        if was_held and found is not None and not self._is_written_now(found):
            return self._take(found)
        self._lose(found.version if found is not None else 0)
        return self._times.renew_ms / 4

    def _is_written_now(self, found: StoredObject) -> bool:
        """Return whether the lease was written in the present era of the object service."""
        return bool(found.value.get("era", 0) == self._get_era().number)

    def _find_own_write(self, found: StoredObject) -> _SentWrite | None:
        """Return the write of this process that the lease shows; one of an earlier era has come back."""
        sent = self._sent.get(found.value["write"])
        return sent if sent is not None and sent.era == find_era(found.version) else None

    def _create(self) -> float:
        self._write(lambda value: self._platform.create(LEASE_KIND, self._zone, value))
        return self._times.renew_ms

    def _poll(self) -> float:
        found = self._read()
        if found is None:
            left_ms = self._measure_era_wait_ms()
            return min(left_ms, self._times.renew_ms) if left_ms > 0 else self._create()
        if self._is_written_now(found) and self._is_predecessor(found):
            return self._take(found)
        now_ms = self._clock.now_ms()
        observed = self._observed
        if observed is None or observed.version != found.version:
            self._observed = _ObservedVersion(found.version, now_ms, self._find_term_ms(found))
            return self._plan_next_poll(found, observed)
        left_ms = observed.since_ms + observed.term_ms + self._times.margin_ms - now_ms
        if left_ms > 0:
            return min(left_ms, self._times.renew_ms)
        return self._take(found)

    def _read(self) -> StoredObject | None:
        """Read the lease; an unreadable one counts as that of an unknown holder that was just written."""
        found = self._platform.read(LEASE_KIND, self._zone)
        if found is None or _is_lease(found.value):
            return found
        log_event(
            Event.OBJECT_UNREADABLE,
            "warning",
            kind=LEASE_KIND,
            name=self._zone,
            detail=f"expected a lease, got {type(found.value).__name__}",
        )
        value = {
            "holder": "",
            "write": "",
            "term_ms": self._times.term_ms,
            "era": self._get_era().number,
        }
        return replace(found, value=value)

    def _measure_era_wait_ms(self) -> float:
        """Return how long holders of an earlier era may still act, if the lease is missing.

        In a service that has never come back from a copy it was never written.
        """
        era = self._get_era()
        if not era.number:
            return 0.0
        term_ms = self._times.term_ms + self._times.margin_ms
        return era.observed_ms + term_ms - self._clock.now_ms()

    def _find_term_ms(self, found: StoredObject) -> float:
        """Return how long this process must wait after it first read this version.

        It was read in the present era. If it was written in an earlier one, a later write of the lease may be
        lost, or a holder of the present era may have been overruled by a late write; either holder acts for
        a term at most.
        """
        _, *before = _list_holders(found)
        if self._holder in before or not self._is_written_now(found):
            return max(float(found.value["term_ms"]), self._times.term_ms)
        return float(found.value["term_ms"])

    def _is_predecessor(self, found: StoredObject) -> bool:
        """Return whether the lease was written by an earlier process with this one's address."""
        address = self._get_address()
        return bool(address) and found.value.get("address") == address

    def _plan_next_poll(self, found: StoredObject, before: _ObservedVersion | None) -> float:
        """Take a lease without a term, else return the time until the next poll.

        A change within two renewals of the previous poll shows that the holder is running, so the
        next poll is later.
        """
        if self._find_term_ms(found) == 0:
            return self._take(found)
        if not self._is_written_now(found):
            return self._times.renew_ms
        two_renewals_ms = self._times.renew_ms * 2
        now_ms = self._clock.now_ms()
        if before is None or now_ms - before.since_ms > two_renewals_ms:
            return self._times.renew_ms * 1.5
        remaining_ms = self._times.look_ms * max(1, self._count_candidates())
        return remaining_ms * random.uniform(0.5, 1.5)

    def _take(self, found: StoredObject) -> float:
        self._recent_holders = [
            name for name in _list_holders(found) if name and name != self._holder
        ]
        self._write(
            lambda value: self._platform.update(LEASE_KIND, self._zone, value, found.version)
        )
        return self._times.renew_ms

    def _write(self, send: Callable[[dict[str, Any]], WriteOutcome]) -> None:
        """Write the lease once and determine the outcome."""
        identifier = make_identifier("lease")
        sent_ms = self._clock.now_ms()
        era = self._get_era().number
        self._record_write(identifier, _SentWrite(sent_ms, era))
        value: dict[str, Any] = {
            "holder": self._holder,
            "write": identifier,
            "term_ms": self._times.term_ms,
            "recent": self._recent_holders[:RECENT_HOLDERS],
            "era": era,
        }
        if address := self._get_address():
            value["address"] = address
        outcome = send(value)
        if isinstance(outcome, Written) and find_era(outcome.version) == era:
            self._hold(outcome.version, sent_ms)
        else:
            self._read_back(outcome)

    def _read_back(self, outcome: WriteOutcome) -> None:
        """After a lost answer or a conflict, read whether this process holds the lease."""
        found = self._read()
        if found is None:
            return
        sent = self._find_own_write(found)
        is_old_read = self._held is not None and found.version < self._held.version
        if sent is not None and not is_old_read:
            log_event(Event.LEASE_READ_BACK, zone=self._zone, fencing=found.version)
            self._hold(found.version, sent.sent_ms)
            return
        log_event(Event.LEASE_NOT_WRITTEN, zone=self._zone, outcome=repr(outcome))
        if self._held is not None and self._is_overruled(found, self._held):
            self._lose(found.version)

    @staticmethod
    def _is_overruled(found: StoredObject, held: _Held) -> bool:
        """Return whether a version of the lease shows that another process holds it.

        One of a later era may be an earlier write that came back.
        """
        return found.version > held.version and find_era(found.version) == find_era(held.version)

    def _record_write(self, identifier: str, sent: _SentWrite) -> None:
        self._sent[identifier] = sent
        while len(self._sent) > MAX_RECORDED_WRITES:
            del self._sent[next(iter(self._sent))]

    def _hold(self, version: int, sent_ms: float) -> None:
        if self._held is None:
            log_event(Event.LEASE_TAKEN, zone=self._zone, fencing=version)
        self._held = _Held(version, sent_ms + self._times.term_ms)
        self._lapse_logged = False

    def _lose(self, highest: int) -> None:
        log_event(Event.LEASE_LOST, "warning", zone=self._zone, highest=highest)
        self._held = None
        self._observed = None
        self._sent.clear()

    def _log_unreachable(self, error: PlatformError) -> None:
        log_event(Event.LEASE_UNREACHABLE, "warning", zone=self._zone, detail=error.detail)

    def _log_lapse(self, held: _Held) -> None:
        if not self._lapse_logged:
            log_event(Event.LEASE_LAPSED, "warning", zone=self._zone, fencing=held.version)
            self._lapse_logged = True


def _list_holders(found: StoredObject) -> list[str]:
    """Return the current or last holder and the recorded earlier ones, the latest first."""
    recent = [str(name) for name in found.value.get("recent", ())]
    holder = str(found.value["holder"])
    return [holder, *recent] if holder else recent or [""]


def _is_lease(value: Any) -> bool:
    """Return whether a stored value has the fields of a lease."""
    if not isinstance(value, dict):
        return False
    term_ms = value.get("term_ms")
    return (
        isinstance(value.get("holder"), str)
        and isinstance(value.get("write"), str)
        and isinstance(term_ms, int | float)
        and 0 <= term_ms < float("inf")
        and isinstance(value.get("recent", []), list | tuple)
        and isinstance(value.get("era", 0), int)
    )
