"""Tests of the zones' status objects.

They guard against a status that several daemons write or none, and against a revision that is
shown as in force in a zone where a daemon lacks it.
"""

import pytest

from hemlockswitch.connection.stored_objects import Conflict, StoredObject, Written
from hemlockswitch.core.clock import ManualClock
from hemlockswitch.process.metrics import EntryMetrics
from hemlockswitch.process.status.zone_status import DaemonReport, ZoneMember, ZoneStatus
from hemlockswitch.process.status.zone_view import StoredDaemon, ZoneState, sum_refusals, view_zones

ZONE = "marka-hall"


class FakeNetwork:
    """Records the sent messages and the registered handlers."""

    def __init__(self):
        self.sent = []
        self.handlers = {}

    def handle(self, message_type, handler, runs_inline=False):
        self.handlers[message_type] = handler

    def send(self, address, message):
        self.sent.append((address, message))


class FakeObjects:
    """A single object with conditional writes."""

    def __init__(self):
        self.version = 0
        self.values = []

    def create(self, kind, name, value):
        return self.update(kind, name, value, 0)

    def update(self, kind, name, value, version):
        if version != self.version:
            return Conflict(self.version)
        self.version += 1
        self.values.append(value)
        return Written(self.version)


def make_report(name, revision=3):
    return DaemonReport(name, "hemlock-entry", revision, "sha256:0", True, {})


def make_status(name, objects, names=("a", "b")):
    members = [ZoneMember(one, f"{one}:1") for one in names]
    network = FakeNetwork()
    status = ZoneStatus(
        ZONE, name, lambda: make_report(name), lambda: members, network, objects, ManualClock()
    )
    return status, network


def test_one_daemon_of_the_zone_writes_and_the_others_report_to_it():
    objects = FakeObjects()
    made = {name: make_status(name, objects) for name in ("a", "b")}
    for status, _ in made.values():
        status.report()
    sent_reports = [(name, sent) for name, (_, network) in made.items() for sent in network.sent]
    assert len(sent_reports) == 1
    other, (address, report) = sent_reports[0]
    reporter = address.removesuffix(":1")
    made[reporter][1].handlers[DaemonReport]("", report)
    assert [made[name][0].write() for name in (other, reporter)] == [False, True]
    rows = {row["name"]: row["revision"] for row in objects.values[0]["daemons"]}
    assert rows == {"a": 3, "b": 3}


def test_a_writer_that_lost_a_race_writes_over_it_next_time():
    objects = FakeObjects()
    status, _ = make_status("a", objects, names=("a",))
    objects.version = 7
    assert [status.write(), status.write()] == [False, True]


def view(revision, object_version, pointer_version, ready=True):
    daemons = [{"name": "a", "revision": revision, "ready": ready}]
    value = {"zone": ZONE, "writer": "a", "written_wall_ms": 1_000, "daemons": daemons}
    objects = [StoredObject("status", ZONE, object_version, value)]
    return view_zones([ZONE], objects, 5, pointer_version, 4_000)[0]


@pytest.mark.parametrize(
    ("revision", "object_version", "state"),
    [
        (5, 20, ZoneState.IN_FORCE),
        (6, 20, ZoneState.IN_FORCE),
        (4, 20, ZoneState.WAITING),
        (4, 9, ZoneState.SILENT),
    ],
)
def test_a_zones_state_follows_from_revision_numbers_and_versions(revision, object_version, state):
    seen = view(revision, object_version, pointer_version=10)
    assert (seen.state, seen.age_ms) == (state, 3_000)


def test_a_zone_without_a_readable_status_is_never_heard():
    objects = [StoredObject("status", ZONE, 1, {"zone": 5})]
    states = [one.state for one in view_zones([ZONE, "other"], objects, 1, 0, 0)]
    assert states == [ZoneState.NEVER_HEARD] * 2


def test_refused_requests_are_counted_by_limit():
    metrics = EntryMetrics()
    for outcome in ("ok", "token_limit", "token_limit", "overloaded"):
        metrics.requests.labels("assistant-llm", outcome).inc()
    refused = metrics.count_refusals()
    assert refused == {"token_limit": 2, "overloaded": 1}
    daemons = [StoredDaemon(name="a", details={"refused": refused}), StoredDaemon(name="b")]
    assert sum_refusals([*daemons, daemons[0]]) == {"token_limit": 4, "overloaded": 2}
