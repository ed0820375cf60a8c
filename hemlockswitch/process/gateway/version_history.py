"""The software versions of each service whose servers were registered lately."""

from collections import Counter, defaultdict
from dataclasses import dataclass

from hemlockswitch.core.clock import Clock
from hemlockswitch.version.backend import BackendServer

RETENTION_MS = 600_000.0
"""How long the end of a version is kept; callers take up their streams sooner."""
MAX_LIST_AGE_MS = 1_000.0
"""Age up to which a list of servers counts as recent; lists are confirmed more often, unless a gateway is cut off."""


@dataclass(frozen=True)
class VersionEvidence:
    """The versions of a service that may have begun a stream, by the history of one gateway.

    Parameters
    ==========

    versions : those that were registered at any time in the span asked for.
    watched_ms : length of that history.
    list_age_ms : how long ago its list of servers was known to be complete.
    """

    versions: frozenset[str]
    watched_ms: float
    list_age_ms: float


class _ServiceVersions:
    """The registered servers of one service, and when versions without a server were last registered."""

    def __init__(self) -> None:
        self.by_server: dict[str, str] = {}
        self.counts: Counter[str] = Counter()
        self.ended_ms: dict[str, float] = {}
        self.life_ms = 0.0


class VersionHistory:
    """When the versions of each service were last registered.

    Parameters
    ==========

    clock : the time source.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._began_ms = clock.now_ms()
        self._has_gap = False
        self._services: defaultdict[str, _ServiceVersions] = defaultdict(_ServiceVersions)

    def record_list_age(self, list_age_ms: float) -> None:
        """Record the age of the list of servers; to be called at intervals below `MAX_LIST_AGE_MS`.

        A version may come and go while the list is old, so the history begins anew with the next recent one.
        """
        if list_age_ms > MAX_LIST_AGE_MS:
            self._has_gap = True
        elif self._has_gap:
            self._has_gap = False
            self._began_ms = self._clock.now_ms()

    def measure_watched_ms(self) -> float:
        """Return the length of the history without a gap."""
        return self._clock.now_ms() - self._began_ms

    def record_life(self, service: str, life_ms: float) -> None:
        """Record for how long a stream of a service may be taken up; the longest time counts."""
        known = self._services[service]
        known.life_ms = max(known.life_ms, life_ms)

    def find_life_ms(self, service: str) -> float:
        """Return for how long a stream of a service may be taken up, whatever its route's limit is now."""
        return self._services[service].life_ms if service in self._services else 0.0

    def record_listed(self, server: BackendServer) -> bool:
        """Record a registered server; return whether none with its version was registered."""
        service = self._services[server.serves]
        if service.by_server.get(server.name) == server.version:
            return False
        self.record_removed(server)
        service.by_server[server.name] = server.version
        service.counts[server.version] += 1
        service.ended_ms.pop(server.version, None)
        return service.counts[server.version] == 1

    def record_removed(self, server: BackendServer) -> None:
        """Record a server that gets no new requests from now on."""
        service = self._services[server.serves]
        version = service.by_server.pop(server.name, None)
        if version is None:
            return
        service.counts[version] -= 1
        if not service.counts[version]:
            del service.counts[version]
            self._record_end(service, version)

    def record_stated(self, service: str, version: str) -> None:
        """Record a version that other gateways have stated; it counts as one that has just ended."""
        known = self._services[service]
        if version not in known.counts:
            known.ended_ms.setdefault(version, self._clock.now_ms())

    def list_services(self) -> list[str]:
        """Return the services that have or had servers."""
        return list(self._services)

    def list_versions(self, service: str, span_ms: float) -> frozenset[str]:
        """Return the versions that were registered at any time in the last `span_ms`."""
        if service not in self._services:
            return frozenset()
        oldest_ms = self._clock.now_ms() - span_ms
        known = self._services[service]
        ended = (version for version, at_ms in known.ended_ms.items() if at_ms >= oldest_ms)
        return frozenset((*known.counts, *ended))

    def list_registered(self) -> dict[str, list[str]]:
        """Return the registered versions of each service that has servers."""
        return {
            name: sorted(service.counts)
            for name, service in self._services.items()
            if service.counts
        }

    def count_registered(self, service: str) -> int:
        """Return the number of registered versions of a service."""
        return len(self._services[service].counts) if service in self._services else 0

    def describe(self, service: str, span_ms: float, list_age_ms: float) -> VersionEvidence:
        """Return the evidence on the last `span_ms`."""
        self.record_list_age(list_age_ms)
        versions = self.list_versions(service, span_ms)
        return VersionEvidence(versions, self.measure_watched_ms(), list_age_ms)

    def _record_end(self, service: _ServiceVersions, version: str) -> None:
        now_ms = self._clock.now_ms()
        service.ended_ms[version] = now_ms
        for one in [
            one for one, at_ms in service.ended_ms.items() if at_ms < now_ms - RETENTION_MS
        ]:
            del service.ended_ms[one]
