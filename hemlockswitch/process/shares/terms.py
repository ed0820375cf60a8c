"""Grants and loans of shares, and their durations."""

from collections.abc import Iterable
from dataclasses import dataclass

from hemlockswitch.process.shares.units import NOTHING, Resource, Units

TERM_MS = 10_000.0
LOAN_MS = 3_000.0
MIN_LOAN_MS = 500.0
REQUEST_MS = 60_000.0
SLOT_LOAN_MS = 2 * REQUEST_MS
DRIFT = 1.1


@dataclass(frozen=True)
class Loan:
    """Units that one daemon lends to another for a limited time.

    Parameters
    ==========

    number : assigned by the lender.
    peer : address of the other daemon.
    until_ms : reading of this daemon's clock at which the loan ends, which is later at the lender than at
        the borrower.
    """

    number: int
    peer: str
    account: str
    resource: Resource
    units: int
    until_ms: float

    def is_usable(self, now_ms: float) -> bool:
        """Return whether the borrower may admit a request on the loan.

        A borrowed slot may be used only by requests that end before the loan.
        """
        needed_ms = REQUEST_MS if self.resource is Resource.SLOTS else 0
        return now_ms < self.until_ms - needed_ms


@dataclass(frozen=True)
class Granted:
    """The anchor's grants to one process, by account.

    Parameters
    ==========

    grants : units that it may use in its term.
    floors : part of the grants that it continues to use if its term expires without a renewal.
    lendable : part of the grants that may be lent; only this part of a replaced process's grants may still
        be in use by other daemons.
    """

    grants: dict[str, Units]
    floors: dict[str, Units]
    lendable: dict[str, Units]


def sum_loans(loans: Iterable[Loan], account: str) -> Units:
    """Return the sum of an account's units in `loans`."""
    total = NOTHING
    for loan in loans:
        if loan.account == account:
            total += Units.only(loan.resource, loan.units)
    return total
