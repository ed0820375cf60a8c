"""Detection of stalled watches from the other gateways' reports.

Guards against requests to servers that have left: the store is down for 5.4 s and swallows the watches that are
sent to it, and a gateway without this check waits for the watch's time-out of 25 s.
"""

import pytest

from hemlockswitch.connection.backoff import Backoff, Outage
from hemlockswitch.core.clock import ManualClock
from hemlockswitch.process.gateway.report_period import ReportPeriod
from hemlockswitch.process.gateway.watch_guard import StoreView, WatchGuard

PERIOD_MS = 200
SAME = StoreView(3, 7)


class Follower:
    """The part of an `ObjectFollower` that the guard uses."""

    def __init__(self, kind, sent_ms):
        self.kind = kind
        self.watch_sent_ms = sent_ms
        self.received_ms = 0.0
        self.renewed = 0

    def renew_watch(self):
        self.renewed += 1


class Fixture:
    def __init__(self, sent_ms=10_000):
        self.clock = ManualClock(now_ms=20_000)
        self.configuration = Follower("config", sent_ms)
        self.servers = Follower("servers", sent_ms)
        self.own = SAME
        self.guard = WatchGuard(
            self.configuration,
            self.servers,
            lambda: self.own,
            lambda: ReportPeriod(PERIOD_MS),
            lambda: ReportPeriod(PERIOD_MS),
            self.clock,
        )

    def compare(self, *views, for_ms=0):
        for _ in range(0, for_ms + 1, PERIOD_MS):
            self.guard.compare(list(views))
            self.clock.advance(PERIOD_MS)

    @property
    def renewed(self):
        return self.configuration.renewed, self.servers.renewed


def test_no_watch_is_renewed_while_all_views_agree():
    fixture = Fixture()
    fixture.compare(SAME, SAME, SAME, for_ms=10_000)
    assert fixture.renewed == (0, 0)


@pytest.mark.parametrize(("sent_ms", "renewed"), [(12_000, 1), (16_500, 0), (5_000, 0)])
def test_only_watches_sent_during_an_outage_are_renewed(sent_ms, renewed):
    fixture = Fixture(sent_ms=sent_ms)
    fixture.compare(SAME, StoreView(3, 7, Outage(11_000, 16_000)))
    assert fixture.renewed == (renewed, renewed)


def test_an_outage_that_many_gateways_saw_renews_a_watch_once():
    """With 58 gateways, 57 reports of one outage cancelled a watch 57 times."""
    fixture = Fixture(sent_ms=12_000)
    fixture.compare(*(StoreView(3, 7, Outage(11_000, 16_000 + more)) for more in range(57)))
    assert fixture.renewed == (1, 1)


@pytest.mark.parametrize(("received_ms", "renewed"), [(11_900, 1), (13_000, 0)])
def test_an_outage_in_which_the_store_answered_this_gateway_is_ignored(received_ms, renewed):
    """The store was down for some gateways, at different times."""
    fixture = Fixture(sent_ms=13_100)
    fixture.servers.received_ms = received_ms
    fixture.compare(SAME, StoreView(3, 7, Outage(11_000, 16_000)))
    assert fixture.servers.renewed == renewed


def test_a_newer_configuration_of_another_gateway_renews_its_watch():
    fixture = Fixture()
    newer = StoreView(4, 7)
    fixture.compare(SAME, newer, for_ms=200)
    assert fixture.renewed == (0, 0), "it may be in transit"
    fixture.compare(SAME, newer, for_ms=600)
    assert fixture.configuration.renewed >= 1
    assert fixture.servers.renewed == 0


def test_a_list_on_which_most_gateways_agree_renews_the_watch_of_servers():
    fixture = Fixture()
    other = StoreView(3, 8)
    fixture.compare(other, other, SAME, for_ms=1_000)
    assert fixture.renewed[0] == 0
    assert fixture.renewed[1] >= 1


def test_a_minority_of_gateways_that_differ_renews_no_watch():
    fixture = Fixture()
    fixture.compare(StoreView(3, 8), SAME, SAME, SAME, for_ms=10_000)
    assert fixture.renewed == (0, 0)


def test_a_difference_that_does_not_last_renews_no_watch():
    fixture = Fixture()
    other = StoreView(3, 8)
    for _ in range(20):
        fixture.compare(other, other)
        fixture.compare(SAME, SAME)
    assert fixture.renewed == (0, 0)


def test_an_outage_is_reported_once_it_is_over_and_a_single_failure_is_none():
    clock = ManualClock(now_ms=1_000)
    backoff = Backoff(clock)
    backoff.record_failure(began_ms=1_000)
    clock.advance(300)
    backoff.record_success()
    assert backoff.last_outage is None
    backoff.record_failure(began_ms=1_300)
    clock.advance(4_000)
    backoff.record_failure(began_ms=3_000)
    clock.advance(700)
    backoff.record_success()
    assert backoff.last_outage == Outage(1_300, 6_000)
