"""The steps that start and stop copies; each is recorded before it takes effect."""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

from hemlockswitch.connection.orders import (
    EngineState,
    OrderClient,
    OrderNotPermittedError,
    OrderStale,
    ReportedLoad,
    WantedState,
)
from hemlockswitch.connection.platform import PlatformClient
from hemlockswitch.connection.platform_models import ListedVm
from hemlockswitch.core.clock import Clock
from hemlockswitch.core.errors import BackendError, ErrorKind, PeerError, PlatformError
from hemlockswitch.core.events import Event
from hemlockswitch.core.logs import log_event
from hemlockswitch.process.copies.records import CopyRecord, CopyRecords, CopyState
from hemlockswitch.process.copies.usage import EntryDaemonClient, Usage
from hemlockswitch.process.lease import Lease
from hemlockswitch.version.machine_class import MachineClass

FIRST_BACK_OFF_MS = 1_000
MAX_BACK_OFF_MS = 60_000


@dataclass
class _Refusal:
    pause_ms: float
    until_ms: float


class RefusedPlaces:
    """Machine classes in which the cloud API refused a start, each with a back-off.

    Examples
    ========

    >>> from hemlockswitch.core.clock import ManualClock
    >>> clock = ManualClock()
    >>> refused = RefusedPlaces(clock)
    >>> refused.add(MachineClass.RECLAIMABLE, 0)
    >>> refused.is_open(MachineClass.RECLAIMABLE), refused.is_open(MachineClass.ON_DEMAND)
    (False, True)
    >>> clock.advance(1_000)
    >>> refused.is_open(MachineClass.RECLAIMABLE)
    True
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._refusals: dict[MachineClass, _Refusal] = {}

    def add(self, machine_class: MachineClass, retry_after_ms: float) -> None:
        """Start a back-off for a class, twice as long as its previous one."""
        previous = self._refusals.get(machine_class)
        doubled = previous.pause_ms * 2 if previous else FIRST_BACK_OFF_MS
        pause_ms = min(max(doubled, retry_after_ms), MAX_BACK_OFF_MS)
        self._refusals[machine_class] = _Refusal(pause_ms, self._clock.now_ms() + pause_ms)

    def clear(self, machine_class: MachineClass) -> None:
        """Reset the back-off of a class in which a VM was just started."""
        self._refusals.pop(machine_class, None)

    def is_open(self, machine_class: MachineClass) -> bool:
        """Return whether a start may be attempted now."""
        refusal = self._refusals.get(machine_class)
        return refusal is None or self._clock.now_ms() >= refusal.until_ms


class CopyStarter:
    """Requests the copies that the records want in this zone from the cloud API.

    Explanation
    ===========

    The record with its token is written before the call, so that the successor of a controller that dies
    between the two finds the token; a token never starts a second VM. The record of a refused start is
    removed, which frees its licence for another place.
    """

    def __init__(
        self, platform: PlatformClient, records: CopyRecords, lease: Lease, clock: Clock
    ) -> None:
        self._platform = platform
        self._records = records
        self._lease = lease
        self._clock = clock
        self._last_attempt_ms: dict[str, float] = {}
        self.refused = RefusedPlaces(clock)

    def sort_by_last_attempt(self, tokens: Iterable[str]) -> list[str]:
        """Return the tokens, least recently tried first, so that no token delays the others forever."""
        return sorted(tokens, key=lambda token: self._last_attempt_ms.get(token, 0.0))

    def start(self, target: str, token: str, record: CopyRecord) -> bool:
        """Start one wanted copy, or remove its record if the start is refused.

        A start without an answer keeps its record; a later pass repeats it with the same token.

        Returns
        =======

        bool : whether the cloud API answered, so that further starts may be attempted now.
        """
        self._lease.get_fencing()
        self._last_attempt_ms[token] = self._clock.now_ms()
        try:
            vm = self._platform.start_vm(record.zone, target, record.machine_class, token)
        except PlatformError as error:
            if error.kind == ErrorKind.OVERLOADED:
                self._remove_refused(target, token, record, error)
            else:
                log_event(Event.COPY_START_UNKNOWN, "warning", target=target, detail=error.detail)
            return error.kind == ErrorKind.OVERLOADED
        self._last_attempt_ms.pop(token)
        self.refused.clear(record.machine_class)
        wall_ms = self._clock.wall_ms()
        self._records.change(
            target,
            lambda table: table.move(token, CopyState.RUNNING, wall_ms, vm.name, vm.address),
        )
        log_event(Event.COPY_STARTED, target=target, vm=vm.name, zone=record.zone)
        return True

    def _remove_refused(
        self, target: str, token: str, record: CopyRecord, error: PlatformError
    ) -> None:
        self._last_attempt_ms.pop(token)
        self.refused.add(record.machine_class, error.answer.retry_after_ms)
        self._records.change(target, lambda table: table.remove(token))
        log_event(
            Event.COPY_REFUSED,
            "warning",
            target=target,
            zone=record.zone,
            machine_class=record.machine_class,
        )


@dataclass(frozen=True)
class StoppingCopy:
    """A copy that is being stopped, with its current state.

    Parameters
    ==========

    target, token, record : identify the copy.
    vm : its entry in the VM list; None if it is not listed.
    load : the engine's last report; None if there is none.
    takes_orders : whether the copy is a model engine, which takes orders, or a plain service.
    is_vm_removed : whether the VM has been reclaimed or removed.
    """

    target: str
    token: str
    record: CopyRecord
    vm: ListedVm | None
    load: ReportedLoad | None
    takes_orders: bool
    is_vm_removed: bool


class OrderSender:
    """Sends orders under the lease, and steps down if an engine reports a newer lease holder."""

    def __init__(self, orders: OrderClient, lease: Lease) -> None:
        self._orders = orders
        self._lease = lease

    def send(self, vm: ListedVm, wanted: WantedState) -> None:
        """Order the engine on `vm` into `wanted`; a failed order is repeated in the next pass."""
        fencing = self._lease.get_fencing()
        fields: dict[str, Any] = {"vm": vm.name, "fencing": fencing, "state": wanted.state}
        try:
            answer = self._orders.send_order(vm.address, fencing, wanted, self._lease.get_fencing)
        except OrderNotPermittedError:
            log_event(Event.ORDER_WITHHELD, "warning", **fields)
            return
        except BackendError as error:
            log_event(Event.ORDER_FAILED, "warning", detail=error.detail, **fields)
            return
        if isinstance(answer, OrderStale):
            log_event(Event.ORDER_STALE, "warning", highest=answer.highest, **fields)
            self._lease.step_down(answer.highest)
            return
        log_event(Event.ORDER_DONE, **fields)


class CopyStopper:
    """Takes a copy out of service without interrupting a request.

    Explanation
    ===========

    The steps are: every daemon is notified that the server is leaving; every running daemon confirms that
    it sends no new work there and has none in progress; the engine is ordered to drain and reports that it
    is empty; then the VM is stopped. The licence is freed only after the cloud API has confirmed the stop. A
    successor may repeat any step, and no step is ever reverted, so two controllers that both assume that they
    hold the lease do no harm here.
    """

    def __init__(
        self,
        platform: PlatformClient,
        records: CopyRecords,
        lease: Lease,
        daemons: EntryDaemonClient,
        order_sender: OrderSender,
    ) -> None:
        self._platform = platform
        self._records = records
        self._lease = lease
        self._daemons = daemons
        self._order_sender = order_sender

    def announce(self, names: list[str]) -> Usage | None:
        """Announce planned stops to the daemons, and return their use of these servers."""
        if not names:
            return None
        try:
            self._daemons.announce_stop(names)
            return self._daemons.query_usage(names)
        except PeerError as error:
            log_event(Event.DAEMONS_SILENT, "warning", names=names, detail=error.detail)
            return None

    def advance(self, copy: StoppingCopy, usage: Usage | None) -> None:
        """Execute the next permitted step for a stopping copy."""
        if copy.is_vm_removed:
            self._stop(copy)
            return
        if usage is None or not usage.is_empty(copy.record.vm):
            return
        if not copy.takes_orders or copy.vm is None or self._is_drained(copy, copy.vm):
            self._stop(copy)

    def _is_drained(self, copy: StoppingCopy, vm: ListedVm) -> bool:
        """Return whether the engine reports that it is drained and empty; order it to drain if not."""
        load = copy.load
        if load is None or not load.draining:
            self._order_sender.send(vm, WantedState((copy.target,), state=EngineState.DRAINED))
            return False
        return load.running + load.waiting == 0

    def _stop(self, copy: StoppingCopy) -> None:
        self._lease.get_fencing()
        self._platform.stop_vm(copy.record.vm)
        self._records.change(copy.target, lambda table: table.remove(copy.token))
        log_event(Event.COPY_GONE, target=copy.target, vm=copy.record.vm, zone=copy.record.zone)
