"""What one daemon holds of each account's limits: its grant, what it lent, what it borrowed."""

import itertools
import secrets
from collections import defaultdict
from collections.abc import Callable
from dataclasses import replace

from hemlockswitch.core.clock import Clock
from hemlockswitch.process.shares.terms import (
    DRIFT,
    LOAN_MS,
    REQUEST_MS,
    SHORTEST_LOAN_MS,
    SLOT_LOAN_MS,
    Granted,
    Loan,
    sum_loans,
)
from hemlockswitch.process.shares.units import NOTHING, Resource, Units

NUMBER_BITS = 48
ASKED_MS = 60_000.0
FOREVER_MS = float("inf")


class ShareBook:
    """The daemon's own record; it talks to nobody.

    Explanation
    ===========

    *Own* is the grant of the anchor while its term lasts, and the floor after it: the part
    that the anchor keeps for this process until its VM is known to be gone. *Held* is what may be
    admitted: own, less what was lent, with what was borrowed. Every end is read from the clock
    at each look, so that a process that was paused finds its grant and its loans ended before it
    admits.

    Parameters
    ==========

    clock : the process's clock.
    on_change : called with the account after each change of what is held.
    on_short : called when the anchor should be told that more is lent.
    """

    def __init__(
        self,
        clock: Clock,
        on_change: Callable[[str], None] = lambda account: None,
        on_short: Callable[[], None] = lambda: None,
    ) -> None:
        self._clock = clock
        self._on_change = on_change
        self._on_short = on_short
        self._granted = Granted({}, {}, {})
        self._asked_ms: dict[str, float] = {}
        self._valid_until_ms = 0.0
        self._given: dict[int, Loan] = {}
        self._taken: dict[tuple[str, int], Loan] = {}
        self._held: dict[str, tuple[Units, float]] = {}
        # Numbers of an earlier process at the same address must not match.
        self._numbers = itertools.count(secrets.randbits(NUMBER_BITS))

    @property
    def in_term(self) -> bool:
        """Whether the grant's term still lasts."""
        return self._clock.now_ms() < self._valid_until_ms

    def list_accounts(self) -> list[str]:
        """Return the accounts of which something was granted or borrowed."""
        taken = {loan.account for loan in self._taken.values()}
        return sorted(taken | set(self._granted.grants))

    def set_grants(self, held: Granted, valid_until_ms: float) -> None:
        """Take what the anchor granted."""
        self._valid_until_ms = valid_until_ms
        self._replace(held)

    def lower(self, kept: dict[str, Units]) -> Granted:
        """Fall to `kept` at once and return what to say to the anchor.

        The floors and the part that may be lent never rise by this; the anchor raises them.
        """
        grants = {account: self.find_grant(account).limit(kept[account]) for account in kept}
        floors, lendable, wanted = {}, {}, {}
        for account, units in grants.items():
            # After the term the floor stays: several words without an answer must not halve it.
            most = units.halve() if self.in_term else units
            floors[account] = self._granted.floors.get(account, NOTHING).limit(most)
            wanted[account] = self._find_lendable(account, units)
            before = self._granted.lendable.get(account, NOTHING)
            lendable[account] = before.limit(wanted[account])
        self._replace(Granted(grants, floors, lendable))
        return Granted(grants, floors, wanted)

    def _find_lendable(self, account: str, kept: Units) -> Units:
        """Return what may be lent: half of what is not, or all while others ask for it."""
        given = self.count_given(account)
        asked_ms = self._asked_ms.get(account)
        if asked_ms is not None and self._clock.now_ms() - asked_ms < ASKED_MS:
            return kept
        spare = (kept - given).raise_to(NOTHING)
        return (given + spare - spare.halve()).limit(kept)

    def _replace(self, held: Granted) -> None:
        changed = set(self._granted.grants) | set(held.grants)
        self._granted = held
        for account in changed:
            self._note_change(account)

    def find_grant(self, account: str) -> Units:
        """Return what the anchor granted, in its term or not."""
        return self._granted.grants.get(account, NOTHING)

    def count_own(self, account: str) -> Units:
        """Return the grant, or its floor after the term."""
        if self.in_term:
            return self.find_grant(account)
        return self._granted.floors.get(account, NOTHING)

    def count_keepable(self, account: str) -> Units:
        """Return what the anchor cannot have given to others yet."""
        own = self.count_own(account)
        slots_bound = self._clock.now_ms() < self._valid_until_ms + SLOT_LOAN_MS
        slots = self.find_grant(account).slots if slots_bound else own.slots
        return Units(own.requests, own.tokens, slots)

    def count_given(self, account: str) -> Units:
        """Return what is lent out now."""
        return sum_loans(self._list_given(), account)

    def list_given(self, account: str, resource: Resource) -> list[Loan]:
        """Return the loans of one resource that others have now."""
        given = self._list_given()
        return [loan for loan in given if loan.account == account and loan.resource is resource]

    def count_taken(self, account: str) -> Units:
        """Return what is borrowed and not ended, usable for new requests or not."""
        now_ms = self._clock.now_ms()
        lasting = (loan for loan in self._taken.values() if now_ms < loan.until_ms)
        return sum_loans(lasting, account)

    def count_held(self, account: str) -> Units:
        """Return what may be admitted now."""
        now_ms = self._clock.now_ms()
        known = self._held.get(account)
        if known is None or now_ms >= known[1]:
            known = self._compute_held(account, now_ms)
            self._held[account] = known
        return known[0]

    def lend(self, peer: str, account: str, resource: Resource, units: int) -> Loan | None:
        """Deduct up to `units` of the daemon's own and return the loan, or None.

        The caller has made sure that the daemon does not need them itself.
        """
        now_ms = self._clock.now_ms()
        lendable = min(self._count_lendable(account, resource), units)
        duration_ms = self._find_duration_ms(resource, first=True)
        if lendable <= 0 or duration_ms < SHORTEST_LOAN_MS:
            return None
        until_ms = now_ms + duration_ms
        loan = Loan(next(self._numbers), peer, account, resource, lendable, until_ms)
        self._given[loan.number] = replace(loan, until_ms=now_ms + duration_ms * DRIFT)
        self._note_change(account)
        return loan

    def _count_lendable(self, account: str, resource: Resource) -> int:
        own = self.count_own(account)
        most = own.limit(self._granted.lendable.get(account, NOTHING))
        self._asked_ms[account] = self._clock.now_ms()
        if most.get(resource) < own.get(resource):
            self._on_short()
        return (most - self.count_given(account)).get(resource)

    def extend(self, peer: str, number: int, units: int) -> Loan | None:
        """Let a given loan last longer with at most `units`; None when it has ended."""
        given = self._given.get(number)
        now_ms = self._clock.now_ms()
        if given is None or given.peer != peer or now_ms >= given.until_ms:
            return None
        duration_ms = self._find_duration_ms(given.resource, first=False)
        if units <= 0 or duration_ms < SHORTEST_LOAN_MS or self._is_overlent(given):
            return None
        kept = min(units, given.units)
        if kept < given.units:
            # The borrower may not hear of the smaller loan: the rest keeps the old end.
            rest = replace(given, number=next(self._numbers), peer="", units=given.units - kept)
            self._given[rest.number] = rest
        until_ms = max(now_ms + duration_ms * DRIFT, given.until_ms)
        self._given[number] = replace(given, units=kept, until_ms=until_ms)
        return replace(given, units=kept, until_ms=now_ms + duration_ms)

    def shrink_given(self, peer: str, number: int, units: int) -> None:
        """Take back all but `units` of a given loan: the borrower says it uses no more."""
        given = self._given.get(number)
        if given is None or given.peer != peer or units >= given.units:
            return
        if units > 0:
            self._given[number] = replace(given, units=units)
        else:
            del self._given[number]
        self._note_change(given.account)

    def measure_left_ms(self, loan: Loan) -> float:
        """Return how long a loan still lasts."""
        return max(loan.until_ms - self._clock.now_ms(), 0.0)

    def find_given(self, peer: str, number: int) -> Loan | None:
        """Return a loan given to `peer` that has not ended."""
        loan = self._given.get(number)
        ended = loan is None or loan.peer != peer or self._clock.now_ms() >= loan.until_ms
        return None if ended else loan

    def take(self, loan: Loan) -> None:
        """Record a loan received, or a longer or smaller form of it."""
        key = (loan.peer, loan.number)
        if loan.units > 0:
            self._taken[key] = loan
        else:
            self._taken.pop(key, None)
        self._note_change(loan.account)

    def find_taken(self, peer: str, number: int) -> Loan | None:
        """Return a loan received from `peer`."""
        return self._taken.get((peer, number))

    def list_taken(self) -> list[Loan]:
        """Return the loans received that have not ended, and forget the others."""
        self._forget_ended()
        return list(self._taken.values())

    def _is_overlent(self, loan: Loan) -> bool:
        # After the term only the floor may stay lent for longer.
        given = self.count_given(loan.account).get(loan.resource)
        return given > self.count_own(loan.account).get(loan.resource)

    def _list_given(self) -> list[Loan]:
        now_ms = self._clock.now_ms()
        return [loan for loan in self._given.values() if now_ms < loan.until_ms]

    def _forget_ended(self) -> None:
        now_ms = self._clock.now_ms()
        for number, given in list(self._given.items()):
            if now_ms >= given.until_ms:
                del self._given[number]
                self._note_change(given.account)
        for key, taken in list(self._taken.items()):
            if now_ms >= taken.until_ms:
                del self._taken[key]
                self._note_change(taken.account)

    def _find_duration_ms(self, resource: Resource, *, first: bool) -> float:
        # The anchor waits for slot loans on top of the term, so the term does not bound them.
        # A first loan of slots is short: its answer may be lost; the extension confirms it.
        if resource is Resource.SLOTS:
            return LOAN_MS if first else SLOT_LOAN_MS
        if not self.in_term:
            return LOAN_MS
        return min(LOAN_MS, (self._valid_until_ms - self._clock.now_ms()) / DRIFT)

    def _compute_held(self, account: str, now_ms: float) -> tuple[Units, float]:
        own = self.count_own(account)
        until_ms = self._valid_until_ms if self.in_term else FOREVER_MS
        counts: dict[Resource, int] = defaultdict(int)
        for given in self._given.values():
            if given.account == account and now_ms < given.until_ms:
                counts[given.resource] -= given.units
                until_ms = min(until_ms, given.until_ms)
        left = Units(*(max(own.get(kind) + counts[kind], 0) for kind in Resource))
        for taken in self._taken.values():
            if taken.account == account and taken.is_usable(now_ms):
                left += Units.only(taken.resource, taken.units)
                reserve_ms = REQUEST_MS if taken.resource is Resource.SLOTS else 0
                until_ms = min(until_ms, taken.until_ms - reserve_ms)
        return left, until_ms

    def _note_change(self, account: str) -> None:
        self._held.pop(account, None)
        self._on_change(account)
