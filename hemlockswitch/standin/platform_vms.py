"""VMs of the stand-in: lagging VM list, starts and stops, reclaim notices, licence counts."""

import time
from collections import Counter
from dataclasses import asdict, dataclass, field, replace
from typing import Any

import gevent

from hemlockswitch.core.clock import MS_PER_SECOND
from hemlockswitch.standin.platform_objects import ChangeSignal

GONE = "gone"
SPARE = "spare"
LISTED_STATES = ("starting", "live", "leaving")


@dataclass(frozen=True)
class StandinVm:
    """The state of a VM at a version."""

    name: str
    zone: str
    address: str
    control_address: str = ""
    serves: str = ""
    machine_class: str = "reclaimable"
    price_per_hour: float = 1.0
    state: str = "live"
    version: int = 0

    @classmethod
    def from_json(cls, body: dict[str, Any]) -> "StandinVm":
        """Return the VM described by a control call; unknown fields raise TypeError."""
        return cls(**body)


@dataclass(frozen=True)
class Notice:
    """A reclaim notice; the VM terminates at its deadline."""

    number: int
    vm: str
    zone: str
    deadline_wall_ms: int


@dataclass(frozen=True)
class StartRequest:
    """The body of a start call of the cloud API."""

    zone: str
    serves: str
    machine_class: str
    token: str


@dataclass
class CloudCounts:
    """Counts of VMs that tests check."""

    running: Counter[str] = field(default_factory=Counter)
    most_running: Counter[str] = field(default_factory=Counter)
    starts: int = 0
    refused_starts: int = 0
    stops: int = 0
    reclaimed: int = 0


class VmRegistry:
    """All VMs with their history, the pool of spare VMs and the reclaim notices.

    Examples
    ========

    >>> registry = VmRegistry()
    >>> _ = registry.register(StandinVm("llm-1", "abdoun-hall", "127.0.0.1:1", serves="m"))
    >>> [vm.name for vm in registry.list_vms("abdoun-hall", lag_ms=0)]
    ['llm-1']
    >>> registry.list_vms("abdoun-hall", lag_ms=60_000)
    []
    >>> registry.stop("llm-1"), registry.stop("llm-1"), registry.counts.stops
    (True, True, 1)
    """

    def __init__(self) -> None:
        self.version = 0
        self.changed = ChangeSignal()
        self.counts = CloudCounts()
        self.notices: list[Notice] = []
        self._history: dict[str, list[tuple[float, StandinVm]]] = {}
        self._spares: list[StandinVm] = []
        self._by_token: dict[str, str] = {}
        self._uses: Counter[str] = Counter()

    def register(self, vm: StandinVm) -> StandinVm:
        """Add a VM; a VM in state ``spare`` joins the pool from which VMs are started."""
        if vm.state == SPARE:
            self._spares.append(vm)
            return vm
        return self._record(vm)

    def _record(self, vm: StandinVm) -> StandinVm:
        self.version += 1
        versioned = replace(vm, version=self.version)
        before = self.find(vm.name)
        history = self._history.setdefault(vm.name, [])
        history.append((time.monotonic() * MS_PER_SECOND, versioned))
        self._count(before, versioned)
        self.changed.announce()
        return versioned

    def _count(self, before: StandinVm | None, after: StandinVm) -> None:
        was_running = before is not None and before.state in LISTED_STATES
        is_running = after.state in LISTED_STATES
        running = self.counts.running
        running[after.serves] += int(is_running) - int(was_running)
        most = self.counts.most_running
        most[after.serves] = max(most[after.serves], running[after.serves])

    def find(self, name: str) -> StandinVm | None:
        """Return the current state of a VM, without the list's lag."""
        history = self._history.get(name)
        return history[-1][1] if history else None

    def list_vms(self, zone: str | None, lag_ms: float) -> list[StandinVm]:
        """Return the listed VMs in their state `lag_ms` ago."""
        seen_at = time.monotonic() * MS_PER_SECOND - lag_ms
        seen = [self._find_at(name, seen_at) for name in self._history]
        return [
            vm
            for vm in seen
            if vm is not None and vm.state in LISTED_STATES and zone in (None, "", vm.zone)
        ]

    def _find_at(self, name: str, seen_at: float) -> StandinVm | None:
        states = [vm for at, vm in self._history[name] if at <= seen_at]
        return states[-1] if states else None

    def start(self, request: StartRequest, start_ms: float) -> StandinVm | None:
        """Start a VM from the spare pool; return None if no spare VM fits.

        A repeated call with the same token returns the VM that the first call started.
        """
        started_name = self._by_token.get(request.token)
        if started_name is not None:
            return self.find(started_name)
        spare = self._take_spare(request)
        if spare is None:
            self.counts.refused_starts += 1
            return None
        self._uses[spare.name] += 1
        uses = self._uses[spare.name]
        name = spare.name if uses == 1 else f"{spare.name}-{uses}"
        started = replace(spare, name=name, serves=request.serves, state="starting")
        self._by_token[request.token] = name
        self.counts.starts += 1
        recorded = self._record(started)
        gevent.spawn_later(start_ms / MS_PER_SECOND, self._become_live, name)
        return recorded

    def _take_spare(self, request: StartRequest) -> StandinVm | None:
        for spare in self._spares:
            fits_place = (spare.zone, spare.machine_class) == (request.zone, request.machine_class)
            if fits_place and spare.serves in ("", request.serves):
                self._spares.remove(spare)
                return spare
        return None

    def _become_live(self, name: str) -> None:
        vm = self.find(name)
        if vm is not None and vm.state == "starting":
            self._record(replace(vm, state="live"))

    def stop(self, name: str) -> bool:
        """Stop a VM, unless it has stopped already; return whether the VM exists."""
        vm = self.find(name)
        if vm is None:
            return False
        if vm.state != GONE:
            self.counts.stops += 1
            self._record(replace(vm, state=GONE))
        return True

    def reclaim(
        self, names: list[str], zone: str | None, notice_ms: float, copies: int = 1
    ) -> list[Notice]:
        """Give reclaim notice to VMs, and terminate them at the end of the notice period.

        Parameters
        ==========

        names : VMs to reclaim.
        zone : zone whose VMs are all reclaimed as well; None for none.
        notice_ms : notice period.
        copies : how often each notice is sent; each repetition has a new number.
        """
        listed = self.list_vms(zone, lag_ms=0) if zone else []
        wanted = list(names) + [vm.name for vm in listed if vm.name not in names]
        deadline = int(time.time() * MS_PER_SECOND + notice_ms)
        given = []
        for name in wanted:
            vm = self.find(name)
            if vm is None or vm.state == GONE:
                continue
            self._record(replace(vm, state="leaving"))
            given += [self._add_notice(vm, deadline) for _ in range(copies)]
            gevent.spawn_later(notice_ms / MS_PER_SECOND, self._terminate, name)
        self.changed.announce()
        return given

    def _add_notice(self, vm: StandinVm, deadline: int) -> Notice:
        notice = Notice(len(self.notices) + 1, vm.name, vm.zone, deadline)
        self.notices.append(notice)
        return notice

    def _terminate(self, name: str) -> None:
        vm = self.find(name)
        if vm is not None and vm.state != GONE:
            self.counts.reclaimed += 1
            self._record(replace(vm, state=GONE))

    def terminate(self, name: str) -> bool:
        """Terminate a VM without notice, as a crash does; return whether the VM exists."""
        exists = self.find(name) is not None
        self._terminate(name)
        return exists

    def watch_notices(self, zone: str | None, since: int, wait_ms: float) -> list[Notice]:
        """Return the notices after number `since`, waiting up to `wait_ms` for the first."""
        deadline = time.monotonic() + wait_ms / MS_PER_SECOND
        while True:
            found = [notice for notice in self.notices[since:] if zone in (None, "", notice.zone)]
            left_ms = (deadline - time.monotonic()) * MS_PER_SECOND
            if found or left_ms <= 0:
                return found
            self.changed.wait(left_ms)


def render_vm(vm: StandinVm) -> dict[str, Any]:
    """Return the VM as a JSON-serializable dictionary."""
    return asdict(vm)
