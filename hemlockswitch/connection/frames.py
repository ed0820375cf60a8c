"""The frames of a stream between two processes of the system: a header, then a msgpack body."""

import struct
from collections.abc import Iterator
from dataclasses import dataclass
from enum import IntEnum

from hemlockswitch.connection.messages import MAX_FRAME_BYTES
from hemlockswitch.core.errors import ErrorKind, PeerError

# Length of the body in bytes, kind, number; big-endian.
HEADER = struct.Struct(">IBI")


class FrameKind(IntEnum):
    """What a frame is for."""

    ONE_WAY = 0
    ASK = 1
    REPLY = 2


FRAME_KINDS = frozenset(int(kind) for kind in FrameKind)


@dataclass(frozen=True)
class Frame:
    """One message on a stream.

    Parameters
    ==========

    kind : one-way, a question, or the reply to a question.
    number : pairs a reply with its question; 0 for a one-way message.
    body : the msgpack form of the message.
    """

    kind: FrameKind
    number: int
    body: bytes

    def encode(self) -> bytes:
        """Return the frame as it goes on the stream."""
        return HEADER.pack(len(self.body), self.kind, self.number) + self.body


class FrameDecoder:
    """Cut a byte stream into frames; a frame over the bound is an error before it is read.

    Examples
    ========

    >>> decoder = FrameDecoder()
    >>> wire = Frame(FrameKind.ASK, 7, b"abc").encode()
    >>> [frame.number for frame in decoder.feed(wire[:5])]
    []
    >>> [frame.number for frame in decoder.feed(wire[5:])]
    [7]
    """

    def __init__(self) -> None:
        self._buffer = bytearray()

    def feed(self, received: bytes) -> Iterator[Frame]:
        """Add bytes and yield each frame that is now whole."""
        self._buffer += received
        while len(self._buffer) >= HEADER.size:
            length, kind, number = HEADER.unpack_from(self._buffer)
            if length > MAX_FRAME_BYTES or kind not in FRAME_KINDS:
                raise PeerError(ErrorKind.BODY_TOO_LARGE, f"a frame of {length} bytes")
            end = HEADER.size + length
            if len(self._buffer) < end:
                return
            body = bytes(self._buffer[HEADER.size : end])
            del self._buffer[:end]
            yield Frame(FrameKind(kind), number, body)
