"""Typed messages over TCP streams between the system's processes."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Any

import gevent
from gevent import socket
from gevent.event import AsyncResult
from gevent.pool import Pool
from gevent.server import StreamServer

from hemlockswitch.connection.address_backoffs import AddressBackoffs
from hemlockswitch.connection.frames import EncodedFrame, Frame, FrameKind
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
StreamHandler = Callable[[socket.socket, Any], None]

MAX_REQUEST_NUMBER = 0xFFFFFFFF
SWEEP_INTERVAL_MS = 1_000
FLUSH_TIMEOUT_MS = 200
FLUSH_POLL_INTERVAL_S = 0.005


@register_message("hello")
@dataclass(frozen=True)
class Hello:
    """The first message of a connecting process, with its cluster, name and listening address."""

    cluster: str
    name: str
    address: str


@dataclass(frozen=True)
class _Registration:
    """The handler of a message type, and whether it runs in the reading task of the stream."""

    handler: Handler
    runs_inline: bool


@dataclass
class _PendingRequest:
    """A request waiting for its reply, and the link on which it was sent."""

    result: AsyncResult
    link: Link


class PeerNetwork:
    """Sends typed messages to other processes by address, and handles received messages.

    Explanation
    ===========

    There is one stream for each pair of processes, opened on demand by the process that sends first
    and closed when idle. A peer is identified by its listening address, which is part of its hello
    together with the cluster's name; a process of another cluster is refused.

    A handler is called as ``handler(sender address, message)`` and returns the reply to a request.
    A `HemlockError` raised by a handler is replied with its kind; any other exception is logged and
    replied as `INTERNAL`. Neither ends the stream or the process.

    Parameters
    ==========

    cluster : name of the cluster, which must be the same at both ends.
    name : name of this process.
    listen : ``ip:port``; port 0 selects a free one.
    advertise : address that peers use, if it differs from the one listened on.
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
        self._stream_handlers: dict[type, StreamHandler] = {}
        self._links: dict[str, Link] = {}
        self._all_links: set[Link] = set()
        self._pending: dict[int, _PendingRequest] = {}
        self._backoffs = AddressBackoffs.from_bounds(self._bounds, self._clock)
        self._last_number = 0
        self._workers = Pool(self._bounds.handler_tasks)
        self._server: StreamServer | None = None
        self._sweeper: gevent.Greenlet | None = None
        self._stopped = False

    def start(self) -> str:
        """Start to listen; return the address that peers use."""
        pool = Pool(self._bounds.accepted_streams)
        self._server = StreamServer(self._listen, self._accept, spawn=pool)
        self._server.start()
        self.address = self.address or self.bound_address
        self._sweeper = gevent.spawn(self._sweep)
        return self.address

    @property
    def bound_address(self) -> str:
        """The address listened on, once started; peers may use another one to connect."""
        assert self._server is not None
        return f"{self._listen[0]}:{self._server.server_port}"

    def stop(self) -> None:
        """Stop listening, wait up to `FLUSH_TIMEOUT_MS` for queued frames to be sent, and close all streams."""
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
        until_ms = self._clock.now_ms() + FLUSH_TIMEOUT_MS
        while self._clock.now_ms() < until_ms:
            if not any(link.has_queued for link in self._all_links):
                return
            gevent.sleep(FLUSH_POLL_INTERVAL_S)

    def handle(self, message_type: type, handler: Handler, *, runs_inline: bool = False) -> None:
        """Register `handler` for messages of `message_type`.

        Parameters
        ==========

        runs_inline : the handler never waits; it runs in the reading task of the stream, in the order in
            which messages are received.
        """
        self._handlers[message_type] = _Registration(handler, runs_inline)

    def handle_stream(self, message_type: type, handler: StreamHandler) -> None:
        """Register `handler` for streams whose first message is of `message_type`, in place of a hello.

        The message has a field ``cluster``. The handler is called with the connection and the message, and
        owns the connection until it returns.
        """
        self._stream_handlers[message_type] = handler

    def send(self, address: str, message: Any) -> bool:
        """Queue a one-way message; return whether it could be queued."""
        return self._send_frame(address, _encode_one_way(message))

    def _send_frame(self, address: str, frame: EncodedFrame) -> bool:
        try:
            self._find_link(address).put(frame)
        except PeerError:
            self.traffic.dropped += 1
            return False
        return True

    def send_all(self, addresses: Iterable[str], message: Any) -> None:
        """Queue a one-way message to each of `addresses`, encoding it once."""
        frame = _encode_one_way(message)
        for address in addresses:
            self._send_frame(address, frame)

    def request(self, address: str, message: Any, timeout_ms: float) -> Any:
        """Send a request and return its reply.

        Raises
        ======

        PeerError : the peer cannot be reached, did not reply in `timeout_ms`, or refused; the kind
            tells these apart.
        """
        link = self._find_link(address)
        number = self._take_number()
        pending = _PendingRequest(AsyncResult(), link)
        self._pending[number] = pending
        sent_ms = self._clock.now_ms()
        try:
            link.put(Frame(FrameKind.REQUEST, number, encode_message(message)).to_encoded())
            reply = pending.result.get(timeout=timeout_ms / MS_PER_SECOND)
        except gevent.Timeout as error:
            # A stream on which nothing was received may be broken; the next use opens a new one.
            if link.last_received_ms < sent_ms:
                link.close()
            raise PeerError(
                ErrorKind.PEER_UNAVAILABLE, f"{address} did not reply within the time-out"
            ) from error
        finally:
            self._pending.pop(number, None)
        if isinstance(reply, Refusal):
            raise PeerError(ErrorKind(reply.kind), reply.detail)
        return reply

    def list_streams(self) -> list[str]:
        """Return the addresses to which a stream is open."""
        return list(self._links)

    def _take_number(self) -> int:
        self._last_number = self._last_number % MAX_REQUEST_NUMBER + 1
        return self._last_number

    def _find_link(self, address: str) -> Link:
        link = self._links.get(address)
        if link is not None:
            return link
        if self._stopped or self._backoffs.is_paused(address):
            raise PeerError(
                ErrorKind.PEER_UNAVAILABLE, f"connections to {address} are paused after a failure"
            )
        return self._add_link(address, None)

    def _add_link(self, address: str, connection: socket.socket | None) -> Link:
        hello = Hello(self._cluster, self.name, self.address)
        link = Link(
            address,
            connection,
            source_host=self._listen[0],
            greeting=_encode_one_way(hello).wire,
            on_frame=self._receive,
            on_close=self._remove_link,
            clock=self._clock,
            bounds=self._bounds,
            traffic=self.traffic,
        )
        if address:
            self._links.setdefault(address, link)
        self._all_links.add(link)
        link.start()
        return link

    def _remove_link(self, link: Link, failed: bool) -> None:
        self._all_links.discard(link)
        if self._links.get(link.address) is link:
            del self._links[link.address]
        if failed:
            self._backoffs.record_failure(link.address)
        for pending in list(self._pending.values()):
            if pending.link is link:
                detail = f"the stream to {link.address} was closed before the reply"
                pending.result.set_exception(PeerError(ErrorKind.PEER_UNAVAILABLE, detail))

    def _accept(self, connection: socket.socket, _: Any) -> None:
        link = self._add_link("", connection)
        link.wait_closed()

    def _receive(self, link: Link, frame: Frame) -> None:
        if not link.address:
            self._accept_first(link, decode_message(frame.body))
            return
        self._backoffs.record_success(link.address)
        try:
            message = decode_message(frame.body)
        except PeerError as error:
            # A process of another version may send messages that are not registered here.
            log_event(Event.PEER_MESSAGE_UNKNOWN, "warning", peer=link.address, reason=str(error))
            self._reply(link, frame, Refusal(error.kind, error.detail))
            return
        if frame.kind is FrameKind.REPLY:
            pending = self._pending.get(frame.number)
            if pending is not None and pending.link is link:
                pending.result.set(message)
            return
        self._dispatch(link, frame, message)

    def _accept_first(self, link: Link, message: Any) -> None:
        """Accept the first message of a stream: a hello, or one that hands the stream over to a handler."""
        handler = self._stream_handlers.get(type(message))
        if handler is None or message.cluster != self._cluster:
            self._accept_hello(link, message)
            return
        try:
            handler(link.take_connection(), message)
        finally:
            link.close()

    def _accept_hello(self, link: Link, hello: Any) -> None:
        if not isinstance(hello, Hello) or hello.cluster != self._cluster:
            log_event(Event.PEER_REFUSED, "warning", hello=repr(hello))
            raise PeerError(
                ErrorKind.UNAUTHORIZED, "the first message is not a hello of this cluster"
            )
        link.address = hello.address
        self._backoffs.record_success(hello.address)
        self._links.setdefault(hello.address, link)

    def _dispatch(self, link: Link, frame: Frame, message: Any) -> None:
        registration = self._handlers.get(type(message), _UNHANDLED)
        handler = registration.handler
        if registration.runs_inline:
            self._answer(link, frame, message, handler)
        elif self._workers.full():
            self._reply(
                link, frame, Refusal(ErrorKind.OVERLOADED, "too many messages are being handled")
            )
        else:
            self._workers.spawn(self._answer, link, frame, message, handler)

    def _answer(self, link: Link, frame: Frame, message: Any, handler: Handler) -> None:
        try:
            reply = handler(link.address, message)
        except HemlockError as error:
            reply = Refusal(error.kind, error.detail)
        except Exception as error:  # noqa: BLE001 - a handler's failure must not end the stream
            log_event(Event.PEER_HANDLER_FAILED, "error", tag=message.tag, reason=repr(error))
            reply = Refusal(ErrorKind.INTERNAL, "internal error in the handler of the message")
        if reply is not None:
            self._reply(link, frame, reply)

    def _reply(self, link: Link, frame: Frame, reply: Any) -> None:
        if frame.kind is not FrameKind.REQUEST or link.closed:
            return
        try:
            link.put(Frame(FrameKind.REPLY, frame.number, encode_message(reply)).to_encoded())
        except PeerError:
            self.traffic.dropped += 1

    def _sweep(self) -> None:
        while True:
            gevent.sleep(SWEEP_INTERVAL_MS / MS_PER_SECOND)
            now_ms = self._clock.now_ms()
            busy = {pending.link for pending in self._pending.values()}
            for link in list(self._all_links):
                if link not in busy and link.is_idle(now_ms):
                    link.close()
            self._backoffs.discard_expired()


def _encode_one_way(message: Any) -> EncodedFrame:
    return Frame(FrameKind.ONE_WAY, 0, encode_message(message)).to_encoded()


def _refuse(_: str, message: Any) -> Refusal:
    return Refusal(ErrorKind.BAD_REQUEST, f"no handler for messages with tag {message.tag!r}")


_UNHANDLED = _Registration(_refuse, runs_inline=True)
