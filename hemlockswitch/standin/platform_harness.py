"""Control calls of the platform stand-in, under ``/standin``."""

from dataclasses import asdict

import falcon

from hemlockswitch.standin.platform_faults import CallCounts, FaultOrder
from hemlockswitch.standin.platform_state import PlatformState, answer_items, answer_json, read_json
from hemlockswitch.standin.platform_vms import StandinVm, render_vm


class HarnessResource:
    """Control calls under ``/standin``; faults do not apply to them."""

    def __init__(self, state: PlatformState) -> None:
        self._state = state

    def on_get_stats(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Answer the counts and VMs that tests check."""
        answer_json(
            resp,
            {
                "calls": self._state.counts.render(),
                "cloud": vars(self._state.vms.counts),
                "version": self._state.objects.version,
                "vms": [render_vm(vm) for vm in self._state.vms.list_vms(None, lag_ms=0)],
            },
        )

    def on_post_reset(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Reset the call counts."""
        self._state.counts = CallCounts()
        answer_json(resp, {})

    def on_post_faults(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Replace the faults of the services in the body."""
        order = FaultOrder.model_validate(read_json(req))
        if order.objects is not None:
            self._state.object_faults = order.objects
        if order.cloud is not None:
            self._state.cloud_faults = order.cloud
        if order.vm_list_lag_ms is not None:
            self._state.vm_list_lag_ms = order.vm_list_lag_ms
        answer_json(resp, order.model_dump(mode="json"))

    def on_post_vms(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Register VMs: ``{"vms": [...]}`` or one VM; those in state ``spare`` join the pool."""
        body = read_json(req)
        listed = body.get("vms", [body])
        registered = [self._state.vms.register(StandinVm.from_json(vm)) for vm in listed]
        answer_json(resp, {"vms": [render_vm(vm) for vm in registered]}, 201)

    def on_delete_vm(self, req: falcon.Request, resp: falcon.Response, name: str) -> None:
        """Terminate a VM without notice."""
        if not self._state.vms.terminate(name):
            raise falcon.HTTPNotFound
        answer_json(resp, {"name": name})

    def on_post_reclaim(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Reclaim ``vms`` or a whole ``zone`` after ``notice_ms``."""
        body = read_json(req)
        notices = self._state.vms.reclaim(
            body.get("vms", []),
            body.get("zone"),
            body.get("notice_ms", 5_000),
            body.get("copies", 1),
        )
        answer_json(resp, {"notices": [asdict(notice) for notice in notices]})

    def on_get_objects(self, req: falcon.Request, resp: falcon.Response, kind: str) -> None:
        """Answer the current objects of a kind; faults do not apply."""
        items = self._state.objects.list_objects(kind, req.get_param("prefix") or "")
        answer_items(resp, items, self._state.objects.version)
