"""The messages of share loans, and the interfaces that lenders and borrowers need."""

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
    """Requests units of one resource of an account."""

    account: str
    resource: str
    units: int


@register_message("share-lent")
@dataclass(frozen=True)
class ShareLent:
    """A loan; its units are 0 if the lender has none to spare.

    Parameters
    ==========

    duration_ms : duration of the loan; the borrower counts it from before it sent the request.
    requests_credit, tokens_credit : one-time credit, taken from the lender's token buckets.
    """

    number: int
    units: int
    duration_ms: float
    requests_credit: float
    tokens_credit: float


@register_message("extend-loans")
@dataclass(frozen=True)
class ExtendLoans:
    """Requests to extend loans, as pairs of number and wanted units; 0 units return a loan."""

    loans: Terms


@register_message("loans-extended")
@dataclass(frozen=True)
class LoansExtended:
    """Extended loans, as triples of number, units, and duration in milliseconds.

    A loan that is not listed keeps its previous end.
    """

    loans: Terms


@register_message("recall-loan")
@dataclass(frozen=True)
class RecallLoan:
    """A lender's request for up to `units` units of a loan that the borrower does not need."""

    number: int
    units: int


@register_message("loan-returned")
@dataclass(frozen=True)
class LoanReturned:
    """The units of a recalled loan that the borrower retains, never more than before."""

    units_left: int
    requests_credit: float
    tokens_credit: float


class LoanNetwork(Protocol):
    """The part of the peer network that loans use."""

    def request(self, address: str, message: Any, timeout_ms: float) -> Any:
        """Return the peer's reply, or raise `PeerError`."""

    def handle(self, message_type: type, handler: Callable[[str, Any], Any]) -> None:
        """Register the handler of a message type."""


class CreditMover(Protocol):
    """Moves the contents of token buckets along with a loan."""

    def take(self, account: str, units: Units) -> Credit:
        """Remove at most the bucket capacity of `units` from the account's buckets."""

    def add(self, account: str, credit: Credit) -> None:
        """Add `credit` to the account's buckets."""
