"""Messages that move generations in progress between daemons."""

from dataclasses import asdict, dataclass, fields
from typing import Any

from hemlockswitch.connection.messages import register_message
from hemlockswitch.core.errors import ErrorKind, PeerError
from hemlockswitch.request.generation import GenerationState


@register_message("hand-over")
@dataclass(frozen=True)
class HandOver:
    """Transfers a generation to the receiver, which owns it once it has answered.

    Parameters
    ==========

    state : the fields of a `GenerationState`.
    hops : how often a daemon that relayed the generation has tried to hand it over, including this
        time; of two copies the one with more hops is newer.
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
    """Asks whether the receiver stores a generation of a client account."""

    request_id: str
    account: str


@register_message("state-found")
@dataclass(frozen=True)
class StateFound:
    """The reply to `FindState`; `hops` is 0 if the receiver does not store the generation."""

    hops: int


@register_message("take-state")
@dataclass(frozen=True)
class TakeState:
    """Requests a generation and reserves it for a taker until it confirms or the time is over.

    Parameters
    ==========

    taker : identifier of one caller's fetch; a repeated request with it gets the same answer.
    """

    request_id: str
    account: str
    taker: str


@register_message("state-taken")
@dataclass(frozen=True)
class StateTaken:
    """The generation; the daemon that sends this reply still owns it."""

    state: dict[str, Any]
    hops: int


@register_message("confirm-take")
@dataclass(frozen=True)
class ConfirmTake:
    """Confirms that the taker has the generation; the taker owns it once this is answered."""

    request_id: str
    taker: str


@register_message("drop-state")
@dataclass(frozen=True)
class DropState:
    """Discards copies with fewer hops than `hops`, without ending their engine stream."""

    request_id: str
    hops: int


def encode_state(state: GenerationState) -> dict[str, Any]:
    """Return a state in the form that messages carry."""
    return asdict(state)


def decode_state(content: dict[str, Any]) -> GenerationState:
    """Return the state that a message carries; fields of a later version are ignored.

    Raises
    ======

    PeerError : a field is missing.
    """
    known = {field.name for field in fields(GenerationState)}
    values = {name: value for name, value in content.items() if name in known}
    try:
        state = GenerationState(**{**values, "tokens": tuple(values["tokens"])})
    except (KeyError, TypeError) as error:
        raise PeerError(
            ErrorKind.BAD_REQUEST, f"state of a generation is not valid: {error}"
        ) from error
    return state
