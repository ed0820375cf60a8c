"""Common parts of the HTTP stand-ins: the server, the ready line, and connection resets."""

import json
import os
import socket
import struct
import sys
from collections.abc import Callable
from typing import Any, NoReturn, TypeVar

import falcon
import gevent
import gevent.event
import gevent.signal
from gevent.pywsgi import WSGIHandler, WSGIServer
from pydantic import BaseModel, ValidationError

Model = TypeVar("Model", bound=BaseModel)
SOCKET_KEY = "standin.socket"
TARGET_KEY = "standin.target"
_RESET = struct.pack("ii", 1, 0)


class _Handler(WSGIHandler):
    """A handler that gives the application access to its connection, so that it can reset it."""

    def handle(self) -> None:
        """Serve a connection without Nagle's delay of small writes."""
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        super().handle()

    def get_environ(self) -> dict[str, Any]:
        """Return the environment of a request, with its connection and undecoded target."""
        environ = super().get_environ()
        environ[SOCKET_KEY] = self.socket
        environ[TARGET_KEY] = self.path
        return environ

    def handle_error(self, kind: Any, value: Any, trace: Any) -> None:
        """Close the connection without logging after a lost caller or an injected reset."""
        if not isinstance(value, (CutError, OSError)):
            super().handle_error(kind, value, trace)
            return
        self.close_connection = True


class CutError(Exception):
    """The stand-in reset the connection because of an injected fault."""


class RefusalError(Exception):
    """The stand-in refused a request.

    Parameters
    ==========

    status : HTTP status of the refusal.
    error : short name of the reason.
    retry_after_ms : delay after which to retry.
    """

    def __init__(self, status: int, error: str, retry_after_ms: int = 0) -> None:
        super().__init__(error)
        self.status = status
        self.body = {"error": error, "retry_after_ms": retry_after_ms}


def _reraise(
    request: falcon.Request, response: falcon.Response, error: Exception, params: Any
) -> None:
    raise error


def _answer_refusal(
    request: falcon.Request, response: falcon.Response, error: RefusalError, params: Any
) -> None:
    response.status = error.status
    response.media = error.body
    request_id = request.get_header("X-Request-Id")
    if request_id:
        response.set_header("X-Request-Id", request_id)


def read_body(request: falcon.Request, model: type[Model]) -> Model:
    """Return the validated JSON body of a request.

    Raises
    ======

    RefusalError : the body does not match the model.
    """
    try:
        return model.model_validate(request.get_media(default_when_empty={}))
    except ValidationError as error:
        raise RefusalError(400, str(error)) from error


def parse_address(text: str) -> tuple[str, int]:
    """Return the host and port of an address of the form ``ip:port``.

    Examples
    ========

    >>> parse_address("127.0.0.1:0")
    ('127.0.0.1', 0)
    """
    host, port = text.rsplit(":", 1)
    return host, int(port)


def cut_connection(connection: socket.socket) -> NoReturn:
    """Close `connection` with a reset.

    Raises
    ======

    CutError : always, to leave the handler.
    """
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
    connection.close()
    raise CutError


def end_connection(connection: socket.socket) -> NoReturn:
    """Close `connection` in good order, without marking the end of the answer otherwise.

    Raises
    ======

    CutError : always, to leave the handler.
    """
    connection.shutdown(socket.SHUT_RDWR)
    raise CutError


def end_process() -> None:
    """Terminate this process immediately, as a crash does."""
    os._exit(1)


def listen(
    application: Callable[..., Any], address: str, max_connections: int | None = None
) -> tuple[WSGIServer, str]:
    """Start serving `application` and return the server and its ``ip:port``.

    With a limit on the connections, the server's `stop` also ends the open connections.
    """
    server = WSGIServer(
        parse_address(address),
        application,
        handler_class=_Handler,
        log=None,
        spawn=max_connections or "default",
    )
    server.start()
    return server, f"{server.server_host}:{server.server_port}"


def print_ready(addresses: dict[str, str]) -> None:
    """Print the line which reports that the process is ready, with its addresses."""
    print(json.dumps({"ready": True, "addresses": addresses}), flush=True)


def wait_for_signal() -> None:
    """Block until the process receives SIGINT or SIGTERM."""
    stopped = gevent.event.Event()
    gevent.signal_handler(2, stopped.set)
    gevent.signal_handler(15, stopped.set)
    stopped.wait()


def serve_until_stopped(application: Callable[..., Any], address: str) -> None:
    """Serve `application` on `address`, printing the ready line, until a stop signal arrives."""
    server, bound = listen(application, address)
    print_ready({"http": bound})
    wait_for_signal()
    server.stop(timeout=1)
    sys.stdout.flush()


def make_application() -> falcon.App:
    """Return a falcon application that handles `RefusalError` and `CutError`.

    Its answers are ASCII: text that is no UTF-8 is answered as the escapes of its surrogates.
    """
    application = falcon.App()
    handler = falcon.media.JSONHandler(dumps=json.dumps)
    application.resp_options.media_handlers[falcon.MEDIA_JSON] = handler
    application.add_error_handler(CutError, _reraise)
    application.add_error_handler(RefusalError, _answer_refusal)
    return application
