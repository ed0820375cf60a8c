"""The versions that began streams, as objects of the object service, for callers who return after all gateways ended.

One gateway of a small fleet, and one of each zone of a larger one, writes the new records of all of them in segments:
objects that are replaced in turn. The segments are read where no other gateway has a record of a stream.
"""

from base64 import b64decode, b64encode
from collections import defaultdict
from dataclasses import dataclass
from typing import Any, Protocol

import gevent

from hemlockswitch.connection.peers import PeerNetwork
from hemlockswitch.connection.stored_objects import (
    ConditionalStore,
    ObjectPage,
    StoredObject,
    WriteOutcome,
    Written,
)
from hemlockswitch.core.clock import MS_PER_SECOND, Clock
from hemlockswitch.core.errors import ErrorKind, PlatformError
from hemlockswitch.core.events import Event
from hemlockswitch.core.identifiers import rank_rendezvous
from hemlockswitch.core.logs import log_event
from hemlockswitch.process.gateway.fleet import Fleet
from hemlockswitch.process.gateway.peer_groups import Peer
from hemlockswitch.process.gateway.shared_call import SharedCall
from hemlockswitch.process.gateway.stream_messages import (
    MAX_RECORDS_PER_MESSAGE,
    StreamsToStore,
    decode_record,
    encode_record,
)
from hemlockswitch.request.stream_records import KEY_BYTES, StreamKey, StreamRecord, StreamRecords

RECORDS_KIND = "stream-records"
SEGMENTS = 256
MAX_RECORDS_PER_SEGMENT = 5_000
"""Keeps a segment, at 22 bytes a record, far below the largest object that the object service stores."""
SAVE_INTERVAL_MS = 500.0
READ_TIMEOUT_MS = 500.0
RETRY_INTERVAL_MS = 2_000.0
"""Time to the next write after one that failed; meanwhile the records that wait may be many."""
READ_INTERVAL_MS = 5_000.0
"""Limits the reads that callers with streams of unknown origin can cause."""


class SegmentStore(ConditionalStore, Protocol):
    """The object service as it is used for the segments."""

    def list(self, kind: str, prefix: str = "") -> ObjectPage:
        """Return all objects of a kind whose names start with `prefix`."""


@dataclass(frozen=True)
class Segment:
    """Records that were written at the same time.

    Parameters
    ==========

    number : increases with each segment of a writer's group.
    life_ms : for how long after the write the last of these streams may be taken up.
    """

    number: int
    life_ms: float
    records: tuple[StreamRecord, ...]

    @classmethod
    def from_value(cls, value: Any, now_ms: float) -> "Segment":
        """Return the segment of a stored value, counting its life from now.

        Raises
        ======

        ValueError, TypeError, KeyError : the value has another form.
        """
        life_ms = float(value["life_ms"])
        records = [
            StreamRecord(
                StreamKey(digest, str(account), str(service)), str(version), now_ms + life_ms
            )
            for service, version, account, text in value["streams"]
            for digest in _split_digests(text)
        ]
        return cls(int(value["number"]), life_ms, tuple(records))

    def to_value(self) -> dict[str, Any]:
        """Return the stored value."""
        digests: defaultdict[tuple[str, str, str], list[bytes]] = defaultdict(list)
        for record in self.records:
            digests[record.key.service, record.version, record.key.account].append(
                record.key.digest
            )
        streams = [
            [*names, b64encode(b"".join(found)).decode()] for names, found in digests.items()
        ]
        return {"number": self.number, "life_ms": round(self.life_ms), "streams": streams}


class StoredStreams:
    """Writes the new records of this gateway's group, and finds the version of a stream in what was written.

    Explanation
    ===========

    The group of a small fleet is the fleet, whose gateways send each record to one another; that of a larger fleet is
    the zone. If two gateways take themselves for the writer, the object service accepts a segment of one of them,
    and the other reads the segments and writes after them.

    Parameters
    ==========

    store : the object service.
    network, fleet : the streams to the other gateways, and the list of these gateways.
    clock : the time source.
    """

    def __init__(
        self, store: SegmentStore, network: PeerNetwork, fleet: Fleet, clock: Clock
    ) -> None:
        self._store = store
        self._network = network
        self._fleet = fleet
        self._clock = clock
        self._new = StreamRecords(clock)
        self._stored = StreamRecords(clock)  # as read from the segments
        self._reading = SharedCall(self._read)
        self._read_ms = float("-inf")
        self._read_kind = ""
        self._number: int | None = None  # of the last segment; None if it is not known
        self._versions: dict[str, int] = {}  # of the segments' objects, by name
        self._paused_until_ms = float("-inf")
        network.handle(StreamsToStore, self._apply_sent, runs_inline=True)

    def record(self, record: StreamRecord) -> None:
        """Add a record to those that are written next."""
        self._new.put(record)

    def find(self, key: StreamKey) -> str | None:
        """Return the version that began a stream, or None if no segment has it or the store does not answer."""
        version = self._stored.find_version(key)
        if version is None and self._is_read_due():
            self._reading.run()
            version = self._stored.find_version(key)
        return version

    def save(self) -> None:
        """Write the new records, or send them to the gateway that does."""
        if not self._new or not self._fleet.is_listed:
            return
        writer = self._find_writer()
        if writer is None:
            if self._clock.now_ms() >= self._paused_until_ms:
                self._write(self._new.pop_live())
        elif self._fleet.reports_by_zone:
            self._send(writer, self._new.pop_live())

    def save_forever(self) -> None:
        """Save periodically, without end."""
        while True:
            self._clock.sleep_ms(SAVE_INTERVAL_MS)
            self.save()

    def sweep(self) -> None:
        """Remove the expired records."""
        self._new.remove_expired()
        self._stored.remove_expired()

    def _is_read_due(self) -> bool:
        is_recent = self._clock.now_ms() - self._read_ms < READ_INTERVAL_MS
        return not is_recent or self._read_kind != self._kind

    @property
    def _kind(self) -> str:
        """The kind of the segments of this gateway's group, which changes when the fleet outgrows a small one."""
        zone = self._fleet.zone
        return f"{RECORDS_KIND}-{zone}" if self._fleet.reports_by_zone else RECORDS_KIND

    def _find_writer(self) -> Peer | None:
        """Return the gateway that writes the records of this one's group; None if this one does."""
        zone = self._fleet.zone if self._fleet.reports_by_zone else None
        peers = {peer.name: peer for peer in self._fleet.list_running(zone)}
        first, *_ = rank_rendezvous(self._kind, (self._fleet.name, *peers))
        return peers.get(first)

    def _send(self, writer: Peer, records: list[StreamRecord]) -> None:
        now_ms = self._clock.now_ms()
        for first in range(0, len(records), MAX_RECORDS_PER_MESSAGE):
            part = records[first : first + MAX_RECORDS_PER_MESSAGE]
            message = StreamsToStore([encode_record(record, now_ms) for record in part])
            if not self._network.send(writer.address, message):
                self._put_back(part)

    def _apply_sent(self, _address: str, message: StreamsToStore) -> None:
        now_ms = self._clock.now_ms()
        for fields in message.records:
            self._new.put(decode_record(fields, now_ms))

    def _write(self, records: list[StreamRecord]) -> None:
        for first in range(0, len(records), MAX_RECORDS_PER_SEGMENT):
            try:
                is_written = self._write_segment(records[first : first + MAX_RECORDS_PER_SEGMENT])
            except PlatformError as error:
                log_event(Event.STREAMS_NOT_STORED, "warning", detail=error.detail)
                self._paused_until_ms = self._clock.now_ms() + RETRY_INTERVAL_MS
                is_written = False
            if not is_written:
                self._put_back(records[first:])
                return

    def _put_back(self, records: list[StreamRecord]) -> None:
        for record in records:
            self._new.put(record)

    def _write_segment(self, records: list[StreamRecord]) -> bool:
        """Write a segment; return whether it was confirmed.

        Raises
        ======

        PlatformError : the object service does not answer.
        """
        if self._number is None or self._read_kind != self._kind:
            self._number = None
            self._reading.run()
        if self._number is None:
            raise PlatformError(ErrorKind.PLATFORM_UNAVAILABLE, "the segments are not known")
        last_ms = max(record.expires_ms for record in records)
        segment = Segment(self._number + 1, last_ms - self._clock.now_ms(), tuple(records))
        name = str(segment.number % SEGMENTS)
        outcome = self._put(name, segment.to_value())
        if not isinstance(outcome, Written):
            # Another gateway has written it, or the outcome is not known.
            self._number = None
            return False
        self._number = segment.number
        self._versions[name] = outcome.version
        return True

    def _put(self, name: str, value: Any) -> WriteOutcome:
        version = self._versions.get(name)
        if version is None:
            return self._store.create(self._kind, name, value)
        return self._store.update(self._kind, name, value, version)

    def _read(self) -> None:
        kind = self._kind
        try:
            with gevent.Timeout(READ_TIMEOUT_MS / MS_PER_SECOND):
                self._apply_listed(self._store.list(kind).items)
            self._read_kind, self._read_ms = kind, self._clock.now_ms()
        except PlatformError as error:
            log_event(Event.STREAMS_NOT_STORED, "warning", detail=error.detail)
        except gevent.Timeout:
            detail = f"the segments were not listed within {READ_TIMEOUT_MS:.0f} ms"
            log_event(Event.STREAMS_NOT_STORED, "warning", detail=detail)

    def _apply_listed(self, items: tuple[StoredObject, ...]) -> None:
        self._number = 0
        self._versions = {item.name: item.version for item in items}
        now_ms = self._clock.now_ms()
        segments = [one for item in items if (one := _read_segment(item, now_ms)) is not None]
        # A later record of a stream corrects an earlier one.
        for segment in sorted(segments, key=lambda one: one.number):
            self._number = max(self._number, segment.number)
            for record in segment.records:
                self._stored.put(record)


def _read_segment(item: StoredObject, now_ms: float) -> Segment | None:
    """Return the segment of an object, or None if it has another form."""
    try:
        return Segment.from_value(item.value, now_ms)
    except (ValueError, TypeError, KeyError) as error:
        log_event(
            Event.OBJECT_UNREADABLE, "warning", kind=item.kind, name=item.name, detail=repr(error)
        )
        return None


def _split_digests(text: str) -> list[bytes]:
    joined = b64decode(text, validate=True)
    return [joined[first : first + KEY_BYTES] for first in range(0, len(joined), KEY_BYTES)]
