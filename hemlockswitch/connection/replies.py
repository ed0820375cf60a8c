"""The answer to one request, as written to the caller's connection."""

from gevent import socket

from hemlockswitch.connection.heads import Header, ReceivedRequest, encode_head


class CallerLeftError(Exception):
    """The caller closed its connection, or the answer cannot be continued on it.

    It is not an `OSError`, because it is raised in a task that may be waiting for a backend server,
    and must not be mistaken for a failure of that server.
    """


class Reply:
    """The answer to one request, written to the caller's connection.

    Explanation
    ===========

    `send` writes a complete answer; `begin`, `write` and `end` write a chunked one. If a reply was
    begun and not ended, the connection is closed without the last chunk, so that the caller does
    not mistake a partial answer for a complete one.
    """

    def __init__(self, connection: socket.socket, request: ReceivedRequest, closes: bool) -> None:
        self._connection = connection
        self._method = request.method
        self.closes = closes or not request.keep_alive
        self.status = 0
        self.begun = False
        self.ended = False

    def send(self, status: int, reason: str, headers: list[Header], body: bytes) -> None:
        """Write a complete answer."""
        framed = [*headers, ("Content-Length", str(len(body)))]
        self._start(status)
        head = self._encode(status, reason, framed)
        self._write_all(head if self._method == "HEAD" else head + body)
        self.ended = True

    def begin(self, status: int, reason: str, headers: list[Header]) -> None:
        """Write the head of an answer of unknown length."""
        self._start(status)
        self._write_all(self._encode(status, reason, [*headers, ("Transfer-Encoding", "chunked")]))

    def write(self, piece: bytes) -> None:
        """Write a piece of the body."""
        if piece:
            self._write_all(b"%x\r\n%b\r\n" % (len(piece), piece))

    def end(self) -> None:
        """Write the last chunk of the body."""
        self._write_all(b"0\r\n\r\n")
        self.ended = True

    def _start(self, status: int) -> None:
        self.status = status
        self.begun = True

    def _encode(self, status: int, reason: str, headers: list[Header]) -> bytes:
        if self.closes:
            headers = [*headers, ("Connection", "close")]
        return encode_head(f"HTTP/1.1 {status} {reason}", headers)

    def _write_all(self, data: bytes) -> None:
        try:
            self._connection.sendall(data)
        except OSError as error:
            raise CallerLeftError(str(error)) from error
