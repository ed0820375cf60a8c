"""Spreads news items between daemons: pushed at once, repaired by comparing digests."""

import contextlib
import struct
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Any

import gevent
import msgpack
from gevent.event import Event as Signal

from hemlockswitch.connection.messages import register_message
from hemlockswitch.connection.peers import PeerNetwork
from hemlockswitch.core.clock import MS_PER_SECOND, Clock, SystemClock
from hemlockswitch.core.errors import ErrorKind, PeerError
from hemlockswitch.core.events import Event
from hemlockswitch.core.logs import log_event
from hemlockswitch.process.digests import Digest, choose_bucket, list_different
from hemlockswitch.process.members import Member
from hemlockswitch.process.news import NewsBoard, NewsItem


@register_message("news")
@dataclass(frozen=True)
class News:
    """Items as rows of key, version, value and whether it is a tombstone."""

    items: list[list[Any]]


@register_message("compare")
@dataclass(frozen=True)
class Compare:
    """Asks what the receiver holds in the buckets that differ from the sender's."""

    zone: str
    buckets: bytes


@register_message("difference")
@dataclass(frozen=True)
class Difference:
    """The buckets compared, and rows of key, version and tombstone for what is held in them."""

    buckets: list[int]
    held: list[list[Any]]


@register_message("fetch")
@dataclass(frozen=True)
class Fetch:
    """Asks for the items with these keys."""

    keys: list[str]


@dataclass(frozen=True)
class SpreadBounds:
    """Bounds of the spreading of news.

    Parameters
    ==========

    batch_ms : a new item waits this long for others to go along with it.
    batch_bytes : most bytes in one message of items.
    item_bytes : a larger item is not passed on.
    held_rows : most rows in one `Difference`.
    fetch_keys : most keys in one `Fetch`.
    ask_timeout_ms : how long a repair waits for each reply.
    tombstone_ms : how long a tombstone is kept; longer than a cut that must heal by itself.
    """

    batch_ms: int = 10
    batch_bytes: int = 65_536
    item_bytes: int = 524_288
    held_rows: int = 4_000
    fetch_keys: int = 500
    ask_timeout_ms: int = 2_000
    tombstone_ms: int = 7_200_000


class Spread:
    """Passes the items of a board on to the neighbours and repairs what was missed.

    Explanation
    ===========

    An item that is new to the board goes at once to every neighbour but the one it came from,
    together with what else became new within `batch_ms`; only the newest version of a key waits.
    A heartbeat carries a digest; when it differs from a peer's twice running, the two boards are
    compared by buckets and both sides get what they lack. So a lost message or a healed cut costs
    about what differs.

    Parameters
    ==========

    zone : the daemon's zone.
    zone_prefixes : keys with these prefixes stay inside the zone.
    """

    def __init__(
        self,
        board: NewsBoard,
        network: PeerNetwork,
        zone: str,
        *,
        zone_prefixes: tuple[str, ...] = (),
        clock: Clock | None = None,
        bounds: SpreadBounds | None = None,
    ) -> None:
        self.repairs = 0
        self.items_in = 0
        self.items_known = 0
        self._board = board
        self._network = network
        self._zone = zone
        self._zone_prefixes = zone_prefixes
        self._clock = clock or SystemClock()
        self._bounds = bounds or SpreadBounds()
        self._list_neighbours: Callable[[], Iterable[Member]] = tuple
        self._everywhere = Digest()
        self._in_zone = Digest()
        self._pending: dict[str, str] = {}
        self._source = ""
        self._wake = Signal()
        self._differed: set[str] = set()
        self._repairing: set[str] = set()
        self._tombstones: dict[str, float] = {}
        self._task: gevent.Greenlet | None = None
        for item in board.list_items():
            self._count(item)
        board.add_listener("", self._count)
        network.handle(News, self._receive_news, quick=True)
        network.handle(Compare, self._answer_compare, quick=True)
        network.handle(Fetch, self._answer_fetch, quick=True)

    def start(self, list_neighbours: Callable[[], Iterable[Member]]) -> None:
        """Start passing items on to the members that `list_neighbours` returns."""
        self._list_neighbours = list_neighbours
        self._task = gevent.spawn(self._push_forever)

    def stop(self) -> None:
        """Stop passing items on; what waits goes first."""
        if self._task is not None:
            self._task.kill(block=False)
        self._push()

    def compute_digest(self, zone: str) -> int:
        """Return the digest of what this daemon shares with the daemons of `zone`."""
        if zone == self._zone:
            return self._everywhere.total ^ self._in_zone.total
        return self._everywhere.total

    def check_digest(self, address: str, zone: str, digest: int) -> None:
        """Compare a peer's digest with ours, and repair when they differ twice running."""
        if digest == self.compute_digest(zone):
            self._differed.discard(address)
        elif address not in self._differed:
            self._differed.add(address)
        elif address not in self._repairing:
            self._differed.discard(address)
            gevent.spawn(self._repair_quietly, address, zone)

    def repair(self, address: str, zone: str = "") -> None:
        """Exchange with the peer at `address` what either side lacks.

        Parameters
        ==========

        zone : the peer's zone, where known; items that stay inside a zone need it.

        Raises
        ======

        PeerError : the peer did not answer.
        """
        self.repairs += 1
        timeout_ms = self._bounds.ask_timeout_ms
        compare = Compare(self._zone if zone == self._zone else "", self._pack_buckets(zone))
        difference = self._network.ask(address, compare, timeout_ms)
        held = {key: (version, tombstone) for key, version, tombstone in difference.held}
        self._send_missing(address, zone, held, set(difference.buckets))
        wanted = [key for key, (version, gone) in held.items() if self._lacks(key, version, gone)]
        for start in range(0, len(wanted), self._bounds.fetch_keys):
            keys = wanted[start : start + self._bounds.fetch_keys]
            self._receive_news(address, self._network.ask(address, Fetch(keys), timeout_ms))

    def _repair_quietly(self, address: str, zone: str) -> None:
        self._repairing.add(address)
        # When it fails the next heartbeat shows the difference again.
        with contextlib.suppress(PeerError):
            self.repair(address, zone)
        self._repairing.discard(address)

    def _pack_buckets(self, zone: str) -> bytes:
        return self._everywhere.pack_buckets([self._in_zone] if zone == self._zone else [])

    def _lacks(self, key: str, version: int, tombstone: bool) -> bool:
        known = self._board.find(key)
        return not tombstone if known is None else known.version < version

    def _send_missing(
        self, address: str, zone: str, held: dict[str, Any], buckets: set[int]
    ) -> None:
        missing = []
        for item in self._list_shared(zone):
            if choose_bucket(item.key) not in buckets:
                continue
            version, _ = held.get(item.key, (-1, False))
            lacks = item.version > version and not (item.tombstone and version < 0)
            if lacks:
                missing.append(item)
        self._send(address, missing)

    def _is_in_zone(self, key: str) -> bool:
        return key.startswith(self._zone_prefixes) if self._zone_prefixes else False

    def _list_shared(self, zone: str) -> list[NewsItem]:
        items = self._board.list_items()
        if zone == self._zone or not self._zone_prefixes:
            return items
        return [item for item in items if not self._is_in_zone(item.key)]

    def _count(self, item: NewsItem) -> None:
        digest = self._in_zone if self._is_in_zone(item.key) else self._everywhere
        digest.replace(item)
        self._tombstones.pop(item.key, None)
        if item.tombstone:
            self._tombstones[item.key] = self._clock.now_ms()
        self._pending[item.key] = self._source
        self._wake.set()

    def _push_forever(self) -> None:
        while True:
            self._wake.wait()
            gevent.sleep(self._bounds.batch_ms / MS_PER_SECOND)
            self._wake.clear()
            self._push()

    def _push(self) -> None:
        pending, self._pending = self._pending, {}
        items = [(self._board.find(key), source) for key, source in pending.items()]
        for member in self._list_neighbours():
            address = member.peer_address
            same_zone = member.zone == self._zone
            chosen = [
                item
                for item, source in items
                if item is not None
                and source != address
                and (same_zone or not self._is_in_zone(item.key))
            ]
            self._send(address, chosen)

    def _send(self, address: str, items: list[NewsItem]) -> None:
        rows: list[list[Any]] = []
        size_bytes = 0
        for item in items:
            row = [item.key, item.version, item.value, item.tombstone]
            row_bytes = len(msgpack.packb(row))
            if row_bytes > self._bounds.item_bytes:
                log_event(Event.NEWS_TOO_LARGE, "error", key=item.key, size_bytes=row_bytes)
                continue
            if rows and size_bytes + row_bytes > self._bounds.batch_bytes:
                self._network.send(address, News(rows))
                rows, size_bytes = [], 0
            rows.append(row)
            size_bytes += row_bytes
        if rows:
            self._network.send(address, News(rows))

    def forget_tombstones(self) -> None:
        """Drop the tombstones that have been kept long enough; the oldest stand first."""
        oldest_ms = self._clock.now_ms() - self._bounds.tombstone_ms
        for key, learned_ms in list(self._tombstones.items()):
            if learned_ms > oldest_ms:
                break
            del self._tombstones[key]
            self._board.forget(key)

    def _receive_news(self, sender: str, news: News) -> None:
        self._source = sender
        try:
            for key, version, value, tombstone in news.items:
                self.items_in += 1
                if not self._board.learn(NewsItem(key, version, value, tombstone)):
                    self.items_known += 1
        finally:
            self._source = ""

    def _answer_compare(self, sender: str, compare: Compare) -> Difference:
        mine = self._pack_buckets(compare.zone)
        try:
            different = list_different(mine, compare.buckets)
        except struct.error as error:
            raise PeerError(ErrorKind.BAD_REQUEST, "not a packed digest") from error
        rows: dict[int, list[list[Any]]] = {number: [] for number in different}
        for item in self._list_shared(compare.zone):
            bucket = choose_bucket(item.key)
            if bucket in rows:
                rows[bucket].append([item.key, item.version, item.tombstone])
        return _cut_to_bound(rows, self._bounds.held_rows)

    def _answer_fetch(self, sender: str, fetch: Fetch) -> News:
        rows: list[list[Any]] = []
        size_bytes = 0
        for key in fetch.keys[: self._bounds.fetch_keys]:
            item = self._board.find(key)
            if item is None:
                continue
            row = [item.key, item.version, item.value, item.tombstone]
            size_bytes += len(msgpack.packb(row))
            if rows and size_bytes > self._bounds.item_bytes:
                break
            rows.append(row)
        return News(rows)


def _cut_to_bound(rows: dict[int, list[list[Any]]], bound: int) -> Difference:
    """Return the first buckets whose rows fit; the next comparison goes on with the others."""
    buckets: list[int] = []
    held: list[list[Any]] = []
    for number, bucket_rows in rows.items():
        if held and len(held) + len(bucket_rows) > bound:
            break
        buckets.append(number)
        held += bucket_rows
    return Difference(buckets, held)
