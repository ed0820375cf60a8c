from dataclasses import replace

import gevent
import pytest

from hemlockswitch.core.clock import ManualClock, SystemClock
from hemlockswitch.core.errors import ErrorKind, PeerError
from hemlockswitch.process.cluster_state import ClusterState
from hemlockswitch.process.gossip.state import GossipItem, GossipState
from hemlockswitch.process.membership.members import Member, MemberState
from hemlockswitch.process.servers.backends import ZONE_OFFER_EXPIRY_MS, BackendDirectory
from hemlockswitch.process.servers.zones import ZoneQueries, ZoneQueryHandler
from hemlockswitch.version.backend import BackendServer
from hemlockswitch.version.settings import EntrySettings


class FakeNetwork:
    """Delivers queries to one answering daemon, each after a delay."""

    def __init__(self, desk, clock):
        self.desk = desk
        self.clock = clock
        self.delay_ms = 0
        self.is_cut = False
        self.offers = []

    def request(self, address, message, timeout_ms):
        self.clock.advance(self.delay_ms)
        if self.is_cut:
            raise PeerError(ErrorKind.NOT_READY, "cut")
        self.offers.append(self.desk.answer(address, message))
        return self.offers[-1]


class Zones:
    """Two zones with one daemon each; only the zone `far` has servers."""

    def __init__(self):
        self.clock = ManualClock(1_000)
        self.gossip_state = GossipState()
        self.far = BackendDirectory(self.gossip_state, self.clock, "far")
        self.near_gossip_state = GossipState()
        self.near = BackendDirectory(self.near_gossip_state, self.clock, "near")
        self.fresh = True
        self.network = FakeNetwork(ZoneQueryHandler(self.far, lambda: self.fresh), self.clock)
        self.addresses = {"far": ["1"], "near": ["2"]}
        self.queries = ZoneQueries(
            "entry-1", self.near, self.network, lambda: self.addresses, self.clock
        )

    def learn_vm(self, name, version=1, state="live"):
        value = {"name": name, "zone": "far", "address": "127.0.0.1:1", "serves": "m"}
        self.gossip_state.record(GossipItem(f"vm/{name}", version, value | {"state": state}))

    def list_names(self):
        return [server.name for server in self.near.list_servers("m")]


@pytest.fixture
def zones():
    zones = Zones()
    zones.learn_vm("a")
    zones.learn_vm("b")
    return zones


def test_servers_of_another_zone_are_offered_and_omitted_when_unchanged(zones):
    zones.queries.query_zone("far")
    zones.clock.advance(ZONE_OFFER_EXPIRY_MS)
    zones.queries.query_zone("far")
    assert sorted(zones.list_names()) == ["a", "b"]
    assert [len(offer.servers) for offer in zones.network.offers] == [2, 0]


def test_leaving_servers_are_reported(zones):
    zones.queries.query_zone("far")
    zones.gossip_state.record(GossipItem("notice/a", 1, {"deadline_wall_ms": 5}))
    zones.queries.query_zone("far")
    assert zones.list_names() == ["b"]
    assert zones.near.is_leaving("a")


def test_unreachable_zone_gets_no_work_and_a_late_answer_counts_from_its_query(zones):
    zones.queries.query_zone("far")
    zones.network.is_cut = True
    zones.clock.advance(ZONE_OFFER_EXPIRY_MS + 1)
    zones.queries.query_zone("far")
    assert zones.list_names() == []
    zones.network.is_cut = False
    zones.network.delay_ms = ZONE_OFFER_EXPIRY_MS + 1
    zones.queries.query_zone("far")
    assert zones.list_names() == []


def test_zone_without_a_live_daemon_gets_no_work_at_once(zones):
    """Guards against work for servers that leave together with all daemons of their zone."""
    zones.queries.query_zone("far")
    zones.queries.withdraw_unattended("far")
    assert sorted(zones.list_names()) == ["a", "b"]
    zones.addresses = {"near": ["2"]}
    zones.queries.withdraw_unattended("far")
    assert zones.list_names() == []
    zones.clock.advance(1)
    zones.queries.query_zone("far")
    assert zones.list_names() == []


def test_answer_to_a_query_sent_before_a_withdrawal_is_not_used(zones):
    """Guards against an offer that is used again because its answer was late."""
    zones.queries.query_zone("far")
    requested_ms = zones.clock.now_ms()
    servers = zones.far.list_own_servers()
    zones.clock.advance(1)
    zones.near.withdraw_offer("far")
    zones.near.record_offer("far", servers, requested_ms)
    assert zones.list_names() == []
    zones.near.record_offer("far", servers, zones.clock.now_ms() + 1)
    assert sorted(zones.list_names()) == ["a", "b"]


def test_departure_of_the_last_daemon_of_a_zone_withdraws_its_servers():
    """Guards against a view of the cluster that does not follow the departures of daemons."""
    tasks = []
    settings = EntrySettings(name="near-1", zone="near", platform="127.0.0.1:1")
    state = ClusterState.from_settings(settings, "entry", SystemClock())
    state.start("127.0.0.1:2", lambda _name, run: tasks.append(gevent.spawn(run)))
    try:
        member = Member("far-1", "far", "", "127.0.0.1:3", "127.0.0.1:4", incarnation=1)
        state.gossip_state.record(member.to_item())
        server = BackendServer.from_record(
            {"name": "a", "zone": "far", "address": "127.0.0.1:5", "serves": "m"}
        )
        state.directory.record_offer("far", [server], SystemClock().now_ms())
        assert [one.name for one in state.directory.list_servers("m")] == ["a"]
        leaving = replace(member, state=MemberState.LEAVING)
        state.gossip_state.record(leaving.to_item())
        assert state.directory.list_servers("m") == []
    finally:
        gevent.killall(tasks)
        state.stop()


def test_paused_daemon_offers_no_servers(zones):
    zones.fresh = False
    zones.queries.query_zone("far")
    assert zones.list_names() == []


def test_other_zones_are_queried_while_servers_are_few_or_overloaded(zones):
    assert zones.queries.is_needed()
    for number in range(8):
        value = {"name": f"n{number}", "zone": "near", "address": "127.0.0.1:1", "serves": "m"}
        zones.near_gossip_state.record(GossipItem(f"vm/n{number}", 1, value))
    assert not zones.queries.is_needed()
    zones.near.record_overflow()
    assert zones.queries.is_needed()
