"""The lender of loans: it deducts units first, and recalls units that its borrowers do not need."""

import gevent

from hemlockswitch.core.errors import PeerError
from hemlockswitch.process.shares.loan_party import LoanParts, LoanParty
from hemlockswitch.process.shares.messages import (
    BorrowShare,
    ExtendLoans,
    LoansExtended,
    RecallLoan,
    ShareLent,
)
from hemlockswitch.process.shares.terms import Loan
from hemlockswitch.process.shares.units import Resource, Units
from hemlockswitch.request.allowances import Credit

RECALL_TIMEOUT_MS = 60.0
RECALL_PAUSE_MS = 100.0
PARALLEL_RECALLS = 4


class Lender(LoanParty):
    """Lends units that this daemon does not need, and recalls idle loans for other borrowers."""

    def __init__(self, parts: LoanParts) -> None:
        super().__init__(parts)
        self._recall_paused_until_ms: dict[tuple[str, Resource], float] = {}
        self._network.handle(BorrowShare, self.lend)
        self._network.handle(ExtendLoans, self.extend)

    def lend(self, sender: str, request: BorrowShare) -> ShareLent:
        """Deduct the requested units as far as they are spare, and return them as a loan."""
        resource = Resource(request.resource)
        if self._count_spare(request.account, resource) < request.units:
            self._recall(sender, request.account, resource, request.units)
        spare = min(self._count_spare(request.account, resource), request.units)
        if spare <= 0:
            return ShareLent(0, 0, 0.0, 0.0, 0.0)
        credit = self._credits.take(request.account, Units.only(resource, spare))
        loan = self._book.lend(sender, request.account, resource, spare)
        if loan is None:
            self._credits.add(request.account, credit)
            return ShareLent(0, 0, 0.0, 0.0, 0.0)
        duration_ms = self._book.compute_remaining_ms(loan)
        return ShareLent(loan.number, loan.units, duration_ms, credit.requests, credit.tokens)

    def extend(self, sender: str, request: ExtendLoans) -> LoansExtended:
        """Extend loans, reduced by the units that this daemon needs itself."""
        extended = []
        for number, wanted in request.loans:
            self._book.reduce_given(sender, number, wanted)
            given = self._book.find_given(sender, number)
            if given is None:
                continue
            short = max(-self._count_spare(given.account, given.resource), 0)
            loan = self._book.extend(sender, number, given.units - short)
            if loan is not None:
                extended.append([number, loan.units, int(self._book.compute_remaining_ms(loan))])
        return LoansExtended(extended)

    def recall(self, account: str, asked: Units) -> bool:
        """Recall idle units from borrowers for this daemon's own requests; return whether any came."""
        came = False
        for resource in Resource:
            if asked.get(resource) > 0:
                came = self._recall("", account, resource, asked.get(resource)) or came
        return came

    def _recall(self, sender: str, account: str, resource: Resource, units: int) -> bool:
        key = (account, resource)
        if self._clock.now_ms() < self._recall_paused_until_ms.get(key, 0):
            return False
        loans = [
            loan
            for loan in self._book.list_given(account, resource)
            if loan.peer and loan.peer != sender
        ]
        loans.sort(key=lambda loan: -loan.units)
        requests = [
            gevent.spawn(self._recall_one, loan, units) for loan in loans[:PARALLEL_RECALLS]
        ]
        gevent.joinall(requests)
        came = any(request.value for request in requests)
        if not came:
            self._recall_paused_until_ms[key] = self._clock.now_ms() + RECALL_PAUSE_MS
        return came

    def _recall_one(self, loan: Loan, units: int) -> bool:
        try:
            reply = self._network.request(
                loan.peer, RecallLoan(loan.number, min(units, loan.units)), RECALL_TIMEOUT_MS
            )
        except PeerError:
            return False
        given = self._book.find_given(loan.peer, loan.number)
        if given is None or reply.units_left >= given.units:
            return False
        self._book.reduce_given(loan.peer, loan.number, reply.units_left)
        self._credits.add(loan.account, Credit(reply.requests_credit, reply.tokens_credit))
        return True

    def _count_spare(self, account: str, resource: Resource) -> int:
        own = self._book.count_own(account) - self._book.count_given(account)
        return own.get(resource) - self._count_needed(account).get(resource)
