"""What both ends of a loan have: the daemon's record, the peers, and the demand here."""

from collections.abc import Callable
from dataclasses import dataclass

from hemlockswitch.core.clock import Clock
from hemlockswitch.process.shares.book import ShareBook
from hemlockswitch.process.shares.messages import CreditMover, LoanNetwork
from hemlockswitch.process.shares.units import Units


@dataclass(frozen=True)
class LoanParts:
    """What the ends of a daemon's loans are built from.

    Parameters
    ==========

    book : the daemon's record.
    network : the peer network.
    clock : the process's clock.
    count_needed : the units that an account's own demand here needs.
    credits : moves what the buckets hold.
    """

    book: ShareBook
    network: LoanNetwork
    clock: Clock
    count_needed: Callable[[str], Units]
    credits: CreditMover


class LoanEnd:
    """One end of the loans of a daemon."""

    def __init__(self, parts: LoanParts) -> None:
        self._book = parts.book
        self._network = parts.network
        self._clock = parts.clock
        self._count_needed = parts.count_needed
        self._credits = parts.credits
