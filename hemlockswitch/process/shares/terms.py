"""Grants and loans of shares, and how long they last."""

from collections.abc import Iterable
from dataclasses import dataclass

from hemlockswitch.process.shares.units import NOTHING, Resource, Units

TERM_MS = 10_000.0
LOAN_MS = 3_000.0
SHORTEST_LOAN_MS = 500.0
REQUEST_MS = 60_000.0
SLOT_LOAN_MS = 2 * REQUEST_MS
DRIFT = 1.1


@dataclass(frozen=True)
class Loan:
    """Units that moved from one daemon to another for a while.

    Parameters
    ==========

    number : given by the lender.
    peer : address of the other daemon.
    until_ms : own clock's reading at which the loan ends: late at the lender, early at the
        borrower.
    """

    number: int
    peer: str
    account: str
    resource: Resource
    units: int
    until_ms: float

    def is_usable(self, now_ms: float) -> bool:
        """Return whether a request may be admitted on the loan at the borrower.

        A borrowed slot is used only by requests that end before the loan does.
        """
        needed_ms = REQUEST_MS if self.resource is Resource.SLOTS else 0
        return now_ms < self.until_ms - needed_ms


@dataclass(frozen=True)
class Granted:
    """What the anchor holds for one process, by account.

    Parameters
    ==========

    grants : what it may use in its term.
    floors : what of it the process goes on with when its term ends without a word.
    lendable : what of it may be lent; of a process that was replaced, only this may be in use
        elsewhere still.
    """

    grants: dict[str, Units]
    floors: dict[str, Units]
    lendable: dict[str, Units]


def sum_loans(loans: Iterable[Loan], account: str) -> Units:
    """Return the units of an account in some loans."""
    total = NOTHING
    for loan in loans:
        if loan.account == account:
            total += Units.only(loan.resource, loan.units)
    return total
