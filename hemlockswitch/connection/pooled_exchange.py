"""One request and its answer on a pooled connection to a backend server."""

from collections.abc import Callable
from typing import TypeAlias

from gevent import socket

from hemlockswitch.connection.answer_budget import AnswerBudget
from hemlockswitch.connection.byte_counts import ByteCounts
from hemlockswitch.connection.exchange_errors import ExchangeError, Stage
from hemlockswitch.connection.heads import find_header
from hemlockswitch.connection.message_parsers import AnswerParser, ParsedAnswer
from hemlockswitch.connection.process_spans import ProcessSpan
from hemlockswitch.connection.sockets import abort, receive, send_all
from hemlockswitch.connection.tunnels import TunnelConnection
from hemlockswitch.core.clock import MS_PER_SECOND

READ_BYTES = 16_384
"""Each connection may hold this much that no reservation covers."""
MAX_FRAMING_FACTOR = 2
MAX_FRAMING_BYTES = 4 * 1024 * 1024
"""A complete answer may be received with `MAX_FRAMING_FACTOR` times its size and these bytes at most: chunks of a byte
take six times their size, and the processor's time."""
MAX_BYTES_BEFORE_HEAD = 1024 * 1024
"""Maximum number of bytes received before the head of the answer is complete, with what belongs to other
requests: a faulty server may send bytes without end."""
KEEPALIVE_MARGIN_MS = 1_000.0
"""An idle connection is dropped this long before the server would close it, so that no request is
sent while the server is closing; servers state the time in whole seconds."""
DEFAULT_IDLE_MS = 4_000.0
"""Idle time for servers that state none; below 5 s, the shortest common default of servers."""

IsOwn = Callable[[ParsedAnswer], bool]
Connection: TypeAlias = socket.socket | TunnelConnection


class PooledExchange:
    """One request and its answer on a connection that may be reused afterwards.

    Parameters
    ==========

    is_own : returns whether an answer belongs to this request.
    is_new : whether the connection was opened for this exchange.
    counts : to which the exchanged bytes are added.
    process : since when the process that the connection leads to has been running.
    budget : bounds the memory of all answers.
    """

    def __init__(
        self,
        connection: Connection,
        address: str,
        method: str,
        is_own: IsOwn,
        is_new: bool = True,
        counts: ByteCounts | None = None,
        process: ProcessSpan | None = None,
        budget: AnswerBudget | None = None,
    ) -> None:
        self._share = (budget or AnswerBudget()).open_share()
        self._received_bytes = 0
        self.address = address
        self.process = process or ProcessSpan()
        self.has_seen_close = False
        self.is_new = is_new
        self.pieces_received = 0
        self.connection = connection
        self._is_own = is_own
        self._counts = counts if counts is not None else ByteCounts()
        self._parser = AnswerParser(method)
        self._answer: ParsedAnswer | None = None
        self._bytes_before_head = 0

    @property
    def gateway(self) -> str:
        """The gateway that the connection leads through; empty if it is direct."""
        return get_gateway(self.connection)

    @property
    def answer(self) -> ParsedAnswer:
        """This request's answer; only after `read_head`."""
        assert self._answer is not None
        return self._answer

    @property
    def was_open(self) -> bool:
        """Whether the connection was open until its last use here, so that the server was running then."""
        return self.has_seen_close or (self._answer is not None and self._answer.done)

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
        self._counts.sent += len(data)
        try:
            if isinstance(self.connection, TunnelConnection):
                self.connection.sendall(data)
            else:
                send_all(self.connection, data)
        except OSError as error:
            raise _describe_failure(Stage.DURING_SEND, error) from error

    def read_head(self) -> ParsedAnswer:
        """Wait for the head of this request's answer, dropping answers to other requests.

        Raises
        ======

        ExchangeError : the connection ended first, or the received bytes are not HTTP or too many.
        """
        while self._answer is None:
            self._drop_mismatched()
            if self._answer is None:
                self._bytes_before_head += self._receive(Stage.AFTER_SEND)
                if self._bytes_before_head > MAX_BYTES_BEFORE_HEAD:
                    detail = f"no head of an answer within {MAX_BYTES_BEFORE_HEAD} bytes"
                    raise ExchangeError(Stage.AFTER_SEND, detail)
        return self._answer

    def _drop_mismatched(self) -> None:
        while self._parser.answers:
            first = self._parser.answers[0]
            if self._is_own(first):
                self._answer = self._parser.answers.popleft()
                return
            if not first.done:
                first.pieces.clear()
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
        length = find_header(self.answer.headers, "content-length")
        if self.answer.has_body and length.isdigit():
            if int(length) > max_bytes:
                raise _describe_excess(max_bytes)
            self._share.hold(int(length))
        pieces: list[bytes] = []
        size_bytes = 0
        while piece := self.read_piece():
            pieces.append(piece)
            size_bytes += len(piece)
            if size_bytes > max_bytes:
                raise _describe_excess(max_bytes)
            if self._received_bytes > MAX_FRAMING_FACTOR * size_bytes + MAX_FRAMING_BYTES:
                detail = f"the chunks of {size_bytes} bytes take {self._received_bytes} bytes"
                raise ExchangeError(Stage.DURING_ANSWER, detail)
            if not length:
                self._share.hold(size_bytes)
        return b"".join(pieces)

    def hold(self, size_bytes: int) -> None:
        """State how much of the answer is held back; wait while all answers hold too much together."""
        self._share.hold(size_bytes)

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
        self._share.close()
        self._parser.release()
        if self._answer is not None and self._answer.done:
            self.connection.close()
        else:
            abort(self.connection)

    def detach(self) -> Connection:
        """Return the connection, for reuse by a later exchange."""
        self._share.close()
        self._parser.release()
        return self.connection

    def _receive(self, stage: Stage) -> int:
        """Receive and parse bytes; return their number."""
        try:
            data = self._receive_bytes()
        except OSError as error:
            self.has_seen_close = isinstance(error, ConnectionError)
            raise _describe_failure(stage, error) from error
        self.pieces_received += 1
        self._counts.received += len(data)
        self._received_bytes += len(data)
        if not data:
            self.has_seen_close = True
            self._parser.end()
            if self._answer is not None and self._answer.done:
                return 0
            if self._answer is None and any(one.done for one in self._parser.answers):
                return 0
            raise ExchangeError(
                stage,
                "the server closed the connection before the end of the answer",
                was_closed=True,
            )
        try:
            self._parser.feed(data)
        except ValueError as error:
            raise ExchangeError(stage, str(error)) from error
        return len(data)

    def _receive_bytes(self) -> bytes:
        if isinstance(self.connection, TunnelConnection):
            return self.connection.recv(READ_BYTES)
        return receive(self.connection, READ_BYTES)


def _describe_excess(max_bytes: int) -> ExchangeError:
    return ExchangeError(Stage.DURING_ANSWER, f"the answer exceeds {max_bytes} bytes")


def _describe_failure(stage: Stage, error: OSError) -> ExchangeError:
    """Convert a socket error; a connection that timed out was not closed by the server."""
    return ExchangeError(stage, str(error), was_closed=isinstance(error, ConnectionError))


def get_gateway(connection: Connection) -> str:
    """Return the gateway that a connection leads through; empty if it is direct."""
    return connection.gateway if isinstance(connection, TunnelConnection) else ""
