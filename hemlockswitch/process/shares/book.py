"""One daemon's shares of each account's limits: its grant, and the loans given and taken."""

import itertools
import secrets
from collections import defaultdict
from collections.abc import Callable
from dataclasses import replace

from hemlockswitch.core.clock import Clock
from hemlockswitch.process.shares.terms import (
    DRIFT,
    LOAN_MS,
    MIN_LOAN_MS,
    REQUEST_MS,
    SLOT_LOAN_MS,
    Granted,
    Loan,
    sum_loans,
)
from hemlockswitch.process.shares.units import NOTHING, Resource, Units

LOAN_NUMBER_BITS = 48
LOAN_REQUEST_RETENTION_MS = 60_000.0
FOREVER_MS = float("inf")


class ShareBook:
    """The daemon's local record of grants and loans; it does no communication.

    Explanation
    ===========

    *Own* is the grant of the anchor during its term, and the floor after it: the part that the anchor
    reserves for this process until the removal of its VM is confirmed. *Held* is what may be admitted: own,
    minus the loans given, plus the loans taken. All expiry times are compared with the clock at each access,
    so that a process that was paused finds its grant and its loans expired before it admits a request.

    Parameters
    ==========

    clock : the process's clock.
    on_change : called with the account after each change of the held units.
    on_more_lent : called when the anchor should receive that more is lent.
    """

    def __init__(
        self,
        clock: Clock,
        on_change: Callable[[str], None] = lambda account: None,
        on_more_lent: Callable[[], None] = lambda: None,
    ) -> None:
        self._clock = clock
        self._on_change = on_change
        self._on_more_lent = on_more_lent
        self._granted = Granted({}, {}, {})
        self._last_loan_request_ms: dict[str, float] = {}
        self._valid_until_ms = 0.0
        self._loans_given: dict[int, Loan] = {}
        self._loans_taken: dict[tuple[str, int], Loan] = {}
        self._held: dict[str, tuple[Units, float]] = {}
        # Loan numbers must not match those of an earlier process at the same address.
        self._numbers = itertools.count(secrets.randbits(LOAN_NUMBER_BITS))

    @property
    def in_term(self) -> bool:
        """Whether the term of the grant has not expired."""
        return self._clock.now_ms() < self._valid_until_ms

    def list_accounts(self) -> list[str]:
        """Return the accounts with a grant or a loan taken."""
        taken = {loan.account for loan in self._loans_taken.values()}
        return sorted(taken | set(self._granted.grants))

    def set_grants(self, held: Granted, valid_until_ms: float) -> None:
        """Apply the grants of the anchor."""
        self._valid_until_ms = valid_until_ms
        self._set_granted(held)

    def reduce_to(self, kept: dict[str, Units]) -> Granted:
        """Reduce the grants to `kept` at once, and return the contents of the renewal for the anchor.

        This never raises the floors and the lendable parts; only the anchor does.
        """
        grants = {account: self.find_grant(account).limit(kept[account]) for account in kept}
        floors, lendable, wanted = {}, {}, {}
        for account, units in grants.items():
            # After the term the floor stays, so that repeated unanswered renewals do not halve it each time.
            most = units.halve() if self.in_term else units
            floors[account] = self._granted.floors.get(account, NOTHING).limit(most)
            wanted[account] = self._find_lendable(account, units)
            before = self._granted.lendable.get(account, NOTHING)
            lendable[account] = before.limit(wanted[account])
        self._set_granted(Granted(grants, floors, lendable))
        return Granted(grants, floors, wanted)

    def _find_lendable(self, account: str, kept: Units) -> Units:
        """Return what may be lent: the loans given and half of the remainder, or all of `kept`.

        It is all for `LOAN_REQUEST_RETENTION_MS` after a peer requested a loan.
        """
        given = self.count_given(account)
        requested_ms = self._last_loan_request_ms.get(account)
        if (
            requested_ms is not None
            and self._clock.now_ms() - requested_ms < LOAN_REQUEST_RETENTION_MS
        ):
            return kept
        spare = (kept - given).raise_to(NOTHING)
        return (given + spare - spare.halve()).limit(kept)

    def _set_granted(self, held: Granted) -> None:
        changed = set(self._granted.grants) | set(held.grants)
        self._granted = held
        for account in changed:
            self._report_change(account)

    def find_grant(self, account: str) -> Units:
        """Return the grant of the anchor, even if its term has expired."""
        return self._granted.grants.get(account, NOTHING)

    def count_own(self, account: str) -> Units:
        """Return the grant during its term, and its floor afterwards."""
        if self.in_term:
            return self.find_grant(account)
        return self._granted.floors.get(account, NOTHING)

    def count_keepable(self, account: str) -> Units:
        """Return the units that the anchor cannot have granted to other daemons yet."""
        own = self.count_own(account)
        slots_bound = self._clock.now_ms() < self._valid_until_ms + SLOT_LOAN_MS
        slots = self.find_grant(account).slots if slots_bound else own.slots
        return Units(own.requests, own.tokens, slots)

    def count_given(self, account: str) -> Units:
        """Return the units currently lent."""
        return sum_loans(self._list_given(), account)

    def list_given(self, account: str, resource: Resource) -> list[Loan]:
        """Return the current loans given of one resource."""
        given = self._list_given()
        return [loan for loan in given if loan.account == account and loan.resource is resource]

    def count_taken(self, account: str) -> Units:
        """Return the units currently borrowed, including those not usable for new requests."""
        now_ms = self._clock.now_ms()
        lasting = (loan for loan in self._loans_taken.values() if now_ms < loan.until_ms)
        return sum_loans(lasting, account)

    def count_held(self, account: str) -> Units:
        """Return the units that may be admitted now."""
        now_ms = self._clock.now_ms()
        cached = self._held.get(account)
        if cached is None or now_ms >= cached[1]:
            cached = self._compute_held(account, now_ms)
            self._held[account] = cached
        return cached[0]

    def lend(self, peer: str, account: str, resource: Resource, units: int) -> Loan | None:
        """Deduct up to `units` from the daemon's own units and return the loan, or None.

        The caller must ensure that the daemon does not need them itself.
        """
        now_ms = self._clock.now_ms()
        lendable = min(self._count_lendable(account, resource), units)
        duration_ms = self._find_duration_ms(resource, first=True)
        if lendable <= 0 or duration_ms < MIN_LOAN_MS:
            return None
        until_ms = now_ms + duration_ms
        loan = Loan(next(self._numbers), peer, account, resource, lendable, until_ms)
        self._loans_given[loan.number] = replace(loan, until_ms=now_ms + duration_ms * DRIFT)
        self._report_change(account)
        return loan

    def _count_lendable(self, account: str, resource: Resource) -> int:
        own = self.count_own(account)
        most = own.limit(self._granted.lendable.get(account, NOTHING))
        self._last_loan_request_ms[account] = self._clock.now_ms()
        if most.get(resource) < own.get(resource):
            self._on_more_lent()
        return (most - self.count_given(account)).get(resource)

    def extend(self, peer: str, number: int, units: int) -> Loan | None:
        """Extend a given loan with at most `units`; return None if it has expired or is not extended."""
        given = self._loans_given.get(number)
        now_ms = self._clock.now_ms()
        if given is None or given.peer != peer or now_ms >= given.until_ms:
            return None
        duration_ms = self._find_duration_ms(given.resource, first=False)
        if units <= 0 or duration_ms < MIN_LOAN_MS or self._is_overlent(given):
            return None
        kept = min(units, given.units)
        if kept < given.units:
            # The borrower may not receive the reduction, so the remaining units stay lent until the old end.
            remaining = replace(
                given, number=next(self._numbers), peer="", units=given.units - kept
            )
            self._loans_given[remaining.number] = remaining
        until_ms = max(now_ms + duration_ms * DRIFT, given.until_ms)
        self._loans_given[number] = replace(given, units=kept, until_ms=until_ms)
        return replace(given, units=kept, until_ms=now_ms + duration_ms)

    def reduce_given(self, peer: str, number: int, units: int) -> None:
        """Reduce a given loan to `units`, which the borrower has confirmed as its remaining use."""
        given = self._loans_given.get(number)
        if given is None or given.peer != peer or units >= given.units:
            return
        if units > 0:
            self._loans_given[number] = replace(given, units=units)
        else:
            del self._loans_given[number]
        self._report_change(given.account)

    def compute_remaining_ms(self, loan: Loan) -> float:
        """Return the remaining duration of a loan."""
        return max(loan.until_ms - self._clock.now_ms(), 0.0)

    def find_given(self, peer: str, number: int) -> Loan | None:
        """Return a loan given to `peer`, or None if there is none or it has expired."""
        loan = self._loans_given.get(number)
        ended = loan is None or loan.peer != peer or self._clock.now_ms() >= loan.until_ms
        return None if ended else loan

    def record_taken(self, loan: Loan) -> None:
        """Record a loan taken, or a change of its duration or size."""
        key = (loan.peer, loan.number)
        if loan.units > 0:
            self._loans_taken[key] = loan
        else:
            self._loans_taken.pop(key, None)
        self._report_change(loan.account)

    def find_taken(self, peer: str, number: int) -> Loan | None:
        """Return a loan taken from `peer`, or None."""
        return self._loans_taken.get((peer, number))

    def list_taken(self) -> list[Loan]:
        """Return the current loans taken, and evict all expired loans."""
        self._evict_expired()
        return list(self._loans_taken.values())

    def _is_overlent(self, loan: Loan) -> bool:
        # After the term, only loans within the floor may be extended.
        given = self.count_given(loan.account).get(loan.resource)
        return given > self.count_own(loan.account).get(loan.resource)

    def _list_given(self) -> list[Loan]:
        now_ms = self._clock.now_ms()
        return [loan for loan in self._loans_given.values() if now_ms < loan.until_ms]

    def _evict_expired(self) -> None:
        now_ms = self._clock.now_ms()
        for number, given in list(self._loans_given.items()):
            if now_ms >= given.until_ms:
                del self._loans_given[number]
                self._report_change(given.account)
        for key, taken in list(self._loans_taken.items()):
            if now_ms >= taken.until_ms:
                del self._loans_taken[key]
                self._report_change(taken.account)

    def _find_duration_ms(self, resource: Resource, *, first: bool) -> float:
        # The anchor waits for slot loans in addition to the term, so the term does not limit them.
        # The first loan of slots is short because its answer may be lost; an extension confirms it.
        if resource is Resource.SLOTS:
            return LOAN_MS if first else SLOT_LOAN_MS
        if not self.in_term:
            return LOAN_MS
        return min(LOAN_MS, (self._valid_until_ms - self._clock.now_ms()) / DRIFT)

    def _compute_held(self, account: str, now_ms: float) -> tuple[Units, float]:
        own = self.count_own(account)
        until_ms = self._valid_until_ms if self.in_term else FOREVER_MS
        counts: dict[Resource, int] = defaultdict(int)
        for given in self._loans_given.values():
            if given.account == account and now_ms < given.until_ms:
                counts[given.resource] -= given.units
                until_ms = min(until_ms, given.until_ms)
        left = Units(*(max(own.get(kind) + counts[kind], 0) for kind in Resource))
        for taken in self._loans_taken.values():
            if taken.account == account and taken.is_usable(now_ms):
                left += Units.only(taken.resource, taken.units)
                reserve_ms = REQUEST_MS if taken.resource is Resource.SLOTS else 0
                until_ms = min(until_ms, taken.until_ms - reserve_ms)
        return left, until_ms

    def _report_change(self, account: str) -> None:
        self._held.pop(account, None)
        self._on_change(account)
