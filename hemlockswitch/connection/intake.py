"""Reads callers' requests within bounds on size and time."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import Any, Protocol

import falcon
import gevent

from hemlockswitch.connection.caller_server import CONNECTION_KEY, CallerConnection
from hemlockswitch.core.clock import MS_PER_SECOND, Clock
from hemlockswitch.core.errors import ErrorKind, RequestError
from hemlockswitch.core.identifiers import make_identifier

BODY_TIMEOUT_MS = 30_000
READ_BYTES = 65_536
MAX_READING_BYTES = 64 * 1024 * 1024
MAX_IDEMPOTENCY_KEY_CHARS = 256
MAX_DEADLINE_MS = 86_400_000
LOWEST_PRIORITY = 9


@dataclass(frozen=True)
class CallerRequest:
    """One request as it came from a caller, its body bounded and read.

    Parameters
    ==========

    request_id : made by this system; names the request in every answer.
    headers : with lower-case names.
    deadline_ms : monotonic time after which the caller has no use for an answer; None when the
        caller gave none.
    connection : to learn that the caller went away; None in tests.
    answer_headers : filled by the service; they go with the answer, also with an error's.
    """

    request_id: str
    method: str
    path: str
    query: str = ""
    headers: Mapping[str, str] = field(default_factory=dict)
    body: bytes = b""
    deadline_ms: float | None = None
    connection: CallerConnection | None = None
    answer_headers: dict[str, str] = field(default_factory=dict)

    @property
    def idempotency_key(self) -> str | None:
        """The caller's ``Idempotency-Key``."""
        return self.headers.get("idempotency-key")

    @property
    def priority(self) -> int | None:
        """The caller's ``X-Priority``, 0 first; None when absent."""
        value = self.headers.get("x-priority")
        return None if value is None else _read_number("X-Priority", value, LOWEST_PRIORITY)


@dataclass(frozen=True)
class CallerAnswer:
    """What goes back: a whole body, or pieces that are written as they come."""

    status: int
    body: bytes | Iterable[bytes]
    headers: Mapping[str, str] = field(default_factory=dict)
    content_type: str = "application/json"


class Gate(Protocol):
    """Who says, before a body is read, whether and how much of it may be."""

    def check_ready(self) -> None:
        """Raise a `RequestError` when no new work is taken."""

    def check_caller(self, authorization: str | None) -> None:
        """Raise a `RequestError` unless the header names an account."""

    def limit_body_bytes(self) -> int:
        """Return the largest body that may be read."""


class Intake:
    """Turns falcon's requests into `CallerRequest` objects.

    Explanation
    ===========

    The bodies that are being read at one time are bounded together, not only each: what a
    request announces is reserved before its first byte is read, or it is refused.

    Parameters
    ==========

    gate : says whether and how much may be read.
    clock : the process's clock.
    most_bytes : bound of all bodies that are being read.
    """

    def __init__(self, gate: Gate, clock: Clock, most_bytes: int = MAX_READING_BYTES) -> None:
        self._gate = gate
        self._clock = clock
        self._most_bytes = most_bytes
        self._reading_bytes = 0

    def read(self, req: falcon.Request) -> CallerRequest:
        """Read the request's body and headers, bounded in size and time."""
        req.context.request_id = make_identifier("req")
        self._gate.check_ready()
        self._gate.check_caller(req.get_header("Authorization"))
        headers = {name.lower(): value for name, value in req.headers.items()}
        _check_headers(headers)
        request = CallerRequest(
            request_id=req.context.request_id,
            method=req.method,
            path=req.path,
            query=req.query_string,
            headers=headers,
            body=self._read_body(req),
            deadline_ms=self._read_deadline(headers),
            connection=req.env.get(CONNECTION_KEY),
        )
        req.context.answer_headers = request.answer_headers
        return request

    def _read_deadline(self, headers: Mapping[str, str]) -> float | None:
        value = headers.get("x-deadline-ms")
        if value is None:
            return None
        return self._clock.now_ms() + _read_number("X-Deadline-Ms", value, MAX_DEADLINE_MS)

    def _read_body(self, req: falcon.Request) -> bytes:
        limit_bytes = self._gate.limit_body_bytes()
        _check_length(req.content_length, limit_bytes)
        expected_bytes = limit_bytes if req.content_length is None else req.content_length
        if self._reading_bytes + expected_bytes > self._most_bytes:
            raise RequestError(ErrorKind.OVERLOADED, "too many bodies are being read")
        self._reading_bytes += expected_bytes
        try:
            return self._read_reserved(req, limit_bytes)
        finally:
            self._reading_bytes -= expected_bytes

    @staticmethod
    def _read_reserved(req: falcon.Request, limit_bytes: int) -> bytes:
        slow = RequestError(ErrorKind.CALLER_TOO_SLOW, "the body did not arrive in time")
        try:
            with gevent.Timeout(BODY_TIMEOUT_MS / MS_PER_SECOND, slow):
                body = _read_bounded(req.env["wsgi.input"], limit_bytes)
        except TimeoutError as error:
            raise slow from error
        except OSError as error:
            raise RequestError(ErrorKind.BAD_REQUEST, "the body broke off") from error
        if req.content_length is not None and len(body) < req.content_length:
            raise RequestError(ErrorKind.BAD_REQUEST, "the body broke off")
        return body


def _check_length(length: int | None, limit_bytes: int) -> None:
    if length is not None and length > limit_bytes:
        raise RequestError(ErrorKind.BODY_TOO_LARGE, f"the body is over {limit_bytes} bytes")


def _read_bounded(stream: Any, limit_bytes: int) -> bytes:
    """Read a body whose length may be unknown, never holding more than one byte too many."""
    pieces: list[bytes] = []
    size_bytes = 0
    while size_bytes <= limit_bytes:
        piece = stream.read(min(READ_BYTES, limit_bytes + 1 - size_bytes))
        if not piece:
            return b"".join(pieces)
        size_bytes += len(piece)
        pieces.append(piece)
    raise RequestError(ErrorKind.BODY_TOO_LARGE, f"the body is over {limit_bytes} bytes")


def _check_headers(headers: Mapping[str, str]) -> None:
    key = headers.get("idempotency-key", "")
    if len(key) > MAX_IDEMPOTENCY_KEY_CHARS or not key.isascii() or not key.isprintable():
        raise RequestError(
            ErrorKind.BAD_REQUEST,
            f"Idempotency-Key: not printable ASCII of at most {MAX_IDEMPOTENCY_KEY_CHARS}",
        )
    if "x-priority" in headers:
        _read_number("X-Priority", headers["x-priority"], LOWEST_PRIORITY)


def _read_number(name: str, value: str, highest: int) -> int:
    """Return the whole number in a header."""
    if not (value.isascii() and value.isdigit() and len(value) < 12 and int(value) <= highest):
        raise RequestError(ErrorKind.BAD_REQUEST, f"{name}: not a whole number up to {highest}")
    return int(value)
