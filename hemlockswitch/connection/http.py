"""An HTTP client that sends each request at most once."""

from typing import Any

import gevent.socket
from geventhttpclient import HTTPClient
from geventhttpclient.response import HTTPSocketPoolResponse

from hemlockswitch.connection.sockets import reset_on_close, set_liveness_options


class NotSentError(Exception):
    """The request was not sent because no connection could be opened."""


class SingleSendClient(HTTPClient):
    """A pooled client that never sends a request twice.

    Explanation
    ===========

    The library's own `request` resends GET, PUT and DELETE on a new connection when the connection
    closes before an answer. A conditional PUT that took effect would then conflict with itself, and
    a PUT to a service could run twice. Here the calling code decides whether to repeat a request.

    `open` and `exchange` are the two steps of `request`: a request that failed in `open` was
    certainly not sent; one that failed in `exchange` may have run.
    """

    def open(self) -> gevent.socket.socket:
        """Return a pooled or new connection that detects an unresponsive peer.

        Raises
        ======

        NotSentError : no connection could be opened.
        """
        try:
            connection = self._connection_pool.get_socket()
            set_liveness_options(connection)
            # The library closes the connection on its own when no answer is received.
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
        """Send one request on a pooled connection and read the head of its answer."""
        return self.exchange(self.open(), method, request_uri, body, headers)
