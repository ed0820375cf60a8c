"""The load data of a zone's leader: its own engines' reports, and the other zones' summaries."""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass

import gevent
from pydantic import BaseModel, ConfigDict, ValidationError

from hemlockswitch.connection.orders import OrderClient, ReportedLoad
from hemlockswitch.connection.platform import PlatformClient
from hemlockswitch.connection.platform_models import ListedVm
from hemlockswitch.connection.stored_objects import StoredObject, Written
from hemlockswitch.core.clock import Clock
from hemlockswitch.core.errors import BackendError
from hemlockswitch.process.copies.planner import Place
from hemlockswitch.version.machine_class import MachineClass

STATUS_KIND = "status"
ZONE_PREFIX = "zone-"
SAMPLES_PER_PASS = 16
CHANGE_SHARE = 0.1


class ZoneLoads:
    """The newest load report of each engine of the zone; each pass queries some of them.

    Parameters
    ==========

    orders : queries the engines.
    samples : number of engines that one pass queries; the last reports of the others are retained.
    """

    def __init__(self, orders: OrderClient, samples: int = SAMPLES_PER_PASS) -> None:
        self._orders = orders
        self._samples = samples
        self._loads: dict[str, ReportedLoad] = {}
        self._next = 0

    def refresh(self, vms: Sequence[ListedVm]) -> None:
        """Query the next few of `vms` concurrently, and evict servers that are not in `vms`."""
        names = {vm.name for vm in vms}
        self._loads = {name: load for name, load in self._loads.items() if name in names}
        tasks = [gevent.spawn(self._query, vm) for vm in self._take_turn(vms)]
        gevent.joinall(tasks)

    def find(self, name: str) -> ReportedLoad | None:
        """Return the last report of a server, or None if it did not answer the last query."""
        return self._loads.get(name)

    def sum_busy(self, names: Iterable[str]) -> int:
        """Return the number of requests running and waiting on the named servers.

        The length of a long queue reflects for how long there were too few copies rather than how many are
        needed, so at most as many waiting requests count as are running.
        """
        loads = [self._loads[name] for name in names if name in self._loads]
        return sum(load.running + min(load.waiting, load.running) for load in loads)

    def _take_turn(self, vms: Sequence[ListedVm]) -> list[ListedVm]:
        if len(vms) <= self._samples:
            return list(vms)
        ordered = sorted(vms, key=lambda vm: vm.name)
        begin = self._next % len(ordered)
        self._next = begin + self._samples
        return (ordered + ordered)[begin : begin + self._samples]

    def _query(self, vm: ListedVm) -> None:
        try:
            self._loads[vm.name] = self._orders.read_load(vm.address)
        except BackendError:
            self._loads.pop(vm.name, None)


class OfferedPlace(BaseModel):
    """A machine class in which a zone's leader accepts starts now."""

    model_config = ConfigDict(frozen=True)

    machine_class: MachineClass
    price_per_hour: float
    reclaims_per_hour: float


class ZoneSummary(BaseModel):
    """The summary that a zone's leader publishes to the other leaders through the platform.

    Parameters
    ==========

    busy : requests running and waiting, by model or service.
    offers : machine classes without a recent refusal of a start.
    """

    model_config = ConfigDict(frozen=True)

    busy: dict[str, float] = {}
    offers: tuple[OfferedPlace, ...] = ()

    def differs_from(self, other: "ZoneSummary") -> bool:
        """Return whether this summary differs enough to be published at once."""
        if self.offers != other.offers or set(self.busy) != set(other.busy):
            return True
        steps = [abs(busy - other.busy[name]) for name, busy in self.busy.items()]
        limits = [max(1.0, CHANGE_SHARE * busy) for busy in other.busy.values()]
        return any(step > limit for step, limit in zip(steps, limits, strict=True))


@dataclass
class _ReceivedSummary:
    version: int
    since_ms: float
    summary: ZoneSummary


class ZoneSummaries:
    """Writes the local zone's summary and reads those of the other zones.

    Parameters
    ==========

    platform : provides the object service that stores the summaries, ``status/zone-<zone>``.
    clock : time source; the age of a summary counts from when this process first read it.
    zone : the local zone.
    rewrite_interval_ms : time after which an unchanged summary is written again, as a heartbeat.
    """

    def __init__(
        self, platform: PlatformClient, clock: Clock, zone: str, rewrite_interval_ms: float = 10_000
    ) -> None:
        self._platform = platform
        self._clock = clock
        self._zone = zone
        self._rewrite_interval_ms = rewrite_interval_ms
        self._received: dict[str, _ReceivedSummary] = {}
        self._written: ZoneSummary | None = None
        self._written_ms = 0.0

    def exchange(self, own: ZoneSummary) -> None:
        """Read all summaries, and write the local one if it is due."""
        page = self._platform.list(STATUS_KIND, ZONE_PREFIX)
        for item in page.items:
            self._receive(item)
        is_due = self._clock.now_ms() - self._written_ms >= self._rewrite_interval_ms
        if self._written is None or is_due or own.differs_from(self._written):
            self._write(own)

    def sum_others(self, target: str) -> float:
        """Return the last reported load of all other zones on `target`.

        An unresponsive zone counts with its last summary, since its callers still send requests.
        """
        others = [received for zone, received in self._received.items() if zone != self._zone]
        return sum(received.summary.busy.get(target, 0.0) for received in others)

    def list_places(self) -> list[Place]:
        """Return the places offered by other zones that have a live leader."""
        limit_ms = self._clock.now_ms() - 3 * self._rewrite_interval_ms
        return [
            Place(zone, offer.machine_class, offer.price_per_hour, offer.reclaims_per_hour)
            for zone, received in sorted(self._received.items())
            if zone != self._zone and received.since_ms >= limit_ms
            for offer in received.summary.offers
        ]

    def _receive(self, item: StoredObject) -> None:
        zone = item.name.removeprefix(ZONE_PREFIX)
        previous = self._received.get(zone)
        if previous is not None and previous.version >= item.version:
            return
        try:
            summary = ZoneSummary.model_validate(item.value)
        except ValidationError:
            return
        self._received[zone] = _ReceivedSummary(item.version, self._clock.now_ms(), summary)

    def _write(self, own: ZoneSummary) -> None:
        name = ZONE_PREFIX + self._zone
        value = own.model_dump(mode="json")
        stored = self._received.get(self._zone)
        if stored is None:
            outcome = self._platform.create(STATUS_KIND, name, value)
        else:
            outcome = self._platform.update(STATUS_KIND, name, value, stored.version)
        if isinstance(outcome, Written):
            self._received[self._zone] = _ReceivedSummary(
                outcome.version, self._clock.now_ms(), own
            )
            self._written = own
            self._written_ms = self._clock.now_ms()
