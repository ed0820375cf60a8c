"""The callers' HTTP interface: bounded reading, one table of errors, answers with their ids."""

import math
import traceback
from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field
from typing import Any, Protocol

import falcon
import gevent

from hemlockswitch.connection.caller_server import CONNECTION_KEY, TARGET_KEY, CallerConnection
from hemlockswitch.core.clock import MS_PER_SECOND, Clock
from hemlockswitch.core.errors import ErrorKind, HemlockError, RequestError
from hemlockswitch.core.events import Event
from hemlockswitch.core.identifiers import make_identifier
from hemlockswitch.core.logs import log_event

EVENT_STREAM = "text/event-stream"
BODY_TIMEOUT_MS = 30_000
READ_BYTES = 65_536
MAX_IDEMPOTENCY_KEY_CHARS = 256
MAX_DEADLINE_MS = 86_400_000
LOWEST_PRIORITY = 9
SERVICES_PREFIX = "/services/"


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
    body: bytes | Iterator[bytes]
    headers: Mapping[str, str] = field(default_factory=dict)
    content_type: str = "application/json"


class CallerService(Protocol):
    """What serves the callers' requests."""

    def check_ready(self) -> None:
        """Raise a `RequestError` when no new work is taken."""

    def limit_body_bytes(self) -> int:
        """Return the largest body that may be read."""

    def complete(self, request: CallerRequest) -> CallerAnswer:
        """Serve a model request."""

    def call_service(self, request: CallerRequest, service: str, path: str) -> CallerAnswer:
        """Serve a call of a plain service."""

    def resume(self, request: CallerRequest, resumed_id: str) -> CallerAnswer:
        """Serve the rest of an earlier request."""


def describe_error(error: HemlockError, request_id: str) -> dict[str, Any]:
    """Return the body of an error's answer.

    Examples
    ========

    >>> error = RequestError(ErrorKind.OVERLOADED, "queue is full", retry_after_ms=250)
    >>> describe_error(error, "req-1")["error"]["ran"]
    'no'
    """
    return {
        "error": {
            "kind": error.kind.value,
            "message": error.detail,
            "ran": error.answer.ran.value,
            "retry_after_ms": error.answer.retry_after_ms,
            "request_id": request_id,
        }
    }


def build_application(service: CallerService, clock: Clock) -> falcon.App:
    """Return the WSGI application for callers."""
    app: falcon.App = falcon.App()
    app.add_error_handler(HemlockError, _answer_error)
    app.add_error_handler(Exception, _answer_unexpected)
    app.add_error_handler(falcon.HTTPError, _answer_http_error)
    intake = _Intake(service, clock)
    app.add_route("/healthz", _Health(service))
    app.add_route("/v1/chat/completions", _Completions(service, intake))
    app.add_route("/v1/requests/{request_id}", _Requests(service, intake))
    app.add_sink(_ServiceSink(service, intake), prefix=r"/services/(?P<service>[^/]+)")
    return app


class _Intake:
    """Turns falcon's request into a `CallerRequest`, within bounds."""

    def __init__(self, service: CallerService, clock: Clock) -> None:
        self._service = service
        self._clock = clock

    def read(self, req: falcon.Request) -> CallerRequest:
        """Read the request's body and headers, bounded in size and time."""
        req.context.request_id = make_identifier("req")
        self._service.check_ready()
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
        limit_bytes = self._service.limit_body_bytes()
        _check_length(req.content_length, limit_bytes)
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


def _send(resp: falcon.Response, answer: CallerAnswer, request: CallerRequest) -> None:
    resp.status = answer.status
    resp.content_type = answer.content_type
    resp.set_header("X-Request-Id", request.request_id)
    for name, value in {**answer.headers, **request.answer_headers}.items():
        resp.set_header(name, value)
    if isinstance(answer.body, bytes):
        resp.data = answer.body
    else:
        resp.stream = answer.body


class _Health:
    def __init__(self, service: CallerService) -> None:
        self._service = service

    def on_get(self, req: falcon.Request, resp: falcon.Response) -> None:
        self._service.check_ready()
        resp.media = {"ready": True}


class _Completions:
    def __init__(self, service: CallerService, intake: _Intake) -> None:
        self._service = service
        self._intake = intake

    def on_post(self, req: falcon.Request, resp: falcon.Response) -> None:
        request = self._intake.read(req)
        _send(resp, self._service.complete(request), request)


class _Requests:
    def __init__(self, service: CallerService, intake: _Intake) -> None:
        self._service = service
        self._intake = intake

    def on_get(self, req: falcon.Request, resp: falcon.Response, request_id: str) -> None:
        request = self._intake.read(req)
        _send(resp, self._service.resume(request, request_id), request)
        resp.set_header("X-Request-Id", request_id)


class _ServiceSink:
    """Takes every method; the path goes on as the caller sent it, undecoded."""

    def __init__(self, service: CallerService, intake: _Intake) -> None:
        self._service = service
        self._intake = intake

    def __call__(self, req: falcon.Request, resp: falcon.Response, **parts: str) -> None:
        service = parts["service"]
        request = self._intake.read(req)
        target = req.env.get(TARGET_KEY, req.path).partition("?")[0]
        path = target.removeprefix(f"{SERVICES_PREFIX}{service}") or "/"
        _send(resp, self._service.call_service(request, service, path), request)


def _answer_error(
    req: falcon.Request, resp: falcon.Response, error: HemlockError, params: dict[str, Any]
) -> None:
    request_id = getattr(req.context, "request_id", "") or make_identifier("req")
    resp.status = error.answer.status
    resp.media = describe_error(error, request_id)
    resp.set_header("X-Request-Id", request_id)
    for name, value in getattr(req.context, "answer_headers", {}).items():
        resp.set_header(name, value)
    if error.kind is ErrorKind.LEAVING:
        resp.set_header("Connection", "close")
    if error.answer.retry_after_ms:
        seconds = math.ceil(error.answer.retry_after_ms / MS_PER_SECOND)
        resp.set_header("Retry-After", str(seconds))


def _answer_unexpected(
    req: falcon.Request, resp: falcon.Response, error: Exception, params: dict[str, Any]
) -> None:
    """Answer a fault of this program; the details go to the log alone."""
    place = traceback.extract_tb(error.__traceback__)[-1]
    log_event(
        Event.TASK_FAILED,
        "error",
        task="request",
        error=type(error).__name__,
        place=f"{place.filename}:{place.lineno}",
    )
    fault = RequestError(ErrorKind.INTERNAL, "a fault inside the daemon")
    _answer_error(req, resp, fault, params)


def _answer_http_error(
    req: falcon.Request, resp: falcon.Response, error: falcon.HTTPError, params: dict[str, Any]
) -> None:
    """Answer falcon's own refusals in the project's form; nothing was run."""
    refusal = RequestError(ErrorKind.BAD_REQUEST, error.title or "refused")
    _answer_error(req, resp, refusal, params)
    resp.status = error.status
