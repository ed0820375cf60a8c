"""The numbered log events. docs/reference/events.md is the catalogue; a test compares them.

Each area owns a hundred: 1xx process, 2xx requests, 3xx routing and backend servers,
4xx claims, 5xx membership and news, 6xx configuration, 7xx limits and handover, 8xx control,
9xx stand-ins and load.
"""

from enum import Enum


class Event(Enum):
    """A log event: its number and its short name."""

    PROCESS_READY = (101, "process_ready")
    PROCESS_STOPPING = (102, "process_stopping")
    PROCESS_STOPPED = (103, "process_stopped")
    TASK_FAILED = (104, "task_failed")
    SPAN_ENDED = (201, "span_ended")
    BACKEND_LEAVING = (301, "backend_leaving")
    BACKEND_FAILED = (302, "backend_failed")
    BACKEND_RECORD_INVALID = (303, "backend_record_invalid")
    WATCH_FAILED = (304, "watch_failed")
    WATCH_RECOVERED = (305, "watch_recovered")
    FACTS_STALE = (306, "facts_stale")
    FACTS_REFRESHED = (307, "facts_refreshed")
    ZONE_SILENT = (308, "zone_silent")
    ZONE_HEARD = (309, "zone_heard")
    CLAIM_WRITE_FAILED = (401, "claim_write_failed")
    CLAIM_OUTCOME_DROPPED = (402, "claim_outcome_dropped")
    CLAIM_OUTCOME_UNKNOWN = (403, "claim_outcome_unknown")
    CLAIM_PARTITION_FULL = (404, "claim_partition_full")
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
    REVISION_IN_FORCE = (601, "revision_in_force")
    OLDER_REVISION_REFUSED = (602, "older_revision_refused")
    REVISION_DIGEST_DIFFERS = (603, "revision_digest_differs")
    REVISION_UNUSABLE = (604, "revision_unusable")
    ZONE_STATUS_FAILED = (606, "zone_status_failed")
    SHARES_EXPIRED = (701, "shares_expired")
    SHARES_GRANTED = (702, "shares_granted")
    ENTRY_LEAVING = (711, "entry_leaving")
    HANDOVER_ENDED = (712, "handover_ended")
    GENERATION_RESUMED = (713, "generation_resumed")
    LEASE_TAKEN = (801, "lease_taken")
    LEASE_LOST = (802, "lease_lost")
    LEASE_LAPSED = (803, "lease_lapsed")
    LEASE_RELEASED = (804, "lease_released")
    LEASE_READ_BACK = (805, "lease_read_back")
    LEASE_NOT_WRITTEN = (806, "lease_not_written")
    LEASE_UNREACHABLE = (807, "lease_unreachable")
    ORDER_DONE = (811, "order_done")
    ORDER_STALE = (812, "order_stale")
    ORDER_FAILED = (813, "order_failed")
    ORDER_WITHHELD = (814, "order_withheld")
    COPY_WANTED = (821, "copy_wanted")
    COPY_STARTED = (822, "copy_started")
    COPY_REFUSED = (823, "copy_refused")
    COPY_STOPPING = (824, "copy_stopping")
    COPY_GONE = (825, "copy_gone")
    COPY_START_UNKNOWN = (826, "copy_start_unknown")
    CONTROL_PASS_FAILED = (827, "control_pass_failed")
    DAEMONS_SILENT = (828, "daemons_silent")

    def __init__(self, number: int, label: str) -> None:
        self.number = number
        self.label = label
