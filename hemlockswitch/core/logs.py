"""Logs: one JSON object a line, each with an event number."""

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
"""Writes one event with its level and its fields."""


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
    """Hand all events to `writer` from now on."""
    _process.write = writer


def _write_by_structlog(event: Event, level: str, fields: Mapping[str, object]) -> None:
    # Loading it takes longer than all else that a gateway needs before its first request.
    import structlog

    logger = structlog.get_logger()
    getattr(logger, level)(event.label, number=event.number, process=_process.name, **fields)


class _Process:
    """How this process logs, and under which name."""

    name = ""
    write: LogWriter = staticmethod(_write_by_structlog)


_process = _Process()


def log_event(event: Event, level: str = "info", **fields: object) -> None:
    """Write one numbered event with its fields.

    Parameters
    ==========

    event : a member of the catalogue.
    level : ``debug``, ``info``, ``warning`` or ``error``.
    fields : JSON-ready values; never a secret.
    """
    _process.write(event, level, fields)
