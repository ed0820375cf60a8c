"""Loans of shares between daemons: the lender deducts first, the borrower adds after."""

import random
from collections import defaultdict, deque
from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Any, Protocol

import gevent
from gevent.event import Event

from hemlockswitch.connection.messages import register_message
from hemlockswitch.core.clock import MS_PER_SECOND, Clock
from hemlockswitch.core.errors import PeerError
from hemlockswitch.process.share_book import LOAN_MS, REQUEST_MS, Loan, ShareBook
from hemlockswitch.process.share_units import NOTHING, Resource, Units
from hemlockswitch.request.allowances import Credit

ASK_TIMEOUT_MS = 100.0
LOAN_TIMEOUT_MS = 1_000.0
BARREN_MS = 250.0
SILENT_MS = 1_000.0
PARALLEL_ASKS = 4
MOST_ASKS = 16
IDLE_TICKS = 4

Terms = list[list[int]]


@register_message("borrow-share")
@dataclass(frozen=True)
class BorrowShare:
    """Asks for units of one resource of an account."""

    account: str
    resource: str
    units: int


@register_message("share-lent")
@dataclass(frozen=True)
class ShareLent:
    """What the lender deducted; no units when it has none to spare.

    Parameters
    ==========

    duration_ms : counted by the borrower from before it asked.
    requests_credit, tokens_credit : taken out of the lender's buckets, once.
    """

    number: int
    units: int
    duration_ms: float
    requests_credit: float
    tokens_credit: float


@register_message("extend-loans")
@dataclass(frozen=True)
class ExtendLoans:
    """Asks that loans last longer: pairs of number and units wanted; 0 gives a loan back."""

    loans: Terms


@register_message("loans-extended")
@dataclass(frozen=True)
class LoansExtended:
    """Triples of number, units and duration in milliseconds; a loan not listed ends as it was."""

    loans: Terms


@dataclass(frozen=True)
class _BorrowKey:
    """What is sought together, so that requests that lack the same wait for one search."""

    account: str
    resources: tuple[Resource, ...]


class LoanNetwork(Protocol):
    """The part of the peer network that loans use."""

    def ask(self, address: str, message: Any, timeout_ms: float) -> Any:
        """Return the peer's reply, or raise `PeerError`."""

    def handle(self, message_type: type, handler: Callable[[str, Any], Any]) -> None:
        """Serve messages of a type."""


class Lender:
    """Lends what this daemon does not need.

    Parameters
    ==========

    book : the daemon's record.
    count_needed : the units that an account's own demand here needs.
    take_credit, add_credit : move what the buckets hold.
    """

    def __init__(
        self,
        book: ShareBook,
        count_needed: Callable[[str], Units],
        take_credit: Callable[[str, Units], Credit],
        add_credit: Callable[[str, Credit], None],
    ) -> None:
        self._book = book
        self._count_needed = count_needed
        self._take_credit = take_credit
        self._add_credit = add_credit

    def register(self, network: LoanNetwork) -> None:
        """Serve the loan messages of peers."""
        network.handle(BorrowShare, self.lend)
        network.handle(ExtendLoans, self.extend)

    def lend(self, sender: str, ask: BorrowShare) -> ShareLent:
        """Deduct what can be spared and answer with it."""
        resource = Resource(ask.resource)
        spare = min(self._count_spare(ask.account, resource), ask.units)
        if spare <= 0:
            return ShareLent(0, 0, 0.0, 0.0, 0.0)
        credit = self._take_credit(ask.account, Units.only(resource, spare))
        loan = self._book.lend(sender, ask.account, resource, spare)
        if loan is None:
            self._add_credit(ask.account, credit)
            return ShareLent(0, 0, 0.0, 0.0, 0.0)
        duration_ms = self._book.measure_left_ms(loan)
        return ShareLent(loan.number, loan.units, duration_ms, credit.requests, credit.tokens)

    def extend(self, sender: str, ask: ExtendLoans) -> LoansExtended:
        """Let loans last, smaller where this daemon needs them itself."""
        extended = []
        for number, wanted in ask.loans:
            self._book.shrink_given(sender, number, wanted)
            given = self._book.find_given(sender, number)
            if given is None:
                continue
            short = max(-self._count_spare(given.account, given.resource), 0)
            loan = self._book.extend(sender, number, given.units - short)
            if loan is not None:
                extended.append([number, loan.units, int(self._book.measure_left_ms(loan))])
        return LoansExtended(extended)

    def _count_spare(self, account: str, resource: Resource) -> int:
        own = self._book.count_own(account) - self._book.count_given(account)
        return own.get(resource) - self._count_needed(account).get(resource)


class ShareBorrower:
    """Borrows what requests lack, keeps what is used and gives the rest back.

    Parameters
    ==========

    book : the daemon's record.
    network : the peer network.
    clock : the process's clock.
    add_credit : puts into the buckets what came with a loan.
    """

    def __init__(
        self,
        book: ShareBook,
        network: LoanNetwork,
        clock: Clock,
        add_credit: Callable[[str, Credit], None],
    ) -> None:
        self._book = book
        self._network = network
        self._clock = clock
        self._add_credit = add_credit
        self._running: dict[_BorrowKey, Event] = {}
        self._barren_until_ms: dict[_BorrowKey, float] = {}
        self._silent_until_ms: dict[str, float] = {}
        self._generous: dict[str, float] = {}
        self._surplus: dict[str, deque[int]] = defaultdict(lambda: deque(maxlen=IDLE_TICKS))
        self._random = random.Random()

    def borrow(self, account: str, asked: Units, lenders: list[str], wait_ms: float) -> bool:
        """Ask lenders in turn until `asked` is there or `wait_ms` is over.

        Returns
        =======

        bool : whether anything came.
        """
        key = _BorrowKey(account, tuple(kind for kind in Resource if asked.get(kind) > 0))
        if key in self._running:
            return self._running[key].wait(timeout=wait_ms / MS_PER_SECOND)
        if self._clock.now_ms() < self._barren_until_ms.get(key, 0):
            return False
        done = Event()
        self._running[key] = done
        try:
            received = self._ask_in_turn(account, asked, lenders, wait_ms)
        finally:
            del self._running[key]
            done.set()
        if not received:
            self._barren_until_ms[key] = self._clock.now_ms() + BARREN_MS
        return received

    def extend_loans(self, count_needed: Callable[[str], Units]) -> None:
        """Keep the loans that are needed; give back slots that were idle for a while."""
        by_account: dict[str, list[Loan]] = defaultdict(list)
        for loan in self._book.list_taken():
            by_account[loan.account].append(loan)
        wanted: dict[str, Terms] = defaultdict(list)
        for account, loans in by_account.items():
            self._choose(account, loans, count_needed(account), wanted)
        asks = [gevent.spawn(self._extend_at, peer, terms) for peer, terms in wanted.items()]
        gevent.joinall(asks)

    def return_all(self) -> None:
        """Give every loan back."""
        wanted: dict[str, Terms] = defaultdict(list)
        for loan in self._book.list_taken():
            self._book.take(replace(loan, units=0))
            wanted[loan.peer].append([loan.number, 0])
        gevent.joinall(
            [gevent.spawn(self._extend_at, peer, terms) for peer, terms in wanted.items()]
        )

    def _ask_in_turn(self, account: str, asked: Units, lenders: list[str], wait_ms: float) -> bool:
        end_ms = self._clock.now_ms() + wait_ms
        received = False
        for resource in Resource:
            missing = asked.get(resource)
            waiting = self._order(lenders)[:MOST_ASKS]
            while missing > 0 and waiting and self._clock.now_ms() < end_ms:
                count = min(PARALLEL_ASKS, missing)
                chosen, waiting = waiting[:count], waiting[count:]
                each = -(-missing // len(chosen))
                ask = BorrowShare(account, resource.value, each)
                tasks = [gevent.spawn(self._ask_one, address, ask) for address in chosen]
                gevent.joinall(tasks, timeout=(end_ms - self._clock.now_ms()) / MS_PER_SECOND)
                came = sum(task.value or 0 for task in tasks)
                missing -= came
                received = received or came > 0
        return received

    def _order(self, lenders: list[str]) -> list[str]:
        """Order lenders: who gave last first, then the order given, without the silent ones."""
        now_ms = self._clock.now_ms()
        heard = [peer for peer in lenders if now_ms >= self._silent_until_ms.get(peer, 0)]
        return sorted(heard, key=lambda peer: -self._generous.get(peer, 0))

    def _ask_one(self, address: str, ask: BorrowShare) -> int:
        sent_ms = self._clock.now_ms()
        try:
            lent = self._network.ask(address, ask, ASK_TIMEOUT_MS)
        except PeerError:
            self._silent_until_ms[address] = self._clock.now_ms() + SILENT_MS
            return 0
        if lent.units <= 0:
            self._generous.pop(address, None)
            return 0
        resource = Resource(ask.resource)
        until_ms = sent_ms + lent.duration_ms
        loan = Loan(lent.number, address, ask.account, resource, lent.units, until_ms)
        if resource is Resource.SLOTS:
            # A short loan until the lender knows that it arrived.
            self._book.take(loan)
            self._extend_at(address, [[loan.number, loan.units]])
        else:
            self._book.take(loan)
            self._add_credit(ask.account, Credit(lent.requests_credit, lent.tokens_credit))
        self._generous[address] = self._clock.now_ms()
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
                self._book.take(replace(loan, units=kept))
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
                self._book.take(replace(loan, units=0))
                wanted[loan.peer].append([loan.number, 0])
            elif loan.until_ms - now_ms < REQUEST_MS * 3 / 2:
                wanted[loan.peer].append([loan.number, loan.units])

    def _extend_at(self, peer: str, terms: Terms) -> None:
        sent_ms = self._clock.now_ms()
        try:
            reply = self._network.ask(peer, ExtendLoans(terms), LOAN_TIMEOUT_MS)
        except PeerError:
            return
        for number, units, duration_ms in reply.loans:
            loan = self._book.find_taken(peer, number)
            if loan is not None:
                longer = replace(loan, units=min(units, loan.units), until_ms=sent_ms + duration_ms)
                self._book.take(longer)
