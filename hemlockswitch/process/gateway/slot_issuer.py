"""Issuing of permits for brittle backend servers."""

from collections.abc import Callable, Collection

from hemlockswitch.core.clock import Clock
from hemlockswitch.process.gateway.fleet import Fleet
from hemlockswitch.process.gateway.fleet_clock import read_boot_ms
from hemlockswitch.process.gateway.limit_messages import SlotRelease, SlotRequest
from hemlockswitch.process.gateway.permit_issuer import (
    CHECK_INTERVAL_MS,
    MIN_TAKEOVER_MS,
    PARTITION_FACTOR,
    SUSPENDED_MS,
    IssuerRanking,
)
from hemlockswitch.process.gateway.server_limits import ServerLimits
from hemlockswitch.request.permits import Decision, Verdict
from hemlockswitch.request.slots import Claim, SlotLedger, find_fleet_share

NEW_MS = 1_000.0
"""How long a server counts as having just become brittle."""
START_MS = 5_000.0
"""Time after the start of a process in which it may learn of servers that have long been brittle."""
DEFAULT_SLOTS = 1
"""Slots of a server that states none."""


class SlotIssuer:
    """Issues the permits of the brittle servers whose issuer this gateway is.

    Parameters
    ==========

    ranking : tells whose permits this gateway issues.
    fleet : the other gateways.
    brittle : the servers that are brittle.
    count_running : returns the number of requests of all gateways in progress on some servers.
    clock : the time.
    read_boot : returns milliseconds of a clock that also runs while the machine is suspended.

    Attributes
    ==========

    find_slots : returns the number of slots of a server, by its incarnation; 0 if it states none.
    """

    def __init__(
        self,
        ranking: IssuerRanking,
        fleet: Fleet,
        brittle: ServerLimits,
        count_running: Callable[[Collection[str]], int],
        clock: Clock,
        read_boot: Callable[[], float] = read_boot_ms,
    ) -> None:
        self.find_slots: Callable[[str], int] = lambda _: 0
        self._ranking = ranking
        self._fleet = fleet
        self._brittle = brittle
        self._count_running = count_running
        self._clock = clock
        self._read_boot = read_boot
        self._running_boot_ms = read_boot()
        self._started_ms = clock.now_ms()
        self._ledgers: dict[str, SlotLedger] = {}
        self._zones: dict[str, str] = {}

    def decide(self, request: SlotRequest) -> Decision:
        """Decide on a request for a permit."""
        incarnation, zone, *_ = request.statement
        self._discard_after_suspension()
        if not self._ranking.is_issuer(incarnation, zone):
            self._discard(incarnation)
            return Decision(Verdict.NOT_ISSUER)
        if not self._brittle.is_limited(incarnation):
            self._discard(incarnation)
            return Decision(Verdict.UNLIMITED)
        now_ms = self._clock.now_ms()
        ledger = self._find_ledger(incarnation, zone, now_ms)
        if ledger.has_unpermitted:
            ledger.reduce_unpermitted(self._count_running([incarnation]))
        slots = self.find_slots(incarnation) or DEFAULT_SLOTS
        capacity = find_fleet_share(slots, self._find_share())
        claim = Claim(request.name, request.permit, request.hold_ms, request.urgency)
        return ledger.take(now_ms, capacity, claim)

    def release(self, message: SlotRelease) -> None:
        """Apply the return of a permit."""
        ledger = self._ledgers.get(message.server)
        if ledger is None:
            return
        now_ms = self._clock.now_ms()
        if message.was_rejected:
            ledger.record_rejection(now_ms)
        ledger.release(now_ms, message.permit)

    def run(self) -> None:
        """Discard what is no longer in use until the task is killed."""
        while True:
            self._clock.sleep_ms(CHECK_INTERVAL_MS)
            self.check()

    def check(self) -> None:
        """Discard the ledgers of other issuers' servers, and the permits of gateways that have ended."""
        self._discard_after_suspension()
        for incarnation, zone in list(self._zones.items()):
            is_brittle = self._brittle.is_limited(incarnation)
            if not is_brittle or not self._ranking.is_issuer(incarnation, zone):
                self._discard(incarnation)
        if not self._ledgers:
            return
        running = {peer.name for peer in self._fleet.list_running(None)} | {self._fleet.name}
        for ledger in self._ledgers.values():
            ledger.drop_holders(running)

    def _find_ledger(self, incarnation: str, zone: str, now_ms: float) -> SlotLedger:
        ledger = self._ledgers.get(incarnation)
        if ledger is None:
            unpermitted = self._count_running([incarnation])
            opens_ms = now_ms + self._find_takeover_ms(incarnation, now_ms)
            ledger = self._ledgers[incarnation] = SlotLedger(opens_ms, unpermitted)
            self._zones[incarnation] = zone
        return ledger

    def _find_takeover_ms(self, incarnation: str, now_ms: float) -> float:
        """Return how long to wait for the permits of an earlier issuer; there is none if the server has just
        become brittle, while this process was running."""
        is_new = self._brittle.measure_limited_ms(incarnation) < NEW_MS
        if is_new and now_ms - self._started_ms > START_MS:
            return 0.0
        return max(MIN_TAKEOVER_MS, self._fleet.get_near_period().ms)

    def _discard(self, incarnation: str) -> None:
        self._ledgers.pop(incarnation, None)
        self._zones.pop(incarnation, None)

    def _discard_after_suspension(self) -> None:
        """Discard all ledgers if this process did not run for a while."""
        boot_ms = self._read_boot()
        if boot_ms - self._running_boot_ms > SUSPENDED_MS:
            self._ledgers.clear()
            self._zones.clear()
        self._running_boot_ms = boot_ms

    def _find_share(self) -> float:
        return min(PARTITION_FACTOR * self._fleet.get_connected_fraction(), 1.0)
