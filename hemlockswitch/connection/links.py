"""One TCP stream between two processes of the system, with a bounded send queue and a task that reads."""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

import gevent
from gevent import socket
from gevent.event import Event as Signal

from hemlockswitch.connection.frames import EncodedFrame, Frame, FrameDecoder, FrameKind
from hemlockswitch.connection.messages import MAX_FRAME_BYTES
from hemlockswitch.connection.sockets import ReadWaiter
from hemlockswitch.core.addresses import split_address
from hemlockswitch.core.clock import MS_PER_SECOND, Clock
from hemlockswitch.core.errors import ErrorKind, PeerError

READ_BYTES = 65_536
WRITE_BYTES = 65_536


@dataclass(frozen=True)
class PeerBounds:
    """Limits of the peer network.

    Parameters
    ==========

    queue_frames, queue_bytes : maximum size of the send queue of one stream.
    handler_tasks : maximum number of messages handled concurrently, over all streams.
    accepted_streams : maximum number of streams opened by other processes.
    connect_timeout_ms, write_timeout_ms : time-outs of a connect and of a write.
    hello_timeout_ms : time within which the hello must be received on an accepted stream.
    idle_ms : a stream unused for longer is closed.
    initial_backoff_ms, max_backoff_ms : initial and maximum pause after a failed connection.
    """

    queue_frames: int = 1_024
    queue_bytes: int = 2 * MAX_FRAME_BYTES
    handler_tasks: int = 256
    accepted_streams: int = 1_024
    connect_timeout_ms: int = 1_000
    hello_timeout_ms: int = 2_000
    write_timeout_ms: int = 5_000
    idle_ms: int = 60_000
    initial_backoff_ms: int = 100
    max_backoff_ms: int = 2_000


@dataclass
class Traffic:
    """Counters of the messages and bytes exchanged with peers, for metrics and measurements."""

    messages_in: int = 0
    messages_out: int = 0
    bytes_in: int = 0
    bytes_out: int = 0
    dropped: int = 0
    connections: int = 0


class Link:
    """A stream to one peer; it owns its socket, with one task for reading.

    Explanation
    ===========

    The frames that are queued in one round of the event loop are written together, without waking a task.
    A task is started for the rest only if the socket takes no more.

    The send queue is bounded. When it is full, the oldest one-way frame is dropped, because later
    one-way messages make up for a lost one; requests are not dropped but refused.

    Parameters
    ==========

    address : the peer's listening address; empty until the peer of an accepted socket sends it.
    connection : an accepted socket, or None to connect when the link starts.
    source_host : the local IP to connect from.
    greeting : encoded frame that a connecting link sends first.
    on_frame : called with the link and a received frame; a `PeerError` closes the link.
    on_close : called with the link and whether it failed; must not raise.
    """

    def __init__(
        self,
        address: str,
        connection: socket.socket | None,
        *,
        source_host: str,
        greeting: bytes,
        on_frame: Callable[["Link", Frame], None],
        on_close: Callable[["Link", bool], None],
        clock: Clock,
        bounds: PeerBounds,
        traffic: Traffic,
    ) -> None:
        self.address = address
        self.closed = False
        self.accepted = connection is not None
        self.last_received_ms = clock.now_ms()
        self.last_used_ms = self.last_received_ms
        self._connection = connection
        self._source_host = source_host
        self._greeting = greeting
        self._on_frame = on_frame
        self._on_close = on_close
        self._clock = clock
        self._bounds = bounds
        self._traffic = traffic
        self._queue: deque[EncodedFrame] = deque()
        self._queued_bytes = 0
        self._loop = gevent.get_hub().loop
        self._is_writable = False  # whether it is connected, and no task writes the rest of a batch
        self._is_flush_due = False
        self._has_received = False
        self._ended = Signal()
        self._tasks: list[gevent.Greenlet] = []
        self._is_taken = False

    def start(self) -> None:
        """Start the link's tasks."""
        self._tasks.append(gevent.spawn(self._run))

    def put(self, frame: EncodedFrame) -> None:
        """Queue `frame` for sending.

        Raises
        ======

        PeerError : the link is closed, or its queue is full of frames that may not be dropped.
        """
        if self.closed:
            raise PeerError(ErrorKind.PEER_UNAVAILABLE, f"the stream to {self.address} is closed")
        self._make_room(len(frame.wire))
        self._queue.append(frame)
        self._queued_bytes += len(frame.wire)
        if self._is_writable and not self._is_flush_due:
            self._is_flush_due = True
            self._loop.run_callback(self._flush)

    def _make_room(self, size_bytes: int) -> None:
        bounds = self._bounds
        while (
            len(self._queue) >= bounds.queue_frames
            or self._queued_bytes + size_bytes > bounds.queue_bytes
        ):
            oldest = next((one for one in self._queue if one.kind is FrameKind.ONE_WAY), None)
            if oldest is None:
                self._traffic.dropped += 1
                raise PeerError(ErrorKind.OVERLOADED, f"the send queue to {self.address} is full")
            self._queue.remove(oldest)
            self._queued_bytes -= len(oldest.wire)
            self._traffic.dropped += 1

    def close(self, failed: bool = False) -> None:
        """Close the stream and end its tasks; `failed` makes the owner back off from the peer."""
        if self.closed:
            return
        self.closed = True
        if self._connection is not None:
            self._connection.close()
        self._on_close(self, failed)
        self._ended.set()
        current = gevent.getcurrent()
        for task in self._tasks:
            if task is not current:
                task.kill(block=False)

    def take_connection(self) -> socket.socket:
        """Return the connection, which from now on belongs to the caller until the link is closed."""
        assert self._connection is not None
        self._is_taken = True
        self._connection.settimeout(None)
        return self._connection

    @property
    def has_queued(self) -> bool:
        """Whether the send queue is not empty."""
        return bool(self._queue)

    def wait_closed(self) -> None:
        """Wait until the stream is closed."""
        self._ended.wait()

    def is_idle(self, now_ms: float) -> bool:
        """Return whether the stream has been unused for so long that it may be closed.

        The accepting end waits twice as long, so that the two ends rarely close at the same time.
        """
        if self._is_taken:
            return False
        if not self.address:
            return now_ms - self.last_used_ms > self._bounds.hello_timeout_ms
        idle_ms = self._bounds.idle_ms * (2 if self.accepted else 1)
        return not self._queue and now_ms - self.last_used_ms > idle_ms

    def _run(self) -> None:
        if self._connection is None and not self._connect():
            self.close(failed=True)
            return
        self._prepare()
        self._traffic.connections += 1
        self._is_writable = True
        self._flush()
        if not self.closed:
            self._read()

    def _connect(self) -> bool:
        timeout_s = self._bounds.connect_timeout_ms / MS_PER_SECOND
        try:
            self._connection = socket.create_connection(
                split_address(self.address), timeout_s, source_address=(self._source_host, 0)
            )
            self._connection.sendall(self._greeting)
        except (OSError, PeerError):
            return False
        return True

    def _prepare(self) -> None:
        assert self._connection is not None
        self._connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._connection.settimeout(self._bounds.write_timeout_ms / MS_PER_SECOND)

    def _flush(self) -> None:
        """Write the queued frames without waiting; a task writes what the socket does not take."""
        assert self._connection is not None
        self._is_flush_due = False
        while self._queue and self._is_writable and not self.closed:
            batch = self._take_batch()
            try:
                sent_bytes = self._connection.send(batch, timeout=0.0)
            except BlockingIOError:
                sent_bytes = 0
            except OSError:
                self.close(failed=True)
                return
            if sent_bytes < len(batch):
                self._is_writable = False
                self._tasks.append(gevent.spawn(self._write_rest, batch[sent_bytes:]))

    def _write_rest(self, rest: bytes) -> None:
        """Write the rest of a batch, then the frames queued meanwhile."""
        assert self._connection is not None
        try:
            self._connection.sendall(rest)
        except OSError:
            self.close(failed=True)
            return
        self._tasks.remove(gevent.getcurrent())
        self._is_writable = True
        self._flush()

    def _take_batch(self) -> bytes:
        batch = bytearray()
        while self._queue and len(batch) < WRITE_BYTES:
            wire = self._queue.popleft().wire
            self._queued_bytes -= len(wire)
            batch += wire
            self._traffic.messages_out += 1
        self._traffic.bytes_out += len(batch)
        self.last_used_ms = self._clock.now_ms()
        return bytes(batch)

    def _read(self) -> None:
        assert self._connection is not None
        decoder = FrameDecoder()
        waiter = ReadWaiter(self._connection)
        try:
            while not self.closed:
                received = self._receive(waiter)
                if not received:
                    break
                for frame in decoder.feed(received):
                    self._traffic.messages_in += 1
                    self._on_frame(self, frame)
        except (OSError, PeerError):
            self.close(failed=True)
            return
        finally:
            waiter.close()
        self.close(failed=not self._has_received)

    def _receive(self, waiter: ReadWaiter) -> bytes:
        assert self._connection is not None
        # Waiting before recv avoids the socket's time-out, which is for writes, on idle streams.
        waiter.wait()
        received = self._connection.recv(READ_BYTES)
        self._has_received = True
        self._traffic.bytes_in += len(received)
        self.last_received_ms = self._clock.now_ms()
        self.last_used_ms = self.last_received_ms
        return received
