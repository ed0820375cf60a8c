"""Decoding of rollout orders, of which the platform stores one per service, and their status."""

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
    to: _Text  # target version of the runners' software
    duration_s: _Positive  # time limit of the rollout, not its expected duration


class _StatusBody(Body, frozen=True):
    state: Literal["running", "completed", "rolled_back"]
    to: str = ""  # version that the state refers to; an earlier order may have written it


def decode_rollout(item: StoredObject) -> RolloutOrder:
    """Decode the rollout order of a stored object.

    Raises
    ======

    ConfigurationError : the order is invalid, or its service differs from the object's name.
    """
    body = read_value(_OrderBody, item.value)
    if body.service != item.name:
        detail = f"rollout order {item.name!r} names a different service, {body.service!r}"
        raise ConfigurationError(ErrorKind.INVALID_CONFIGURATION, detail)
    return RolloutOrder(
        service=body.service,
        target=body.to,
        time_limit_ms=body.duration_s * MS_PER_SECOND,
        created_version=item.created,
        state=_read_state(item, body.to),
        version=item.version,
    )


def _read_state(item: StoredObject, target: str) -> RolloutState | None:
    """Return the stored state of the order for `target`; None if it belongs to another order."""
    if not item.status:
        return None
    status = read_value(_StatusBody, item.status)
    return RolloutState(status.state) if status.to == target else None


def encode_rollout_status(order: RolloutOrder, state: RolloutState) -> dict[str, Any]:
    """Encode the status of an order as it is stored."""
    return {"state": state.value, "to": order.target}
