"""Who can be reached while a zone is cut off, and after it.

The pattern: an availability zone is partitioned from the others for five seconds, silently; callers
still reach its gateways. Requests that are sent across the cut wait for their whole time, and those
that may run only once are lost. Figures: reports come every 200 ms, a connection usually takes 3 to
6 ms; with a fixed time of 500 ms for a connection 125 sends ended without one in such a cut.
"""

import pytest

from hemlockswitch.core.clock import ManualClock
from hemlockswitch.process.gateway.reachability import (
    LEAST_CONNECT_MS,
    LOOK_MS,
    MOST_CONNECT_MS,
    MOST_PROBES,
    PROBE_MS,
    RETURN_MS,
    SILENT_MS,
    Reachability,
)
from hemlockswitch.process.gateway.report_period import LEAST_TOLD_MS, ReportPeriod
from hemlockswitch.version.backend import BackendServer

REPORT_MS = 200.0
ZONES = ("z1", "z2", "z3")


def make_server(name, zone):
    return BackendServer(name, zone, "10.0.0.1:80", "llm")


SERVERS = [make_server(f"{zone}-{number}", zone) for zone in ZONES for number in (1, 2)]


class Site:
    """A gateway of z1 that hears of the other zones as long as `heard` names them."""

    def __init__(self):
        self.clock = ManualClock(now_ms=1_000_000)
        self.lost = []
        self.reach = Reachability("z1", ReportPeriod, self.clock, self.lost.append)
        for zone in ZONES:
            self.reach.note_heard(zone)

    def run(self, duration_ms, heard=ZONES, step_ms=LOOK_MS):
        for step in range(round(duration_ms / step_ms)):
            self.clock.advance(step_ms)
            if step % 2 == 0:
                for zone in heard:
                    self.reach.note_report(zone, f"g-{zone}", REPORT_MS)
            self.reach.look()

    def names(self):
        return [server.name for server in self.reach.select_reachable(SERVERS)]


@pytest.fixture
def site():
    return Site()


def test_a_zone_that_falls_silent_gets_nothing_and_is_back_with_its_first_word(site):
    site.run(3_000)
    assert site.lost == []
    site.run(SILENT_MS + 2 * LOOK_MS, heard=("z1", "z3"))
    assert site.lost == ["z2"]
    assert site.names() == ["z1-1", "z1-2", "z3-1", "z3-2"]
    site.reach.note_connected(SERVERS[2], took_ms=4)
    assert site.names() == [server.name for server in SERVERS]


def test_in_the_zone_that_is_cut_off_only_its_own_servers_are_left(site):
    site.run(SILENT_MS + 2 * LOOK_MS, heard=("z1",))
    assert sorted(site.lost) == ["z2", "z3"]
    assert site.names() == ["z1-1", "z1-2"]


def test_the_own_zone_is_no_suspect_though_its_other_gateways_are_gone(site):
    site.run(5_000, heard=("z2", "z3"))
    assert site.lost == []


def test_a_zone_whose_gateways_were_killed_is_well_while_its_servers_answer(site):
    for _ in range(20):
        site.run(REPORT_MS, heard=("z1", "z3"))
        site.reach.note_answer(SERVERS[2])
    assert site.lost == []


def test_two_silent_servers_of_a_zone_are_enough(site):
    site.reach.note_unreachable(SERVERS[2], is_silent=True)
    assert site.lost == []
    assert "z2-1" not in site.names() and "z2-2" in site.names()
    site.reach.note_unreachable(SERVERS[3], is_silent=True)
    assert site.lost == ["z2"]


def test_two_lost_servers_of_a_zone_that_answers_are_two_lost_servers(site):
    site.reach.note_unreachable(SERVERS[2], is_silent=True)
    site.reach.note_answer(make_server("z2-3", "z2"))
    site.reach.note_unreachable(SERVERS[3], is_silent=True)
    assert site.lost == []


def test_a_refused_connection_concerns_one_server(site):
    for server in SERVERS[2:4]:
        site.reach.note_unreachable(server, is_silent=False)
    assert site.lost == []
    assert site.names() == ["z1-1", "z1-2", "z3-1", "z3-2"]


def test_a_server_that_starts_again_is_no_suspect(site):
    before = BackendServer("r", "z2", "10.0.0.1:80", "llm", started_unix_ms=1)
    after = BackendServer("r", "z2", "10.0.0.1:80", "llm", started_unix_ms=2)
    site.reach.note_unreachable(before, is_silent=True)
    assert site.reach.is_suspect(before)
    assert not site.reach.is_suspect(after)


def test_where_all_are_suspects_all_are_left(site):
    for server in SERVERS:
        site.reach.note_unreachable(server, is_silent=False)
    assert site.names() == [server.name for server in SERVERS]


def test_a_process_that_stood_still_suspects_nobody(site):
    site.run(1_000)
    site.clock.advance(5_000)
    site.reach.look()
    assert site.lost == []
    site.run(1_000)
    assert site.lost == []


def test_the_silence_right_after_a_return_counts_for_nothing(site):
    site.run(SILENT_MS + 2 * LOOK_MS, heard=("z1", "z3"))
    site.reach.note_connected(SERVERS[2], took_ms=4)
    site.run(RETURN_MS, heard=("z1", "z3"))
    assert site.lost == ["z2"]
    site.run(SILENT_MS + 2 * LOOK_MS, heard=("z1", "z3"))
    assert site.lost == ["z2", "z2"]


def test_a_neighbour_of_the_own_zone_is_believed_until_the_server_answers(site):
    site.reach.note_answer(SERVERS[4])
    site.reach.take_unreachable("z1", ["z3-1", "z3-2"], SERVERS)
    assert site.names() == ["z1-1", "z1-2", "z2-1", "z2-2", "z3-1"], "z3-1 has just answered"
    site.clock.advance(LEAST_TOLD_MS + 1)
    site.reach.take_unreachable("z1", ["z3-1"], SERVERS)
    assert site.reach.describe_unreachable() == ["z3-1", "z3-2"]
    site.reach.note_answer(SERVERS[5])
    assert site.reach.describe_unreachable() == ["z3-1"]


def test_another_zone_is_not_believed_as_it_may_be_on_the_other_side(site):
    site.reach.take_unreachable("z2", ["z1-1", "z3-1"], SERVERS)
    assert site.reach.describe_unreachable() == []


def test_a_connection_may_take_some_times_the_usual(site):
    assert site.reach.find_connect_timeout_ms() == MOST_CONNECT_MS
    for _ in range(50):
        site.reach.note_connected(SERVERS[0], took_ms=3)
    assert site.reach.find_connect_timeout_ms() == LEAST_CONNECT_MS
    for _ in range(50):
        site.reach.note_connected(SERVERS[0], took_ms=30)
    assert site.reach.find_connect_timeout_ms() == pytest.approx(300, rel=0.01)


def test_suspects_are_probed_a_few_at_a_time(site):
    servers = [make_server(f"z2-{number}", "z2") for number in range(20)]
    for server in servers:
        site.reach.note_unreachable(server, is_silent=False)
    assert len(site.reach.list_probes(servers)) == MOST_PROBES
    assert site.reach.list_probes(servers) == []
    site.clock.advance(PROBE_MS)
    assert len(site.reach.list_probes(servers)) == MOST_PROBES
    assert site.reach.list_probes(SERVERS[:2]) == []


def test_a_server_that_is_gone_is_forgotten(site):
    site.reach.note_unreachable(SERVERS[2], is_silent=True)
    site.reach.forget(SERVERS[2])
    assert site.reach.describe_unreachable() == []
