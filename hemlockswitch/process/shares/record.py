"""The anchor's record of one zone: the grant of each daemon, and when its units become free again."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field, replace
from typing import Any

from hemlockswitch.connection.messages import register_message
from hemlockswitch.core.clock import Clock
from hemlockswitch.process.shares.terms import DRIFT, LOAN_MS, SLOT_LOAN_MS, TERM_MS, Granted
from hemlockswitch.process.shares.units import NOTHING, Units, find_part

RETURN_RATES_MS = TERM_MS * DRIFT
RETURN_SLOTS_MS = (TERM_MS + SLOT_LOAN_MS) * DRIFT
ENDED_RATES_RETENTION_MS = LOAN_MS * DRIFT
ENDED_SLOTS_RETENTION_MS = SLOT_LOAN_MS * DRIFT
PARTS = ("grants", "floors", "lendable")

Counts = dict[str, list[int]]


@register_message("renew-shares")
@dataclass(frozen=True)
class RenewShares:
    """A daemon's renewal with the part of its grants that it keeps; it has already stopped using more.

    Parameters
    ==========

    member, incarnation : the daemon's name, and an identifier of its process.
    counter : increases with each renewal of the process.
    kept : units of requests, tokens, and slots by account.
    floors : part of `kept` that the process continues to use if its term expires without a renewal.
    lendable : part of `kept` that may be lent from now on.
    leaving : whether the daemon returns all units and requests none.
    """

    member: str
    incarnation: str
    counter: int
    kept: Counts
    floors: Counts
    lendable: Counts
    leaving: bool


@register_message("shares-renewed")
@dataclass(frozen=True)
class SharesRenewed:
    """The grants of a daemon, stored by the anchor before this message is sent."""

    counter: int
    grants: Counts
    floors: Counts
    lendable: Counts


@dataclass(frozen=True)
class Entry:
    """The entry of one process in the record.

    Parameters
    ==========

    replaced : whether a later process of the same name has started, so that this one has ended.
    """

    name: str
    incarnation: str
    counter: int
    held: Granted
    replaced: bool = False

    @property
    def key(self) -> str:
        """The entry's key in the record."""
        return f"{self.name}/{self.incarnation}"


@dataclass
class _Sighting:
    """When an entry was first read with its counter, and when the end of its process was detected."""

    counter: int
    since_ms: float
    ended_ms: float | None = None


@dataclass
class EntryWatch:
    """Measures the time since the last renewal of each entry on this process's clock.

    Parameters
    ==========

    clock : time source; only differences of its readings are used.
    is_vm_removed : returns whether the platform has removed the VM of a name.
    """

    clock: Clock
    is_vm_removed: Callable[[str], bool]
    _seen: dict[str, _Sighting] = field(default_factory=dict)

    def observe(self, entries: Iterable[Entry]) -> None:
        """Record the counters of entries that were just read from the platform."""
        now_ms = self.clock.now_ms()
        by_key = {entry.key: entry for entry in entries}
        for key in set(self._seen) - set(by_key):
            del self._seen[key]
        for key, entry in by_key.items():
            sighting = self._seen.get(key)
            if sighting is None or sighting.counter != entry.counter:
                self._seen[key] = _Sighting(entry.counter, now_ms)
        self._record_ends(by_key, now_ms)

    def is_expired(self, entry: Entry) -> bool:
        """Return whether the entry's term has expired."""
        return self._measure_age_ms(entry) >= RETURN_RATES_MS

    def count_reserved(self, entry: Entry, account: str) -> Units:
        """Return the part of an entry's grant that must not be granted to other daemons yet.

        Explanation
        ===========

        After the term, the floor stays reserved for its holder, which may be disconnected from the platform
        and still use it; slots stay reserved until the requests that may use them have ended. For a process
        that has ended, only the part that it may have lent stays reserved, until such loans have expired.
        """
        units = entry.held.grants.get(account, NOTHING)
        if self._is_ended(entry):
            lent = units.limit(entry.held.lendable.get(account, NOTHING))
            ended_for_ms = self._measure_ended_ms(entry)
            rates = NOTHING if ended_for_ms >= ENDED_RATES_RETENTION_MS else lent
            return Units(rates.requests, rates.tokens, lent.slots)
        if not self.is_expired(entry):
            return units
        floor = entry.held.floors.get(account, NOTHING)
        slots = floor if self._measure_age_ms(entry) >= RETURN_SLOTS_MS else units
        return Units(floor.requests, floor.tokens, slots.slots)

    def is_unreserved(self, entry: Entry) -> bool:
        """Return whether no part of the entry is reserved any longer."""
        return self._is_ended(entry) and self._measure_ended_ms(entry) >= ENDED_SLOTS_RETENTION_MS

    def _is_ended(self, entry: Entry) -> bool:
        sighting = self._seen.get(entry.key)
        return entry.replaced or (sighting is not None and sighting.ended_ms is not None)

    def _record_ends(self, entries: dict[str, Entry], now_ms: float) -> None:
        for key, entry in entries.items():
            sighting = self._seen[key]
            ended = entry.replaced or (self.is_expired(entry) and self.is_vm_removed(entry.name))
            if sighting.ended_ms is None and ended:
                sighting.ended_ms = now_ms

    def _measure_age_ms(self, entry: Entry) -> float:
        sighting = self._seen.get(entry.key)
        if sighting is None or sighting.counter != entry.counter:
            return 0.0
        return self.clock.now_ms() - sighting.since_ms

    def _measure_ended_ms(self, entry: Entry) -> float:
        sighting = self._seen.get(entry.key)
        if sighting is None or sighting.ended_ms is None:
            return 0.0
        return self.clock.now_ms() - sighting.ended_ms


@dataclass
class ShareRecord:
    """The value of a zone's anchor object: its entries by key."""

    entries: dict[str, Entry] = field(default_factory=dict)

    @classmethod
    def from_value(cls, value: Any) -> "ShareRecord":
        """Decode the object's value."""
        record = cls()
        for key, stored in value["entries"].items():
            name, incarnation = key.split("/")
            held = Granted(*(decode_grants(stored[part]) for part in PARTS))
            record.entries[key] = Entry(
                name, incarnation, stored["counter"], held, stored["replaced"]
            )
        return record

    def to_value(self) -> dict[str, Any]:
        """Encode the record as the object's JSON value."""
        return {
            "entries": {
                key: {
                    "counter": entry.counter,
                    "replaced": entry.replaced,
                    **{part: encode_grants(getattr(entry.held, part)) for part in PARTS},
                }
                for key, entry in self.entries.items()
            }
        }

    def remove_unreserved(self, watch: EntryWatch) -> None:
        """Remove the entries without reserved units."""
        self.entries = {
            key: entry for key, entry in self.entries.items() if not watch.is_unreserved(entry)
        }

    def renew(
        self, request: RenewShares, totals: dict[str, Units], names: set[str], watch: EntryWatch
    ) -> SharesRenewed | None:
        """Apply one daemon's renewal to the record.

        Explanation
        ===========

        The entry is first reduced to what the daemon keeps, and then raised towards its even part from
        units that no entry reserves. Units are therefore taken from one daemon before another receives them.

        Parameters
        ==========

        totals : the zone's units by account.
        names : the daemons that divide them.

        Returns
        =======

        SharesRenewed or None : None for a renewal older than the recorded one.
        """
        key = f"{request.member}/{request.incarnation}"
        current = self.entries.get(key)
        if current is not None and (current.replaced or current.counter > request.counter):
            return None
        if current is not None and current.counter == request.counter:
            return _build_reply(current)
        if current is None:
            self._replace_earlier(request.member)
        held = Granted(_reduce_to_retained(current, request), {}, {})
        entry = Entry(request.member, request.incarnation, request.counter, held)
        self.entries[key] = entry
        if request.leaving and not any(units != NOTHING for units in held.grants.values()):
            del self.entries[key]
        if not request.leaving:
            self._raise_to_part(entry, totals, names, watch)
        _set_floors_and_lendable(held, request)
        return _build_reply(entry)

    def _replace_earlier(self, name: str) -> None:
        """Mark earlier processes of a name as replaced: a name belongs to one VM, so they have ended."""
        for key, entry in self.entries.items():
            if entry.name == name:
                self.entries[key] = replace(entry, replaced=True)

    def count_free(self, account: str, total: Units, watch: EntryWatch) -> Units:
        """Return the part of `total` that no entry reserves."""
        bound = NOTHING
        for entry in self.entries.values():
            bound += watch.count_reserved(entry, account)
        return (total - bound).raise_to(NOTHING)

    def _raise_to_part(
        self, entry: Entry, totals: dict[str, Units], names: set[str], watch: EntryWatch
    ) -> None:
        for account, total in totals.items():
            part = find_part(total, account, entry.name, sorted(names))
            has = entry.held.grants.get(account, NOTHING)
            wanted = (part - has).raise_to(NOTHING)
            entry.held.grants[account] = has + wanted.limit(self.count_free(account, total, watch))


def _reduce_to_retained(current: Entry | None, request: RenewShares) -> dict[str, Units]:
    if current is None:
        return {}
    kept = decode_grants(request.kept)
    return {
        account: units.limit(kept[account])
        for account, units in current.held.grants.items()
        if account in kept
    }


def _set_floors_and_lendable(held: Granted, request: RenewShares) -> None:
    """Set the floors and lendable parts for the grants; a leaving daemon's floors are not raised."""
    floors, lendable = decode_grants(request.floors), decode_grants(request.lendable)
    for account, units in held.grants.items():
        least = NOTHING if request.leaving else units.halve()
        held.floors[account] = floors.get(account, NOTHING).raise_to(least)
        held.lendable[account] = lendable.get(account, NOTHING).limit(units)


def _build_reply(entry: Entry) -> SharesRenewed:
    parts = (encode_grants(getattr(entry.held, part)) for part in PARTS)
    return SharesRenewed(entry.counter, *parts)


def encode_grants(grants: dict[str, Units]) -> Counts:
    """Return grants as lists of counts."""
    return {account: units.list_counts() for account, units in grants.items()}


def decode_grants(counts: Counts) -> dict[str, Units]:
    """Return grants from lists of counts."""
    return {account: Units(*listed) for account, listed in counts.items()}
