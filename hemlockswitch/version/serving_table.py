"""What one configuration revision says of forwarded requests: routes, services and accounts.

A `ServingTable` is immutable and holds the lookups that every request needs. It is built at the
border (see `hemlockswitch.platform.manifest`) and has no reference to any wire format.
"""

from collections import defaultdict
from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import StrEnum

import xxhash

from hemlockswitch.core.errors import ConfigurationError, ErrorKind


class RequestKind(StrEnum):
    """What may be repeated of a request."""

    IDEMPOTENT = "idempotent"
    AT_MOST_ONCE = "at_most_once"
    STREAM = "stream"


@dataclass(frozen=True)
class ServiceWeight:
    """The part of a route's requests that goes to one service."""

    service: str
    weight: int


@dataclass(frozen=True)
class Route:
    """Requests of one host and path prefix, and how they may be handled.

    Parameters
    ==========

    timeout_ms : the longest time that a request may be kept waiting for its last byte.
    objective_ms : the latency objective; for a stream it ends with the first event.
    priority : 0 is the most urgent.
    targets : the services that may run the requests, with their weights.
    max_attempts : on how many backend servers one request may be tried.
    is_public : whether requests need no key.
    is_resumable : whether a stream may go on elsewhere after its last event.
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
                ErrorKind.INVALID_CONFIGURATION, f"route {self.name}: targets, timeout or attempts"
            )

    @property
    def is_repeatable(self) -> bool:
        """Whether a request that may have run can be sent again."""
        return self.kind is RequestKind.IDEMPOTENT or (
            self.kind is RequestKind.STREAM and self.is_resumable
        )

    def choose_service(self, request_id: str) -> str:
        """Return the service of a request, by the weights; the same for the same identifier."""
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
    """How many copies of a service may be ordered, and what they cost.

    Parameters
    ==========

    min_copies, max_copies : bounds in each availability zone, over both machine classes.
    boot_ms : time from an order to the first request.
    reclaimable_price : price of a reclaimable copy as a part of the price of another one.
    zone_prices : price of a copy's second in each zone.
    """

    min_copies: int
    max_copies: int
    boot_ms: float
    reclaimable_price: float
    zone_prices: Mapping[str, float]


@dataclass(frozen=True)
class EngineTraits:
    """What is known of the model engines of a service.

    Parameters
    ==========

    slots : requests in one batch.
    kv_capacity_tokens : tokens that running requests and cached prompt parts share.
    """

    slots: int
    kv_capacity_tokens: int


@dataclass(frozen=True)
class ForwardedService:
    """A service whose backend servers get forwarded requests."""

    name: str
    max_connections: int
    engine: EngineTraits | None = None
    scaling: ScalingBounds | None = None


@dataclass(frozen=True)
class CallerBounds:
    """What a caller may send and how long it may take."""

    max_head_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    head_timeout_ms: float = 3_000.0
    idle_timeout_ms: float = 15_000.0


@dataclass(frozen=True)
class ForwardedAccount:
    """A client account of forwarded requests and its limit over all daemons.

    Parameters
    ==========

    priority : replaces the route's priority; None where the account has none.
    counts_tokens : whether the limit is in tokens or in requests.
    plain_tokens : what a request without token counts costs.
    rate_per_s, burst : the limit; a rate of 0 means none.
    """

    name: str
    priority: int | None = None
    counts_tokens: bool = False
    plain_tokens: int = 1
    rate_per_s: float = 0.0
    burst: float = 0.0


@dataclass(frozen=True)
class ServingTable:
    """One configuration revision as forwarding needs it.

    Parameters
    ==========

    has_accounts : whether requests need a key at all; it holds also while no key is left.

    Examples
    ========

    >>> route = Route("r", "a.example", "/x/", RequestKind.IDEMPOTENT, 100, 50, 0,
    ...               (ServiceWeight("s", 1),))
    >>> table = ServingTable(3, (route,), {}, CallerBounds(), {})
    >>> table.find_route("a.example", "/x/y").name
    'r'
    >>> table.find_route("b.example", "/x/y") is None
    True
    """

    revision: int
    routes: tuple[Route, ...]
    services: Mapping[str, ForwardedService]
    bounds: CallerBounds
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
        """Return the host's route with the longest prefix that begins `path`.

        Every prefix ends with a slash, so only the path's own beginnings up to a slash are looked
        up, however many routes there are.
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
        """Return the least objective of a service's streams that are at least as urgent.

        It is 0 where there is none.
        """
        routes = self._streams.get(service, ())
        objectives = [one.objective_ms for one in routes if one.priority <= priority]
        return min(objectives, default=0.0)
