"""The platform stand-in: object service, VM list and cloud API of docs/reference/protocols.md."""

import contextlib
import json
import signal
import socket
from collections.abc import Mapping
from dataclasses import asdict
from typing import Any

import falcon
import gevent
from gevent.pywsgi import WSGIHandler, WSGIServer
from pydantic import BaseModel, ConfigDict, Field, ValidationError

from hemlockswitch.standin.platform_faults import (
    CallCounts,
    FaultOrder,
    RateLimit,
    ServiceFaults,
    wait_ms,
)
from hemlockswitch.standin.platform_objects import MAX_VALUE_BYTES, ObjectStore, WriteResult
from hemlockswitch.standin.platform_vms import StandinVm, StartRequest, VmRegistry, render_vm
from hemlockswitch.standin.server import print_ready

SOCKET_KEY = "standin.socket"
SILENCE_MS = 120_000
MAX_WAIT_MS = 60_000
NO_CAPACITY_RETRY_MS = 1_000


class PlatformSettings(BaseModel):
    """Settings of the platform stand-in.

    Parameters
    ==========

    writes_per_s, reads_per_s : rates of the object service; over them a call gets 429.
    answer_ms : the time each call of the object service takes at least.
    vm_list_lag_ms : how old the VM list is.
    start_ms : how long a started VM stays ``starting``.
    """

    model_config = ConfigDict(extra="forbid")

    name: str = "platform"
    listen: str = "127.0.0.1:0"
    log_level: str = "info"
    writes_per_s: float = Field(default=400, gt=0)
    reads_per_s: float = Field(default=2_000, gt=0)
    answer_ms: float = Field(default=0, ge=0)
    vm_list_lag_ms: float = Field(default=0, ge=0)
    start_ms: float = Field(default=200, ge=0)


class LostAnswerError(Exception):
    """The connection is to be closed without an answer."""


class PlatformState:
    """Everything the stand-in holds."""

    def __init__(self, settings: PlatformSettings) -> None:
        self.settings = settings
        self.objects = ObjectStore()
        self.vms = VmRegistry()
        self.object_faults = ServiceFaults()
        self.cloud_faults = ServiceFaults()
        self.vm_list_lag_ms = settings.vm_list_lag_ms
        self.counts = CallCounts()
        self.write_limit = RateLimit(settings.writes_per_s)
        self.read_limit = RateLimit(settings.reads_per_s)

    def begin_call(self, req: falcon.Request, call: str, faults: ServiceFaults) -> None:
        """Count a call and apply its service's faults to it."""
        role = req.get_header("X-Role") or "none"
        daemon = req.get_header("X-Daemon") or "none"
        self.counts.count(role, daemon, call)
        if faults.mode == "silent":
            wait_ms(SILENCE_MS)
        if faults.mode in ("silent", "refused"):
            raise LostAnswerError
        wait_ms(faults.delay_ms)
        if faults.mode == "down":
            raise falcon.HTTPServiceUnavailable(title="platform is down")

    def begin_object_call(self, req: falcon.Request, call: str) -> None:
        """Begin a call of the object service, within its rate."""
        self.begin_call(req, call, self.object_faults)
        wait_ms(self.settings.answer_ms)
        limit = self.write_limit if call in ("write", "delete") else self.read_limit
        if not limit.take():
            self.counts.over_rate += 1
            raise falcon.HTTPTooManyRequests(title="over the rate", retry_after=1)


def _read_body(req: falcon.Request) -> bytes:
    """Return the body, refusing one over the value size before it is read."""
    if (req.content_length or 0) > MAX_VALUE_BYTES:
        raise falcon.HTTPContentTooLarge(title="over 1,048,576 bytes")
    return req.bounded_stream.read()


def _read_json(req: falcon.Request) -> Any:
    """Return the decoded body."""
    try:
        return json.loads(_read_body(req) or b"{}")
    except ValueError as error:
        raise falcon.HTTPBadRequest(title="not JSON") from error


def _get_expected_version(req: falcon.Request) -> int | None:
    """Return the version that the write's condition names; 0 for absent, None for no condition."""
    if req.get_header("If-None-Match") == "*":
        return 0
    match = req.get_header("If-Match")
    return None if match is None else int(match.strip('"'))


def _answer_json(resp: falcon.Response, body: Any, status: int = 200) -> None:
    resp.status = status
    resp.content_type = "application/json"
    resp.data = json.dumps(body).encode()


def _answer_items(resp: falcon.Response, items: list[Any], version: int) -> None:
    resp.content_type = "application/json"
    rendered = b", ".join(item.render() for item in items)
    resp.data = b'{"items": [' + rendered + b'], "version": ' + str(version).encode() + b"}"


def _get_wait_ms(req: falcon.Request) -> float:
    return min(req.get_param_as_float("wait_ms", default=0.0), MAX_WAIT_MS)


class ObjectResource:
    """``/objects/{kind}/{name}``."""

    def __init__(self, state: PlatformState) -> None:
        self._state = state

    def on_get(self, req: falcon.Request, resp: falcon.Response, kind: str, name: str) -> None:
        """Answer one object."""
        self._state.begin_object_call(req, "read")
        found = self._state.objects.find(kind, name, self._state.object_faults.versions_back)
        if found is None:
            raise falcon.HTTPNotFound
        resp.content_type = "application/json"
        resp.data = found.render()

    def on_put(self, req: falcon.Request, resp: falcon.Response, kind: str, name: str) -> None:
        """Write one object under its condition."""
        body = _read_body(req)
        self._state.begin_object_call(req, "write")
        try:
            json.loads(body)
        except ValueError as error:
            raise falcon.HTTPBadRequest(title="the value is not JSON") from error
        self._state.counts.written_bytes += len(body)
        expected = _get_expected_version(req)
        self._finish(resp, kind, self._state.objects.write(kind, name, body, expected))

    def on_delete(self, req: falcon.Request, resp: falcon.Response, kind: str, name: str) -> None:
        """Delete one object under its condition."""
        self._state.begin_object_call(req, "delete")
        expected = _get_expected_version(req)
        self._finish(resp, kind, self._state.objects.write(kind, name, None, expected))

    def _finish(self, resp: falcon.Response, kind: str, result: WriteResult) -> None:
        counts = self._state.counts
        if result.status == 200:
            counts.writes_by_kind[kind] += 1
        if result.status == 412:
            counts.conflicts_by_kind[kind] += 1
        if result.status == 200 and self._state.object_faults.take_lost_answer(kind):
            counts.lost_answers += 1
            raise LostAnswerError
        _answer_json(resp, {"version": result.version}, result.status)


class KindResource:
    """``/objects/{kind}``."""

    def __init__(self, state: PlatformState) -> None:
        self._state = state

    def on_get(self, req: falcon.Request, resp: falcon.Response, kind: str) -> None:
        """Answer the objects of a kind."""
        self._state.begin_object_call(req, "list")
        back = self._state.object_faults.versions_back
        items = self._state.objects.list_objects(kind, req.get_param("prefix") or "", back)
        _answer_items(resp, items, self._state.objects.version)


class WatchResource:
    """``/watch/{kind}``."""

    def __init__(self, state: PlatformState) -> None:
        self._state = state

    def on_get(self, req: falcon.Request, resp: falcon.Response, kind: str) -> None:
        """Answer what changed, waiting for the first change."""
        self._state.begin_object_call(req, "watch")
        since = req.get_param_as_int("since", default=0)
        prefix = req.get_param("prefix") or ""
        items = self._state.objects.watch(kind, prefix, since, _get_wait_ms(req))
        if self._state.object_faults.mode != "up":
            raise LostAnswerError
        _answer_items(resp, items, self._state.objects.version)


class VmListResource:
    """``/vms``."""

    def __init__(self, state: PlatformState) -> None:
        self._state = state

    def on_get(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Answer the lagging list."""
        state = self._state
        state.begin_call(req, "vm_list", state.cloud_faults)
        listed = state.vms.list_vms(req.get_param("zone"), state.vm_list_lag_ms)
        version = max((vm.version for vm in listed), default=0)
        _answer_json(resp, {"version": version, "vms": [render_vm(vm) for vm in listed]})


class NoticeResource:
    """``/cloud/notices``."""

    def __init__(self, state: PlatformState) -> None:
        self._state = state

    def on_get(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Answer reclaim notices, waiting for the first."""
        state = self._state
        state.begin_call(req, "notices", state.cloud_faults)
        since = req.get_param_as_int("since", default=0)
        notices = state.vms.watch_notices(req.get_param("zone"), since, _get_wait_ms(req))
        if state.cloud_faults.mode != "up":
            raise LostAnswerError
        number = max((notice.number for notice in notices), default=since)
        body = {"notices": [asdict(notice) for notice in notices], "number": number}
        _answer_json(resp, body)


class StartResource:
    """``/cloud/vms``."""

    def __init__(self, state: PlatformState) -> None:
        self._state = state

    def on_post(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Start a VM from the spare pool, or refuse."""
        state = self._state
        request = StartRequest(**_read_json(req))
        state.begin_call(req, "start", state.cloud_faults)
        refused = state.cloud_faults.take_refused_start(request.zone, request.machine_class)
        state.vms.counts.refused_starts += int(refused)
        started = None if refused else state.vms.start(request, state.settings.start_ms)
        if started is None:
            body = {"error": "no_capacity", "retry_after_ms": NO_CAPACITY_RETRY_MS}
            _answer_json(resp, body, 503)
            return
        if state.cloud_faults.take_lost_answer("start"):
            raise LostAnswerError
        _answer_json(resp, render_vm(started), 201)


class StopResource:
    """``/cloud/vms/{name}``."""

    def __init__(self, state: PlatformState) -> None:
        self._state = state

    def on_delete(self, req: falcon.Request, resp: falcon.Response, name: str) -> None:
        """Stop a VM; twice is one stop."""
        state = self._state
        state.begin_call(req, "stop", state.cloud_faults)
        if not state.vms.stop(name):
            raise falcon.HTTPNotFound
        if state.cloud_faults.take_lost_answer("stop"):
            raise LostAnswerError
        _answer_json(resp, {"name": name})


class HarnessResource:
    """The stand-in's own calls under ``/standin``; no fault touches them."""

    def __init__(self, state: PlatformState) -> None:
        self._state = state

    def on_get_stats(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Answer the judge's counts."""
        _answer_json(
            resp,
            {
                "calls": self._state.counts.render(),
                "cloud": vars(self._state.vms.counts),
                "version": self._state.objects.version,
                "vms": [render_vm(vm) for vm in self._state.vms.list_vms(None, lag_ms=0)],
            },
        )

    def on_post_reset(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Begin the call counts anew."""
        self._state.counts = CallCounts()
        _answer_json(resp, {})

    def on_post_faults(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Set faults."""
        order = FaultOrder.model_validate(_read_json(req))
        if order.objects is not None:
            self._state.object_faults = order.objects
        if order.cloud is not None:
            self._state.cloud_faults = order.cloud
        if order.vm_list_lag_ms is not None:
            self._state.vm_list_lag_ms = order.vm_list_lag_ms
        _answer_json(resp, order.model_dump(mode="json"))

    def on_post_vms(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Register VMs: ``{"vms": [...]}`` or one VM; state ``spare`` puts it in the pool."""
        body = _read_json(req)
        listed = body.get("vms", [body])
        registered = [self._state.vms.register(StandinVm.from_json(vm)) for vm in listed]
        _answer_json(resp, {"vms": [render_vm(vm) for vm in registered]}, 201)

    def on_delete_vm(self, req: falcon.Request, resp: falcon.Response, name: str) -> None:
        """End a VM without notice."""
        if not self._state.vms.end(name):
            raise falcon.HTTPNotFound
        _answer_json(resp, {"name": name})

    def on_post_reclaim(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Reclaim ``vms`` or a whole ``zone`` after ``notice_ms``."""
        body = _read_json(req)
        notices = self._state.vms.reclaim(
            body.get("vms", []),
            body.get("zone"),
            body.get("notice_ms", 5_000),
            body.get("copies", 1),
        )
        _answer_json(resp, {"notices": [asdict(notice) for notice in notices]})

    def on_get_objects(self, req: falcon.Request, resp: falcon.Response, kind: str) -> None:
        """Answer the true objects of a kind, past all faults."""
        items = self._state.objects.list_objects(kind, req.get_param("prefix") or "")
        _answer_items(resp, items, self._state.objects.version)


class _ConnectionHandler(WSGIHandler):
    """Answers at once and lets a call close its own connection unanswered.

    Without TCP_NODELAY the server's two writes for an answer cost 40 ms of delayed
    acknowledgement.
    """

    def handle(self) -> None:
        """Serve one connection."""
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        super().handle()

    def get_environ(self) -> dict[str, Any]:
        """Return the call's environment with its socket."""
        environ = super().get_environ()
        environ[SOCKET_KEY] = self.socket
        return environ

    def handle_error(self, kind: Any, value: Any, trace: Any) -> None:
        """Stay quiet about connections that this stand-in or its caller cut."""
        if not isinstance(value, OSError):
            super().handle_error(kind, value, trace)


def _close_unanswered(
    req: falcon.Request, resp: falcon.Response, error: Exception, params: dict[str, Any]
) -> None:
    with contextlib.suppress(OSError):
        req.env[SOCKET_KEY].shutdown(socket.SHUT_RDWR)
    resp.status = 503


def _refuse_bad_call(
    req: falcon.Request, resp: falcon.Response, error: Exception, params: dict[str, Any]
) -> None:
    raise falcon.HTTPBadRequest(title="bad call", description=str(error))


def build_app(state: PlatformState) -> falcon.App:
    """Return the stand-in's WSGI application."""
    app = falcon.App()
    app.add_error_handler(LostAnswerError, _close_unanswered)
    app.add_error_handler((ValidationError, TypeError, KeyError), _refuse_bad_call)
    app.add_route("/objects/{kind}/{name}", ObjectResource(state))
    app.add_route("/objects/{kind}", KindResource(state))
    app.add_route("/watch/{kind}", WatchResource(state))
    app.add_route("/vms", VmListResource(state))
    app.add_route("/cloud/notices", NoticeResource(state))
    app.add_route("/cloud/vms", StartResource(state))
    app.add_route("/cloud/vms/{name}", StopResource(state))
    harness = HarnessResource(state)
    app.add_route("/standin/stats", harness, suffix="stats")
    app.add_route("/standin/stats/reset", harness, suffix="reset")
    app.add_route("/standin/faults", harness, suffix="faults")
    app.add_route("/standin/vms", harness, suffix="vms")
    app.add_route("/standin/vms/{name}", harness, suffix="vm")
    app.add_route("/standin/reclaim", harness, suffix="reclaim")
    app.add_route("/standin/objects/{kind}", harness, suffix="objects")
    return app


def serve_app(app: falcon.App, listen: str) -> WSGIServer:
    """Return a started server; its `server_port` is the port it got."""
    host, _, port = listen.rpartition(":")
    server = WSGIServer((host, int(port)), app, handler_class=_ConnectionHandler, log=None)
    server.start()
    return server


def serve_platform(settings: Mapping[str, Any]) -> None:
    """Serve the platform stand-in until SIGTERM.

    Explanation
    ===========

    Prints the ready line with its address, ``http``, once it listens.

    Parameters
    ==========

    settings : the settings file's JSON object, fields of `PlatformSettings`.
    """
    checked = PlatformSettings.model_validate(settings)
    server = serve_app(build_app(PlatformState(checked)), checked.listen)
    address = f"{server.server_host}:{server.server_port}"
    gevent.signal_handler(signal.SIGTERM, server.stop)
    print_ready({"http": address})
    server.serve_forever()
