"""Platform stand-in: object service, VM list and cloud API of docs/reference/protocols.md."""

from collections.abc import Mapping
from typing import Any

import falcon
from pydantic import ValidationError

from hemlockswitch.standin.platform_api import (
    KindResource,
    NoticeResource,
    ObjectResource,
    StartResource,
    StopResource,
    VmListResource,
    WatchResource,
)
from hemlockswitch.standin.platform_harness import HarnessResource
from hemlockswitch.standin.platform_state import PlatformSettings, PlatformState
from hemlockswitch.standin.server import make_application, serve_until_stopped


def _refuse_bad_call(
    req: falcon.Request, resp: falcon.Response, error: Exception, params: dict[str, Any]
) -> None:
    raise falcon.HTTPBadRequest(title="bad call", description=str(error))


def build_application(state: PlatformState) -> falcon.App:
    """Return the stand-in's WSGI application."""
    app = make_application()
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


def serve_platform(settings: Mapping[str, Any]) -> None:
    """Serve the platform stand-in until the process receives a stop signal.

    Parameters
    ==========

    settings : JSON object of the settings file, with the fields of `PlatformSettings`.
    """
    checked = PlatformSettings.model_validate(settings)
    serve_until_stopped(build_application(PlatformState(checked)), checked.listen)
