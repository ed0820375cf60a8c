"""Records of streams in the object service, which outlast an end of all gateways.

They guard against a stream whose version is forgotten or taken from another stream, against segments that one writer
replaces unread, and against reads and writes that grow with the number of gateways or of unknown streams.
"""

from types import SimpleNamespace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from hemlockswitch.core.clock import ManualClock
from hemlockswitch.process.gateway.peer_groups import Peer
from hemlockswitch.process.gateway.stored_streams import (
    READ_INTERVAL_MS,
    RECORDS_KIND,
    RETRY_INTERVAL_MS,
    SEGMENTS,
    Segment,
    StoredStreams,
)
from hemlockswitch.request.stream_records import StreamKey, StreamRecord
from tests.memory_store import MemoryStores

LIFE_MS = 30_000.0


class CountingStore(MemoryStores):
    """An object service that counts its calls."""

    def __init__(self):
        super().__init__()
        self.reads = 0
        self.writes = 0

    def list(self, kind, prefix=""):
        self.reads += 1
        return super().list(kind, prefix)

    def create(self, kind, name, value):
        self.writes += 1
        return super().create(kind, name, value)

    def update(self, kind, name, value, version):
        self.writes += 1
        return super().update(kind, name, value, version)


class Gateways:
    """The stored streams of gateways that are connected; those in `ended` are known to have ended."""

    def __init__(self, count=3, zones=(), store=None):
        self.clock = ManualClock()
        self.store = store or CountingStore()
        self.zones = zones
        self.ended = set()
        self.handlers = {}
        self.fleets = {}
        self.names = [f"g{number}" for number in range(count)]
        self.all = {name: self.start(name) for name in self.names}

    def find_zone(self, name):
        return self.zones[self.names.index(name)] if self.zones else "z0"

    def start(self, name):
        """Return a new process of a gateway."""

        def list_running(zone):
            running = [one for one in self.names if one != name and one not in self.ended]
            near = [one for one in running if zone in (None, self.find_zone(one))]
            return [Peer(one, one, 0.0, self.find_zone(one)) for one in near]

        fleet = self.fleets[name] = SimpleNamespace(
            name=name,
            is_listed=True,
            zone=self.find_zone(name),
            reports_by_zone=bool(self.zones),
            list_running=list_running,
        )
        network = SimpleNamespace(handle=lambda *args, **_: self._handle(name, *args))
        network.send = self._deliver
        return StoredStreams(self.store, network, fleet, self.clock)

    def _handle(self, name, message_type, handler):
        self.handlers[name] = handler

    def _deliver(self, address, message):
        self.handlers[address](address, message)
        return True

    def save(self):
        """Let every gateway that runs write or send its new records."""
        for name, one in self.all.items():
            if name not in self.ended:
                one.save()

    def restart_all(self):
        """Replace all gateways by new processes."""
        self.all = {name: self.start(name) for name in self.names}

    def make_record(self, attempt, version, account="hall"):
        key = StreamKey.build(account, "llm", attempt)
        return StreamRecord(key, version, self.clock.now_ms() + LIFE_MS)

    def begin(self, name, attempt, version, account="hall"):
        """Let a gateway begin a stream, of which it tells the others in a small fleet."""
        record = self.make_record(attempt, version, account)
        for other, one in self.all.items():
            if other not in self.ended and (other == name or not self.zones):
                one.record(record)

    def find(self, name, attempt, account="hall"):
        return self.all[name].find(StreamKey.build(account, "llm", attempt))


def test_streams_are_known_after_all_gateways_have_ended():
    gateways = Gateways()
    gateways.begin("g0", "a", "v1")
    gateways.begin("g1", "b", "v2")
    gateways.save()
    gateways.restart_all()
    assert [gateways.find("g2", attempt) for attempt in ("a", "b", "c")] == ["v1", "v2", None]


def test_stream_of_another_account_is_not_found():
    gateways = Gateways()
    gateways.begin("g0", "a", "v1", account="hall")
    gateways.save()
    gateways.restart_all()
    assert gateways.find("g0", "a", account="other") is None


def test_one_gateway_writes_for_all():
    gateways = Gateways(count=9)
    for number in range(9):
        gateways.begin(f"g{number}", str(number), "v1")
    gateways.save()
    assert gateways.store.writes == 1
    gateways.save()
    assert gateways.store.writes == 1


def test_records_are_written_by_the_next_gateway_after_the_writer_has_ended():
    gateways = Gateways()
    gateways.begin("g0", "a", "v1")
    (writer,) = [name for name, one in gateways.all.items() if one._find_writer() is None]
    gateways.ended.add(writer)
    gateways.save()
    gateways.restart_all()
    assert gateways.find(writer, "a") == "v1"


def test_two_writers_keep_the_segments_of_each_other():
    gateways = Gateways(count=2)
    one, other = gateways.all.values()
    for number in range(4):
        # Each takes the other for ended, as in a partition.
        gateways.ended = {"g0", "g1"}
        for writer, attempt in ((one, f"one-{number}"), (other, f"other-{number}")):
            writer.record(gateways.make_record(attempt, "v1"))
        for _ in range(2):
            one.save()
            other.save()
    gateways.restart_all()
    attempts = [f"{name}-{number}" for name in ("one", "other") for number in range(4)]
    assert [gateways.find("g0", attempt) for attempt in attempts] == ["v1"] * 8


def test_segment_whose_outcome_is_unknown_is_written_again():
    gateways = Gateways(count=1)
    gateways.store.kinds[RECORDS_KIND].lost_answers = 1
    gateways.begin("g0", "a", "v1")
    gateways.save()
    gateways.save()
    gateways.begin("g0", "b", "v2")
    gateways.save()
    gateways.restart_all()
    assert [gateways.find("g0", attempt) for attempt in ("a", "b")] == ["v1", "v2"]


def test_records_wait_while_the_object_service_is_away():
    gateways = Gateways(count=1)
    gateways.store.kinds[RECORDS_KIND].is_down = True
    gateways.begin("g0", "a", "v1")
    gateways.save()
    assert gateways.find("g0", "a") is None
    gateways.store.kinds[RECORDS_KIND].is_down = False
    gateways.save()
    assert gateways.store.writes == 0
    gateways.clock.advance(RETRY_INTERVAL_MS)
    gateways.save()
    gateways.restart_all()
    assert gateways.find("g0", "a") == "v1"


def test_segments_are_replaced_in_turn():
    gateways = Gateways(count=1)
    for number in range(SEGMENTS + 5):
        gateways.begin("g0", str(number), "v1")
        gateways.save()
    gateways.restart_all()
    assert len(gateways.store.kinds[RECORDS_KIND].objects) == SEGMENTS
    assert gateways.find("g0", "4") is None
    assert gateways.find("g0", "5") == gateways.find("g0", str(SEGMENTS + 4)) == "v1"


def test_unknown_streams_do_not_cause_more_reads():
    gateways = Gateways(count=1)
    for attempt in ("a", "b", "c"):
        assert gateways.find("g0", attempt) is None
    assert gateways.store.reads == 1
    gateways.clock.advance(READ_INTERVAL_MS)
    gateways.find("g0", "a")
    assert gateways.store.reads == 2


def test_larger_fleet_writes_once_in_each_zone():
    gateways = Gateways(count=8, zones=("z0", "z1") * 4)
    for number in range(8):
        gateways.begin(f"g{number}", str(number), f"v{number}")
    for _ in range(2):
        gateways.save()
    assert gateways.store.writes == 2
    gateways.restart_all()
    assert [gateways.find("g0", str(number)) for number in (0, 2, 4, 6)] == ["v0", "v2", "v4", "v6"]
    assert gateways.find("g1", "0") is None


# Guards against reading the segments of a small fleet before the other gateways are known, and then none for a while.
def test_segments_are_read_again_once_the_fleet_is_known_to_be_large():
    gateways = Gateways(count=8, zones=("z0", "z1") * 4)
    gateways.begin("g0", "a", "v1")
    for _ in range(2):
        gateways.save()
    gateways.restart_all()
    gateways.fleets["g2"].reports_by_zone = False
    assert gateways.find("g2", "a") is None
    gateways.fleets["g2"].reports_by_zone = True
    assert gateways.find("g2", "a") == "v1"


def test_records_wait_until_the_other_gateways_are_listed():
    gateways = Gateways(count=1)
    gateways.fleets["g0"].is_listed = False
    gateways.begin("g0", "a", "v1")
    gateways.save()
    assert gateways.store.writes == 0
    gateways.fleets["g0"].is_listed = True
    gateways.save()
    assert gateways.store.writes == 1


# Guards against a writer that takes the numbers of one zone's segments for those of the small fleet.
def test_writer_lists_the_segments_after_the_fleet_has_grown():
    gateways = Gateways(count=1, zones=("z0",))
    gateways.fleets["g0"].reports_by_zone = False
    gateways.begin("g0", "a", "v1")
    gateways.save()
    gateways.fleets["g0"].reports_by_zone = True
    for attempt in ("b", "c"):
        gateways.begin("g0", attempt, "v1")
        gateways.save()
    assert gateways.store.writes == 3
    gateways.restart_all()
    assert gateways.find("g0", "c") == "v1"


def test_records_that_have_expired_are_neither_written_nor_found():
    gateways = Gateways(count=1)
    gateways.begin("g0", "a", "v1")
    gateways.clock.advance(LIFE_MS)
    gateways.save()
    assert gateways.store.writes == 0
    gateways.begin("g0", "b", "v1")
    gateways.save()
    gateways.restart_all()
    assert gateways.find("g0", "b") == "v1"
    gateways.clock.advance(LIFE_MS)
    gateways.all["g0"].sweep()
    assert gateways.find("g0", "c") is None


@pytest.mark.parametrize(
    "value",
    [
        None,
        [],
        "text",
        {"number": 1},
        {"number": "x", "life_ms": 1, "streams": []},
        {"number": 1, "life_ms": 1, "streams": [["llm", "v1", "hall"]]},
        {"number": 1, "life_ms": 1, "streams": [["llm", "v1", "hall", "no base64"]]},
        {"number": 1, "life_ms": 1, "streams": [["llm", [], {}, None]]},
    ],
)
def test_segment_of_another_form_is_left_out(value):
    gateways = Gateways(count=1)
    gateways.begin("g0", "a", "v1")
    gateways.save()
    gateways.store.create(RECORDS_KIND, "200", value)
    gateways.restart_all()
    assert gateways.find("g0", "a") == "v1"
    gateways.begin("g0", "b", "v2")
    gateways.save()
    gateways.restart_all()
    assert gateways.find("g0", "b") == "v2"


@given(
    st.lists(
        st.builds(
            lambda digest, account, service, version: StreamRecord(
                StreamKey(digest, account, service), version, 7_000.0
            ),
            st.binary(min_size=16, max_size=16),
            st.text(),
            st.text(),
            st.text(),
        ),
        min_size=1,
    )
)
def test_segment_is_read_as_it_was_written(records):
    value = Segment(3, 7_000.0, tuple(records)).to_value()
    read = Segment.from_value(value, 0.0)
    assert read.number == 3
    assert sorted(map(repr, read.records)) == sorted(map(repr, records))
