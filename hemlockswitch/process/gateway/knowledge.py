"""What a gateway knows, as its parts share it."""

from dataclasses import dataclass

from hemlockswitch.process.gateway.configuration import TableHolder
from hemlockswitch.process.gateway.fleet import Fleet
from hemlockswitch.process.gateway.loads import ServerLoads
from hemlockswitch.process.gateway.reachability import Reachability
from hemlockswitch.process.gateway.registry import ServerRegistry
from hemlockswitch.process.gateway.rollouts import Rollouts
from hemlockswitch.process.gateway.service_models import ServiceModels
from hemlockswitch.process.gateway.true_time import TrueTime
from hemlockswitch.process.gateway.usage import UsageCounts


@dataclass(frozen=True)
class Knowledge:
    """The parts of a gateway that hold what it knows.

    Parameters
    ==========

    tables : the configuration in force.
    registry : the backend servers.
    fleet : the other gateways.
    reachability : which servers and zones cannot be reached.
    loads : what runs on the servers, and what they have in their caches.
    models : what was learned of the services.
    rollouts : the orders that move services to other versions.
    usage : what is counted for the usage reports.
    true_time : the time of day.
    """

    tables: TableHolder
    registry: ServerRegistry
    fleet: Fleet
    reachability: Reachability
    loads: ServerLoads
    models: ServiceModels
    rollouts: Rollouts
    usage: UsageCounts
    true_time: TrueTime
