"""Events of the system for operators, derived from changes of the platform's objects."""

from collections.abc import Callable, Iterator
from dataclasses import asdict, dataclass
from typing import Any, Protocol

import gevent
from gevent.queue import Queue

from hemlockswitch.connection.platform_models import ListedVm, VmList
from hemlockswitch.connection.stored_objects import ObjectPage, StoredObject
from hemlockswitch.core.clock import Clock
from hemlockswitch.core.errors import HemlockError
from hemlockswitch.process.status.zone_status import STATUS_KIND
from hemlockswitch.version.revisions import POINTER_KIND

LEASE_KIND = "leases"
WATCH_WAIT_MS = 5_000
VM_LIST_PAUSE_MS = 2_000
RETRY_PAUSE_MS = 1_000


class WatchedPlatform(Protocol):
    """The operations of the platform that `FleetEvents` needs."""

    def watch(self, kind: str, since: int, wait_ms: int, prefix: str = "") -> ObjectPage:
        """Return the objects that changed after a version."""

    def list_vms(self, zone: str = "") -> VmList:
        """Return the VM list."""


@dataclass(frozen=True)
class FleetEvent:
    """An event.

    Parameters
    ==========

    what : ``revision``, ``lease``, ``zone``, ``vm`` or ``platform``.
    name : name of the object, such as a zone or a VM; empty for a revision.
    text : human-readable description.
    """

    what: str
    name: str
    text: str

    def describe(self) -> dict[str, Any]:
        """Return the event's JSON-ready form."""
        return asdict(self)


class FleetEvents:
    """Watches the platform and yields an event for each change.

    Parameters
    ==========

    platform : the platform.
    clock : provides the time.
    """

    def __init__(self, platform: WatchedPlatform, clock: Clock) -> None:
        self._platform = platform
        self._clock = clock
        self._queue: Queue[FleetEvent] = Queue()
        self._last_texts: dict[tuple[str, str], str] = {}

    def follow(self, duration_ms: float | None) -> Iterator[FleetEvent]:
        """Yield events as they occur, for `duration_ms` or without end."""
        tasks = [
            gevent.spawn(self._watch, POINTER_KIND, "revision", _describe_pointer),
            gevent.spawn(self._watch, LEASE_KIND, "lease", _describe_lease),
            gevent.spawn(self._watch, STATUS_KIND, "zone", _describe_zone),
            gevent.spawn(self._list_vms),
        ]
        if duration_ms is not None:
            gevent.spawn(self._end_after, duration_ms)
        try:
            yield from iter(self._queue.get, None)
        finally:
            gevent.killall(tasks, block=False)

    def _end_after(self, duration_ms: float) -> None:
        self._clock.sleep_ms(duration_ms)
        self._queue.put(None)

    def _watch(self, kind: str, what: str, describe: Callable[[StoredObject], str]) -> None:
        since = 0
        while True:
            try:
                page = self._platform.watch(kind, since, WATCH_WAIT_MS)
            except HemlockError as error:
                self._emit("platform", kind, f"does not answer: {error.detail}")
                self._clock.sleep_ms(RETRY_PAUSE_MS)
                continue
            if ("platform", kind) in self._last_texts:
                self._emit("platform", kind, "answers again")
            since = page.version
            for item in page.items:
                self._emit(what, "" if what == "revision" else item.name, describe(item))

    def _list_vms(self) -> None:
        while True:
            try:
                for vm in self._platform.list_vms().vms:
                    self._emit("vm", vm.name, _describe_vm(vm))
            except HemlockError as error:
                self._emit("platform", "vms", f"does not answer: {error.detail}")
            self._clock.sleep_ms(VM_LIST_PAUSE_MS)

    def _emit(self, what: str, name: str, text: str) -> None:
        """Emit an event, unless its text equals the previous one of the same subject."""
        if self._last_texts.get((what, name)) != text:
            self._last_texts[what, name] = text
            self._queue.put(FleetEvent(what, name, text))


def _describe_pointer(item: StoredObject) -> str:
    return f"revision {item.value.get('number')} was put in force ({item.value.get('apply_id')})"


def _describe_lease(item: StoredObject) -> str:
    holder = item.value.get("holder")
    return f"{holder} holds the lease" if holder else "nobody holds the lease"


def _describe_zone(item: StoredObject) -> str:
    daemons = item.value.get("daemons", ())
    numbers = sorted({daemon.get("revision", 0) for daemon in daemons})
    ready = sum(bool(daemon.get("ready")) for daemon in daemons)
    revisions = ", ".join(str(number) for number in numbers)
    return f"{ready} of {len(daemons)} daemons ready; revisions in force: {revisions}"


def _describe_vm(vm: ListedVm) -> str:
    return f"{vm.state} in {vm.zone}, serves {vm.serves}"
