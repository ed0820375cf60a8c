"""Small HTTP pages for a load balancer or for monitoring.

They are served by `ForwardServer`, so that a gateway does not load a second HTTP server for a page
that may never be requested.
"""

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from http import HTTPStatus

from hemlockswitch.connection.forward_server import ForwardServer
from hemlockswitch.connection.heads import ReceivedRequest
from hemlockswitch.connection.replies import Reply
from hemlockswitch.core.clock import Clock
from hemlockswitch.version.serving_table import CallerLimits

READ_METHODS = frozenset({"GET", "HEAD"})
JSON_TYPE = "application/json"


@dataclass(frozen=True)
class Page:
    """The current content of a page."""

    body: bytes = b""
    content_type: str = JSON_TYPE
    status: HTTPStatus = HTTPStatus.OK


PageBuilder = Callable[[], Page]


class PageServer:
    """Listens on one address and serves pages by their path.

    Parameters
    ==========

    address : host and port; port 0 selects a free one.
    pages : functions that build the pages, by path.
    clock : the clock for the reception times of requests.
    """

    def __init__(
        self, address: tuple[str, int], pages: Mapping[str, PageBuilder], clock: Clock
    ) -> None:
        self._pages = pages
        bounds = CallerLimits()
        self._server = ForwardServer(address, self._answer, lambda: bounds, clock)

    def start(self) -> str:
        """Start to listen; return the bound address."""
        return self._server.start()

    def stop(self) -> None:
        """Stop listening and close the idle connections."""
        self._server.stop_accepting()

    def _answer(self, request: ReceivedRequest, reply: Reply) -> None:
        page = self._find(request)
        headers = [("Content-Type", page.content_type)]
        reply.send(page.status, page.status.phrase, headers, page.body)

    def _find(self, request: ReceivedRequest) -> Page:
        build = self._pages.get(request.path)
        if build is None:
            return Page(status=HTTPStatus.NOT_FOUND)
        if request.method not in READ_METHODS:
            return Page(status=HTTPStatus.METHOD_NOT_ALLOWED)
        return build()
