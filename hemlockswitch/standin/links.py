"""Link of the fault-injecting proxy: a listening address whose bytes are forwarded to a target."""

from typing import Any

import gevent
from gevent import socket
from gevent.queue import Queue
from gevent.server import StreamServer

from hemlockswitch.core.clock import MS_PER_SECOND, Clock
from hemlockswitch.standin.link_faults import Direction, LinkFaults, LostAnswer, Mode
from hemlockswitch.standin.server import CutError, cut_connection, parse_address

READ_BYTES = 65_536
MAX_QUEUED_CHUNKS = 256
BLOCKED_POLL_INTERVAL_MS = 10


class Link:
    """A named link, whose connections look up the active faults for each chunk they forward.

    Parameters
    ==========

    name : identifier of the link in the control API.
    listen : address to listen on.
    target : address to forward to; may be empty at first and set later.
    clock : source of time.
    """

    def __init__(self, name: str, listen: str, target: str, clock: Clock) -> None:
        self.name = name
        self.target = target
        self.clock = clock
        self.connections_made = 0
        self.answers_lost = 0
        self.bytes_moved = {Direction.TO_TARGET: 0, Direction.TO_CALLER: 0}
        self._faults: dict[str, LinkFaults] = {"": LinkFaults()}
        self._connections: set[Connection] = set()
        self._server = self._start(parse_address(listen))
        self.address = f"{self._server.server_host}:{self._server.server_port}"
        self._reserved_port: Any = None

    def find_faults(self, source: str) -> LinkFaults:
        """Return the faults that apply to a caller's IP."""
        fitting = [prefix for prefix in self._faults if source.startswith(prefix)]
        return self._faults[max(fitting, key=len)]

    def set_faults(self, faults: LinkFaults) -> None:
        """Replace the faults of a source, resetting open connections where they ask for it."""
        self._faults[faults.source] = faults
        for connection in list(self._connections):
            connection.reset_counters()
            if self.find_faults(connection.source).mode in (Mode.CUT, Mode.REFUSE):
                connection.reset()
        self._listen_or_refuse()

    def describe(self) -> dict[str, Any]:
        """Return the state of the link for the control API."""
        return {
            "name": self.name,
            "address": self.address,
            "target": self.target,
            "open": len(self._connections),
            "connections_made": self.connections_made,
            "answers_lost": self.answers_lost,
            "bytes_moved": self.bytes_moved,
            "faults": [faults.model_dump() for faults in self._faults.values()],
        }

    def close(self) -> None:
        """Stop listening and reset the open connections."""
        self._server.stop()
        for connection in list(self._connections):
            connection.reset()

    def take_lost_answer(self, source: str) -> LostAnswer:
        """Return how the answer of a connection is lost, and count a lost answer."""
        faults = self.find_faults(source)
        if faults.lose_answer is LostAnswer.NONE:
            return LostAnswer.NONE
        if faults.lose_count == 1:
            cleared = {"lose_answer": LostAnswer.NONE, "lose_count": 0}
            self._faults[faults.source] = faults.model_copy(update=cleared)
        elif faults.lose_count > 1:
            fewer = {"lose_count": faults.lose_count - 1}
            self._faults[faults.source] = faults.model_copy(update=fewer)
        self.answers_lost += 1
        return faults.lose_answer

    def _start(self, address: tuple[str, int]) -> StreamServer:
        server = StreamServer(address, self._serve)
        server.reuse_addr = 1
        server.start()
        return server

    def _listen_or_refuse(self) -> None:
        refusing = any(faults.mode is Mode.REFUSE for faults in self._faults.values())
        address = parse_address(self.address)
        if refusing and self._reserved_port is None:
            self._server.stop()
            self._reserved_port = reserve_port(address)
        elif not refusing and self._reserved_port is not None:
            self._reserved_port.close()
            self._reserved_port = None
            self._server = self._start(address)

    def _serve(self, caller: Any, source: tuple[str, int]) -> None:
        if self.find_faults(source[0]).mode in (Mode.CUT, Mode.REFUSE) or not self.target:
            reset_socket(caller)
            return
        connection = Connection(self, caller, source[0])
        self._connections.add(connection)
        self.connections_made += 1
        try:
            connection.run()
        finally:
            self._connections.discard(connection)


class Connection:
    """A caller's connection through a link, and the greenlets that forward its bytes."""

    def __init__(self, link: Link, caller: Any, source: str) -> None:
        self.source = source
        self._link = link
        self._caller = caller
        self._target: Any = None
        self._tasks: list[gevent.Greenlet] = []
        self._forwarded_bytes = dict.fromkeys(Direction, 0)
        self._lost_answer: LostAnswer | None = None

    def run(self) -> None:
        """Forward bytes in both directions until both sides have closed or the link resets."""
        self._wait_while_blocked(Direction.TO_TARGET)
        try:
            self._target = socket.create_connection(parse_address(self._link.target))
        except OSError:
            reset_socket(self._caller)
            return
        for side in (self._caller, self._target):
            side.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._spawn(self._caller, self._target, Direction.TO_TARGET)
        self._spawn(self._target, self._caller, Direction.TO_CALLER)
        gevent.joinall(self._tasks)
        self._caller.close()
        self._target.close()

    def reset(self) -> None:
        """Close the connection with a reset to both sides."""
        for side in (self._caller, self._target):
            if side is not None:
                reset_socket(side)
        own = gevent.getcurrent()
        gevent.killall([task for task in self._tasks if task is not own], block=False)

    def reset_counters(self) -> None:
        """Restart the byte count for `cut_after_bytes`."""
        self._forwarded_bytes = dict.fromkeys(Direction, 0)

    def _spawn(self, source: Any, sink: Any, direction: Direction) -> None:
        pieces: Queue = Queue(maxsize=MAX_QUEUED_CHUNKS)
        self._tasks.append(gevent.spawn(self._read, source, pieces))
        self._tasks.append(gevent.spawn(self._write, sink, pieces, direction))

    def _read(self, source: Any, pieces: Queue) -> None:
        while True:
            try:
                piece = source.recv(READ_BYTES)
            except OSError:
                piece = b""
            pieces.put((self._link.clock.now_ms(), piece))
            if not piece:
                return

    def _write(self, sink: Any, pieces: Queue, direction: Direction) -> None:
        while True:
            read_at_ms, piece = pieces.get()
            self._wait_while_blocked(direction)
            faults = self._link.find_faults(self.source)
            self._link.clock.sleep_ms(read_at_ms + faults.delay_ms - self._link.clock.now_ms())
            if not piece:
                shut_down_writing(sink)
                return
            if not self._deliver(sink, piece, direction, faults):
                return

    def _deliver(self, sink: Any, piece: bytes, direction: Direction, faults: LinkFaults) -> bool:
        if direction is Direction.TO_CALLER and self._is_lost():
            return self._lost_answer is LostAnswer.SILENT
        left = self._count_left(direction, faults)
        piece = piece[:left]
        if faults.bytes_per_s:
            self._link.clock.sleep_ms(len(piece) / faults.bytes_per_s * MS_PER_SECOND)
        try:
            sink.sendall(piece)
        except OSError:
            self.reset()
            return False
        self._forwarded_bytes[direction] += len(piece)
        self._link.bytes_moved[direction] += len(piece)
        if len(piece) == left:
            self.reset()
            return False
        return True

    def _count_left(self, direction: Direction, faults: LinkFaults) -> int | None:
        """Return how many bytes may still be forwarded; None means unlimited."""
        if direction is not faults.cut_direction or faults.cut_after_bytes is None:
            return None
        return max(faults.cut_after_bytes - self._forwarded_bytes[direction], 0)

    def _is_lost(self) -> bool:
        if self._lost_answer in (None, LostAnswer.NONE):
            self._lost_answer = self._link.take_lost_answer(self.source)
            if self._lost_answer is LostAnswer.RESET:
                self.reset()
        return self._lost_answer is not LostAnswer.NONE

    def _wait_while_blocked(self, direction: Direction) -> None:
        while self._is_blocked(direction):
            self._link.clock.sleep_ms(BLOCKED_POLL_INTERVAL_MS)

    def _is_blocked(self, direction: Direction) -> bool:
        faults = self._link.find_faults(self.source)
        return faults.mode is Mode.BLACK_HOLE or faults.freeze is direction


def reset_socket(side: Any) -> None:
    """Close a socket with a reset; does nothing if it is already closed."""
    try:
        cut_connection(side)
    except (CutError, OSError):
        return


def shut_down_writing(side: Any) -> None:
    """Shut down the sending side of a socket; errors are ignored."""
    try:
        side.shutdown(socket.SHUT_WR)
    except OSError:
        return


def reserve_port(address: tuple[str, int]) -> Any:
    """Return a socket that is bound but does not listen, so that the port refuses connections."""
    holder = socket.socket()
    holder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    holder.bind(address)
    return holder
