"""Inputs of the copy plan: the servers that serve the demand, and the demand over all gateways."""

from hemlockswitch.process.gateway.copies_plan import Demand
from hemlockswitch.process.gateway.fleet import Fleet
from hemlockswitch.process.gateway.loads import ServerLoads
from hemlockswitch.process.gateway.registry import ServerRegistry
from hemlockswitch.process.gateway.rollouts import Rollouts
from hemlockswitch.version.backend import BackendServer


class PlannedCopies:
    """Combines registered servers and measured demand into the inputs of the copy plan.

    Parameters
    ==========

    registry, rollouts : the servers, and which of them run a version on trial.
    loads, fleet : the demand at this gateway, and at its peers.
    """

    def __init__(
        self, registry: ServerRegistry, rollouts: Rollouts, loads: ServerLoads, fleet: Fleet
    ) -> None:
        self._registry = registry
        self._rollouts = rollouts
        self._loads = loads
        self._fleet = fleet

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
