"""What the copies of a managed service have to serve when a copy that is ordered now has booted.

Only the holder of the duties keeps this state, in memory. It is discarded at each takeover.
"""

from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field
from typing import Protocol

from hemlockswitch.core.clock import Clock
from hemlockswitch.process.gateway.copies_plan import Expected, Pool
from hemlockswitch.process.gateway.demand_trend import LAG_MS, DemandTrend, GatewayDemand
from hemlockswitch.process.gateway.meters import LevelMeter
from hemlockswitch.version.backend import BackendServer, BackendState
from hemlockswitch.version.machine_class import MachineClass
from hemlockswitch.version.serving_table import ForwardedService

RECLAIM_LIFETIME_MS = 10_000.0
"""How long the reclaimable copies of a zone count as gone after its reclaim has begun. Their notices may arrive one
by one, and a zone offers copies again after some ten seconds."""
MAX_MEAN_AGE_MS = 4_000.0
"""Reports that are older on average give no trend: half of the trend's window would lie before them. This age is
reached at some 400 gateways, whose far reports are 8 s apart."""
RELEASE_LIFETIME_MS = 6_000.0
"""How long copies of a pool that leave may be those that an order released, rather than reclaimed ones."""


class PaceSource(Protocol):
    """The paces of the backend servers; see `process.gateway.server_paces`."""

    def find_pace(self, incarnation: str) -> float:
        """Return the factor by which work takes longer than usual on a server."""

    def measure_age_ms(self, incarnation: str) -> float | None:
        """Return the age of a server's last statement, or None if there is none."""


@dataclass
class _Reclaim:
    """A reclaim of a pool that has begun.

    Parameters
    ==========

    names : the incarnations of the copies that served in the pool when it began.
    """

    began_ms: float
    names: frozenset[str]


@dataclass
class _Release:
    until_ms: float
    count: int


@dataclass
class _ServiceState:
    trend: DemandTrend = field(default_factory=DemandTrend)
    slowness: LevelMeter = field(default_factory=LevelMeter)
    reclaims: dict[Pool, _Reclaim] = field(default_factory=dict)
    releases: dict[Pool, _Release] = field(default_factory=dict)


class CopiesAhead:
    """Derives the expected load of each managed service from reports, paces and leaving servers.

    Parameters
    ==========

    is_managed : returns whether a service is managed.
    list_requested : returns what is newly requested of a service, by gateway.
    paces : the paces of the servers.
    clock : the time.
    """

    def __init__(
        self,
        is_managed: Callable[[str], bool],
        list_requested: Callable[[str], Mapping[str, GatewayDemand]],
        paces: PaceSource,
        clock: Clock,
    ) -> None:
        self.is_managed = is_managed
        self._list_requested = list_requested
        self._paces = paces
        self._clock = clock
        self._states: dict[str, _ServiceState] = {}

    def reset(self) -> None:
        """Discard the history, which another holder of the duties may have continued meanwhile."""
        self._states.clear()

    def record_release(self, service: str, pool: Pool, count: int) -> None:
        """Record that an order releases copies, whose leaving is no reclaim."""
        until_ms = self._clock.now_ms() + RELEASE_LIFETIME_MS
        self._get_state(service).releases[pool] = _Release(until_ms, count)

    def describe(
        self, service: ForwardedService, servers: Sequence[BackendServer], *, is_moving: bool
    ) -> Expected | None:
        """Return the expected load of a service, or None if it is not managed.

        Parameters
        ==========

        servers : the servers of the service, also those that leave.
        is_moving : whether the service moves to another version, so that servers leave without a reclaim.
        """
        if not self.is_managed(service.name) or service.scaling is None:
            return None
        state, now_ms = self._get_state(service.name), self._clock.now_ms()
        requested = self._list_requested(service.name)
        ages_ms = [one.age_ms for one in requested.values()]
        state.trend.add(now_ms, requested)
        mean_age_ms = sum(ages_ms) / max(len(ages_ms), 1)
        horizon_ms = service.scaling.boot_ms + LAG_MS + mean_age_ms
        forecast = state.trend.forecast(horizon_ms if mean_age_ms <= MAX_MEAN_AGE_MS else 0.0)
        live = [one for one in servers if one.state is BackendState.LIVE]
        pace_ages_ms = [
            age_ms
            for one in live
            if (age_ms := self._paces.measure_age_ms(one.incarnation)) is not None
        ]
        if not is_moving:
            self._update_reclaims(state, servers)
        return Expected(
            level=forecast.level,
            growth=forecast.growth,
            slowness=state.slowness.read(now_ms, self._measure_slowness(live)),
            reclaimed=_count_reclaimed(state.reclaims, live),
            reporting=len(requested),
            report_age_ms=max(ages_ms, default=0.0),
            span_ms=forecast.span_ms,
            fastest=forecast.fastest,
            pace_age_ms=max(pace_ages_ms, default=None),
            reclaim_age_ms=max(
                (now_ms - one.began_ms for one in state.reclaims.values()), default=None
            ),
        )

    def _get_state(self, service: str) -> _ServiceState:
        return self._states.setdefault(service, _ServiceState())

    def _measure_slowness(self, live: Sequence[BackendServer]) -> float:
        """Return how many copies do the work of one at the usual pace; at least 1."""
        if not live:
            return 1.0
        usual = sum(1.0 / self._paces.find_pace(one.incarnation) for one in live)
        return max(len(live) / usual, 1.0)

    def _update_reclaims(self, state: _ServiceState, servers: Sequence[BackendServer]) -> None:
        """Note the pools whose reclaim has begun, and drop what is over."""
        now_ms = self._clock.now_ms()
        leaving: dict[Pool, int] = {}
        names: dict[Pool, set[str]] = {}
        for server in servers:
            pool = Pool(server.zone, MachineClass(server.machine_class))
            if pool.machine_class is not MachineClass.RECLAIMABLE:
                continue
            if server.state is BackendState.LIVE:
                names.setdefault(pool, set()).add(server.incarnation)
            else:
                leaving[pool] = leaving.get(pool, 0) + 1
        state.releases = {
            pool: one for pool, one in state.releases.items() if one.until_ms > now_ms
        }
        for pool, count in leaving.items():
            released = state.releases.get(pool)
            is_release = released is not None and count <= released.count
            if not is_release and pool not in state.reclaims:
                state.reclaims[pool] = _Reclaim(now_ms, frozenset(names.get(pool, ())))
        state.reclaims = {
            pool: one
            for pool, one in state.reclaims.items()
            if now_ms - one.began_ms < RECLAIM_LIFETIME_MS
        }


def _count_reclaimed(
    reclaims: Mapping[Pool, _Reclaim], live: Sequence[BackendServer]
) -> dict[Pool, int]:
    """Return how many copies still serve in each pool that is being reclaimed, and are expected to go."""
    counts = dict.fromkeys(reclaims, 0)
    for server in live:
        reclaim = reclaims.get(Pool(server.zone, MachineClass(server.machine_class)))
        if reclaim is not None and server.incarnation in reclaim.names:
            counts[Pool(server.zone, MachineClass(server.machine_class))] += 1
    return counts
