"""Raw socket calls, for callers that violate HTTP or do not read."""

import contextlib
import http.client
import json
import socket
from typing import Any

from features.support.calls import Reply

TIMEOUT_S = 20
SMALL_BUFFER_BYTES = 4_096
READ_BYTES = 65_536


def connect(address: str, receive_bytes: int = 0) -> socket.socket:
    """Return a connection; a small receive buffer makes an unread answer block its sender."""
    host, port = address.rsplit(":", 1)
    connection = socket.socket()
    if receive_bytes:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_bytes)
    connection.settimeout(TIMEOUT_S)
    connection.connect((host, int(port)))
    return connection


def make_head(path: str, headers: dict[str, str], method: str = "POST") -> bytes:
    """Return the head of a request, without validation."""
    fields = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
    return f"{method} {path} HTTP/1.1\r\nHost: test\r\n{fields}\r\n".encode()


def send_most(connection: socket.socket, content: bytes) -> None:
    """Send as much of `content` as the peer reads before it closes the connection."""
    with contextlib.suppress(OSError):
        connection.sendall(content)


def read_reply(connection: socket.socket) -> Reply | None:
    """Return the answer, or None if the connection was closed without a complete one."""
    answer = http.client.HTTPResponse(connection)
    try:
        answer.begin()
        headers = {name.lower(): value for name, value in answer.getheaders()}
        return Reply(answer.status, headers, answer.read())
    except (OSError, http.client.HTTPException):
        return None


def exchange_raw(address: str, content: bytes) -> Reply | None:
    """Send raw bytes and return the answer."""
    with contextlib.closing(connect(address)) as connection:
        send_most(connection, content)
        return read_reply(connection)


def is_closed(connection: socket.socket) -> bool:
    """Return whether the peer has closed the connection; discards received data."""
    connection.settimeout(0.05)
    try:
        while connection.recv(READ_BYTES):
            pass
    except TimeoutError:
        return False
    except OSError:
        return True
    return True


def make_chunks(size_bytes: int, chunk_bytes: int = READ_BYTES) -> bytes:
    """Return a body of `size_bytes` in chunked encoding."""
    chunk = f"{chunk_bytes:x}\r\n".encode() + b"x" * chunk_bytes + b"\r\n"
    return chunk * (size_bytes // chunk_bytes) + b"0\r\n\r\n"


def encode(body: Any) -> bytes:
    """Return the JSON bytes of a body."""
    return json.dumps(body).encode()
