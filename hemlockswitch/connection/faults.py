"""Faults of this program in the handling of a request: exceptions that no code expects."""

import traceback

from hemlockswitch.core.events import Event
from hemlockswitch.core.logs import log_event


def log_fault(request_id: str, fault: Exception) -> None:
    """Log an unexpected exception with the request that it ended; the identifier is empty if it was not read."""
    trace = "".join(traceback.format_exception(fault))
    log_event(
        Event.REQUEST_FAULT, "error", request_id=request_id, error=repr(fault), traceback=trace
    )
