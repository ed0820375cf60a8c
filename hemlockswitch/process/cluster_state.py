"""A daemon's view of the cluster apart from the configuration, and the tasks that update it."""

from collections.abc import Callable
from typing import Self

import gevent

from hemlockswitch.connection.peers import PeerNetwork
from hemlockswitch.connection.platform import PlatformClient
from hemlockswitch.core.clock import Clock
from hemlockswitch.process.freshness import Freshness, Refresh, choose_sample
from hemlockswitch.process.gossip.gossip import Gossip
from hemlockswitch.process.gossip.state import GossipState
from hemlockswitch.process.membership.discovery import Discovery
from hemlockswitch.process.membership.membership import Member, Membership, ProbeTimes
from hemlockswitch.process.servers.backends import NOTICE_PREFIX, VM_PREFIX, BackendDirectory
from hemlockswitch.process.servers.load_polls import LoadPolls
from hemlockswitch.process.servers.vm_feed import VmFeed
from hemlockswitch.process.servers.watchers import (
    FEED_PREFIX,
    NoticeFeed,
    Watcher,
    WatcherSelection,
)
from hemlockswitch.process.servers.zones import ZoneQueries, ZoneQueryHandler, ZoneQuestion
from hemlockswitch.version.settings import ProgramSettings

ZONE_PREFIXES = (VM_PREFIX, NOTICE_PREFIX, FEED_PREFIX)
VM_LIST_INTERVAL_MS = 1_000
MAX_REFRESH_PEERS = 2
ZONES_CHECK_MS = 500


class ClusterState:
    """The gossip items, the members, the backend servers, and whether they are up to date.

    Explanation
    ===========

    Items about VMs, notices and the notice feed are not sent to other zones; other zones query
    this zone's servers (see `zones`).

    Parameters
    ==========

    settings : the daemon's settings.
    gossip_state : the daemon's gossip items.
    network : the daemon's connections to peers.
    platform : the daemon's client of the platform.
    clock : the daemon's clock.
    """

    def __init__(
        self,
        settings: ProgramSettings,
        gossip_state: GossipState,
        network: PeerNetwork,
        platform: PlatformClient,
        clock: Clock,
    ) -> None:
        self._settings = settings
        self._clock = clock
        self.gossip_state = gossip_state
        self.network = network
        self.platform = platform
        self.membership: Membership | None = None
        self.zones: tuple[str, ...] = ()
        self.gossip = Gossip(
            gossip_state, network, settings.zone, zone_prefixes=ZONE_PREFIXES, clock=clock
        )
        self.directory = BackendDirectory(
            gossip_state, clock, settings.zone, settings.name, self.list_names
        )
        self.post = WatcherSelection(settings.name, settings.zone, self.list_names)
        self.feed = NoticeFeed(platform, self.post, gossip_state, clock)
        self.vms = VmFeed(platform, settings.zone, gossip_state, clock)
        self.loads = LoadPolls(self.directory, clock)
        self.freshness = Freshness(clock, self._list_sources)
        self.zone_queries = ZoneQueries(
            settings.name, self.directory, network, self._list_addresses, clock
        )
        self._zone_tasks: dict[str, gevent.Greenlet] = {}
        query_handler = ZoneQueryHandler(self.directory, lambda: self.freshness.is_fresh)
        network.handle(ZoneQuestion, query_handler.answer)

    @classmethod
    def from_settings(cls, settings: ProgramSettings, role: str, clock: Clock) -> Self:
        """Return the view of a daemon, with a new gossip state, peer network and platform client."""
        network = PeerNetwork(
            settings.cluster,
            settings.name,
            settings.peer_listen,
            advertise=settings.peer_advertise or "",
            clock=clock,
        )
        platform = PlatformClient.from_settings(settings, role)
        return cls(settings, GossipState(), network, platform, clock)

    def list_names(self) -> list[str]:
        """Return the names of the zone's live daemons; before the start, only this one's."""
        return self.membership.list_names() if self.membership else [self._settings.name]

    def start(self, caller_address: str, spawn: Callable[[str, Callable[[], None]], None]) -> str:
        """Open the peer network, start the membership and the tasks; return the bound address.

        Parameters
        ==========

        caller_address : this daemon's address for callers.
        spawn : runs a named task until the daemon stops.
        """
        address = self.network.start()
        settings = self._settings
        own = Member(settings.name, settings.zone, settings.region, address, caller_address)
        discovery = Discovery(
            self.platform, settings.zone, lambda: self.zones, self._find_covered_zones
        )
        self.membership = Membership(
            own,
            self.gossip_state,
            self.network,
            self.gossip,
            seeds=settings.seeds,
            discover=discovery.list_addresses,
            clock=self._clock,
            times=ProbeTimes.from_period(settings.probe_period_ms),
        )
        self.membership.add_listener(self._handle_member)
        self.membership.start()
        spawn("freshness", self.freshness.run)
        watch_vms = Watcher("vm list", self.post, self.vms.query, VM_LIST_INTERVAL_MS, self._clock)
        spawn("vm list", watch_vms.run)
        spawn("notices", Watcher("notices", self.post, self.feed.read_notices, 0, self._clock).run)
        spawn("notice checks", self.feed.run_checks)
        spawn("loads", self.loads.run)
        spawn("zone questions", self._run_zone_queries)
        return self.network.bound_address

    def describe_members(self) -> list[dict[str, str]]:
        """Return the members for the status page."""
        members = self.membership.list_members() if self.membership else []
        return [
            {"name": one.name, "zone": one.zone, "state": one.state.name.lower()} for one in members
        ]

    def describe_backends(self) -> list[dict[str, object]]:
        """Return the backend servers in use for the status page."""
        return [
            {
                "name": server.name,
                "zone": server.zone,
                "serves": server.serves,
                "in_flight": self.directory.count_in_flight(server.name),
                "draining": server.name in self.directory.list_draining(),
            }
            for server in self.directory.list_used()
        ]

    def stop(self) -> None:
        """Announce that this daemon has stopped, and close its peer streams."""
        gevent.killall(list(self._zone_tasks.values()), block=False)
        if self.membership is not None:
            self.membership.stop()
        self.network.stop()

    def _handle_member(self, member: Member) -> None:
        if not member.is_live:
            self.zone_queries.withdraw_unattended(member.zone)

    def _find_covered_zones(self) -> set[str]:
        live = self.membership.list_live() if self.membership else []
        return {member.zone for member in live if member.name != self._settings.name}

    def _run_zone_queries(self) -> None:
        """Run a query task for each other zone that this daemon queries."""
        while True:
            wanted = set(self.zone_queries.choose_zones())
            for zone in set(self._zone_tasks) - wanted:
                self._zone_tasks.pop(zone).kill(block=False)
            for zone in wanted - set(self._zone_tasks):
                self._zone_tasks[zone] = gevent.spawn(self.zone_queries.run, zone)
            self._clock.sleep_ms(ZONES_CHECK_MS)

    def _list_addresses(self) -> dict[str, list[str]]:
        addresses: dict[str, list[str]] = {}
        for member in self.membership.list_live() if self.membership else ():
            addresses.setdefault(member.zone, []).append(member.peer_address)
        return addresses

    def _list_sources(self) -> list[Refresh]:
        """Return the sources of changes missed during a pause: the feed and some peers."""
        peers = set(self._list_addresses().get(self._settings.zone, []))
        chosen = choose_sample(sorted(peers - {self.network.address}), MAX_REFRESH_PEERS)
        peer_refreshes: list[Refresh] = [self._make_peer_refresh(address) for address in chosen]
        return [lambda: self.feed.read_notices(wait_ms=0), *peer_refreshes]

    def _make_peer_refresh(self, address: str) -> Refresh:
        return lambda: self.zone_queries.refresh_from(address)
