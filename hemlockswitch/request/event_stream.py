"""Splits a server-sent event stream into complete events, so that a truncated one is never relayed."""

from dataclasses import dataclass

EVENT_ENDS = (b"\n\n", b"\r\n\r\n")


@dataclass(frozen=True)
class CompleteEvents:
    """Complete events, and the identifier of the last event that has one."""

    data: bytes
    last_id: str


class EventSplitter:
    """Buffers the bytes of a stream and returns complete events.

    Examples
    ========

    >>> splitter = EventSplitter()
    >>> splitter.feed(b"id: 1\\ndata: a\\n\\nid: 2\\nda")
    CompleteEvents(data=b'id: 1\\ndata: a\\n\\n', last_id='1')
    >>> splitter.feed(b"ta: b\\n\\n").last_id
    '2'
    """

    def __init__(self) -> None:
        self._remainder = b""

    @property
    def remainder(self) -> bytes:
        """The bytes of an incomplete event."""
        return self._remainder

    def feed(self, data: bytes) -> CompleteEvents:
        """Add `data` and return the events that it completes."""
        self._remainder += data
        ends = (
            self._remainder.rfind(mark) + len(mark)
            for mark in EVENT_ENDS
            if mark in self._remainder
        )
        end = max(ends, default=0)
        complete, self._remainder = self._remainder[:end], self._remainder[end:]
        return CompleteEvents(complete, find_last_id(complete))


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
