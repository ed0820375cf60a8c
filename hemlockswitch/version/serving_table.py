"""Routes, services and accounts for forwarded requests in one configuration revision.

A `ServingTable` is immutable and provides the lookups that every request needs. It is built by the
platform adapter (see `hemlockswitch.platform.manifest`) and does not depend on any wire format.
"""

from collections import defaultdict
from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import StrEnum

import xxhash

from hemlockswitch.core.errors import ConfigurationError, ErrorKind


class RequestKind(StrEnum):
    """Kind of a request, which decides whether it may be sent again."""

    IDEMPOTENT = "idempotent"
    AT_MOST_ONCE = "at_most_once"
    STREAM = "stream"


@dataclass(frozen=True)
class ServiceWeight:
    """The share of a route's requests that one service receives."""

    service: str
    weight: int


@dataclass(frozen=True)
class Route:
    """Rules for the requests of one host and path prefix.

    Parameters
    ==========

    timeout_ms : maximum time until the last byte of the answer.
    objective_ms : the latency objective; for a stream, the time until the first event.
    priority : 0 is the most urgent.
    targets : the services that may run the requests, with their weights.
    max_attempts : maximum number of backend servers that one request may be sent to.
    is_public : whether requests need no key.
    is_resumable : whether another backend server may continue a broken stream after the last event
        that was relayed.
    """

    name: str
    host: str
    path_prefix: str
    kind: RequestKind
    timeout_ms: float
    objective_ms: float
    priority: int
    targets: tuple[ServiceWeight, ...]
    max_attempts: int = 1
    is_public: bool = False
    is_resumable: bool = False

    def __post_init__(self) -> None:
        if not self.targets or self.timeout_ms <= 0 or self.max_attempts < 1:
            raise ConfigurationError(
                ErrorKind.INVALID_CONFIGURATION,
                f"route {self.name}: needs a target, timeout > 0 and max_attempts >= 1",
            )

    @property
    def is_repeatable(self) -> bool:
        """Whether a request that may already have run can be sent again."""
        return self.kind is RequestKind.IDEMPOTENT or (
            self.kind is RequestKind.STREAM and self.is_resumable
        )

    @property
    def is_split(self) -> bool:
        """Whether several services may run the requests."""
        return len({target.service for target in self.targets}) > 1

    def choose_service(self, request_id: str) -> str:
        """Return a service by the weights; the choice depends only on the request's identifier."""
        total = sum(target.weight for target in self.targets)
        if total <= 0:
            return self.targets[0].service
        point = xxhash.xxh32_intdigest(request_id.encode()) % total
        for target in self.targets:
            point -= target.weight
            if point < 0:
                return target.service
        return self.targets[-1].service


@dataclass(frozen=True)
class ScalingBounds:
    """Bounds on the number of copies of a service, and their cost.

    Parameters
    ==========

    min_copies, max_copies : bounds in each availability zone, over both machine classes.
    boot_ms : time from the order of a copy to its first request.
    reclaimable_price : price of a reclaimable copy as a fraction of the price of an on-demand one.
    zone_prices : price per second of a copy in each zone.
    """

    min_copies: int
    max_copies: int
    boot_ms: float
    reclaimable_price: float
    zone_prices: Mapping[str, float]


@dataclass(frozen=True)
class EngineCapacity:
    """Capacity of the model engines of a service.

    Parameters
    ==========

    slots : maximum number of requests in one batch.
    kv_capacity_tokens : KV cache size in tokens, shared by running requests and cached prompt parts.
    """

    slots: int
    kv_capacity_tokens: int


@dataclass(frozen=True)
class ForwardedService:
    """A service to whose backend servers requests are forwarded."""

    name: str
    max_connections: int
    engine: EngineCapacity | None = None
    scaling: ScalingBounds | None = None


@dataclass(frozen=True)
class CallerLimits:
    """Limits on the size of a caller's request and on the time to send it."""

    max_head_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    head_timeout_ms: float = 3_000.0
    idle_timeout_ms: float = 15_000.0


@dataclass(frozen=True)
class ForwardedAccount:
    """A client account for forwarded requests, with its limit over all daemons.

    Parameters
    ==========

    priority : overrides the route's priority; None if the account has none.
    counts_tokens : whether the limit counts tokens; otherwise it counts requests.
    uncounted_request_tokens : cost in tokens of a request without token counts.
    rate_per_s, burst : the limit; a rate of 0 means no limit.
    """

    name: str
    priority: int | None = None
    counts_tokens: bool = False
    uncounted_request_tokens: int = 1
    rate_per_s: float = 0.0
    burst: float = 0.0


@dataclass(frozen=True)
class ServingTable:
    """The lookup tables of one configuration revision for forwarding.

    Parameters
    ==========

    has_accounts : whether requests need a key; may be true although no key is valid any more.

    Examples
    ========

    >>> route = Route("r", "a.example", "/x/", RequestKind.IDEMPOTENT, 100, 50, 0,
    ...               (ServiceWeight("s", 1),))
    >>> table = ServingTable(3, (route,), {}, CallerLimits(), {})
    >>> table.find_route("a.example", "/x/y").name
    'r'
    >>> table.find_route("b.example", "/x/y") is None
    True
    """

    revision: int
    routes: tuple[Route, ...]
    services: Mapping[str, ForwardedService]
    bounds: CallerLimits
    accounts_by_key: Mapping[str, ForwardedAccount]
    has_accounts: bool = False
    _by_host: dict[str, dict[str, Route]] = field(init=False, repr=False, compare=False)
    _streams: dict[str, list[Route]] = field(init=False, repr=False, compare=False)

    def __post_init__(self) -> None:
        by_host: dict[str, dict[str, Route]] = defaultdict(dict)
        streams: dict[str, list[Route]] = defaultdict(list)
        for route in self.routes:
            by_host[route.host.lower()].setdefault(route.path_prefix, route)
            if route.kind is RequestKind.STREAM and route.objective_ms > 0:
                for target in route.targets:
                    streams[target.service].append(route)
        object.__setattr__(self, "_by_host", dict(by_host))
        object.__setattr__(self, "_streams", dict(streams))

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route of `host` with the longest prefix of `path`.

        Every route's prefix ends with a slash, so only the prefixes of `path` that end with a slash
        are looked up; the cost does not depend on the number of routes.
        """
        routes = self._by_host.get(host.lower(), {})
        end = path.rfind("/")
        while end >= 0:
            route = routes.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None

    def find_strictest_objective_ms(self, service: str, priority: int) -> float:
        """Return the smallest objective of a service's stream routes that are at least as urgent.

        Returns 0 if there is no such route.
        """
        routes = self._streams.get(service, ())
        objectives = [one.objective_ms for one in routes if one.priority <= priority]
        return min(objectives, default=0.0)
