"""The groups of servers whose slots this gateway assigns; see `process.gateway.dispatchers`."""

from collections.abc import Callable, Collection
from dataclasses import dataclass

from hemlockswitch.core.clock import Clock
from hemlockswitch.core.events import Event
from hemlockswitch.core.identifiers import rank_rendezvous
from hemlockswitch.core.logs import log_event
from hemlockswitch.process.gateway.dispatch_messages import DispatchRelease, DispatchRequest
from hemlockswitch.process.gateway.fleet import Fleet
from hemlockswitch.process.gateway.fleet_clock import read_boot_ms
from hemlockswitch.process.gateway.permit_issuer import (
    MIN_TAKEOVER_MS,
    PARTITION_FACTOR,
    SUSPENDED_MS,
)
from hemlockswitch.process.gateway.registry import ServerRegistry
from hemlockswitch.process.gateway.server_paces import PERCENT, ServerPaces
from hemlockswitch.request.dispatch import (
    Decision,
    ServerRoom,
    SlotAsk,
    SlotDispatcher,
    Verdict,
    divide_servers,
)
from hemlockswitch.request.slots import find_fleet_share
from hemlockswitch.version.backend import BackendServer

RANK_LIFETIME_MS = 100.0
"""How long the ranking of the gateways for a group is used; at 1,700 gateways it costs a millisecond or two."""
IDLE_MS = 1_000.0
"""A group that got no request for this long was not short of room: requests were sent without slots meanwhile, and
are counted again."""
DISCARD_MS = 10_000.0
"""A group that got no request for this long is discarded: no booking of its is open."""
UNDISPATCHED_MS = 2_000.0
"""How long requests that were sent without a slot count at most: the reports of a gateway that ended are dropped
after about this time."""

GroupKey = tuple[str, int]


@dataclass
class _Group:
    dispatcher: SlotDispatcher
    asked_ms: float = float("-inf")
    counted_ms: float = float("-inf")


class SlotGroups:
    """Assigns the slots of the groups whose dispatcher this gateway is.

    Parameters
    ==========

    fleet : the other gateways.
    registry : the backend servers.
    paces : the paces of the servers.
    find_usual_ms : returns the usual time of a call of a service.
    count_running : returns the number of requests of all gateways in progress on some servers.
    clock : the time.
    read_boot : returns milliseconds of a clock that also runs while the machine is suspended.
    """

    def __init__(
        self,
        fleet: Fleet,
        registry: ServerRegistry,
        paces: ServerPaces,
        find_usual_ms: Callable[[str], float],
        count_running: Callable[[Collection[str]], int],
        clock: Clock,
        read_boot: Callable[[], float] = read_boot_ms,
    ) -> None:
        self._fleet = fleet
        self._registry = registry
        self._paces = paces
        self._find_usual_ms = find_usual_ms
        self._count_running = count_running
        self._clock = clock
        self._read_boot = read_boot
        self._running_boot_ms = read_boot()
        self._groups: dict[GroupKey, _Group] = {}
        self._abandoned: list[Decision] = []  # to be delivered by the next check
        self._first_since_ms: dict[GroupKey, float] = {}
        self._ranks: dict[GroupKey, tuple[float, str]] = {}
        self._divided: dict[str, tuple[tuple[str, ...], dict[str, int]]] = {}

    def divide(self, service: str) -> dict[str, int]:
        """Return the group of each ready server of a service, by its name."""
        names = tuple(sorted(server.name for server in self._registry.list_ready(service)))
        before = self._divided.get(service)
        if before is None or before[0] != names:
            before = self._divided[service] = (names, divide_servers(service, names))
        return before[1]

    def find_dispatcher(self, key: GroupKey) -> str:
        """Return the name of the gateway that assigns the slots of a group."""
        now_ms = self._clock.now_ms()
        ranked_ms, name = self._ranks.get(key, (float("-inf"), ""))
        if now_ms - ranked_ms > RANK_LIFETIME_MS:
            running = [peer.name for peer in self._fleet.list_running(None)] + [self._fleet.name]
            name = rank_rendezvous(f"{key[0]}/{key[1]}", running)[0]
            self._ranks[key] = (now_ms, name)
        return name

    def decide(self, request: DispatchRequest) -> tuple[Decision, list[Decision]]:
        """Return the decision on a request, and decisions on requests that waited."""
        now_ms = self._clock.now_ms()
        key = (request.service, request.group)
        self._discard_after_suspension()
        if not self._is_open(key, now_ms):
            return Decision(request.permit, request.name, Verdict.UNDISPATCHED), []
        group = self._groups.get(key)
        if group is None:
            usual_ms = self._find_usual_ms(request.service)
            group = self._groups[key] = _Group(SlotDispatcher(usual_ms))
        self._update(key, group, now_ms)
        if now_ms - group.asked_ms > IDLE_MS:
            self._count_undispatched(key, group, now_ms)
        group.asked_ms = now_ms
        ask = SlotAsk(
            holder=request.name,
            permit=request.permit,
            account=request.account,
            max_wait_ms=request.max_wait_ms,
            hold_ms=request.hold_ms,
            weight=request.weight,
            urgency=request.urgency,
            key=request.fingerprint,
            excluded=frozenset(request.excluded),
        )
        later = group.dispatcher.advance(now_ms)
        return group.dispatcher.ask(now_ms, ask), later

    def release(self, message: DispatchRelease) -> list[Decision]:
        """Apply the end of a request, and return the decisions on requests that waited."""
        group = self._groups.get((message.service, message.group))
        if group is None:
            return []
        now_ms = self._clock.now_ms()
        pace = message.pace_percent / PERCENT
        group.dispatcher.release(
            now_ms, message.permit, message.took_ms, pace, was_rejected=message.was_rejected
        )
        return group.dispatcher.advance(now_ms)

    def withdraw(self, permit: str) -> list[Decision]:
        """Remove a request, and return the decisions on requests that waited."""
        decisions: list[Decision] = []
        for group in self._groups.values():
            group.dispatcher.withdraw(permit)
            decisions += group.dispatcher.advance(self._clock.now_ms())
        return decisions

    def check(self, services: Collection[str]) -> list[Decision]:
        """Apply changes of servers and gateways, and return the decisions on requests that waited.

        Parameters
        ==========

        services : the plain services that are managed.
        """
        now_ms = self._clock.now_ms()
        self._discard_after_suspension()
        for service in services:
            for number in set(self.divide(service).values()):
                self._is_open((service, number), now_ms)
        decisions, self._abandoned = self._abandoned, []
        if not self._groups:
            return decisions
        running = {peer.name for peer in self._fleet.list_running(None)} | {self._fleet.name}
        for key, group in list(self._groups.items()):
            if now_ms - group.asked_ms > DISCARD_MS or key[0] not in services:
                self._discard(key)
            elif self._is_open(key, now_ms):
                self._update(key, group, now_ms)
                group.dispatcher.drop_holders(running)
                group.dispatcher.drop_expired(now_ms)
                decisions += group.dispatcher.advance(now_ms)
        return decisions

    @property
    def has_queued(self) -> bool:
        """Whether requests wait here."""
        return any(group.dispatcher.queued for group in self._groups.values())

    def count_queued(self) -> int:
        """Return the number of requests that wait here."""
        return sum(group.dispatcher.queued for group in self._groups.values())

    def count_held(self) -> int:
        """Return the number of slots assigned here."""
        return sum(group.dispatcher.held for group in self._groups.values())

    def describe(self) -> dict[str, object]:
        """Return the groups for the status page."""
        now_ms = self._clock.now_ms()
        return {
            f"{service}/{number}": {
                "asked_ms_ago": round(now_ms - group.asked_ms),
                **group.dispatcher.describe(now_ms),
            }
            for (service, number), group in sorted(self._groups.items())
        }

    def _is_open(self, key: GroupKey, now_ms: float) -> bool:
        """Return whether this gateway assigns the slots of a group.

        After it has become the first, it waits until a former dispatcher has received its reports and stopped.
        """
        if not self._fleet.is_listed or self.find_dispatcher(key) != self._fleet.name:
            self._first_since_ms.pop(key, None)
            self._discard(key)
            return False
        since_ms = self._first_since_ms.setdefault(key, now_ms)
        return now_ms - since_ms >= max(MIN_TAKEOVER_MS, self._fleet.get_near_period().ms)

    def _list_servers(self, key: GroupKey) -> list[BackendServer]:
        groups = self.divide(key[0])
        ready = self._registry.list_ready(key[0])
        return [server for server in ready if groups.get(server.name) == key[1]]

    def _update(self, key: GroupKey, group: _Group, now_ms: float) -> None:
        share = min(PARTITION_FACTOR * self._fleet.get_connected_fraction(), 1.0)
        group.dispatcher.update_servers(
            ServerRoom(
                server.incarnation,
                find_fleet_share(server.slots, share),
                self._paces.find_pace(server.incarnation),
            )
            for server in self._list_servers(key)
        )
        for incarnation in group.dispatcher.list_undispatched():
            is_old = now_ms - group.counted_ms > UNDISPATCHED_MS
            running = 0 if is_old else self._count_running([incarnation])
            group.dispatcher.reduce_undispatched(incarnation, running)

    def _count_undispatched(self, key: GroupKey, group: _Group, now_ms: float) -> None:
        group.counted_ms = now_ms
        for server in self._list_servers(key):
            running = self._count_running([server.incarnation])
            group.dispatcher.record_undispatched(server.incarnation, running)
        log_event(Event.DISPATCH_BEGAN, service=key[0], group=key[1])

    def _discard(self, key: GroupKey) -> None:
        group = self._groups.pop(key, None)
        if group is not None:
            self._abandoned += group.dispatcher.abandon(self._clock.now_ms())
            log_event(Event.DISPATCH_ENDED, service=key[0], group=key[1])

    def _discard_after_suspension(self) -> None:
        """Discard all groups if this process did not run for a while: another one may have taken them over."""
        boot_ms = self._read_boot()
        if boot_ms - self._running_boot_ms > SUSPENDED_MS:
            for key in list(self._groups):
                self._discard(key)
            self._first_since_ms.clear()
        self._running_boot_ms = boot_ms
