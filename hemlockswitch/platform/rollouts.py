"""Orders of roll-outs, which the platform keeps one for each service: decoded, and their status."""

from typing import Annotated, Any, Literal

import msgspec

from hemlockswitch.connection.stored_objects import StoredObject
from hemlockswitch.core.clock import MS_PER_SECOND
from hemlockswitch.core.errors import ConfigurationError, ErrorKind
from hemlockswitch.platform.bodies import Body, read_value
from hemlockswitch.version.rollout import RolloutOrder, RolloutState

ROLLOUT_KIND = "rollouts"

_Text = Annotated[str, msgspec.Meta(min_length=1)]
_Positive = Annotated[float, msgspec.Meta(gt=0)]


class _OrderBody(Body, frozen=True):
    service: _Text
    to: _Text  # the version of the runners' software to move to
    duration_s: _Positive  # the time within which the move must be over, not how long it lasts


class _StatusBody(Body, frozen=True):
    state: Literal["running", "completed", "rolled_back"]
    to: str = ""  # the version that the state is about; an order may have replaced another one


def decode_rollout(item: StoredObject) -> RolloutOrder:
    """Return the order of a stored object.

    Raises
    ======

    ConfigurationError : it cannot be read, or it names another service than its object.
    """
    body = read_value(_OrderBody, item.value)
    if body.service != item.name:
        detail = f"roll-out {item.name!r} names the service {body.service!r}"
        raise ConfigurationError(ErrorKind.INVALID_CONFIGURATION, detail)
    return RolloutOrder(
        service=body.service,
        target=body.to,
        time_limit_ms=body.duration_s * MS_PER_SECOND,
        created=item.created,
        state=_read_state(item, body.to),
        version=item.version,
    )


def _read_state(item: StoredObject, target: str) -> RolloutState | None:
    """Return the state that is stored for this target; None if it is another order's."""
    if not item.status:
        return None
    status = read_value(_StatusBody, item.status)
    return RolloutState(status.state) if status.to == target else None


def encode_rollout_status(order: RolloutOrder, state: RolloutState) -> dict[str, Any]:
    """Return the status that says what became of an order."""
    return {"state": state.value, "to": order.target}
