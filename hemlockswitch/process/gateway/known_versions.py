"""Which versions of a service's servers are in force while no order is open."""

from collections import defaultdict
from collections.abc import Callable

from hemlockswitch.core.clock import Clock
from hemlockswitch.core.events import Event
from hemlockswitch.core.logs import log_event
from hemlockswitch.version.backend import BackendServer

REFRESH_MS = 1_000.0
"""Least time between two lists of the orders for a version that none of them names."""


class KnownVersions:
    """The versions that may get requests without an order, by service.

    Explanation
    ===========

    The versions that are listed when a service is first asked for are in force. One that comes later
    may be that of an order which is not known here yet: it waits until the orders were listed since.

    Parameters
    ==========

    clock : the time.
    """

    def __init__(self, clock: Clock) -> None:
        self.request_refresh: Callable[[], None] = lambda: None
        self._clock = clock
        self._in_force: dict[str, set[str]] = {}
        self._withheld: dict[str, set[str]] = defaultdict(set)
        self._unknown_since_ms: dict[tuple[str, str], float] = {}
        self._listed_ms = float("-inf")
        self._refreshed_ms = float("-inf")

    def note_listed(self) -> None:
        """All orders were listed now."""
        self._listed_ms = self._clock.now_ms()

    def put_in_force(self, service: str, version: str) -> None:
        """A service has moved to a version."""
        self._in_force.setdefault(service, set()).add(version)

    def withhold(self, service: str, version: str) -> None:
        """The order for a version has ended without a verdict."""
        self._withheld[service].add(version)

    def release(self, service: str, version: str) -> None:
        """A version that was withheld is ordered again."""
        self._withheld[service].discard(version)

    def is_withheld(self, server: BackendServer) -> bool:
        """Return whether a server's version is withheld."""
        return server.version in self._withheld.get(server.serves, ())

    def select(self, service: str, servers: list[BackendServer]) -> list[BackendServer]:
        """Return the servers of versions that are in force as far as is known."""
        versions = {server.version for server in servers}
        known = self._in_force.setdefault(service, versions)
        withheld = self._withheld.get(service, ())
        if versions <= known and not withheld:
            return servers
        for version in versions - known - set(withheld):
            self._look_up(service, version)
        allowed = [one for one in servers if one.version not in withheld]
        return [one for one in allowed if one.version in known] or allowed

    def _look_up(self, service: str, version: str) -> None:
        """Take a version as in force once the orders were listed since it was first seen."""
        now_ms = self._clock.now_ms()
        since_ms = self._unknown_since_ms.get((service, version))
        if since_ms is None:
            self._unknown_since_ms[service, version] = now_ms
            log_event(Event.ROLLOUT_VERSION_UNKNOWN, service=service, version=version)
        elif self._listed_ms > since_ms:
            self._in_force[service].add(version)
            return
        if now_ms - self._refreshed_ms >= REFRESH_MS:
            self._refreshed_ms = now_ms
            self.request_refresh()
