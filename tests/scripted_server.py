"""Backend server that answers byte for byte as a test says, and ends its connections in different ways."""

from dataclasses import dataclass
from enum import Enum, auto

import gevent
from gevent import socket
from gevent.server import StreamServer

from hemlockswitch.connection.message_parsers import RequestParser
from hemlockswitch.connection.sockets import abort
from hemlockswitch.standin.runner import make_seal
from tests.gateway_site import make_entry

SIZES = (65_536, 1_000_000)


class End(Enum):
    """How a connection ends after the last byte of an answer."""

    CLOSE = auto()
    RESET = auto()
    DEATH = auto()  # The server stops listening and closes all its connections in good order.


@dataclass(frozen=True)
class Script:
    """An answer: the bytes of its body in the pieces that they are sent in, its end, and further headers."""

    pieces: tuple[bytes, ...]
    end: End = End.CLOSE
    headers: tuple[str, ...] = ()


class ScriptedServer:
    """A server whose answers have neither a length nor chunks.

    `choose` returns the script for a request. `runs` has the requests that ran here.
    """

    def __init__(self, site, name, service, choose, http="1.1", version="v1"):
        self.name = name
        self.service = service
        self.runs = []
        self._connections = set()
        self._site = site
        self._choose = choose
        self._http = http
        self._server = StreamServer(("127.0.0.1", 0), self._serve)
        self._server.start()
        self.address = f"127.0.0.1:{self._server.server_port}"
        entry = make_entry(service, self.address, version=version)
        site.store.put("servers", name, entry)
        site.wait(lambda: all(site._knows(one, self) for one in site.gateways))

    def _serve(self, connection, _):
        self._connections.add(connection)
        try:
            request = self._read(connection)
            if request is not None:
                self._answer(connection, request)
        finally:
            self._connections.discard(connection)

    def _answer(self, connection, request):
        self.runs.append(request)
        script = self._choose(request)
        connection.sendall(self._encode_head(request, script.headers))
        for piece in script.pieces:
            connection.sendall(piece)
            gevent.sleep(0.002)
        if script.end is End.RESET:
            abort(connection)
            return
        if script.end is End.DEATH:
            self._server.close()
            for other in self._connections - {connection}:
                other.shutdown(socket.SHUT_RDWR)
        connection.shutdown(socket.SHUT_RDWR)

    @staticmethod
    def _read(connection):
        parser = RequestParser(lambda: SIZES, lambda: 0.0)
        while not parser.complete:
            data = connection.recv(65_536)
            if not data:
                return None
            parser.feed(data)
        return parser.complete.popleft()

    def _encode_head(self, request, headers):
        request_id = request.get("hemlockswitch-request-id")
        lines = [
            f"HTTP/{self._http} 200 OK",
            f"Hemlockswitch-Request-Id: {request_id}",
            f"Hemlockswitch-Response-Seal: {make_seal(request_id)}",
        ]
        return "\r\n".join([*lines, *headers, "", ""]).encode()

    def close(self):
        """Stop the server."""
        self._server.stop(timeout=0)
