"""Selection of the gateways that watch the object service on behalf of their zone."""

from dataclasses import replace

import pytest

from hemlockswitch.core.clock import ManualClock
from hemlockswitch.process.gateway.fleet import Fleet
from hemlockswitch.process.gateway.freshness import STALE_VIEW_MS, QueryScope
from hemlockswitch.process.gateway.messages import GatewayReport
from hemlockswitch.process.gateway.report_period import MIN_RELIANCE_MS
from hemlockswitch.process.gateway.watch_guard import StoreView
from hemlockswitch.process.gateway.zone_watchers import ZoneWatchers


def make_zoned_report(name, zone):
    return GatewayReport(name, 1, 0.0, {}, {}, {}, zone=zone)


def receive_report(fleet, name, zone, relayed_version=0):
    view = StoreView(relayed={"servers": relayed_version})
    fleet.record_report(f"10.0.0.1:{name}", make_zoned_report(name, zone), view)


@pytest.fixture
def clock():
    return ManualClock(now_ms=1_000)


@pytest.fixture
def fleet(clock):
    return Fleet("g3", lambda: "10.0.0.1:0", clock, "z1")


@pytest.fixture
def watchers(fleet, clock):
    return ZoneWatchers(fleet, clock)


def test_the_first_two_gateways_of_a_zone_watch_for_it(fleet, watchers):
    assert watchers.is_watcher(), "alone"
    receive_report(fleet, "g0", "z2")
    receive_report(fleet, "g1", "z1")
    assert watchers.is_watcher()
    receive_report(fleet, "g2", "z1")
    assert not watchers.is_watcher()


def test_the_gateways_with_the_fastest_links_watch_for_their_zone(clock):
    """Two VMs of a zone have links of 200 Mbit/s; the relayed pages would fill one of 10."""
    fleet = Fleet("g3", lambda: "10.0.0.1:0", clock, "z1", link_mbps=10.0)
    for name, link_mbps in (("g1", 10.0), ("g7", 200.0), ("g8", 200.0)):
        report = replace(make_zoned_report(name, "z1"), link_mbps=link_mbps)
        fleet.record_report(
            f"10.0.0.1:{name}", report, StoreView(relayed={"servers": ord(name[1])})
        )
    watchers = ZoneWatchers(fleet, clock)
    assert not watchers.is_watcher()
    assert watchers.find_relayed_version("servers") == ord("8")
    assert watchers.list_relay_addresses() == ["10.0.0.1:g1"]


def test_an_unresponsive_watcher_is_replaced_by_the_next_gateway(fleet, watchers, clock):
    receive_report(fleet, "g1", "z1")
    receive_report(fleet, "g2", "z1")
    clock.advance(int(MIN_RELIANCE_MS) + 1)
    receive_report(fleet, "g2", "z1")
    assert watchers.is_watcher()


def test_only_watchers_of_the_own_zone_relay(fleet, watchers):
    receive_report(fleet, "g0", "z2", relayed_version=20)
    receive_report(fleet, "g1", "z1", relayed_version=0)
    assert watchers.find_relayed_version("servers") == 0, "its watch does not answer"
    receive_report(fleet, "g2", "z1", relayed_version=7)
    assert watchers.find_relayed_version("servers") == 7
    receive_report(fleet, "g4", "z1")
    assert watchers.list_relay_addresses() == ["10.0.0.1:g4"]


def receive_age(fleet, name, zone, age_ms):
    view = StoreView(relayed={"servers": 7}, age_ms=age_ms)
    fleet.record_report(f"10.0.0.1:{name}", make_zoned_report(name, zone), view)


def test_gateways_with_a_stale_view_are_not_watchers(fleet, watchers):
    receive_age(fleet, "g1", "z1", STALE_VIEW_MS + 1)
    receive_age(fleet, "g2", "z1", STALE_VIEW_MS + 1)
    assert watchers.is_watcher()
    assert watchers.find_relayed_version("servers") == 0
    receive_age(fleet, "g4", "z1", 300.0)
    assert watchers.find_relayed_version("servers") == 7


def test_the_watchers_stay_the_same_if_all_views_are_stale(fleet, clock):
    watchers = ZoneWatchers(fleet, clock, lambda: STALE_VIEW_MS + 1)
    receive_age(fleet, "g1", "z1", STALE_VIEW_MS + 1)
    receive_age(fleet, "g2", "z1", STALE_VIEW_MS + 1)
    assert not watchers.is_watcher()


def test_the_first_gateway_with_a_current_view_queries_for_the_fleet(fleet, watchers):
    assert watchers.find_query_scope() is QueryScope.FLEET, "alone"
    receive_age(fleet, "g0", "z2", 300.0)
    assert watchers.find_query_scope() is QueryScope.ZONE
    receive_age(fleet, "g1", "z1", 300.0)
    assert watchers.find_query_scope() is QueryScope.SELF
    receive_age(fleet, "g1", "z1", STALE_VIEW_MS + 1)
    assert watchers.find_query_scope() is QueryScope.ZONE
