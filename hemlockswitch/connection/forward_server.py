"""The HTTP server of forwarded requests: whole requests in, answers out as they come.

One task owns each caller's connection. While a request is being served, a watcher reads what the
caller sends meanwhile, so that a caller that leaves is noticed at once.
"""

from collections.abc import Callable
from enum import Enum, auto
from http import HTTPStatus
from typing import Any

import gevent
from gevent import socket
from gevent.server import StreamServer

from hemlockswitch.connection.heads import Header, ReceivedRequest, encode_head
from hemlockswitch.connection.message_parsers import RequestParser
from hemlockswitch.connection.sockets import set_liveness_options
from hemlockswitch.core.clock import MS_PER_SECOND, Clock
from hemlockswitch.core.errors import ErrorKind, RequestError
from hemlockswitch.core.events import Event
from hemlockswitch.core.logs import log_event
from hemlockswitch.version.serving_table import CallerBounds

READ_EVENT = 1
READ_BYTES = 65_536
MOST_PIPELINED_BYTES = 65_536
"""What is read of a caller's next requests while one is served; beyond it the kernel holds them."""
WRITE_TIMEOUT_MS = 5_000
"""How long a caller may leave its answer unread before it counts as gone."""
LINGER_MS = 500
"""How long to read on after a refusal that closes, so that the refusal is not lost in a reset."""
BACKLOG = 1_024

Handler = Callable[[ReceivedRequest, "Reply"], None]


class ReadPhase(Enum):
    """How far the next request of a connection has come in."""

    IDLE = auto()
    HEAD = auto()
    BODY = auto()


def _start_timer(phase: ReadPhase, bounds: CallerBounds) -> gevent.Timeout:
    """Return a running timer that ends the phase."""
    limit_ms = bounds.head_timeout_ms if phase is ReadPhase.HEAD else bounds.idle_timeout_ms
    timer = gevent.Timeout(limit_ms / MS_PER_SECOND)
    timer.start()
    return timer


class CallerLeftError(Exception):
    """The caller closed its connection, or the answer cannot be continued on it.

    It is no `OSError`: it is raised in a task that may just wait for a backend server, and must
    not look like that server's failure.
    """


class Reply:
    """The answer to one request, written to the caller's connection.

    Explanation
    ===========

    `send` writes a whole answer; `begin`, `write` and `end` a chunked one. A reply that was begun
    and not ended makes the connection close without the last chunk, so that what the caller got
    does not look complete.
    """

    def __init__(self, connection: socket.socket, request: ReceivedRequest, closes: bool) -> None:
        self._connection = connection
        self._method = request.method
        self.closes = closes or not request.keep_alive
        self.status = 0
        self.begun = False
        self.ended = False

    def send(self, status: int, reason: str, headers: list[Header], body: bytes) -> None:
        """Write a whole answer."""
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
        """Write the end of the body."""
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


class CallerSession:
    """One caller's connection, from its acceptance to its end."""

    def __init__(self, server: "ForwardServer", connection: socket.socket) -> None:
        self._server = server
        self._connection = connection
        self._parser = RequestParser(server.get_sizes, server.clock.now_ms)
        self._early = b""
        self._watcher: Any = None
        self._task: gevent.Greenlet | None = None
        self.is_waiting = False

    def run(self) -> None:
        """Serve requests until either side closes."""
        self._task = gevent.getcurrent()
        self._server.sessions.add(self)
        try:
            set_liveness_options(self._connection)
            self._connection.settimeout(WRITE_TIMEOUT_MS / MS_PER_SECOND)
            while self._serve_next():
                pass
        except (OSError, CallerLeftError):
            pass  # The caller left; the request that it had in progress was logged where it ended.
        finally:
            self._server.sessions.discard(self)
            self._connection.close()

    def close_if_idle(self) -> None:
        """Close the connection unless a request is being read or served."""
        if self.is_waiting and self._parser.is_idle and not self._early and self._task is not None:
            self._task.kill(CallerLeftError("stopping"), block=False)

    def _serve_next(self) -> bool:
        """Serve one request; return whether the connection stays open."""
        try:
            request = self._read_request()
        except RequestError as error:
            self._refuse(error)
            return False
        if request is None:
            return False
        return self._serve(request)

    def _serve(self, request: ReceivedRequest) -> bool:
        reply = Reply(self._connection, request, self._server.is_closing)
        self._watch()
        self._server.active += 1
        try:
            self._server.handler(request, reply)
        except CallerLeftError:
            return False
        finally:
            self._server.active -= 1
            self._unwatch()
        return reply.ended and not reply.closes and not self._closes_now()

    def _closes_now(self) -> bool:
        """Return whether to close after an answer that did not announce it: its head went out
        before the process was asked to stop, and the caller's next request would be cut off."""
        return self._server.is_closing and not self._early

    def _read_request(self) -> ReceivedRequest | None:
        """Return the next whole request, or None when the connection ended between requests.

        Each phase of the reading has its time as a whole: a caller that sends a byte now and then
        gets no more of it.
        """
        bounds = self._server.get_bounds()
        phase = self._find_phase()
        timer = _start_timer(phase, bounds)
        try:
            while not self._parser.complete:
                data = self._receive()
                if not data:
                    return None
                self._parser.feed(data)
                if self._find_phase() is not phase:
                    phase = self._find_phase()
                    timer.close()
                    timer = _start_timer(phase, bounds)
                self._invite_body()
        except gevent.Timeout as expired:
            if expired is not timer:
                raise
            if self._parser.is_idle:
                return None
            raise RequestError(ErrorKind.CALLER_TOO_SLOW, "the request came too slowly") from None
        finally:
            timer.close()
        return self._parser.complete.popleft()

    def _find_phase(self) -> ReadPhase:
        if self._parser.in_body:
            return ReadPhase.BODY
        return ReadPhase.IDLE if self._parser.is_idle else ReadPhase.HEAD

    def _invite_body(self) -> None:
        """Answer ``Expect: 100-continue``."""
        if self._parser.wants_continue and self._parser.in_body:
            self._parser.wants_continue = False
            self._connection.sendall(b"HTTP/1.1 100 Continue\r\n\r\n")

    def _receive(self) -> bytes:
        if self._early:
            early, self._early = self._early, b""
            return early
        self.is_waiting = True
        try:
            socket.wait_read(self._connection.fileno())
        finally:
            self.is_waiting = False
        return self._connection.recv(READ_BYTES)

    def _watch(self) -> None:
        loop = gevent.get_hub().loop
        self._watcher = loop.io(self._connection.fileno(), READ_EVENT)
        self._watcher.start(self._look)

    def _unwatch(self) -> None:
        if self._watcher is not None:
            self._watcher.stop()
            self._watcher.close()
            self._watcher = None

    def _look(self) -> None:
        """Read what came while a request is served; the end of the connection ends the request."""
        try:
            data = self._connection._sock.recv(READ_BYTES)
        except BlockingIOError:
            return
        except OSError:
            data = b""
        if data:
            self._early += data
            if len(self._early) > MOST_PIPELINED_BYTES:
                self._watcher.stop()
            return
        self._watcher.stop()
        if self._task is not None:
            self._task.kill(CallerLeftError("the caller left"), block=False)

    def _refuse(self, error: RequestError) -> None:
        """Answer a request that cannot be read and close."""
        log_event(Event.REQUEST_UNREADABLE, "warning", kind=error.kind.value, detail=error.detail)
        phrase = HTTPStatus(error.answer.status).phrase
        headers = [("Content-Length", "0"), ("Connection", "close")]
        self._connection.sendall(encode_head(f"HTTP/1.1 {error.answer.status} {phrase}", headers))
        self._connection.shutdown(socket.SHUT_WR)
        with gevent.Timeout(LINGER_MS / MS_PER_SECOND, False):
            while self._connection.recv(READ_BYTES):
                pass


class ForwardServer:
    """Listens for callers and serves each connection in a task.

    Parameters
    ==========

    address : host and port.
    handler : serves one request by writing its reply.
    get_bounds : the bounds in force.
    clock : the time.

    `active` is the number of requests that are being served.
    """

    def __init__(
        self,
        address: tuple[str, int],
        handler: Handler,
        get_bounds: Callable[[], CallerBounds],
        clock: Clock,
    ) -> None:
        self.handler = handler
        self.get_bounds = get_bounds
        self.clock = clock
        self.sessions: set[CallerSession] = set()
        self.active = 0
        self.is_closing = False
        self._server = StreamServer(address, self._accept, backlog=BACKLOG)

    def start(self) -> str:
        """Listen, and return the address that is bound."""
        self._server.start()
        host, port = self._server.address[:2]
        return f"{host}:{port}"

    def get_sizes(self) -> tuple[int, int]:
        """Return the largest head and body in bytes."""
        bounds = self.get_bounds()
        return bounds.max_head_bytes, bounds.max_body_bytes

    def begin_closing(self) -> None:
        """Close connections after their answers from now on; new ones are still accepted."""
        self.is_closing = True

    def stop_accepting(self) -> None:
        """Stop listening, and close the connections that are idle."""
        self._server.close()
        self.close_idle()

    def close_idle(self) -> None:
        """Close the connections on which no request is in progress."""
        for session in list(self.sessions):
            session.close_if_idle()

    def _accept(self, connection: socket.socket, _address: Any) -> None:
        CallerSession(self, connection).run()
