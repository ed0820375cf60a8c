"""What a gateway shows to operators: the fields of its status page, and the sources of its metrics."""

from collections.abc import Mapping
from typing import Protocol

from hemlockswitch.connection.forward_server import ForwardServer
from hemlockswitch.connection.status_page import StatusPage
from hemlockswitch.process.gateway.account_demand import AccountDemands
from hemlockswitch.process.gateway.copies_plan import CopiesSituation
from hemlockswitch.process.gateway.dispatchers import Dispatchers
from hemlockswitch.process.gateway.duties import DutyRunner
from hemlockswitch.process.gateway.fleet import Fleet
from hemlockswitch.process.gateway.followed_objects import FollowedObjects
from hemlockswitch.process.gateway.gateway_capacity import GatewayCapacity
from hemlockswitch.process.gateway.observation import GatewayObserver
from hemlockswitch.process.gateway.permits import Permits
from hemlockswitch.process.gateway.reachability import Reachability
from hemlockswitch.process.gateway.registry import ServerRegistry
from hemlockswitch.process.gateway.rollouts import Rollouts
from hemlockswitch.process.gateway.server_links import ServerLinks
from hemlockswitch.process.gateway.server_paces import ServerPaces
from hemlockswitch.process.gateway.server_statements import ServerStatements
from hemlockswitch.process.gateway.service_models import ServiceModels
from hemlockswitch.process.gateway.stream_versions import StreamVersions
from hemlockswitch.process.quarantine.guard import Guard
from hemlockswitch.request.quarantine import Quarantine
from hemlockswitch.version.gateway_settings import GatewaySettings


class GatewayParts(Protocol):
    """The parts of a gateway whose state operators see."""

    settings: GatewaySettings
    callers: ForwardServer
    capacity: GatewayCapacity
    demands: AccountDemands
    dispatchers: Dispatchers
    duties: DutyRunner | None
    fleet: Fleet
    followed: FollowedObjects
    guard: Guard
    links: ServerLinks
    models: ServiceModels
    observer: GatewayObserver
    paces: ServerPaces
    permits: Permits
    quarantine: Quarantine
    reachability: Reachability
    registry: ServerRegistry
    rollouts: Rollouts
    statements: ServerStatements
    streams: StreamVersions

    def is_ready(self) -> bool:
        """Return whether the gateway is ready for callers."""


def build_status_page(gateway: GatewayParts) -> StatusPage:
    """Return the status page of a gateway."""
    status = StatusPage()
    status.add("name", lambda: gateway.settings.name)
    status.add("ready", gateway.is_ready)
    status.add("configuration", gateway.followed.describe_configuration)
    status.add("followed", gateway.followed.describe)
    status.add("gateways", gateway.fleet.describe)
    status.add("capacity", gateway.capacity.describe)
    status.add("links", gateway.links.describe)
    status.add("paces", gateway.paces.describe)
    status.add("accounts", gateway.demands.describe)
    status.add("models", gateway.models.describe)
    status.add("backend_servers", lambda: len(gateway.registry.list_all()))
    status.add("leaving_servers", gateway.registry.list_stated_leaving)
    status.add("resting_servers", gateway.statements.rests.describe)
    status.add("quarantine", gateway.quarantine.describe)
    status.add("limited_servers", gateway.permits.describe)
    status.add("brittle_servers", gateway.permits.slots.brittle.describe)
    status.add("dispatch", gateway.dispatchers.describe)
    status.add("streams", gateway.streams.describe)
    status.add("leads", lambda: gateway.duties is not None and gateway.duties.leads)
    status.add("rollouts", gateway.rollouts.describe)
    return status


def connect_metrics(gateway: GatewayParts) -> None:
    """Let the metrics of a gateway read the state that they show."""
    metrics = gateway.observer.metrics
    metrics.guard = gateway.guard.counts
    metrics.measure_ages = gateway.followed.measure_ages
    metrics.permits = gateway.permits.verdicts
    metrics.slot_permits = gateway.permits.slots.verdicts
    metrics.dispatches = gateway.dispatchers.verdicts
    gateway.dispatchers.observe_wait_ms = metrics.dispatch_waits.observe
    metrics.count_dispatch_queued = gateway.dispatchers.groups.count_queued
    metrics.count_dispatch_held = gateway.dispatchers.groups.count_held
    metrics.resumed_streams = gateway.streams.origins
    metrics.tunnels = gateway.links.detours.verdicts
    metrics.count_brittle = gateway.permits.slots.brittle.count_limited
    metrics.count_callers = lambda: len(gateway.callers.sessions)
    metrics.count_unread = lambda: gateway.callers.closed_unread
    metrics.is_isolated = lambda: gateway.reachability.isolation.is_isolated
    metrics.pace_statements = gateway.paces.received
    metrics.find_spare = lambda: gateway.capacity.own_spare
    metrics.is_overloaded = gateway.capacity.is_self_overloaded
    metrics.count_shed = lambda: gateway.callers.shed
    metrics.engine_decisions = gateway.demands.decisions
    metrics.count_slow = gateway.paces.count_slow
    metrics.count_limited = gateway.permits.limits.count_limited
    metrics.describe_rollouts = gateway.rollouts.count_answers
    metrics.list_copy_situations = lambda: _list_copy_situations(gateway)
    metrics.count_copy_orders = lambda: gateway.duties.scaling.orders if gateway.duties else {}


def _list_copy_situations(gateway: GatewayParts) -> Mapping[str, CopiesSituation]:
    """Return the inputs of the last copy plans; empty unless the gateway holds the duties."""
    duties = gateway.duties
    return duties.scaling.situations if duties is not None and duties.leads else {}
