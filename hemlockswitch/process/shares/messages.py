"""Messages of loans of shares, and what both ends of a loan need from others."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Protocol

from hemlockswitch.connection.messages import register_message
from hemlockswitch.process.shares.units import Units
from hemlockswitch.request.allowances import Credit

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


@register_message("recall-loan")
@dataclass(frozen=True)
class RecallLoan:
    """A lender asks for up to so many units of a loan that the borrower does not need now."""

    number: int
    units: int


@register_message("loan-returned")
@dataclass(frozen=True)
class LoanReturned:
    """How many units of a recalled loan the borrower has left; never more than before."""

    units_left: int
    requests_credit: float
    tokens_credit: float


class LoanNetwork(Protocol):
    """The part of the peer network that loans use."""

    def ask(self, address: str, message: Any, timeout_ms: float) -> Any:
        """Return the peer's reply, or raise `PeerError`."""

    def handle(self, message_type: type, handler: Callable[[str, Any], Any]) -> None:
        """Serve messages of a type."""


class CreditMover(Protocol):
    """Moves what the buckets hold along with a loan."""

    def take(self, account: str, units: Units) -> Credit:
        """Take at most what `units` hold out of the account's buckets."""

    def add(self, account: str, credit: Credit) -> None:
        """Put `credit` into the account's buckets."""
