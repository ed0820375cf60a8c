"""Fault-injecting TCP proxy: named links and the HTTP API that controls them."""

from typing import Any

import falcon
from pydantic import BaseModel, ConfigDict

from hemlockswitch.core.clock import Clock, SystemClock
from hemlockswitch.standin.link_faults import LinkFaults
from hemlockswitch.standin.links import Link
from hemlockswitch.standin.server import (
    RefusalError,
    make_application,
    read_body,
    serve_until_stopped,
)


class LinkSettings(BaseModel):
    """A link to create; an empty target can be set later."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    name: str
    target: str = ""
    listen: str = "127.0.0.1:0"


class ProxySettings(BaseModel):
    """Settings file of a proxy."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    listen: str = "127.0.0.1:0"
    links: tuple[LinkSettings, ...] = ()


class Proxy:
    """The links of a proxy process."""

    def __init__(self, settings: ProxySettings, clock: Clock) -> None:
        self._clock = clock
        self.links: dict[str, Link] = {}
        for link in settings.links:
            self.add(link)

    def add(self, settings: LinkSettings) -> Link:
        """Create a link, or change the target of an existing link."""
        link = self.links.get(settings.name)
        if link is None:
            link = Link(settings.name, settings.listen, settings.target, self._clock)
            self.links[settings.name] = link
        link.target = settings.target
        return link

    def find(self, name: str) -> Link:
        """Return a link by name.

        Raises
        ======

        RefusalError : no link has this name.
        """
        try:
            return self.links[name]
        except KeyError:
            raise RefusalError(404, "unknown_link") from None

    def remove(self, name: str) -> None:
        """Close and remove a link."""
        self.find(name).close()
        del self.links[name]


class Links:
    """``/links``, ``/links/{name}`` and ``/links/{name}/faults``."""

    def __init__(self, proxy: Proxy) -> None:
        self._proxy = proxy

    def on_get(self, request: falcon.Request, response: falcon.Response) -> None:
        """List the links."""
        response.media = {"links": [link.describe() for link in self._proxy.links.values()]}

    def on_post(self, request: falcon.Request, response: falcon.Response) -> None:
        """Create a link, or change the target of an existing link."""
        response.media = self._proxy.add(read_body(request, LinkSettings)).describe()

    def on_get_one(self, request: falcon.Request, response: falcon.Response, name: str) -> None:
        """Describe a link."""
        response.media = self._proxy.find(name).describe()

    def on_delete_one(self, request: falcon.Request, response: falcon.Response, name: str) -> None:
        """Close and remove a link."""
        self._proxy.remove(name)
        response.media = {}

    def on_post_faults(self, request: falcon.Request, response: falcon.Response, name: str) -> None:
        """Replace the faults of a link."""
        link = self._proxy.find(name)
        link.set_faults(read_body(request, LinkFaults))
        response.media = link.describe()


def build_application(proxy: Proxy) -> Any:
    """Return the WSGI application that controls a proxy."""
    application = make_application()
    links = Links(proxy)
    application.add_route("/links", links)
    application.add_route("/links/{name}", links, suffix="one")
    application.add_route("/links/{name}/faults", links, suffix="faults")
    return application


def serve_proxy(settings: ProxySettings) -> None:
    """Serve a proxy until the process receives a stop signal."""
    proxy = Proxy(settings, SystemClock())
    serve_until_stopped(build_application(proxy), settings.listen)
