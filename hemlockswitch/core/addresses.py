"""Addresses of processes: an IPv4 address and a TCP port, written ``ip:port``."""

import re

ADDRESS_PATTERN = r"^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$"
_MAX_BYTE = 255
_MAX_PORT = 65_535


def split_address(address: str) -> tuple[str, int]:
    """Return the host and the port of an ``ip:port`` address.

    Examples
    ========

    >>> split_address("127.0.0.1:8080")
    ('127.0.0.1', 8080)
    """
    host, _, port = address.rpartition(":")
    return host, int(port)


def is_address(text: str) -> bool:
    """Return whether `text` is an ``ip:port`` address that can be connected to.

    Examples
    ========

    >>> [is_address(text) for text in ("10.0.0.1:80", "10.0.0.1:99999", "10.0.0.256:80", "x:80")]
    [True, False, False, False]
    """
    if re.fullmatch(ADDRESS_PATTERN, text, re.ASCII) is None:
        return False
    host, port = split_address(text)
    return all(int(byte) <= _MAX_BYTE for byte in host.split(".")) and 0 < port <= _MAX_PORT
