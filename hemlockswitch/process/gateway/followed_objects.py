"""The objects that a gateway follows in the object service.

These are the configuration, the registry of servers and, where the platform has them, the rollout orders.
Each kind is followed by an `ObjectFollower` over a `RelayedWatch`, so that a zone's watchers watch for the
whole zone; a `WatchGuard` detects stalled watches.
"""

from collections.abc import Callable
from typing import Any

from hemlockswitch.connection.peers import PeerNetwork
from hemlockswitch.connection.store_order import find_era, find_revision
from hemlockswitch.core.clock import Clock
from hemlockswitch.process.gateway.adapter import Adapter
from hemlockswitch.process.gateway.configuration import ServingTableStore
from hemlockswitch.process.gateway.fleet import Fleet
from hemlockswitch.process.gateway.follower import (
    WATCH_WAIT_MS,
    ObjectConsumer,
    ObjectFollower,
)
from hemlockswitch.process.gateway.freshness import ConfirmationExchange, ViewRefresher
from hemlockswitch.process.gateway.messages import WatchedPage
from hemlockswitch.process.gateway.registry import ServerRegistry
from hemlockswitch.process.gateway.relayed_watch import RelayedWatch
from hemlockswitch.process.gateway.rollouts import Rollouts
from hemlockswitch.process.gateway.transit import TransitTimes
from hemlockswitch.process.gateway.watch_guard import StoreView, WatchGuard
from hemlockswitch.process.gateway.zone_watchers import ZoneWatchers

SETTLE_MS = 400.0
"""How long changes gather before the next watch: each change ends the watch of every watcher, and each
watch is a call. Servers are added and removed by zones, over half a second. The first change after a
pause is received without this delay."""
MAX_SETTLE_MS = 600.0
"""How long changes gather while the registry fills after a start. A leaving server must get no new requests
two seconds after it announced that it leaves; this uses less than a third of that time."""

ORDERS_WATCHER_WAIT_MS = 2_000.0
"""How long a gateway that has listed the rollout orders waits for its zone's watchers: the servers that an
order starts take longer to boot."""
ORDERS_WAIT_MS = 15_000
"""How long a watch of the rollout orders, which are rare, waits; platforms retain changes for some 20 s."""


class FollowedObjects:
    """The followers of a gateway, and the state that they maintain.

    Parameters
    ==========

    adapter : the object service, its kinds, and their decoders.
    tables : stores the configuration in force.
    registry : stores the backend servers.
    rollouts : stores the rollout orders; None where rollouts are not supported.
    network, fleet : the other gateways, to which a watcher sends its pages.
    hash_quarantined : returns a digest of the quarantined requests.
    clock : the time.
    """

    def __init__(
        self,
        adapter: Adapter,
        tables: ServingTableStore,
        registry: ServerRegistry,
        rollouts: Rollouts | None,
        network: PeerNetwork,
        fleet: Fleet,
        hash_quarantined: Callable[[], int],
        clock: Clock,
    ) -> None:
        self._store = adapter.store
        self._tables = tables
        self._registry = registry
        self._network = network
        self.watchers = ZoneWatchers(fleet, clock, self.measure_oldest_ms)
        self._hash_quarantined = hash_quarantined
        self._watches: dict[str, RelayedWatch] = {}
        self._transits = TransitTimes(clock)
        self._clock = clock
        network.handle(WatchedPage, self._queue_page, runs_inline=True)
        self.configuration = self._follow(adapter.config_kind, tables)
        self.servers = self._follow(adapter.server_kind, registry, self._get_settle_ms)
        self.followers = [self.configuration, self.servers]
        if rollouts is not None:
            orders = self._follow(
                adapter.rollout_kind,
                rollouts,
                watcher_wait_ms=ORDERS_WATCHER_WAIT_MS,
                wait_ms=ORDERS_WAIT_MS,
            )
            rollouts.versions.request_refresh = orders.renew_watch
            self.followers.append(orders)
        self.guard = WatchGuard(
            self.configuration,
            self.servers,
            self.view,
            fleet.get_near_period,
            fleet.get_far_period,
            clock,
        )
        followers = {one.kind: one for one in self.followers}
        exchange = ConfirmationExchange(network, fleet, followers, self._transits, clock)
        find_scope = self.watchers.find_query_scope
        self.refreshers = {
            kind: ViewRefresher(one, find_scope, exchange.send, clock)
            for kind, one in followers.items()
        }
        registry.get_recovered_ms = lambda: self.servers.recovered_ms
        registry.measure_age_ms = self.servers.measure_age_ms

    def _follow(
        self,
        kind: str,
        consumer: ObjectConsumer,
        get_settle_ms: Callable[[], float] = lambda: 0.0,
        watcher_wait_ms: float = 0.0,
        wait_ms: int = WATCH_WAIT_MS,
    ) -> ObjectFollower:
        """Return a follower over a relayed watch; the times are parameters of these classes."""
        watch = RelayedWatch(
            self._store, self.watchers, self._relay_page, self._clock, watcher_wait_ms
        )
        self._watches[kind] = watch
        return ObjectFollower(watch, kind, consumer, self._clock, get_settle_ms, wait_ms)

    @property
    def is_synced(self) -> bool:
        """Whether a configuration is in force, and all followed kinds have been listed."""
        return self._tables.current is not None and all(one.is_synced for one in self.followers)

    @property
    def is_partly_synced(self) -> bool:
        """Whether any of the followed kinds has been listed."""
        return any(one.is_synced for one in self.followers)

    def has_all_servers(self) -> bool:
        """Return whether the registry has been followed long enough to contain every server."""
        return self._registry.is_complete(self.servers.first_synced_ms)

    def has_most_servers(self) -> bool:
        """Return whether the registry has been followed for at least one heartbeat interval."""
        return self._registry.is_mostly_filled(self.servers.first_synced_ms)

    def describe_configuration(self) -> dict[str, Any]:
        """Return the state of the configuration, for the status page."""
        table = self._tables.current
        if table is None:
            return {"revision": None}
        return {
            "revision": table.revision,
            "routes": len(table.routes),
            "watch_lost": self.configuration.is_lost,
        }

    def measure_ages(self) -> dict[str, float]:
        """Return the age in ms of the recorded state of each kind of objects."""
        return {one.kind: one.measure_age_ms() for one in self.followers}

    def measure_oldest_ms(self) -> float:
        """Return the age in ms of the oldest recorded state."""
        return max(self.measure_ages().values())

    def describe(self) -> dict[str, Any]:
        """Return the era, revision and age of the recorded state of each kind, for the status page."""
        return {
            one.kind: {
                "era": find_era(one.version),
                "revision": find_revision(one.version),
                "confirmed_ms_ago": round(one.measure_age_ms()),
            }
            for one in self.followers
            if one.is_synced
        }

    def view(self) -> StoreView:
        """Return this gateway's view of the object service, to be reported to other gateways."""
        table = self._tables.current
        return StoreView(
            table.revision if table is not None else 0,
            self._registry.hash_servers(),
            self._store.last_outage,
            self._describe_relayed(),
            self._hash_quarantined(),
            self.measure_oldest_ms(),
        )

    def _describe_relayed(self) -> dict[str, int]:
        """Return the versions that this gateway has relayed to its zone; none if it is not a watcher."""
        if not self.watchers.is_watcher():
            return {}
        return {one.kind: one.live_version for one in self.followers}

    def _relay_page(self, page: WatchedPage) -> None:
        self._network.send_all(self.watchers.list_relay_addresses(), page)

    def _queue_page(self, address: str, page: WatchedPage) -> None:
        delay_ms = self._transits.measure_delay_ms(address, page.sent_ms)
        if page.kind in self._watches:
            self._watches[page.kind].queue_page(page, delay_ms)

    def _get_settle_ms(self) -> float:
        """Return how long changes of the registry may gather."""
        if not self.has_all_servers():
            return MAX_SETTLE_MS
        return SETTLE_MS if self.watchers.is_watcher() else 0.0
