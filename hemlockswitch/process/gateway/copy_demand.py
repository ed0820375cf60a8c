"""Inputs of the copy plan: the servers that serve the demand, and the demand over all gateways."""

from hemlockswitch.core.clock import Clock
from hemlockswitch.process.gateway.copies_plan import Demand
from hemlockswitch.process.gateway.demand_trend import GatewayDemand
from hemlockswitch.process.gateway.fleet import Fleet
from hemlockswitch.process.gateway.loads import ROUTE_SEPARATOR, ServerLoads
from hemlockswitch.process.gateway.registry import ServerRegistry
from hemlockswitch.process.gateway.rollouts import Rollouts
from hemlockswitch.version.backend import BackendServer


class PlannedCopies:
    """Combines registered servers and measured demand into the inputs of the copy plan.

    Parameters
    ==========

    registry, rollouts : the servers, and which of them run a version on trial.
    loads, fleet : the demand at this gateway, and at its peers.
    clock : the time.
    """

    def __init__(
        self,
        registry: ServerRegistry,
        rollouts: Rollouts,
        loads: ServerLoads,
        fleet: Fleet,
        clock: Clock,
    ) -> None:
        self._registry = registry
        self._rollouts = rollouts
        self._loads = loads
        self._fleet = fleet
        self._clock = clock

    def list_servers(self) -> list[BackendServer]:
        """Return the servers that count towards the demand, without those of a version on trial."""
        servers = self._registry.list_all()
        return [one for one in servers if not self._rollouts.is_on_trial(one)]

    def measure_demand(self, service: str) -> Demand:
        """Return the demand of a service over all gateways."""
        own = self._loads.measure_own_demand().get(service, 0.0)
        names = [one.incarnation for one in self._registry.list_all() if one.serves == service]
        running = self._loads.count_running(names)
        return Demand(own + self._fleet.sum_demand(service), running)

    def list_requested(self, service: str) -> dict[str, GatewayDemand]:
        """Return what is newly requested of a managed service, by gateway.

        A gateway whose report is missing counts with its last one for a load's lifetime.
        """
        fleet, now_ms = self._fleet, self._clock.now_ms()
        own = self._loads.measure_own_requested(fleet.count_daemons()).get(service, {})
        requested = {fleet.name: GatewayDemand(fleet.zone, own)}
        prefix = service + ROUTE_SEPARATOR
        lifetime_ms = fleet.get_far_period().load_lifetime_ms
        for peer in fleet.list_connected():
            age_ms = now_ms - peer.reported_ms
            if peer.report is None or age_ms > lifetime_ms:
                continue
            rates = {
                key.removeprefix(prefix): rate
                for key, rate in peer.report.demand.items()
                if key.startswith(prefix)
            }
            requested[peer.name] = GatewayDemand(peer.zone, rates, age_ms)
        return requested
