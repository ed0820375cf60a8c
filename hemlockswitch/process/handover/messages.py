"""Messages by which generations in progress change their daemon."""

from dataclasses import asdict, dataclass, fields
from typing import Any

from hemlockswitch.connection.messages import register_message
from hemlockswitch.core.errors import ErrorKind, PeerError
from hemlockswitch.request.generation import GenerationState


@register_message("hand-over")
@dataclass(frozen=True)
class HandOver:
    """Gives a generation to the receiver, which owns it once it has answered.

    Parameters
    ==========

    state : the fields of a `GenerationState`.
    hops : how often the generation has changed its daemon, this time included; of two copies
        the one with more hops is the newer.
    """

    state: dict[str, Any]
    hops: int


@register_message("handed-over")
@dataclass(frozen=True)
class HandedOver:
    """The receiver owns the generation."""

    request_id: str


@register_message("find-state")
@dataclass(frozen=True)
class FindState:
    """Asks whether the receiver holds a generation of an account."""

    request_id: str
    account: str


@register_message("state-found")
@dataclass(frozen=True)
class StateFound:
    """Whether it does; `hops` is 0 when it does not."""

    hops: int


@register_message("take-state")
@dataclass(frozen=True)
class TakeState:
    """Asks for a generation; it is reserved for this taker until it confirms or gives up.

    Parameters
    ==========

    taker : one identifier for one caller's fetch; asking again with it gives the same answer.
    """

    request_id: str
    account: str
    taker: str


@register_message("state-taken")
@dataclass(frozen=True)
class StateTaken:
    """The generation; the receiver still owns it."""

    state: dict[str, Any]
    hops: int


@register_message("confirm-take")
@dataclass(frozen=True)
class ConfirmTake:
    """The taker has the generation; once this is answered it owns it."""

    request_id: str
    taker: str


@register_message("drop-state")
@dataclass(frozen=True)
class DropState:
    """An older copy than `hops` is not to be served, and its engine stream not to be ended."""

    request_id: str
    hops: int


def encode_state(state: GenerationState) -> dict[str, Any]:
    """Return a state as a message carries it."""
    return asdict(state)


def decode_state(content: dict[str, Any]) -> GenerationState:
    """Return the state that a message carries; fields of a later version are passed over.

    Raises
    ======

    PeerError : a field is missing.
    """
    known = {field.name for field in fields(GenerationState)}
    values = {name: value for name, value in content.items() if name in known}
    try:
        state = GenerationState(**{**values, "tokens": tuple(values["tokens"])})
    except (KeyError, TypeError) as error:
        raise PeerError(ErrorKind.BAD_REQUEST, f"not a generation: {error}") from error
    return state
