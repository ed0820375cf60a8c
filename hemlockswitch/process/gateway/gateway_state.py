"""The local state of a gateway, shared by its components."""

from dataclasses import dataclass

from hemlockswitch.process.gateway.account_demand import AccountDemands
from hemlockswitch.process.gateway.configuration import ServingTableStore
from hemlockswitch.process.gateway.dispatchers import Dispatchers
from hemlockswitch.process.gateway.fleet import Fleet
from hemlockswitch.process.gateway.fleet_clock import FleetClock
from hemlockswitch.process.gateway.loads import ServerLoads
from hemlockswitch.process.gateway.managed_services import ManagedServices
from hemlockswitch.process.gateway.permits import Permits
from hemlockswitch.process.gateway.reachability import Reachability
from hemlockswitch.process.gateway.registry import ServerRegistry
from hemlockswitch.process.gateway.return_bookings import ReturnBookings
from hemlockswitch.process.gateway.rollouts import Rollouts
from hemlockswitch.process.gateway.server_paces import ServerPaces
from hemlockswitch.process.gateway.server_statements import ServerStatements
from hemlockswitch.process.gateway.service_models import ServiceModels
from hemlockswitch.process.gateway.stream_versions import StreamVersions
from hemlockswitch.process.gateway.usage import UsageCounts


@dataclass(frozen=True)
class GatewayState:
    """The components that store the local state of a gateway.

    Parameters
    ==========

    tables : the configuration in force.
    registry : the backend servers.
    fleet : the other gateways.
    reachability : the servers and zones that cannot be reached.
    loads : the requests in progress on the servers, and the prompts in their caches.
    models : the fitted models of the services.
    paces : the paces that servers state.
    demands : what the accounts request of managed services, over all gateways.
    bookings : the times at which refused callers return.
    managed : the services whose room is divided between accounts.
    rollouts : the orders that move services to other versions.
    streams : the versions that began streams.
    statements : what servers state about further requests to them.
    dispatchers : the slots of managed plain services.
    permits : the limits that servers state, and the permits for requests to limited servers.
    usage : the counts for the usage reports.
    fleet_clock : the estimate of the wall-clock time.
    """

    tables: ServingTableStore
    registry: ServerRegistry
    fleet: Fleet
    reachability: Reachability
    loads: ServerLoads
    models: ServiceModels
    paces: ServerPaces
    demands: AccountDemands
    bookings: ReturnBookings
    managed: ManagedServices
    rollouts: Rollouts
    streams: StreamVersions
    statements: ServerStatements
    dispatchers: Dispatchers
    permits: Permits
    usage: UsageCounts
    fleet_clock: FleetClock
