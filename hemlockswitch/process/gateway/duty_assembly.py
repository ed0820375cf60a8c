"""Construction of a gateway's duties."""

from collections.abc import Callable

from hemlockswitch.connection.store_order import StoreEra
from hemlockswitch.core.clock import Clock
from hemlockswitch.process.gateway.adapter import Adapter
from hemlockswitch.process.gateway.copies_ahead import CopiesAhead
from hemlockswitch.process.gateway.copy_demand import PlannedCopies
from hemlockswitch.process.gateway.duties import LEASE_NAME, DutyRunner, make_lease_times
from hemlockswitch.process.gateway.duty_choice import DutyChoice
from hemlockswitch.process.gateway.fleet_clock import FleetClock
from hemlockswitch.process.gateway.followed_objects import FollowedObjects
from hemlockswitch.process.gateway.gateway_capacity import GatewayCapacity
from hemlockswitch.process.gateway.gateway_state import GatewayState
from hemlockswitch.process.gateway.rollout_duty import RolloutDuty
from hemlockswitch.process.gateway.scaling import ScalingApi, ScalingDuty
from hemlockswitch.process.gateway.usage import UsageDuty
from hemlockswitch.process.gateway.usage_store import UsageStore
from hemlockswitch.process.lease import Lease
from hemlockswitch.version.gateway_settings import GatewaySettings


def build_duties(
    settings: GatewaySettings,
    adapter: Adapter,
    state: GatewayState,
    followed: FollowedObjects,
    get_address: Callable[[], str],
    announce: Callable[[], None],
    clock: Clock,
    capacity: GatewayCapacity,
) -> DutyRunner | None:
    """Return the duties; None if the adapter has no API for them.

    Parameters
    ==========

    get_address : returns the address at which other gateways reach this one.
    announce : reports to the other gateways that this one holds the duties.
    capacity : the spare of the gateways, by which the holder is chosen.
    """
    api, store = adapter.duty_api, adapter.store
    if api is None:
        return None
    fleet = state.fleet
    lease = Lease(
        store,
        clock,
        LEASE_NAME,
        settings.name,
        make_lease_times(settings.lease_term_ms),
        fleet.count_daemons,
        get_address,
        store.get_era,
    )
    usage_store = UsageStore(state.usage, store, clock)
    return DutyRunner(
        lease,
        UsageDuty(
            state.usage,
            store,
            api,
            usage_store.load,
            fleet.get_usage_period,
            lambda: _find_return_ms(store.get_era(), state.fleet_clock, clock),
        ),
        _build_scaling(settings, api, state, followed, clock),
        usage_store,
        _build_rollouts(adapter, state, clock),
        fleet,
        state.fleet_clock,
        clock,
        announce,
        DutyChoice(fleet, capacity, followed.measure_oldest_ms, clock),
    )


def _find_return_ms(era: StoreEra, fleet_clock: FleetClock, clock: Clock) -> float:
    """Return the wall-clock time by which the object service had come back from a copy; minus infinity if never."""
    if not era.number:
        return float("-inf")
    return fleet_clock.now_ms() - (clock.now_ms() - era.observed_ms)


def _build_scaling(
    settings: GatewaySettings,
    api: ScalingApi,
    state: GatewayState,
    followed: FollowedObjects,
    clock: Clock,
) -> ScalingDuty:
    planned = PlannedCopies(state.registry, state.rollouts, state.loads, state.fleet, clock)
    return ScalingDuty(
        api,
        settings.zones,
        lambda: state.tables.current,
        planned.list_servers,
        planned.measure_demand,
        lambda service: state.models.get(service).tokens_per_ms,
        followed.has_all_servers,
        followed.has_most_servers,
        clock,
        state.rollouts.is_moving,
        CopiesAhead(state.managed.is_managed, planned.list_requested, state.paces, clock),
    )


def _build_rollouts(adapter: Adapter, state: GatewayState, clock: Clock) -> RolloutDuty:
    return RolloutDuty(
        state.rollouts,
        adapter.store,
        adapter.rollout_kind,
        adapter.encode_rollout_status,
        state.registry.list_all,
        state.loads.count_running,
        state.fleet_clock,
        clock,
    )
