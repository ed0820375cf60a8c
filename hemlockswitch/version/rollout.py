"""Rollout orders: an operator's order to move a service to another software version."""

from dataclasses import dataclass
from enum import StrEnum

OrderIdentity = tuple[str, str, int]
"""Service, target and creation version, which together identify an order."""


class RolloutState(StrEnum):
    """State of an order; the last two are final."""

    RUNNING = "running"
    COMPLETED = "completed"
    ROLLED_BACK = "rolled_back"


@dataclass(frozen=True)
class RolloutOrder:
    """A rollout order as stored in the object service.

    Parameters
    ==========

    service : the service whose traffic moves.
    target : the software version that the traffic moves to.
    time_limit_ms : time from the order until the rollout must be complete.
    created_version : the object service's version at which the order was written; differs for each order.
    state : current state; None until a gateway starts the rollout.
    version : version of the stored object, for a conditional write of the state.

    Examples
    ========

    >>> order = RolloutOrder("llm", "v2", 12_000.0, created_version=41)
    >>> order.identity
    ('llm', 'v2', 41)
    >>> order.is_final
    False
    """

    service: str
    target: str
    time_limit_ms: float
    created_version: int
    state: RolloutState | None = None
    version: int = 0

    @property
    def identity(self) -> OrderIdentity:
        """The fields that identify this order."""
        return self.service, self.target, self.created_version

    @property
    def is_final(self) -> bool:
        """Whether the order is completed or rolled back."""
        return self.state in (RolloutState.COMPLETED, RolloutState.ROLLED_BACK)
