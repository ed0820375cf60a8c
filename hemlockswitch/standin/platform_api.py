"""Calls of the platform stand-in, as in docs/reference/protocols.md."""

import json
from dataclasses import asdict

import falcon

from hemlockswitch.standin.platform_objects import WriteResult
from hemlockswitch.standin.platform_state import (
    PlatformState,
    answer_items,
    answer_json,
    get_expected_version,
    get_wait_ms,
    read_body,
    read_json,
)
from hemlockswitch.standin.platform_vms import StartRequest, render_vm
from hemlockswitch.standin.server import SOCKET_KEY, cut_connection

NO_CAPACITY_RETRY_MS = 1_000


class ObjectResource:
    """``/objects/{kind}/{name}``."""

    def __init__(self, state: PlatformState) -> None:
        self._state = state

    def on_get(self, req: falcon.Request, resp: falcon.Response, kind: str, name: str) -> None:
        """Answer an object."""
        self._state.begin_object_call(req, "read")
        found = self._state.objects.find(kind, name, self._state.object_faults.versions_back)
        if found is None:
            raise falcon.HTTPNotFound
        resp.content_type = "application/json"
        resp.data = found.render()

    def on_put(self, req: falcon.Request, resp: falcon.Response, kind: str, name: str) -> None:
        """Write an object if the version condition of the call holds."""
        body = read_body(req)
        self._state.begin_object_call(req, "write")
        try:
            json.loads(body)
        except ValueError as error:
            raise falcon.HTTPBadRequest(title="the value is not JSON") from error
        self._state.counts.written_bytes += len(body)
        expected = get_expected_version(req)
        self._finish(req, resp, kind, self._state.objects.write(kind, name, body, expected))

    def on_delete(self, req: falcon.Request, resp: falcon.Response, kind: str, name: str) -> None:
        """Delete an object if the version condition of the call holds."""
        self._state.begin_object_call(req, "delete")
        expected = get_expected_version(req)
        self._finish(req, resp, kind, self._state.objects.write(kind, name, None, expected))

    def _finish(
        self, req: falcon.Request, resp: falcon.Response, kind: str, result: WriteResult
    ) -> None:
        counts = self._state.counts
        if result.status == 200:
            counts.writes_by_kind[kind] += 1
        if result.status == 412:
            counts.conflicts_by_kind[kind] += 1
        if result.status == 200 and self._state.object_faults.take_lost_answer(kind):
            counts.lost_answers += 1
            cut_connection(req.env[SOCKET_KEY])
        answer_json(resp, {"version": result.version}, result.status)


class KindResource:
    """``/objects/{kind}``."""

    def __init__(self, state: PlatformState) -> None:
        self._state = state

    def on_get(self, req: falcon.Request, resp: falcon.Response, kind: str) -> None:
        """Answer the objects of a kind."""
        self._state.begin_object_call(req, "list")
        back = self._state.object_faults.versions_back
        items = self._state.objects.list_objects(kind, req.get_param("prefix") or "", back)
        answer_items(resp, items, self._state.objects.version)


class WatchResource:
    """``/watch/{kind}``."""

    def __init__(self, state: PlatformState) -> None:
        self._state = state

    def on_get(self, req: falcon.Request, resp: falcon.Response, kind: str) -> None:
        """Answer the objects changed since a version, waiting for the first change."""
        self._state.begin_object_call(req, "watch")
        since = req.get_param_as_int("since", default=0)
        prefix = req.get_param("prefix") or ""
        items = self._state.objects.watch(kind, prefix, since, get_wait_ms(req))
        if self._state.object_faults.mode != "up":
            cut_connection(req.env[SOCKET_KEY])
        answer_items(resp, items, self._state.objects.version)


class VmListResource:
    """``/vms``."""

    def __init__(self, state: PlatformState) -> None:
        self._state = state

    def on_get(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Answer the VM list, which lags behind by the configured time."""
        state = self._state
        state.begin_call(req, "vm_list", state.cloud_faults)
        listed = state.vms.list_vms(req.get_param("zone"), state.vm_list_lag_ms)
        version = max((vm.version for vm in listed), default=0)
        answer_json(resp, {"version": version, "vms": [render_vm(vm) for vm in listed]})


class NoticeResource:
    """``/cloud/notices``."""

    def __init__(self, state: PlatformState) -> None:
        self._state = state

    def on_get(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Answer the reclaim notices after a number, waiting for the first."""
        state = self._state
        state.begin_call(req, "notices", state.cloud_faults)
        since = req.get_param_as_int("since", default=0)
        notices = state.vms.watch_notices(req.get_param("zone"), since, get_wait_ms(req))
        if state.cloud_faults.mode != "up":
            cut_connection(req.env[SOCKET_KEY])
        number = max((notice.number for notice in notices), default=since)
        body = {"notices": [asdict(notice) for notice in notices], "number": number}
        answer_json(resp, body)


class StartResource:
    """``/cloud/vms``."""

    def __init__(self, state: PlatformState) -> None:
        self._state = state

    def on_post(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Start a VM from the spare pool; answer 503 if there is none or the start is refused."""
        state = self._state
        request = StartRequest(**read_json(req))
        state.begin_call(req, "start", state.cloud_faults)
        refused = state.cloud_faults.take_refused_start(request.zone, request.machine_class)
        state.vms.counts.refused_starts += int(refused)
        started = None if refused else state.vms.start(request, state.settings.start_ms)
        if started is None:
            body = {"error": "no_capacity", "retry_after_ms": NO_CAPACITY_RETRY_MS}
            answer_json(resp, body, 503)
            return
        if state.cloud_faults.take_lost_answer("start"):
            cut_connection(req.env[SOCKET_KEY])
        answer_json(resp, render_vm(started), 201)


class StopResource:
    """``/cloud/vms/{name}``."""

    def __init__(self, state: PlatformState) -> None:
        self._state = state

    def on_delete(self, req: falcon.Request, resp: falcon.Response, name: str) -> None:
        """Stop a VM; stopping a stopped VM succeeds and has no effect."""
        state = self._state
        state.begin_call(req, "stop", state.cloud_faults)
        if not state.vms.stop(name):
            raise falcon.HTTPNotFound
        if state.cloud_faults.take_lost_answer("stop"):
            cut_connection(req.env[SOCKET_KEY])
        answer_json(resp, {"name": name})
