"""The numbered log events. docs/reference/events.md is the catalogue; a test compares them.

Each area owns a hundred: 1xx process, 2xx requests, 3xx routing and backend servers,
4xx claims, 5xx membership and news, 6xx configuration, 7xx limits, 8xx control,
9xx stand-ins and load.
"""

from enum import Enum


class Event(Enum):
    """A log event: its number and its short name."""

    PROCESS_READY = (101, "process_ready")
    PROCESS_STOPPING = (102, "process_stopping")
    PROCESS_STOPPED = (103, "process_stopped")
    TASK_FAILED = (104, "task_failed")
    SHARES_EXPIRED = (701, "shares_expired")
    SHARES_GRANTED = (702, "shares_granted")

    def __init__(self, number: int, label: str) -> None:
        self.number = number
        self.label = label
