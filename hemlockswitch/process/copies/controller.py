"""The controller of one availability zone: reconciles the wanted copies with the existing ones.

Each reconciliation pass starts from the state of the platform, so that the next pass completes one that
failed half-way or whose controller died.
"""

from collections.abc import Mapping
from dataclasses import dataclass

from hemlockswitch.connection.orders import WantedState
from hemlockswitch.core.events import Event
from hemlockswitch.core.identifiers import make_identifier
from hemlockswitch.core.logs import log_event
from hemlockswitch.process.copies.changes import CopyStarter, CopyStopper, OrderSender, StoppingCopy
from hemlockswitch.process.copies.cost import CostMeter, LicensedCopy
from hemlockswitch.process.copies.observed_zone import LIVE, ObservedZone, Sources
from hemlockswitch.process.copies.planner import Copy, Plan, Planner, plan_excess_stops
from hemlockswitch.process.copies.records import CopyRecord, CopyRecords, CopyState, CopyTable
from hemlockswitch.process.copies.targets import WantedTarget, list_wanted
from hemlockswitch.process.lease import Lease
from hemlockswitch.version.machine_class import MachineClass
from hemlockswitch.version.models import OperatorFile


@dataclass(frozen=True)
class ControlSettings:
    """The time constants and start limit of the controller.

    Parameters
    ==========

    replace_ms : expected time from a reclaim to a serving replacement.
    shrink_after_ms : time for which the demand must stay low before a copy is stopped.
    gone_after_ms : time for which a VM must be missing from the lagging list to count as removed.
    parallel_starts : limit on copies of one target that load their weights concurrently in a zone; the
        weight store is rate-limited, so more would delay each other.
    """

    replace_ms: float = 60_000
    shrink_after_ms: float = 300_000
    gone_after_ms: float = 10_000
    parallel_starts: int = 2


class Controller:
    """Runs the reconciliation passes of one zone's leader.

    Parameters
    ==========

    zone : the availability zone.
    lease : the lease required for every order, start, and stop.
    records : the records of existing and wanted copies.
    sources : the sources of the observed state of the zone.
    times : the time constants.
    cost : sums the cost of the copies; None to disable this.
    """

    def __init__(
        self,
        zone: str,
        lease: Lease,
        records: CopyRecords,
        sources: Sources,
        times: ControlSettings | None = None,
        cost: CostMeter | None = None,
    ) -> None:
        self._cost = cost
        self._zone = zone
        self._lease = lease
        self._records = records
        self._clock = sources.clock
        self._times = times or ControlSettings()
        self._order_sender = OrderSender(sources.orders, lease)
        self._starter = CopyStarter(sources.platform, records, lease, sources.clock)
        self._stopper = CopyStopper(
            sources.platform, records, lease, sources.daemons, self._order_sender
        )
        self._view = ObservedZone(
            zone,
            sources,
            self._times.shrink_after_ms,
            self._times.gone_after_ms,
            self._starter.refused.is_open,
        )
        self._plans: dict[str, Plan] = {}

    def reconcile(self, file: OperatorFile) -> None:
        """Run one reconciliation pass; without the lease, do nothing."""
        if not self._lease.is_held:
            return
        wanted = list_wanted(file)
        self._view.refresh(wanted)
        for one in wanted:
            if self._lease.is_held:
                self._reconcile(one, frozenset(file.draining))

    def describe(self) -> Mapping[str, object]:
        """Return the latest plans for the status page."""
        return {
            name: {
                "busy": round(self._view.meter.get_now(name).busy, 2),
                "holding_ms": round(self._view.meter.get_now(name).holding_ms),
                "late_share": round(plan.late_share, 4),
                "starts": len(plan.starts),
                "stops": list(plan.stops),
            }
            for name, plan in self._plans.items()
        }

    def _reconcile(self, one: WantedTarget, draining: frozenset[str]) -> None:
        """Reconcile one target: update the records first, then act on them."""

        def revise(found: CopyTable) -> CopyTable:
            adopted = self._adopt(found, one.name)
            return self._apply_plan(one, self._mark_stops(adopted, draining))

        table = self._records.change(one.name, revise)
        self._record_cost(one.name, table)
        self._start_wanted(one, table)
        self._advance_stops(one, table)
        self._repair(one, table)

    def _record_cost(self, target: str, table: CopyTable) -> None:
        """Record the cost of this zone's copies that have a VM."""
        if self._cost is None:
            return
        held = [
            LicensedCopy(record.machine_class.value, record.price_per_hour)
            for record in table.copies.values()
            if record.zone == self._zone and record.state != CopyState.WANTED
        ]
        self._cost.record(target, held)

    def _adopt(self, table: CopyTable, target: str) -> CopyTable:
        """Record VMs that serve the target and have no record, so that they count towards the licence.

        Nothing is adopted while a wanted copy of this zone has no VM yet, since a VM without a record may
        belong to that copy.
        """
        if any(self._is_own(copy, CopyState.WANTED) for copy in table.copies.values()):
            return table
        recorded = {record.vm for record in table.copies.values()}
        for vm in self._view.list_unrecorded(target, recorded):
            record = CopyRecord(
                zone=vm.zone,
                machine_class=MachineClass(vm.machine_class),
                price_per_hour=vm.price_per_hour,
                vm=vm.name,
                address=vm.address,
                state=CopyState.RUNNING,
                since_wall_ms=self._clock.wall_ms(),
            )
            table = table.put(f"adopted-{vm.name}", record)
        return table

    def _is_own(self, record: CopyRecord, state: CopyState) -> bool:
        return record.zone == self._zone and record.state == state

    def _mark_stops(self, table: CopyTable, draining: frozenset[str]) -> CopyTable:
        """Mark running copies as stopping that are drained by an operator, reclaimed, or removed."""
        for token, record in table.copies.items():
            if not self._is_own(record, CopyState.RUNNING):
                continue
            is_leaving = record.vm in draining or self._view.is_leaving(record.vm)
            if is_leaving or self._view.is_vm_missing(record):
                table = table.move(token, CopyState.STOPPING, self._clock.wall_ms())
        return table

    def _apply_plan(self, one: WantedTarget, table: CopyTable) -> CopyTable:
        """Record the planned starts as wanted, and the planned stops as stopping."""
        plan = self._plan(one, table)
        self._plans[one.name] = plan
        wall_ms = self._clock.wall_ms()
        for place in plan.starts:
            record = CopyRecord(
                zone=place.zone,
                machine_class=place.machine_class,
                price_per_hour=place.price_per_hour,
                since_wall_ms=wall_ms,
            )
            table = table.put(make_identifier("copy"), record)
            log_event(Event.COPY_WANTED, target=one.name, zone=place.zone)
        for token in plan.stops:
            if table.copies[token].state == CopyState.RUNNING:
                table = table.move(token, CopyState.STOPPING, wall_ms)
                log_event(Event.COPY_STOPPING, target=one.name, vm=table.copies[token].vm)
        return table

    def _plan(self, one: WantedTarget, table: CopyTable) -> Plan:
        copies = [
            Copy(token, self._view.make_place(record), record.state != CopyState.STOPPING)
            for token, record in table.copies.items()
        ]
        excess = plan_excess_stops(copies, one.target)
        if excess:
            return Plan(stops=excess)
        meter = self._view.meter
        planner = Planner(one.target, self._times.replace_ms)
        free = self._view.list_startable_places(one)
        plan = planner.plan(copies, free, meter.get_now(one.name), meter.get_peak(one.name))
        is_stopping = any(not copy.is_staying for copy in copies)
        if plan.stops and (is_stopping or not meter.is_settled):
            return Plan(late_share=plan.late_share)
        return plan

    def _start_wanted(self, one: WantedTarget, table: CopyTable) -> None:
        """Start wanted copies of this zone, within the licence and the limit on parallel starts."""
        if len(table.copies) > one.target.licensed:
            return
        own = {token: copy for token, copy in table.copies.items() if copy.zone == self._zone}
        running = [copy for copy in own.values() if copy.state == CopyState.RUNNING]
        loading = sum(1 for copy in running if self._view.is_loading(copy))
        wanted = [token for token, copy in own.items() if copy.state == CopyState.WANTED]
        room = max(0, self._times.parallel_starts - loading)
        for token in self._starter.sort_by_last_attempt(wanted)[:room]:
            if not self._starter.start(one.name, token, own[token]):
                return

    def _advance_stops(self, one: WantedTarget, table: CopyTable) -> None:
        stopping = {
            token: record
            for token, record in table.copies.items()
            if self._is_own(record, CopyState.STOPPING)
        }
        usage = self._stopper.announce(sorted(record.vm for record in stopping.values()))
        for token, record in stopping.items():
            copy = StoppingCopy(
                one.name,
                token,
                record,
                self._view.vms.get(record.vm),
                self._view.find_load(record.vm),
                one.takes_orders,
                self._view.is_vm_removed(record),
            )
            self._stopper.advance(copy, usage)

    def _repair(self, one: WantedTarget, table: CopyTable) -> None:
        """Send orders to engines whose report differs from their wanted state."""
        if not one.takes_orders:
            return
        wanted = WantedState((one.name,))
        for record in table.copies.values():
            vm, load = self._view.vms.get(record.vm), self._view.find_load(record.vm)
            if record.state != CopyState.RUNNING or vm is None or vm.state != LIVE:
                continue
            if load is not None and not load.is_in(wanted):
                self._order_sender.send(vm, wanted)
