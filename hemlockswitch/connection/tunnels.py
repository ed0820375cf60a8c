"""Tunnels: connections to a backend server that lead through another gateway.

A gateway that cannot connect to a server opens a stream to another gateway, which connects to the server
and passes bytes in both directions. It neither reads nor decides anything: the request is admitted, counted
and sent by the gateway that received it. A gateway serves a tunnel only with a connection of its own, so a
tunnel never leads through two gateways.

The answer's bytes are framed, and the end of the server's connection has a frame of its own: the end of the
stream alone may mean that the gateway in between was killed, and must not complete an answer that ends with
its connection.
"""

import contextlib
import struct
from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum

import gevent
from gevent import socket

from hemlockswitch.connection.frames import Frame, FrameDecoder, FrameKind
from hemlockswitch.connection.messages import decode_message, encode_message, register_message
from hemlockswitch.connection.sockets import (
    abort,
    connect,
    receive,
    send_all,
    set_liveness_options,
)
from hemlockswitch.core.clock import MS_PER_SECOND, Clock
from hemlockswitch.core.errors import ErrorKind, PeerError

PIECE_BYTES = 65_536
PIECE_HEADER = struct.Struct(">I")
"""Length of the piece that follows; 0 if the server has closed its connection."""
END_PIECE = PIECE_HEADER.pack(0)
DRAIN_TIMEOUT_S = 5.0


class TunnelVerdict(StrEnum):
    """The reply to a request for a tunnel."""

    OPEN = "open"
    SERVER_UNREACHABLE = "server_unreachable"
    UNKNOWN_SERVER = "unknown_server"
    ISOLATED = "isolated"
    LEAVING = "leaving"
    FULL = "full"
    SERVER_RESTS = "server_rests"


@register_message("tunnel_request")
@dataclass(frozen=True)
class TunnelRequest:
    """The request for a tunnel, which is the first message on its stream.

    Parameters
    ==========

    cluster : name of the cluster, which must be the same at both ends.
    name, address : name and address of the requesting gateway.
    server : incarnation of the backend server.
    """

    cluster: str
    name: str
    address: str
    server: str


@register_message("tunnel_reply")
@dataclass(frozen=True)
class TunnelReply:
    """The reply to a `TunnelRequest`; after the verdict `OPEN` the stream carries the tunnel.

    Parameters
    ==========

    has_timed_out : whether the server did not answer at all.
    """

    verdict: str
    has_timed_out: bool = False


class TunnelConnection:
    """The requesting end of a tunnel; used like a connection to the server.

    Parameters
    ==========

    connection : the stream to the other gateway.
    gateway : the name of that gateway.
    on_close : called once when the tunnel is closed.
    """

    def __init__(
        self,
        connection: socket.socket,
        gateway: str,
        on_close: Callable[[], None] = lambda: None,
    ) -> None:
        self.gateway = gateway
        self._connection = connection
        self._on_close = on_close
        self._buffer = bytearray()
        self._is_closed = False

    @property
    def has_buffered(self) -> bool:
        """Whether bytes were received and not yet read."""
        return bool(self._buffer)

    def sendall(self, data: bytes) -> None:
        """Send bytes to the server."""
        send_all(self._connection, data)

    def recv(self, size_bytes: int) -> bytes:
        """Return bytes from the server, or ``b""`` if the server has closed its connection.

        Raises
        ======

        ConnectionResetError : the tunnel ended, but not because the server closed its connection.
        """
        while True:
            piece = self._take_piece()
            if piece is not None:
                return piece
            received = receive(self._connection, size_bytes)
            if not received:
                raise ConnectionResetError(f"the tunnel through {self.gateway} ended")
            self._buffer += received

    def fileno(self) -> int:
        """Return the descriptor of the stream."""
        return self._connection.fileno()

    def setsockopt(self, level: int, option: int, value: int | bytes) -> None:
        """Set an option of the stream."""
        self._connection.setsockopt(level, option, value)

    def close(self) -> None:
        """Close the tunnel; the other gateway then closes its connection to the server."""
        self._connection.close()
        if not self._is_closed:
            self._is_closed = True
            self._on_close()

    def _take_piece(self) -> bytes | None:
        """Return the bytes of the first piece that were received; None if there are none."""
        if len(self._buffer) < PIECE_HEADER.size:
            return None
        (length,) = PIECE_HEADER.unpack_from(self._buffer)
        if length == 0:
            return b""
        end = PIECE_HEADER.size + length
        if len(self._buffer) < end:
            return None
        piece = bytes(self._buffer[PIECE_HEADER.size : end])
        del self._buffer[:end]
        return piece


def open_tunnel(
    gateway_address: str, request: TunnelRequest, timeout_ms: float
) -> tuple[TunnelReply, socket.socket]:
    """Ask a gateway for a tunnel; return its reply, and the stream, which is closed unless the reply is `OPEN`.

    Raises
    ======

    PeerError : the gateway cannot be reached or did not reply in `timeout_ms`.
    """
    try:
        connection = connect(gateway_address, timeout_ms)
    except OSError as error:
        raise PeerError(ErrorKind.PEER_UNAVAILABLE, f"{gateway_address}: {error}") from error
    is_open = False
    try:
        with gevent.Timeout(timeout_ms / MS_PER_SECOND):
            frame = Frame(FrameKind.REQUEST, 0, encode_message(request))
            connection.sendall(frame.encode())
            reply = _read_reply(connection)
        is_open = reply.verdict == TunnelVerdict.OPEN
    except (OSError, gevent.Timeout) as error:
        detail = f"{gateway_address} did not reply to the request for a tunnel: {error}"
        raise PeerError(ErrorKind.PEER_UNAVAILABLE, detail) from error
    finally:
        if not is_open:
            connection.close()
    return reply, connection


def _read_reply(connection: socket.socket) -> TunnelReply:
    decoder = FrameDecoder()
    while True:
        received = connection.recv(PIECE_BYTES)
        if not received:
            raise ConnectionResetError("the stream ended before the reply")
        for frame in decoder.feed(received):
            message = decode_message(frame.body)
            if not isinstance(message, TunnelReply):
                raise PeerError(ErrorKind.PEER_UNAVAILABLE, "the reply is not that of a tunnel")
            return message


def send_reply(connection: socket.socket, reply: TunnelReply) -> None:
    """Send the reply to a request for a tunnel."""
    connection.sendall(Frame(FrameKind.REPLY, 0, encode_message(reply)).encode())


class Tunnel:
    """The serving end of a tunnel: passes bytes between a gateway and a backend server.

    Parameters
    ==========

    stream : the stream from the other gateway.
    server : the connection to the server.
    clock : the time.

    Attributes
    ==========

    bytes_up, bytes_down : bytes passed to the server and from it.
    """

    def __init__(self, stream: socket.socket, server: socket.socket, clock: Clock) -> None:
        self.opened_ms = clock.now_ms()
        self.bytes_up = 0
        self.bytes_down = 0
        self._stream = stream
        self._server = server

    def run(self) -> None:
        """Pass bytes until either side ends its connection, and end the other one likewise."""
        set_liveness_options(self._stream)
        down = gevent.spawn(self._pass_down)
        try:
            if not self._pass_up():
                # The server may have answered before it stopped reading.
                down.join(DRAIN_TIMEOUT_S)
        finally:
            down.kill()
            self._stream.close()
            abort(self._server)

    def _pass_up(self) -> bool:
        """Pass the request's bytes until the stream ends; return False if the server took no more."""
        while True:
            try:
                data = self._stream.recv(PIECE_BYTES)
            except OSError:
                return True
            if not data:
                return True
            try:
                self._server.sendall(data)
            except OSError:
                return False
            self.bytes_up += len(data)

    def _pass_down(self) -> None:
        """Pass the answer's bytes; an end that is not the server's own resets the stream."""
        try:
            while data := self._server.recv(PIECE_BYTES - PIECE_HEADER.size):
                self._stream.sendall(PIECE_HEADER.pack(len(data)) + data)
                self.bytes_down += len(data)
            self._stream.sendall(END_PIECE)
        except OSError:
            with contextlib.suppress(OSError):
                self._stream.shutdown(socket.SHUT_RDWR)
