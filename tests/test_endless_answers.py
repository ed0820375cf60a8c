"""Backend servers that send bytes without end, in place of an answer or inside one.

Guards against a gateway that collects such bytes until the caller's deadline passes: its memory grows with the speed of
the server's link, and the caller learns of the failure last.
"""

import gevent
import pytest
from gevent import socket
from gevent.server import StreamServer

from hemlockswitch.standin.runner import make_seal
from tests.gateway_site import Site, make_entry, tokens

PIECE = b"x" * 65_536
MAX_SENT_BYTES = 64 * 1024 * 1024
"""The server stops here; a gateway that closes the connection has taken far less by then."""
MAX_TAKEN_BYTES = 24 * 1024 * 1024
"""The largest answer that a gateway accepts, and the buffers of both sockets."""

HEAD = (
    "HTTP/1.1 200 OK\r\nHemlockswitch-Request-Id: {id}\r\nHemlockswitch-Response-Seal: {seal}\r\n"
)
STARTS = {
    "no http": "",
    "reason": "HTTP/1.1 200 ",
    "field name": HEAD,
    "field value": HEAD + "Note: ",
    "answer to another request": HEAD.replace("{id}", "another")
    + "Content-Length: 99999999999\r\n\r\n",
    "body": HEAD + "\r\n",
    "event": HEAD + "Content-Type: text/event-stream\r\n\r\ndata: ",
}


class EndlessServer:
    """A server that answers each request with the start of an answer and bytes without end."""

    def __init__(self, site, service, start):
        self.name = "endless"
        self.service = service
        self.sent_bytes = 0
        self.asked = 0
        self.was_closed = False
        self._start = start
        self._server = StreamServer(("127.0.0.1", 0), self._serve)
        self._server.start()
        address = f"127.0.0.1:{self._server.server_port}"
        site.store.put("servers", self.name, make_entry(service, address))
        site.wait(lambda: all(site._knows(one, self) for one in site.gateways))

    def _serve(self, connection, _):
        data = b""
        while b"\r\n\r\n" not in data:
            piece = connection.recv(65_536)
            if not piece:
                return
            data += piece
        self.asked += 1
        request_id = next(
            line.split(": ")[1]
            for line in data.decode("latin-1").split("\r\n")
            if line.lower().startswith("hemlockswitch-request-id")
        )
        try:
            start = self._start.format(id=request_id, seal=make_seal(request_id))
            connection.sendall(start.encode())
            while self.sent_bytes < MAX_SENT_BYTES:
                connection.sendall(PIECE)
                self.sent_bytes += len(PIECE)
            gevent.sleep(10)
        except (OSError, socket.timeout):
            self.was_closed = True

    def close(self):
        """Stop the server."""
        self._server.stop(timeout=0)


@pytest.fixture
def site():
    one = Site(gateways=1)
    yield one
    one.close()


@pytest.mark.parametrize("start", [name for name in STARTS if name != "event"])
def test_caller_is_answered_and_the_connection_is_closed(site, start):
    server = EndlessServer(site, "app", STARTS[start])
    try:
        reply = site.ask("/hold/x")
        assert (reply.status, reply.is_whole) == (502, True)
        site.wait(lambda: server.was_closed)
        assert server.sent_bytes <= MAX_TAKEN_BYTES
    finally:
        server.close()


def test_stream_that_began_with_an_endless_event_goes_on_at_another_server(site):
    site.add_runner("llm")
    server = EndlessServer(site, "llm", STARTS["event"])
    try:
        replies = []
        while not server.asked:
            replies.append(site.ask("/reply/x", **tokens(4, parts=f"{len(replies) + 1:x}:100")))
        assert {(one.status, one.is_whole) for one in replies} == {(200, True)}
        site.wait(lambda: server.was_closed)
        assert server.sent_bytes <= MAX_TAKEN_BYTES
    finally:
        server.close()
