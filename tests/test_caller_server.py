"""Guards against a delay of answers on reused connections by 40 ms.

Without TCP_NODELAY the kernel delays the body after the head until the caller's delayed
acknowledgement.
"""

import socket

from hemlockswitch.connection.caller_server import CONNECTION_KEY, CallerServer


def test_accepted_connections_send_small_writes_without_delay():
    options = []

    def application(environ, start_response):
        connection = environ[CONNECTION_KEY]._connection
        options.append(connection.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY))
        start_response("200 OK", [])
        return [b"whole"]

    server = CallerServer(("127.0.0.1", 0), application, caller_timeout_ms=1_000)
    server.start()
    with socket.create_connection(server.address, 5) as caller:
        caller.sendall(b"GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
        assert caller.recv(64).startswith(b"HTTP/1.1 200")
    server.stop()
    assert options and all(options)
