"""One send of a forwarded request to one backend server, and the relay of its answer.

Whether another send may follow is not decided here; see `request.forwarding`.
"""

from collections.abc import Sequence
from dataclasses import dataclass
from http import HTTPStatus
from typing import Protocol

from hemlockswitch.connection.backend_pool import BackendPool, PooledExchange
from hemlockswitch.connection.exchange_errors import ExchangeError, Stage
from hemlockswitch.connection.forward_server import CallerLeftError, Reply
from hemlockswitch.connection.message_parsers import ParsedAnswer
from hemlockswitch.core.clock import Clock
from hemlockswitch.request.dialect import Dialect, SendFields
from hemlockswitch.request.event_stream import EventSplitter
from hemlockswitch.request.forward_admission import AdmittedRequest
from hemlockswitch.request.placement import Placement
from hemlockswitch.request.progress import ForwardObserver, Progress
from hemlockswitch.request.send_states import SendFailure
from hemlockswitch.version.backend import BackendServer
from hemlockswitch.version.serving_table import RequestKind, ServingTable

MOST_ANSWER_BYTES = 16 * 1024 * 1024
REUSE_IDLE_MS = 60_000.0
"""Requests that may be repeated use any kept connection; the pool bounds its age."""
REUSE_IDLE_AT_MOST_ONCE_MS = 1_000.0
"""Requests that may run only once avoid connections that were idle for longer: a server that
closes one at the same moment leaves it unknown whether the request ran."""


class SendTicket(Protocol):
    """One send that is in progress, in the load that this daemon knows of."""

    def note_first_event(self, *, succeeds: bool) -> None:
        """The answer has begun: the prompt is read; `succeeds` unless it is a failure."""

    def end(self, failed: bool) -> None:
        """The send is over; `failed` counts against the server."""


class ForwardingView(Protocol):
    """What the process knows, as forwarding needs it."""

    def await_synced(self, most_ms: float) -> None:
        """Wait until what a request needs is known since the start, for `most_ms` at the most."""

    def get_table(self) -> ServingTable | None:
        """Return the configuration in force."""

    def place(
        self,
        admitted: AdmittedRequest,
        excluded: Sequence[str],
        *,
        is_careful: bool = False,
        begun_version: str = "",
    ) -> Placement | None:
        """Return the server for the next send, or None when there is none.

        Parameters
        ==========

        is_careful : take the server on which least is in progress, as it may end.
        begun_version : the version that has begun to answer it; empty if none has.
        """

    def begin_send(self, admitted: AdmittedRequest, placement: Placement) -> SendTicket:
        """Count a send."""

    def find_connect_timeout_ms(self) -> float:
        """Return how long to wait for a connection to a server."""

    def note_connected(self, server: BackendServer, took_ms: float) -> None:
        """A new connection to a server was made."""

    def note_unreachable(self, server: BackendServer, *, is_silent: bool) -> None:
        """No connection could be made; `is_silent` if the server did not even refuse it."""

    def note_answer(self, server: BackendServer) -> None:
        """Bytes of an answer came from a server."""

    def note_misdirected(self, server_name: str) -> None:
        """The address belongs to another server by now."""

    def count_daemons(self) -> int | None:
        """Return how many daemons share the budgets; None while that is not known."""


class SendFailedError(Exception):
    """One send failed; nothing or only whole events of it went to the caller.

    Parameters
    ==========

    was_sent : whether any byte of the request may have reached the server.
    was_cut : whether the server closed or reset the connection before the end of the answer.
    """

    def __init__(
        self, failure: SendFailure, detail: str, was_sent: bool, was_cut: bool = False
    ) -> None:
        super().__init__(detail)
        self.failure = failure
        self.detail = detail
        self.was_sent = was_sent
        self.was_cut = was_cut


class OverdueError(Exception):
    """The request's time is up."""


@dataclass(frozen=True)
class Send:
    """One send of a request to one server, and where its answer goes."""

    progress: Progress
    admitted: AdmittedRequest
    placement: Placement
    reply: Reply

    @property
    def may_follow(self) -> bool:
        """Whether another send may follow when this one fails."""
        route = self.admitted.route
        return route.is_repeatable and len(self.progress.sends) < route.max_attempts


class Sender:
    """Sends requests, each call once.

    Parameters
    ==========

    dialect : the wire format of callers and backend servers.
    view : what the process knows.
    pool : connections to backend servers.
    observer : hears what happens.
    clock : the time.
    """

    def __init__(
        self,
        dialect: Dialect,
        view: ForwardingView,
        pool: BackendPool,
        observer: ForwardObserver,
        clock: Clock,
    ) -> None:
        self._dialect = dialect
        self._view = view
        self._pool = pool
        self._observer = observer
        self._clock = clock
        self._in_flight: dict[PooledExchange, Send] = {}

    def abandon_zone(self, zone: str) -> None:
        """End the sends to a zone that cannot be reached, of requests that may be sent again.

        The others wait on: their answers may still come when the zone is back.
        """
        for exchange, send in list(self._in_flight.items()):
            is_there = send.placement.candidate.server.zone == zone
            if is_there and send.may_follow:
                exchange.close()

    def send(self, send: Send) -> None:
        """Send to one server and relay its answer.

        Raises
        ======

        SendFailedError : there is no complete answer.
        """
        exchange = self._open(send)
        ticket = self._view.begin_send(send.admitted, send.placement)
        send.progress.sends.append(send.placement.candidate.server.incarnation)
        send.progress.in_flight = True
        failed = True
        self._in_flight[exchange] = send
        try:
            exchange.send(self._encode(send))
            answer = exchange.read_head()
            self._view.note_answer(send.placement.candidate.server)
            self._check_run(answer, send.placement)
            ticket.note_first_event(succeeds=answer.status < HTTPStatus.BAD_REQUEST)
            self._relay(send, exchange)
            failed = answer.status >= HTTPStatus.INTERNAL_SERVER_ERROR
        except ExchangeError as error:
            raise SendFailedError(
                SendFailure.BROKEN, error.detail, was_sent=True, was_cut=error.was_closed
            ) from error
        except (CallerLeftError, OverdueError):
            failed = False
            raise
        except SendFailedError as error:
            failed = error.failure is not SendFailure.DECLINED
            raise
        finally:
            del self._in_flight[exchange]
            ticket.end(failed)
            self._pool.finish(exchange)

    def _open(self, send: Send) -> PooledExchange:
        admitted = send.admitted
        server = send.placement.candidate.server
        request_id = admitted.facts.request_id
        is_once = not admitted.route.is_repeatable
        began_ms = self._clock.now_ms()
        usual_ms = self._view.find_connect_timeout_ms()
        timeout_ms = max(min(admitted.deadline_ms - began_ms, usual_ms), 1.0)
        try:
            exchange = self._pool.open(
                server.address,
                admitted.request.method,
                lambda answer: self._dialect.is_answer_to(answer, request_id),
                most_idle_ms=REUSE_IDLE_AT_MOST_ONCE_MS if is_once else REUSE_IDLE_MS,
                timeout_ms=timeout_ms,
            )
        except ExchangeError as error:
            assert error.stage is Stage.BEFORE_SEND
            took_ms = self._clock.now_ms() - began_ms
            if timeout_ms == usual_ms or took_ms < timeout_ms:
                self._view.note_unreachable(server, is_silent=took_ms >= timeout_ms)
            raise SendFailedError(SendFailure.UNREACHABLE, error.detail, False) from error
        if exchange.is_new:
            self._view.note_connected(server, self._clock.now_ms() - began_ms)
        return exchange

    def _encode(self, send: Send) -> bytes:
        admitted = send.admitted
        fields = SendFields(
            server_name=send.placement.candidate.server.name,
            time_left_ms=max(admitted.deadline_ms - self._clock.now_ms(), 1.0),
            account=admitted.account.name if admitted.account else "",
            urgency=admitted.urgency,
            last_event_id=send.progress.last_event_id,
        )
        return self._dialect.encode_request(admitted.request, admitted.facts, fields)

    def _check_run(self, answer: ParsedAnswer, placement: Placement) -> None:
        """Raise unless the server ran the request and the answer is its own."""
        if self._dialect.states_not_run(answer):
            if answer.status == HTTPStatus.MISDIRECTED_REQUEST:
                self._view.note_misdirected(placement.candidate.server.name)
            detail = f"declined with {answer.status}"
            raise SendFailedError(SendFailure.DECLINED, detail, True)
        if not self._dialect.is_genuine(answer):
            detail = f"a {answer.status} that is not the server's own"
            raise SendFailedError(SendFailure.BROKEN, detail, True)

    def _relay(self, send: Send, exchange: PooledExchange) -> None:
        is_success = exchange.answer.status < HTTPStatus.BAD_REQUEST
        if send.admitted.route.kind is RequestKind.STREAM and is_success:
            self._relay_stream(send, exchange)
        else:
            self._relay_whole(send, exchange)
        send.progress.outcome = "answered"
        send.progress.ended_with_connection = exchange.answer.ends_with_connection

    def _relay_whole(self, send: Send, exchange: PooledExchange) -> None:
        """Read the whole answer before any of it goes to the caller."""
        answer, reply = exchange.answer, send.reply
        body = exchange.read_body(MOST_ANSWER_BYTES)
        is_failure = answer.status >= HTTPStatus.INTERNAL_SERVER_ERROR
        if is_failure and send.admitted.route.is_repeatable and self._has_another_try(send):
            raise SendFailedError(SendFailure.BROKEN, f"the server failed: {answer.status}", True)
        if reply.begun:
            raise SendFailedError(SendFailure.BROKEN, f"no stream but {answer.status}", True)
        self._note_begun(send)
        headers = self._dialect.select_answer_headers(answer)
        reply.send(answer.status, answer.reason, headers, body)

    def _has_another_try(self, send: Send) -> bool:
        """Return whether another server may still answer in the time that the caller waits.

        Where it would not, the failure that is here is worth more than a timeout later.
        """
        progress, admitted = send.progress, send.admitted
        if len(progress.sends) >= admitted.route.max_attempts or progress.clearance.is_trial:
            return False
        placement = self._view.place(admitted, [*progress.excluded, *progress.sends])
        left_ms = admitted.deadline_ms - self._clock.now_ms()
        return placement is not None and placement.expected_ms <= left_ms

    def _relay_stream(self, send: Send, exchange: PooledExchange) -> None:
        """Relay the events as they come; of a stream that can go on elsewhere whole ones only."""
        progress, reply = send.progress, send.reply
        splitter = EventSplitter() if send.admitted.route.is_resumable else None
        while piece := exchange.read_piece():
            self._view.note_answer(send.placement.candidate.server)
            if splitter is not None:
                whole = splitter.feed(piece)
                piece = whole.data
                progress.last_event_id = whole.last_id or progress.last_event_id
            if piece:
                self._begin_reply(send, exchange.answer)
                reply.write(piece)
        self._begin_reply(send, exchange.answer)
        if splitter is not None:
            reply.write(splitter.rest)
        reply.end()

    def _begin_reply(self, send: Send, answer: ParsedAnswer) -> None:
        """Send the head of the first server's answer before its first event."""
        if send.reply.begun:
            return
        self._note_begun(send)
        headers = self._dialect.select_answer_headers(answer)
        send.reply.begin(answer.status, answer.reason, headers)

    def _note_begun(self, send: Send) -> None:
        send.progress.began_ms = self._clock.now_ms()
        send.progress.begun_version = send.placement.candidate.server.version
        self._observer.request_began(send.progress)
