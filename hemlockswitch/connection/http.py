"""An HTTP client that sends each request at most once."""

from typing import Any

from geventhttpclient import HTTPClient
from geventhttpclient.response import HTTPSocketPoolResponse


class NotSentError(Exception):
    """The request did not leave: no connection could be made."""


class SingleSendClient(HTTPClient):
    """A pooled client whose `request` never sends a request twice.

    Explanation
    ===========

    The library's own `request` sends GET, PUT and DELETE again, on a new connection, when the
    connection closes before an answer. A conditional PUT that took effect would then be refused
    by its own first copy, and a plain service's PUT could run twice. Repeating is the caller's
    decision here.

    `request` raises `NotSentError` when the request certainly did not leave; any other
    exception leaves open whether it ran.
    """

    def request(
        self, method: str, request_uri: str, body: Any = b"", headers: Any = None
    ) -> HTTPSocketPoolResponse:
        """Send one request of bytes on a pooled connection and read the answer's head."""
        head = self._build_request(method, request_uri, body=body, headers=headers)
        pool = self._connection_pool
        try:
            connection = pool.get_socket()
        except OSError as error:
            raise NotSentError(str(error)) from error
        try:
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
