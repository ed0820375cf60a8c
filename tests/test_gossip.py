"""Tests of gossip between daemons.

They guard against a large item that is transferred more than once, or never because its first
holder stopped, and against items or tombstones that a repair loses or restores.
"""

from contextlib import ExitStack

import gevent
import pytest

from hemlockswitch.connection.peers import PeerNetwork
from hemlockswitch.process.gossip.gossip import Gossip
from hemlockswitch.process.gossip.messages import GossipLimits, Have
from hemlockswitch.process.gossip.state import GossipItem, GossipState
from hemlockswitch.process.membership.members import Member

LARGE = "x" * 1_000


class Node:
    def __init__(self, name, limits=None):
        self.network = PeerNetwork("test", name)
        self.address = self.network.start()
        self.gossip_state = GossipState()
        self.gossip = Gossip(self.gossip_state, self.network, "a", limits=limits)

    def link(self, *others):
        members = [Member(one.network.name, "a", "", one.address, "") for one in others]
        self.gossip.start(lambda: members)


@pytest.fixture
def make_node():
    with ExitStack() as stack:

        def make(name, limits=None):
            node = Node(name, limits)
            stack.callback(node.network.stop)
            return node

        yield make


def wait_until(condition):
    with gevent.Timeout(15):
        while not condition():
            gevent.sleep(0.01)


def test_a_large_item_is_transferred_once_over_many_links(make_node):
    nodes = [make_node(f"n{number}") for number in range(4)]
    for node in nodes:
        node.link(*(other for other in nodes if other is not node))
    nodes[0].gossip_state.record(GossipItem("revision", 1, LARGE))
    wait_until(lambda: all(node.gossip_state.find("revision") for node in nodes))
    gevent.sleep(0.1)
    assert [node.gossip.items_in for node in nodes[1:]] == [1, 1, 1]


def test_the_next_holder_is_asked_when_the_first_has_stopped(make_node):
    gone, holder, late = (make_node(name) for name in ("gone", "holder", "late"))
    holder.gossip_state.record(GossipItem("revision", 1, LARGE))
    announcement = Have([["revision", 1]])
    gone.network.send(late.address, announcement)
    wait_until(lambda: late.gossip._retrievals._in_progress or late.network.list_streams())
    gone.network.stop()
    holder.network.send(late.address, announcement)
    wait_until(lambda: late.gossip_state.find("revision"))


def test_a_repair_larger_than_every_limit_is_complete(make_node):
    limits = GossipLimits(max_item_bytes=3_000, max_fetch_keys=7, max_difference_rows=1_000)
    full, empty = make_node("full", limits), make_node("empty", limits)
    for number in range(100):
        full.gossip_state.record(GossipItem(f"item/{number}", 1, LARGE))
    empty.gossip.repair(full.address, "a")
    assert len(empty.gossip_state.list_items()) == 100
    assert full.gossip.compute_digest("a") == empty.gossip.compute_digest("a")


def test_a_repair_brings_both_sides_what_they_lack_and_no_old_tombstones(make_node):
    left, right = make_node("left"), make_node("right")
    left.gossip_state.record(GossipItem("only-left", 1, "l"))
    left.gossip_state.record(GossipItem("gone", 5, None, tombstone=True))
    right.gossip_state.record(GossipItem("only-right", 1, "r"))
    right.gossip_state.record(GossipItem("both", 2, "new"))
    left.gossip_state.record(GossipItem("both", 1, "old"))
    left.gossip.repair(right.address, "a")
    wait_until(lambda: right.gossip_state.find("only-left"))
    assert left.gossip_state.find("only-right") and left.gossip_state.find("both").value == "new"
    assert right.gossip_state.find("gone") is None
    assert left.gossip.compute_digest("a") == right.gossip.compute_digest("a")


def test_an_item_over_the_size_limit_is_not_sent(make_node):
    left, right = make_node("left", GossipLimits(max_item_bytes=500)), make_node("right")
    left.link(right)
    left.gossip_state.record(GossipItem("large", 1, LARGE))
    left.gossip_state.record(GossipItem("small", 1, "s"))
    wait_until(lambda: right.gossip_state.find("small"))
    assert right.gossip_state.find("large") is None
