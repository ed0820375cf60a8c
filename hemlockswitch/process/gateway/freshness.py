"""Bounds the age of a gateway's view of the object service, even if watches and watchers fail.

A waiting watch does not show whether nothing changes or the service no longer answers. Therefore one gateway
queries the service at short intervals, with one short call, for changes that it has not received, and sends
to all other gateways the version up to which there are none. A gateway that has received the last change
is thereby confirmed to be up to date. The first gateway of the fleet queries soonest; the first gateways of
the zones query when its confirmation does not arrive, and any gateway queries for itself before its view is
too old.

This needs neither a majority nor a stable list of gateways, and costs a fleet of any size one or two calls a
second for each kind of objects.
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
from hemlockswitch.process.gateway.follower import RETRY_DELAY_MS, ObjectFollower
from hemlockswitch.process.gateway.messages import VersionConfirmation
from hemlockswitch.process.gateway.transit import TransitTimes

START_DELAY_MS = 2_000.0
"""How long after its start a gateway does not query the service: it has just listed the objects, and has no
reports yet that show which gateway queries."""
STALE_VIEW_MS = 2_000.0
"""Age at which a view is stale and the gateway counts as cut off from the object service: a leaving server
must get no new requests two seconds after it announced that it leaves."""
MIN_CONFIRMATION_GAIN_MS = 200.0
"""A confirmation is sent only if it is at least this much newer than the last one received."""


class QueryScope(Enum):
    """The age of the view at which a gateway queries the service: (minimum, maximum) in milliseconds.

    The times leave room for a confirmation in transit, and for a request to reach its server within two
    seconds.
    """

    FLEET = (700.0, 700.0)
    ZONE = (800.0, 1_000.0)
    SELF = (1_050.0, 1_300.0)


class ConfirmationExchange:
    """Exchanges confirmations of the version up to which the changes of a kind are complete.

    Parameters
    ==========

    network, fleet : the other gateways.
    followers : the follower of each kind.
    transits : the transit times of the messages of other gateways.
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
        network.handle(VersionConfirmation, self._apply, runs_inline=True)

    def send(self, follower: ObjectFollower) -> None:
        """Send a confirmation to every gateway of a small fleet, or to one relay of each zone."""
        confirmation = VersionConfirmation(
            follower.kind,
            follower.changed_version,
            follower.version,
            follower.measure_age_ms(),
            self._clock.now_ms(),
        )
        if not self._fleet.reports_by_zone:
            self._send_near(confirmation)
            return
        for relays in self._fleet.draw_relays():
            send_to_first(self._network, relays, confirmation)

    def _send_near(self, confirmation: VersionConfirmation) -> None:
        self._network.send_all([peer.address for peer in self._fleet.list_near()], confirmation)

    def _apply(self, address: str, confirmation: VersionConfirmation) -> None:
        delay_ms = self._transits.measure_delay_ms(address, confirmation.sent_ms)
        age_ms = confirmation.age_ms + delay_ms
        now_ms = self._clock.now_ms()
        follower = self._followers.get(confirmation.kind)
        if follower is not None:
            follower.apply_confirmation(confirmation.changed, confirmation.until, now_ms - age_ms)
        if self._fleet.reports_by_zone and not confirmation.is_passed_on:
            self._send_near(replace(confirmation, age_ms=age_ms, sent_ms=now_ms, is_passed_on=True))


class ViewRefresher:
    """Queries the service for one kind of objects when the last confirmation is too old.

    Parameters
    ==========

    follower : the follower of the kind.
    find_scope : returns for whom this gateway queries, which determines how soon it does.
    send : sends the confirmation to the other gateways.
    clock : the time.
    rng : source of random numbers.
    """

    def __init__(
        self,
        follower: ObjectFollower,
        find_scope: Callable[[], QueryScope],
        send: Callable[[ObjectFollower], None],
        clock: Clock,
        rng: random.Random | None = None,
    ) -> None:
        self._follower = follower
        self._find_scope = find_scope
        self._send = send
        self._clock = clock
        self._rng = rng or random.Random()
        self._started_ms = clock.now_ms()
        self._is_stale = False

    def run(self) -> None:
        """Keep the view fresh until the task is killed."""
        while True:
            self.run_step()

    def run_step(self) -> None:
        """Wait until the last confirmation is too old, and query the service."""
        limit_ms = self._rng.uniform(*self._find_scope().value)
        while (wait_ms := self._find_due_ms(limit_ms) - self._clock.now_ms()) > 0:
            self._clock.sleep_ms(wait_ms)
        if not self._follower.is_synced:
            self._clock.sleep_ms(RETRY_DELAY_MS)
            return
        confirmed_before_ms = self._follower.confirmed_ms
        try:
            self._follower.query()
        except PlatformError:
            self._log_staleness()
            self._clock.sleep_ms(RETRY_DELAY_MS)
            return
        self._log_staleness()
        if self._follower.confirmed_ms - confirmed_before_ms >= MIN_CONFIRMATION_GAIN_MS:
            self._send(self._follower)

    def _find_due_ms(self, limit_ms: float) -> float:
        return max(self._follower.confirmed_ms + limit_ms, self._started_ms + START_DELAY_MS)

    def _log_staleness(self) -> None:
        """Log when the view becomes stale, and when it is fresh again."""
        age_ms = self._follower.measure_age_ms()
        is_stale = age_ms >= STALE_VIEW_MS
        if is_stale != self._is_stale:
            log_event(
                Event.VIEW_AGED if is_stale else Event.VIEW_FRESH,
                "warning" if is_stale else "info",
                kind=self._follower.kind,
                version=self._follower.version,
                age_ms=round(age_ms),
            )
        self._is_stale = is_stale
