"""What happened to one forwarded request so far, and who hears of it."""

from dataclasses import dataclass, field
from typing import Protocol

from hemlockswitch.connection.heads import ReceivedRequest
from hemlockswitch.request.clearance import Clearance
from hemlockswitch.request.dialect import RequestFacts
from hemlockswitch.request.forward_admission import AdmittedRequest
from hemlockswitch.request.send_states import SendFailure, SendState
from hemlockswitch.request.unreached import UnreachedServers


@dataclass
class Progress:
    """What happened to one request so far; kept for its log line.

    Parameters
    ==========

    sends : the servers that it was sent to.
    target : the server that was chosen last, also if no connection to it could be made.
    list_age_ms : how old the knowledge of servers was by which the last one was chosen.
    begun_version : the version of the server that began to answer; empty before.
    ended_with_connection : whether the end of the connection was the only sign of the answer's end.
    clearance : how it may be sent, as decided before the last send.
    unreached : servers that refused a connection or did not answer one.
    """

    request: ReceivedRequest
    unreached: UnreachedServers
    facts: RequestFacts | None = None
    admitted: AdmittedRequest | None = None
    state: SendState = SendState.NOT_RUN
    sends: list[str] = field(default_factory=list)
    excluded: list[str] = field(default_factory=list)
    in_flight: bool = False
    target: str = ""
    clearance: Clearance = Clearance.FREE
    ended_with_connection: bool = False
    expected_ms: float = 0.0
    list_age_ms: float = 0.0
    began_ms: float | None = None
    last_event_id: str = ""
    begun_version: str = ""
    outcome: str = ""
    status: int = 0
    detail: str = ""


class ForwardObserver(Protocol):
    """Hears what became of requests, for logs, metrics and usage counts."""

    def attempt_failed(self, progress: Progress, failure: SendFailure, detail: str) -> None:
        """One send failed."""

    def request_began(self, progress: Progress) -> None:
        """A backend server has begun to answer."""

    def request_ended(self, progress: Progress) -> None:
        """The request is over."""
