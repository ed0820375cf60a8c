"""The leader's view of its zone: the VMs, their load, the demand, and the places for starts."""

from collections.abc import Callable
from dataclasses import dataclass

from hemlockswitch.connection.orders import OrderClient, ReportedLoad
from hemlockswitch.connection.platform import PlatformClient
from hemlockswitch.connection.platform_models import ListedVm
from hemlockswitch.core.clock import Clock
from hemlockswitch.core.errors import PeerError
from hemlockswitch.core.events import Event
from hemlockswitch.core.logs import log_event
from hemlockswitch.process.copies.demand import DemandMeter
from hemlockswitch.process.copies.planner import Place
from hemlockswitch.process.copies.reclaims import Reclaims
from hemlockswitch.process.copies.records import CopyRecord
from hemlockswitch.process.copies.targets import WantedTarget
from hemlockswitch.process.copies.usage import EntryDaemonClient, Usage
from hemlockswitch.process.copies.zone_load import (
    OfferedPlace,
    ZoneLoads,
    ZoneSummaries,
    ZoneSummary,
)
from hemlockswitch.version.machine_class import MachineClass

DEFAULT_PRICES = {MachineClass.RECLAIMABLE: 1.0, MachineClass.ON_DEMAND: 3.0}
STARTING, LIVE, LEAVING = "starting", "live", "leaving"


@dataclass(frozen=True)
class Sources:
    """The sources of the observed state of a zone.

    Parameters
    ==========

    platform : provides the VM list.
    clock : monotonic milliseconds.
    orders : queries engines for their load.
    daemons : queries entry daemons for their use of servers.
    reclaims : the zone's reclaim notices.
    summaries : the summaries of the other zones.
    """

    platform: PlatformClient
    clock: Clock
    orders: OrderClient
    daemons: EntryDaemonClient
    reclaims: Reclaims
    summaries: ZoneSummaries


class Refusals:
    """Estimates the load of refused requests from the daemons' counts."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._last: dict[str, tuple[float, int]] = {}

    def estimate_busy(self, target: str, usage: Usage | None, holding_ms: float | None) -> float:
        """Return the number of slots that the requests refused since the last call would have occupied."""
        if usage is None:
            return 0.0
        now_ms, count = self._clock.now_ms(), usage.refused.get(target, 0)
        last_ms, last = self._last.get(target, (now_ms, count))
        self._last[target] = (now_ms, count)
        if now_ms <= last_ms or holding_ms is None:
            return 0.0
        return max(0, count - last) * holding_ms / (now_ms - last_ms)


class ObservedZone:
    """The leader's view of its zone in the current pass.

    Parameters
    ==========

    zone : the availability zone.
    sources : the sources of the observed state.
    shrink_after_ms : window of the peak demand.
    gone_after_ms : time for which a VM must be missing from the lagging list to count as removed.
    is_open : returns whether a machine class is not in a back-off after a refused start.
    """

    def __init__(
        self,
        zone: str,
        sources: Sources,
        shrink_after_ms: float,
        gone_after_ms: float,
        is_open: Callable[[MachineClass], bool],
    ) -> None:
        self.zone = zone
        self.vms: dict[str, ListedVm] = {}
        self.meter = DemandMeter(sources.clock, shrink_after_ms)
        self._sources = sources
        self._removal_delay_ms = gone_after_ms
        self._is_open = is_open
        self._loads = ZoneLoads(sources.orders)
        self._prices: dict[MachineClass, float] = dict(DEFAULT_PRICES)
        self._last_listed_ms: dict[str, float] = {}
        self._usage: Usage | None = None
        self._refusals = Refusals(sources.clock)

    def refresh(self, wanted: list[WantedTarget]) -> None:
        """Update the view from the VM list, the engines' reports, and the other zones' summaries."""
        listed = self._sources.platform.list_vms(self.zone).vms
        self.vms = {vm.name: vm for vm in listed}
        now_ms = self._sources.clock.now_ms()
        for vm in listed:
            self._last_listed_ms[vm.name] = now_ms
            if vm.price_per_hour > 0:
                self._prices[MachineClass(vm.machine_class)] = vm.price_per_hour
        models = {one.name for one in wanted if one.takes_orders}
        self._loads.refresh([vm for vm in listed if vm.serves in models and vm.state != STARTING])
        self._usage = self._query_usage()
        self._measure(wanted)

    def find_load(self, name: str) -> ReportedLoad | None:
        """Return the last load report of a server."""
        return self._loads.find(name)

    def is_leaving(self, name: str) -> bool:
        """Return whether a VM of this zone is being reclaimed."""
        vm = self.vms.get(name)
        return (vm is not None and vm.state == LEAVING) or self._sources.reclaims.is_leaving(name)

    def is_vm_removed(self, record: CopyRecord) -> bool:
        """Return whether a copy's VM was removed, by its reclaim notice or because it is unreachable.

        The deadline of a notice is wall-clock time of another machine, so the VM must also be unlisted.
        """
        is_over = record.vm not in self.vms and self._sources.reclaims.is_deadline_past(record.vm)
        return is_over or self.is_vm_missing(record)

    def is_vm_missing(self, record: CopyRecord) -> bool:
        """Return whether a VM has been unlisted for the removal delay and is unreachable."""
        now_ms = self._sources.clock.now_ms()
        last_ms = self._last_listed_ms.setdefault(record.vm, now_ms)
        if record.vm in self.vms or now_ms - last_ms < self._removal_delay_ms:
            return False
        return not self._sources.orders.is_reachable(record.address)

    def is_loading(self, record: CopyRecord) -> bool:
        """Return whether the VM of a running record is still starting."""
        vm = self.vms.get(record.vm)
        if vm is None:
            return record.vm not in self._last_listed_ms
        return vm.state == STARTING

    def list_unrecorded(self, target: str, recorded: set[str]) -> list[ListedVm]:
        """Return listed VMs that serve the target, are reachable, and are not in `recorded`."""
        return [
            vm
            for vm in self.vms.values()
            if vm.serves == target
            and vm.name not in recorded
            and self._sources.orders.is_reachable(vm.address)
        ]

    def list_startable_places(self, one: WantedTarget) -> list[Place]:
        """Return the places in which a copy of the target may be started now."""
        own = [
            Place(self.zone, offer.machine_class, offer.price_per_hour, offer.reclaims_per_hour)
            for offer in self._list_offers()
        ]
        everywhere = own + self._sources.summaries.list_places()
        return [place for place in everywhere if place.machine_class in one.classes]

    def make_place(self, record: CopyRecord) -> Place:
        """Return the place of a recorded copy for the planner."""
        rate = self._find_rate(record.zone, record.machine_class)
        return Place(record.zone, record.machine_class, record.price_per_hour, rate)

    def _find_rate(self, zone: str, machine_class: MachineClass) -> float:
        own = self._sources.reclaims.compute_rate(machine_class)
        if zone == self.zone:
            return own
        places = self._sources.summaries.list_places()
        rates = {(place.zone, place.machine_class): place.reclaims_per_hour for place in places}
        return rates.get((zone, machine_class), own)

    def _query_usage(self) -> Usage | None:
        try:
            return self._sources.daemons.query_usage(self.vms)
        except PeerError as error:
            log_event(Event.DAEMONS_SILENT, "debug", detail=error.detail)
            return None

    def _measure(self, wanted: list[WantedTarget]) -> None:
        busy = {one.name: self._sum_busy(one) for one in wanted}
        self._sources.summaries.exchange(ZoneSummary(busy=busy, offers=self._list_offers()))
        for name, own in busy.items():
            seen = own + self._sources.summaries.sum_others(name)
            holding_ms = self._usage.holding_ms.get(name) if self._usage else None
            hidden = self._refusals.estimate_busy(name, self._usage, holding_ms)
            self.meter.add_sample(name, seen + min(hidden, max(seen, 1.0)), holding_ms)

    def _sum_busy(self, one: WantedTarget) -> float:
        names = [vm.name for vm in self.vms.values() if vm.serves == one.name]
        if one.takes_orders:
            return self._loads.sum_busy(names)
        return sum(self._usage.in_flight.get(name, 0) for name in names) if self._usage else 0

    def _list_offers(self) -> tuple[OfferedPlace, ...]:
        return tuple(
            OfferedPlace(
                machine_class=machine_class,
                price_per_hour=price,
                reclaims_per_hour=self._sources.reclaims.compute_rate(machine_class),
            )
            for machine_class, price in self._prices.items()
            if self._is_open(machine_class)
        )
