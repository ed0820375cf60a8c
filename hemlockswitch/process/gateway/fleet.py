"""The other gateways: their registrations in the object service, and their last reports.

Each gateway registers its address once and lists the registrations from time to time. A gateway that
has not been listed yet is added with its first report (`process.gateway.reports`).
"""

from collections import Counter
from collections.abc import Callable
from typing import Any

from hemlockswitch.connection.stored_objects import (
    ListedStore,
    ObjectPage,
    StoredObject,
    Unknown,
    Written,
)
from hemlockswitch.core.clock import Clock
from hemlockswitch.core.errors import PlatformError
from hemlockswitch.core.events import Event
from hemlockswitch.core.logs import log_event
from hemlockswitch.process.gateway.messages import GatewayReport
from hemlockswitch.process.gateway.peer_groups import (
    Peer,
    PeerGroups,
    ReportedLinks,
    draw_relays,
    rank_peer_by_link,
)
from hemlockswitch.process.gateway.registrations import GATEWAY_KIND, Registration
from hemlockswitch.process.gateway.report_period import ReportPeriod, UsagePeriod
from hemlockswitch.process.gateway.stream_holders import HolderRing
from hemlockswitch.process.gateway.watch_guard import StoreView
from hemlockswitch.request.capacity_rank import Rank, rank_by_link

LIST_INTERVAL_MS = 10_000.0
"""Time between two lists of the registrations; gateways that start in between are added with their first
report."""
INITIAL_LIST_INTERVAL_MS = 1_000.0
"""Time between two lists while this gateway is not registered, or connected to no other one: after an end of all,
the registrations may have the addresses of before."""
MAX_LIST_AGE_MS = 5_000.0
"""Maximum age of a list, which may lack a registration that was written shortly before."""
GATEWAY_REMOVAL_DELAY_MS = 30_000.0
"""A gateway from which the holder of the duties has received nothing for this long is removed for good, and
its share of the limits goes to the other gateways. In a longer partition a gateway that is cut off keeps
its share, so limits may be exceeded by the shares of the gateways that are cut off."""
CONNECTED_CACHE_MS = 100.0
"""How long the list of connected gateways is cached: it is needed for each reported spending, some hundred
times a second, while a gateway counts as disconnected only after seconds."""


class Fleet:
    """The registered gateways and their last reports.

    Parameters
    ==========

    name : the name of this gateway.
    get_address : returns the address at which other gateways reach this one; available once its socket is
        bound.
    clock : the time.
    zone : this gateway's availability zone.
    link_mbps : speed of its VM's link; 0 if unknown.

    Attributes
    ==========

    rank_peer, rank_own : return the sort key of a peer and of this gateway, by which relays and watchers are chosen.
    """

    def __init__(
        self,
        name: str,
        get_address: Callable[[], str],
        clock: Clock,
        zone: str = "",
        link_mbps: float = 0.0,
    ) -> None:
        self.link_mbps = link_mbps
        self.rank_peer: Callable[[Peer], Rank] = rank_peer_by_link
        self.rank_own: Callable[[], Rank] = lambda: rank_by_link(self.name, self.link_mbps)
        self.own_version: int | None = None
        self.is_registered = False
        self.is_first_start: bool | None = None  # whether no registration of this name was found
        self.is_listed = False
        self._registered_ms = float("-inf")
        self.name = name
        self.zone = zone
        self._get_address = get_address
        self._clock = clock
        self._peers: dict[str, Peer] = {}
        self._peer_groups: PeerGroups | None = None  # None after a change
        self._holder_ring: HolderRing | None = None  # None after a change
        self._connected: list[Peer] | None = None  # None after a change
        self._connected_listed_ms = float("-inf")

    def replace_all(self, page: ObjectPage) -> None:
        """Apply a complete list of registrations; gateways that report without being listed stay."""
        self.is_listed = True
        listed = {item.name for item in page.items}
        connected = {peer.name for peer in self.list_connected()}
        for item in page.items:
            if item.name == self.name:
                self._apply_own(item)
            else:
                self._put(item)
        if self.name not in listed and self._clock.now_ms() - self._registered_ms > MAX_LIST_AGE_MS:
            self.own_version, self.is_registered = None, False
        for name in [name for name in self._peers if name not in listed | connected]:
            del self._peers[name]
        self._drop_cached_lists()

    def refresh(self, store: ListedStore) -> None:
        """List the registrations, and write this gateway's registration if it is missing."""
        try:
            self.replace_all(store.list_stale(GATEWAY_KIND))
        except PlatformError as error:
            log_event(Event.REGISTRATION_FAILED, "warning", detail=error.detail)
            return
        if not self.is_registered:
            self.register(store)

    def get_list_period_ms(self) -> float:
        """Return the time until the next list."""
        is_settled = self.is_registered and self.list_connected()
        return LIST_INTERVAL_MS if is_settled else INITIAL_LIST_INTERVAL_MS

    def register(self, store: ListedStore) -> bool:
        """Write this gateway's registration; return whether the write was confirmed."""
        value = Registration(self._get_address(), self.zone, self.link_mbps).to_value()
        try:
            if self.own_version is None:
                outcome = store.create(GATEWAY_KIND, self.name, value)
            else:
                outcome = store.update(GATEWAY_KIND, self.name, value, self.own_version)
        except PlatformError as error:
            log_event(Event.REGISTRATION_FAILED, "warning", detail=error.detail)
            return False
        if self.is_first_start is None:
            self.is_first_start = self.own_version is None and isinstance(outcome, Written)
        if isinstance(outcome, Written):
            self.own_version = outcome.version
            self.is_registered = True
            self._registered_ms = self._clock.now_ms()
            return True
        if not isinstance(outcome, Unknown):
            self.own_version = outcome.version or None
        return False

    def remove_expired(self, store: ListedStore) -> None:
        """Remove the registrations of gateways that have been unresponsive for `GATEWAY_REMOVAL_DELAY_MS`.

        Called by the holder of the duties. A gateway that was only cut off for this long finds its
        registration missing in its next list and writes it again.
        """
        now_ms = self._clock.now_ms()
        for peer in self.list_peers():
            silent_ms = now_ms - max(peer.last_received_ms, peer.first_seen_ms)
            if peer.version and silent_ms > GATEWAY_REMOVAL_DELAY_MS:
                self._remove(store, peer, silent_ms)

    def _remove(self, store: ListedStore, peer: Peer, silent_ms: float) -> None:
        try:
            outcome = store.delete(GATEWAY_KIND, peer.name, peer.version)
        except PlatformError as error:
            log_event(Event.REGISTRATION_FAILED, "warning", detail=error.detail)
            return
        if isinstance(outcome, Written):
            log_event(Event.GATEWAY_GONE, gateway=peer.name, silent_ms=round(silent_ms))
            del self._peers[peer.name]
            self._drop_cached_lists()

    def _drop_cached_lists(self) -> None:
        """Drop the cached lists after a gateway was added, removed or moved to another zone."""
        self._peer_groups = None
        self._holder_ring = None
        self._connected = None

    def record_report(self, address: str, report: GatewayReport, view: StoreView) -> None:
        """Record another gateway's report, and add the gateway if it has not been listed yet."""
        peer = self._peers.get(report.name)
        if peer is None:
            peer = self._peers[report.name] = Peer(report.name, address, self._clock.now_ms())
        if peer.zone != report.zone or peer.report is None:
            self._drop_cached_lists()
        peer.last_received_ms = peer.reported_ms = self._clock.now_ms()
        peer.zone = report.zone
        peer.link_mbps = report.link_mbps
        peer.report = report
        peer.view = view
        order = (report.incarnation, report.number)
        self.record_links(report.name, order, is_isolated=report.is_isolated)

    def record_alive(self, name: str) -> None:
        """Record that a change of a gateway was received over a relay, so it is running and connected.

        After a restart of the fleet the shares of the limits are thereby restored within about a second;
        the first reports of far gateways take a full period, four seconds at 195 gateways.
        """
        peer = self._peers.get(name)
        if peer is not None:
            peer.last_received_ms = self._clock.now_ms()

    def record_links(self, name: str, order: tuple[int, int], *, is_isolated: bool) -> None:
        """Record whether a gateway is isolated; a report older than the last one is ignored."""
        peer = self._peers.get(name)
        if peer is not None and (peer.links is None or peer.links.order < order):
            peer.links = ReportedLinks(order, self._clock.now_ms(), is_isolated)

    def list_peers(self) -> list[Peer]:
        """Return the other gateways."""
        return list(self._peers.values())

    @property
    def reports_by_zone(self) -> bool:
        """Whether there are too many gateways to send every report to each of them at once."""
        return self._get_peer_groups().by_zone

    def list_near(self) -> list[Peer]:
        """Return the gateways that get every report: those of this zone, or all of a small fleet."""
        return self._get_peer_groups().near

    def list_far(self) -> list[Peer]:
        """Return the gateways that get reports less often; none in a small fleet."""
        return self._get_peer_groups().far

    def _get_peer_groups(self) -> PeerGroups:
        """Return the division into near and far gateways, computed again after a change of the fleet."""
        if self._peer_groups is None:
            self._peer_groups = PeerGroups.from_peers(self.list_peers(), self.zone)
        return self._peer_groups

    def get_holder_ring(self) -> HolderRing:
        """Return the order in which the other gateways hold the records of streams."""
        if self._holder_ring is None:
            self._holder_ring = HolderRing(self._peers.values())
        return self._holder_ring

    def get_near_period(self) -> ReportPeriod:
        """Return the time between two reports to the gateways near this one."""
        return self._get_peer_groups().near_period

    def get_far_period(self) -> ReportPeriod:
        """Return the time between two reports to the far gateways."""
        return self._get_peer_groups().far_period

    def get_usage_period(self) -> UsagePeriod:
        """Return the time between two usage reports."""
        return UsagePeriod.from_gateways(self.count_daemons())

    def draw_relays(self) -> list[list[str]]:
        """Return for each zone the addresses of the gateways that relay changes, in random order."""
        oldest_ms = self._clock.now_ms() - self.get_far_period().missed_ms
        zones: dict[str, list[Peer]] = {}
        for peer in self._peers.values():
            zones.setdefault(peer.zone, []).append(peer)
        zones.pop("", None)
        return [draw_relays(peers, oldest_ms, self.rank_peer) for peers in zones.values()]

    def list_connected(self) -> list[Peer]:
        """Return the connected gateways: those that were received from recently."""
        now_ms = self._clock.now_ms()
        if self._connected is None or now_ms - self._connected_listed_ms > CONNECTED_CACHE_MS:
            self._connected = self._find_connected(now_ms)
            self._connected_listed_ms = now_ms
        return list(self._connected)

    def _find_connected(self, now_ms: float) -> list[Peer]:
        """Return the connected gateways, without those of an unresponsive zone.

        In a partition each side may use only its share of the limits, so the loss of a zone must be
        detected before each of its gateways has timed out.
        """
        period = self.get_far_period()
        received = [
            peer
            for peer in self._peers.values()
            if peer.last_received_ms >= now_ms - period.disconnected_ms
        ]
        latest_ms: dict[str, float] = {}
        for peer in received:
            latest_ms[peer.zone] = max(latest_ms.get(peer.zone, 0.0), peer.last_received_ms)
        counts = Counter(peer.zone for peer in received)
        unresponsive = {
            zone
            for zone, received_ms in latest_ms.items()
            if now_ms - received_ms > period.find_zone_disconnected_ms(counts[zone])
        }
        return [peer for peer in received if peer.zone not in unresponsive]

    def list_running(self, zone: str | None) -> list[Peer]:
        """Return the gateways of a zone, or of all zones, that are not known to have ended.

        One that has never been received from counts for as long as its first report may take.
        """
        return [
            peer
            for peer in self._peers.values()
            if zone is None or peer.zone == zone
            if self._is_running(peer)
        ]

    def find_running(self, name: str) -> Peer | None:
        """Return a gateway that `list_running` would return, by its name."""
        peer = self._peers.get(name)
        return peer if peer is not None and self._is_running(peer) else None

    def _is_running(self, peer: Peer) -> bool:
        is_near = peer.zone == self.zone
        period = self.get_near_period() if is_near else self.get_far_period()
        received_ms = max(peer.last_received_ms, peer.first_seen_ms)
        return received_ms >= self._clock.now_ms() - period.disconnected_ms

    def get_connected_fraction(self) -> float:
        """Return the fraction of the fleet that is connected to this gateway, which is included."""
        return self.count_connected() / self.count_daemons()

    def count_connected(self) -> int:
        """Return the number of connected gateways, including this one."""
        return len(self.list_connected()) + 1

    def count_daemons(self) -> int:
        """Return the number of gateways that are registered or report, including this one."""
        return len(self._peers) + 1

    def count_listed(self) -> int | None:
        """Return the number of gateways as `count_daemons` does; None until the registrations are listed."""
        return self.count_daemons() if self.is_listed else None

    def has_other_leader(self) -> bool:
        """Return whether another gateway reports that it holds the duties, and is connected.

        Each report states its period. Gateways of the holder's zone get its reports most often and so
        detect its loss first; taking over a lapsed lease must not wait for the far gateways to detect it.
        """
        now_ms = self._clock.now_ms()
        return any(
            peer.report is not None
            and peer.report.leads
            and now_ms - peer.last_received_ms
            <= ReportPeriod(peer.report.period_ms).disconnected_ms
            for peer in self._peers.values()
        )

    def describe(self) -> dict[str, Any]:
        """Return the state for the status page."""
        now_ms = self._clock.now_ms()
        return {
            peer.name: {
                "address": peer.address,
                "heard_ms_ago": round(now_ms - peer.last_received_ms),
            }
            for peer in self._peers.values()
            if peer.report is not None
        }

    def sum_demand(self, service: str) -> float:
        """Return the demand of a service that the connected gateways report, summed up."""
        reports = [peer.report for peer in self.list_connected() if peer.report is not None]
        return sum(report.demand.get(service, 0.0) for report in reports)

    def list_time_estimates(self) -> dict[str, float]:
        """Return the present wall-clock time by the estimate of each connected gateway."""
        now_ms = self._clock.now_ms()
        return {
            peer.name: peer.report.believed_ms + now_ms - peer.reported_ms
            for peer in self.list_connected()
            if peer.report is not None
        }

    def _apply_own(self, item: StoredObject) -> None:
        """Apply this gateway's own registration; an earlier process may have had another address."""
        if self.is_first_start is None:
            self.is_first_start = False
        self.own_version = None if item.deleted else item.version
        written = Registration.from_object(item)
        self.is_registered = not item.deleted and written.address == self._get_address()

    def _put(self, item: StoredObject) -> None:
        written = Registration.from_object(item)
        if not written.address:
            log_event(Event.OBJECT_UNREADABLE, "warning", kind=item.kind, name=item.name)
            return
        peer = self._peers.get(item.name)
        if peer is None or peer.address != written.address:
            peer = Peer(item.name, written.address, self._clock.now_ms(), written.zone)
            peer.link_mbps = written.link_mbps
            self._peers[item.name] = peer
        peer.version = item.version
