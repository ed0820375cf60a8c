"""The HTTP interface for callers: routes, error answers and request identifiers."""

import math
import traceback
from typing import Any, Protocol

import falcon

from hemlockswitch.connection.caller_server import (
    TARGET_KEY,
    CallerGoneError,
)
from hemlockswitch.connection.intake import CallerAnswer, CallerRequest, RequestReader
from hemlockswitch.core.clock import MS_PER_SECOND, Clock
from hemlockswitch.core.errors import ErrorKind, HemlockError, RequestError
from hemlockswitch.core.events import Event
from hemlockswitch.core.identifiers import make_identifier
from hemlockswitch.core.logs import log_event

EVENT_STREAM = "text/event-stream"
SERVICES_PREFIX = "/services/"


class CallerService(Protocol):
    """The service behind the HTTP interface."""

    def check_ready(self) -> None:
        """Raise a `RequestError` if no new requests are accepted."""

    def check_caller(self, authorization: str | None) -> None:
        """Raise a `RequestError` unless the header has a client account's key."""

    def limit_body_bytes(self) -> int:
        """Return the maximum size of a request body."""

    def complete(self, request: CallerRequest) -> CallerAnswer:
        """Serve a model request."""

    def call_service(self, request: CallerRequest, service: str, path: str) -> CallerAnswer:
        """Serve a call of a service that is not a model."""

    def resume(self, request: CallerRequest, resumed_id: str) -> CallerAnswer:
        """Serve the remaining answer of an earlier request."""


def describe_error(error: HemlockError, request_id: str) -> dict[str, Any]:
    """Return the JSON body of the answer for an error.

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
    app.add_error_handler(CallerGoneError, _reraise)
    app.add_error_handler(falcon.HTTPError, _answer_http_error)
    reader = RequestReader(service, clock)
    app.add_route("/healthz", _Health(service))
    app.add_route("/v1/chat/completions", _Completions(service, reader))
    app.add_route("/v1/requests/{request_id}", _Requests(service, reader))
    app.add_sink(_ServiceSink(service, reader), prefix=r"/services/(?P<service>[^/]+)")
    return app


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
    def __init__(self, service: CallerService, reader: RequestReader) -> None:
        self._service = service
        self._reader = reader

    def on_post(self, req: falcon.Request, resp: falcon.Response) -> None:
        request = self._reader.read(req)
        _send(resp, self._service.complete(request), request)


class _Requests:
    def __init__(self, service: CallerService, reader: RequestReader) -> None:
        self._service = service
        self._reader = reader

    def on_get(self, req: falcon.Request, resp: falcon.Response, request_id: str) -> None:
        request = self._reader.read(req)
        _send(resp, self._service.resume(request, request_id), request)
        resp.set_header("X-Request-Id", request_id)


class _ServiceSink:
    """Accepts every method and forwards the path undecoded, as the caller sent it."""

    def __init__(self, service: CallerService, reader: RequestReader) -> None:
        self._service = service
        self._reader = reader

    def __call__(self, req: falcon.Request, resp: falcon.Response, **parts: str) -> None:
        service = parts["service"]
        request = self._reader.read(req)
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
    """Answer an internal error; its details are only logged."""
    place = traceback.extract_tb(error.__traceback__)[-1]
    log_event(
        Event.TASK_FAILED,
        "error",
        task="request",
        error=type(error).__name__,
        place=f"{place.filename}:{place.lineno}",
    )
    fault = RequestError(ErrorKind.INTERNAL, "internal error of the daemon")
    _answer_error(req, resp, fault, params)


def _reraise(
    req: falcon.Request, resp: falcon.Response, error: CallerGoneError, params: dict[str, Any]
) -> None:
    """Let the server close the connection, since the caller has closed its end."""
    raise error


def _answer_http_error(
    req: falcon.Request, resp: falcon.Response, error: falcon.HTTPError, params: dict[str, Any]
) -> None:
    """Convert an error of falcon to the error format of this interface; nothing was run."""
    refusal = RequestError(ErrorKind.BAD_REQUEST, error.title or "refused")
    _answer_error(req, resp, refusal, params)
    resp.status = error.status
