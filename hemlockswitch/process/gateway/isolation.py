"""Detection of a gateway that has lost its own links to the backend servers.

A connection that cannot be opened says little: the server, its zone or this gateway's own links may have
failed. Servers in several zones that fail one after the other, without a single connection that opens in
between, show that the own links have. After a first failure other servers are therefore tried as a control.
A wrong verdict is cheap: requests take a detour over other gateways until the next connection opens.
"""

import random
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass
from typing import Any

from hemlockswitch.core.clock import Clock
from hemlockswitch.core.events import Event
from hemlockswitch.core.logs import log_event
from hemlockswitch.version.backend import BackendServer

MIN_LOST_SERVERS = 3
MIN_LOST_ZONES = 2
"""Number of servers, and of their zones, that cannot be connected to before the own links count as lost; all of
them if there are fewer."""
CONTROL_INTERVAL_MS = 100.0
"""Minimum time between two connections to servers that are tried as a control."""
ISOLATED_PROBES = 3
"""Number of servers, drawn at random, that are probed at once while no server is reached."""


@dataclass(frozen=True)
class _Failure:
    """A connection that could not be opened."""

    server: BackendServer
    has_timed_out: bool


class IsolationDetector:
    """Tells whether this gateway has lost its links to all backend servers.

    Parameters
    ==========

    list_servers : returns the backend servers that are registered.
    clock : the time.
    on_isolated : called when the links were lost, with whether connections hang.
    on_restored : called when a connection opened again.
    """

    def __init__(
        self,
        list_servers: Callable[[], Iterable[BackendServer]],
        clock: Clock,
        on_isolated: Callable[[bool], None] = lambda _: None,
        on_restored: Callable[[], None] = lambda: None,
    ) -> None:
        self._list_servers = list_servers
        self._clock = clock
        self._on_isolated = on_isolated
        self._on_restored = on_restored
        self._failures: dict[str, _Failure] = {}  # since a connection opened, by incarnation
        self._isolated_ms: float | None = None
        self._control_ms = float("-inf")
        self.count = 0

    @property
    def is_isolated(self) -> bool:
        """Whether no server has been reached for several connections in a row."""
        return self._isolated_ms is not None

    @property
    def is_doubtful(self) -> bool:
        """Whether the last connection failed, so that the fault may lie with the own links."""
        return bool(self._failures)

    @property
    def hangs(self) -> bool:
        """Whether lost connections do not answer at all, rather than being refused."""
        return any(failure.has_timed_out for failure in self._failures.values())

    def count_failed(self) -> int:
        """Return the number of servers to which no connection opened since one did."""
        return len(self._failures)

    def is_confirmed(self, after_ms: float) -> bool:
        """Return whether connections have hung for a while, over several further attempts."""
        if self._isolated_ms is None or not self.hangs:
            return False
        return self._clock.now_ms() - self._isolated_ms >= after_ms

    def record_failed(self, server: BackendServer, *, has_timed_out: bool) -> None:
        """Record that a connection to a server could not be opened."""
        self._failures[server.incarnation] = _Failure(server, has_timed_out)
        if not self.is_isolated and self._are_links_lost():
            self._begin()

    def record_connected(self) -> None:
        """Record that a connection to a server was opened."""
        self._failures.clear()
        if self._isolated_ms is None:
            return
        lasted_ms = round(self._clock.now_ms() - self._isolated_ms)
        self._isolated_ms = None
        log_event(Event.LINKS_RESTORED, lasted_ms=lasted_ms)
        self._on_restored()

    def pick_control(self) -> BackendServer | None:
        """Return a server to connect to, to tell a failed server from lost links; None if there is no need.

        Servers in zones without a failure tell most.
        """
        now_ms = self._clock.now_ms()
        if not self.is_doubtful or now_ms - self._control_ms < CONTROL_INTERVAL_MS:
            return None
        self._control_ms = now_ms
        servers = list(self._list_servers())
        untried = [one for one in servers if one.incarnation not in self._failures]
        failed_zones = {failure.server.zone for failure in self._failures.values()}
        elsewhere = [one for one in untried if one.zone not in failed_zones]
        candidates = elsewhere or untried or servers
        return random.choice(candidates) if candidates else None

    @staticmethod
    def draw_probes(servers: Sequence[BackendServer]) -> list[BackendServer]:
        """Return the servers to probe now while no server is reached."""
        return random.sample(servers, min(ISOLATED_PROBES, len(servers)))

    def evict(self, incarnation: str) -> None:
        """Discard the failure of a removed server."""
        self._failures.pop(incarnation, None)

    def describe(self) -> dict[str, Any]:
        """Return the state for the status page."""
        if self._isolated_ms is None:
            return {"is_isolated": False}
        since_ms = round(self._clock.now_ms() - self._isolated_ms)
        return {"is_isolated": True, "for_ms": since_ms, "hangs": self.hangs}

    def _begin(self) -> None:
        self._isolated_ms = self._clock.now_ms()
        self.count += 1
        log_event(
            Event.LINKS_LOST,
            "warning",
            servers=sorted(self._failures),
            zones=sorted({failure.server.zone for failure in self._failures.values()}),
            hangs=self.hangs,
        )
        self._on_isolated(self.hangs)

    def _are_links_lost(self) -> bool:
        if len(self._failures) < MIN_LOST_SERVERS:
            servers = {server.incarnation for server in self._list_servers()}
            return bool(servers) and servers <= self._failures.keys()
        lost_zones = {failure.server.zone for failure in self._failures.values()}
        if len(lost_zones) >= MIN_LOST_ZONES:
            return True
        zones = {server.zone for server in self._list_servers()}
        return bool(zones) and zones <= lost_zones
