"""Log lines without a logging library, for processes that must start fast.

The lines have the format and fields of those that `configure_logs` sets up. Importing structlog
takes about as long as importing all of the gateway's own modules; docs/explanation/start.md has
the figures.
"""

import reprlib
from collections.abc import Mapping
from datetime import UTC, datetime
from typing import Protocol

import msgspec

from hemlockswitch.core.events import Event
from hemlockswitch.core.logs import LEVELS

MAX_SHOWN_CHARACTERS = 1_000
"""Maximum length of a field that JSON cannot represent."""


class TextOutput(Protocol):
    """Destination of log lines."""

    def write(self, text: str) -> int:
        """Write `text`."""


class LineWriter:
    """A `LogWriter` that writes each event as one line of JSON.

    Parameters
    ==========

    process_name : the ``process`` field of each line.
    level : the lowest level that is written: ``debug``, ``info`` or ``warning``.
    output : a text file; a `BoundedOutput` where logging must never block.

    Examples
    ========

    >>> import io
    >>> output = io.StringIO()
    >>> write = LineWriter("gateway-1", "info", output)
    >>> write(Event.PROCESS_READY, "debug", {})
    >>> write(Event.PROCESS_READY, "info", {"addresses": ["127.0.0.1:80"]})
    >>> line = msgspec.json.decode(output.getvalue())
    >>> line["event"], line["process"], line["addresses"]
    ('process_ready', 'gateway-1', ['127.0.0.1:80'])
    """

    def __init__(self, process_name: str, level: str, output: TextOutput) -> None:
        self._process_name = process_name
        self._min_level = LEVELS[level]
        self._output = output
        # Values that JSON cannot represent are written as their `repr`, so the line is not lost.
        self._encoder = msgspec.json.Encoder(enc_hook=repr)

    def __call__(self, event: Event, level: str, fields: Mapping[str, object]) -> None:
        """Write one event."""
        if LEVELS[level] < self._min_level:
            return
        line = {
            "number": event.number,
            "process": self._process_name,
            **fields,
            "event": event.label,
            "level": level,
            "timestamp": datetime.now(UTC).isoformat().replace("+00:00", "Z"),
        }
        self._output.write(self._encode(line) + "\n")

    def _encode(self, line: dict[str, object]) -> str:
        try:
            return self._encoder.encode(line).decode()
        except (ValueError, RecursionError):
            encodable = {name: self._make_encodable(value) for name, value in line.items()}
            return self._encoder.encode(encodable).decode()

    def _make_encodable(self, value: object) -> object:
        """Return a field, shortened if JSON cannot represent it: a lone surrogate, deep nesting."""
        try:
            self._encoder.encode(value)
        except (ValueError, RecursionError):
            shown = reprlib.repr(value).encode("ascii", "backslashreplace").decode()
            return shown[:MAX_SHOWN_CHARACTERS]
        return value
