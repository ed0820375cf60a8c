"""The HTTP server towards callers: gevent's, with bounds on time and size for each caller.

Explanation
===========

A caller that sends its head too slowly, sends too large a head, or never reads its answer costs
a bounded amount of memory and time. The answer's writes share the socket's own time-out, which
gevent starts only when the send buffer is full, so a caller that reads costs no timer.
"""

import contextlib
import socket as system_socket
from collections.abc import Callable
from typing import Any

import gevent
from gevent.pywsgi import Input, WSGIHandler, WSGIServer

from hemlockswitch.core.clock import MS_PER_SECOND
from hemlockswitch.core.events import Event
from hemlockswitch.core.logs import log_event

MAX_HEAD_BYTES = 32_768
HEAD_TIMEOUT_MS = 10_000
IDLE_TIMEOUT_MS = 75_000
BACKLOG = 1_024
SEND_BUFFER_BYTES = 65_536
DRAIN_BYTES = 262_144
DRAIN_TIMEOUT_MS = 500
DRAIN_READ_BYTES = 16_384
READ_EVENT = 1
CONNECTION_KEY = "hemlockswitch.connection"
TARGET_KEY = "hemlockswitch.target"


class CallerGoneError(OSError):
    """The caller closed its connection; nobody waits for the answer."""


class HeadTooLargeError(ValueError):
    """The request's head is over the bound; pywsgi answers 400 and closes."""


class CallerConnection:
    """What a request needs to know of its caller's connection.

    Parameters
    ==========

    connection : the accepted socket; the server goes on owning it.
    """

    def __init__(self, connection: Any) -> None:
        self._connection = connection
        self._watcher: Any = None

    def watch(self, on_gone: Callable[[], None]) -> None:
        """Call `on_gone` once if the caller closes its connection, until `release`."""
        loop = gevent.get_hub().loop
        self._watcher = loop.io(self._connection.fileno(), READ_EVENT)
        self._watcher.start(self._look, on_gone)

    def release(self) -> None:
        """Stop watching."""
        if self._watcher is not None:
            self._watcher.stop()
            self._watcher.close()
            self._watcher = None

    def _look(self, on_gone: Callable[[], None]) -> None:
        """Look at the readable socket without taking bytes; a later request may wait there."""
        try:
            gone = self._connection._sock.recv(1, system_socket.MSG_PEEK) == b""
        except BlockingIOError:
            return
        except OSError:
            gone = True
        self.release()
        if gone:
            on_gone()


class _BoundedLines:
    """A view of the connection's reader that counts the bytes of a head."""

    def __init__(self, reader: Any) -> None:
        self._reader = reader
        self._left = MAX_HEAD_BYTES

    def readline(self, limit: int = -1) -> bytes:
        """Return one line and count it."""
        line = self._reader.readline(min(limit, self._left + 1) if limit > 0 else self._left + 1)
        self._left -= len(line)
        if self._left < 0:
            raise HeadTooLargeError(f"a head over {MAX_HEAD_BYTES} bytes")
        return line


class _BoundedInput(Input):
    """A request's body of which only so much is read to no purpose after the answer."""

    def __init__(self, *args: Any, **kw: Any) -> None:
        super().__init__(*args, **kw)
        self.abandoned = False

    def _discard(self) -> None:
        """Read a bounded rest, so that a refusal is not lost in a reset of the connection."""
        left = DRAIN_BYTES
        self.send_100_continue_enabled = False
        with gevent.Timeout(DRAIN_TIMEOUT_MS / MS_PER_SECOND, False):
            while left > 0:
                piece = self.read(DRAIN_READ_BYTES)
                if not piece:
                    return
                left -= len(piece)
        self.abandoned = True


class CallerHandler(WSGIHandler):
    """One caller's connection, with bounds on the head and on each write."""

    wsgi_input: Any
    close_connection: bool
    code: int

    def read_requestline(self) -> str:
        """Wait for the next request, at most the idle time."""
        self.socket.settimeout(IDLE_TIMEOUT_MS / MS_PER_SECOND)
        return super().read_requestline()

    def read_request(self, raw_requestline: str) -> bool:
        """Read the head within a whole time-out, however its bytes are spread."""
        self.socket.settimeout(self.server.caller_timeout_ms / MS_PER_SECOND)
        with gevent.Timeout(HEAD_TIMEOUT_MS / MS_PER_SECOND, ConnectionAbortedError("slow head")):
            return super().read_request(raw_requestline)

    def MessageClass(self, *args: Any) -> Any:  # noqa: N802
        """Parse the head's fields from a bounded reader."""
        reader, *rest = args
        return super().MessageClass(_BoundedLines(reader), *rest)

    def get_environ(self) -> dict[str, Any]:
        """Add the connection and the target as it was sent."""
        environ = super().get_environ()
        given: Any = self.wsgi_input
        self.wsgi_input = _BoundedInput(
            self.rfile, self.content_length, given.socket, given.chunked_input
        )
        environ["wsgi.input"] = self.wsgi_input
        environ[CONNECTION_KEY] = CallerConnection(self.socket)
        environ[TARGET_KEY] = self.path
        return environ

    def handle_one_response(self) -> None:
        """Answer one request, counted until its last byte is handed to the kernel."""
        self.server.answering += 1
        try:
            super().handle_one_response()
        finally:
            self.server.answering -= 1
            self.close_connection = self.close_connection or self.wsgi_input.abandoned

    def _write(self, data: bytes) -> None:
        """Write one piece of an answer, framed in one step."""
        if data:
            self._sendall(
                b"%x\r\n%b\r\n" % (len(data), data) if self.response_use_chunked else data
            )

    def _sendall(self, data: bytes) -> None:
        """Send at once what the kernel takes; only a rest goes the longer way that waits."""
        try:
            sent = self.socket.send(data)
            if sent < len(data):
                self.socket.sendall(memoryview(data)[sent:])
        except OSError as error:
            self.status = f"socket error: {error}"
            self.code = -abs(self.code)
            raise
        self.response_length += len(data)

    def handle_error(self, t: Any, v: Any, tb: Any) -> None:
        """Log a failure by its type and close; a caller that is gone is no failure."""
        if not issubclass(t, OSError | gevent.GreenletExit):
            log_event(Event.TASK_FAILED, "error", task="caller", error=f"{t.__name__}: {v}")
        self.close_connection = True
        if not issubclass(t, OSError):
            self._send_error_response_if_possible(500)

    def _handle_client_error(self, ex: Exception) -> Any:
        if isinstance(ex, OSError):
            return None
        self._refuse_head()
        return None

    def _refuse_head(self) -> None:
        """Answer a wrong head, then read a bounded rest so that the answer is not lost."""
        patience = gevent.Timeout(DRAIN_TIMEOUT_MS / MS_PER_SECOND, False)
        with contextlib.suppress(OSError), patience:
            self.socket.sendall(_MALFORMED)
            self.socket.shutdown(system_socket.SHUT_WR)
            left = DRAIN_BYTES
            while left > 0 and (piece := self.socket.recv(DRAIN_READ_BYTES)):
                left -= len(piece)

    def log_request(self) -> None:
        """Requests are counted in metrics and traced; no line each."""


class CallerServer(WSGIServer):
    """A server on one address with bounded callers.

    Parameters
    ==========

    address : host and port; port 0 takes any free one.
    application : the WSGI application.
    caller_timeout_ms : how long one read or write of a caller may block.

    Its `answering` is the number of requests that are not wholly answered.
    """

    handler_class = CallerHandler

    def __init__(self, address: tuple[str, int], application: Any, caller_timeout_ms: int) -> None:
        environ = {"SERVER_NAME": address[0]}
        super().__init__(address, application, backlog=BACKLOG, log=None, environ=environ)
        self.caller_timeout_ms = caller_timeout_ms
        self.answering = 0

    def init_socket(self) -> None:
        """Listen with a bound on what the kernel holds of each caller's answer.

        Explanation
        ===========

        Accepted sockets inherit both options. Left to itself the kernel takes megabytes, and a
        caller that never reads is noticed only when its whole answer lies there; and it holds
        back the body behind the head until the caller's delayed acknowledgement, some 40 ms.
        """
        super().init_socket()
        self.socket.setsockopt(system_socket.IPPROTO_TCP, system_socket.TCP_NODELAY, 1)
        self.socket.setsockopt(system_socket.SOL_SOCKET, system_socket.SO_SNDBUF, SEND_BUFFER_BYTES)

    def start_accepting(self) -> None:
        """Accept new callers before the streams in progress go on."""
        super().start_accepting()
        self._watcher.stop()
        self._watcher.priority = self.loop.MAXPRI
        self._watcher.start(self._do_read)

    @property
    def bound_address(self) -> str:
        """The ``ip:port`` that it listens on."""
        return f"{self.server_host}:{self.server_port}"


_BODY = (
    b'{"error": {"kind": "bad_request", "message": "malformed or oversized request head", '
    b'"ran": "no", "retry_after_ms": 0, "request_id": ""}}'
)
_MALFORMED = (
    b"HTTP/1.1 400 Bad Request\r\nConnection: close\r\nContent-Type: application/json\r\n"
    b"Content-Length: %d\r\n\r\n" % len(_BODY)
) + _BODY
