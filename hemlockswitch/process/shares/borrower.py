"""The borrower of loans: it adds units after the lender deducted them, and returns idle ones."""

from collections import defaultdict, deque
from dataclasses import dataclass, replace

import gevent
from gevent.event import Event

from hemlockswitch.core.clock import MS_PER_SECOND
from hemlockswitch.core.errors import PeerError
from hemlockswitch.process.shares.loan_party import LoanParts, LoanParty
from hemlockswitch.process.shares.messages import (
    BorrowShare,
    ExtendLoans,
    LoanReturned,
    RecallLoan,
    Terms,
)
from hemlockswitch.process.shares.terms import LOAN_MS, REQUEST_MS, Loan
from hemlockswitch.process.shares.units import NOTHING, Resource, Units
from hemlockswitch.request.allowances import Credit

QUERY_TIMEOUT_MS = 100.0
LOAN_TIMEOUT_MS = 1_000.0
MIN_SEARCH_PAUSE_MS = 100.0
MAX_SLOTS_SEARCH_PAUSE_MS = 400.0
MAX_RATES_SEARCH_PAUSE_MS = 1_600.0
UNRESPONSIVE_LENDER_PAUSE_MS = 1_000.0
PARALLEL_QUERIES = 4
MAX_QUERIED_LENDERS = 4
IDLE_TICKS = 4


@dataclass(frozen=True)
class _BorrowKey:
    """Identifies a search, so that requests that lack the same resources wait for a single search."""

    account: str
    resources: tuple[Resource, ...]


class ShareBorrower(LoanParty):
    """Borrows units that requests lack, extends loans in use, and returns idle ones."""

    def __init__(self, parts: LoanParts) -> None:
        super().__init__(parts)
        self._running: dict[_BorrowKey, Event] = {}
        self._paused_until_ms: dict[_BorrowKey, float] = {}
        self._unresponsive_until_ms: dict[str, float] = {}
        self._last_lent_ms: dict[str, float] = {}
        self._surplus: dict[str, deque[int]] = defaultdict(lambda: deque(maxlen=IDLE_TICKS))
        self._search_pauses_ms: dict[_BorrowKey, float] = {}
        self._returned: dict[tuple[str, int], Loan] = {}
        self._network.handle(RecallLoan, self.return_idle)

    def borrow(self, account: str, asked: Units, lenders: list[str], wait_ms: float) -> bool:
        """Query lenders in turn until `asked` is received or `wait_ms` has passed.

        Returns
        =======

        bool : whether any units were received.
        """
        key = _BorrowKey(account, tuple(kind for kind in Resource if asked.get(kind) > 0))
        if key in self._running:
            return self._running[key].wait(timeout=wait_ms / MS_PER_SECOND)
        if self._clock.now_ms() < self._paused_until_ms.get(key, 0):
            return False
        done = Event()
        self._running[key] = done
        try:
            received = self._query_lenders(account, asked, lenders, wait_ms)
        finally:
            del self._running[key]
            done.set()
        self._update_search_pause(key, received)
        return received

    def return_idle(self, sender: str, request: RecallLoan) -> LoanReturned:
        """Deduct the idle units of a loan that its lender recalls, and return them in the answer."""
        loan = self._book.find_taken(sender, request.number)
        if loan is None:
            # The loan was never received, or has already been returned.
            return LoanReturned(0, 0.0, 0.0)
        account, resource = loan.account, loan.resource
        idle = self._book.count_held(account) - self._count_needed(account)
        units = min(idle.get(resource), request.units, loan.units)
        if units <= 0:
            return LoanReturned(loan.units, 0.0, 0.0)
        credit = self._credits.take(account, Units.only(resource, units))
        self._book.record_taken(replace(loan, units=loan.units - units))
        if loan.units == units:
            self._returned[sender, loan.number] = loan
        return LoanReturned(loan.units - units, credit.requests, credit.tokens)

    def _update_search_pause(self, key: _BorrowKey, received: bool) -> None:
        """Back off after a fruitless search; the limit is lower for slots, which may free up at any time."""
        if received:
            self._search_pauses_ms.pop(key, None)
            return
        pause_ms = self._search_pauses_ms.get(key, MIN_SEARCH_PAUSE_MS)
        self._paused_until_ms[key] = self._clock.now_ms() + pause_ms
        for_slots = Resource.SLOTS in key.resources
        longest_ms = MAX_SLOTS_SEARCH_PAUSE_MS if for_slots else MAX_RATES_SEARCH_PAUSE_MS
        self._search_pauses_ms[key] = min(pause_ms * 2, longest_ms)

    def extend_loans(self) -> None:
        """Extend the loans that are needed; return slots that were idle for `IDLE_TICKS` calls."""
        by_account: dict[str, list[Loan]] = defaultdict(list)
        for loan in self._book.list_taken():
            by_account[loan.account].append(loan)
        wanted: dict[str, Terms] = defaultdict(list)
        for account, loans in by_account.items():
            self._choose(account, loans, self._count_needed(account), wanted)
        self._repeat_returns(wanted)
        self._extend_at_all(wanted)

    def return_all(self) -> None:
        """Return all loans."""
        wanted: dict[str, Terms] = defaultdict(list)
        for loan in self._book.list_taken():
            self._return(loan)
        self._repeat_returns(wanted)
        self._extend_at_all(wanted)

    def _return(self, loan: Loan) -> None:
        """Deduct a loan; the return is sent to its lender repeatedly until the lender has answered."""
        self._book.record_taken(replace(loan, units=0))
        self._returned[loan.peer, loan.number] = loan

    def _repeat_returns(self, wanted: dict[str, Terms]) -> None:
        now_ms = self._clock.now_ms()
        for key, loan in list(self._returned.items()):
            if now_ms >= loan.until_ms:
                del self._returned[key]
            else:
                wanted[loan.peer].append([loan.number, 0])

    def _extend_at_all(self, wanted: dict[str, Terms]) -> None:
        requests = [gevent.spawn(self._extend_at, peer, terms) for peer, terms in wanted.items()]
        gevent.joinall(requests)

    def _query_lenders(
        self, account: str, asked: Units, lenders: list[str], wait_ms: float
    ) -> bool:
        end_ms = self._clock.now_ms() + wait_ms
        received = False
        for resource in Resource:
            missing = asked.get(resource)
            waiting = self._order_lenders(lenders)[:MAX_QUERIED_LENDERS]
            while missing > 0 and waiting and self._clock.now_ms() < end_ms:
                count = min(PARALLEL_QUERIES, missing)
                chosen, waiting = waiting[:count], waiting[count:]
                each = -(-missing // len(chosen))
                request = BorrowShare(account, resource.value, each)
                tasks = [gevent.spawn(self._query_lender, address, request) for address in chosen]
                gevent.joinall(tasks, timeout=(end_ms - self._clock.now_ms()) / MS_PER_SECOND)
                came = sum(task.value or 0 for task in tasks)
                missing -= came
                received = received or came > 0
        return received

    def _order_lenders(self, lenders: list[str]) -> list[str]:
        """Return the responsive lenders, those that lent most recently first, then by zone."""
        now_ms = self._clock.now_ms()
        responsive = [
            peer for peer in lenders if now_ms >= self._unresponsive_until_ms.get(peer, 0)
        ]
        return sorted(responsive, key=lambda peer: -self._last_lent_ms.get(peer, 0))

    def _query_lender(self, address: str, request: BorrowShare) -> int:
        sent_ms = self._clock.now_ms()
        try:
            lent = self._network.request(address, request, QUERY_TIMEOUT_MS)
        except PeerError:
            self._unresponsive_until_ms[address] = (
                self._clock.now_ms() + UNRESPONSIVE_LENDER_PAUSE_MS
            )
            return 0
        if lent.units <= 0:
            self._last_lent_ms.pop(address, None)
            return 0
        resource = Resource(request.resource)
        until_ms = sent_ms + lent.duration_ms
        loan = Loan(lent.number, address, request.account, resource, lent.units, until_ms)
        if resource is Resource.SLOTS:
            # The loan is short until the extension confirms its receipt to the lender.
            self._book.record_taken(loan)
            self._extend_at(address, [[loan.number, loan.units]])
        else:
            self._book.record_taken(loan)
            self._credits.add(request.account, Credit(lent.requests_credit, lent.tokens_credit))
        self._last_lent_ms[address] = self._clock.now_ms()
        return lent.units

    def _choose(
        self, account: str, loans: list[Loan], needed: Units, wanted: dict[str, Terms]
    ) -> None:
        own = self._book.count_own(account) - self._book.count_given(account)
        missing = (needed - own).raise_to(NOTHING)
        for resource in Resource:
            mine = sorted(
                (loan for loan in loans if loan.resource is resource), key=lambda loan: -loan.units
            )
            if resource is Resource.SLOTS:
                self._choose_slots(account, mine, missing.slots, wanted)
            else:
                self._choose_rates(mine, missing.get(resource), wanted)

    def _choose_rates(self, loans: list[Loan], missing: int, wanted: dict[str, Terms]) -> None:
        now_ms = self._clock.now_ms()
        for loan in loans:
            kept = min(loan.units, missing)
            missing -= kept
            if kept > 0 and loan.until_ms - now_ms < LOAN_MS / 2:
                self._book.record_taken(replace(loan, units=kept))
                wanted[loan.peer].append([loan.number, kept])

    def _choose_slots(
        self, account: str, loans: list[Loan], missing: int, wanted: dict[str, Terms]
    ) -> None:
        now_ms = self._clock.now_ms()
        surplus = self._surplus[account]
        surplus.append(sum(loan.units for loan in loans) - missing)
        idle = min(surplus) if len(surplus) == IDLE_TICKS else 0
        for loan in reversed(loans):
            if 0 < loan.units <= idle:
                idle -= loan.units
                surplus.clear()
                self._return(loan)
            elif loan.until_ms - now_ms < REQUEST_MS * 3 / 2:
                wanted[loan.peer].append([loan.number, loan.units])

    def _extend_at(self, peer: str, terms: Terms) -> None:
        sent_ms = self._clock.now_ms()
        try:
            reply = self._network.request(peer, ExtendLoans(terms), LOAN_TIMEOUT_MS)
        except PeerError:
            return
        for number, units in terms:
            if units == 0:
                self._returned.pop((peer, number), None)
        for number, units, duration_ms in reply.loans:
            loan = self._book.find_taken(peer, number)
            if loan is not None:
                longer = replace(loan, units=min(units, loan.units), until_ms=sent_ms + duration_ms)
                self._book.record_taken(longer)
