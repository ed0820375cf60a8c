import pytest

from hemlockswitch.core.clock import ManualClock
from hemlockswitch.core.errors import ErrorKind, PeerError
from hemlockswitch.process.gossip.state import GossipItem, GossipState
from hemlockswitch.process.servers.backends import ZONE_OFFER_EXPIRY_MS, BackendDirectory
from hemlockswitch.process.servers.zones import ZoneQueries, ZoneQueryHandler


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
        self.queries = ZoneQueries(
            "entry-1", self.near, self.network, lambda: {"far": ["1"], "near": ["2"]}, self.clock
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
