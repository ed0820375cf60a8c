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
    PEER_REFUSED = (501, "peer_refused")
    PEER_MESSAGE_UNKNOWN = (502, "peer_message_unknown")
    PEER_HANDLER_FAILED = (503, "peer_handler_failed")
    MEMBER_CHANGED = (504, "member_changed")
    MEMBERSHIP_JOINED = (505, "membership_joined")
    MEMBERSHIP_ISOLATED = (506, "membership_isolated")
    MEMBERSHIP_REFUTED = (507, "membership_refuted")
    ZONE_SUSPECTED = (508, "zone_suspected")
    NEWS_TOO_LARGE = (509, "news_too_large")
    MEMBER_INVALID = (510, "member_invalid")
    MEMBER_NAME_TAKEN = (511, "member_name_taken")

    def __init__(self, number: int, label: str) -> None:
        self.number = number
        self.label = label
