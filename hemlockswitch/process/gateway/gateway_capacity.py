"""The spare capacity of this gateway and of the others, by which relays, watchers, tunnels and duties are assigned.

Each gateway measures its own spare twice a second and states it in its reports. A choice is made by whoever needs
it, from the last reports, without a message for it. It is in force only while a managed service is known here;
otherwise gateways are ranked by their links.
"""

import math
import time
from collections.abc import Callable, Iterable
from typing import Any, Protocol

from hemlockswitch.connection.byte_counts import ByteCounts
from hemlockswitch.core.clock import MS_PER_SECOND, NANOSECONDS_PER_MS, Clock
from hemlockswitch.core.events import Event
from hemlockswitch.core.logs import log_event
from hemlockswitch.process.gateway.fleet import Fleet
from hemlockswitch.process.gateway.messages import GatewayReport
from hemlockswitch.process.gateway.peer_groups import CachedRank, Peer
from hemlockswitch.process.gateway.report_period import ReportPeriod
from hemlockswitch.request.capacity_rank import (
    ENOUGH_SPARE,
    Rank,
    StableSpare,
    find_free_mbps,
    is_below_overloaded,
    rank_by_link,
    rank_by_spare,
    select_overloaded,
)

SAMPLE_INTERVAL_MS = 500.0
FULL_LATENESS_MS = 50.0
"""Lateness of the timer at which nothing of the processor is free. A request passes the event loop some five times
from its arrival to its answer, so that it would wait for a quarter of a second there."""
CONGESTED_LATENESS_MS = 25.0
CONGESTED_SAMPLES = 3
"""The event loop is congested if this number of samples in a row are late by `CONGESTED_LATENESS_MS`. A single late
one may come from one long task."""
ON_TIME_MS = 10.0
WHOLE_CORE = 0.98
"""A loop that uses a whole core delays its timer. If the timer is on time, the processor clock also counts the time
in which the process waits, as it does on some virtual machines, and only the lateness of the timer is used."""
NEAR_GRANT = 1.0 - ENOUGH_SPARE
GRANT_GAIN = 0.2
GRANT_GROWTH = 1.25
"""While the loop is congested, the estimated grant approaches the processor time used by `GRANT_GAIN` for each sample.
It grows by `GRANT_GROWTH` when at least `NEAR_GRANT` of it is used and the timer is on time. It is too low then, as the
congestion came from other processes on the machine; a gateway whose timer is on time is not ranked behind the others
for that estimate alone."""
GRANT_MEMORY_MS = 300_000.0
"""The estimated grant returns to a full core with this time constant."""
OVERLOADED_CACHE_MS = SAMPLE_INTERVAL_MS
"""How long the set of overloaded gateways is cached: it may be asked for with each request."""


def read_processor_ms() -> float:
    """Return the processor time that this process has used."""
    return time.process_time_ns() / NANOSECONDS_PER_MS


class ProcessorMeter:
    """Estimates the free share of the processor that the machine grants this process.

    Explanation
    ===========

    The grant may be a fraction of a core, and is not known. It is learned while the event loop is congested, as the
    processor time that the process then gets. The lateness of a timer counts by itself as well, since it shows a
    shortage at once and whatever its cause.

    Examples
    ========

    >>> meter = ProcessorMeter()
    >>> meter.measure_free(500.0, 0.0, 125.0)
    0.75
    >>> [round(meter.measure_free(600.0, 100.0, 150.0)) for _ in range(20)][-1]  # quarter of a core, congested
    0
    >>> round(meter.measure_free(500.0, 0.0, 62.5), 1)
    0.5
    """

    def __init__(self) -> None:
        self.grant = 1.0
        self._late_in_a_row = 0

    def measure_free(self, elapsed_ms: float, late_ms: float, used_ms: float) -> float:
        """Return the free share over a sample.

        Parameters
        ==========

        elapsed_ms : length of the sample.
        late_ms : how late the timer at its end fired.
        used_ms : processor time that the process used during the sample.
        """
        used = used_ms / elapsed_ms
        if used >= WHOLE_CORE and late_ms <= ON_TIME_MS:
            used = 0.0
        self._learn_grant(elapsed_ms, late_ms, used)
        late_share = min(late_ms / FULL_LATENESS_MS, 1.0)
        return max(1.0 - max(used / self.grant, late_share), 0.0)

    def _learn_grant(self, elapsed_ms: float, late_ms: float, used: float) -> None:
        is_late = late_ms >= CONGESTED_LATENESS_MS
        self._late_in_a_row = self._late_in_a_row + 1 if is_late else 0
        grant = self.grant
        if self._late_in_a_row >= CONGESTED_SAMPLES and used < grant:
            grant += (used - grant) * GRANT_GAIN
        elif late_ms <= ON_TIME_MS and used >= grant * NEAR_GRANT:
            grant *= GRANT_GROWTH
        else:
            grant += (1.0 - grant) * elapsed_ms / GRANT_MEMORY_MS
        self.grant = min(max(grant, used, 0.01), 1.0)


class LinkMeter:
    """Estimates the free share of the link, from the bytes that the process sends and receives.

    The directions do not share the link's speed, so the busier one counts.

    Parameters
    ==========

    link_mbps : speed of the link; 0 if unknown, which counts as free.

    Examples
    ========

    >>> meter = LinkMeter(10.0)
    >>> meter.measure_free(500.0, ByteCounts(sent=312_500, received=100))
    0.5
    >>> meter.measure_free(500.0, ByteCounts(sent=312_500, received=100))
    1.0
    """

    def __init__(self, link_mbps: float) -> None:
        self._bits_per_ms = link_mbps * 1_000_000 / MS_PER_SECOND
        self._last = ByteCounts()

    def measure_free(self, elapsed_ms: float, total: ByteCounts) -> float:
        """Return the free share since the last call, at which `total` was counted up to then."""
        sent, received = total.sent - self._last.sent, total.received - self._last.received
        self._last = ByteCounts(total.sent, total.received)
        if not self._bits_per_ms:
            return 1.0
        return max(1.0 - max(sent, received) * 8 / elapsed_ms / self._bits_per_ms, 0.0)


def _states_overload(report: GatewayReport | None) -> bool:
    return report is not None and is_below_overloaded(report.spare)


def _find_end_ms(peer: Peer, report: GatewayReport) -> float:
    """Return until when the last report of a gateway is fresh."""
    return peer.reported_ms + ReportPeriod(report.period_ms).load_lifetime_ms


class ManagedState(Protocol):
    """Tells whether any service is managed."""

    @property
    def has_any(self) -> bool:
        """Whether any service is managed."""


class GatewayCapacity:
    """This gateway's spare, and the ranking of the gateways by theirs.

    Parameters
    ==========

    fleet : this gateway and its peers.
    managed : tells whether the spare is in use.
    count_bytes : returns the bytes sent and received over this gateway's link.
    clock : the time.
    read_processor_ms : returns the processor time that the process has used.

    Attributes
    ==========

    processor, processor_free, link_free : the estimate of the processor, and the free shares in the last sample.
    """

    def __init__(
        self,
        fleet: Fleet,
        managed: ManagedState,
        count_bytes: Callable[[], ByteCounts],
        clock: Clock,
        read_processor_ms: Callable[[], float] = read_processor_ms,
    ) -> None:
        self.processor_free = self.link_free = 1.0
        self.processor = ProcessorMeter()
        self._fleet = fleet
        self._managed = managed
        self._count_bytes = count_bytes
        self._clock = clock
        self._read_processor_ms = read_processor_ms
        self._spare = StableSpare()
        self._stated: float | None = None
        self._sampled_ms: float | None = None
        self._used_ms = 0.0
        self._link = LinkMeter(fleet.link_mbps)
        self._overloaded: frozenset[str] = frozenset()
        self._overloaded_ms = float("-inf")

    @property
    def is_active(self) -> bool:
        """Whether gateways are chosen by their spare."""
        return self._managed.has_any

    @property
    def own_spare(self) -> float | None:
        """The spare of this gateway as last reported; None if none was reported."""
        return self._stated if self.is_active else None

    def run(self) -> None:
        """Measure until the task is killed."""
        while True:
            due_ms = self._clock.now_ms() + SAMPLE_INTERVAL_MS
            self._clock.sleep_ms(SAMPLE_INTERVAL_MS)
            self.measure(max(self._clock.now_ms() - due_ms, 0.0))

    def measure(self, late_ms: float) -> None:
        """Measure the spare since the last call, which a timer has made `late_ms` after it was due."""
        if not self.is_active:
            self._spare, self._stated, self._sampled_ms = StableSpare(), None, None
            return
        now_ms, used_ms, total = (
            self._clock.now_ms(),
            self._read_processor_ms(),
            self._count_bytes(),
        )
        last_ms, last_used_ms = self._sampled_ms, self._used_ms
        self._sampled_ms, self._used_ms = now_ms, used_ms
        elapsed_ms = now_ms - last_ms if last_ms is not None else SAMPLE_INTERVAL_MS
        link_free = self._link.measure_free(elapsed_ms, total)
        if last_ms is None:
            return
        self.link_free = link_free
        self.processor_free = self.processor.measure_free(
            elapsed_ms, late_ms, used_ms - last_used_ms
        )
        was_overloaded = self._spare.is_overloaded
        self._spare.record(now_ms, min(self.processor_free, self.link_free))
        if self._spare.is_overloaded != was_overloaded:
            self._log_change(late_ms)

    def state_spare(self) -> float | None:
        """Return the spare for a report; this gateway ranks itself by what it last reported."""
        self._stated = self._spare.value if self.is_active else None
        return self._stated

    def find_spare(self, peer: Peer) -> float | None:
        """Return the spare of another gateway; None if it reports none, or its report is old."""
        report = peer.report
        if report is None or report.spare is None or not self.is_active:
            return None
        return report.spare if self._clock.now_ms() <= _find_end_ms(peer, report) else None

    def rank(self, peer: Peer) -> Rank:
        """Return the sort key of another gateway; the least is chosen first."""
        if not self.is_active:
            return rank_by_link(peer.name, peer.link_mbps)
        cached = peer.cached_rank
        if (
            cached is None
            or cached.report is not peer.report
            or cached.until_ms < self._clock.now_ms()
        ):
            cached = peer.cached_rank = self._make_rank(peer)
        return cached.key

    def _make_rank(self, peer: Peer) -> CachedRank:
        spare = self.find_spare(peer)
        key = rank_by_spare(peer.name, peer.link_mbps, spare)
        report = peer.report
        if report is None or spare is None:
            return CachedRank(report, math.inf, key)
        return CachedRank(report, _find_end_ms(peer, report), key)

    def rank_own(self) -> Rank:
        """Return the sort key of this gateway."""
        if not self.is_active:
            return rank_by_link(self._fleet.name, self._fleet.link_mbps)
        return rank_by_spare(self._fleet.name, self._fleet.link_mbps, self._stated)

    def is_overloaded(self, peer: Peer) -> bool:
        """Return whether another gateway counts as overloaded, as at most half of a zone does."""
        return peer.name in self._list_overloaded()

    def is_self_overloaded(self) -> bool:
        """Return whether this gateway counts as overloaded, as at most half of its zone does."""
        return self._fleet.name in self._list_overloaded()

    def select_not_overloaded(self, peers: Iterable[Peer]) -> list[Peer]:
        """Return the gateways that do not count as overloaded; all if all do."""
        listed = list(peers)
        overloaded = self._list_overloaded()
        return [peer for peer in listed if peer.name not in overloaded] or listed

    def find_free(self, peer: Peer) -> float:
        """Return the free part of a gateway's link in Mbit/s; 1 for every gateway while the spare is not in use."""
        if not self.is_active:
            return 1.0
        return find_free_mbps(peer.link_mbps, self.find_spare(peer))

    def describe(self) -> dict[str, Any]:
        """Return the state for the status page."""
        if not self.is_active:
            return {"in_use": False}
        now_ms = self._clock.now_ms()
        return {
            "in_use": True,
            "spare": self._stated,
            "overloaded": self.is_self_overloaded(),
            "processor_free": round(self.processor_free, 2),
            "processor_grant": round(self.processor.grant, 2),
            "link_free": round(self.link_free, 2),
            "measured_ms_ago": round(now_ms - self._sampled_ms) if self._sampled_ms else None,
            "overloaded_gateways": sorted(self._list_overloaded()),
            "spares": {
                peer.name: {"spare": spare, "ms_ago": round(now_ms - peer.reported_ms)}
                for peer in self._fleet.list_peers()
                if (spare := self.find_spare(peer)) is not None
            },
        }

    def _list_overloaded(self) -> frozenset[str]:
        """Return the names of the gateways that count as overloaded."""
        now_ms = self._clock.now_ms()
        if now_ms - self._overloaded_ms > OVERLOADED_CACHE_MS:
            self._overloaded_ms = now_ms
            self._overloaded = self._find_overloaded() if self.is_active else frozenset()
        return self._overloaded

    def _find_overloaded(self) -> frozenset[str]:
        zones = {peer.zone for peer in self._fleet.list_peers() if _states_overload(peer.report)}
        if is_below_overloaded(self._stated):
            zones.add(self._fleet.zone)
        return frozenset().union(*map(self._find_overloaded_in, zones))

    def _find_overloaded_in(self, zone: str) -> frozenset[str]:
        spares = {one.name: self.find_spare(one) for one in self._fleet.list_running(zone)}
        if zone == self._fleet.zone:
            spares[self._fleet.name] = self._stated
        return select_overloaded(spares)

    def _log_change(self, late_ms: float) -> None:
        log_event(
            Event.GATEWAY_OVERLOADED if self._spare.is_overloaded else Event.GATEWAY_RELIEVED,
            spare=self._spare.value,
            processor_free=round(self.processor_free, 2),
            processor_grant=round(self.processor.grant, 2),
            link_free=round(self.link_free, 2),
            late_ms=round(late_ms),
        )
