"""Logs: one JSON object a line, each with an event number."""

import logging
import sys
from typing import Any

import structlog

from hemlockswitch.core.events import Event

_LEVELS = {"debug": logging.DEBUG, "info": logging.INFO, "warning": logging.WARNING}


def configure_logs(process_name: str, level: str = "info", output: Any = None) -> None:
    """Send the process's log lines to standard error, or to `output`, as JSON.

    Parameters
    ==========

    process_name : the ``process`` field of each line.
    level : ``debug``, ``info`` or ``warning``.
    output : a text file; a `BoundedOutput` where logging must never block.
    """
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.JSONRenderer(),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(_LEVELS[level]),
        logger_factory=structlog.WriteLoggerFactory(file=output or sys.stderr),
    )
    _process.name = process_name


class _Process:
    """The name under which this process logs."""

    name = ""


_process = _Process()


def log_event(event: Event, level: str = "info", **fields: object) -> None:
    """Write one numbered event with its fields.

    Parameters
    ==========

    event : a member of the catalogue.
    level : ``debug``, ``info``, ``warning`` or ``error``.
    fields : JSON-ready values; never a secret.
    """
    logger = structlog.get_logger()
    getattr(logger, level)(event.label, number=event.number, process=_process.name, **fields)
