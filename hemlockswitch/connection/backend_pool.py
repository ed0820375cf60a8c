"""Kept connections to backend servers, one exchange at a time on each."""

import select
from collections import defaultdict, deque
from collections.abc import Callable
from dataclasses import dataclass

from gevent import socket

from hemlockswitch.connection.exchange_errors import ExchangeError, Stage
from hemlockswitch.connection.heads import find_header
from hemlockswitch.connection.message_parsers import AnswerParser, ParsedAnswer
from hemlockswitch.connection.sockets import abort, connect
from hemlockswitch.core.clock import MS_PER_SECOND, Clock

READ_BYTES = 65_536
KEEPALIVE_MARGIN_MS = 1_000.0
"""A connection is left unused this long before the server would close it, so that a request does
not cross the close; servers state whole seconds."""
UNSTATED_IDLE_MS = 4_000.0
"""How long to keep an idle connection of a server that states no time; below the 5 s that is the
shortest common default."""
MOST_IDLE_CONNECTIONS = 32
"""Idle connections kept to one server: far below a server's cap on connections, which all daemons
share."""

IsOwn = Callable[[ParsedAnswer], bool]


@dataclass
class _IdleConnection:
    """A connection that waits for its next exchange."""

    connection: socket.socket
    since_ms: float
    until_ms: float


class PooledExchange:
    """One request and its answer on a connection that may be kept afterwards.

    Parameters
    ==========

    is_own : tells this request's answer from one of another request.
    is_new : whether the connection was made for this exchange.
    """

    def __init__(
        self,
        connection: socket.socket,
        address: str,
        method: str,
        is_own: IsOwn,
        is_new: bool = True,
    ) -> None:
        self.address = address
        self.is_new = is_new
        self._connection = connection
        self._is_own = is_own
        self._parser = AnswerParser(method)
        self._answer: ParsedAnswer | None = None

    @property
    def answer(self) -> ParsedAnswer:
        """This request's answer; only after `read_head`."""
        assert self._answer is not None
        return self._answer

    @property
    def is_reusable(self) -> bool:
        """Whether the connection can take another exchange: all was read and nothing is left."""
        answer = self._answer
        return (
            answer is not None
            and answer.done
            and answer.keep_alive
            and not answer.ends_with_connection
            and not self._parser.is_spoiled
            and not self._parser.answers
        )

    def send(self, data: bytes) -> None:
        """Send the whole request.

        Raises
        ======

        ExchangeError : part of it may have arrived.
        """
        try:
            self._connection.sendall(data)
        except OSError as error:
            raise _describe_failure(Stage.DURING_SEND, error) from error

    def read_head(self) -> ParsedAnswer:
        """Wait for the head of this request's answer, dropping answers of other requests.

        Raises
        ======

        ExchangeError : the connection ended first, or what came is not HTTP.
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

        ExchangeError : the answer broke off.
        """
        answer = self.answer
        while not answer.pieces:
            if answer.done:
                return b""
            self._receive(Stage.DURING_ANSWER)
        return answer.take_body()

    def read_body(self, most_bytes: int) -> bytes:
        """Return the whole body.

        Raises
        ======

        ExchangeError : the answer broke off or is over `most_bytes`.
        """
        pieces: list[bytes] = []
        size_bytes = 0
        while piece := self.read_piece():
            pieces.append(piece)
            size_bytes += len(piece)
            if size_bytes > most_bytes:
                raise ExchangeError(Stage.DURING_ANSWER, f"an answer over {most_bytes} bytes")
        return b"".join(pieces)

    def get_keep_alive_ms(self) -> float:
        """Return how long the connection may stay idle, from the answer's ``Keep-Alive``."""
        value = find_header(self.answer.headers, "keep-alive")
        for part in value.split(","):
            name, _, seconds = part.strip().partition("=")
            if name.lower() == "timeout" and seconds.isdigit():
                return int(seconds) * MS_PER_SECOND - KEEPALIVE_MARGIN_MS
        return UNSTATED_IDLE_MS

    def close(self) -> None:
        """Close the connection; a server that still works on the request notices it.

        A request whose answer is not complete is reset, so that it does not arrive later.
        """
        if self._answer is not None and self._answer.done:
            self._connection.close()
        else:
            abort(self._connection)

    def detach(self) -> socket.socket:
        """Give the connection to whoever keeps it for the next exchange."""
        return self._connection

    def _receive(self, stage: Stage) -> None:
        try:
            data = self._connection.recv(READ_BYTES)
        except OSError as error:
            raise _describe_failure(stage, error) from error
        if not data:
            self._parser.end()
            if self._answer is not None and self._answer.done:
                return
            if self._answer is None and any(one.done for one in self._parser.answers):
                return
            raise ExchangeError(stage, "closed before the end of the answer", was_closed=True)
        try:
            self._parser.feed(data)
        except ValueError as error:
            raise ExchangeError(stage, str(error)) from error


def _describe_failure(stage: Stage, error: OSError) -> ExchangeError:
    """Return the failure of a connection; one that timed out was not closed by the other side."""
    return ExchangeError(stage, str(error), was_closed=isinstance(error, ConnectionError))


class BackendPool:
    """The idle connections of a process to all backend servers.

    Parameters
    ==========

    clock : the time.
    on_connect : called with the address for each new connection.
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
        most_idle_ms: float,
        timeout_ms: float,
    ) -> PooledExchange:
        """Return an exchange on a connection that was idle for at most `most_idle_ms`, or new.

        Raises
        ======

        ExchangeError : no connection could be made; nothing was sent.
        """
        kept = self._take_idle(address, most_idle_ms)
        if kept is not None:
            return PooledExchange(kept, address, method, is_own, is_new=False)
        connection = self._connect(address, timeout_ms)
        return PooledExchange(connection, address, method, is_own)

    def warm(self, address: str, timeout_ms: float) -> None:
        """Make a connection and keep it for a later exchange.

        Raises
        ======

        ExchangeError : no connection could be made.
        """
        connection = self._connect(address, timeout_ms)
        now_ms = self._clock.now_ms()
        self._idle[address].append(_IdleConnection(connection, now_ms, now_ms + UNSTATED_IDLE_MS))

    def _connect(self, address: str, timeout_ms: float) -> socket.socket:
        try:
            connection = connect(address, timeout_ms)
        except OSError as error:
            raise ExchangeError(Stage.BEFORE_SEND, str(error)) from error
        self._on_connect(address)
        return connection

    def finish(self, exchange: PooledExchange) -> None:
        """Keep the connection of an exchange if it can be used again, or close it."""
        keep_ms = exchange.get_keep_alive_ms() if exchange.is_reusable else 0.0
        idle = self._idle[exchange.address]
        if keep_ms <= 0 or len(idle) >= MOST_IDLE_CONNECTIONS:
            exchange.close()
            return
        now_ms = self._clock.now_ms()
        idle.append(_IdleConnection(exchange.detach(), now_ms, now_ms + keep_ms))

    def forget(self, address: str) -> None:
        """Close the idle connections to a server that is leaving or gone."""
        for kept in self._idle.pop(address, ()):
            kept.connection.close()

    def sweep(self) -> None:
        """Close the connections that have been idle for too long."""
        now_ms = self._clock.now_ms()
        for address in list(self._idle):
            idle = self._idle[address]
            while idle and idle[0].until_ms <= now_ms:
                idle.popleft().connection.close()
            if not idle:
                del self._idle[address]

    def _take_idle(self, address: str, most_idle_ms: float) -> socket.socket | None:
        idle = self._idle.get(address)
        now_ms = self._clock.now_ms()
        while idle:
            kept = idle.pop()
            usable = now_ms - kept.since_ms <= most_idle_ms and now_ms < kept.until_ms
            if usable and not _is_readable(kept.connection):
                return kept.connection
            kept.connection.close()
        return None


def _is_readable(connection: socket.socket) -> bool:
    """Return whether an idle connection was closed by the server or brought bytes unasked."""
    readable, _, _ = select.select([connection.fileno()], [], [], 0)
    return bool(readable)
