"""Incremental HTTP/1.1 parsers for requests and answers, based on httptools (llhttp, strict mode).

llhttp rejects messages that two parsers could interpret differently: both length and chunked
framing, duplicate lengths, white space before a colon, folded lines. No part of a rejected message
is used.
"""

from collections import deque
from collections.abc import Callable
from enum import StrEnum
from http import HTTPStatus

import httptools

from hemlockswitch.connection.heads import Header, ReceivedRequest
from hemlockswitch.core.errors import ErrorKind, RequestError

MAX_INTERIM_STATUS = 199
MAX_ANSWER_HEAD_BYTES = 65_536
"""Limit on the head of an answer, up to the length of one read more."""
MAX_ANSWER_FIELDS = 256
"""Limit on the header fields of an answer: a short one takes many times its length as an object."""


class AnswerEnd(StrEnum):
    """What marks the end of an answer's body."""

    HEAD = "head"  # There is no body.
    LENGTH = "length"
    CHUNKS = "chunks"
    CONNECTION = "connection"


class RequestParser:
    """Parses the requests of one caller's connection, with size limits for head and body.

    Parameters
    ==========

    get_bounds : returns the maximum sizes of head and body in bytes.
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
        """Whether no part of a further request has been received."""
        return not self._begun

    @property
    def in_body(self) -> bool:
        """Whether the head is complete and the body is not."""
        return self._begun and self._head_done

    def feed(self, data: bytes) -> None:
        """Parse `data`; complete requests are appended to `complete`.

        Raises
        ======

        RequestError : the request is malformed or too large; the connection must not be reused.
        """
        if not self._head_done:
            self._head_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade as error:
            raise RequestError(
                ErrorKind.BAD_REQUEST, "protocol upgrades are not supported"
            ) from error
        except httptools.HttpParserError as error:
            if self._error is not None:
                raise self._error from error
            raise RequestError(ErrorKind.BAD_REQUEST, f"malformed request: {error}") from error
        if self._begun and not self._head_done:
            self._check_head_size()

    def on_message_begin(self) -> None:
        """Start a request (called by httptools, as are the other ``on_`` methods)."""
        self._reset()
        self._begun = True

    def on_url(self, url: bytes) -> None:
        """Append a piece of the target."""
        self._target += url

    def on_header(self, name: bytes, value: bytes | None) -> None:
        """Append a header; trailers are dropped."""
        if self._head_done:
            return
        self._field_bytes += len(name) + len(value or b"")
        self._headers.append((name.decode("latin-1"), (value or b"").decode("latin-1").strip()))
        if self._field_bytes > self._get_bounds()[0]:
            self._fail(ErrorKind.HEAD_TOO_LARGE, "the head is too large")

    def on_headers_complete(self) -> None:
        """Record the end of the head, and whether the caller waits for ``100 Continue``."""
        self._head_done = True
        self._received_ms = self._read_clock()
        fields = {name.lower(): value for name, value in self._headers}
        self._has_body = "content-length" in fields or "transfer-encoding" in fields
        self.wants_continue = fields.get("expect", "").lower() == "100-continue"
        length = fields.get("content-length", "0")
        if length.isdigit() and int(length) > self._get_bounds()[1]:
            self._fail(ErrorKind.BODY_TOO_LARGE, "the body is too large")

    def on_body(self, piece: bytes) -> None:
        """Append a piece of the body."""
        self._pieces.append(piece)
        self._body_bytes += len(piece)
        if self._body_bytes > self._get_bounds()[1]:
            self._fail(ErrorKind.BODY_TOO_LARGE, "the body is too large")

    def on_message_complete(self) -> None:
        """Queue the complete request."""
        request = ReceivedRequest(
            method=self._parser.get_method().decode("ascii"),
            target=self._target.decode("latin-1"),
            headers=tuple(self._headers),
            body=b"".join(self._pieces),
            has_body=self._has_body,
            keep_alive=self._parser.should_keep_alive(),
            received_ms=self._received_ms,
            http_version=self._parser.get_http_version(),
        )
        self.complete.append(request)
        self._reset()

    def _check_head_size(self) -> None:
        if self._head_bytes > self._get_bounds()[0]:
            raise RequestError(ErrorKind.HEAD_TOO_LARGE, "the head is too large")

    def _fail(self, kind: ErrorKind, detail: str) -> None:
        """Stop parsing; httptools replaces the exception of a callback, so it is stored as well."""
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
    """One answer, which may be partially parsed."""

    def __init__(self) -> None:
        self.status = 0
        self.reason = ""
        self.headers: list[Header] = []
        self.pieces: list[bytes] = []
        self.head_done = False
        self.done = False
        self.has_body = True
        self.keep_alive = True

    @property
    def end(self) -> AnswerEnd:
        """What marks the end of the body; only after the head is complete."""
        if not self.has_body:
            return AnswerEnd.HEAD
        names = {name.lower() for name, _ in self.headers}
        if "transfer-encoding" in names:
            return AnswerEnd.CHUNKS
        return AnswerEnd.LENGTH if "content-length" in names else AnswerEnd.CONNECTION

    @property
    def ends_with_connection(self) -> bool:
        """Whether the body has neither a length nor chunks and ends when the connection closes."""
        return self.end is AnswerEnd.CONNECTION

    def take_body(self) -> bytes:
        """Remove and return the body parsed since the last call."""
        body = b"".join(self.pieces)
        self.pieces.clear()
        return body


class AnswerParser:
    """Parses the answers that a backend server sends on one connection.

    Explanation
    ===========

    A faulty backend server may send a second answer, or bytes that are not HTTP. `answers` contains
    all parsed answers, oldest first, so that the exchange can drop an answer to another request and
    continue with the next one. Invalid bytes after a complete answer set `must_close`: the
    connection must not be reused, but the complete answer is valid.
    """

    def __init__(self, method: str) -> None:
        self.answers: deque[ParsedAnswer] = deque()
        self.must_close = False
        self._without_body = method == "HEAD"
        self._current = ParsedAnswer()
        self._head_bytes = 0
        self._parser = httptools.HttpResponseParser(self)

    def feed(self, data: bytes) -> None:
        """Parse `data`.

        Raises
        ======

        ValueError : invalid HTTP, or a head that is too long, before any answer is complete.
        """
        self._head_bytes += len(data)
        try:
            self._parser.feed_data(data)
            if self._current.head_done:
                self._head_bytes = 0
            self._check_head()
        except (httptools.HttpParserError, httptools.HttpParserUpgrade, ValueError) as error:
            self.must_close = True
            if not self._has_complete_answer():
                raise ValueError(f"not an HTTP answer: {error}") from error

    def _check_head(self) -> None:
        if self._head_bytes > MAX_ANSWER_HEAD_BYTES:
            raise ValueError(f"the head exceeds {MAX_ANSWER_HEAD_BYTES} bytes")
        if len(self._current.headers) > MAX_ANSWER_FIELDS:
            raise ValueError(f"the head has over {MAX_ANSWER_FIELDS} fields")

    def end(self) -> None:
        """Handle a clean close of the connection, which completes an answer without length."""
        current = self._current
        if current.head_done and not current.done and current.ends_with_connection:
            current.done = True

    def release(self) -> None:
        """Forget the answers: the parser and httptools refer to each other until the collector runs."""
        self.answers.clear()
        self._current = ParsedAnswer()

    def _has_complete_answer(self) -> bool:
        return any(answer.done for answer in self.answers)

    def on_message_begin(self) -> None:
        """Start an answer (called by httptools, as are the other ``on_`` methods)."""
        self._current = ParsedAnswer()
        self._head_bytes = 0

    def on_status(self, reason: bytes) -> None:
        """Append a piece of the reason phrase."""
        self._current.reason += reason.decode("latin-1")

    def on_header(self, name: bytes, value: bytes | None) -> None:
        """Append a header; trailers are dropped."""
        if not self._current.head_done:
            field = (name.decode("latin-1"), (value or b"").decode("latin-1").strip())
            self._current.headers.append(field)
            self._check_head()

    def on_headers_complete(self) -> None:
        """Queue the answer once its head is complete; interim answers are dropped."""
        current = self._current
        current.status = self._parser.get_status_code()
        current.head_done = True
        if current.status <= MAX_INTERIM_STATUS:
            return
        current.keep_alive = self._parser.should_keep_alive()
        self.answers.append(current)
        bodiless = current.status in (HTTPStatus.NO_CONTENT, HTTPStatus.NOT_MODIFIED)
        if self._without_body or bodiless:
            current.done = True
            current.has_body = False
            self.must_close = self._without_body

    def on_body(self, piece: bytes) -> None:
        """Append a piece of the body."""
        self._current.pieces.append(piece)

    def on_message_complete(self) -> None:
        """Mark the answer as complete."""
        self._current.done = True
