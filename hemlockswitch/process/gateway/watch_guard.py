"""Detects stalled watches from the reports of the other gateways.

A store that is down may swallow a watch request, and a connection may go dead while the remote kernel
still answers its keep-alive probes. Such a watch returns nothing until its own time-out of some 25 s,
while other gateways already receive changes. There are three signs of a stalled watch: another gateway
saw an outage end after this watch was sent, another gateway has a newer configuration, or most other
gateways agree on a different list of backend servers. Each sign renews the watch, which costs one call.

These signs may come late or not at all; `process.gateway.freshness` bounds the age of the state.
"""

from collections import Counter
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from enum import StrEnum

from hemlockswitch.connection.backoff import Outage
from hemlockswitch.core.clock import Clock
from hemlockswitch.core.events import Event
from hemlockswitch.core.logs import log_event
from hemlockswitch.process.gateway.follower import ObjectFollower
from hemlockswitch.process.gateway.report_period import ReportPeriod

OUTAGE_MARGIN_MS = 1_500.0
"""Uncertainty of the beginning of an outage: it may have begun this much before it was noticed, because
the holder of the duties calls the store once a second, and may have reached another gateway this much
later."""
MIN_RENEWED_WATCH_AGE_MS = 1_000.0
"""Minimum age of a watch that is renewed because of a difference: the answer of a younger one may still be
in transit, and a lasting difference must cost few calls."""
MIN_AGREEING_GATEWAYS = 2


class RenewalReason(StrEnum):
    """Why a watch is renewed."""

    OUTAGE_ENDED = "outage_ended"
    OTHERS_KNOW_MORE = "others_know_more"


@dataclass(frozen=True)
class StoreView:
    """A gateway's view of the object service.

    Parameters
    ==========

    revision : the revision of the configuration in force; 0 if there is none.
    servers_digest : a hash of the recorded backend servers and their states.
    outage : the last outage that the gateway noticed, by this process's clock; None if there was none.
    relayed : by kind of object, the version up to which the gateway has relayed changes to its zone;
        empty while it does not watch for its zone (`process.gateway.relayed_watch`).
    held_digest : a hash of the quarantined requests (`request.quarantine`); 0 if none.
    age_ms : the age of the oldest kind in the view when it was reported (`process.gateway.freshness`).
    """

    revision: int = 0
    servers_digest: int = 0
    outage: Outage | None = None
    relayed: Mapping[str, int] = field(default_factory=dict)
    held_digest: int = 0
    age_ms: float = 0.0


class WatchGuard:
    """Compares this gateway's view with those of the other gateways, and renews stalled watches.

    Parameters
    ==========

    configuration, servers : the followers whose watches are checked.
    get_own_view : returns this gateway's view.
    get_near_period, get_far_period : return the time between two reports of near and of far gateways.
    clock : the time.
    """

    def __init__(
        self,
        configuration: ObjectFollower,
        servers: ObjectFollower,
        get_own_view: Callable[[], StoreView],
        get_near_period: Callable[[], ReportPeriod],
        get_far_period: Callable[[], ReportPeriod],
        clock: Clock,
    ) -> None:
        self._configuration = configuration
        self._servers = servers
        self._get_own_view = get_own_view
        self._get_near_period = get_near_period
        self._get_far_period = get_far_period
        self._clock = clock
        self._differs_since_ms: dict[ObjectFollower, float] = {}

    def compare(self, others: list[StoreView]) -> None:
        """Check the latest views of the connected gateways for the signs of a stalled watch."""
        outages = [view.outage for view in others if view.outage is not None]
        for follower in (self._configuration, self._servers):
            self._check_outages(follower, outages)
        own = self._get_own_view()
        # A higher revision is newer whatever the age of its report, but hashes of servers have no order.
        is_behind = any(view.revision > own.revision for view in others)
        self._record_difference(self._configuration, is_behind, self._get_near_period())
        differs = _differs_from_most(own, others)
        self._record_difference(self._servers, differs, self._get_far_period())

    def _check_outages(self, follower: ObjectFollower, outages: list[Outage]) -> None:
        """Renew a watch that was sent while the store was down."""
        sent_ms = follower.watch_sent_ms
        if sent_ms is None:
            return
        if any(_may_be_lost(outage, sent_ms, follower.received_ms) for outage in outages):
            self._renew(follower, sent_ms, RenewalReason.OUTAGE_ENDED)

    def _record_difference(
        self, follower: ObjectFollower, differs: bool, period: ReportPeriod
    ) -> None:
        now_ms = self._clock.now_ms()
        if not differs:
            self._differs_since_ms.pop(follower, None)
            return
        since_ms = self._differs_since_ms.setdefault(follower, now_ms)
        sent_ms = follower.watch_sent_ms
        has_lasted = now_ms - since_ms >= period.difference_ms
        if has_lasted and sent_ms is not None and now_ms - sent_ms >= MIN_RENEWED_WATCH_AGE_MS:
            self._renew(follower, sent_ms, RenewalReason.OTHERS_KNOW_MORE)

    def _renew(self, follower: ObjectFollower, sent_ms: float, reason: RenewalReason) -> None:
        waited_ms = round(self._clock.now_ms() - sent_ms)
        log_event(
            Event.WATCH_RENEWED, watch=follower.kind, reason=reason.value, waited_ms=waited_ms
        )
        follower.renew_watch()


def _may_be_lost(outage: Outage, sent_ms: float, answered_ms: float) -> bool:
    """Return whether a watch may have been sent to a store that was down.

    If the store answered this gateway well inside the outage, it was down for the other gateway only.
    """
    was_sent_inside = outage.began_ms - OUTAGE_MARGIN_MS <= sent_ms <= outage.ended_ms
    was_answered_inside = outage.began_ms + OUTAGE_MARGIN_MS <= answered_ms <= sent_ms
    return was_sent_inside and not was_answered_inside


def _differs_from_most(own: StoreView, others: list[StoreView]) -> bool:
    """Return whether more than half of the other gateways agree on a different list of servers."""
    if len(others) < MIN_AGREEING_GATEWAYS:
        return False
    digest, count = Counter(view.servers_digest for view in others).most_common(1)[0]
    return digest != own.servers_digest and count > len(others) / 2
