"""The daemon's own pages, on the control address alone: metrics and status."""

from collections.abc import Callable
from typing import Any

import falcon

METRICS_TYPE = "text/plain; version=0.0.4; charset=utf-8"

StatusPart = Callable[[], Any]


class StatusPage:
    """The daemon's state as JSON, put together from one part for each area.

    Examples
    ========

    >>> page = StatusPage()
    >>> page.add("revision", lambda: 7)
    >>> page.describe()
    {'revision': 7}
    """

    def __init__(self) -> None:
        self._parts: dict[str, StatusPart] = {}

    def add(self, name: str, part: StatusPart) -> None:
        """Show the JSON-ready result of `part` under `name`; never a secret."""
        self._parts[name] = part

    def describe(self) -> dict[str, Any]:
        """Return all parts as they are now."""
        return {name: part() for name, part in self._parts.items()}

    def on_get(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Answer ``GET /status``."""
        resp.media = self.describe()


class MetricsPage:
    """The metrics as Prometheus text."""

    def __init__(self, render: Callable[[], bytes]) -> None:
        self._render = render

    def on_get(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Answer ``GET /metrics``."""
        resp.content_type = METRICS_TYPE
        resp.data = self._render()


class ReadyPage:
    """Whether the daemon takes new callers."""

    def __init__(self, is_ready: Callable[[], bool]) -> None:
        self._is_ready = is_ready

    def on_get(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Answer 200 or 503."""
        resp.status = falcon.HTTP_200 if self._is_ready() else falcon.HTTP_503


def build_ready_application(path: str, is_ready: Callable[[], bool]) -> Any:
    """Return the WSGI application that a balancer asks."""
    app: falcon.App = falcon.App()
    app.add_route(path, ReadyPage(is_ready))
    return app


def build_control_application(status: StatusPage, render_metrics: Callable[[], bytes]) -> Any:
    """Return the WSGI application of the control address."""
    app: falcon.App = falcon.App()
    app.add_route("/status", status)
    app.add_route("/metrics", MetricsPage(render_metrics))
    return app
