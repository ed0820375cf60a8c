"""Stand-in of a backend server on the users' platform: plain answers and event streams."""

import contextlib
import json
import time
from collections import Counter
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from typing import Any, NoReturn

import falcon
import gevent
import xxhash
from gevent.event import Event as Signal

from hemlockswitch.standin.runner_models import (
    RunnerFaults,
    RunnerLimit,
    RunnerRoom,
    RunnerSettings,
)
from hemlockswitch.standin.server import (
    SOCKET_KEY,
    TARGET_KEY,
    cut_connection,
    end_connection,
    end_process,
    make_application,
    read_body,
    serve_until_stopped,
)

MS_PER_SECOND = 1_000


def _make_set_signal() -> Signal:
    signal = Signal()
    signal.set()
    return signal


@dataclass
class RunnerState:
    """State and counts of the stand-in.

    `rate_limit` is stated in all answers, unless it is empty.
    `is_leaving` is stated in all answers, as the text `leaving_value`.
    `rejections` has the monotonic time in ms of each request that was declined for want of room.
    `goes_on` is cleared while the stand-in stands still: it answers nothing, and its connections stay open.
    `fall` is called when the stand-in falls over; a harness that runs it decides what that means.
    `arrivals` has the monotonic time in ms and the identifier of each request, also of declined ones.
    `end` terminates the stand-in; one that runs inside a test's process needs its own function.
    """

    settings: RunnerSettings
    faults: RunnerFaults = RunnerFaults()
    left: int = 0
    rate_limit: str = ""
    is_leaving: bool = False
    leaving_value: str = "1"
    asked: int = 0
    runs: Counter = field(default_factory=Counter)
    seen: list[dict[str, Any]] = field(default_factory=list)
    abandoned: list[str] = field(default_factory=list)
    arrivals: list[tuple[float, str]] = field(default_factory=list)
    end: Callable[[], None] = end_process
    room: RunnerRoom = RunnerRoom()
    running: int = 0
    waiting: int = 0
    rejections: list[float] = field(default_factory=list)
    fall: Callable[[], None] = end_process
    goes_on: Signal = field(default_factory=_make_set_signal)
    _slot_freed: Signal = field(default_factory=Signal)

    def enter(self) -> bool:
        """Wait for a slot; return False at once if there is no room to wait."""
        if self.room.slots and self.running >= self.room.slots:
            if self.waiting >= self.room.waiting:
                self._record_rejection()
                return False
            self._await_slot()
        self.running += 1
        return True

    def leave(self) -> None:
        """Free a slot."""
        self.running -= 1
        self._slot_freed.set()
        self._slot_freed.clear()

    def describe_load(self) -> str:
        """Return the load as stated in answers: requests running and waiting, slots, and the pace in percent."""
        room = self.room
        return f"{self.running},{self.waiting},{room.slots},{room.pace_percent}"

    def _await_slot(self) -> None:
        self.waiting += 1
        try:
            while self.running >= self.room.slots:
                self._slot_freed.wait()
        finally:
            self.waiting -= 1

    def _record_rejection(self) -> None:
        now_ms = time.monotonic() * MS_PER_SECOND
        self.rejections.append(now_ms)
        if not self.room.max_rejections:
            return
        recent = [at_ms for at_ms in self.rejections if at_ms > now_ms - MS_PER_SECOND]
        if len(recent) > int(self.room.max_rejections):
            self.rejections.clear()
            self.fall()

    def take_faults(self) -> RunnerFaults:
        """Return the faults for a new request."""
        self.asked += 1
        if self.asked % self.faults.every:
            return RunnerFaults()
        if self.faults.count == 0:
            return self.faults
        if self.left == 0:
            return RunnerFaults()
        self.left -= 1
        return self.faults


class Requests:
    """All paths except those under ``/standin``."""

    def __init__(self, state: RunnerState) -> None:
        self._state = state

    def __call__(self, req: falcon.Request, resp: falcon.Response, **parts: str) -> None:
        """Run a request."""
        state = self._state
        request_id = req.get_header("Hemlockswitch-Request-Id") or ""
        self._record_arrival(request_id)
        if state.rate_limit:
            resp.set_header("Server-Limit", state.rate_limit)
        if state.is_leaving:
            resp.set_header("Server-Leaving", state.leaving_value)
        if state.room.max_rejections:
            resp.set_header("Server-Brittle", state.room.max_rejections)
        if state.room.pace_percent:
            resp.set_header("Hemlockswitch-Instance-Load", state.describe_load())
        faults = state.take_faults()
        if self._declines(req, resp, faults):
            return
        body = req.bounded_stream.read()
        if not state.enter():
            resp.status = 503
            resp.set_header("Hemlockswitch-Not-Executed", "1")
            return
        try:
            self._run(req, resp, faults, request_id, body)
        finally:
            state.leave()

    def _run(
        self,
        req: falcon.Request,
        resp: falcon.Response,
        faults: RunnerFaults,
        request_id: str,
        body: bytes,
    ) -> None:
        state = self._state
        state.runs[request_id] += 1
        if state.settings.prints_runs:
            print(json.dumps({"ran": request_id}), flush=True)
        state.seen.append(_describe(req, body))
        gevent.sleep(state.settings.work_ms * faults.slow_factor / MS_PER_SECOND)
        state.goes_on.wait()
        if _is_deadly(state.settings, req, body):
            state.end()
        if faults.lose_answer:
            cut_connection(req.env[SOCKET_KEY])
        answered_id = "another" if faults.foreign_answer else request_id
        resp.set_header("Hemlockswitch-Request-Id", answered_id)
        if not faults.without_seal:
            resp.set_header("Hemlockswitch-Response-Seal", make_seal(request_id))
        if faults.fail:
            resp.status, resp.data = 500, b"failed"
        elif faults.endless:
            self._answer_endless(req, resp)
        elif req.get_header("Hemlockswitch-Token-Counts") and faults.unframed:
            self._answer_unframed(req, resp, faults, request_id)
        elif req.get_header("Hemlockswitch-Token-Counts"):
            resp.content_type = "text/event-stream"
            resp.stream = self._stream(req, faults, request_id)
        else:
            resp.data = b"answer of " + request_id.encode()

    def _record_arrival(self, request_id: str) -> None:
        at_ms = time.monotonic() * MS_PER_SECOND
        self._state.arrivals.append((at_ms, request_id))
        if self._state.settings.prints_runs:
            print(json.dumps({"arrived": request_id, "at_ms": at_ms}), flush=True)

    def _record_rest(self, request_id: str, faults: RunnerFaults) -> None:
        if self._state.settings.prints_runs:
            at_ms = time.monotonic() * MS_PER_SECOND
            rest = {"rested": request_id, "at_ms": at_ms, "retry_after": faults.retry_after}
            print(json.dumps(rest), flush=True)

    def _declines(self, req: falcon.Request, resp: falcon.Response, faults: RunnerFaults) -> bool:
        expected = req.get_header("Hemlockswitch-Expect-Instance")
        if expected and expected != self._state.settings.name:
            resp.status = 421
            resp.set_header("Hemlockswitch-Instance-Id", self._state.settings.name)
            return True
        if faults.decline:
            resp.status = 503
            resp.set_header("Hemlockswitch-Not-Executed", "1")
            if faults.retry_after:
                resp.set_header("Retry-After", faults.retry_after)
                self._record_rest(req.get_header("Hemlockswitch-Request-Id") or "", faults)
        return faults.decline

    @staticmethod
    def _answer_endless(req: falcon.Request, resp: falcon.Response) -> NoReturn:
        """Write bytes without end past the server's framing, until the other side closes the connection."""
        connection = req.env[SOCKET_KEY]
        headers = [f"{name}: {value}" for name, value in resp.headers.items()]
        is_stream = bool(req.get_header("Hemlockswitch-Token-Counts"))
        end, piece = ([""], b"X-A: b\r\n") if is_stream else (["", ""], b"x" * 8)
        with contextlib.suppress(OSError):
            connection.sendall("\r\n".join(["HTTP/1.1 200 OK", *headers, *end]).encode())
            while True:
                connection.sendall(piece * 8_192)
        cut_connection(connection)

    def _answer_unframed(
        self, req: falcon.Request, resp: falcon.Response, faults: RunnerFaults, request_id: str
    ) -> NoReturn:
        """Write a stream past the server's framing, and end its connection."""
        connection = req.env[SOCKET_KEY]
        headers = [f"{name}: {value}" for name, value in resp.headers.items()]
        head = "\r\n".join(["HTTP/1.1 200 OK", *headers, "", ""])
        connection.sendall(head.encode())
        for event in self._stream(req, faults, request_id):
            connection.sendall(event)
        end_connection(connection)

    def _stream(
        self, req: falcon.Request, faults: RunnerFaults, request_id: str
    ) -> Iterator[bytes]:
        last = int((req.get_header("Hemlockswitch-Token-Counts") or "0,0").split(",")[1])
        first = int(req.get_header("Last-Event-Id") or 0) + 1
        finished = False
        try:
            for number in range(first, last + 1):
                text = f"{request_id} {number} {self._state.settings.version}".rstrip()
                event = f"id: {number}\ndata: {text}\n\n".encode()
                if faults.cut_after_events is not None and number > faults.cut_after_events:
                    yield event[:5]
                    cut = end_connection if faults.unframed else cut_connection
                    cut(req.env[SOCKET_KEY])
                yield event
                gevent.sleep(self._state.settings.event_ms / MS_PER_SECOND)
                self._state.goes_on.wait()
            finished = True
        finally:
            if not finished:
                self._state.abandoned.append(request_id)


class Harness:
    """The calls under ``/standin``, by which tests set faults and read counts."""

    def __init__(self, state: RunnerState) -> None:
        self._state = state

    def on_post_faults(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Replace the active faults."""
        self._state.faults = read_body(req, RunnerFaults)
        self._state.left = self._state.faults.count
        resp.media = {}

    def on_post_limit(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Change the stated rate limit."""
        self._state.rate_limit = read_body(req, RunnerLimit).limit
        resp.media = {}

    def on_post_leaving(self, req: falcon.Request, resp: falcon.Response) -> None:
        """State in all answers from now on that the runner leaves."""
        self._state.is_leaving = True
        resp.media = {}

    def on_post_room(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Change the room for requests."""
        self._state.room = read_body(req, RunnerRoom)
        resp.media = {}

    def on_get_stats(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Return the requests that were run, and the streams that were cut off."""
        resp.media = {
            "runs": dict(self._state.runs),
            "seen": self._state.seen,
            "abandoned": self._state.abandoned,
        }


def make_seal(request_id: str) -> str:
    """Return the seal by which an answer is recognized as genuine."""
    return xxhash.xxh64_hexdigest(request_id.encode())


def _is_deadly(settings: RunnerSettings, req: falcon.Request, body: bytes) -> bool:
    if settings.ends_on and settings.ends_on.encode() in body:
        return True
    entries = (req.get_header("Hemlockswitch-Prompt-Prefix") or "").split(",")
    shared_parts = [entry.partition(":")[0].strip() for entry in entries[:-1]]
    return bool(settings.ends_on_part) and settings.ends_on_part in shared_parts


def _describe(req: falcon.Request, body: bytes) -> dict[str, Any]:
    headers = {name.lower(): value for name, value in req.headers.items()}
    return {
        "method": req.method,
        "target": req.env[TARGET_KEY],
        "headers": headers,
        "body": body.decode("latin-1"),
    }


def build_application(state: RunnerState) -> falcon.App:
    """Return the stand-in's WSGI application."""
    application = make_application()
    harness = Harness(state)
    application.add_route("/standin/faults", harness, suffix="faults")
    application.add_route("/standin/limit", harness, suffix="limit")
    application.add_route("/standin/leaving", harness, suffix="leaving")
    application.add_route("/standin/room", harness, suffix="room")
    application.add_route("/standin/stats", harness, suffix="stats")
    application.add_sink(Requests(state), prefix=r"/(?P<path>.*)")
    return application


def serve_runner(settings: RunnerSettings) -> None:
    """Serve the stand-in until the process receives a stop signal."""
    serve_until_stopped(build_application(RunnerState(settings)), settings.listen)
