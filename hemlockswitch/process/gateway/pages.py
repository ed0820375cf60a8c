"""HTTP pages of the gateway: readiness for the balancer, status and metrics for operators."""

from collections.abc import Callable
from http import HTTPStatus

from hemlockswitch.connection.page_server import Page, PageServer
from hemlockswitch.connection.status_page import METRICS_TYPE, StatusPage
from hemlockswitch.connection.stored_objects import encode_value
from hemlockswitch.core.addresses import split_address
from hemlockswitch.core.clock import Clock
from hemlockswitch.version.gateway_settings import GatewaySettings


class GatewayPages:
    """Serves the pages on the readiness address and the control address of the settings.

    Parameters
    ==========

    is_ready : returns whether new callers can be served.
    status : the status page.
    render_metrics : returns the metrics as Prometheus text.
    clock : source of the current time.
    """

    def __init__(
        self,
        settings: GatewaySettings,
        is_ready: Callable[[], bool],
        status: StatusPage,
        render_metrics: Callable[[], bytes],
        clock: Clock,
    ) -> None:
        self._is_ready = is_ready
        self._status = status
        self._render_metrics = render_metrics
        self._ready_server = PageServer(
            split_address(settings.ready_listen),
            {settings.ready_path: self._build_ready_page},
            clock,
        )
        self._control_server = PageServer(
            split_address(settings.control_listen),
            {"/status": self._build_status_page, "/metrics": self._build_metrics_page},
            clock,
        )

    def start(self) -> dict[str, str]:
        """Start to listen, and return the bound addresses."""
        return {"ready": self._ready_server.start(), "control": self._control_server.start()}

    def stop(self) -> None:
        """Stop listening."""
        self._ready_server.stop()
        self._control_server.stop()

    def _build_ready_page(self) -> Page:
        status = HTTPStatus.OK if self._is_ready() else HTTPStatus.SERVICE_UNAVAILABLE
        return Page(status=status)

    def _build_status_page(self) -> Page:
        return Page(encode_value(self._status.describe()))

    def _build_metrics_page(self) -> Page:
        return Page(self._render_metrics(), METRICS_TYPE)
