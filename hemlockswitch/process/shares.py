"""Shares of each account's limits between daemons: renewed at the anchor, moved between peers."""

import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Any

import gevent

from hemlockswitch.core.clock import MS_PER_SECOND, Clock
from hemlockswitch.core.errors import HemlockError
from hemlockswitch.core.events import Event
from hemlockswitch.core.identifiers import make_identifier, rank_rendezvous
from hemlockswitch.core.logs import log_event
from hemlockswitch.process.share_anchor import BATCH_MS, ObjectStore, ShareAnchor, ZoneTotals
from hemlockswitch.process.share_book import TERM_MS, ShareBook
from hemlockswitch.process.share_borrower import ShareBorrower
from hemlockswitch.process.share_lender import Lender
from hemlockswitch.process.share_messages import LoanNetwork
from hemlockswitch.process.share_record import (
    EntryWatch,
    RenewShares,
    SharesRenewed,
    decode_grants,
    encode_grants,
)
from hemlockswitch.process.share_units import NOTHING, Units, UnitSizes, find_part
from hemlockswitch.request.allowances import AccountUse, Allowance, Credit, Shortage
from hemlockswitch.version.models import OperatorFile

RENEW_MS = TERM_MS / 3
RETRY_MS = 500.0
TICK_MS = 500.0
RENEW_TIMEOUT_MS = 2_000.0
WRITERS = 2
FIRST_GRANT_MS = 3_000.0
HURRY_MS = 3_000.0


@dataclass(frozen=True)
class ShareMember:
    """A daemon that may hold shares, or generations handed over."""

    name: str
    zone: str
    address: str
    leaving: bool = False


class Shares:
    """The daemon's `Allowances`: its shares, kept alive and moved on demand.

    Explanation
    ===========

    Each zone divides its part of an account's limits evenly between its daemons, in one object
    of the platform that the first daemons of a rendezvous order write for all. What one daemon
    has and does not use, another borrows: the lender deducts first. Nothing is given out twice
    whatever message is lost, since every end is a duration from before it was asked for.

    Parameters
    ==========

    name, zone : of this daemon.
    clock : the process's clock.
    store : the platform's object service.
    network : the peer network; the daemon's own address is `address`.
    find_file : the operator file in force.
    list_members : the live daemons that are not leaving.
    is_gone : whether the platform says that the VM of a name is no more.
    batch_ms : words to the anchor that come within this time are written together.
    """

    def __init__(
        self,
        *,
        name: str,
        zone: str,
        clock: Clock,
        store: ObjectStore,
        network: LoanNetwork,
        find_file: Callable[[], OperatorFile],
        list_members: Callable[[], Iterable[ShareMember]],
        is_gone: Callable[[str], bool] = lambda name: False,
        batch_ms: float = BATCH_MS,
    ) -> None:
        self.book = ShareBook(clock, self._refresh)
        self.incarnation = make_identifier("shares")
        self._name = name
        self._zone = zone
        self._clock = clock
        self._network = network
        self._find_file = find_file
        self._list_members = list_members
        self._counter = 0
        self._leaving = False
        self._complete = False
        self._started_ms = 0.0
        self._names: frozenset[str] = frozenset()
        self._hurry_until_ms = 0.0
        self._use: AccountUse | None = None
        self._sizes: dict[str, UnitSizes] = {}
        self._sizes_of: OperatorFile | None = None
        self._tasks: list[gevent.Greenlet] = []
        self.anchor = ShareAnchor(
            store, zone, self._find_totals, EntryWatch(clock, is_gone), batch_ms
        )
        credits = _Credits(self)
        self.lender = Lender(self.book, network, clock, self.count_needed, credits)
        self.borrower = ShareBorrower(self.book, network, clock, self.count_needed, credits)
        network.handle(RenewShares, lambda sender, ask: self.anchor.renew(ask))

    @property
    def is_ready(self) -> bool:
        """Whether the even part was granted, or there was time enough to grant it.

        What is missing after that time can be borrowed.
        """
        if not self._complete and self._tasks:
            waited = self._clock.now_ms() - self._started_ms > FIRST_GRANT_MS
            self._complete = waited or self._has_part()
        return self._complete

    def _has_part(self) -> bool:
        divided = self._find_totals()
        names = sorted(divided.names)
        return self.book.in_term and all(
            find_part(total, account, self._name, names).limit(self.book.find_grant(account))
            == find_part(total, account, self._name, names)
            for account, total in divided.totals.items()
        )

    def set_use(self, use: AccountUse) -> None:
        """Connect the admission that uses these shares."""
        self._use = use

    def start(self) -> None:
        """Start the tasks that keep the shares alive; a second call does nothing."""
        if self._tasks:
            return
        self._started_ms = self._clock.now_ms()
        self.anchor.start()
        self._tasks = [gevent.spawn(self._keep_renewing), gevent.spawn(self._keep_loans)]

    def stop(self) -> None:
        """End the tasks; what is held lapses."""
        self.anchor.stop()
        gevent.killall(self._tasks, block=False)

    def leave(self) -> None:
        """Give back what is not in use; call it again once the last request has ended."""
        self._leaving = True
        self.borrower.return_all()
        self.renew()

    def find_allowance(self, account: str) -> Allowance | None:
        """Return what may be admitted now, or None for an unknown account."""
        sizes = self._find_sizes(account)
        return None if sizes is None else sizes.build_allowance(self.book.count_held(account))

    def seek_more(self, account: str, shortage: Shortage, wait_ms: float) -> bool:
        """Borrow what a request lacks from other daemons; return whether anything came."""
        sizes = self._find_sizes(account)
        if sizes is None or self._leaving:
            return False
        lacking = sizes.count_units(
            Allowance(
                shortage.requests_per_second,
                shortage.tokens_per_second,
                shortage.concurrent_requests,
            )
        )
        beyond = self.count_needed(account) - self.book.count_held(account)
        # Slots are asked for one by one; rates up to the demand, so that one move serves many.
        wanted = lacking.raise_to(Units(beyond.requests, beyond.tokens, 0))
        asked = Units(
            wanted.requests if lacking.requests else 0,
            wanted.tokens if lacking.tokens else 0,
            lacking.slots,
        )
        recalled = self.lender.recall(account, asked)
        return recalled or self.borrower.borrow(account, asked, self._list_lenders(), wait_ms)

    def renew(self) -> bool:
        """Say to the anchor that this daemon lives; return whether the word was written."""
        self._counter += 1
        kept = self._find_kept()
        floors = self.book.lower(kept)
        sent_ms = self._clock.now_ms()
        ask = RenewShares(
            self._name,
            self.incarnation,
            self._counter,
            encode_grants(kept),
            encode_grants(floors),
            self._leaving,
        )
        reply = self._send_word(ask)
        if reply is None:
            return False
        grants, floors = decode_grants(reply.grants), decode_grants(reply.floors)
        self.book.set_grants(grants, floors, sent_ms + TERM_MS)
        return True

    def count_needed(self, account: str) -> Units:
        """Return the units that cover the demand of the last seconds."""
        sizes = self._find_sizes(account)
        if sizes is None or self._use is None:
            return NOTHING
        return sizes.count_units(self._use.measure_demand(account))

    def describe(self) -> dict[str, Any]:
        """Return the shares for the daemon's status."""
        return {
            "in_term": self.book.in_term,
            "accounts": {
                account: {
                    "granted": self.book.find_grant(account).list_counts(),
                    "lent": self.book.count_given(account).list_counts(),
                    "borrowed": self.book.count_taken(account).list_counts(),
                    "held": self.book.count_held(account).list_counts(),
                }
                for account in self.book.list_accounts()
            },
        }

    def _send_word(self, ask: RenewShares) -> SharesRenewed | None:
        for address in self._list_writers():
            try:
                if not address:
                    return self.anchor.renew(ask)
                return self._network.ask(address, ask, RENEW_TIMEOUT_MS)
            except HemlockError:
                # The next writer may reach the platform; the end of the term is logged.
                continue
        return None

    def _list_writers(self) -> list[str]:
        members = {member.name: member for member in self._list_members()}
        names = [name for name, member in members.items() if member.zone == self._zone]
        order = rank_rendezvous(f"shares/{self._zone}", {*names, self._name})
        addresses = ["" if name == self._name else members[name].address for name in order]
        first = addresses[:WRITERS]
        return first if "" in first else [*first, ""]

    def _list_lenders(self) -> list[str]:
        members = [member for member in self._list_members() if member.name != self._name]
        random.shuffle(members)
        members.sort(key=lambda member: member.zone != self._zone)
        return [member.address for member in members]

    def _find_totals(self) -> ZoneTotals:
        file = self._find_file()
        zones = sorted(file.zones)
        totals = {
            account.name: find_part(
                Units.from_limits(account.limits), account.name, self._zone, zones
            )
            for account in file.client_accounts
        }
        names = {member.name for member in self._list_members() if member.zone == self._zone}
        return ZoneTotals(totals, frozenset(names | {self._name}) - self._find_leaving())

    def _find_leaving(self) -> set[str]:
        return {self._name} if self._leaving else set()

    def _find_kept(self) -> dict[str, Units]:
        """Return what to keep of the grants: the even part, and what is lent or in use."""
        divided = self._find_totals()
        kept = {}
        for account, total in divided.totals.items():
            part = NOTHING
            if not self._leaving:
                part = find_part(total, account, self._name, sorted(divided.names))
            running = 0 if self._use is None else self.count_needed(account).slots
            bound = self.book.count_given(account) + Units(slots=running)
            kept[account] = part.raise_to(bound).limit(self.book.count_keepable(account))
        return kept

    def _find_sizes(self, account: str) -> UnitSizes | None:
        file = self._find_file()
        if file is not self._sizes_of:
            self._sizes = {
                entry.name: UnitSizes.from_limits(entry.limits) for entry in file.client_accounts
            }
            self._sizes_of = file
        return self._sizes.get(account)

    def take_credit(self, account: str, units: Units) -> Credit:
        """Take at most what `units` hold out of the account's buckets."""
        sizes = self._find_sizes(account)
        if sizes is None or self._use is None:
            return Credit()
        rates = sizes.build_allowance(units)
        # Buckets hold what the rate brings in one second.
        return self._use.take_credit(
            account, Credit(rates.requests_per_second, rates.tokens_per_second)
        )

    def add_credit(self, account: str, credit: Credit) -> None:
        """Put `credit` into the account's buckets."""
        if self._use is not None and self._find_sizes(account) is not None:
            self._use.add_credit(account, credit)

    def _refresh(self, account: str) -> None:
        if self._use is not None:
            self._use.refresh(account)

    def _note_term(self, was_in_term: bool) -> None:
        if was_in_term and not self.book.in_term:
            log_event(Event.SHARES_EXPIRED, "warning", zone=self._zone)
        elif self.book.in_term and not was_in_term:
            log_event(Event.SHARES_GRANTED, zone=self._zone)

    def _keep_renewing(self) -> None:
        was_in_term = False
        while True:
            renewed = self.renew()
            self._note_term(was_in_term)
            was_in_term = self.book.in_term
            self._wait_to_renew(RENEW_MS if renewed else RETRY_MS)

    def _wait_to_renew(self, longest_ms: float) -> None:
        """Wait for the next word; it comes soon while the zone's daemons come and go."""
        until_ms = self._clock.now_ms() + longest_ms
        while self._clock.now_ms() < until_ms:
            gevent.sleep(RETRY_MS / MS_PER_SECOND)
            names = frozenset(member.name for member in self._list_members())
            if names != self._names:
                self._names = names
                self._hurry_until_ms = self._clock.now_ms() + HURRY_MS
            if self._clock.now_ms() < self._hurry_until_ms:
                return

    def _keep_loans(self) -> None:
        while True:
            gevent.sleep(TICK_MS / MS_PER_SECOND)
            self.borrower.extend_loans()


class _Credits:
    """The `CreditMover` of the loans: the buckets of the admission that uses the shares."""

    def __init__(self, shares: Shares) -> None:
        self._shares = shares

    def take(self, account: str, units: Units) -> Credit:
        """Take at most what `units` hold out of the account's buckets."""
        return self._shares.take_credit(account, units)

    def add(self, account: str, credit: Credit) -> None:
        """Put `credit` into the account's buckets."""
        self._shares.add_credit(account, credit)
