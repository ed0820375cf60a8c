"""Access to the request builder and the answer parser of geventhttpclient."""

from collections.abc import Mapping
from http import HTTPStatus

from geventhttpclient.client import HTTPClient
from geventhttpclient.response import HTTPResponse


class RequestBuilder(HTTPClient):
    """The library's request builder, which rejects header injection."""

    def build(self, method: str, path: str, body: bytes, headers: Mapping[str, str]) -> bytes:
        """Encode a request that closes its connection after the answer.

        Raises
        ======

        ValueError : the method, the path or a header is invalid.
        """
        framed = {**headers, "Connection": "close", "Content-Length": str(len(body))}
        head = self._build_request(method, path, body or None, framed)
        return head.encode("latin-1") + body


class AnswerParser(HTTPResponse):
    """The library's parser, with incremental access to the body."""

    def __init__(self, method: str) -> None:
        super().__init__(method=method)
        self.pieces: list[bytearray] = []
        self._on_body = self.pieces.append  # type: ignore[assignment]

    @property
    def begun(self) -> bool:
        """Whether the head of the final answer is complete."""
        return self.headers_complete and self.get_code() >= HTTPStatus.OK

    def take_body(self) -> bytes:
        """Remove and return the body parsed since the last call."""
        if len(self.pieces) == 1:
            return bytes(self.pieces.pop())
        body = b"".join(self.pieces)
        self.pieces.clear()
        return body
