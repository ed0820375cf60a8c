"""Limits as integer units, so that they divide between daemons without a fraction."""

from collections.abc import Iterable
from dataclasses import astuple, dataclass
from enum import StrEnum
from math import ceil

from hemlockswitch.core.identifiers import rank_rendezvous
from hemlockswitch.request.allowances import Allowance
from hemlockswitch.version.models import AccountLimits

NEGLIGIBLE = 0.2


class Resource(StrEnum):
    """The resource that a limit applies to."""

    REQUESTS = "requests"
    TOKENS = "tokens"
    SLOTS = "slots"


@dataclass(frozen=True)
class Units:
    """Integer units of requests per second, tokens per second, and concurrent requests.

    Examples
    ========

    >>> Units(3, 10, 2) - Units(1, 4, 0)
    Units(requests=2, tokens=6, slots=2)
    >>> Units(3, 10, 1).halve()
    Units(requests=2, tokens=5, slots=1)
    """

    requests: int = 0
    tokens: int = 0
    slots: int = 0

    @classmethod
    def only(cls, resource: Resource, count: int) -> "Units":
        """Return `count` units of one resource."""
        return cls(**{resource.value: count})

    @classmethod
    def from_limits(cls, limits: AccountLimits) -> "Units":
        """Return the number of units in an account's limits, with at least one of each rate."""
        return cls(
            max(int(limits.requests_per_second), 1),
            max(int(limits.tokens_per_second), 1),
            limits.concurrent_requests,
        )

    def get(self, resource: Resource) -> int:
        """Return the units of one resource."""
        return getattr(self, resource.value)

    def __add__(self, other: "Units") -> "Units":
        return Units(*(a + b for a, b in zip(astuple(self), astuple(other), strict=True)))

    def __sub__(self, other: "Units") -> "Units":
        return Units(*(a - b for a, b in zip(astuple(self), astuple(other), strict=True)))

    def limit(self, other: "Units") -> "Units":
        """Return the smaller count of each resource."""
        return Units(*(min(a, b) for a, b in zip(astuple(self), astuple(other), strict=True)))

    def raise_to(self, other: "Units") -> "Units":
        """Return the larger count of each resource."""
        return Units(*(max(a, b) for a, b in zip(astuple(self), astuple(other), strict=True)))

    def halve(self) -> "Units":
        """Return half of each resource, rounded up."""
        return Units(*((count + 1) // 2 for count in astuple(self)))

    def list_counts(self) -> list[int]:
        """Return the counts in the order of the fields, for messages and stored values."""
        return list(astuple(self))


NOTHING = Units()


@dataclass(frozen=True)
class UnitSizes:
    """The part of a limit that one unit represents, at least one request per second where possible."""

    requests_per_second: float
    tokens_per_second: float

    @classmethod
    def from_limits(cls, limits: AccountLimits) -> "UnitSizes":
        """Return the sizes for which the units add up to the limits exactly."""
        units = Units.from_limits(limits)
        return cls(
            limits.requests_per_second / units.requests,
            limits.tokens_per_second / units.tokens,
        )

    def build_allowance(self, held: Units) -> Allowance:
        """Return the allowance of a daemon that holds `held`."""
        return Allowance(
            held.requests * self.requests_per_second,
            held.tokens * self.tokens_per_second,
            held.slots,
        )

    def count_units(self, rate_of: Allowance) -> Units:
        """Return the units that cover a demand, rounded up except for negligible fractions."""
        return Units(
            max(ceil(rate_of.requests_per_second / self.requests_per_second - NEGLIGIBLE), 0),
            max(ceil(rate_of.tokens_per_second / self.tokens_per_second - NEGLIGIBLE), 0),
            rate_of.concurrent_requests,
        )


def find_part(total: Units, key: str, name: str, names: Iterable[str]) -> Units:
    """Return the part of `name` if `names` divide `total` evenly.

    Explanation
    ===========

    The remainder is distributed, one unit each, to the first names in the rendezvous order of `key` and the
    resource, so that the remainders of different accounts are assigned to different daemons.

    Examples
    ========

    >>> parts = [find_part(Units(5, 9, 4), "abdoun", name, "abc") for name in "abc"]
    >>> parts[0] + parts[1] + parts[2]
    Units(requests=5, tokens=9, slots=4)
    """
    members = list(names)
    if name not in members:
        return NOTHING
    counts = []
    for resource in Resource:
        each, left = divmod(total.get(resource), len(members))
        order = rank_rendezvous(f"{key}/{resource}", members) if left else members
        counts.append(each + (order.index(name) < left))
    return Units(*counts)
