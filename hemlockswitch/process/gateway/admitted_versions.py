"""The versions of a service's servers that may get requests while no rollout order is open."""

from collections import defaultdict
from collections.abc import Callable

from hemlockswitch.core.clock import Clock
from hemlockswitch.core.events import Event
from hemlockswitch.core.logs import log_event
from hemlockswitch.version.backend import BackendServer

MIN_REFRESH_INTERVAL_MS = 1_000.0
"""Minimum time between two lists of the rollout orders because of a version that no order names."""


class AdmittedVersions:
    """The versions that may get requests without a rollout order, by service.

    Explanation
    ===========

    The versions present when a service is first selected for are in force. A version that appears later
    may belong to an order that has not been received yet, so it gets requests only after the orders have
    been listed once more, by a call that began after the version appeared.

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

    def record_listed(self, requested_ms: float) -> None:
        """Record a list of all rollout orders that was requested at a time of this process's clock."""
        self._listed_ms = max(self._listed_ms, requested_ms)

    def put_in_force(self, service: str, version: str) -> None:
        """Record that a service has moved to a version."""
        self._in_force.setdefault(service, set()).add(version)

    def withhold(self, service: str, version: str) -> None:
        """Exclude a version whose rollout order ended without a verdict."""
        self._withheld[service].add(version)

    def release(self, service: str, version: str) -> None:
        """Admit a withheld version that is ordered again."""
        self._withheld[service].discard(version)

    def is_withheld(self, server: BackendServer) -> bool:
        """Return whether a server's version is withheld."""
        return server.version in self._withheld.get(server.serves, ())

    def select(self, service: str, servers: list[BackendServer]) -> list[BackendServer]:
        """Return the servers of the versions in force; all that are not withheld if there are none."""
        versions = {server.version for server in servers}
        in_force = self._in_force.setdefault(service, versions)
        withheld = self._withheld.get(service, ())
        if versions <= in_force and not withheld:
            return servers
        for version in versions - in_force - set(withheld):
            self._admit_if_listed(service, version)
        allowed = [one for one in servers if one.version not in withheld]
        return [one for one in allowed if one.version in in_force] or allowed

    def _admit_if_listed(self, service: str, version: str) -> None:
        """Put a version in force if the orders have been listed since it was first seen.

        Otherwise request another list, at most every `MIN_REFRESH_INTERVAL_MS`.
        """
        now_ms = self._clock.now_ms()
        since_ms = self._unknown_since_ms.get((service, version))
        if since_ms is None:
            self._unknown_since_ms[service, version] = now_ms
            log_event(Event.ROLLOUT_VERSION_UNKNOWN, service=service, version=version)
        elif self._listed_ms > since_ms:
            self._in_force[service].add(version)
            return
        if now_ms - self._refreshed_ms >= MIN_REFRESH_INTERVAL_MS:
            self._refreshed_ms = now_ms
            self.request_refresh()
