"""Detection of unreachable servers and zones during a partition, and after it.

Guards against requests sent into a partition, which wait until their deadline, and are lost if they may run
only once. An availability zone is cut off from the others for five seconds, packets are dropped without an
error, and callers still reach its gateways. Reports come every 200 ms, and a connection usually takes 3 to
6 ms; with a fixed connection time-out of 500 ms, 125 send attempts failed to connect in such a partition.
"""

import pytest

from hemlockswitch.core.clock import ManualClock
from hemlockswitch.process.gateway.reachability import (
    MAX_CONNECT_TIMEOUT_MS,
    MAX_PROBES_PER_ZONE,
    MIN_CONNECT_TIMEOUT_MS,
    PROBE_INTERVAL_MS,
    TOLD_LIFETIME_MS,
    ZONE_POLL_INTERVAL_MS,
    ZONE_RETURN_GRACE_MS,
    Reachability,
)
from hemlockswitch.process.gateway.report_period import MIN_SUSPICION_OVERRULE_MS, ReportPeriod
from hemlockswitch.process.gateway.zone_state import MIN_ZONE_TIMEOUT_MS
from hemlockswitch.version.backend import BackendServer

REPORT_MS = 200.0
ZONES = ("z1", "z2", "z3")


def make_server(name, zone):
    return BackendServer(name, zone, "10.0.0.1:80", "llm")


SERVERS = [make_server(f"{zone}-{number}", zone) for zone in ZONES for number in (1, 2)]


class Site:
    """A gateway of z1 that gets reports from the zones in `reporting`."""

    def __init__(self):
        self.clock = ManualClock(now_ms=1_000_000)
        self.lost = []
        self.reach = Reachability("z1", ReportPeriod, self.clock, self.lost.append)
        for zone in ZONES:
            self.reach.record_received(zone)

    def run(self, duration_ms, reporting=ZONES, step_ms=ZONE_POLL_INTERVAL_MS):
        for step in range(round(duration_ms / step_ms)):
            self.clock.advance(step_ms)
            if step % 2 == 0:
                for zone in reporting:
                    self.reach.record_report(zone, f"g-{zone}", REPORT_MS)
            self.reach.check_zones()

    def names(self):
        return [server.name for server in self.reach.select_reachable(SERVERS)]


@pytest.fixture
def site():
    return Site()


def test_an_unresponsive_zone_is_suspected_until_a_connection_opens(site):
    site.run(3_000)
    assert site.lost == []
    site.run(MIN_ZONE_TIMEOUT_MS + 2 * ZONE_POLL_INTERVAL_MS, reporting=("z1", "z3"))
    assert site.lost == ["z2"]
    assert site.names() == ["z1-1", "z1-2", "z3-1", "z3-2"]
    site.reach.record_connected(SERVERS[2], took_ms=4)
    assert site.names() == [server.name for server in SERVERS]


def test_a_gateway_that_is_cut_off_uses_the_servers_of_its_own_zone(site):
    site.run(MIN_ZONE_TIMEOUT_MS + 2 * ZONE_POLL_INTERVAL_MS, reporting=("z1",))
    assert sorted(site.lost) == ["z2", "z3"]
    assert site.names() == ["z1-1", "z1-2"]


def test_the_own_zone_is_not_suspected_without_reports_of_its_gateways(site):
    site.run(5_000, reporting=("z2", "z3"))
    assert site.lost == []


def test_a_zone_with_killed_gateways_is_not_suspected_while_its_servers_answer(site):
    for _ in range(20):
        site.run(REPORT_MS, reporting=("z1", "z3"))
        site.reach.record_answer(SERVERS[2])
    assert site.lost == []


def test_two_servers_that_time_out_make_their_zone_suspected(site):
    site.reach.record_unreachable(SERVERS[2], has_timed_out=True)
    assert site.lost == []
    assert "z2-1" not in site.names() and "z2-2" in site.names()
    site.reach.record_unreachable(SERVERS[3], has_timed_out=True)
    assert site.lost == ["z2"]


def test_two_servers_that_time_out_with_an_answer_between_do_not_concern_the_zone(site):
    site.reach.record_unreachable(SERVERS[2], has_timed_out=True)
    site.reach.record_answer(make_server("z2-3", "z2"))
    site.reach.record_unreachable(SERVERS[3], has_timed_out=True)
    assert site.lost == []


def test_a_refused_connection_concerns_one_server(site):
    for server in SERVERS[2:4]:
        site.reach.record_unreachable(server, has_timed_out=False)
    assert site.lost == []
    assert site.names() == ["z1-1", "z1-2", "z3-1", "z3-2"]


def test_a_restarted_server_is_not_suspected(site):
    before = BackendServer("r", "z2", "10.0.0.1:80", "llm", started_unix_ms=1)
    after = BackendServer("r", "z2", "10.0.0.1:80", "llm", started_unix_ms=2)
    site.reach.record_unreachable(before, has_timed_out=True)
    assert site.reach.is_suspect(before)
    assert not site.reach.is_suspect(after)


def test_all_servers_are_used_if_all_are_suspected(site):
    for server in SERVERS:
        site.reach.record_unreachable(server, has_timed_out=False)
    assert site.names() == [server.name for server in SERVERS]


def test_a_stalled_process_suspects_no_zone(site):
    site.run(1_000)
    site.clock.advance(5_000)
    site.reach.check_zones()
    assert site.lost == []
    site.run(1_000)
    assert site.lost == []


def test_missing_reports_right_after_a_return_are_ignored(site):
    site.run(MIN_ZONE_TIMEOUT_MS + 2 * ZONE_POLL_INTERVAL_MS, reporting=("z1", "z3"))
    site.reach.record_connected(SERVERS[2], took_ms=4)
    site.run(ZONE_RETURN_GRACE_MS, reporting=("z1", "z3"))
    assert site.lost == ["z2"]
    site.run(MIN_ZONE_TIMEOUT_MS + 2 * ZONE_POLL_INTERVAL_MS, reporting=("z1", "z3"))
    assert site.lost == ["z2", "z2"]


def test_a_suspicion_in_the_own_zone_is_adopted_until_the_server_answers(site):
    site.reach.record_answer(SERVERS[4])
    site.reach.apply_unreachable("z1", ["z3-1", "z3-2"], SERVERS)
    assert site.names() == ["z1-1", "z1-2", "z2-1", "z2-2", "z3-1"], "z3-1 has just answered"
    site.clock.advance(MIN_SUSPICION_OVERRULE_MS + 1)
    site.reach.apply_unreachable("z1", ["z3-1"], SERVERS)
    assert site.reach.describe_unreachable() == ["z3-1", "z3-2"]
    site.reach.record_answer(SERVERS[5])
    assert site.reach.describe_unreachable() == ["z3-1"]


def test_a_suspicion_in_another_zone_is_ignored(site):
    """The other zone may be on the other side of the partition."""
    site.reach.apply_unreachable("z2", ["z1-1", "z3-1"], SERVERS)
    assert site.reach.describe_unreachable() == []


def test_the_connection_timeout_follows_the_usual_connection_time(site):
    assert site.reach.find_connect_timeout_ms() == MAX_CONNECT_TIMEOUT_MS
    for _ in range(50):
        site.reach.record_connected(SERVERS[0], took_ms=3)
    assert site.reach.find_connect_timeout_ms() == MIN_CONNECT_TIMEOUT_MS
    for _ in range(50):
        site.reach.record_connected(SERVERS[0], took_ms=30)
    assert site.reach.find_connect_timeout_ms() == pytest.approx(300, rel=0.01)


def test_suspects_are_probed_a_few_at_a_time(site):
    servers = [make_server(f"z2-{number}", "z2") for number in range(20)]
    for server in servers:
        site.reach.record_unreachable(server, has_timed_out=False)
    assert len(site.reach.list_probes(servers)) == MAX_PROBES_PER_ZONE
    assert site.reach.list_probes(servers) == []
    site.clock.advance(PROBE_INTERVAL_MS)
    assert len(site.reach.list_probes(servers)) == MAX_PROBES_PER_ZONE
    assert site.reach.list_probes(SERVERS[:2]) == []


def test_the_state_of_a_removed_server_is_discarded(site):
    site.reach.record_unreachable(SERVERS[2], has_timed_out=True)
    site.reach.evict(SERVERS[2])
    assert site.reach.describe_unreachable() == []


# Guards against sound gateways that avoid sound servers because a gateway without links reported these.
def test_a_failed_connection_is_reported_only_after_another_one_has_opened(site):
    site.reach.record_unreachable(SERVERS[0], has_timed_out=False)
    assert site.reach.is_suspect(SERVERS[0])
    assert site.reach.describe_unreachable() == []
    site.clock.advance(10)
    site.reach.record_connected(SERVERS[1], took_ms=3)
    assert site.reach.describe_unreachable() == ["z1-1"]


# Guards against a server that counts as reachable by turns: old connections live on, new ones are refused.
def test_an_answer_over_an_old_connection_does_not_end_the_suspicion_of_a_server_that_refuses(site):
    site.reach.record_unreachable(SERVERS[0], has_timed_out=False)
    site.reach.record_answer(SERVERS[0])
    assert site.reach.is_suspect(SERVERS[0])
    site.reach.record_connected(SERVERS[0], took_ms=3)
    assert not site.reach.is_suspect(SERVERS[0])


@pytest.fixture
def isolated():
    site = Site()
    site.closed = []
    site.reach = Reachability(
        "z1",
        ReportPeriod,
        site.clock,
        site.lost.append,
        lambda: SERVERS,
        site.closed.append,
    )
    for server in (SERVERS[0], SERVERS[2], SERVERS[4]):
        site.reach.record_unreachable(server, has_timed_out=True)
    return site


def test_an_isolated_gateway_suspects_no_server_and_reports_none(isolated):
    assert isolated.reach.isolation.is_isolated
    assert not any(isolated.reach.is_suspect(server) for server in SERVERS)
    assert all(isolated.reach.needs_detour(server) for server in SERVERS)
    assert isolated.reach.describe_unreachable() == []
    assert isolated.closed[-1] is None, "idle connections that hang are closed"


def test_an_isolated_gateway_believes_for_a_while_that_others_do_not_reach_a_server(isolated):
    isolated.reach.record_unreachable_for_others(SERVERS[1])
    assert isolated.reach.is_suspect(SERVERS[1])
    isolated.clock.advance(TOLD_LIFETIME_MS + 1)
    assert not isolated.reach.is_suspect(SERVERS[1])


def test_a_connection_that_opens_ends_the_isolation(isolated):
    isolated.reach.record_connected(SERVERS[3], took_ms=3)
    assert not isolated.reach.isolation.is_isolated
    assert not any(isolated.reach.needs_detour(server) for server in SERVERS)


def test_failed_servers_of_one_zone_do_not_isolate_a_gateway():
    reach = Reachability("z1", ReportPeriod, ManualClock(), list_servers=lambda: SERVERS)
    zone = [make_server(f"z2-{number}", "z2") for number in range(5)]
    for server in zone:
        reach.record_unreachable(server, has_timed_out=False)
    assert not reach.isolation.is_isolated


def test_a_control_is_tried_in_another_zone_after_a_failure():
    clock = ManualClock()
    reach = Reachability("z1", ReportPeriod, clock, list_servers=lambda: SERVERS)
    assert reach.isolation.pick_control() is None
    reach.record_unreachable(SERVERS[2], has_timed_out=False)
    assert reach.isolation.pick_control().zone != "z2"
    assert reach.isolation.pick_control() is None, "one at a time"
    reach.record_connected(SERVERS[0], took_ms=3)
    clock.advance(1_000)
    assert reach.isolation.pick_control() is None
