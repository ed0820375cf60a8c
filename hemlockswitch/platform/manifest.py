"""Decoding of the platform's manifest, which is stored as one object, into a `ServingTable`."""

from hemlockswitch.connection.stored_objects import StoredObject
from hemlockswitch.core.clock import MS_PER_SECOND
from hemlockswitch.core.errors import ConfigurationError, ErrorKind
from hemlockswitch.platform.bodies import Body, read_value
from hemlockswitch.version.serving_table import (
    CallerLimits,
    EngineCapacity,
    ForwardedAccount,
    ForwardedService,
    RequestKind,
    Route,
    ScalingBounds,
    ServiceWeight,
    ServingTable,
)

CONFIG_KIND = "config"
CONFIG_NAME = "main"

_KINDS = {
    "idempotent": RequestKind.IDEMPOTENT,
    "non_idempotent": RequestKind.AT_MOST_ONCE,
    "stream": RequestKind.STREAM,
}


class _SplitBody(Body, frozen=True):
    service: str
    weight: int


class _RouteBody(Body, frozen=True):
    name: str
    host: str
    path_prefix: str
    kind: str
    timeout_ms: float
    goal_ms: float = 0.0  # latency objective; for a stream, until its first event
    priority: int = 0
    service: str = ""
    split: tuple[_SplitBody, ...] = ()  # replaces `service`
    max_attempts: int = 1
    public: bool = False
    resumable: bool = False


class _EngineBody(Body, frozen=True):
    slots: int
    kv_capacity_tokens: int


class _ScalingBody(Body, frozen=True):
    min: int
    max: int
    boot_s: float
    spot_price: float = 1.0  # as a fraction of the price of a non-reclaimable copy
    zone_prices: dict[str, float] = {}


class _ServiceBody(Body, frozen=True):
    name: str
    max_conns: int = 0
    engine: _EngineBody | None = None
    scaling: _ScalingBody | None = None


class _LimitsBody(Body, frozen=True):
    """Limits on each caller's connection; limits of client accounts are in `tenants`."""

    max_header_bytes: int
    max_body_bytes: int
    header_timeout_ms: float
    idle_timeout_ms: float


class _TenantBody(Body, frozen=True):
    name: str
    api_keys: tuple[str, ...] = ()
    priority: int | None = None
    unit: str = "request"
    plain_tokens: int = 1
    rate_per_s: float = 0.0
    burst: float = 0.0


class _ManifestBody(Body, frozen=True):
    version: int
    routes: tuple[_RouteBody, ...]
    services: tuple[_ServiceBody, ...]
    limits: _LimitsBody | None = None
    tenants: tuple[_TenantBody, ...] = ()


def decode_manifest(item: StoredObject) -> ServingTable:
    """Decode the serving table of a stored manifest.

    Raises
    ======

    ConfigurationError : the manifest is invalid; the detail names the path of the first error.
    """
    body = read_value(_ManifestBody, item.value, strict=False)
    return ServingTable(
        revision=body.version,
        routes=tuple(_build_route(route) for route in body.routes),
        services={service.name: _build_service(service) for service in body.services},
        bounds=_build_bounds(body.limits),
        accounts_by_key=_build_accounts(body.tenants),
        has_accounts=bool(body.tenants),
    )


def _build_route(body: _RouteBody) -> Route:
    kind = _KINDS.get(body.kind)
    if kind is None:
        detail = f"unknown request kind in route {body.name}: {body.kind!r}"
        raise ConfigurationError(ErrorKind.INVALID_CONFIGURATION, detail)
    weights = tuple(ServiceWeight(split.service, split.weight) for split in body.split)
    return Route(
        name=body.name,
        host=body.host,
        path_prefix=body.path_prefix,
        kind=kind,
        timeout_ms=body.timeout_ms,
        objective_ms=body.goal_ms,
        priority=body.priority,
        targets=weights or (ServiceWeight(body.service, 1),),
        max_attempts=max(body.max_attempts, 1),
        is_public=body.public,
        is_resumable=body.resumable,
    )


def _build_service(body: _ServiceBody) -> ForwardedService:
    engine = body.engine
    scaling = body.scaling
    return ForwardedService(
        name=body.name,
        max_connections=body.max_conns,
        engine=EngineCapacity(engine.slots, engine.kv_capacity_tokens) if engine else None,
        scaling=_build_scaling(scaling) if scaling else None,
    )


def _build_scaling(body: _ScalingBody) -> ScalingBounds:
    return ScalingBounds(
        min_copies=body.min,
        max_copies=body.max,
        boot_ms=body.boot_s * MS_PER_SECOND,
        reclaimable_price=body.spot_price,
        zone_prices=dict(body.zone_prices),
    )


def _build_bounds(body: _LimitsBody | None) -> CallerLimits:
    if body is None:
        return CallerLimits()
    return CallerLimits(
        max_head_bytes=body.max_header_bytes,
        max_body_bytes=body.max_body_bytes,
        head_timeout_ms=body.header_timeout_ms,
        idle_timeout_ms=body.idle_timeout_ms,
    )


def _build_accounts(bodies: tuple[_TenantBody, ...]) -> dict[str, ForwardedAccount]:
    accounts: dict[str, ForwardedAccount] = {}
    for body in bodies:
        account = ForwardedAccount(
            name=body.name,
            priority=body.priority,
            counts_tokens=body.unit == "token_stream",
            uncounted_request_tokens=body.plain_tokens,
            rate_per_s=body.rate_per_s,
            burst=body.burst,
        )
        accounts.update(dict.fromkeys(body.api_keys, account))
    return accounts
