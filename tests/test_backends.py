import pytest

from hemlockswitch.connection.loads import LoadReport
from hemlockswitch.core.clock import ManualClock
from hemlockswitch.core.errors import ErrorKind, RequestError
from hemlockswitch.process.gossip.state import GossipItem, GossipState
from hemlockswitch.process.servers.backends import ZONE_OFFER_EXPIRY_MS, BackendDirectory
from hemlockswitch.request.routing import RequestNeeds, Router
from hemlockswitch.version.backend import BackendServer


def make_vm(name, version=1, state="live", **more):
    value = {"name": name, "zone": "marka-hall", "address": "127.0.0.1:1", "serves": "m"}
    return GossipItem(f"vm/{name}", version, value | {"state": state} | more)


@pytest.fixture
def gossip_state():
    return GossipState()


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
def directory(gossip_state, clock):
    return BackendDirectory(gossip_state, clock, "marka-hall")


def list_names(directory):
    return [server.name for server in directory.list_servers("m")]


def test_leaving_server_stays_leaving_after_newer_record(gossip_state, directory):
    heard = []
    directory.add_leaving_listener(lambda name, deadline: heard.append((name, deadline)))
    gossip_state.record(make_vm("a"))
    gossip_state.record(make_vm("b"))
    gossip_state.record(GossipItem("notice/a", 1, {"deadline_wall_ms": 9}))
    gossip_state.record(make_vm("a", version=7))
    assert list_names(directory) == ["b"]
    assert heard == [("a", 9)]


def test_notice_before_the_vm_record_counts(gossip_state, directory):
    gossip_state.record(GossipItem("notice/a", 1, {"deadline_wall_ms": 9}))
    gossip_state.record(make_vm("a"))
    assert list_names(directory) == []


def test_entry_vms_are_no_backend_servers_but_their_leaving_is_reported(gossip_state, directory):
    heard = []
    directory.add_leaving_listener(lambda name, deadline: heard.append(name))
    gossip_state.record(make_vm("e", serves="hemlock-entry"))
    assert directory.list_targets() == set()
    gossip_state.record(GossipItem("notice/e", 1, {"deadline_wall_ms": 9}))
    assert heard == ["e"]


def test_draining_server_gets_no_new_work(gossip_state, directory):
    gossip_state.record(make_vm("a"))
    directory.set_draining(["a"])
    assert list_names(directory) == []
    directory.set_draining([])
    assert list_names(directory) == ["a"]


def test_failures_back_off_and_a_success_resets_them(gossip_state, clock, directory):
    gossip_state.record(make_vm("a"))
    gossip_state.record(make_vm("b"))
    directory.end(directory.begin("a"), failed=True)
    assert list_names(directory) == ["b"]
    clock.advance(250)
    assert list_names(directory) == ["a", "b"]
    directory.end(directory.begin("a"), failed=True)
    clock.advance(499)
    assert list_names(directory) == ["b"]
    clock.advance(1)
    trial = directory.begin("a")
    assert list_names(directory) == ["b"]
    directory.end(trial)
    assert list_names(directory) == ["a", "b"]


def test_failing_server_is_used_if_no_other_remains(gossip_state, directory):
    gossip_state.record(make_vm("a"))
    directory.end(directory.begin("a"), failed=True)
    assert list_names(directory) == ["a"]


def test_offers_of_other_zones_expire_after_their_query(gossip_state, clock, directory):
    far = BackendServer("f", "duluth-hall", "127.0.0.1:2", "m")
    directory.record_offer("duluth-hall", [far], requested_ms=clock.now_ms())
    clock.advance(ZONE_OFFER_EXPIRY_MS)
    assert list_names(directory) == ["f"]
    clock.advance(1)
    assert list_names(directory) == []
    directory.record_offer(
        "duluth-hall", [far], requested_ms=clock.now_ms() - ZONE_OFFER_EXPIRY_MS - 1
    )
    assert list_names(directory) == []


def test_vm_records_of_other_zones_only_report_leaving(gossip_state, clock, directory):
    gossip_state.record(make_vm("f", zone="duluth-hall"))
    assert list_names(directory) == []
    far = BackendServer("f", "duluth-hall", "127.0.0.1:2", "m")
    directory.record_offer("duluth-hall", [far], requested_ms=clock.now_ms())
    assert list_names(directory) == ["f"]
    gossip_state.record(make_vm("f", version=2, zone="duluth-hall", state="leaving"))
    assert list_names(directory) == []


def test_malformed_records_are_ignored(gossip_state, directory):
    gossip_state.record(GossipItem("vm/a", 1, {"name": "a"}))
    gossip_state.record(make_vm("b", state="sleeping"))
    assert list_names(directory) == []


def test_server_that_reports_draining_gets_no_new_work(gossip_state, directory):
    gossip_state.record(make_vm("a"))
    directory.record_load("a", LoadReport(0, 0, 16, draining=True))
    assert list_names(directory) == []


def test_own_requests_at_measurement_are_subtracted_from_reports(gossip_state, clock, directory):
    gossip_state.record(make_vm("a"))
    early = directory.begin("a")
    clock.advance(500)
    directory.begin("a")
    directory.end(early)
    directory.record_load("a", LoadReport(running=4, waiting=1, slots=8, age_ms=300))
    (candidate,) = directory.list_candidates("m")
    assert candidate.own_requests == 1
    assert candidate.other_requests == pytest.approx(4)
    assert candidate.slots == 8


def test_old_reports_decay_towards_the_mean(gossip_state, clock, directory):
    for name, running in (("a", 0), ("b", 10)):
        gossip_state.record(make_vm(name))
        directory.record_load(name, LoadReport(running, 0, 16))
    clock.advance(4_000)
    idle, busy = directory.list_candidates("m")
    assert 4 < idle.other_requests < 5 < busy.other_requests < 6


def test_router_chooses_the_less_busy_server_and_skips_excluded(gossip_state, directory):
    gossip_state.record(make_vm("a"))
    gossip_state.record(make_vm("b"))
    router = Router(directory)
    directory.begin("a", 4_000)
    assert router.choose(RequestNeeds("m")).name == "b"
    assert router.choose(RequestNeeds("m", exclude=frozenset("b"))).name == "a"
    with pytest.raises(RequestError) as caught:
        router.choose(RequestNeeds("m", exclude=frozenset("ab")))
    assert caught.value.kind is ErrorKind.NO_BACKEND


def test_router_refuses_early_with_retry_after(gossip_state, directory):
    gossip_state.record(make_vm("a"))
    for _ in range(100):
        directory.begin("a", 1_000)
    with pytest.raises(RequestError) as caught:
        Router(directory).choose(RequestNeeds("m"))
    assert caught.value.kind is ErrorKind.OVERLOADED
    assert caught.value.answer.retry_after_ms > 1_000


def test_time_in_a_slot_follows_the_sizes_of_requests_in_progress(gossip_state, clock, directory):
    gossip_state.record(make_vm("a"))
    warm_up = directory.begin("a", max_tokens=11)
    clock.advance(40)
    directory.record_first_token(warm_up)
    clock.advance(300)
    directory.end(warm_up)
    for _ in range(3):
        directory.begin("a", max_tokens=100)
    (candidate,) = directory.list_candidates("m")
    assert candidate.service_ms == pytest.approx(3_000)
