"""Heads of forwarded HTTP messages, and the selection of the header fields to forward."""

from collections.abc import Iterable
from dataclasses import dataclass

Header = tuple[str, str]

HOP_BY_HOP = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
"""Fields that concern one connection only (RFC 9110, section 7.6.1)."""

FRAMING = frozenset({"content-length", "expect"})
"""Fields that are set anew when the message is forwarded."""


@dataclass(frozen=True)
class ReceivedRequest:
    """One complete request as it was received.

    Parameters
    ==========

    target : path and query, undecoded.
    headers : in the order received, names in their original case.
    has_body : whether the request declared a body, possibly an empty one.
    received_ms : time at which the head was complete.
    http_version : for example ``1.1``.
    """

    method: str
    target: str
    headers: tuple[Header, ...]
    body: bytes = b""
    has_body: bool = False
    keep_alive: bool = True
    received_ms: float = 0.0
    http_version: str = "1.1"

    @property
    def allows_chunks(self) -> bool:
        """Whether the answer may be chunked (RFC 9112, section 6.1)."""
        return self.http_version != "1.0"

    def get(self, name: str, default: str = "") -> str:
        """Return the first value of the header `name`, which must be in lower case."""
        return find_header(self.headers, name, default)

    @property
    def path(self) -> str:
        """The target without its query."""
        return self.target.partition("?")[0]


def find_header(headers: Iterable[Header], name: str, default: str = "") -> str:
    """Return the first value of the header `name`, which must be in lower case.

    Examples
    ========

    >>> find_header((("Host", "a.example"),), "host")
    'a.example'
    """
    return next((value for key, value in headers if key.lower() == name), default)


def select_end_to_end(headers: Iterable[Header]) -> list[Header]:
    """Return the headers to forward, without the hop-by-hop and framing headers.

    Examples
    ========

    >>> select_end_to_end((("Connection", "close, X-Own"), ("X-Own", "1"), ("Accept", "*/*")))
    [('Accept', '*/*')]
    """
    received = list(headers)
    named = _list_connection_options(received)
    dropped = HOP_BY_HOP | FRAMING | named
    return [(name, value) for name, value in received if name.lower() not in dropped]


def _list_connection_options(headers: list[Header]) -> set[str]:
    """Return the header names that ``Connection`` declares as hop-by-hop."""
    values = (value for name, value in headers if name.lower() == "connection")
    options = (option.strip().lower() for value in values for option in value.split(","))
    return {option for option in options if option not in ("close", "keep-alive", "host")}


def encode_head(start_line: str, headers: Iterable[Header]) -> bytes:
    """Encode a message head, including the empty line at its end."""
    lines = [start_line, *(f"{name}: {value}" for name, value in headers), "", ""]
    return "\r\n".join(lines).encode("latin-1")
