"""The answer to one request, as written to the caller's connection."""

from collections.abc import Callable

from gevent import socket

from hemlockswitch.connection.byte_counts import ByteCounts
from hemlockswitch.connection.heads import Header, ReceivedRequest, encode_head
from hemlockswitch.connection.sockets import (
    Closable,
    allow_orderly_close,
    reset_on_close,
    send_all,
)


class CallerLeftError(Exception):
    """The caller closed its connection, or the answer cannot be continued on it.

    It is not an `OSError`, because it is raised in a task that may be waiting for a backend server,
    and must not be mistaken for a failure of that server.
    """


class Reply:
    """The answer to one request, written to the caller's connection.

    Explanation
    ===========

    `send` writes a complete answer; `begin`, `write` and `end` write a chunked one. The head is written
    together with the first piece, or with the end. If a reply was begun and not ended, the connection
    is closed without the last chunk, so that the caller does not mistake a partial answer for a
    complete one.

    A caller of HTTP/1.0 cannot read chunks: its answer ends with the connection, which is reset unless the
    reply was ended, also if this process is killed.

    Parameters
    ==========

    connection : the caller's connection.
    request : the request that is answered.
    closes : whether the connection ends with the answer.
    counts : to which the written bytes are added.
    sheds : called before the head is written; returns whether the connection should end with the answer although
        `closes` is false.
    """

    def __init__(
        self,
        connection: socket.socket,
        request: ReceivedRequest,
        closes: bool,
        counts: ByteCounts | None = None,
        sheds: Callable[[], bool] = lambda: False,
    ) -> None:
        self._connection = connection
        self._counts = counts if counts is not None else ByteCounts()
        self._sheds = sheds
        self._has_body = request.method != "HEAD"
        self._is_chunked = request.allows_chunks
        self.closes = closes or not request.keep_alive
        self.status = 0
        self.begun = False
        self._unsent_head = b""
        self.ended = False

    def send(self, status: int, reason: str, headers: list[Header], body: bytes) -> None:
        """Write a complete answer."""
        framed = [*headers, ("Content-Length", str(len(body)))]
        self._start(status)
        head = self._encode(status, reason, framed)
        self._write_all(head + body if self._has_body else head)
        self.ended = True

    def begin(self, status: int, reason: str, headers: list[Header]) -> None:
        """Begin an answer of unknown length; a call of `write` or `end` must follow at once."""
        self._start(status)
        if self._is_chunked:
            headers = [*headers, ("Transfer-Encoding", "chunked")]
        else:
            self.closes = True
            self._set_option(reset_on_close)
        self._unsent_head = self._encode(status, reason, headers)

    def write(self, piece: bytes) -> None:
        """Write a piece of the body."""
        if not piece:
            return
        if not self._has_body:
            piece = b""
        elif self._is_chunked:
            piece = b"%x\r\n%b\r\n" % (len(piece), piece)
        self._write_all(piece)

    def end(self) -> None:
        """Mark the end of the body."""
        self._write_all(b"0\r\n\r\n" if self._is_chunked and self._has_body else b"")
        if not self._is_chunked:
            self._set_option(allow_orderly_close)
        self.ended = True

    def _start(self, status: int) -> None:
        self.status = status
        self.begun = True
        self.closes = self.closes or self._sheds()

    def _encode(self, status: int, reason: str, headers: list[Header]) -> bytes:
        if self.closes:
            headers = [*headers, ("Connection", "close")]
        return encode_head(f"HTTP/1.1 {status} {reason}", headers)

    def _set_option(self, change: Callable[[Closable], None]) -> None:
        try:
            change(self._connection)
        except OSError as error:
            raise CallerLeftError(str(error)) from error

    def _write_all(self, data: bytes) -> None:
        """Write the head, if it was not written yet, and `data`."""
        data, self._unsent_head = self._unsent_head + data, b""
        if not data:
            return
        self._counts.sent += len(data)
        try:
            send_all(self._connection, data)
        except OSError as error:
            raise CallerLeftError(str(error)) from error
