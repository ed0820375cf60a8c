"""HTTP exchanges with backend servers, each on its own connection.

Explanation
===========

The client of geventhttpclient resends a request on its own when a pooled connection turns out to be
closed. A non-idempotent call must not be sent twice, so each exchange opens its own connection and
uses the library only to encode the request and to parse the answer.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field
from http import HTTPStatus

import gevent
from gevent import socket
from gevent.hub import Waiter
from geventhttpclient.response import HTTPParseError

from hemlockswitch.connection.exchange_errors import ExchangeError, Stage
from hemlockswitch.connection.http_parts import AnswerParser, RequestBuilder
from hemlockswitch.core.addresses import split_address
from hemlockswitch.core.clock import MS_PER_SECOND
from hemlockswitch.core.errors import ErrorKind, RequestError

READ_EVENT = 1
READ_BYTES = 65_536
PRIORITY_READS = 2
CONNECT_TIMEOUT_MS = 1_000
SEND_TIMEOUT_MS = 5_000
BODILESS_STATUSES = frozenset({HTTPStatus.NO_CONTENT, HTTPStatus.NOT_MODIFIED})
MAX_ANSWER_BYTES = 16 * 1024 * 1024


class ExchangeTimeoutError(ExchangeError):
    """An exchange that did not complete within its time-out."""


@dataclass(frozen=True)
class BackendCall:
    """One request to send to a backend server."""

    method: str
    path: str
    body: bytes = b""
    headers: Mapping[str, str] = field(default_factory=dict)


@dataclass(frozen=True)
class BackendAnswer:
    """A complete answer of a backend server."""

    status: int
    headers: Mapping[str, str]
    body: bytes


class BackendExchange:
    """One request and its answer on one connection.

    Explanation
    ===========

    All reads wait on one watcher and have no time-out of their own; the code that limits the
    duration of the exchange calls `interrupt`, which raises in the reading task. The first reads
    have a higher priority than later reads of other exchanges, so that a first token does not wait
    behind the tokens of other streams.
    """

    def __init__(self, connection: socket.socket, parser: AnswerParser) -> None:
        self._connection = connection
        self._parser = parser
        self._hub = gevent.get_hub()
        self._watcher = self._hub.loop.io(
            connection.fileno(), READ_EVENT, priority=self._hub.loop.MAXPRI
        )
        self._wake: Waiter[None] = Waiter(self._hub)
        self._waiting = False
        self._interruption: BaseException | None = None
        self.reads = 0

    @classmethod
    def open(
        cls, address: str, call: BackendCall, connect_timeout_ms: int = CONNECT_TIMEOUT_MS
    ) -> "BackendExchange":
        """Connect and send `call` without waiting for the answer.

        Raises
        ======

        ExchangeError : with the stage `BEFORE_SEND` or `DURING_SEND`.
        RequestError : the call's headers or path are invalid; this is not the server's fault.
        """
        host, port = split_address(address)
        request = cls._build(host, port, call)
        connection = cls._connect(host, port, connect_timeout_ms)
        try:
            connection.settimeout(SEND_TIMEOUT_MS / MS_PER_SECOND)
            connection.sendall(request)
        except BaseException as error:
            connection.close()
            if isinstance(error, OSError):
                raise ExchangeError(Stage.DURING_SEND, str(error)) from error
            raise
        connection.settimeout(0.0)
        return cls(connection, AnswerParser(call.method))

    @staticmethod
    def _build(host: str, port: int, call: BackendCall) -> bytes:
        try:
            return RequestBuilder(host, port).build(call.method, call.path, call.body, call.headers)
        except (ValueError, UnicodeEncodeError) as error:
            raise RequestError(
                ErrorKind.BAD_REQUEST, f"the request cannot be forwarded: {error}"
            ) from error

    @staticmethod
    def _connect(host: str, port: int, timeout_ms: int) -> socket.socket:
        """Connect to an IP; `create_connection` would use the resolver's threads even for an IP."""
        connection = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        connection.settimeout(timeout_ms / MS_PER_SECOND)
        try:
            connection.connect((host, port))
        except BaseException as error:
            connection.close()
            if isinstance(error, OSError):
                raise ExchangeError(Stage.BEFORE_SEND, str(error)) from error
            raise
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return connection

    @property
    def status(self) -> int:
        """The HTTP status; only after `read_head`."""
        return self._parser.get_code()

    @property
    def headers(self) -> dict[str, str]:
        """The answer's headers with lower-case names; only after `read_head`."""
        return {name.lower(): value for name, value in self._parser.items()}

    def read_head(self) -> int:
        """Wait for the head of the answer and return its status."""
        while not self._parser.begun:
            if not self._receive():
                raise ExchangeError(
                    Stage.AFTER_SEND, "the server closed the connection before an answer"
                )
        self._check_length()
        return self.status

    def _check_length(self) -> None:
        """Reject an answer whose end could not be distinguished from a lost connection."""
        is_framed = "content-length" in self._parser or "transfer-encoding" in self._parser
        if not is_framed and self.status not in BODILESS_STATUSES:
            raise ExchangeError(Stage.DURING_ANSWER, "the answer does not state its length")

    def read(self) -> bytes:
        """Return the next piece of the body, or ``b""`` when the answer is complete.

        Raises
        ======

        ExchangeError : the connection ended before the end of the answer.
        """
        while True:
            if self._parser.pieces:
                return self._parser.take_body()
            if self._parser.message_complete:
                return b""
            if not self._receive() and not self._parser.message_complete:
                raise ExchangeError(
                    Stage.DURING_ANSWER,
                    "the server closed the connection before the end of the answer",
                )

    def read_complete(self) -> BackendAnswer:
        """Read the complete answer, of at most `MAX_ANSWER_BYTES`."""
        self.read_head()
        pieces = []
        size_bytes = 0
        while piece := self.read():
            size_bytes += len(piece)
            if size_bytes > MAX_ANSWER_BYTES:
                raise ExchangeError(Stage.DURING_ANSWER, "the answer exceeds the size limit")
            pieces.append(piece)
        return BackendAnswer(self.status, self.headers, b"".join(pieces))

    @property
    def is_waiting(self) -> bool:
        """Whether a task is waiting for bytes."""
        return self._waiting

    def interrupt(self, error: BaseException) -> None:
        """Raise `error` in the reading task, immediately or at its next read."""
        self._interruption = error
        if self._waiting:
            self._hub.loop.run_callback(self._wake.switch, None)

    def close(self) -> None:
        """Close the socket."""
        self._watcher.stop()
        self._watcher.close()
        self._connection.close()

    def _receive(self) -> bool:
        """Wait for bytes and parse them; return False at the end of the connection."""
        self._wait_readable()
        try:
            data = self._connection.recv(READ_BYTES)
        except BlockingIOError:
            return True
        except OSError as error:
            raise ExchangeError(self._stage, str(error)) from error
        self.reads += 1
        if self.reads == PRIORITY_READS:
            self._watcher.priority = 0
        try:
            self._parser.feed(data)
        except HTTPParseError as error:
            detail = f"the answer is not HTTP: {error}" if data else "the connection was closed"
            raise ExchangeError(self._stage, detail) from error
        return bool(data)

    @property
    def _stage(self) -> Stage:
        return Stage.DURING_ANSWER if self._parser.begun else Stage.AFTER_SEND

    def _wait_readable(self) -> None:
        self._raise_interruption()
        self._wake.clear()
        self._waiting = True
        self._watcher.start(self._wake.switch, None)
        try:
            self._wake.get()
        finally:
            self._waiting = False
            self._watcher.stop()
        self._raise_interruption()

    def _raise_interruption(self) -> None:
        if self._interruption is not None:
            error, self._interruption = self._interruption, None
            raise error


class BackendClient:
    """Complete exchanges with backend servers, with a time-out."""

    def call(self, address: str, call: BackendCall, timeout_ms: float) -> BackendAnswer:
        """Send `call` and return the complete answer.

        Raises
        ======

        ExchangeError : with the stage reached; also when `timeout_ms` has expired.
        """
        stage = Stage.BEFORE_SEND
        timeout = gevent.Timeout(timeout_ms / MS_PER_SECOND)
        timeout.start()
        exchange: BackendExchange | None = None
        try:
            exchange = self.open(address, call)
            stage = Stage.AFTER_SEND
            exchange.read_head()
            stage = Stage.DURING_ANSWER
            return exchange.read_complete()
        except gevent.Timeout as expired:
            if expired is not timeout:
                raise
            raise ExchangeTimeoutError(self._correct(stage), "time-out") from expired
        finally:
            timeout.close()
            if exchange is not None:
                exchange.close()

    def open(self, address: str, call: BackendCall) -> BackendExchange:
        """Connect and send `call`; the answer is read from the returned exchange."""
        return BackendExchange.open(address, call)

    @staticmethod
    def _correct(stage: Stage) -> Stage:
        """Return the stage to assume for a time-out while connecting or sending."""
        return Stage.DURING_SEND if stage is Stage.BEFORE_SEND else stage
