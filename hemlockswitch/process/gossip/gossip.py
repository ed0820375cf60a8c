"""Disseminates gossip items: new items are pushed, missed ones are repaired by digests."""

import contextlib
import struct
from collections.abc import Callable, Iterable
from typing import Any

import gevent
from gevent.event import Event as Signal

from hemlockswitch.connection.peers import PeerNetwork
from hemlockswitch.core.clock import MS_PER_SECOND, Clock, SystemClock
from hemlockswitch.core.errors import ErrorKind, PeerError
from hemlockswitch.core.events import Event
from hemlockswitch.core.logs import log_event
from hemlockswitch.process.gossip.digests import Digest, choose_bucket, list_different
from hemlockswitch.process.gossip.messages import (
    Compare,
    Difference,
    Fetch,
    GossipItems,
    GossipLimits,
    Have,
    Row,
    batch_rows,
)
from hemlockswitch.process.gossip.retrieval import Retrievals
from hemlockswitch.process.gossip.state import GossipItem, GossipState
from hemlockswitch.process.membership.members import Member

__all__ = ["Gossip", "GossipLimits"]


class Gossip:
    """Sends the items of the gossip state to the linked peers and repairs what was missed.

    Explanation
    ===========

    A new item is sent to every linked peer except the one it came from, batched with the other
    items of the next `batch_delay_ms`; only the newest version of a key is sent. A large item is
    announced instead, and each daemon that lacks it fetches it once.

    A heartbeat carries a digest. If it differs from a peer's in two consecutive heartbeats, the
    two daemons compare their items by buckets, and each receives what it lacks. So the cost of
    repair after a lost message or a network partition is proportional to the difference.

    Parameters
    ==========

    zone : the daemon's zone.
    zone_prefixes : items whose keys have these prefixes are not sent to other zones.
    """

    def __init__(
        self,
        gossip_state: GossipState,
        network: PeerNetwork,
        zone: str,
        *,
        zone_prefixes: tuple[str, ...] = (),
        clock: Clock | None = None,
        limits: GossipLimits | None = None,
    ) -> None:
        self.repairs = 0
        self.items_in = 0
        self.duplicate_items = 0
        self._gossip_state = gossip_state
        self._network = network
        self._zone = zone
        self._zone_prefixes = zone_prefixes
        self._clock = clock or SystemClock()
        self._limits = limits or GossipLimits()
        self._list_peers: Callable[[], Iterable[Member]] = tuple
        self._global_digest = Digest()
        self._zone_digest = Digest()
        self._pending: dict[str, str] = {}
        self._source = ""
        self._wake = Signal()
        self._differing_addresses: set[str] = set()
        self._repairing = False
        self._tombstones: dict[str, float] = {}
        self._task: gevent.Greenlet | None = None
        self._retrievals = Retrievals(network, self._limits, self._lacks, self._receive_items)
        for item in gossip_state.list_items():
            self._record_item(item)
        gossip_state.add_listener("", self._record_item)
        network.handle(GossipItems, self._receive_items, runs_inline=True)
        network.handle(Compare, self._answer_compare, runs_inline=True)
        network.handle(Fetch, self._answer_fetch, runs_inline=True)

    def start(self, list_peers: Callable[[], Iterable[Member]]) -> None:
        """Start sending items to the members that `list_peers` returns."""
        self._list_peers = list_peers
        self._task = gevent.spawn(self._push_forever)

    def stop(self) -> None:
        """Send the pending items and stop."""
        if self._task is not None:
            self._task.kill(block=False)
        self._push()

    def compute_digest(self, zone: str) -> int:
        """Return the digest of the items that this daemon shares with the daemons of `zone`."""
        if zone == self._zone:
            return self._global_digest.total ^ self._zone_digest.total
        return self._global_digest.total

    def check_digest(self, address: str, zone: str, digest: int) -> None:
        """Compare a peer's digest with the own one; repair at the second difference in a row."""
        if digest == self.compute_digest(zone):
            self._differing_addresses.discard(address)
        elif address not in self._differing_addresses:
            self._differing_addresses.add(address)
        elif not self._repairing:
            # One repair at a time: concurrent ones would transfer the same items repeatedly.
            self._repairing = True
            self._differing_addresses.discard(address)
            gevent.spawn(self._repair_quietly, address, zone)

    def repair(self, address: str, zone: str = "") -> None:
        """Exchange with the peer at `address` the items that either side lacks.

        Parameters
        ==========

        zone : the peer's zone, or empty; items that stay within a zone are exchanged only if it
            is this daemon's zone.

        Raises
        ======

        PeerError : the peer did not answer.
        """
        self.repairs += 1
        compare = Compare(self._zone if zone == self._zone else "", self._pack_buckets(zone))
        difference = self._network.request(address, compare, self._limits.request_timeout_ms)
        held = {key: (version, tombstone) for key, version, tombstone in difference.held}
        missing = self._list_missing(zone, held, set(difference.buckets))
        self._send_items(address, self._make_rows(missing))
        wanted = [
            key
            for key, (version, tombstone) in held.items()
            if self._lacks(key, version, tombstone)
        ]
        self._retrievals.fetch(address, wanted)

    def discard_tombstones(self) -> None:
        """Discard the tombstones whose retention is over; they are ordered oldest first."""
        oldest_ms = self._clock.now_ms() - self._limits.tombstone_retention_ms
        for key, learned_ms in list(self._tombstones.items()):
            if learned_ms > oldest_ms:
                break
            del self._tombstones[key]
            self._gossip_state.discard(key)

    def _repair_quietly(self, address: str, zone: str) -> None:
        try:
            # If the repair fails, the next heartbeats show the difference again.
            with contextlib.suppress(PeerError):
                self.repair(address, zone)
        finally:
            self._repairing = False

    def _pack_buckets(self, zone: str) -> bytes:
        return self._global_digest.pack_buckets([self._zone_digest] if zone == self._zone else [])

    def _lacks(self, key: str, version: int, tombstone: bool = False) -> bool:
        known = self._gossip_state.find(key)
        return not tombstone if known is None else known.version < version

    def _list_missing(self, zone: str, held: dict[str, Any], buckets: set[int]) -> list[GossipItem]:
        """Return the items in `buckets` whose version is newer than the peer's in `held`."""
        missing = []
        for item in self._list_shared(zone):
            version, _ = held.get(item.key, (-1, False))
            # A peer without the key needs no tombstone for it.
            needed = version >= 0 or not item.tombstone
            if item.version > version and needed and choose_bucket(item.key) in buckets:
                missing.append(item)
        return missing

    def _is_zone_key(self, key: str) -> bool:
        return bool(self._zone_prefixes) and key.startswith(self._zone_prefixes)

    def _list_shared(self, zone: str) -> list[GossipItem]:
        items = self._gossip_state.list_items()
        if zone == self._zone or not self._zone_prefixes:
            return items
        return [item for item in items if not self._is_zone_key(item.key)]

    def _record_item(self, item: GossipItem) -> None:
        digest = self._zone_digest if self._is_zone_key(item.key) else self._global_digest
        digest.replace(item)
        self._tombstones.pop(item.key, None)
        if item.tombstone:
            self._tombstones[item.key] = self._clock.now_ms()
        self._pending[item.key] = self._source
        self._wake.set()

    def _push_forever(self) -> None:
        while True:
            self._wake.wait()
            gevent.sleep(self._limits.batch_delay_ms / MS_PER_SECOND)
            self._wake.clear()
            self._push()

    def _push(self) -> None:
        pending, self._pending = self._pending, {}
        found = [(self._gossip_state.find(key), source) for key, source in pending.items()]
        waiting = [(item, source) for item, source in found if item is not None]
        rows = self._make_rows(item for item, _ in waiting)
        sources = {item.key: source for item, source in waiting}
        for member in self._list_peers():
            address = member.peer_address
            same_zone = member.zone == self._zone
            chosen = [
                row
                for row in rows
                if sources[row.content[0]] != address
                and (same_zone or not self._is_zone_key(row.content[0]))
            ]
            self._push_rows(address, chosen)

    def _make_rows(self, items: Iterable[GossipItem]) -> list[Row]:
        rows = [Row.from_item(item) for item in items]
        for row in rows:
            if row.size_bytes > self._limits.max_item_bytes:
                key, size_bytes = row.content[0], row.size_bytes
                log_event(Event.NEWS_TOO_LARGE, "error", key=key, size_bytes=size_bytes)
        return [row for row in rows if row.size_bytes <= self._limits.max_item_bytes]

    def _push_rows(self, address: str, rows: list[Row]) -> None:
        """Send small items and announce large ones."""
        eager_bytes = self._limits.max_pushed_bytes
        self._send_items(address, [row for row in rows if row.size_bytes <= eager_bytes])
        large = [row.content[:2] for row in rows if row.size_bytes > eager_bytes]
        if large:
            self._network.send(address, Have(large))

    def _send_items(self, address: str, rows: list[Row]) -> None:
        for batch in batch_rows(rows, self._limits.max_batch_bytes):
            self._network.send(address, GossipItems(batch))

    def _receive_items(self, sender: str, message: GossipItems) -> None:
        self._source = sender
        try:
            for key, version, value, tombstone in message.items:
                self.items_in += 1
                if not self._gossip_state.record(GossipItem(key, version, value, tombstone)):
                    self.duplicate_items += 1
        finally:
            self._source = ""

    def _answer_compare(self, sender: str, compare: Compare) -> Difference:
        mine = self._pack_buckets(compare.zone)
        try:
            different = list_different(mine, compare.buckets)
        except struct.error as error:
            raise PeerError(
                ErrorKind.BAD_REQUEST, "buckets to compare are not a packed digest"
            ) from error
        rows: dict[int, list[list[Any]]] = {number: [] for number in different}
        for item in self._list_shared(compare.zone):
            bucket = choose_bucket(item.key)
            if bucket in rows:
                rows[bucket].append([item.key, item.version, item.tombstone])
        return _limit_rows(rows, self._limits.max_difference_rows)

    def _answer_fetch(self, sender: str, fetch: Fetch) -> GossipItems:
        items = (self._gossip_state.find(key) for key in fetch.keys[: self._limits.max_fetch_keys])
        rows = self._make_rows(item for item in items if item is not None)
        batches = batch_rows(rows, self._limits.max_item_bytes)
        return GossipItems(batches[0] if batches else [])


def _limit_rows(rows: dict[int, list[list[Any]]], bound: int) -> Difference:
    """Return the first buckets whose rows fit; the next comparison continues with the others."""
    buckets: list[int] = []
    held: list[list[Any]] = []
    for number, bucket_rows in rows.items():
        if held and len(held) + len(bucket_rows) > bound:
            break
        buckets.append(number)
        held += bucket_rows
    return Difference(buckets, held)
