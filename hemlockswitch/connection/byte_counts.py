"""Bytes that this process has sent and received."""

from dataclasses import dataclass


@dataclass
class ByteCounts:
    """Numbers of bytes sent and received, counted by whoever calls the socket."""

    sent: int = 0
    received: int = 0
