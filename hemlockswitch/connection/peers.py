"""The network between the system's processes: typed messages over TCP streams."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Any

import gevent
from gevent import socket
from gevent.event import AsyncResult
from gevent.pool import Pool
from gevent.server import StreamServer

from hemlockswitch.connection.address_backoffs import AddressBackoffs
from hemlockswitch.connection.frames import Frame, FrameKind
from hemlockswitch.connection.links import Link, PeerBounds, Traffic
from hemlockswitch.connection.messages import (
    Refusal,
    decode_message,
    encode_message,
    register_message,
)
from hemlockswitch.core.addresses import split_address
from hemlockswitch.core.clock import MS_PER_SECOND, Clock, SystemClock
from hemlockswitch.core.errors import ErrorKind, HemlockError, PeerError
from hemlockswitch.core.events import Event
from hemlockswitch.core.logs import log_event

Handler = Callable[[str, Any], Any]

LARGEST_NUMBER = 0xFFFFFFFF
SWEEP_MS = 1_000
FLUSH_MS = 200
FLUSH_STEP_S = 0.005


@register_message("hello")
@dataclass(frozen=True)
class Hello:
    """First message of a connecting process: its cluster, its name, its listening address."""

    cluster: str
    name: str
    address: str


@dataclass(frozen=True)
class _Registration:
    """The handler of a message type, and whether it runs in the stream's own task."""

    handler: Handler
    quick: bool


@dataclass
class _Question:
    """A question that waits for its reply, and the link on which it went."""

    result: AsyncResult
    link: Link


class PeerNetwork:
    """Send typed messages to other processes by address, and serve theirs.

    Explanation
    ===========

    There is one stream for each pair of processes, opened on demand by whichever has something to
    say and closed when idle. A peer is known by its listening address, which it gives in its hello
    together with the cluster's name; a process of another cluster is refused.

    A handler is called as ``handler(sender address, message)``; what it returns is the reply to a
    question. A handler that raises a `HemlockError` answers with its kind, any other exception is
    logged and answered as `INTERNAL`; neither ends the stream or the process.

    Parameters
    ==========

    cluster : name that both ends must share.
    name : this process.
    listen : ``ip:port``; port 0 takes a free one.
    advertise : address that peers use, when it is not the one listened on.
    """

    def __init__(
        self,
        cluster: str,
        name: str,
        listen: str = "127.0.0.1:0",
        *,
        advertise: str = "",
        clock: Clock | None = None,
        bounds: PeerBounds | None = None,
    ) -> None:
        self.name = name
        self.traffic = Traffic()
        self.address = advertise
        self._cluster = cluster
        self._listen = split_address(listen)
        self._clock = clock or SystemClock()
        self._bounds = bounds or PeerBounds()
        self._handlers: dict[type, _Registration] = {}
        self._links: dict[str, Link] = {}
        self._all_links: set[Link] = set()
        self._questions: dict[int, _Question] = {}
        self._backoffs = AddressBackoffs.from_bounds(self._bounds, self._clock)
        self._last_number = 0
        self._workers = Pool(self._bounds.handler_tasks)
        self._server: StreamServer | None = None
        self._sweeper: gevent.Greenlet | None = None
        self._stopped = False

    def start(self) -> str:
        """Listen, and return the address that peers use."""
        pool = Pool(self._bounds.accepted_streams)
        self._server = StreamServer(self._listen, self._accept, spawn=pool)
        self._server.start()
        self.address = self.address or self.bound_address
        self._sweeper = gevent.spawn(self._sweep)
        return self.address

    @property
    def bound_address(self) -> str:
        """Where it listens, once started; peers may use another address to get here."""
        assert self._server is not None
        return f"{self._listen[0]}:{self._server.server_port}"

    def stop(self) -> None:
        """Stop listening, let what is queued go for a moment, and close every stream."""
        self._stopped = True
        self._flush()
        if self._sweeper is not None:
            self._sweeper.kill(block=False)
        if self._server is not None:
            self._server.stop(timeout=0)
        for link in list(self._all_links):
            link.close()
        self._workers.kill(block=False)

    def _flush(self) -> None:
        until_ms = self._clock.now_ms() + FLUSH_MS
        while self._clock.now_ms() < until_ms:
            if not any(link.has_queued for link in self._all_links):
                return
            gevent.sleep(FLUSH_STEP_S)

    def handle(self, message_type: type, handler: Handler, *, quick: bool = False) -> None:
        """Serve messages of `message_type` with `handler`.

        Parameters
        ==========

        quick : the handler never waits; it runs in the stream's own task, in order of arrival.
        """
        self._handlers[message_type] = _Registration(handler, quick)

    def send(self, address: str, message: Any) -> bool:
        """Queue a one-way message; return whether there was a stream to queue it on."""
        return self._send_frame(address, Frame(FrameKind.ONE_WAY, 0, encode_message(message)))

    def _send_frame(self, address: str, frame: Frame) -> bool:
        try:
            self._find_link(address).put(frame)
        except PeerError:
            self.traffic.dropped += 1
            return False
        return True

    def send_all(self, addresses: Iterable[str], message: Any) -> None:
        """Queue a one-way message to each of `addresses`; it is encoded once."""
        frame = Frame(FrameKind.ONE_WAY, 0, encode_message(message))
        for address in addresses:
            self._send_frame(address, frame)

    def ask(self, address: str, message: Any, timeout_ms: float) -> Any:
        """Send a question and return its reply.

        Raises
        ======

        PeerError : the peer cannot be reached, did not answer in `timeout_ms`, or refused; the
            kind says which.
        """
        link = self._find_link(address)
        number = self._take_number()
        question = _Question(AsyncResult(), link)
        self._questions[number] = question
        asked_ms = self._clock.now_ms()
        try:
            link.put(Frame(FrameKind.ASK, number, encode_message(message)))
            reply = question.result.get(timeout=timeout_ms / MS_PER_SECOND)
        except gevent.Timeout as error:
            # A stream that stayed silent all along may be cut: the next use opens a new one.
            if link.last_received_ms < asked_ms:
                link.close()
            raise PeerError(ErrorKind.PEER_UNAVAILABLE, f"{address} did not answer") from error
        finally:
            self._questions.pop(number, None)
        if isinstance(reply, Refusal):
            raise PeerError(ErrorKind(reply.kind), reply.detail)
        return reply

    def list_streams(self) -> list[str]:
        """Return the addresses to which a stream is open."""
        return list(self._links)

    def _take_number(self) -> int:
        self._last_number = self._last_number % LARGEST_NUMBER + 1
        return self._last_number

    def _find_link(self, address: str) -> Link:
        link = self._links.get(address)
        if link is not None:
            return link
        if self._stopped or self._backoffs.is_paused(address):
            raise PeerError(ErrorKind.PEER_UNAVAILABLE, f"{address} failed a moment ago")
        return self._add_link(address, None)

    def _add_link(self, address: str, connection: socket.socket | None) -> Link:
        hello = encode_message(Hello(self._cluster, self.name, self.address))
        link = Link(
            address,
            connection,
            source_host=self._listen[0],
            greeting=Frame(FrameKind.ONE_WAY, 0, hello).encode(),
            on_frame=self._receive,
            on_close=self._forget,
            clock=self._clock,
            bounds=self._bounds,
            traffic=self.traffic,
        )
        if address:
            self._links.setdefault(address, link)
        self._all_links.add(link)
        link.start()
        return link

    def _forget(self, link: Link, failed: bool) -> None:
        self._all_links.discard(link)
        if self._links.get(link.address) is link:
            del self._links[link.address]
        if failed:
            self._backoffs.record_failure(link.address)
        for question in list(self._questions.values()):
            if question.link is link:
                detail = f"the stream to {link.address} ended"
                question.result.set_exception(PeerError(ErrorKind.PEER_UNAVAILABLE, detail))

    def _accept(self, connection: socket.socket, _: Any) -> None:
        link = self._add_link("", connection)
        link.wait_closed()

    def _receive(self, link: Link, frame: Frame) -> None:
        if not link.address:
            self._greet(link, frame)
            return
        self._backoffs.record_success(link.address)
        try:
            message = decode_message(frame.body)
        except PeerError as error:
            # A process of another version may send what this one does not know.
            log_event(Event.PEER_MESSAGE_UNKNOWN, "warning", peer=link.address, reason=str(error))
            self._reply(link, frame, Refusal(error.kind, error.detail))
            return
        if frame.kind is FrameKind.REPLY:
            question = self._questions.get(frame.number)
            if question is not None and question.link is link:
                question.result.set(message)
            return
        self._dispatch(link, frame, message)

    def _greet(self, link: Link, frame: Frame) -> None:
        hello = decode_message(frame.body)
        if not isinstance(hello, Hello) or hello.cluster != self._cluster:
            log_event(Event.PEER_REFUSED, "warning", hello=repr(hello))
            raise PeerError(ErrorKind.UNAUTHORIZED, "not a hello of this cluster")
        link.address = hello.address
        self._backoffs.record_success(hello.address)
        self._links.setdefault(hello.address, link)

    def _dispatch(self, link: Link, frame: Frame, message: Any) -> None:
        registration = self._handlers.get(type(message), _UNHANDLED)
        handler = registration.handler
        if registration.quick:
            self._answer(link, frame, message, handler)
        elif self._workers.full():
            self._reply(link, frame, Refusal(ErrorKind.OVERLOADED, "too many messages at once"))
        else:
            self._workers.spawn(self._answer, link, frame, message, handler)

    def _answer(self, link: Link, frame: Frame, message: Any, handler: Handler) -> None:
        try:
            reply = handler(link.address, message)
        except HemlockError as error:
            reply = Refusal(error.kind, error.detail)
        except Exception as error:  # noqa: BLE001 - a handler's failure must not end the stream
            log_event(Event.PEER_HANDLER_FAILED, "error", tag=message.tag, reason=repr(error))
            reply = Refusal(ErrorKind.INTERNAL, "the peer failed to serve the message")
        if reply is not None:
            self._reply(link, frame, reply)

    def _reply(self, link: Link, frame: Frame, reply: Any) -> None:
        if frame.kind is not FrameKind.ASK or link.closed:
            return
        try:
            link.put(Frame(FrameKind.REPLY, frame.number, encode_message(reply)))
        except PeerError:
            self.traffic.dropped += 1

    def _sweep(self) -> None:
        while True:
            gevent.sleep(SWEEP_MS / MS_PER_SECOND)
            now_ms = self._clock.now_ms()
            asked = {question.link for question in self._questions.values()}
            for link in list(self._all_links):
                if link not in asked and link.is_idle(now_ms):
                    link.close()
            self._backoffs.forget_old()


def _refuse(_: str, message: Any) -> Refusal:
    return Refusal(ErrorKind.BAD_REQUEST, f"no handler for {message.tag!r}")


_UNHANDLED = _Registration(_refuse, quick=True)
