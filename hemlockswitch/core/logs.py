"""Structured logging: one JSON object per line, each with an event number."""

import logging
import sys
from collections.abc import Callable, Mapping
from typing import Any

from hemlockswitch.core.events import Event

LEVELS = {
    "debug": logging.DEBUG,
    "info": logging.INFO,
    "warning": logging.WARNING,
    "error": logging.ERROR,
}

LogWriter = Callable[[Event, str, Mapping[str, object]], None]
"""A function that writes one event with its level and its fields."""


def configure_logs(process_name: str, level: str = "info", output: Any = None) -> None:
    """Send the process's log lines to standard error, or to `output`, as JSON.

    Parameters
    ==========

    process_name : the ``process`` field of each line.
    level : ``debug``, ``info`` or ``warning``.
    output : a text file; a `BoundedOutput` where logging must never block.
    """
    import structlog

    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.JSONRenderer(),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(LEVELS[level]),
        logger_factory=structlog.WriteLoggerFactory(file=output or sys.stderr),
    )
    _process.name = process_name
    set_log_writer(_write_by_structlog)


def set_log_writer(writer: LogWriter) -> None:
    """Send all subsequent events to `writer`."""
    _process.write = writer


def _write_by_structlog(event: Event, level: str, fields: Mapping[str, object]) -> None:
    # Imported here because the import takes longer than everything else that a gateway does before
    # its first request.
    import structlog

    logger = structlog.get_logger()
    getattr(logger, level)(event.label, number=event.number, process=_process.name, **fields)


class _Process:
    """The log writer and the name of this process."""

    name = ""
    write: LogWriter = staticmethod(_write_by_structlog)


_process = _Process()


def log_event(event: Event, level: str = "info", **fields: object) -> None:
    """Write one numbered event with its fields.

    Parameters
    ==========

    event : the event; gives the line its number and its label.
    level : ``debug``, ``info``, ``warning`` or ``error``.
    fields : values that JSON can represent; never a secret.
    """
    _process.write(event, level, fields)
