"""What the HTTP stand-ins share: the server, the ready line, and cutting a connection."""

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
    """A handler that lets the application reach its connection, to cut it."""

    def handle(self) -> None:
        """Serve one connection, each write sent at once."""
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        super().handle()

    def get_environ(self) -> dict[str, Any]:
        """Return the request's environment with its connection and its undecoded target."""
        environ = super().get_environ()
        environ[SOCKET_KEY] = self.socket
        environ[TARGET_KEY] = self.path
        return environ

    def handle_error(self, kind: Any, value: Any, trace: Any) -> None:
        """Keep lost callers and ordered cuts out of the log."""
        if not isinstance(value, (CutError, OSError)):
            super().handle_error(kind, value, trace)
            return
        self.close_connection = True


class CutError(Exception):
    """The stand-in cut the connection, as it was told to."""


class RefusalError(Exception):
    """The stand-in refuses a request.

    Parameters
    ==========

    status : HTTP status of the refusal.
    error : short name of the reason.
    retry_after_ms : when to come back.
    """

    def __init__(self, status: int, error: str, retry_after_ms: int = 0) -> None:
        super().__init__(error)
        self.status = status
        self.body = {"error": error, "retry_after_ms": retry_after_ms}


def _pass_on(
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
    """Return the checked JSON body of a request.

    Raises
    ======

    RefusalError : the body does not fit the model.
    """
    try:
        return model.model_validate(request.get_media(default_when_empty={}))
    except ValidationError as error:
        raise RefusalError(400, str(error)) from error


def parse_address(text: str) -> tuple[str, int]:
    """Return host and port of ``ip:port``.

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


def end_process() -> None:
    """End this process at once, as a crash does."""
    os._exit(1)


def listen(
    application: Callable[..., Any], address: str, most_connections: int | None = None
) -> tuple[WSGIServer, str]:
    """Start serving `application` and return the server and its ``ip:port``.

    With a bound on the connections, `stop` also ends those that are open.
    """
    server = WSGIServer(
        parse_address(address),
        application,
        handler_class=_Handler,
        log=None,
        spawn=most_connections or "default",
    )
    server.start()
    return server, f"{server.server_host}:{server.server_port}"


def print_ready(addresses: dict[str, str]) -> None:
    """Print the line that tells the starter that the process serves, and where."""
    print(json.dumps({"ready": True, "addresses": addresses}), flush=True)


def wait_for_signal() -> None:
    """Return when the process is asked to stop."""
    stopped = gevent.event.Event()
    gevent.signal_handler(2, stopped.set)
    gevent.signal_handler(15, stopped.set)
    stopped.wait()


def serve_until_stopped(application: Callable[..., Any], address: str) -> None:
    """Serve `application` on `address`, print the ready line, return when asked to stop."""
    server, bound = listen(application, address)
    print_ready({"http": bound})
    wait_for_signal()
    server.stop(timeout=1)
    sys.stdout.flush()


def make_application() -> falcon.App:
    """Return a falcon application that knows the stand-ins' refusals and cuts."""
    application = falcon.App()
    application.add_error_handler(CutError, _pass_on)
    application.add_error_handler(RefusalError, _answer_refusal)
    return application
