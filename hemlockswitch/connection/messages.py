"""Typed messages between the system's processes, encoded with msgpack.

A message is a frozen dataclass registered under a short tag. It is encoded as a map of its fields,
with the tag under ``"t"``.
"""

from dataclasses import dataclass, fields
from typing import Any, TypeVar

import msgpack

from hemlockswitch.core.errors import ErrorKind, PeerError

TAG_FIELD = "t"
MAX_FRAME_BYTES = 4 * 1024 * 1024

_types: dict[str, type] = {}
_field_names: dict[type, tuple[str, ...]] = {}
MessageType = TypeVar("MessageType", bound=type)


def register_message(tag: str):
    """Return a class decorator that registers a frozen dataclass under `tag`."""

    def register(message_type: MessageType) -> MessageType:
        if tag in _types:
            raise ValueError(f"message tag {tag!r} is already registered")
        _types[tag] = message_type
        _field_names[message_type] = tuple(field.name for field in fields(message_type))
        message_type.tag = tag  # type: ignore[attr-defined]
        return message_type

    return register


def encode_message(message: Any) -> bytes:
    """Encode a registered message with msgpack.

    Examples
    ========

    >>> decode_message(encode_message(Refusal(kind="leaving", detail="stopping")))
    Refusal(kind='leaving', detail='stopping')
    """
    body = {name: getattr(message, name) for name in _field_names[type(message)]}
    body[TAG_FIELD] = message.tag
    return msgpack.packb(body, use_bin_type=True)


def decode_message(frame: bytes) -> Any:
    """Decode the message in the body of a frame.

    Raises
    ======

    PeerError : the body is too large, its tag is not registered, or its fields are wrong.
    """
    if len(frame) > MAX_FRAME_BYTES:
        raise PeerError(ErrorKind.BODY_TOO_LARGE, f"message too large: {len(frame)} bytes")
    try:
        body = msgpack.unpackb(frame, raw=False)
        message_type = _types[body.pop(TAG_FIELD)]
        return message_type(**body)
    except (ValueError, KeyError, TypeError, AttributeError, msgpack.UnpackException) as error:
        raise PeerError(
            ErrorKind.BAD_REQUEST, f"malformed message or unregistered tag: {error}"
        ) from error


@register_message("refusal")
@dataclass(frozen=True)
class Refusal:
    """The reply to a message that could not be served."""

    kind: str
    detail: str
