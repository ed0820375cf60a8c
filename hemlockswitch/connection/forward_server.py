"""The HTTP server for forwarded requests, which reads complete requests and streams the answers.

One task owns each caller's connection. While a request is being served, a watcher reads from the
connection, so that a caller that closes it is detected immediately.
"""

import math
from collections.abc import Callable
from enum import Enum, auto
from http import HTTPStatus
from typing import Any

import gevent
from gevent import socket
from gevent.pool import Pool

from hemlockswitch.connection.byte_counts import ByteCounts
from hemlockswitch.connection.caller_listener import CallerListener
from hemlockswitch.connection.descriptors import find_session_limit
from hemlockswitch.connection.faults import log_fault
from hemlockswitch.connection.heads import ReceivedRequest, encode_head
from hemlockswitch.connection.message_parsers import RequestParser
from hemlockswitch.connection.replies import CallerLeftError, Reply
from hemlockswitch.connection.sockets import ReadWaiter, set_liveness_options
from hemlockswitch.core.clock import MS_PER_SECOND, Clock
from hemlockswitch.core.errors import ErrorKind, RequestError
from hemlockswitch.core.events import Event
from hemlockswitch.core.logs import log_event
from hemlockswitch.version.serving_table import CallerLimits

READ_BYTES = 65_536
MAX_PIPELINED_BYTES = 65_536
"""Limit on bytes of later requests read while one is served; further bytes stay in the kernel."""
WRITE_TIMEOUT_MS = 5_000
"""A caller that reads nothing for this long is treated as disconnected."""
LINGER_MS = 500
"""How long to read after a refusal that closes the connection, so that no reset discards the
refusal."""
MIN_IDLE_MS = 100.0
"""How long a connection stays open while no other can be closed for a new one; its first request may be in transit."""

Handler = Callable[[ReceivedRequest, "Reply"], None]


class ReadPhase(Enum):
    """The part of the next request that is being received on a connection."""

    IDLE = auto()
    HEAD = auto()
    BODY = auto()


def _start_timer(phase: ReadPhase, bounds: CallerLimits) -> gevent.Timeout:
    """Start the timer that limits the duration of a phase."""
    limit_ms = bounds.head_timeout_ms if phase is ReadPhase.HEAD else bounds.idle_timeout_ms
    timer = gevent.Timeout(limit_ms / MS_PER_SECOND)
    timer.start()
    return timer


class CallerSession:
    """The serving of one caller's connection."""

    def __init__(self, server: "ForwardServer", connection: socket.socket) -> None:
        self._server = server
        self._connection = connection
        self._parser = RequestParser(server.get_sizes, server.clock.now_ms)
        self._early_bytes = b""
        self._waiter: ReadWaiter | None = None
        self._task: gevent.Greenlet | None = None
        self._is_shed = False  # whether the answer in progress announces the end of a connection that could stay
        self.is_waiting = False
        self.idle_since_ms = server.clock.now_ms()

    @property
    def is_idle(self) -> bool:
        """Whether no request is being read or served."""
        is_reading = bool(self._early_bytes) or not self._parser.is_idle
        return self.is_waiting and not is_reading and not self._has_unread()

    def _has_unread(self) -> bool:
        """Return whether bytes, or the end of the connection, have arrived and were not read."""
        try:
            self._connection._sock.recv(1, socket.MSG_PEEK)
        except OSError:
            return False
        return True

    def refuse(self) -> None:
        """Refuse the connection, because all others are in use."""
        try:
            self._connection.settimeout(WRITE_TIMEOUT_MS / MS_PER_SECOND)
            self._refuse(RequestError(ErrorKind.OVERLOADED, "all connections are in use"))
        except OSError as error:
            log_event(Event.REQUEST_UNREADABLE, "warning", kind="caller_gone", detail=str(error))
        finally:
            self._connection.close()

    def run(self) -> None:
        """Serve requests until either side closes."""
        self._task = gevent.getcurrent()
        self._server.sessions.add(self)
        try:
            set_liveness_options(self._connection)
            self._waiter = ReadWaiter(self._connection)
            self._connection.settimeout(WRITE_TIMEOUT_MS / MS_PER_SECOND)
            while self._serve_next():
                pass
            if self._is_shed and self._has_unread():
                self._linger()
        except (OSError, CallerLeftError):
            pass  # The caller disconnected; the handler has logged the request in progress.
        finally:
            self._server.sessions.discard(self)
            if self._waiter is not None:
                self._waiter.close()
            self._connection.close()

    def close_if_idle(self) -> None:
        """Close the connection unless a request is being read or served."""
        if self.is_idle and self._task is not None:
            self._server.sessions.discard(self)
            self._task.kill(CallerLeftError("closed while idle"), block=False)

    def _serve_next(self) -> bool:
        """Serve one request; return whether the connection stays open."""
        try:
            request = self._read_request()
        except RequestError as error:
            self._refuse(error)
            return False
        except (OSError, CallerLeftError):
            raise
        except Exception as fault:  # noqa: BLE001 - the caller must get an answer
            log_fault("", fault)
            self._refuse(RequestError(ErrorKind.INTERNAL, "an internal error of this process"))
            return False
        if request is None:
            return False
        return self._serve(request)

    def _serve(self, request: ReceivedRequest) -> bool:
        assert self._waiter is not None
        server = self._server
        reply = Reply(self._connection, request, server.is_closing, server.counts, self._shed)
        self._waiter.start(self._read_early)
        self._server.active += 1
        try:
            self._server.handler(request, reply)
        except CallerLeftError:
            return False
        finally:
            self._server.active -= 1
            self._waiter.stop()
        return reply.ended and not reply.closes and not self._should_close()

    def _shed(self) -> bool:
        """Return whether to end the connection with the answer that begins, because the process is overloaded.

        The connection stays open if a further request has arrived on it, which would get no answer.
        """
        has_further = self._early_bytes or self._parser.complete or not self._parser.is_idle
        if not self._server.sheds() or has_further or self._has_unread():
            return False
        self._is_shed = True
        self._server.shed += 1
        return True

    def _should_close(self) -> bool:
        """Return whether to close after an answer that did not announce the close.

        The head of the answer was sent before the process began to stop; a further request on the
        connection would be interrupted.
        """
        return self._server.is_closing and not self._early_bytes

    def _read_request(self) -> ReceivedRequest | None:
        """Return the next complete request, or None if the connection ended between requests.

        The time limit applies to each phase as a whole; receiving single bytes does not extend it.
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
                self._send_continue()
        except gevent.Timeout as expired:
            if expired is not timer:
                raise
            if self._parser.is_idle:
                return None
            raise RequestError(
                ErrorKind.CALLER_TOO_SLOW, "the request was not received within its time limit"
            ) from None
        finally:
            timer.close()
        return self._parser.complete.popleft()

    def _find_phase(self) -> ReadPhase:
        if self._parser.in_body:
            return ReadPhase.BODY
        return ReadPhase.IDLE if self._parser.is_idle else ReadPhase.HEAD

    def _send_continue(self) -> None:
        """Answer ``Expect: 100-continue`` once the head is complete."""
        if self._parser.wants_continue and self._parser.in_body:
            self._parser.wants_continue = False
            self._connection.sendall(b"HTTP/1.1 100 Continue\r\n\r\n")

    def _receive(self) -> bytes:
        if self._early_bytes:
            early, self._early_bytes = self._early_bytes, b""
            return early
        assert self._waiter is not None
        self.is_waiting = True
        self.idle_since_ms = self._server.clock.now_ms()
        try:
            self._waiter.wait()
        finally:
            self.is_waiting = False
        data = self._connection.recv(READ_BYTES)
        self._server.counts.received += len(data)
        return data

    def _read_early(self) -> None:
        """Read early bytes while a request is served; the end of the connection aborts the request.

        After an announced end of the connection they are left unread, since they will not be served.
        """
        assert self._waiter is not None
        flags = socket.MSG_PEEK if self._is_shed else 0
        try:
            data = self._connection._sock.recv(READ_BYTES, flags)
        except BlockingIOError:
            return
        except OSError:
            data = b""
        if data and self._is_shed:
            self._waiter.stop()
            return
        if data:
            self._server.counts.received += len(data)
            self._early_bytes += data
            if len(self._early_bytes) > MAX_PIPELINED_BYTES:
                self._waiter.stop()
            return
        self._waiter.stop()
        if self._task is not None:
            self._task.kill(CallerLeftError("the caller closed its connection"), block=False)

    def _refuse(self, error: RequestError) -> None:
        """Answer a malformed request and close the connection."""
        log_event(Event.REQUEST_UNREADABLE, "warning", kind=error.kind.value, detail=error.detail)
        phrase = HTTPStatus(error.answer.status).phrase
        headers = [("Content-Length", "0"), ("Connection", "close")]
        if error.answer.retry_after_ms:
            seconds = math.ceil(error.answer.retry_after_ms / MS_PER_SECOND)
            headers.append(("Retry-After", str(seconds)))
        self._connection.sendall(encode_head(f"HTTP/1.1 {error.answer.status} {phrase}", headers))
        self._linger()

    def _linger(self) -> None:
        """Read what the caller still sends for a while, so that no reset discards the answer."""
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
    get_bounds : returns the active limits.
    clock : the clock for the reception times of requests.

    max_connections : how many connections may be open at a time; further ones wait in the kernel, or are
        closed unread if too many do (`CallerListener`). None for no limit. While so many requests are in progress, new connections are refused.

    `active` is the number of requests that are being served.

    Attributes
    ==========

    sheds : returns whether to close connections after their next answer, because the process is overloaded.
    shed : number of connections that were closed for that reason.
    counts : the bytes exchanged with callers.
    """

    def __init__(
        self,
        address: tuple[str, int],
        handler: Handler,
        get_bounds: Callable[[], CallerLimits],
        clock: Clock,
        max_connections: int | None = None,
    ) -> None:
        self.handler = handler
        self.get_bounds = get_bounds
        self.clock = clock
        self.sessions: set[CallerSession] = set()
        self.active = 0
        self.sheds: Callable[[], bool] = lambda: False
        self.shed = 0
        self.counts = ByteCounts()
        self.is_closing = False
        self._max_sessions = find_session_limit(max_connections)
        spawn = "default" if max_connections is None else Pool(max_connections)
        self._server = CallerListener(address, self._accept, clock, spawn)

    def start(self) -> str:
        """Start to listen; return the bound address."""
        self._server.start()
        host, port = self._server.address[:2]
        return f"{host}:{port}"

    @property
    def closed_unread(self) -> int:
        """The number of connections that were closed before anything was read from them."""
        return self._server.closed_unread

    def get_sizes(self) -> tuple[int, int]:
        """Return the maximum sizes of head and body in bytes."""
        bounds = self.get_bounds()
        return bounds.max_head_bytes, bounds.max_body_bytes

    def begin_closing(self) -> None:
        """Close each connection after its next answer; new connections are still accepted."""
        self.is_closing = True

    def stop_accepting(self) -> None:
        """Stop listening and close the idle connections."""
        self._server.close()
        self.close_idle()

    def close_idle(self) -> None:
        """Close the connections on which no request is in progress."""
        for session in list(self.sessions):
            session.close_if_idle()

    def _accept(self, connection: socket.socket, _address: Any) -> None:
        session = CallerSession(self, connection)
        if self._make_room():
            session.run()
        else:
            session.refuse()

    def _make_room(self) -> bool:
        """Close the connection that has been idle for longest if there are too many; False if all are in use."""
        while len(self.sessions) >= self._max_sessions:
            idle = [session for session in self.sessions if session.is_idle]
            if not idle:
                return False
            longest = min(idle, key=lambda session: session.idle_since_ms)
            wait_ms = longest.idle_since_ms + MIN_IDLE_MS - self.clock.now_ms()
            if wait_ms <= 0:
                longest.close_if_idle()
                return True
            self.clock.sleep_ms(wait_ms)
        return True
