"""Tests of gossip between daemons.

They guard against a large item that is transferred more than once, or never because its first
holder stopped, and against items or tombstones that a repair loses or restores.
"""

from contextlib import ExitStack

import gevent
import pytest

from hemlockswitch.connection.peers import PeerNetwork
from hemlockswitch.process.membership.members import Member
from hemlockswitch.process.news.board import GossipItem, GossipState
from hemlockswitch.process.news.messages import GossipLimits, Have
from hemlockswitch.process.news.spread import Gossip

LARGE = "x" * 1_000


class Node:
    def __init__(self, name, bounds=None):
        self.network = PeerNetwork("test", name)
        self.address = self.network.start()
        self.board = GossipState()
        self.spread = Gossip(self.board, self.network, "a", bounds=bounds)

    def link(self, *others):
        members = [Member(one.network.name, "a", "", one.address, "") for one in others]
        self.spread.start(lambda: members)


@pytest.fixture
def make_node():
    with ExitStack() as stack:

        def make(name, bounds=None):
            node = Node(name, bounds)
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
    nodes[0].board.record(GossipItem("revision", 1, LARGE))
    wait_until(lambda: all(node.board.find("revision") for node in nodes))
    gevent.sleep(0.1)
    assert [node.spread.items_in for node in nodes[1:]] == [1, 1, 1]


def test_the_next_holder_is_asked_when_the_first_has_stopped(make_node):
    gone, holder, late = (make_node(name) for name in ("gone", "holder", "late"))
    holder.board.record(GossipItem("revision", 1, LARGE))
    announcement = Have([["revision", 1]])
    gone.network.send(late.address, announcement)
    wait_until(lambda: late.spread._retrievals._in_progress or late.network.list_streams())
    gone.network.stop()
    holder.network.send(late.address, announcement)
    wait_until(lambda: late.board.find("revision"))


def test_a_repair_larger_than_every_limit_is_complete(make_node):
    bounds = GossipLimits(max_item_bytes=3_000, max_fetch_keys=7, max_difference_rows=1_000)
    full, empty = make_node("full", bounds), make_node("empty", bounds)
    for number in range(100):
        full.board.record(GossipItem(f"item/{number}", 1, LARGE))
    empty.spread.repair(full.address, "a")
    assert len(empty.board.list_items()) == 100
    assert full.spread.compute_digest("a") == empty.spread.compute_digest("a")


def test_a_repair_brings_both_sides_what_they_lack_and_no_old_tombstones(make_node):
    left, right = make_node("left"), make_node("right")
    left.board.record(GossipItem("only-left", 1, "l"))
    left.board.record(GossipItem("gone", 5, None, tombstone=True))
    right.board.record(GossipItem("only-right", 1, "r"))
    right.board.record(GossipItem("both", 2, "new"))
    left.board.record(GossipItem("both", 1, "old"))
    left.spread.repair(right.address, "a")
    wait_until(lambda: right.board.find("only-left"))
    assert left.board.find("only-right") and left.board.find("both").value == "new"
    assert right.board.find("gone") is None
    assert left.spread.compute_digest("a") == right.spread.compute_digest("a")


def test_an_item_over_the_size_limit_is_not_sent(make_node):
    left, right = make_node("left", GossipLimits(max_item_bytes=500)), make_node("right")
    left.link(right)
    left.board.record(GossipItem("large", 1, LARGE))
    left.board.record(GossipItem("small", 1, "s"))
    wait_until(lambda: right.board.find("small"))
    assert right.board.find("large") is None
