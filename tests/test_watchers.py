from types import SimpleNamespace

import pytest

from hemlockswitch.core.clock import ManualClock
from hemlockswitch.core.errors import ErrorKind, PlatformError
from hemlockswitch.core.identifiers import rank_rendezvous
from hemlockswitch.process.gossip.state import GossipItem, GossipState
from hemlockswitch.process.servers.vm_feed import VM_REMOVAL_DELAY_MS, VmFeed
from hemlockswitch.process.servers.watchers import (
    FEED_SILENCE_MS,
    MAX_RETRY_MS,
    NoticeFeed,
    Watcher,
    WatcherSelection,
    is_watcher,
)

ZONE = "marka-hall"
NAMES = ["entry-1", "entry-2", "entry-3", "entry-4"]
WATCHING = rank_rendezvous(ZONE, NAMES)[:2]
RESTING = rank_rendezvous(ZONE, NAMES)[2]


class FakePlatform:
    def __init__(self):
        self.vms = []
        self.notices = []
        self.asked = 0
        self.is_down = False

    def list_vms(self, zone):
        return SimpleNamespace(vms=self.vms, version=9)

    def watch_notices(self, zone, since, wait_ms):
        self.asked += 1
        if self.is_down:
            raise PlatformError(ErrorKind.PLATFORM_UNAVAILABLE, "down")
        found = [notice for notice in self.notices if notice.number > since]
        return SimpleNamespace(notices=found, number=max((n.number for n in found), default=since))


@pytest.fixture
def clock():
    return ManualClock(10_000)


def make_vm(name, state="live", version=1):
    return SimpleNamespace(
        name=name,
        zone=ZONE,
        address="127.0.0.1:1",
        control_address="",
        serves="m",
        machine_class="reclaimable",
        price_per_hour=1.0,
        state=state,
        version=version,
    )


def make_feed(clock, name, gossip_state=None):
    platform = FakePlatform()
    gossip_state = gossip_state or GossipState()
    return (
        platform,
        gossip_state,
        NoticeFeed(platform, WatcherSelection(name, ZONE, lambda: NAMES), gossip_state, clock),
    )


def test_two_daemons_of_a_zone_or_its_only_one_are_watchers():
    assert [name for name in NAMES if is_watcher(name, ZONE, NAMES)] == sorted(WATCHING)
    assert is_watcher(RESTING, ZONE, [])


def test_notices_and_heartbeat_are_published(clock):
    platform, gossip_state, feed = make_feed(clock, WATCHING[0])
    platform.notices = [SimpleNamespace(number=4, vm="llm-1", deadline_wall_ms=77)]
    feed.read_notices()
    assert gossip_state.find("notice/llm-1").value == {"deadline_wall_ms": 77}
    assert gossip_state.find(f"feed/{ZONE}").value == {"number": 4, "answered": True}


def test_other_daemon_queries_when_heartbeats_stop(clock):
    platform, gossip_state, feed = make_feed(clock, RESTING)
    platform.notices = [SimpleNamespace(number=4, vm="llm-1", deadline_wall_ms=77)]
    feed.check()
    assert platform.asked == 0
    clock.advance(FEED_SILENCE_MS + 1)
    feed.check()
    assert gossip_state.find("notice/llm-1") is not None
    feed.check()
    assert platform.asked == 1


def test_watcher_publishes_heartbeat_without_the_platform(clock):
    platform, gossip_state, feed = make_feed(clock, WATCHING[1])
    platform.is_down = True
    with pytest.raises(PlatformError):
        feed.read_notices()
    assert gossip_state.find(f"feed/{ZONE}").value["answered"] is False


def test_next_daemons_query_when_the_watchers_get_no_answer(clock):
    platform, gossip_state, feed = make_feed(clock, RESTING)
    sign = GossipItem(f"feed/{ZONE}", 1, {"number": 0, "answered": False}, tombstone=True)
    gossip_state.record(sign)
    feed.check()
    assert platform.asked == 1


def test_vm_counts_as_removed_only_after_the_removal_delay(clock):
    platform, gossip_state = FakePlatform(), GossipState()
    vms = VmFeed(platform, ZONE, gossip_state, clock)
    platform.vms = [make_vm("a"), make_vm("b")]
    vms.query()
    platform.vms = [make_vm("b")]
    vms.query()
    clock.advance(VM_REMOVAL_DELAY_MS - 1)
    vms.query()
    assert gossip_state.find("vm/a").value["state"] == "live"
    gossip_state.record(GossipItem("notice/a", 4, {"deadline_wall_ms": 77}))
    clock.advance(1)
    vms.query()
    assert gossip_state.find("vm/a").value["state"] == "gone"
    assert gossip_state.find("vm/a").tombstone and gossip_state.find("notice/a").tombstone
    assert gossip_state.find("vm/b").value["state"] == "live"


def test_watcher_backs_off_while_the_platform_fails(clock):
    def fail():
        raise PlatformError(ErrorKind.PLATFORM_UNAVAILABLE, "down")

    watcher = Watcher("vm list", WatcherSelection("entry-1", ZONE, list), fail, 1_000, clock)
    pauses = [watcher.step() for _ in range(12)]
    assert pauses[0] < 250 < MAX_RETRY_MS / 2 <= pauses[-1] <= MAX_RETRY_MS
