"""An operator's order to move a service to another version of its backend servers' software."""

from dataclasses import dataclass
from enum import StrEnum

OrderIdentity = tuple[str, str, int]
"""Service, target and creation: what tells an order from every other one."""


class RolloutState(StrEnum):
    """What became of an order; the last two are final."""

    RUNNING = "running"
    COMPLETED = "completed"
    ROLLED_BACK = "rolled_back"


@dataclass(frozen=True)
class RolloutOrder:
    """One order, as it lies in the object service.

    Parameters
    ==========

    service : the service whose traffic is to move.
    target : the version to move to.
    time_limit_ms : how long after the order the move must be over.
    created : the object service's version when the order was written; a new order has another one.
    state : what became of it; None before anybody has taken it up.
    version : of the stored object, for a conditional write of its state.

    Examples
    ========

    >>> order = RolloutOrder("llm", "v2", 12_000.0, created=41)
    >>> order.identity
    ('llm', 'v2', 41)
    >>> order.is_final
    False
    """

    service: str
    target: str
    time_limit_ms: float
    created: int
    state: RolloutState | None = None
    version: int = 0

    @property
    def identity(self) -> OrderIdentity:
        """What tells this order from every other one."""
        return self.service, self.target, self.created

    @property
    def is_final(self) -> bool:
        """Whether the order is closed."""
        return self.state in (RolloutState.COMPLETED, RolloutState.ROLLED_BACK)
