"""Variants of heartbeats and gossip that are compared in docs/explanation/membership.md.

Daemons use ``rings``. The other variants exist only for the comparison.
"""

import random
from dataclasses import dataclass
from typing import Any

import gevent

from hemlockswitch.connection.messages import register_message
from hemlockswitch.core.errors import PeerError
from hemlockswitch.process.gossip.gossip import Gossip
from hemlockswitch.process.gossip.messages import Fetch, GossipItems, GossipLimits, Row
from hemlockswitch.process.membership.membership import Membership
from hemlockswitch.process.membership.overlay import Links

FANOUT = 6
GRAFT_WAIT_S = 0.1


class MeshMembership(Membership):
    """Every member probes all other members."""

    def _find_links(self) -> Links:
        peers = tuple(one for one in self._members.values() if one.is_live and one != self.own)
        return Links(peers, peers)


class FloodGossip(Gossip):
    """Sends every item in full over every link."""

    def __init__(self, *arguments: Any, **options: Any) -> None:
        super().__init__(*arguments, limits=GossipLimits(max_pushed_bytes=1_000_000), **options)


class MeshGossip(FloodGossip):
    """The publisher of an item sends it to all members; receivers do not forward it."""

    def _push(self) -> None:
        self._pending = {key: source for key, source in self._pending.items() if not source}
        super()._push()


class RandomMembership(Membership):
    """Probes one random member per period, and sends items to `FANOUT` random members."""

    def _find_links(self) -> Links:
        peers = [one for one in self._members.values() if one.is_live and one != self.own]
        probed = random.sample(peers, min(1, len(peers)))
        return Links(tuple(probed), tuple(random.sample(peers, min(FANOUT, len(peers)))))


@register_message("variant-prune")
@dataclass(frozen=True)
class Prune:
    """Tells a neighbour that its items arrive earlier over another link."""


@register_message("variant-announce")
@dataclass(frozen=True)
class Announce:
    """Keys and versions of items that the sender has."""

    rows: list[list[Any]]


class TreeGossip(Gossip):
    """Prunes the links of the rings to a broadcast tree wherever duplicates arrive (Plumtree)."""

    def __init__(self, *arguments: Any, **options: Any) -> None:
        super().__init__(*arguments, **options)
        self._lazy: set[str] = set()
        self._network.handle(Prune, self._prune, runs_inline=True)
        self._network.handle(Announce, self._receive_have, runs_inline=True)

    def _prune(self, sender: str, message: Prune) -> None:
        self._lazy.add(sender)

    def _receive_items(self, sender: str, message: GossipItems) -> None:
        before = self.duplicate_items
        super()._receive_items(sender, message)
        if message.items and self.duplicate_items - before == len(message.items):
            self._lazy.add(sender)
            self._network.send(sender, Prune())
        else:
            self._lazy.discard(sender)

    def _push_rows(self, address: str, rows: list[Row]) -> None:
        if address not in self._lazy:
            self._send_items(address, rows)
        elif rows:
            self._network.send(address, Announce([row.content[:2] for row in rows]))

    def _receive_have(self, sender: str, message: Announce) -> None:
        if any(self._lacks(key, version, False) for key, version in message.rows):
            gevent.spawn(self._graft, sender, message.rows)

    def _graft(self, sender: str, rows: list[list[Any]]) -> None:
        gevent.sleep(GRAFT_WAIT_S)
        keys = [key for key, version in rows if self._lacks(key, version, False)]
        if not keys:
            return
        self._lazy.discard(sender)
        try:
            self._receive_items(sender, self._network.request(sender, Fetch(keys), 1_000))
        except PeerError:
            return


VARIANTS: dict[str, tuple[type[Membership], type[Gossip]]] = {
    "rings": (Membership, Gossip),
    "flood": (Membership, FloodGossip),
    "mesh": (MeshMembership, MeshGossip),
    "random": (RandomMembership, FloodGossip),
    "tree": (Membership, TreeGossip),
}
