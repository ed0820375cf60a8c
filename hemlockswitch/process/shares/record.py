"""The anchor's record of one zone: which daemon was granted how much, and when it comes back."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field, replace
from typing import Any

from hemlockswitch.connection.messages import register_message
from hemlockswitch.core.clock import Clock
from hemlockswitch.process.shares.terms import DRIFT, LOAN_MS, SLOT_LOAN_MS, TERM_MS, Granted
from hemlockswitch.process.shares.units import NOTHING, Units, find_part

RETURN_RATES_MS = TERM_MS * DRIFT
RETURN_SLOTS_MS = (TERM_MS + SLOT_LOAN_MS) * DRIFT
GONE_RATES_MS = LOAN_MS * DRIFT
GONE_SLOTS_MS = SLOT_LOAN_MS * DRIFT
PARTS = ("grants", "floors", "lendable")

Counts = dict[str, list[int]]


@register_message("renew-shares")
@dataclass(frozen=True)
class RenewShares:
    """A daemon's word that it lives, and what it keeps of its grants; it uses no more already.

    Parameters
    ==========

    member, incarnation : the daemon's name, and an identifier of its process.
    counter : rises with each word of the process.
    kept : by account, units of requests, tokens and slots.
    floors : what of it the process goes on with when its term ends without a word.
    lendable : what of it may be lent to others from now on.
    leaving : the daemon gives everything back and wants nothing.
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
    """What the anchor grants to a daemon, written before this is sent."""

    counter: int
    grants: Counts
    floors: Counts
    lendable: Counts


@dataclass(frozen=True)
class Entry:
    """One process's line in the record.

    Parameters
    ==========

    replaced : another process of the same name has begun, so this one has ended.
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
    """When an entry was first seen with its counter, and when its process was known gone."""

    counter: int
    since_ms: float
    gone_ms: float | None = None


@dataclass
class EntryWatch:
    """How long entries have been without a new word, by this process's own clock.

    Parameters
    ==========

    clock : only differences of its readings are used.
    is_gone : whether the platform says that the VM of this name is no more.
    """

    clock: Clock
    is_gone: Callable[[str], bool]
    _seen: dict[str, _Sighting] = field(default_factory=dict)

    def observe(self, entries: Iterable[Entry]) -> None:
        """Note the counters read from the platform just now."""
        now_ms = self.clock.now_ms()
        by_key = {entry.key: entry for entry in entries}
        for key in set(self._seen) - set(by_key):
            del self._seen[key]
        for key, entry in by_key.items():
            known = self._seen.get(key)
            if known is None or known.counter != entry.counter:
                self._seen[key] = _Sighting(entry.counter, now_ms)
        self._note_gone(by_key, now_ms)

    def is_expired(self, entry: Entry) -> bool:
        """Return whether the entry's term is over."""
        return self._measure_age_ms(entry) >= RETURN_RATES_MS

    def count_bound(self, entry: Entry, account: str) -> Units:
        """Return what of an entry's grant nobody else may have yet.

        Explanation
        ===========

        After the term the floor stays with its holder, which may be cut off from the platform
        and go on with it; slots wait for the requests that still use them. Of a process that
        is known to have ended only what it may have lent stays, until such loans are over.
        """
        units = entry.held.grants.get(account, NOTHING)
        if self._is_ended(entry):
            lent = units.limit(entry.held.lendable.get(account, NOTHING))
            gone_for_ms = self._measure_gone_ms(entry)
            rates = NOTHING if gone_for_ms >= GONE_RATES_MS else lent
            return Units(rates.requests, rates.tokens, lent.slots)
        if not self.is_expired(entry):
            return units
        floor = entry.held.floors.get(account, NOTHING)
        slots = floor if self._measure_age_ms(entry) >= RETURN_SLOTS_MS else units
        return Units(floor.requests, floor.tokens, slots.slots)

    def is_over(self, entry: Entry) -> bool:
        """Return whether nothing of the entry is bound any more."""
        return self._is_ended(entry) and self._measure_gone_ms(entry) >= GONE_SLOTS_MS

    def _is_ended(self, entry: Entry) -> bool:
        sighting = self._seen.get(entry.key)
        return entry.replaced or (sighting is not None and sighting.gone_ms is not None)

    def _note_gone(self, entries: dict[str, Entry], now_ms: float) -> None:
        for key, entry in entries.items():
            sighting = self._seen[key]
            ended = entry.replaced or (self.is_expired(entry) and self.is_gone(entry.name))
            if sighting.gone_ms is None and ended:
                sighting.gone_ms = now_ms

    def _measure_age_ms(self, entry: Entry) -> float:
        sighting = self._seen.get(entry.key)
        if sighting is None or sighting.counter != entry.counter:
            return 0.0
        return self.clock.now_ms() - sighting.since_ms

    def _measure_gone_ms(self, entry: Entry) -> float:
        sighting = self._seen.get(entry.key)
        if sighting is None or sighting.gone_ms is None:
            return 0.0
        return self.clock.now_ms() - sighting.gone_ms


@dataclass
class ShareRecord:
    """The value of a zone's anchor object: its entries by key."""

    entries: dict[str, Entry] = field(default_factory=dict)

    @classmethod
    def from_value(cls, value: Any) -> "ShareRecord":
        """Read the object's value."""
        record = cls()
        for key, stored in value["entries"].items():
            name, incarnation = key.split("/")
            held = Granted(*(decode_grants(stored[part]) for part in PARTS))
            record.entries[key] = Entry(
                name, incarnation, stored["counter"], held, stored["replaced"]
            )
        return record

    def to_value(self) -> dict[str, Any]:
        """Return the object's value, ready for JSON."""
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

    def drop_over(self, watch: EntryWatch) -> None:
        """Remove the entries of which all has returned."""
        self.entries = {
            key: entry for key, entry in self.entries.items() if not watch.is_over(entry)
        }

    def renew(
        self, ask: RenewShares, totals: dict[str, Units], names: set[str], watch: EntryWatch
    ) -> SharesRenewed | None:
        """Write one daemon's word into the record.

        Explanation
        ===========

        First the entry falls to what the daemon kept; then it may rise to its even part, from
        what is bound by nobody. So units leave one daemon before another gets them.

        Parameters
        ==========

        totals : by account, the units of this zone.
        names : the daemons that divide them.

        Returns
        =======

        SharesRenewed or None : None for a word older than the one recorded.
        """
        key = f"{ask.member}/{ask.incarnation}"
        known = self.entries.get(key)
        if known is not None and (known.replaced or known.counter > ask.counter):
            return None
        if known is not None and known.counter == ask.counter:
            return _build_reply(known)
        if known is None:
            self._replace_earlier(ask.member)
        held = Granted(_lower(known, ask), {}, {})
        entry = Entry(ask.member, ask.incarnation, ask.counter, held)
        self.entries[key] = entry
        if ask.leaving and not any(units != NOTHING for units in held.grants.values()):
            del self.entries[key]
        if not ask.leaving:
            self._raise_to_part(entry, totals, names, watch)
        _set_rest(held, ask)
        return _build_reply(entry)

    def _replace_earlier(self, name: str) -> None:
        """Note that the earlier processes of a name have ended, since a name is one VM's."""
        for key, entry in self.entries.items():
            if entry.name == name:
                self.entries[key] = replace(entry, replaced=True)

    def count_free(self, account: str, total: Units, watch: EntryWatch) -> Units:
        """Return what of `total` is bound by no entry."""
        bound = NOTHING
        for entry in self.entries.values():
            bound += watch.count_bound(entry, account)
        return (total - bound).raise_to(NOTHING)

    def _raise_to_part(
        self, entry: Entry, totals: dict[str, Units], names: set[str], watch: EntryWatch
    ) -> None:
        for account, total in totals.items():
            part = find_part(total, account, entry.name, sorted(names))
            has = entry.held.grants.get(account, NOTHING)
            wanted = (part - has).raise_to(NOTHING)
            entry.held.grants[account] = has + wanted.limit(self.count_free(account, total, watch))


def _lower(known: Entry | None, ask: RenewShares) -> dict[str, Units]:
    if known is None:
        return {}
    kept = decode_grants(ask.kept)
    return {
        account: units.limit(kept[account])
        for account, units in known.held.grants.items()
        if account in kept
    }


def _set_rest(held: Granted, ask: RenewShares) -> None:
    """Set what follows from the grants; a daemon that leaves does not get more."""
    floors, lendable = decode_grants(ask.floors), decode_grants(ask.lendable)
    for account, units in held.grants.items():
        least = NOTHING if ask.leaving else units.halve()
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
