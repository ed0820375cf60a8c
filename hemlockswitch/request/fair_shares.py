"""Division of a service's capacity between client accounts, as pure functions.

Answers the load of accounts that together request more than the servers of a service can process, where
one account requests many times as much as the others. An account that requests no more than its part must
get all of it, however much the others request; what it leaves unused goes to accounts that request more.
"""

from collections.abc import Mapping
from dataclasses import dataclass


@dataclass(frozen=True)
class AccountDemand:
    """What an account requests of a service.

    Parameters
    ==========

    offered : requested work per unit of time, whether it was admitted or refused.
    weight : relative part of the capacity that the account is entitled to.
    """

    offered: float
    weight: float = 1.0


def divide_capacity(capacity: float, demands: Mapping[str, AccountDemand]) -> dict[str, float]:
    """Return the weighted max-min fair part of each account.

    An account gets no more than it requests. The remaining capacity is divided by weight among the accounts
    that request more than their part.

    Parameters
    ==========

    capacity : work per unit of time that the servers can process, in the unit of `AccountDemand.offered`.

    Examples
    ========

    >>> demands = {"a": AccountDemand(10), "b": AccountDemand(30), "c": AccountDemand(500)}
    >>> divide_capacity(100, demands)
    {'a': 10, 'b': 30, 'c': 60.0}
    >>> divide_capacity(60, {"a": AccountDemand(90, weight=2), "b": AccountDemand(90)})
    {'a': 40.0, 'b': 20.0}
    """
    parts: dict[str, float] = {}
    remaining = max(capacity, 0.0)
    weight_left = sum(demand.weight for demand in demands.values())
    # Whoever requests least for its weight is satisfied first; the others share what remains.
    for name, demand in sorted(demands.items(), key=lambda one: _find_level(one[1])):
        entitled = remaining * demand.weight / weight_left if weight_left > 0 else 0.0
        parts[name] = min(demand.offered, entitled)
        remaining -= parts[name]
        weight_left -= demand.weight
    return {name: parts[name] for name in demands}


def _find_level(demand: AccountDemand) -> float:
    return demand.offered / demand.weight if demand.weight > 0 else float("inf")
