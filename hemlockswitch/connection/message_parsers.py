"""Incremental HTTP/1.1 parsers of requests and answers, over httptools (llhttp, strict mode).

llhttp refuses what two parsers could read differently: both length and chunked framing, doubled
lengths, white space before a colon, folded lines. Nothing of a message that it refused is used.
"""

from collections import deque
from collections.abc import Callable
from http import HTTPStatus

import httptools

from hemlockswitch.connection.heads import Header, ReceivedRequest
from hemlockswitch.core.errors import ErrorKind, RequestError

HIGHEST_INTERIM_STATUS = 199


class RequestParser:
    """Parses the requests of one caller's connection, with bounds on head and body.

    Parameters
    ==========

    get_bounds : returns the largest head and the largest body in bytes.
    read_clock : returns the time in ms for `ReceivedRequest.received_ms`.
    """

    def __init__(
        self, get_bounds: Callable[[], tuple[int, int]], read_clock: Callable[[], float]
    ) -> None:
        self.complete: deque[ReceivedRequest] = deque()
        self.wants_continue = False
        self._get_bounds = get_bounds
        self._read_clock = read_clock
        self._error: RequestError | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._reset()

    @property
    def is_idle(self) -> bool:
        """Whether no request has begun to arrive."""
        return not self._begun

    @property
    def in_body(self) -> bool:
        """Whether the head is complete and the body is still arriving."""
        return self._begun and self._head_done

    def feed(self, data: bytes) -> None:
        """Parse `data`; whole requests appear in `complete`.

        Raises
        ======

        RequestError : malformed or over a bound; the connection cannot be used further.
        """
        if not self._head_done:
            self._head_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade as error:
            raise RequestError(ErrorKind.BAD_REQUEST, "no protocol upgrades") from error
        except httptools.HttpParserError as error:
            if self._error is not None:
                raise self._error from error
            raise RequestError(ErrorKind.BAD_REQUEST, f"malformed request: {error}") from error
        if self._begun and not self._head_done:
            self._check_head_size()

    def on_message_begin(self) -> None:
        """Begin a request (called by httptools, like the other ``on_`` methods)."""
        self._reset()
        self._begun = True

    def on_url(self, url: bytes) -> None:
        """Take a piece of the target."""
        self._target += url

    def on_header(self, name: bytes, value: bytes | None) -> None:
        """Take a header; trailers are dropped."""
        if self._head_done:
            return
        self._field_bytes += len(name) + len(value or b"")
        self._headers.append((name.decode("latin-1"), (value or b"").decode("latin-1").strip()))
        if self._field_bytes > self._get_bounds()[0]:
            self._fail(ErrorKind.HEAD_TOO_LARGE, "the head is too large")

    def on_headers_complete(self) -> None:
        """Note the end of the head, and whether the caller waits before it sends the body."""
        self._head_done = True
        self._received_ms = self._read_clock()
        names = {name.lower(): value for name, value in self._headers}
        self._has_body = "content-length" in names or "transfer-encoding" in names
        self.wants_continue = names.get("expect", "").lower() == "100-continue"
        length = names.get("content-length", "0")
        if length.isdigit() and int(length) > self._get_bounds()[1]:
            self._fail(ErrorKind.BODY_TOO_LARGE, "the body is too large")

    def on_body(self, piece: bytes) -> None:
        """Take a piece of the body."""
        self._pieces.append(piece)
        self._body_bytes += len(piece)
        if self._body_bytes > self._get_bounds()[1]:
            self._fail(ErrorKind.BODY_TOO_LARGE, "the body is too large")

    def on_message_complete(self) -> None:
        """Queue the whole request."""
        request = ReceivedRequest(
            method=self._parser.get_method().decode("ascii"),
            target=self._target.decode("latin-1"),
            headers=tuple(self._headers),
            body=b"".join(self._pieces),
            has_body=self._has_body,
            keep_alive=self._parser.should_keep_alive(),
            received_ms=self._received_ms,
        )
        self.complete.append(request)
        self._reset()

    def _check_head_size(self) -> None:
        if self._head_bytes > self._get_bounds()[0]:
            raise RequestError(ErrorKind.HEAD_TOO_LARGE, "the head is too large")

    def _fail(self, kind: ErrorKind, detail: str) -> None:
        """Stop parsing: httptools turns any exception of a callback into its own."""
        self._error = RequestError(kind, detail)
        raise self._error

    def _reset(self) -> None:
        self._begun = False
        self._head_done = False
        self._has_body = False
        self._head_bytes = 0
        self._field_bytes = 0
        self._body_bytes = 0
        self._received_ms = 0.0
        self._target = b""
        self._headers: list[Header] = []
        self._pieces: list[bytes] = []


class ParsedAnswer:
    """One answer as far as it has been parsed."""

    def __init__(self) -> None:
        self.status = 0
        self.reason = ""
        self.headers: list[Header] = []
        self.pieces: list[bytes] = []
        self.head_done = False
        self.done = False
        self.keep_alive = True

    @property
    def ends_with_connection(self) -> bool:
        """Whether neither a length nor chunks tell where the body ends."""
        names = {name.lower() for name, _ in self.headers}
        return not names & {"content-length", "transfer-encoding"}

    def take_body(self) -> bytes:
        """Return and forget the body parsed since the last call."""
        body = b"".join(self.pieces)
        self.pieces.clear()
        return body


class AnswerParser:
    """Parses what a backend server sends on one connection: any number of answers.

    Explanation
    ===========

    A faulty backend server may send a second answer, or bytes that are none. `answers` holds all
    that was parsed, oldest first, so that the exchange can drop an answer of another request and
    go on with the next one. Garbage after a whole answer sets `is_spoiled`: the connection must
    not be used again, but the whole answer stands.
    """

    def __init__(self, method: str) -> None:
        self.answers: deque[ParsedAnswer] = deque()
        self.is_spoiled = False
        self._without_body = method == "HEAD"
        self._current = ParsedAnswer()
        self._parser = httptools.HttpResponseParser(self)

    def feed(self, data: bytes) -> None:
        """Parse `data`.

        Raises
        ======

        ValueError : not HTTP, inside an answer.
        """
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            self.is_spoiled = True
            if not self._has_whole_answer():
                raise ValueError(f"not an HTTP answer: {error}") from error

    def end(self) -> None:
        """Note that the connection was closed cleanly: it completes an answer without length."""
        current = self._current
        if current.head_done and not current.done and current.ends_with_connection:
            current.done = True

    def _has_whole_answer(self) -> bool:
        return any(answer.done for answer in self.answers)

    def on_message_begin(self) -> None:
        """Begin an answer (called by httptools, like the other ``on_`` methods)."""
        self._current = ParsedAnswer()

    def on_status(self, reason: bytes) -> None:
        """Take a piece of the reason phrase."""
        self._current.reason += reason.decode("latin-1")

    def on_header(self, name: bytes, value: bytes | None) -> None:
        """Take a header; trailers are dropped."""
        if not self._current.head_done:
            field = (name.decode("latin-1"), (value or b"").decode("latin-1").strip())
            self._current.headers.append(field)

    def on_headers_complete(self) -> None:
        """Queue the answer as soon as its head is complete; interim answers are dropped."""
        current = self._current
        current.status = self._parser.get_status_code()
        current.head_done = True
        if current.status <= HIGHEST_INTERIM_STATUS:
            return
        current.keep_alive = self._parser.should_keep_alive()
        self.answers.append(current)
        bodiless = current.status in (HTTPStatus.NO_CONTENT, HTTPStatus.NOT_MODIFIED)
        if self._without_body or bodiless:
            current.done = True
            self.is_spoiled = self._without_body

    def on_body(self, piece: bytes) -> None:
        """Take a piece of the body."""
        self._current.pieces.append(piece)

    def on_message_complete(self) -> None:
        """Mark the answer as whole."""
        self._current.done = True
