"""Status and metrics of the daemon, served only on the control address."""

from collections.abc import Callable
from typing import Any

import falcon

from hemlockswitch.connection.status_page import METRICS_TYPE, StatusPage


class StatusResource:
    """The daemon's state as JSON."""

    def __init__(self, page: StatusPage) -> None:
        self._page = page

    def on_get(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Answer ``GET /status``."""
        resp.media = self._page.describe()


class MetricsResource:
    """The metrics as Prometheus text."""

    def __init__(self, render: Callable[[], bytes]) -> None:
        self._render = render

    def on_get(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Answer ``GET /metrics``."""
        resp.content_type = METRICS_TYPE
        resp.data = self._render()


def build_control_application(status: StatusPage, render_metrics: Callable[[], bytes]) -> Any:
    """Return the WSGI application of the control address."""
    app: falcon.App = falcon.App()
    app.add_route("/status", StatusResource(status))
    app.add_route("/metrics", MetricsResource(render_metrics))
    return app
