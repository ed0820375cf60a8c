"""Checks engine events and rewrites them for the caller, without parsing most of them as JSON."""

import json
import re
from dataclasses import dataclass
from enum import StrEnum
from typing import Any

SEPARATOR = b"\n\n"
DONE = b"data: [DONE]"
DONE_EVENT = DONE + SEPARATOR
MAX_EVENT_BYTES = 1_048_576
ABORTED = frozenset({"cancelled", "abort", "error"})
_PLAIN = re.compile(rb'[^"\\\x00-\x1f]*')
_ESCAPES = (b"\\", b'"')


class Verdict(StrEnum):
    """Classification of an engine event."""

    TOKEN = "token"
    FINISH = "finish"
    DONE = "done"
    IGNORED = "ignored"
    INVALID = "invalid"


@dataclass(frozen=True)
class Checked:
    """Result of checking an event.

    Parameters
    ==========

    verdict : classification of the event.
    content : the token's text, for `TOKEN`, and for a `FINISH` that contains text.
    event : the event in its form for the caller, without the id line.
    usage : the usage reported by the engine in the last chunk.
    """

    verdict: Verdict
    content: bytes = b""
    event: bytes = b""
    usage: dict[str, Any] | None = None


IGNORED = Checked(Verdict.IGNORED)
INVALID = Checked(Verdict.INVALID)
ENDED = Checked(Verdict.DONE)


class EventSplitter:
    """Splits the bytes of a stream into complete events.

    Examples
    ========

    >>> splitter = EventSplitter()
    >>> splitter.split(b"id: s:0\\ndata: a\\n\\nid: s")
    [b'id: s:0\\ndata: a']
    >>> splitter.split(b":1\\ndata: b\\n\\n")
    [b'id: s:1\\ndata: b']
    """

    def __init__(self) -> None:
        self._remainder = b""

    def split(self, data: bytes) -> list[bytes]:
        """Return the events completed by `data`.

        Raises
        ======

        ValueError : an event exceeds `MAX_EVENT_BYTES`.
        """
        if self._remainder:
            data = self._remainder + data
        events = data.split(SEPARATOR)
        self._remainder = events.pop()
        if len(self._remainder) > MAX_EVENT_BYTES:
            raise ValueError("an event exceeds the size limit without an end")
        return events


class ChunkChecker:
    """Checks the events of one stream against its id and the next position.

    Explanation
    ===========

    The first token event is parsed as JSON and checked field by field. The bytes before and after its
    content are then stored as a template. Later events that match the template byte for byte differ
    only in their content and need no parsing. All other events are parsed.

    Parameters
    ==========

    stream_id : the id under which this attempt was sent to the engine.
    request_id : the id that replaces it in the events for the caller.
    earlier_ids : stream ids of earlier attempts; their late chunks are ignored rather than invalid.

    `before_out` and `after_out` enclose the content of a matched event in the caller's event.
    """

    def __init__(
        self, stream_id: str, request_id: str, earlier_ids: frozenset[str] = frozenset()
    ) -> None:
        self._stream_id = stream_id
        self._request_id = request_id
        self._earlier_ids = earlier_ids
        self._id_line = f"id: {stream_id}:".encode()
        self._template_start = b""
        self.before_out = b""
        self.after_out = b""

    def match_token(self, event: bytes, position: int) -> bytes | None:
        """Return the content of an event that matches the template, or None if it must be parsed."""
        if not self._template_start:
            return None
        start = b"%b%d%b" % (self._id_line, position, self._template_start)
        if not (event.startswith(start) and event.endswith(self.after_out)):
            return None
        found = _PLAIN.fullmatch(event, len(start), len(event) - len(self.after_out))
        return found[0] if found else None

    def check(self, event: bytes, position: int) -> Checked:
        """Return the result of checking `event`, where `position` is the next expected position."""
        content = self.match_token(event, position)
        if content is None:
            return self._check_unmatched(event, position)
        return Checked(Verdict.TOKEN, content, self.before_out + content + self.after_out)

    def _check_unmatched(self, event: bytes, position: int) -> Checked:
        if event == DONE:
            return ENDED
        id_line, _, data_line = event.partition(b"\n")
        if not id_line or id_line.startswith(b":"):
            return IGNORED
        named_id, _, named_position = id_line.removeprefix(b"id: ").rpartition(b":")
        if named_id.decode("utf-8", "replace") in self._earlier_ids:
            return IGNORED
        if named_id.decode("utf-8", "replace") != self._stream_id or not named_position.isdigit():
            return INVALID
        if int(named_position) < position:
            return IGNORED
        if int(named_position) > position:
            return INVALID
        return self._check_data(event, data_line)

    def _check_data(self, event: bytes, data_line: bytes) -> Checked:
        try:
            chunk = json.loads(data_line.removeprefix(b"data: "))
            choice = chunk["choices"][0]
            content = choice["delta"].get("content") or ""
            finish = choice["finish_reason"]
            matches = chunk["id"] == self._stream_id and isinstance(content, str)
        except (ValueError, KeyError, IndexError, TypeError, AttributeError):
            return INVALID
        if not matches:
            return INVALID
        if finish in ABORTED:
            return INVALID
        chunk["id"] = self._request_id
        text = content.encode("utf-8", "surrogatepass")
        if finish is not None:
            return Checked(Verdict.FINISH, text, _encode(chunk), chunk.get("usage"))
        self._store_template(event, text)
        return Checked(Verdict.TOKEN, text, _encode(chunk))

    def _store_template(self, event: bytes, content: bytes) -> None:
        """Store the template if the content occurs exactly once and contains no escapes."""
        quoted = b'"content": "' + content + b'"'
        if self._template_start or not content or any(mark in content for mark in _ESCAPES):
            return
        if event.count(quoted) != 1:
            return
        before, after = event.split(quoted)
        id_line, newline, data = before.partition(b"\n")
        stream_id = self._stream_id.encode()
        if data.count(stream_id) != 1:
            return
        opening = newline + data + b'"content": "'
        self.before_out = opening.replace(stream_id, self._request_id.encode())
        self.after_out = b'"' + after
        self._template_start = opening


def _encode(chunk: dict[str, Any]) -> bytes:
    return b"\ndata: " + json.dumps(chunk, ensure_ascii=False).encode("utf-8", "surrogatepass")


def rewrite_usage(event: bytes, completion_tokens: int) -> bytes:
    """Return the last chunk with its usage counting the complete answer, not only the last attempt."""
    chunk = json.loads(event.removeprefix(b"\ndata: "))
    usage = chunk.get("usage")
    if usage is not None:
        usage["completion_tokens"] = completion_tokens
        usage["total_tokens"] = usage.get("prompt_tokens", 0) + completion_tokens
        usage.pop("recomputed_tokens", None)
    return _encode(chunk)
