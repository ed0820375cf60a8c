"""Bounds the age of what a gateway knows of the object service, whatever becomes of watches and watchers.

A watch that waits looks the same whether nothing changes or nobody answers any more. So some gateway asks
the service at short intervals, with one short call, whether there is a change that it does not know, and tells
all others up to which version there is none. Whoever knows the last change thereby knows that it knows
everything. The first gateway of the fleet asks soonest; the first ones of the zones ask when no confirmation
of it has come, and any gateway asks for itself before its knowledge is too old.

This needs neither a majority nor a list that rests, and costs a fleet of any size one or two calls a second
for each kind of objects.
"""

import random
from collections.abc import Callable, Mapping
from dataclasses import replace
from enum import Enum

from hemlockswitch.connection.peers import PeerNetwork
from hemlockswitch.core.clock import Clock
from hemlockswitch.core.errors import PlatformError
from hemlockswitch.core.events import Event
from hemlockswitch.core.logs import log_event
from hemlockswitch.process.gateway.change_relay import send_to_first
from hemlockswitch.process.gateway.fleet import Fleet
from hemlockswitch.process.gateway.follower import RETRY_MS, ObjectFollower
from hemlockswitch.process.gateway.messages import VersionConfirmation
from hemlockswitch.process.gateway.transit import TransitTimes

START_MS = 2_000.0
"""How long after its start a gateway does not ask: it has just listed, and does not know yet who else
asks."""
STALE_MS = 2_000.0
"""A gateway whose knowledge is this old does not hear the object service: a server that leaves must get
nothing new two seconds after it said so."""
LEAST_TOLD_MS = 200.0
"""A confirmation that is this little younger than one that was heard is not told."""


class AskTurn(Enum):
    """How old what a gateway knows may become before it asks: (least, most) in milliseconds.

    The times leave room for a confirmation that is on its way, and for a request to reach its server
    before two seconds are over.
    """

    FLEET = (700.0, 700.0)
    ZONE = (800.0, 1_000.0)
    SELF = (1_050.0, 1_300.0)


class ConfirmationExchange:
    """Tells the others up to which version a gateway knows a kind of objects, and hears of theirs.

    Parameters
    ==========

    network, fleet : the other gateways.
    followers : of each kind.
    transits : of the messages of the other gateways.
    clock : the time.
    """

    def __init__(
        self,
        network: PeerNetwork,
        fleet: Fleet,
        followers: Mapping[str, ObjectFollower],
        transits: TransitTimes,
        clock: Clock,
    ) -> None:
        self._transits = transits
        self._network = network
        self._fleet = fleet
        self._followers = followers
        self._clock = clock
        network.handle(VersionConfirmation, self._take, quick=True)

    def tell(self, follower: ObjectFollower) -> None:
        """Tell every gateway of a small fleet, or one of each zone, which passes it on there."""
        confirmation = VersionConfirmation(
            follower.kind,
            follower.changed_version,
            follower.version,
            follower.measure_age_ms(),
            self._clock.now_ms(),
        )
        if not self._fleet.reports_by_zone:
            self._tell_near(confirmation)
            return
        for relays in self._fleet.draw_relays():
            send_to_first(self._network, relays, confirmation)

    def _tell_near(self, confirmation: VersionConfirmation) -> None:
        self._network.send_all([peer.address for peer in self._fleet.list_near()], confirmation)

    def _take(self, address: str, confirmation: VersionConfirmation) -> None:
        delay_ms = self._transits.measure_delay_ms(address, confirmation.sent_ms)
        age_ms = confirmation.age_ms + delay_ms
        now_ms = self._clock.now_ms()
        follower = self._followers.get(confirmation.kind)
        if follower is not None:
            follower.take_confirmation(confirmation.changed, confirmation.until, now_ms - age_ms)
        if self._fleet.reports_by_zone and not confirmation.is_passed_on:
            self._tell_near(replace(confirmation, age_ms=age_ms, sent_ms=now_ms, is_passed_on=True))


class FreshnessKeeper:
    """Asks the service for one kind of objects whenever nothing was confirmed for a while.

    Parameters
    ==========

    follower : of the kind.
    find_turn : returns whether this gateway is to ask sooner than others.
    tell : tells the other gateways what the service has said.
    clock : the time.
    chance : source of random numbers.
    """

    def __init__(
        self,
        follower: ObjectFollower,
        find_turn: Callable[[], AskTurn],
        tell: Callable[[ObjectFollower], None],
        clock: Clock,
        chance: random.Random | None = None,
    ) -> None:
        self._follower = follower
        self._find_turn = find_turn
        self._tell = tell
        self._clock = clock
        self._chance = chance or random.Random()
        self._started_ms = clock.now_ms()
        self._is_late = False

    def run(self) -> None:
        """Keep the knowledge fresh until the task is ended."""
        while True:
            self.take_step()

    def take_step(self) -> None:
        """Wait until what is known is too old, and ask."""
        limit_ms = self._chance.uniform(*self._find_turn().value)
        while (wait_ms := self._find_due_ms(limit_ms) - self._clock.now_ms()) > 0:
            self._clock.sleep_ms(wait_ms)
        if not self._follower.is_synced:
            self._clock.sleep_ms(RETRY_MS)
            return
        known_ms = self._follower.confirmed_ms
        try:
            self._follower.ask()
        except PlatformError:
            self._note_late()
            self._clock.sleep_ms(RETRY_MS)
            return
        self._note_late()
        if self._follower.confirmed_ms - known_ms >= LEAST_TOLD_MS:
            self._tell(self._follower)

    def _find_due_ms(self, limit_ms: float) -> float:
        return max(self._follower.confirmed_ms + limit_ms, self._started_ms + START_MS)

    def _note_late(self) -> None:
        """Log when the knowledge has become old, and when it is fresh again."""
        age_ms = self._follower.measure_age_ms()
        is_late = age_ms >= STALE_MS
        if is_late != self._is_late:
            log_event(
                Event.VIEW_AGED if is_late else Event.VIEW_FRESH,
                "warning" if is_late else "info",
                kind=self._follower.kind,
                version=self._follower.version,
                age_ms=round(age_ms),
            )
        self._is_late = is_late
