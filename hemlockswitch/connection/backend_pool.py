"""Pool of connections to backend servers, with one exchange at a time on each connection."""

import select
from collections import defaultdict, deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import TypeAlias

from gevent import socket

from hemlockswitch.connection.exchange_errors import ExchangeError, Stage
from hemlockswitch.connection.heads import find_header
from hemlockswitch.connection.message_parsers import AnswerParser, ParsedAnswer
from hemlockswitch.connection.sockets import abort, connect
from hemlockswitch.connection.tunnels import TunnelConnection
from hemlockswitch.core.clock import MS_PER_SECOND, Clock

READ_BYTES = 65_536
KEEPALIVE_MARGIN_MS = 1_000.0
"""An idle connection is dropped this long before the server would close it, so that no request is
sent while the server is closing; servers state the time in whole seconds."""
DEFAULT_IDLE_MS = 4_000.0
"""Idle time for servers that state none; below 5 s, the shortest common default of servers."""
MAX_IDLE_CONNECTIONS = 32
"""Limit for one server; far below the server's own limit on connections, which all daemons share."""

IsOwn = Callable[[ParsedAnswer], bool]
Connection: TypeAlias = socket.socket | TunnelConnection


@dataclass
class _IdleConnection:
    """A pooled connection without an exchange."""

    connection: Connection
    idle_since_ms: float
    expires_ms: float


class PooledExchange:
    """One request and its answer on a connection that may be reused afterwards.

    Parameters
    ==========

    is_own : returns whether an answer belongs to this request.
    is_new : whether the connection was opened for this exchange.
    """

    def __init__(
        self,
        connection: Connection,
        address: str,
        method: str,
        is_own: IsOwn,
        is_new: bool = True,
    ) -> None:
        self.address = address
        self.is_new = is_new
        self.pieces_received = 0
        self._connection = connection
        self._is_own = is_own
        self._parser = AnswerParser(method)
        self._answer: ParsedAnswer | None = None

    @property
    def gateway(self) -> str:
        """The gateway that the connection leads through; empty if it is direct."""
        return _get_gateway(self._connection)

    @property
    def answer(self) -> ParsedAnswer:
        """This request's answer; only after `read_head`."""
        assert self._answer is not None
        return self._answer

    @property
    def is_reusable(self) -> bool:
        """Whether another exchange can use the connection: the answer was read completely and no
        further bytes were received."""
        answer = self._answer
        return (
            answer is not None
            and answer.done
            and answer.keep_alive
            and not answer.ends_with_connection
            and not self._parser.must_close
            and not self._parser.answers
        )

    def send(self, data: bytes) -> None:
        """Send the complete request.

        Raises
        ======

        ExchangeError : sending failed; the server may have received part of the request.
        """
        try:
            self._connection.sendall(data)
        except OSError as error:
            raise _describe_failure(Stage.DURING_SEND, error) from error

    def read_head(self) -> ParsedAnswer:
        """Wait for the head of this request's answer, dropping answers to other requests.

        Raises
        ======

        ExchangeError : the connection ended first, or the received bytes are not HTTP.
        """
        while self._answer is None:
            self._drop_mismatched()
            if self._answer is None:
                self._receive(Stage.AFTER_SEND)
        return self._answer

    def _drop_mismatched(self) -> None:
        while self._parser.answers:
            first = self._parser.answers[0]
            if self._is_own(first):
                self._answer = self._parser.answers.popleft()
                return
            if not first.done:
                return
            self._parser.answers.popleft()

    def read_piece(self) -> bytes:
        """Return the next piece of the body, or ``b""`` when it is complete.

        Raises
        ======

        ExchangeError : the connection failed before the end of the answer.
        """
        answer = self.answer
        while not answer.pieces:
            if answer.done:
                return b""
            self._receive(Stage.DURING_ANSWER)
        return answer.take_body()

    def read_body(self, max_bytes: int) -> bytes:
        """Return the complete body.

        Raises
        ======

        ExchangeError : the connection failed before the end, or the body exceeds `max_bytes`.
        """
        pieces: list[bytes] = []
        size_bytes = 0
        while piece := self.read_piece():
            pieces.append(piece)
            size_bytes += len(piece)
            if size_bytes > max_bytes:
                raise ExchangeError(Stage.DURING_ANSWER, f"the answer exceeds {max_bytes} bytes")
        return b"".join(pieces)

    def get_keep_alive_ms(self) -> float:
        """Return how long the connection may stay idle according to the ``Keep-Alive`` header."""
        value = find_header(self.answer.headers, "keep-alive")
        for part in value.split(","):
            name, _, seconds = part.strip().partition("=")
            if name.lower() == "timeout" and seconds.isdigit():
                return int(seconds) * MS_PER_SECOND - KEEPALIVE_MARGIN_MS
        return DEFAULT_IDLE_MS

    def close(self) -> None:
        """Close the connection; a server that is still processing the request detects it.

        If the answer is incomplete the connection is reset, so that a delayed request is never
        delivered.
        """
        if self._answer is not None and self._answer.done:
            self._connection.close()
        else:
            abort(self._connection)

    def detach(self) -> Connection:
        """Return the connection, for reuse by a later exchange."""
        return self._connection

    def _receive(self, stage: Stage) -> None:
        try:
            data = self._connection.recv(READ_BYTES)
        except OSError as error:
            raise _describe_failure(stage, error) from error
        self.pieces_received += 1
        if not data:
            self._parser.end()
            if self._answer is not None and self._answer.done:
                return
            if self._answer is None and any(one.done for one in self._parser.answers):
                return
            raise ExchangeError(
                stage,
                "the server closed the connection before the end of the answer",
                was_closed=True,
            )
        try:
            self._parser.feed(data)
        except ValueError as error:
            raise ExchangeError(stage, str(error)) from error


def _describe_failure(stage: Stage, error: OSError) -> ExchangeError:
    """Convert a socket error; a connection that timed out was not closed by the server."""
    return ExchangeError(stage, str(error), was_closed=isinstance(error, ConnectionError))


class BackendPool:
    """The idle connections of a process to all backend servers.

    Parameters
    ==========

    clock : the clock that idle times are measured with.
    on_connect : called with the address of each new connection.
    """

    def __init__(self, clock: Clock, on_connect: Callable[[str], None] = lambda _: None) -> None:
        self._clock = clock
        self._on_connect = on_connect
        self._idle: dict[str, deque[_IdleConnection]] = defaultdict(deque)

    def open(
        self,
        address: str,
        method: str,
        is_own: IsOwn,
        *,
        max_idle_ms: float,
        timeout_ms: float,
    ) -> PooledExchange:
        """Return an exchange on a direct connection that was idle for at most `max_idle_ms`, or on a new one.

        Raises
        ======

        ExchangeError : no connection could be opened; nothing was sent.
        """
        pooled = self._take_idle(address, max_idle_ms, _is_direct)
        if pooled is not None:
            return PooledExchange(pooled, address, method, is_own, is_new=False)
        connection = self._connect(address, timeout_ms)
        return PooledExchange(connection, address, method, is_own)

    def open_detour(
        self,
        address: str,
        method: str,
        is_own: IsOwn,
        *,
        max_idle_ms: float,
        uses_direct: bool,
        connect_through: Callable[[], TunnelConnection | None],
    ) -> PooledExchange | None:
        """Return an exchange on an idle tunnel, or on a new one; None if no tunnel can be requested.

        Parameters
        ==========

        uses_direct : whether an idle direct connection may be used as well.
        connect_through : opens a tunnel.

        Raises
        ======

        ExchangeError : no tunnel could be opened; nothing was sent.
        """
        pooled = self._take_idle(
            address, max_idle_ms, _is_any if uses_direct else lambda one: not _is_direct(one)
        )
        if pooled is not None:
            return PooledExchange(pooled, address, method, is_own, is_new=False)
        tunnel = connect_through()
        return None if tunnel is None else PooledExchange(tunnel, address, method, is_own)

    def connect(self, address: str, timeout_ms: float) -> socket.socket:
        """Return a new direct connection, which does not belong to the pool.

        Raises
        ======

        ExchangeError : no connection could be opened.
        """
        return self._connect(address, timeout_ms)

    def preconnect(self, address: str, timeout_ms: float) -> None:
        """Open a connection and add it to the pool.

        Raises
        ======

        ExchangeError : no connection could be opened.
        """
        connection = self._connect(address, timeout_ms)
        now_ms = self._clock.now_ms()
        self._idle[address].append(_IdleConnection(connection, now_ms, now_ms + DEFAULT_IDLE_MS))

    def _connect(self, address: str, timeout_ms: float) -> socket.socket:
        try:
            connection = connect(address, timeout_ms)
        except OSError as error:
            raise ExchangeError(Stage.BEFORE_SEND, str(error)) from error
        self._on_connect(address)
        return connection

    def finish(self, exchange: PooledExchange) -> None:
        """Return the exchange's connection to the pool if it is reusable, or else close it."""
        keep_ms = exchange.get_keep_alive_ms() if exchange.is_reusable else 0.0
        idle = self._idle[exchange.address]
        if keep_ms <= 0 or len(idle) >= MAX_IDLE_CONNECTIONS:
            exchange.close()
            return
        now_ms = self._clock.now_ms()
        idle.append(_IdleConnection(exchange.detach(), now_ms, now_ms + keep_ms))

    def close_idle(self, address: str) -> None:
        """Close the idle connections to a server that is leaving or was removed."""
        for pooled in self._idle.pop(address, ()):
            pooled.connection.close()

    def close_idle_where(self, applies: Callable[[Connection], bool]) -> None:
        """Close the idle connections for which `applies` returns true."""
        for address, idle in list(self._idle.items()):
            for pooled in [one for one in idle if applies(one.connection)]:
                idle.remove(pooled)
                pooled.connection.close()
            if not idle:
                del self._idle[address]

    def close_idle_direct(self, address: str | None = None) -> None:
        """Close the idle direct connections to a server, or to all servers if `address` is None."""
        if address is None:
            self.close_idle_where(_is_direct)
            return
        idle = self._idle.get(address, deque())
        for pooled in [one for one in idle if _is_direct(one.connection)]:
            idle.remove(pooled)
            pooled.connection.close()

    def close_idle_tunnels(self, gateway: str) -> None:
        """Close the idle tunnels through a gateway."""
        self.close_idle_where(lambda connection: _get_gateway(connection) == gateway)

    def sweep(self) -> None:
        """Close the connections whose idle time has expired."""
        now_ms = self._clock.now_ms()
        for address in list(self._idle):
            idle = self._idle[address]
            while idle and idle[0].expires_ms <= now_ms:
                idle.popleft().connection.close()
            if not idle:
                del self._idle[address]

    def _take_idle(
        self, address: str, max_idle_ms: float, applies: Callable[[Connection], bool]
    ) -> Connection | None:
        idle = self._idle.get(address)
        now_ms = self._clock.now_ms()
        while idle:
            if applies(idle[-1].connection):
                pooled = idle.pop()
            else:
                found = next((one for one in reversed(idle) if applies(one.connection)), None)
                if found is None:
                    return None
                idle.remove(found)
                pooled = found
            usable = now_ms - pooled.idle_since_ms <= max_idle_ms and now_ms < pooled.expires_ms
            if usable and not _is_readable(pooled.connection):
                return pooled.connection
            pooled.connection.close()
        return None


def _get_gateway(connection: Connection) -> str:
    return connection.gateway if isinstance(connection, TunnelConnection) else ""


def _is_direct(connection: Connection) -> bool:
    return not isinstance(connection, TunnelConnection)


def _is_any(_: Connection) -> bool:
    return True


def _is_readable(connection: Connection) -> bool:
    """Return whether the server closed an idle connection or sent unrequested bytes on it."""
    if isinstance(connection, TunnelConnection) and connection.has_buffered:
        return True
    poll = select.poll()  # `select.select` fails for descriptors above 1,023.
    poll.register(connection.fileno(), select.POLLIN)
    return bool(poll.poll(0))
