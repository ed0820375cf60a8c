"""Times that judge reports depend on the report period, at every size of the fleet.

A fixed time that is long compared with the report period of eight gateways is shorter than that of two
hundred: loads would then be discarded before they are reported again, and running gateways would count as
stopped. The sizes are a small site, two larger ones, and the maximum size to design for.
"""

import random
from itertools import pairwise

import pytest

from hemlockswitch.core.clock import ManualClock
from hemlockswitch.process.gateway.fleet import Fleet
from hemlockswitch.process.gateway.messages import GatewayReport
from hemlockswitch.process.gateway.reachability import ZONE_POLL_INTERVAL_MS, Reachability
from hemlockswitch.process.gateway.report_period import (
    MAX_REPORTS_PER_S,
    MAX_USAGE_REPORTS_PER_S,
    MESH_GATEWAYS,
    UNRESPONSIVE_ZONE_GAPS,
    ReportPeriod,
    UsagePeriod,
)
from hemlockswitch.process.gateway.reporting import ReportSchedule
from hemlockswitch.process.gateway.watch_guard import StoreView

SIZES = (8, 60, 195, 1_700)


@pytest.mark.parametrize("gateways", SIZES)
def test_no_time_that_judges_a_report_is_shorter_than_two_periods(gateways):
    period = ReportPeriod.from_peers(gateways - 1)
    for time_ms in (
        period.load_lifetime_ms,
        period.disconnected_ms,
        period.reliance_ms,
        period.difference_ms,
        period.suspicion_overrule_ms,
    ):
        assert time_ms >= 2 * period.ms


@pytest.mark.parametrize("gateways", SIZES)
def test_a_gateway_sends_a_bounded_number_of_reports(gateways):
    period = ReportPeriod.from_peers(gateways - 1)
    assert (gateways - 1) / period.ms * 1_000 <= MAX_REPORTS_PER_S
    assert period.urgent_gap_ms <= period.ms


@pytest.mark.parametrize("gateways", SIZES)
def test_a_window_of_usage_waits_for_two_reports_of_each_gateway(gateways):
    usage = UsagePeriod.from_gateways(gateways)
    assert gateways / usage.ms * 1_000 <= MAX_USAGE_REPORTS_PER_S
    assert usage.settle_ms >= 2 * usage.ms
    assert usage.takeover_ms > usage.ms


def make_fleet(gateways, zones, clock=None):
    clock = clock or ManualClock(now_ms=1_000_000)
    fleet = Fleet("g0", lambda: "10.0.0.0:1", clock, "z0")
    for number in range(1, gateways):
        report = GatewayReport(f"g{number}", 1, 0.0, {}, {}, {}, zone=f"z{number % zones}")
        fleet.record_report(f"10.0.0.0:{number}", report, StoreView())
    return fleet


def test_a_small_fleet_reports_to_all_gateways_at_the_shortest_period():
    fleet = make_fleet(MESH_GATEWAYS + 1, zones=4)
    assert not fleet.reports_by_zone
    assert len(fleet.list_near()) == MESH_GATEWAYS
    assert fleet.list_far() == []
    assert fleet.get_near_period() == ReportPeriod()


@pytest.mark.parametrize(("gateways", "zones"), [(60, 4), (195, 6), (1_700, 16)])
def test_a_larger_fleet_reports_to_the_own_zone_more_often_and_uses_relays(gateways, zones):
    fleet = make_fleet(gateways, zones)
    assert {peer.zone for peer in fleet.list_near()} == {"z0"}
    assert len(fleet.list_near()) + len(fleet.list_far()) == gateways - 1
    assert fleet.get_near_period().ms < fleet.get_far_period().ms
    assert len(fleet.draw_relays()) == zones


def report_all(fleet, gateways, zones, silent):
    for number in range(1, gateways):
        if f"z{number % zones}" != silent:
            report = GatewayReport(f"g{number}", 1, 0.0, {}, {}, {}, zone=f"z{number % zones}")
            fleet.record_report(f"10.0.0.0:{number}", report, StoreView())


def test_the_share_of_a_zone_that_is_cut_off_is_dropped_within_seconds():
    """192 gateways in six zones; each gateway of the lost zone alone would time out after 13 s."""
    clock = ManualClock(now_ms=1_000_000)
    fleet = make_fleet(192, zones=6, clock=clock)
    assert fleet.get_connected_fraction() == 1.0
    clock.advance(2_000)
    report_all(fleet, 192, 6, silent="z1")
    assert fleet.get_connected_fraction() == pytest.approx(5 / 6)
    report_all(fleet, 192, 6, silent="")
    clock.advance(200)
    assert fleet.get_connected_fraction() == 1.0


def test_a_gateway_of_unknown_zone_counts_as_far():
    fleet = make_fleet(30, zones=4)
    fleet.record_report("10.0.0.9:1", GatewayReport("new", 1, 0.0, {}, {}, {}), StoreView())
    assert "new" in {peer.name for peer in fleet.list_far()}


@pytest.mark.parametrize("gateways", SIZES)
def test_a_zone_is_not_suspected_between_the_reports_of_its_gateways(gateways):
    """Each gateway of the zone reports once in a period, at its own offset."""
    clock = ManualClock(now_ms=1_000_000)
    lost = []
    reach = Reachability("z0", ReportPeriod, clock, lost.append)
    period = ReportPeriod.from_peers(gateways - 1)
    in_zone = max(gateways // 6, 1)
    for step in range(round(3 * period.ms / ZONE_POLL_INTERVAL_MS)):
        for number in range(in_zone):
            due_step = round(number / in_zone * period.ms / ZONE_POLL_INTERVAL_MS)
            if step % round(period.ms / ZONE_POLL_INTERVAL_MS) == due_step:
                reach.record_report("z1", f"g{number}", period.ms)
        reach.check_zones()
        clock.advance(ZONE_POLL_INTERVAL_MS)
    assert lost == []


def test_a_zone_with_many_gateways_is_suspected_soon_though_each_reports_rarely():
    clock = ManualClock(now_ms=1_000_000)
    lost = []
    reach = Reachability("z0", ReportPeriod, clock, lost.append)
    for number in range(32):
        reach.record_report("z1", f"g{number}", 1_940.0)
        clock.advance(60)
        reach.check_zones()
    for _ in range(8):
        clock.advance(ZONE_POLL_INTERVAL_MS)
        reach.check_zones()
    assert lost == ["z1"], "each gateway alone would time out after 4,850 ms"


class StoppedError(Exception):
    """The simulated time of a test has ended."""


class Clock(ManualClock):
    """Advances instead of sleeping, and stops the task that sleeps beyond `end_ms`."""

    end_ms = 0.0

    def sleep_ms(self, duration_ms):
        self.advance(duration_ms)
        if self.now_ms() >= self.end_ms:
            raise StoppedError


class GrowingFleet:
    """A fleet that is small until its gateways are listed at `listed_ms`."""

    def __init__(self, clock, listed_ms):
        self.clock, self.listed_ms = clock, listed_ms

    @property
    def reports_by_zone(self):
        return self.clock.now_ms() >= self.listed_ms

    def get_far_period(self):
        return ReportPeriod(3_000.0) if self.reports_by_zone else ReportPeriod()


class Sent:
    def __init__(self, clock):
        self.clock, self.at_ms = clock, []

    def send_far(self):
        self.at_ms.append(self.clock.now_ms())


def test_gateways_that_list_one_another_together_do_not_report_in_step():
    """Thirty gateways of a zone, whose lists all show the fleet at the same moment."""
    random.seed(3)
    at_ms = []
    for _ in range(30):
        clock = Clock()
        clock.end_ms = 60_000.0
        sent = Sent(clock)
        schedule = ReportSchedule(sent, GrowingFleet(clock, 1_000.0), None, clock)
        with pytest.raises(StoppedError):
            schedule.send_far()
        at_ms += sent.at_ms
    pauses = [after - before for before, after in pairwise(sorted(at_ms))]
    assert max(pauses) < UNRESPONSIVE_ZONE_GAPS * 3_000 / 30
