"""Frames of a stream between two processes of the system: a header and a msgpack body."""

import struct
from collections.abc import Iterator
from dataclasses import dataclass
from enum import IntEnum

from hemlockswitch.connection.messages import MAX_FRAME_BYTES
from hemlockswitch.core.errors import ErrorKind, PeerError

# Body length in bytes, kind and number, all big-endian.
HEADER = struct.Struct(">IBI")


class FrameKind(IntEnum):
    """The purpose of a frame."""

    ONE_WAY = 0
    REQUEST = 1
    REPLY = 2


FRAME_KINDS = {int(kind): kind for kind in FrameKind}


@dataclass(frozen=True)
class EncodedFrame:
    """The bytes of a frame, encoded once for all its receivers; only a one-way frame may be dropped."""

    kind: FrameKind
    wire: bytes


@dataclass(frozen=True)
class Frame:
    """One message on a stream.

    Parameters
    ==========

    kind : one-way message, request, or reply to a request.
    number : matches a reply to its request; 0 for a one-way message.
    body : the message, encoded with msgpack.
    """

    kind: FrameKind
    number: int
    body: bytes

    def encode(self) -> bytes:
        """Return the bytes of the frame."""
        return HEADER.pack(len(self.body), self.kind, self.number) + self.body

    def to_encoded(self) -> EncodedFrame:
        """Return the frame for the send queues of streams."""
        return EncodedFrame(self.kind, self.encode())


class FrameDecoder:
    """Split a byte stream into frames; the header of an oversized frame raises an error.

    Examples
    ========

    >>> decoder = FrameDecoder()
    >>> wire = Frame(FrameKind.REQUEST, 7, b"abc").encode()
    >>> [frame.number for frame in decoder.feed(wire[:5])]
    []
    >>> [frame.number for frame in decoder.feed(wire[5:])]
    [7]
    """

    def __init__(self) -> None:
        self._buffer = bytearray()

    def feed(self, received: bytes) -> Iterator[Frame]:
        """Add bytes and yield each frame that is now complete."""
        self._buffer += received
        while len(self._buffer) >= HEADER.size:
            length, kind, number = HEADER.unpack_from(self._buffer)
            if length > MAX_FRAME_BYTES or kind not in FRAME_KINDS:
                raise PeerError(
                    ErrorKind.BODY_TOO_LARGE,
                    f"invalid frame header: unknown kind or excessive size, {length} bytes",
                )
            end = HEADER.size + length
            if len(self._buffer) < end:
                return
            body = bytes(self._buffer[HEADER.size : end])
            del self._buffer[:end]
            yield Frame(FRAME_KINDS[kind], number, body)
