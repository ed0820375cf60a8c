"""What a daemon may admit for a client account now, and where that comes from."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from hemlockswitch.version.models import AccountLimits, OperatorFile


@dataclass(frozen=True)
class Allowance:
    """What one daemon may admit for one client account at this moment.

    Parameters
    ==========

    requests_per_second, tokens_per_second : rates that refill the account's buckets.
    concurrent_requests : requests that may be in progress here.
    """

    requests_per_second: float
    tokens_per_second: float
    concurrent_requests: int

    @classmethod
    def from_limits(cls, limits: AccountLimits, share: float = 1.0) -> "Allowance":
        """Return `share` of an account's limits; concurrency is rounded down."""
        return cls(
            limits.requests_per_second * share,
            limits.tokens_per_second * share,
            int(limits.concurrent_requests * share),
        )


@dataclass(frozen=True)
class Shortage:
    """What a request lacks here: the amounts that would let it in at once."""

    requests_per_second: float = 0.0
    tokens_per_second: float = 0.0
    concurrent_requests: int = 0
    deadline_ms: float | None = None


@dataclass(frozen=True)
class Credit:
    """What buckets hold at a moment, as amounts and not as rates."""

    requests: float = 0.0
    tokens: float = 0.0


class AccountUse(Protocol):
    """What an `Allowances` may ask of the admission that uses it."""

    def measure_demand(self, account: str) -> Allowance:
        """Return the rates asked for lately, refused ones too, and the requests in progress."""

    def take_credit(self, account: str, most: Credit) -> Credit:
        """Take at most `most` out of the account's buckets and return what was taken."""

    def add_credit(self, account: str, credit: Credit) -> None:
        """Put `credit` into the account's buckets."""

    def refresh(self, account: str) -> None:
        """Take note that the allowance of `account` changed just now."""


class Allowances(Protocol):
    """A source of allowances; `hemlockswitch.process.shares.shares` is the one that moves them."""

    def find_allowance(self, account: str) -> Allowance | None:
        """Return what may be admitted now, or None for an unknown account."""

    def seek_more(self, account: str, shortage: Shortage, wait_ms: float) -> bool:
        """Try for at most `wait_ms` to get more; return whether the allowance grew."""


class FixedAllowances:
    """Each account's limits divided evenly by the number of daemons.

    Parameters
    ==========

    find_file : returns the operator file in force.
    count_daemons : returns how many daemons divide the limits; at least 1.
    """

    def __init__(
        self, find_file: Callable[[], OperatorFile], count_daemons: Callable[[], int]
    ) -> None:
        self._find_file = find_file
        self._count_daemons = count_daemons

    def find_allowance(self, account: str) -> Allowance | None:
        """Return the account's limits divided by the number of daemons."""
        for entry in self._find_file().client_accounts:
            if entry.name == account:
                return Allowance.from_limits(entry.limits, 1 / max(self._count_daemons(), 1))
        return None

    def seek_more(self, account: str, shortage: Shortage, wait_ms: float) -> bool:
        """Return False: a fixed division never grows."""
        return False
