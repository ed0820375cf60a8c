"""Splits a server-sent event stream into complete events, so that a truncated one is never relayed."""

import re
from dataclasses import dataclass

EVENT_STREAM_TYPE = "text/event-stream"
LINE_ENDS = b"\r\n"
EVENT_END = re.compile(rb"(?:\r\n|\n)(?:\r\n|\n|\r(?=[^\n]))|\r\r\n?")
"""The end of a line and a blank line; lines end with CR LF, LF or CR.

A CR that follows a line ended by LF or CR LF may be the first half of CR LF, so it counts only with the
byte after it.
"""
MAX_PARTIAL_END_BYTES = 3
"""Length of the longest part of `EVENT_END` that the next piece may complete, ``\\r\\n\\r``."""


class EventBoundaries:
    """Finds the ends of events in a stream that is received in pieces; keeps none of its data.

    Examples
    ========

    >>> boundaries = EventBoundaries()
    >>> boundaries.feed(b"id: 1\\ndata: a\\n\\nid: 2\\nda")
    15
    >>> boundaries.is_inside_event, boundaries.has_event
    (True, True)
    """

    def __init__(self) -> None:
        self.has_event = False
        self._open_end = b""  # the last bytes of an event that has begun

    @property
    def is_inside_event(self) -> bool:
        """Whether an event has begun and not ended."""
        return bool(self._open_end)

    def feed(self, data: bytes) -> int | None:
        """Return the position in `data` that follows the last end of an event, or None if there is none.

        Blank lines between events belong to the event before them.
        """
        if not self._open_end:
            return self._feed_between(data)
        text = self._open_end + data
        end = _find_last_end(text)
        if end is None:
            self._open_end = text[-MAX_PARTIAL_END_BYTES:]
            return None
        self._record_end(text, end)
        return end - (len(text) - len(data))

    def _feed_between(self, data: bytes) -> int | None:
        """Handle data that begins between two events."""
        begin = _skip_blank_lines(data, 0)
        end = _find_last_end(data[begin:])
        if end is None:
            self._open_end = data[begin:][-MAX_PARTIAL_END_BYTES:]
            return begin or None
        self._record_end(data, begin + end)
        return begin + end

    def _record_end(self, text: bytes, end: int) -> None:
        self.has_event = True
        self._open_end = text[end:][-MAX_PARTIAL_END_BYTES:]


def _find_last_end(text: bytes) -> int | None:
    """Return the position that follows the last end of an event, and the blank lines after it."""
    if b"\r" not in text:
        begin = text.rfind(b"\n\n")
        return None if begin < 0 else begin + len(b"\n\n")
    end = None
    for match in EVENT_END.finditer(text):
        end = match.end()
    return None if end is None else _skip_blank_lines(text, end)


def _skip_blank_lines(text: bytes, begin: int) -> int:
    while begin < len(text) and text[begin] in LINE_ENDS:
        begin += 1
    return begin


@dataclass(frozen=True)
class CompleteEvents:
    """Complete events, and the identifier of the last event that has one."""

    data: bytes
    last_id: str


class EventSplitter:
    """Passes the bytes of a stream on, and tells whether it ends inside an event.

    Parameters
    ==========

    holds_back : whether the bytes of an event are held back until it is complete.

    Examples
    ========

    >>> splitter = EventSplitter()
    >>> splitter.feed(b"id: 1\\ndata: a\\n\\nid: 2\\nda")
    CompleteEvents(data=b'id: 1\\ndata: a\\n\\n', last_id='1')
    >>> splitter.feed(b"ta: b\\n\\n").last_id
    '2'
    """

    def __init__(self, *, holds_back: bool = True) -> None:
        self.open_bytes = 0
        self._holds_back = holds_back
        self._boundaries = EventBoundaries()
        self._open_pieces: list[bytes] = []

    @property
    def is_inside_event(self) -> bool:
        """Whether an event has begun and not ended."""
        return self._boundaries.is_inside_event

    @property
    def has_event(self) -> bool:
        """Whether an event has ended."""
        return self._boundaries.has_event

    def take_rest(self) -> bytes:
        """Remove and return the bytes that are held back."""
        rest = b"".join(self._open_pieces)
        self._open_pieces = []
        return rest

    def feed(self, data: bytes) -> CompleteEvents:
        """Add `data` and return the events that it completes, or `data` itself if nothing is held back."""
        end = self._boundaries.feed(data)
        self.open_bytes = self.open_bytes + len(data) if end is None else len(data) - end
        if not self._holds_back:
            return CompleteEvents(data, "")
        if end is None:
            self._open_pieces.append(data)
            return CompleteEvents(b"", "")
        complete = b"".join([*self._open_pieces, data[:end]])
        self._open_pieces = [data[end:]]
        return CompleteEvents(complete, find_last_id(complete))


def is_event_stream(content_type: str) -> bool:
    """Return whether an answer of a stream route is a series of events; one that states no type is.

    Examples
    ========

    >>> [is_event_stream(one) for one in ("text/event-stream; charset=utf-8", "", "application/json")]
    [True, True, False]
    """
    media_type = content_type.partition(";")[0].strip().lower()
    return media_type in ("", EVENT_STREAM_TYPE)


def find_last_id(events: bytes) -> str:
    """Return the last ``id`` field in complete events, or an empty string.

    Examples
    ========

    >>> find_last_id(b"id: 7\\ndata: x\\n\\n")
    '7'
    """
    for line in reversed(events.splitlines()):
        name, _, value = line.partition(b":")
        if name == b"id":
            return value.strip().decode("latin-1")
    return ""
