"""Progress of a forwarded request, and the observer interface that is notified of it."""

from dataclasses import dataclass, field
from typing import Protocol

from hemlockswitch.connection.heads import ReceivedRequest
from hemlockswitch.connection.process_spans import ProcessSpan
from hemlockswitch.request.clearance import Clearance
from hemlockswitch.request.dialect import RequestFacts
from hemlockswitch.request.forward_admission import AdmittedRequest
from hemlockswitch.request.send_states import SendFailure, SendState
from hemlockswitch.request.unreached_servers import UnreachedServers


@dataclass
class Progress:
    """Progress of one request; its log line is written from it.

    Parameters
    ==========

    sends : incarnations of the servers that the request was sent to.
    send_versions : software versions of these servers.
    since_ms : since when the process that the last connection led to has been running at least.
    process : what is known of the process that the last connection led to.
    excluded : incarnations of the servers on which an attempt failed.
    in_flight : whether an attempt is in progress.
    through : for each send, the gateway that its connection led through; empty if it was direct.
    target : name of the server chosen last, even if no connection to it could be made.
    dispatched : what the dispatcher of a plain service decided, and from what; empty if none was asked.
    list_age_ms : age of the list of servers from which the last one was chosen.
    began_ms : clock time at which the reply to the caller began.
    begun_version : version of the server that began the answer, or the stream that it continues; None before.
    answer_end : what marked the end of the relayed answer; empty if none was relayed to its end.
    unfinished_bytes : size of the part after the last complete event of the last stream.
    clearance : the clearance for the last attempt.
    unreached : counts the servers to which no connection could be made.
    withdrawn : counts the servers that could no longer get the request when the connection was open.
    """

    request: ReceivedRequest
    unreached: UnreachedServers
    withdrawn: UnreachedServers
    facts: RequestFacts | None = None
    admitted: AdmittedRequest | None = None
    state: SendState = SendState.NOT_RUN
    sends: list[str] = field(default_factory=list)
    send_versions: list[str] = field(default_factory=list)
    since_ms: float = float("-inf")
    process: ProcessSpan = ProcessSpan()
    excluded: list[str] = field(default_factory=list)
    through: list[str] = field(default_factory=list)
    in_flight: bool = False
    target: str = ""
    dispatched: str = ""
    clearance: Clearance = Clearance.FREE
    answer_end: str = ""
    unfinished_bytes: int = 0
    expected_ms: float = 0.0
    list_age_ms: float = 0.0
    began_ms: float | None = None
    last_event_id: str = ""
    begun_version: str | None = None
    outcome: str = ""
    status: int = 0
    detail: str = ""

    @property
    def request_id(self) -> str:
        """The identifier of the request; empty if it was not read."""
        return self.facts.request_id if self.facts is not None else ""


class ForwardObserver(Protocol):
    """Is notified of the progress of requests, for logs, metrics and usage counts."""

    def attempt_failed(self, progress: Progress, failure: SendFailure, detail: str) -> None:
        """Handle a failed attempt."""

    def request_began(self, progress: Progress) -> None:
        """Handle the beginning of a backend server's answer."""

    def request_ended(self, progress: Progress) -> None:
        """Handle the end of a request."""
