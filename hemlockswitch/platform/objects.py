"""Decoding of the objects in the object store's answers.

An answer contains objects of several writers. What cannot be read in one of them must not hide the others:
if the decoder refuses an answer as a whole, its fields and its objects are decoded one by one.
"""

import json
import re
from collections.abc import Callable
from typing import Annotated, Any, TypeVar

import msgspec

from hemlockswitch.connection.json_parts import split_array, split_object
from hemlockswitch.connection.store_order import make_version
from hemlockswitch.connection.stored_objects import StoredObject
from hemlockswitch.platform.bodies import Body

MAX_VALUE_DEPTH = 64
"""Maximum nesting of a value: less than messages between gateways can contain."""
MIN_INTEGER, MAX_INTEGER = -(2**63), 2**64 - 1
"""The integers that messages between gateways can contain."""

_Revision = Annotated[int, msgspec.Meta(ge=0)]
_RawParts = tuple[msgspec.Raw, ...]
_FLAT_TYPES = frozenset((str, bool, float, type(None)))
_SURROGATE = re.compile("[\ud800-\udfff]")
_Model = TypeVar("_Model", bound=Body)

OnUnreadable = Callable[[str, str], None]
"""Called with the name of an object, empty if that is unreadable too, and the reason."""


class MetadataBody(Body, frozen=True):
    """The metadata of an object."""

    name: Annotated[str, msgspec.Meta(min_length=1)]
    revision: _Revision  # revision of the object's last change, not of the store
    created_rev: _Revision = 0


class ObjectBody(Body, frozen=True):
    """An object; its spec and status are decoded apart, as either may be unreadable."""

    metadata: MetadataBody
    spec: msgspec.Raw = msgspec.Raw(b"null")
    status: msgspec.Raw = msgspec.Raw(b"null")

    def to_object(
        self, kind: str, era: int, on_unreadable: OnUnreadable, deleted: bool = False
    ) -> StoredObject:
        """Convert to a `StoredObject` of an era; an unreadable spec or status becomes None."""
        metadata = self.metadata

        def read(part: msgspec.Raw) -> Any:
            try:
                return _decode_value(part)
            except msgspec.DecodeError as error:
                on_unreadable(metadata.name, str(error))
                return None

        return StoredObject(
            kind,
            metadata.name,
            make_version(era, metadata.revision),
            read(self.spec),
            deleted,
            read(self.status),
            metadata.created_rev,
        )


class ListBody(Body, frozen=True):
    """A page of a list."""

    store_revision: _Revision
    items: _RawParts = ()
    has_more: bool = False


class EventBody(Body, frozen=True):
    """A change of an object."""

    object: msgspec.Raw
    tombstone: bool = False  # the object was removed


class WatchBody(Body, frozen=True):
    """The answer to a watch."""

    store_revision: _Revision
    events: _RawParts = ()


def decode_body(model: type[_Model], text: bytes | msgspec.Raw) -> _Model:
    """Decode a JSON object; if that fails, decode only the fields of the model, each by itself.

    Raises
    ======

    msgspec.DecodeError : a field of the model is missing or invalid, or the text is cut off.
    """
    try:
        return _decode(model, text)
    except msgspec.DecodeError as error:
        try:
            return _decode_fields(model, bytes(text))
        except ValueError as split_error:
            raise error from split_error


def _decode_fields(model: type[_Model], text: bytes) -> _Model:
    parts = split_object(text)
    values = {
        field.name: _decode_field(field.type, parts[field.encode_name.encode()])
        for field in msgspec.structs.fields(model)
        if field.encode_name.encode() in parts
    }
    try:
        return model(**values)
    except TypeError as error:
        raise msgspec.DecodeError(str(error)) from error


def _decode_field(field_type: Any, text: bytes) -> Any:
    if field_type is msgspec.Raw:
        return msgspec.Raw(text)
    if field_type == _RawParts:
        return tuple(msgspec.Raw(one) for one in split_array(text))
    if isinstance(field_type, type) and issubclass(field_type, Body):
        return decode_body(field_type, text)
    return _decode(field_type, text)


def _decode(model: Any, text: bytes | msgspec.Raw) -> Any:
    try:
        return msgspec.json.decode(text, type=model)
    except RecursionError as error:
        raise msgspec.DecodeError("JSON is nested too deeply") from error


def _decode_value(part: msgspec.Raw) -> Any:
    """Decode a spec or a status; one that the messages between gateways cannot contain is refused too."""
    value = _decode(Any, part)
    _check_value(value, MAX_VALUE_DEPTH)
    return value


def _check_value(value: Any, depth: int) -> None:
    kind = type(value)
    if kind is int:
        if not MIN_INTEGER <= value <= MAX_INTEGER:
            raise msgspec.DecodeError("an integer has more than 64 bits")
    elif kind is list or kind is dict:
        if depth == 0:
            raise msgspec.DecodeError(f"JSON is nested over {MAX_VALUE_DEPTH} levels deep")
        for one in value.values() if kind is dict else value:
            if type(one) not in _FLAT_TYPES:
                _check_value(one, depth - 1)


def read_items(
    kind: str, items: _RawParts, era: int, on_unreadable: OnUnreadable
) -> list[StoredObject]:
    """Decode the objects of a list, and report and skip those without readable metadata."""
    return [one for raw in items if (one := _read_object(kind, raw, era, on_unreadable))]


def read_events(
    kind: str, events: _RawParts, era: int, on_unreadable: OnUnreadable
) -> list[StoredObject]:
    """Decode the changed objects of a watch, and report and skip those without readable metadata."""
    objects: list[StoredObject] = []
    for raw in events:
        try:
            event = decode_body(EventBody, raw)
        except msgspec.DecodeError as error:
            on_unreadable("", str(error))
            continue
        changed = _read_object(kind, event.object, era, on_unreadable, event.tombstone)
        if changed is not None:
            objects.append(changed)
    return objects


def _read_object(
    kind: str, raw: msgspec.Raw, era: int, on_unreadable: OnUnreadable, deleted: bool = False
) -> StoredObject | None:
    try:
        return decode_body(ObjectBody, raw).to_object(kind, era, on_unreadable, deleted)
    except msgspec.DecodeError as error:
        on_unreadable(find_name(raw) or "", str(error))
        return None


def find_name(raw: msgspec.Raw) -> str | None:
    """Return an object's name, with what is no text in it replaced; None if it has none."""
    try:
        text = split_object(split_object(bytes(raw))[b"metadata"])[b"name"]
        name = json.loads(text.decode("utf-8", "replace")) if text.startswith(b'"') else ""
    except (ValueError, KeyError):
        return None
    return _SURROGATE.sub("\ufffd", name) or None
