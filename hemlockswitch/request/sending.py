"""One attempt to send a forwarded request to a backend server, and the relay of its answer.

Whether another attempt may follow is decided in `request.forwarding`.
"""

from dataclasses import dataclass
from http import HTTPStatus
from typing import NoReturn

from hemlockswitch.connection.backend_pool import BackendPool
from hemlockswitch.connection.exchange_errors import ExchangeError, Stage
from hemlockswitch.connection.message_parsers import ParsedAnswer
from hemlockswitch.connection.pooled_exchange import PooledExchange
from hemlockswitch.connection.replies import CallerLeftError, Reply
from hemlockswitch.core.clock import Clock
from hemlockswitch.request.answer_ends import AnswerEnds, check_stream_end
from hemlockswitch.request.clearance import RequestGuard
from hemlockswitch.request.dialect import Dialect, SendFields
from hemlockswitch.request.event_stream import EventSplitter
from hemlockswitch.request.forward_admission import AdmittedRequest
from hemlockswitch.request.forwarding_view import ForwardingView
from hemlockswitch.request.placement import Placement
from hemlockswitch.request.progress import ForwardObserver, Progress
from hemlockswitch.request.send_errors import OverdueError, SendFailedError
from hemlockswitch.request.send_states import SendFailure
from hemlockswitch.version.serving_table import RequestKind

MAX_ANSWER_BYTES = 16 * 1024 * 1024
MAX_EVENT_BYTES = 1024 * 1024
"""Maximum size of an event of a resumable stream, whose bytes are held back until it is complete."""
VERSION_WAIT_MS = 1_500.0
"""Maximum wait for the entry of the process at which a stream that has begun goes on: callers abandon a stream that
pauses for two seconds."""
VERSION_POLL_MS = 50.0
REUSE_IDLE_MS = 60_000.0
"""Repeatable requests use any pooled connection; the pool limits the age."""
REUSE_IDLE_AT_MOST_ONCE_MS = 1_000.0
"""Requests that may run only once avoid connections that have been idle for longer: if the server closes
such a connection while the request is sent, it is unknown whether the request ran."""


@dataclass(frozen=True)
class SendAttempt:
    """An attempt to send a request to one server, with the reply that its answer is written to."""

    progress: Progress
    admitted: AdmittedRequest
    placement: Placement
    reply: Reply

    @property
    def may_follow(self) -> bool:
        """Whether another attempt may follow if this one fails."""
        route = self.admitted.route
        return route.is_repeatable and len(self.progress.sends) < route.max_attempts


class Sender:
    """Sends requests to backend servers; each call of `send` makes one attempt.

    Parameters
    ==========

    dialect : the wire format of callers and backend servers.
    view : the process's state of configuration and servers.
    pool : connections to backend servers.
    guard : tells whether a server has crashed, and counts it against the request.
    observer : is notified when an answer begins.
    clock : the process's clock.
    """

    def __init__(
        self,
        dialect: Dialect,
        view: ForwardingView,
        pool: BackendPool,
        guard: RequestGuard,
        observer: ForwardObserver,
        clock: Clock,
    ) -> None:
        self._dialect = dialect
        self._view = view
        self._pool = pool
        self._guard = guard
        self._ends = AnswerEnds(guard)
        self._observer = observer
        self._clock = clock
        self._in_flight: dict[PooledExchange, SendAttempt] = {}
        self._pieces_received: dict[PooledExchange, int] = {}  # at the last `abandon_stalled`
        self._abandoned: set[PooledExchange] = set()

    def abandon_zone(self, zone: str) -> None:
        """Close the attempts in an unreachable zone whose requests may be sent again.

        All other attempts continue to wait, as their answers may arrive when the zone is reachable again.
        """
        for exchange, send in list(self._in_flight.items()):
            is_there = send.placement.candidate.server.zone == zone
            if is_there and send.may_follow:
                self._abandon(exchange)

    def abandon_stalled(self, gateway: str = "") -> None:
        """Close the attempts on which nothing was received since the last call, if they may be repeated.

        All other attempts continue to wait, as `abandon_zone` explains.

        Parameters
        ==========

        gateway : the attempts that lead through this gateway; the direct ones if empty.
        """
        for exchange, send in list(self._in_flight.items()):
            if exchange.gateway != gateway:
                continue
            before = self._pieces_received.get(exchange)
            self._pieces_received[exchange] = exchange.pieces_received
            if before == exchange.pieces_received and send.may_follow:
                self._abandon(exchange)

    def abandon_through(self, gateway: str) -> None:
        """Close the attempts that lead through a gateway, if their requests may be sent again."""
        for exchange, send in list(self._in_flight.items()):
            if exchange.gateway == gateway and send.may_follow:
                self._abandon(exchange)

    def _abandon(self, exchange: PooledExchange) -> None:
        """Close an attempt because of the links, which is no failure of its server."""
        self._abandoned.add(exchange)
        exchange.close()

    def send(self, send: SendAttempt) -> float:
        """Send the request to the chosen server, relay its answer, and return when the body began to arrive.

        Raises
        ======

        SendFailedError : no complete answer was received.
        """
        exchange = self._open(send)
        sent_ms = self._clock.now_ms()
        if not self._view.is_permitted(send.placement):
            exchange.close()
            detail = "the server could no longer get requests when the connection was open"
            raise SendFailedError(SendFailure.WITHDRAWN, detail, False)
        if not send.progress.clearance.is_trial and self._guard.must_hold(send.admitted):
            exchange.close()
            detail = "the request was quarantined before the connection was open"
            raise SendFailedError(SendFailure.WITHDRAWN, detail, False)
        if not self._await_version(send, exchange):
            exchange.close()
            detail = "the server was replaced, and the next process may be of another version"
            raise SendFailedError(SendFailure.WITHDRAWN, detail, False)
        ticket = self._view.begin_attempt(send.admitted, send.placement)
        server = send.placement.candidate.server
        send.progress.sends.append(server.incarnation)
        send.progress.send_versions.append(server.version)
        send.progress.since_ms = exchange.process.since_ms
        send.progress.process = exchange.process
        send.progress.through.append(exchange.gateway)
        send.progress.in_flight = True
        failed = True
        self._in_flight[exchange] = send
        try:
            exchange.send(self._encode(send))
            answer = exchange.read_head()
            self._inspect_answer(answer, send.placement, sent_ms, exchange.gateway)
            self._record_answer(send, exchange)
            is_running = self._dialect.shows_running(answer, server.name)
            if is_running:
                self._guard.record_alive(server, sent_ms, exchange.process.since_ms)
            was_declined = self._dialect.states_not_run(answer)
            self._view.record_answered(server, sent_ms, was_declined=was_declined or not is_running)
            if was_declined:
                self._raise_declined(answer, send.placement)
            self._check_genuine(answer)
            ticket.record_first_event(succeeds=answer.status < HTTPStatus.BAD_REQUEST)
            began_ms = self._relay(send, exchange)
            failed = answer.status >= HTTPStatus.INTERNAL_SERVER_ERROR
            return began_ms
        except ExchangeError as error:
            failed = exchange not in self._abandoned
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
            self._pieces_received.pop(exchange, None)
            self._abandoned.discard(exchange)
            ticket.end(failed)
            self._pool.finish(exchange)

    def _await_version(self, send: SendAttempt, exchange: PooledExchange) -> bool:
        """Return whether a stream that has begun may go on at the process that an exchange leads to.

        The entry of that process may not have been read, and is waited for; but if the server seems to have been
        replaced, another one is tried first.
        """
        if send.progress.begun_version is None or not send.admitted.route.is_resumable:
            return True
        server = send.placement.candidate.server
        is_first = server.incarnation not in send.progress.excluded
        wait_ms = 0.0 if is_first and exchange.process.follows_end else VERSION_WAIT_MS
        until_ms = self._clock.now_ms() + wait_ms
        while not self._view.may_continue_at(server, exchange.process):
            is_permitted = self._view.is_permitted(send.placement)
            if not is_permitted or self._clock.now_ms() >= until_ms:
                return False
            self._clock.sleep_ms(VERSION_POLL_MS)
        return self._view.is_permitted(send.placement)

    def _record_answer(self, send: SendAttempt, exchange: PooledExchange) -> None:
        self._view.record_answer(send.placement.candidate.server, is_direct=not exchange.gateway)

    def _open(self, send: SendAttempt) -> PooledExchange:
        """Return an exchange with the server.

        After a failed connection the next one leads through another daemon: it succeeds whether the first
        server has failed or the own links have.
        """
        server = send.placement.candidate.server
        if self._view.needs_detour(server) or send.progress.unreached.has_any:
            exchange = self._open_detour(send)
            if exchange is not None:
                return exchange
            if self._view.is_hopeless(server):
                detail = "neither this daemon nor another one reaches the server"
                raise SendFailedError(SendFailure.UNREACHABLE, detail, False)
        return self._open_direct(send)

    def _open_detour(self, send: SendAttempt) -> PooledExchange | None:
        """Return an exchange through another daemon, or None if there is no daemon to lead through."""
        admitted, server = send.admitted, send.placement.candidate.server
        try:
            return self._pool.open_detour(
                server.address,
                admitted.request.method,
                lambda answer: self._dialect.is_answer_to(answer, admitted.facts.request_id),
                max_idle_ms=find_max_idle_ms(admitted),
                uses_direct=not send.progress.unreached.has_any,
                connect_through=lambda: self._view.open_detour(server),
            )
        except ExchangeError as error:
            raise SendFailedError(SendFailure.UNREACHABLE, error.detail, False) from error

    def _open_direct(self, send: SendAttempt) -> PooledExchange:
        admitted = send.admitted
        server = send.placement.candidate.server
        request_id = admitted.facts.request_id
        began_ms = self._clock.now_ms()
        default_timeout_ms = self._view.find_connect_timeout_ms()
        timeout_ms = max(min(admitted.deadline_ms - began_ms, default_timeout_ms), 1.0)
        try:
            exchange = self._pool.open(
                server.address,
                admitted.request.method,
                lambda answer: self._dialect.is_answer_to(answer, request_id),
                max_idle_ms=find_max_idle_ms(admitted),
                timeout_ms=timeout_ms,
            )
        except ExchangeError as error:
            assert error.stage is Stage.BEFORE_SEND
            took_ms = self._clock.now_ms() - began_ms
            if timeout_ms == default_timeout_ms or took_ms < timeout_ms:
                self._view.record_unreachable(server, has_timed_out=took_ms >= timeout_ms)
            raise SendFailedError(SendFailure.UNREACHABLE, error.detail, False) from error
        if exchange.is_new:
            self._view.record_connected(server, self._clock.now_ms() - began_ms)
        return exchange

    def _encode(self, send: SendAttempt) -> bytes:
        admitted = send.admitted
        fields = SendFields(
            server_name=send.placement.candidate.server.name,
            time_left_ms=max(admitted.deadline_ms - self._clock.now_ms(), 1.0),
            account=admitted.account.name if admitted.account else "",
            urgency=admitted.urgency,
            last_event_id=send.progress.last_event_id,
        )
        return self._dialect.encode_request(admitted.request, admitted.facts, fields)

    def _inspect_answer(
        self, answer: ParsedAnswer, placement: Placement, sent_ms: float, gateway: str
    ) -> None:
        """Record what the answer, received through `gateway`, states beside its content."""
        self._dialect.inspect_answer(answer)
        if self._dialect.states_leaving(answer):
            self._view.record_leaving(placement.candidate.server, gateway)
        rest_ms = self._dialect.read_rest_ms(answer)
        if rest_ms:
            self._view.record_rest(placement.candidate.server, rest_ms, gateway)
        load = self._dialect.read_load(answer)
        if load is not None and load.pace is not None:
            self._view.record_pace(placement.candidate.server, load.pace)
        limit_per_s = self._dialect.read_rate_limit(answer)
        if limit_per_s is not None:
            self._view.record_rate_limit(placement.candidate.server, limit_per_s, sent_ms)
        rejections_per_s = self._dialect.read_rejection_limit(answer)
        if rejections_per_s is not None:
            self._view.record_rejection_limit(placement.candidate.server, rejections_per_s, sent_ms)

    def _raise_declined(self, answer: ParsedAnswer, placement: Placement) -> NoReturn:
        """Raise for an answer by which the server did not run the request."""
        if answer.status == HTTPStatus.MISDIRECTED_REQUEST:
            self._view.record_misdirected(placement.candidate.server.name)
        else:
            self._view.record_rejected(placement.candidate.server)
        detail = f"the server declined the request with status {answer.status}"
        rest_ms = self._dialect.read_rest_ms(answer)
        if rest_ms:
            detail += f" and wants no requests for {rest_ms:.0f} ms"
        raise SendFailedError(SendFailure.DECLINED, detail, True)

    def _check_genuine(self, answer: ParsedAnswer) -> None:
        """Raise unless the answer is the server's own."""
        if not self._dialect.is_genuine(answer):
            detail = f"the answer with status {answer.status} may not come from the server itself"
            raise SendFailedError(SendFailure.BROKEN, detail, True)

    def _relay(self, send: SendAttempt, exchange: PooledExchange) -> float:
        """Relay the answer, and return when its body began to arrive."""
        is_success = exchange.answer.status < HTTPStatus.MULTIPLE_CHOICES
        if send.admitted.route.kind is RequestKind.STREAM and is_success:
            began_ms = self._relay_stream(send, exchange)
        else:
            began_ms = self._relay_complete(send, exchange)
        send.progress.outcome = "answered"
        send.progress.answer_end = exchange.answer.end
        return began_ms

    def _relay_complete(self, send: SendAttempt, exchange: PooledExchange) -> float:
        """Read the complete answer before relaying it to the caller; return when its head was read."""
        answer, reply = exchange.answer, send.reply
        began_ms = self._clock.now_ms()
        body = exchange.read_body(MAX_ANSWER_BYTES)
        self._check_server(send, answer)
        is_failure = answer.status >= HTTPStatus.INTERNAL_SERVER_ERROR
        if is_failure and send.admitted.route.is_repeatable and self._may_retry_in_time(send):
            raise SendFailedError(SendFailure.BROKEN, f"the server failed: {answer.status}", True)
        if reply.begun:
            raise SendFailedError(
                SendFailure.BROKEN, f"expected a stream but got status {answer.status}", True
            )
        self._record_begun(send)
        headers = self._dialect.select_answer_headers(answer)
        reply.send(answer.status, answer.reason, headers, body)
        return began_ms

    def _check_server(self, send: SendAttempt, answer: ParsedAnswer) -> None:
        server, since_ms = send.placement.candidate.server, send.progress.since_ms
        self._ends.check_server(send.admitted, server, answer, since_ms)

    def _may_retry_in_time(self, send: SendAttempt) -> bool:
        """Return whether another server is expected to answer before the caller's deadline.

        If not, the caller is better served by the failure now than by a timeout later.
        """
        progress, admitted = send.progress, send.admitted
        if len(progress.sends) >= admitted.route.max_attempts or progress.clearance.is_trial:
            return False
        placement = self._view.preview(admitted, [*progress.excluded, *progress.sends])
        left_ms = admitted.deadline_ms - self._clock.now_ms()
        return placement is not None and placement.expected_ms <= left_ms

    def _relay_stream(self, send: SendAttempt, exchange: PooledExchange) -> float:
        """Relay events as they arrive; of a resumable stream, only complete events.

        Return when the first piece of the stream was read.
        """
        progress, reply = send.progress, send.reply
        began_ms = None
        splitter = EventSplitter(holds_back=send.admitted.route.is_resumable)
        while piece := exchange.read_piece():
            began_ms = began_ms or self._clock.now_ms()
            self._record_answer(send, exchange)
            events = splitter.feed(piece)
            progress.unfinished_bytes = splitter.open_bytes
            if send.admitted.route.is_resumable:
                exchange.hold(splitter.open_bytes)
            if send.admitted.route.is_resumable and splitter.open_bytes > MAX_EVENT_BYTES:
                detail = f"an event of the stream exceeds {MAX_EVENT_BYTES} bytes"
                raise SendFailedError(SendFailure.BROKEN, detail, True)
            progress.last_event_id = events.last_id or progress.last_event_id
            if events.data:
                self._begin_reply(send, exchange.answer)
                reply.write(events.data)
        check_stream_end(exchange.answer, splitter, continues=bool(progress.last_event_id))
        self._check_server(send, exchange.answer)
        self._begin_reply(send, exchange.answer)
        reply.write(splitter.take_rest())
        reply.end()
        return began_ms or self._clock.now_ms()

    def _begin_reply(self, send: SendAttempt, answer: ParsedAnswer) -> None:
        """Relay the head of the first server's answer, unless the reply has begun."""
        if send.reply.begun:
            return
        self._record_begun(send)
        headers = self._dialect.select_answer_headers(answer)
        send.reply.begin(answer.status, answer.reason, headers)

    def _record_begun(self, send: SendAttempt) -> None:
        progress, server = send.progress, send.placement.candidate.server
        progress.began_ms = self._clock.now_ms()
        is_resumable = send.admitted.route.is_resumable
        if progress.begun_version is not None and is_resumable:
            self._view.record_stream_continued(send.admitted, progress.begun_version)
        elif is_resumable:
            self._view.record_stream_begun(send.admitted, server, progress.process)
        if progress.begun_version is None:
            progress.begun_version = server.version
        self._observer.request_began(progress)


def find_max_idle_ms(admitted: AdmittedRequest) -> float:
    """Return for how long a connection may have been idle that a request is sent on."""
    return REUSE_IDLE_MS if admitted.route.is_repeatable else REUSE_IDLE_AT_MOST_ONCE_MS
