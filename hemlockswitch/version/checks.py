"""Validation of an operator file, with the path and the reason of every mistake.

Explanation
===========

`parse_file` is the only function that turns an operator's text into an `OperatorFile`. It reports
all mistakes at once: when a field has the wrong type, references and counts are still checked on
the readable part of the file. Paths refer to the operator's text, for example
``models[0].min_copies``.
"""

import json
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import Any

from pydantic import ValidationError

from hemlockswitch.core.errors import ConfigurationError, ErrorKind
from hemlockswitch.version.documents import encode_canonical, read_document, sort_file_tree
from hemlockswitch.version.mistakes import Mistake, Path, format_path, list_model_mistakes
from hemlockswitch.version.models import Model, OperatorFile, Service

MAX_VALUE_BYTES = 1_048_576
"""Size limit of a stored value in the platform's object service."""

REVISION_FIELDS_BYTES = 1_024
"""Space reserved in the stored value for the fields of a revision other than its file."""

ACCOUNTS = "client_accounts"
COPIED_KINDS: dict[str, type[Model] | type[Service]] = {"models": Model, "services": Service}
"""The lists whose elements run as licensed copies."""


class InvalidFileError(ConfigurationError):
    """An operator file cannot be applied.

    Parameters
    ==========

    mistakes : all mistakes found in the file.
    """

    def __init__(self, mistakes: list[Mistake]) -> None:
        lines = "; ".join(str(mistake) for mistake in mistakes)
        super().__init__(ErrorKind.INVALID_CONFIGURATION, lines)
        self.mistakes = tuple(mistakes)

    @classmethod
    def from_reason(cls, reason: str) -> "InvalidFileError":
        """Return an error that concerns the file as a whole and has no path."""
        return cls([Mistake("", reason)])


@dataclass(frozen=True)
class CheckedFile:
    """A valid file: the tree that is stored, and its model."""

    tree: dict[str, Any]
    file: OperatorFile


@dataclass(frozen=True)
class _Entry:
    """One readable element of a list of the file."""

    path: Path
    value: Any

    @property
    def label(self) -> str:
        """The path in the notation for operators."""
        return format_path(self.path)


def parse_file(text: str) -> CheckedFile:
    """Return the configuration in `text`.

    Raises
    ======

    InvalidFileError : the file has mistakes; the error lists all of them.

    Examples
    ========

    >>> parse_file('{"zones": ["abdoun-hall"]}').file.zones
    ('abdoun-hall',)
    >>> parse_file('{"zones": ["a", "a"]}')
    Traceback (most recent call last):
    ...
    hemlockswitch.version.checks.InvalidFileError: invalid_configuration: zones[1]: already used at ...
    """
    try:
        document = read_document(text)
    except ValueError as error:
        raise InvalidFileError.from_reason(f"not JSON: {error}") from error
    if not isinstance(document.tree, dict):
        raise InvalidFileError.from_reason("must be one JSON object")
    mistakes = list(document.mistakes)
    checked: CheckedFile | None = None
    try:
        checked = _fill_defaults(document.tree)
    except ValidationError as error:
        mistakes.extend(list_model_mistakes(error))
    mistakes.extend(list_relation_mistakes(document.tree))
    mistakes.extend(_check_size(checked.tree if checked else document.tree))
    if mistakes or checked is None:
        raise InvalidFileError(mistakes)
    return checked


def list_relation_mistakes(tree: dict[str, Any]) -> list[Mistake]:
    """Return the mistakes that concern several fields: references, duplicates and counts."""
    return [mistake for check in _CHECKS for mistake in check(tree)]


def _fill_defaults(tree: dict[str, Any]) -> CheckedFile:
    """Fill in the defaults and sort, so that the stored tree is complete without the defaults."""
    file = OperatorFile.model_validate_json(encode_canonical(tree), strict=True)
    return CheckedFile(sort_file_tree(file.model_dump(mode="json")), file)


def _list_entries(tree: dict[str, Any], field: str, kind: type) -> list[_Entry]:
    """Return the elements of a list that have type `kind`; the model reports those of another type."""
    values = tree.get(field)
    if not isinstance(values, list):
        return []
    entries = [_Entry((field, index), value) for index, value in enumerate(values)]
    return [entry for entry in entries if isinstance(entry.value, kind)]


def _list_fields(tree: dict[str, Any], field: str, inner: str, kind: type) -> list[_Entry]:
    """Return the field `inner` of each object in a list, where it has type `kind`."""
    return [
        _Entry((*item.path, inner), item.value[inner])
        for item in _list_entries(tree, field, dict)
        if isinstance(item.value.get(inner), kind)
    ]


def _list_names(tree: dict[str, Any], *fields: str) -> list[_Entry]:
    return [entry for field in fields for entry in _list_fields(tree, field, "name", str)]


def _find_duplicates(entries: list[_Entry]) -> Iterator[Mistake]:
    first: dict[Any, str] = {}
    for entry in entries:
        if entry.value in first:
            yield Mistake(entry.label, f"already used at {first[entry.value]}")
        first.setdefault(entry.value, entry.label)


def _check_duplicates(tree: dict[str, Any]) -> Iterator[Mistake]:
    """Models and services share one namespace, because a backend server's record names either."""
    yield from _find_duplicates(_list_entries(tree, "zones", str))
    yield from _find_duplicates(_list_names(tree, ACCOUNTS))
    yield from _find_duplicates(_list_fields(tree, ACCOUNTS, "key_hash", str))
    yield from _find_duplicates(_list_names(tree, *COPIED_KINDS))
    yield from _find_duplicates(_list_entries(tree, "draining", str))


def _check_copies(tree: dict[str, Any]) -> Iterator[Mistake]:
    for field, kind in COPIED_KINDS.items():
        for item in _list_entries(tree, field, dict):
            licensed_copies = _find_count(item, kind, "licensed_copies")
            min_copies = _find_count(item, kind, "min_copies")
            if (
                licensed_copies is not None
                and min_copies is not None
                and min_copies > licensed_copies
            ):
                reason = f"{min_copies} copies cannot be met: the licence allows {licensed_copies}"
                yield Mistake(format_path((*item.path, "min_copies")), reason)


def _find_count(item: _Entry, kind: type[Model] | type[Service], field: str) -> int | None:
    value = item.value.get(field, kind.model_fields[field].default)
    return value if type(value) is int else None


def _check_tokens(tree: dict[str, Any]) -> Iterator[Mistake]:
    for item in _list_entries(tree, "models", dict):
        max_tokens = _find_count(item, Model, "max_tokens")
        context = _find_count(item, Model, "context_tokens")
        if max_tokens is not None and context is not None and max_tokens > context:
            reason = f"{max_tokens} tokens do not fit the context of {context}"
            yield Mistake(format_path((*item.path, "max_tokens")), reason)


def _check_operations(tree: dict[str, Any]) -> Iterator[Mistake]:
    """Operations of a service must have distinct paths, else it is ambiguous if a call may repeat."""
    for service in _list_entries(tree, "services", dict):
        operations = _list_fields(service.value, "operations", "path", str)
        path_entries = [_Entry((*service.path, *entry.path), entry.value) for entry in operations]
        yield from _find_duplicates(path_entries)


def _check_uses(tree: dict[str, Any]) -> Iterator[Mistake]:
    defined = {entry.value for entry in _list_names(tree, *COPIED_KINDS)}
    for account in _list_entries(tree, ACCOUNTS, dict):
        for use in _list_entries(account.value, "uses", str):
            if use.value not in defined:
                path = format_path((*account.path, *use.path))
                yield Mistake(path, f"no model or service is named {use.value!r}")


def _check_draining(tree: dict[str, Any]) -> Iterator[Mistake]:
    """Entries of ``draining`` are VM names of backend servers, never names defined in the file."""
    named = {entry.value: entry.label for entry in _list_names(tree, *COPIED_KINDS, ACCOUNTS)}
    named |= {entry.value: entry.label for entry in _list_entries(tree, "zones", str)}
    for entry in _list_entries(tree, "draining", str):
        if entry.value in named:
            reason = f"names {named[entry.value]}; only a backend server's VM can drain"
            yield Mistake(entry.label, reason)


def _check_size(tree: dict[str, Any]) -> Iterator[Mistake]:
    size_bytes = len(json.dumps(tree, separators=(",", ":"))) + REVISION_FIELDS_BYTES
    if size_bytes > MAX_VALUE_BYTES:
        reason = f"{size_bytes} bytes as stored; the platform's limit is {MAX_VALUE_BYTES}"
        yield Mistake("", reason)


_CHECKS: tuple[Callable[[dict[str, Any]], Iterator[Mistake]], ...] = (
    _check_duplicates,
    _check_copies,
    _check_tokens,
    _check_operations,
    _check_uses,
    _check_draining,
)
