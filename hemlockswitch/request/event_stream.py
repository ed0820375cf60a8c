"""Whole events of a server-sent event stream, so that a cut inside one is never passed on."""

from dataclasses import dataclass

EVENT_ENDS = (b"\n\n", b"\r\n\r\n")


@dataclass(frozen=True)
class WholeEvents:
    """Events that are complete, and the identifier of the last one that has any."""

    data: bytes
    last_id: str


class EventSplitter:
    """Collects the bytes of a stream and gives out whole events.

    Examples
    ========

    >>> splitter = EventSplitter()
    >>> splitter.feed(b"id: 1\\ndata: a\\n\\nid: 2\\nda")
    WholeEvents(data=b'id: 1\\ndata: a\\n\\n', last_id='1')
    >>> splitter.feed(b"ta: b\\n\\n").last_id
    '2'
    """

    def __init__(self) -> None:
        self._rest = b""

    @property
    def rest(self) -> bytes:
        """The bytes of an event that is not complete."""
        return self._rest

    def feed(self, data: bytes) -> WholeEvents:
        """Add `data` and return what is complete by now."""
        self._rest += data
        ends = (self._rest.rfind(mark) + len(mark) for mark in EVENT_ENDS if mark in self._rest)
        end = max(ends, default=0)
        whole, self._rest = self._rest[:end], self._rest[end:]
        return WholeEvents(whole, find_last_id(whole))


def find_last_id(events: bytes) -> str:
    """Return the last ``id`` field in whole events, or an empty text.

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
