"""What a gateway shows to operators: the fields of its status page, and the sources of its metrics."""

from typing import TYPE_CHECKING

from hemlockswitch.connection.status_page import StatusPage

if TYPE_CHECKING:
    from hemlockswitch.process.gateway.daemon import GatewayDaemon


def build_status_page(daemon: "GatewayDaemon") -> StatusPage:
    """Return the status page of a gateway."""
    status = StatusPage()
    status.add("name", lambda: daemon.settings.name)
    status.add("ready", daemon.is_ready)
    status.add("configuration", daemon.followed.describe_configuration)
    status.add("followed", daemon.followed.describe)
    status.add("gateways", daemon.fleet.describe)
    status.add("links", daemon.links.describe)
    status.add("models", daemon.models.describe)
    status.add("backend_servers", lambda: len(daemon.registry.list_all()))
    status.add("quarantine", daemon.quarantine.describe)
    status.add("limited_servers", daemon.permits.describe)
    status.add("brittle_servers", daemon.permits.slots.brittle.describe)
    status.add("streams", daemon.streams.describe)
    status.add("leads", lambda: daemon.duties is not None and daemon.duties.leads)
    status.add("rollouts", daemon.rollouts.describe)
    return status


def connect_metrics(daemon: "GatewayDaemon") -> None:
    """Let the metrics of a gateway read the state that they show."""
    metrics = daemon.observer.metrics
    metrics.guard = daemon.guard.counts
    metrics.measure_ages = daemon.followed.measure_ages
    metrics.permits = daemon.permits.verdicts
    metrics.slot_permits = daemon.permits.slots.verdicts
    metrics.resumed_streams = daemon.streams.origins
    metrics.tunnels = daemon.links.detours.verdicts
    metrics.count_brittle = daemon.permits.slots.brittle.count_limited
    metrics.count_callers = lambda: len(daemon.callers.sessions)
    metrics.is_isolated = lambda: daemon.reachability.isolation.is_isolated
    metrics.count_limited = daemon.permits.limits.count_limited
    metrics.describe_rollouts = daemon.rollouts.count_answers
