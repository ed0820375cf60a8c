"""An HTTP client that sends each request at most once."""

from typing import Any

import gevent.socket
from geventhttpclient import HTTPClient
from geventhttpclient.response import HTTPSocketPoolResponse

from hemlockswitch.connection.sockets import reset_on_close, set_liveness_options


class NotSentError(Exception):
    """The request did not leave: no connection could be made."""


class SingleSendClient(HTTPClient):
    """A pooled client that never sends a request twice.

    Explanation
    ===========

    The library's own `request` sends GET, PUT and DELETE again, on a new connection, when the
    connection closes before an answer. A conditional PUT that took effect would then be refused
    by its own first copy, and a plain service's PUT could run twice. Repeating is the caller's
    decision here.

    `open` and `exchange` are the two halves of `request`: what fails in `open` certainly did not
    leave; what fails in `exchange` may have run.
    """

    def open(self) -> gevent.socket.socket:
        """Take a connection from the pool or make one; a peer that falls silent is noticed.

        Raises
        ======

        NotSentError : no connection could be made.
        """
        try:
            connection = self._connection_pool.get_socket()
            set_liveness_options(connection)
            # The library closes a connection by itself when an answer does not come.
            reset_on_close(connection)
        except (OSError, RuntimeError) as error:
            raise NotSentError(str(error)) from error
        return connection

    def exchange(
        self,
        connection: gevent.socket.socket,
        method: str,
        request_uri: str,
        body: bytes = b"",
        headers: Any = None,
    ) -> HTTPSocketPoolResponse:
        """Send one request on `connection` and read the head of its answer."""
        pool = self._connection_pool
        try:
            head = self._build_request(method, request_uri, body=body, headers=headers)
            connection.sendall(head.encode("latin-1") + body)
        except BaseException:
            pool.release_socket(connection)
            raise
        return HTTPSocketPoolResponse(
            connection,
            pool,
            block_size=self.block_size,
            method=method,
            headers_type=self.headers_type,
        )

    def request(
        self, method: str, request_uri: str, body: Any = b"", headers: Any = None
    ) -> HTTPSocketPoolResponse:
        """Send one request of bytes on a pooled connection and read the head of its answer."""
        return self.exchange(self.open(), method, request_uri, body, headers)
