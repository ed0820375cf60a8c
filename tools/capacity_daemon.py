"""Minimal daemon for measurements, with only the peer network, membership and gossip.

It reads one command per line from standard input and answers each by one JSON line on standard output.
"""

import json
import os
import resource
import socket
import struct
import sys
import time

import gevent
from gevent.fileobject import FileObjectPosix

from hemlockswitch.connection.peers import PeerNetwork
from hemlockswitch.core.logs import configure_logs
from hemlockswitch.process.gossip.state import GossipItem, GossipState
from hemlockswitch.process.membership.members import MEMBER_PREFIX, Member
from tools.capacity_variants import VARIANTS

PAGE_BYTES = resource.getpagesize()
# The fields segs_out and segs_in of struct tcp_info in Linux.
SEGMENTS = struct.Struct("136x2I")


def read_resident_bytes() -> int:
    """Return the resident memory of this process."""
    with open("/proc/self/statm") as status:
        return int(status.read().split()[1]) * PAGE_BYTES


def count_segments(network: PeerNetwork) -> int:
    """Return the number of TCP segments sent and received by the open streams."""
    total = 0
    for link in network._all_links:
        if link._connection is not None and not link.closed:
            information = link._connection.getsockopt(
                socket.IPPROTO_TCP, socket.TCP_INFO, SEGMENTS.size
            )
            total += sum(SEGMENTS.unpack(information))
    return total


class MeasuredDaemon:
    """A daemon that records when it received items and detected dead members."""

    def __init__(self, settings: dict) -> None:
        membership_type, gossip_type = VARIANTS[settings["variant"]]
        self.bare_bytes = read_resident_bytes()
        self.network = PeerNetwork("capacity", settings["name"])
        self.network.start()
        self.gossip_state = GossipState()
        self.gossip = gossip_type(self.gossip_state, self.network, settings["zone"])
        own = Member(settings["name"], settings["zone"], settings["region"], "", "127.0.0.1:0")
        self.membership = membership_type(
            own, self.gossip_state, self.network, self.gossip, seeds=settings["seeds"]
        )
        self.received_ms: dict[str, float] = {}
        self.dead_ms: dict[str, float] = {}
        self.gossip_state.add_listener("measured/", self._record_item)
        self.membership.add_listener(self._record_dead_member)
        self.membership.start()

    def _record_item(self, item: GossipItem) -> None:
        self.received_ms[item.key] = time.monotonic() * 1000

    def _record_dead_member(self, member: Member) -> None:
        if not member.is_live:
            self.dead_ms.setdefault(member.name, time.monotonic() * 1000)

    def report(self) -> dict:
        """Return the counters and times recorded so far."""
        traffic = self.network.traffic
        usage = resource.getrusage(resource.RUSAGE_SELF)
        return {
            "messages_in": traffic.messages_in,
            "messages_out": traffic.messages_out,
            "bytes_in": traffic.bytes_in,
            "bytes_out": traffic.bytes_out,
            "segments": count_segments(self.network),
            "links": len(list(self.membership._find_links().probed)),
            "neighbours": len(list(self.membership._find_links().gossip_peers)),
            "streams": len(self.network.list_streams()),
            "items_in": self.gossip.items_in,
            "items_known": self.gossip.duplicate_items,
            "repairs": self.gossip.repairs,
            "live": len(self.membership.list_live()),
            "processor_ms": (usage.ru_utime + usage.ru_stime) * 1000,
            "resident_bytes": read_resident_bytes(),
            "bare_bytes": self.bare_bytes,
            "learned_ms": self.received_ms,
            "dead_ms": self.dead_ms,
        }

    def publish(self, key: str, size_bytes: int) -> dict:
        """Publish a new item of the given size and return the time."""
        now_ms = time.monotonic() * 1000
        self.gossip_state.record(GossipItem(f"measured/{key}", 1, "x" * size_bytes))
        return {"published_ms": now_ms}

    def hold(self, members: int, items: int) -> dict:
        """Return the memory per additional dead member and item; nothing is sent to peers."""
        self.membership._gossip._list_peers = tuple
        before_bytes = read_resident_bytes()
        for number in range(members):
            member = Member(f"held-{number:06}", "zone", "region", "10.0.0.1:65000", "10.0.0.1:1")
            item = member.to_item()
            self.gossip_state.record(GossipItem(item.key, item.version, item.value, True))
        with_members_bytes = read_resident_bytes()
        for number in range(items):
            value = {"name": f"vm-{number:06}", "address": "10.0.0.1:65000", "state": "live"}
            self.gossip_state.record(GossipItem(f"vm/vm-{number:06}", 1, value))
        with_items_bytes = read_resident_bytes()
        return {
            "member_bytes": (with_members_bytes - before_bytes) / max(members, 1),
            "item_bytes": (with_items_bytes - with_members_bytes) / max(items, 1),
            "prefix": MEMBER_PREFIX,
        }


def run_command(daemon: MeasuredDaemon, line: str) -> dict:
    """Execute one command."""
    command, *arguments = line.split()
    if command == "report":
        return daemon.report()
    if command == "publish":
        return daemon.publish(arguments[0], int(arguments[1]))
    if command == "hold":
        return daemon.hold(int(arguments[0]), int(arguments[1]))
    raise ValueError(f"no command {command!r}")


def main() -> None:
    """Serve commands until standard input is closed."""
    settings = json.loads(sys.argv[1])
    configure_logs(settings["name"], "warning")
    daemon = MeasuredDaemon(settings)
    print(json.dumps({"ready": True, "address": daemon.network.address}), flush=True)
    with FileObjectPosix(sys.stdin, "r", close=False) as commands:
        for line in commands:
            print(json.dumps(run_command(daemon, line)), flush=True)
            gevent.sleep(0)
    os._exit(0)


if __name__ == "__main__":
    main()
