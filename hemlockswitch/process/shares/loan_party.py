"""The common base of lenders and borrowers: the daemon's record, its peers, and its demand."""

from collections.abc import Callable
from dataclasses import dataclass

from hemlockswitch.core.clock import Clock
from hemlockswitch.process.shares.book import ShareBook
from hemlockswitch.process.shares.messages import CreditMover, LoanNetwork
from hemlockswitch.process.shares.units import Units


@dataclass(frozen=True)
class LoanParts:
    """The components that lenders and borrowers need.

    Parameters
    ==========

    book : the daemon's record.
    network : the peer network.
    clock : the process's clock.
    count_needed : returns the units that cover an account's demand at this daemon.
    credits : moves the contents of token buckets.
    """

    book: ShareBook
    network: LoanNetwork
    clock: Clock
    count_needed: Callable[[str], Units]
    credits: CreditMover


class LoanParty:
    """Base class of the lender and the borrower of a daemon."""

    def __init__(self, parts: LoanParts) -> None:
        self._book = parts.book
        self._network = parts.network
        self._clock = parts.clock
        self._count_needed = parts.count_needed
        self._credits = parts.credits
