"""What forwarding needs from the process: configuration, servers, limits and the paths to servers."""

from collections.abc import Sequence
from typing import Protocol

from hemlockswitch.connection.process_spans import ProcessSpan
from hemlockswitch.connection.tunnels import TunnelConnection
from hemlockswitch.request.dispatch import Dispatched
from hemlockswitch.request.forward_admission import AdmittedRequest
from hemlockswitch.request.overload import Refusal
from hemlockswitch.request.placement import Placement
from hemlockswitch.version.backend import BackendServer
from hemlockswitch.version.serving_table import ServingTable


class SendTicket(Protocol):
    """An attempt in progress, as counted in this daemon's estimate of the server's load."""

    def record_first_event(self, *, succeeds: bool) -> None:
        """Record the start of the answer, when the prompt is processed; `succeeds` unless it is an error."""

    def end(self, failed: bool) -> None:
        """Record the end of the attempt; `failed` raises the failure rate of the server."""


class ForwardingView(Protocol):
    """The process's state of configuration and servers, as used by forwarding."""

    def await_synced(self, timeout_ms: float) -> None:
        """Wait, at most `timeout_ms`, until the state that requests need is loaded after the start."""

    def get_table(self) -> ServingTable | None:
        """Return the active configuration."""

    def place(
        self,
        admitted: AdmittedRequest,
        excluded: Sequence[str],
        *,
        is_careful: bool = False,
        begun_version: str | None = None,
    ) -> Placement | None:
        """Return the server for the next attempt, or None if there is none.

        Parameters
        ==========

        is_careful : choose the server with the fewest requests in progress, as the request may crash it.
        begun_version : the version that has begun the stream, which alone may continue it; None if none has.
        """

    def dispatch(self, admitted: AdmittedRequest, excluded: Sequence[str]) -> Dispatched | None:
        """Return the server that the dispatcher of a plain service assigns, or its refusal; may wait.

        The result is None unless the service's slots are dispatched now.
        """

    def find_begun_version(self, admitted: AdmittedRequest) -> str:
        """Return the version that began the stream that a request continues.

        Raises
        ======

        RequestError : it is not known, and servers of several versions may have begun it.
        """

    def confirm_begun_version(self, admitted: AdmittedRequest, version: str) -> str:
        """Return the version of a stream that began in this answer, or go on with the one that began it.

        Parameters
        ==========

        version : that of the entry of the server at which it began.

        Raises
        ======

        RequestError : it is not known, as another process may have served under the name of that server.
        """

    def may_continue_at(self, server: BackendServer, process: ProcessSpan) -> bool:
        """Return whether a stream that has begun may go on at a process, which has the version of the server's entry.

        It has another version if it was started since, and its entry has not been read.
        """

    def record_stream_begun(
        self, admitted: AdmittedRequest, server: BackendServer, process: ProcessSpan
    ) -> None:
        """Record a resumable stream before its first event is relayed.

        Parameters
        ==========

        process : what is known of the process that began it.
        """

    def record_stream_continued(self, admitted: AdmittedRequest, version: str) -> None:
        """Record the version of a stream that its caller has taken up, before its next event is relayed."""

    def preview(self, admitted: AdmittedRequest, excluded: Sequence[str]) -> Placement | None:
        """Return the server that `place` would choose now, without a permit for it."""

    def is_permitted(self, placement: Placement) -> bool:
        """Return whether a request may be sent now.

        Since the choice of the server it may have announced that it leaves, have asked for rest or become
        limited, or the permit may have expired.
        """

    def find_permit_delay_ms(
        self, admitted: AdmittedRequest, begun_version: str | None
    ) -> float | None:
        """Return when a permit for a limited server of the service is expected, in ms from now.

        The result is None if no permit was refused.
        """

    def begin_attempt(self, admitted: AdmittedRequest, placement: Placement) -> SendTicket:
        """Count an attempt as in progress and return its ticket."""

    def is_managed(self, service: str) -> bool:
        """Return whether the room of a service is divided between accounts."""

    def find_refusal(self, admitted: AdmittedRequest, placement: Placement) -> Refusal | None:
        """Return why a new request to an engine of a managed service is refused, or None to admit it."""

    def find_connect_timeout_ms(self) -> float:
        """Return the timeout for connecting to a server."""

    def record_connected(self, server: BackendServer, took_ms: float) -> None:
        """Record a new connection to a server."""

    def record_unreachable(self, server: BackendServer, *, has_timed_out: bool) -> None:
        """Record a failed connection; `has_timed_out` if it timed out rather than being refused."""

    def record_answer(self, server: BackendServer, *, is_direct: bool) -> None:
        """Record that bytes of an answer were received from a server, directly or through another daemon."""

    def needs_detour(self, server: BackendServer) -> bool:
        """Return whether a connection to the server should lead through another daemon."""

    def is_hopeless(self, server: BackendServer) -> bool:
        """Return whether a direct connection attempt would only wait for its time-out."""

    def open_detour(self, server: BackendServer) -> TunnelConnection | None:
        """Return a connection to the server through another daemon; None if no daemon helps.

        Raises
        ======

        ExchangeError : another daemon cannot connect to the server either; nothing was sent.
        """

    def record_rate_limit(self, server: BackendServer, limit_per_s: float, sent_ms: float) -> None:
        """Record the limit in a server's answer to a request sent at `sent_ms`; infinite if it states none."""

    def find_slot_delay_ms(
        self, admitted: AdmittedRequest, begun_version: str | None
    ) -> float | None:
        """Return when a slot of a brittle server of the service is expected, in ms from now, or None."""

    def record_rejection_limit(
        self, server: BackendServer, rejections_per_s: float, sent_ms: float
    ) -> None:
        """Record after how many rejections a server falls over; infinite if its answer states none."""

    def record_leaving(self, server: BackendServer, gateway: str) -> None:
        """Record that a server stated in an answer that it leaves.

        Parameters
        ==========

        gateway : the daemon that the connection to the server leads through; empty if it is direct.
        """

    def find_rest_delay_ms(
        self, admitted: AdmittedRequest, begun_version: str | None
    ) -> float | None:
        """Return when the first server may get requests again, in ms from now; None unless all rest."""

    def record_rest(self, server: BackendServer, rest_ms: float, gateway: str) -> None:
        """Record that a server wants no requests for `rest_ms`; `gateway` as in `record_leaving`."""

    def record_answered(self, server: BackendServer, sent_ms: float, *, was_declined: bool) -> None:
        """Record that a server has answered a request sent at `sent_ms`, or declined it."""

    def record_pace(self, server: BackendServer, pace: float) -> None:
        """Record the pace that a server states in an answer; see `request.pace`."""

    def record_rejected(self, server: BackendServer) -> None:
        """Record that a server turned a request away."""

    def record_misdirected(self, server_name: str) -> None:
        """Record that the address of the server now belongs to another server."""

    def count_daemons(self) -> int | None:
        """Return the number of daemons that share the budgets, or None while it is undetermined."""
