"""The periodic tasks that keep the state of a gateway, and what of it is in the object service, current."""

from collections.abc import Callable

from hemlockswitch.connection.backend_pool import BackendPool
from hemlockswitch.connection.peers import PeerNetwork
from hemlockswitch.core.clock import Clock
from hemlockswitch.process.gateway.adapter import GatewayStore
from hemlockswitch.process.gateway.gateway_state import GatewayState
from hemlockswitch.process.gateway.service_models import FIT_INTERVAL_MS
from hemlockswitch.process.gateway.stored_streams import StoredStreams
from hemlockswitch.process.gateway.stored_versions import KEEP_INTERVAL_MS, StoredVersions

SWEEP_INTERVAL_MS = 1_000.0


class Maintenance:
    """Runs the periodic tasks, and connects the versions of streams with the object service.

    Parameters
    ==========

    store : the object service.
    network : the streams to the other gateways.
    state : the state of this gateway.
    pool : the connections to the backend servers.
    leads : returns whether this gateway holds the duties.
    clock : the time source.
    """

    def __init__(
        self,
        store: GatewayStore,
        network: PeerNetwork,
        state: GatewayState,
        pool: BackendPool,
        leads: Callable[[], bool],
        clock: Clock,
    ) -> None:
        self._store = store
        self._state = state
        self._pool = pool
        self._leads = leads
        self._clock = clock
        streams = state.streams
        self._stored_versions = StoredVersions(
            store, streams.history, lambda: state.fleet.is_first_start, clock
        )
        streams.load_stored = self._stored_versions.load
        streams.is_stated = self._stored_versions.is_stated
        streams.list_before = self._stored_versions.list_before
        self._stored_streams = StoredStreams(store, network, state.fleet, clock)
        streams.on_recorded = self._stored_streams.record
        streams.find_stored = self._stored_streams.find

    def list_tasks(self) -> dict[str, Callable[[], None]]:
        """Return the tasks, which run until the process ends, by name."""
        return {
            "registrations": self._refresh_fleet,
            "sweep": self._sweep,
            "models": self._fit_models,
            "stored versions": self._keep_versions,
            "stored streams": self._stored_streams.save_forever,
        }

    def _refresh_fleet(self) -> None:
        fleet = self._state.fleet
        while True:
            fleet.refresh(self._store)
            if self._leads():
                fleet.remove_expired(self._store)
            self._clock.sleep_ms(fleet.get_list_period_ms())

    def _sweep(self) -> None:
        state = self._state
        while True:
            self._clock.sleep_ms(SWEEP_INTERVAL_MS)
            self._pool.sweep()
            state.streams.sweep()
            self._stored_streams.sweep()
            state.statements.rests.remove_ended()
            state.permits.evict_unlisted(state.registry.list_all)
            state.fleet_clock.apply_estimates(state.fleet.list_time_estimates())

    def _keep_versions(self) -> None:
        fleet = self._state.fleet
        while True:
            self._clock.sleep_ms(KEEP_INTERVAL_MS)
            self._state.streams.watch()
            if fleet.is_listed:
                is_small = not fleet.reports_by_zone
                self._stored_versions.keep(leads=self._leads(), is_small=is_small)

    def _fit_models(self) -> None:
        while True:
            self._clock.sleep_ms(FIT_INTERVAL_MS)
            self._state.models.fit()
