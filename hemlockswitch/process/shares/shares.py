"""A daemon's shares of each account's limits: renewed at the anchor, and lent between peers."""

from collections.abc import Callable, Iterable
from typing import Any

import gevent

from hemlockswitch.connection.stored_objects import ConditionalStore
from hemlockswitch.core.clock import MS_PER_SECOND, Clock
from hemlockswitch.core.events import Event
from hemlockswitch.core.logs import log_event
from hemlockswitch.process.shares.anchor import BATCH_MS, ShareAnchor
from hemlockswitch.process.shares.book import ShareBook
from hemlockswitch.process.shares.borrower import ShareBorrower
from hemlockswitch.process.shares.lender import Lender
from hemlockswitch.process.shares.loan_party import LoanParts
from hemlockswitch.process.shares.messages import LoanNetwork
from hemlockswitch.process.shares.parts import ShareMember, ShareParts
from hemlockswitch.process.shares.record import EntryWatch, RenewShares
from hemlockswitch.process.shares.renewal import ShareRenewal
from hemlockswitch.process.shares.units import NOTHING, Units
from hemlockswitch.request.allowances import AccountUse, Allowance, Credit, Shortage
from hemlockswitch.version.models import OperatorFile

TICK_MS = 500.0


class Shares:
    """The daemon's `Allowances`: its shares, which are renewed periodically and lent on demand.

    Explanation
    ===========

    Each zone divides its part of an account's limits evenly between its daemons, in one object of the
    platform, which the first daemons of a rendezvous order write for all. Units that one daemon does not use
    can be borrowed by another; the lender deducts them first. No unit is granted twice even if messages are
    lost, since every expiry counts as a duration from before the request for it was sent.

    Parameters
    ==========

    name, zone : name and zone of this daemon.
    clock : the process's clock.
    store : the platform's object service.
    network : the peer network.
    find_file : returns the active operator file.
    list_members : returns the live daemons that are not leaving.
    is_vm_removed : returns whether the platform has removed the VM of a name.
    batch_ms : renewals that arrive at the anchor within this time are written together.
    """

    def __init__(
        self,
        *,
        name: str,
        zone: str,
        clock: Clock,
        store: ConditionalStore,
        network: LoanNetwork,
        find_file: Callable[[], OperatorFile],
        list_members: Callable[[], Iterable[ShareMember]],
        is_vm_removed: Callable[[str], bool] = lambda name: False,
        batch_ms: float = BATCH_MS,
    ) -> None:
        self._use: AccountUse | None = None
        self._tasks: list[gevent.Greenlet] = []
        self.parts = ShareParts(name, zone, find_file, list_members)
        self.book = ShareBook(clock, self._refresh, lambda: self.renewal.renew_soon())
        watch = EntryWatch(clock, is_vm_removed)
        self.anchor = ShareAnchor(store, zone, self.parts.find_totals, watch, batch_ms)
        self.renewal = ShareRenewal(
            self.parts,
            self.book,
            self.anchor,
            network,
            clock,
            lambda account: self.count_needed(account).slots,
        )
        parts = LoanParts(self.book, network, clock, self.count_needed, _Credits(self))
        self.lender = Lender(parts)
        self.borrower = ShareBorrower(parts)
        network.handle(RenewShares, lambda sender, request: self.anchor.renew(request))

    @property
    def is_ready(self) -> bool:
        """Whether this daemon has its shares, or the time to wait for them has passed."""
        return self.renewal.is_ready

    def set_use(self, use: AccountUse) -> None:
        """Set the admission that uses these shares."""
        self._use = use

    def start(self) -> None:
        """Start the tasks that renew the shares and extend loans; further calls have no effect."""
        if self._tasks:
            return
        self.anchor.start()
        runs = (self.renewal.run, self._keep_loans)
        self._tasks = [gevent.spawn(_keep_running, run) for run in runs]

    def stop(self) -> None:
        """Stop the tasks; the held units expire."""
        self.anchor.stop()
        gevent.killall(self._tasks, block=False)

    def leave(self) -> None:
        """Return all units that are not in use; must be called again after the last request has ended."""
        self.parts.leaving = True
        self.borrower.return_all()
        self.renewal.renew()

    def find_allowance(self, account: str) -> Allowance | None:
        """Return what may be admitted now, or None if the account is not configured."""
        sizes = self.parts.find_sizes(account)
        return None if sizes is None else sizes.build_allowance(self.book.count_held(account))

    def seek_more(self, account: str, shortage: Shortage, wait_ms: float) -> bool:
        """Borrow what a request lacks from other daemons; return whether any units were received."""
        sizes = self.parts.find_sizes(account)
        if sizes is None or self.parts.leaving:
            return False
        lacking = sizes.count_units(
            Allowance(
                shortage.requests_per_second,
                shortage.tokens_per_second,
                shortage.concurrent_requests,
            )
        )
        # Slots are borrowed as needed, rates up to the demand, so that one loan serves many requests.
        beyond = self.count_needed(account) - self.book.count_held(account)
        wanted = lacking.raise_to(Units(beyond.requests, beyond.tokens, 0))
        asked = Units(
            wanted.requests if lacking.requests else 0,
            wanted.tokens if lacking.tokens else 0,
            lacking.slots,
        )
        recalled = self.lender.recall(account, asked)
        return recalled or self.borrower.borrow(account, asked, self.parts.list_lenders(), wait_ms)

    def count_needed(self, account: str) -> Units:
        """Return the units that cover the demand of the last second."""
        sizes = self.parts.find_sizes(account)
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

    def take_credit(self, account: str, units: Units) -> Credit:
        """Remove at most the bucket capacity of `units` from the account's buckets."""
        sizes = self.parts.find_sizes(account)
        if sizes is None or self._use is None:
            return Credit()
        # The capacity of a bucket is the amount of one second at its rate.
        rates = sizes.build_allowance(units)
        most = Credit(rates.requests_per_second, rates.tokens_per_second)
        return self._use.take_credit(account, most)

    def add_credit(self, account: str, credit: Credit) -> None:
        """Add `credit` to the account's buckets."""
        if self._use is not None and self.parts.find_sizes(account) is not None:
            self._use.add_credit(account, credit)

    def _refresh(self, account: str) -> None:
        if self._use is not None:
            self._use.refresh(account)

    def _keep_loans(self) -> None:
        while True:
            gevent.sleep(TICK_MS / MS_PER_SECOND)
            self.borrower.extend_loans()


def _keep_running(run: Callable[[], None]) -> None:
    """Run a task until killed; a failure is logged, and the task restarted."""
    while True:
        try:
            run()
        except Exception as error:
            log_event(Event.TASK_FAILED, "error", task=run.__qualname__, error=repr(error))
            gevent.sleep(TICK_MS / MS_PER_SECOND)


class _Credits:
    """The `CreditMover` of the loans, for the buckets of the admission that uses the shares."""

    def __init__(self, shares: Shares) -> None:
        self._shares = shares

    def take(self, account: str, units: Units) -> Credit:
        """Remove at most the bucket capacity of `units` from the account's buckets."""
        return self._shares.take_credit(account, units)

    def add(self, account: str, credit: Credit) -> None:
        """Add `credit` to the account's buckets."""
        self._shares.add_credit(account, credit)
