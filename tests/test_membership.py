"""Tests of membership: daemons in one process, with short probe times and links that can be cut.

They guard against a running daemon that is declared dead because of a broken link, a partition or
an address reused by another daemon, and against a stopped daemon that is still shown as live.
"""

from contextlib import ExitStack

import gevent
import pytest

from hemlockswitch.connection.peers import PeerNetwork
from hemlockswitch.core.errors import ErrorKind, PeerError
from hemlockswitch.process.gossip.gossip import Gossip
from hemlockswitch.process.gossip.state import GossipItem, GossipState
from hemlockswitch.process.membership.members import Member, MemberState
from hemlockswitch.process.membership.membership import Membership, ProbeTimes
from hemlockswitch.process.membership.overlay import choose_links

TIMES = ProbeTimes(100, 80, 150, 300, 200)


class CutNetwork(PeerNetwork):
    """A network whose links to some addresses are cut."""

    def __init__(self, *arguments, **options):
        super().__init__(*arguments, **options)
        self.cut = set()

    def _find_link(self, address):
        if address in self.cut:
            raise PeerError(ErrorKind.PEER_UNAVAILABLE, "cut")
        return super()._find_link(address)


class Daemon:
    def __init__(self, name, zone, seeds=(), listen="127.0.0.1:0"):
        self.network = CutNetwork("test", name, listen)
        self.address = self.network.start()
        self.gossip_state = GossipState()
        self.gossip = Gossip(self.gossip_state, self.network, zone, zone_prefixes=("vm/",))
        own = Member(name, zone, "", "", "")
        self.membership = Membership(
            own, self.gossip_state, self.network, self.gossip, seeds=seeds, times=TIMES
        )
        self.membership.start()

    def list_live_states(self):
        return {one.name: one.state for one in self.membership.list_members() if one.is_live}

    def crash(self):
        gevent.killall(self.membership._tasks, block=False)
        self.gossip._task.kill(block=False)
        self.network.stop()


@pytest.fixture
def start_daemons():
    with ExitStack() as stack:

        def start(*zones, seeds=()):
            daemons = []
            for number, zone in enumerate(zones):
                first = tuple(daemon.address for daemon in daemons[:1]) or seeds
                daemon = Daemon(f"{zone}-{number}", zone, first)
                stack.callback(daemon.crash)
                daemons.append(daemon)
            return daemons

        yield start


def wait_until(condition, timeout_s=15):
    with gevent.Timeout(timeout_s):
        while not condition():
            gevent.sleep(0.02)


def wait_for_live_count(daemons, count):
    wait_until(lambda: all(len(daemon.list_live_states()) == count for daemon in daemons))


def cut(left, right):
    for one in left:
        one.network.cut |= {other.address for other in right}
    for one in right:
        one.network.cut |= {other.address for other in left}


def heal(daemons):
    for daemon in daemons:
        daemon.network.cut.clear()


def test_daemons_join_by_one_seed_and_exchange_gossip(start_daemons):
    daemons = start_daemons("a", "a", "a", "b", "b", "b")
    wait_for_live_count(daemons, 6)
    daemons[0].gossip_state.record(GossipItem("revision", 7, "content"))
    daemons[0].gossip_state.record(GossipItem("vm/llm-1", 1, "live"))
    wait_until(lambda: all(daemon.gossip_state.find("revision") for daemon in daemons))
    wait_until(lambda: all(daemon.gossip_state.find("vm/llm-1") for daemon in daemons[:3]))
    assert not any(daemon.gossip_state.find("vm/llm-1") for daemon in daemons[3:])


def test_a_crashed_daemon_is_dead_everywhere(start_daemons):
    daemons = start_daemons("a", "a", "b", "b")
    wait_for_live_count(daemons, 4)
    daemons[1].crash()
    wait_for_live_count([daemons[0], *daemons[2:]], 3)


def test_one_broken_link_raises_no_suspicion(start_daemons):
    daemons = start_daemons("a", "a", "b", "b")
    wait_for_live_count(daemons, 4)
    changes = []
    for daemon in daemons:
        daemon.membership.add_listener(changes.append)
    cut(daemons[:1], daemons[1:2])
    gevent.sleep(1)
    assert [one for one in changes if one.state is not MemberState.ALIVE] == []


def test_a_partitioned_zone_is_declared_dead_and_rejoins(start_daemons):
    daemons = start_daemons("a", "a", "b", "b", "c")
    wait_for_live_count(daemons, 5)
    cut(daemons[:2], daemons[2:])
    wait_for_live_count(daemons[:2], 2)
    wait_for_live_count(daemons[2:], 3)
    daemons[4].gossip_state.record(GossipItem("revision", 8, "news of the cut"))
    heal(daemons)
    wait_for_live_count(daemons, 5)
    wait_until(lambda: daemons[0].gossip_state.find("revision") is not None)


def test_an_isolated_daemon_shows_its_peers_dead_without_reporting_them(start_daemons):
    daemons = start_daemons("a", "a", "a")
    wait_for_live_count(daemons, 3)
    cut(daemons[:1], daemons[1:])
    wait_for_live_count(daemons[:1], 1)
    assert daemons[0].membership.is_isolated
    incarnation = daemons[1].membership.own.incarnation
    heal(daemons)
    wait_for_live_count(daemons, 3)
    assert daemons[1].membership.own.incarnation == incarnation


def test_a_leaving_daemon_is_shown_leaving(start_daemons):
    daemons = start_daemons("a", "a", "a")
    wait_for_live_count(daemons, 3)
    daemons[2].membership.leave()
    wait_for_live_count(daemons[:2], 2)
    members = {one.name: one for one in daemons[0].membership.list_members()}
    assert members["a-2"].state is MemberState.LEAVING


def test_a_restarted_daemon_overrides_its_earlier_incarnation(start_daemons):
    daemons = start_daemons("a", "a")
    wait_for_live_count(daemons, 2)
    daemons[1].crash()
    wait_for_live_count(daemons[:1], 1)
    again = Daemon("a-1", "a", (daemons[0].address,))
    try:
        wait_for_live_count([daemons[0], again], 2)
    finally:
        again.crash()


def test_a_daemon_at_the_address_of_a_crashed_one_does_not_answer_for_it(start_daemons):
    daemons = start_daemons("a", "a", "a")
    wait_for_live_count(daemons, 3)
    daemons[2].crash()
    other = Daemon("a-9", "a", (daemons[0].address,), listen=daemons[2].address)
    try:
        wait_until(lambda: set(daemons[0].list_live_states()) == {"a-0", "a-1", "a-9"})
        wait_for_live_count([*daemons[:2], other], 3)
    finally:
        other.crash()


def test_a_link_broken_in_one_direction_raises_no_suspicion(start_daemons):
    daemons = start_daemons("a", "a", "b", "b")
    wait_for_live_count(daemons, 4)
    changes = []
    for daemon in daemons:
        daemon.membership.add_listener(changes.append)
    daemons[0].network.cut.add(daemons[1].address)
    gevent.sleep(1)
    assert [one for one in changes if one.state is not MemberState.ALIVE] == []


def test_an_invalid_member_item_is_ignored(start_daemons):
    daemons = start_daemons("a", "a")
    wait_for_live_count(daemons, 2)
    daemons[0].gossip_state.record(GossipItem("member/odd", 4, "not a member"))
    daemons[0].gossip_state.record(GossipItem("revision", 1, "after it"))
    wait_until(lambda: daemons[1].gossip_state.find("revision"))
    wait_for_live_count(daemons, 2)


def test_two_processes_of_one_name_do_not_outbid_each_other(start_daemons):
    daemons = start_daemons("a", "a")
    wait_for_live_count(daemons, 2)
    twin = Daemon("a-1", "a", (daemons[0].address,))
    try:
        wait_until(lambda: daemons[0].gossip_state.find("member/a-1").value[2] == twin.address)
        incarnation = twin.membership.own.incarnation
        gevent.sleep(0.3)
        assert twin.membership.own.incarnation == incarnation
    finally:
        twin.crash()


@pytest.mark.parametrize("size", [1, 2, 3, 120])
def test_every_member_is_probed_and_gossip_reaches_every_zone(size):
    members = [
        Member(f"d{zone}-{number}", f"zone{zone}", f"region{zone // 2}", "", "")
        for zone in range(4)
        for number in range(size)
    ]
    links = {member.name: choose_links(member, members) for member in members}
    probed = {one.name for link in links.values() for one in link.probed}
    assert probed == {member.name for member in members}
    reached = {"d0-0"}
    frontier = ["d0-0"]
    while frontier:
        found = {one.name for name in frontier for one in links[name].gossip_peers} - reached
        reached |= found
        frontier = list(found)
    assert len(reached) == len(members)


def test_a_stopping_daemon_is_declared_dead_without_suspicion(start_daemons):
    daemons = start_daemons("a", "a", "a")
    wait_for_live_count(daemons, 3)
    states = []
    for daemon in daemons[:2]:
        daemon.membership.add_listener(lambda member: states.append(member.state))
    daemons[2].membership.stop()
    daemons[2].network.stop()
    wait_for_live_count(daemons[:2], 2)
    assert set(states) == {MemberState.DEAD}
