"""Queries of the object service for missing changes: when a gateway sends them, and how it uses the answers.

Guards against a stale view: a watch that no longer answers looks like one that waits for a change.
"""

import random
from types import SimpleNamespace

import pytest

from hemlockswitch.connection.stored_objects import ObjectPage, StoredObject
from hemlockswitch.core.clock import ManualClock
from hemlockswitch.core.errors import ErrorKind, HistoryGoneError, PlatformError
from hemlockswitch.process.gateway.follower import ObjectFollower
from hemlockswitch.process.gateway.freshness import (
    STALE_VIEW_MS,
    START_DELAY_MS,
    ConfirmationExchange,
    QueryScope,
    ViewRefresher,
)
from hemlockswitch.process.gateway.messages import VersionConfirmation, WatchedPage
from hemlockswitch.process.gateway.reachability import MAX_CONNECT_TIMEOUT_MS
from hemlockswitch.process.gateway.relayed_watch import RelayedWatch
from hemlockswitch.process.gateway.transit import TransitTimes

STRICTEST_BOUND_MS = 2_000.0
UNAVAILABLE = PlatformError(ErrorKind.PLATFORM_UNAVAILABLE, "away")


class Store:
    """Answers a list with one server at version 5, and every watch with the next of `answers`."""

    def __init__(self):
        self.answers = []
        self.calls = []

    def list(self, kind, prefix=""):
        return ObjectPage((StoredObject(kind, "a", 5, "live"),), 5)

    def watch(self, kind, since, wait_ms, prefix=""):
        self.calls.append(since)
        answer = self.answers.pop(0) if self.answers else ObjectPage((), since)
        if isinstance(answer, Exception):
            raise answer
        return answer


class Directory:
    def is_watcher(self):
        return False

    def find_relayed_version(self, kind):
        return 5


class Consumer:
    def __init__(self):
        self.objects = {}

    def replace_all(self, page):
        self.objects = {item.name: item.value for item in page.items}

    def apply_changes(self, page):
        self.objects |= {item.name: item.value for item in page.items}


class Fixture:
    def __init__(self, turn=QueryScope.FLEET):
        self.clock = ManualClock(now_ms=100_000)
        self.store, self.consumer, self.sent = Store(), Consumer(), []
        self.watch = RelayedWatch(self.store, Directory(), lambda page: None, self.clock)
        self.follower = ObjectFollower(self.watch, "servers", self.consumer, self.clock)
        self.refresher = ViewRefresher(
            self.follower,
            lambda: turn,
            lambda one: self.sent.append((one.changed_version, one.version)),
            self.clock,
            random.Random(1),
        )
        self.clock.advance(START_DELAY_MS)
        self.follower.run_step()

    def age(self):
        return self.follower.measure_age_ms()


def test_the_times_of_a_leaving_server_add_up_to_less_than_the_strictest_bound():
    answer_ms = 100.0
    assert (
        max(turn.value[1] for turn in QueryScope) + answer_ms + MAX_CONNECT_TIMEOUT_MS
        < STRICTEST_BOUND_MS
    )
    assert max(turn.value[1] for turn in QueryScope) < STALE_VIEW_MS


@pytest.mark.parametrize("turn", QueryScope)
def test_the_service_is_queried_before_the_view_is_too_old(turn):
    fixture = Fixture(turn)
    fixture.refresher.run_step()
    passed_ms = fixture.clock.now_ms() - 100_000 - START_DELAY_MS
    assert turn.value[0] <= passed_ms <= turn.value[1]
    assert fixture.store.calls == [5]
    assert fixture.age() == 0
    assert fixture.sent == [(5, 5)]


def test_a_change_that_no_watch_returned_is_found_by_a_query():
    fixture = Fixture()
    fixture.store.answers = [ObjectPage((StoredObject("servers", "a", 8, "leaving"),), 9)]
    fixture.refresher.run_step()
    assert fixture.consumer.objects == {"a": "leaving"}
    assert fixture.sent == [(8, 9)]


def test_a_confirmation_of_the_recorded_version_replaces_a_query():
    fixture = Fixture()
    fixture.clock.advance(600)
    fixture.follower.apply_confirmation(5, 12, fixture.clock.now_ms() - 20)
    assert fixture.age() == 20
    assert fixture.follower.version == 12, "the next watch starts at the confirmed version"
    fixture.clock.advance(300)
    assert fixture.store.calls == []


def test_a_confirmation_of_a_change_that_is_missing_waits_for_it():
    fixture = Fixture()
    fixture.clock.advance(600)
    fixture.follower.apply_confirmation(8, 12, fixture.clock.now_ms())
    assert fixture.age() == 600
    fixture.clock.advance(100)
    fixture.watch.queue_page(WatchedPage("servers", 5, 9, [("a", 8, "leaving", False, None, 0)]))
    fixture.follower.run_step()
    assert fixture.consumer.objects == {"a": "leaving"}
    assert fixture.follower.version == 12
    assert fixture.age() == 100


class Port:
    def __init__(self):
        self.handlers = {}
        self.sent = []

    def handle(self, message_type, handler, *, runs_inline):
        self.handlers[message_type] = handler

    def send_all(self, addresses, message):
        self.sent += [(address, message) for address in addresses]


# Guards against an old view that looks new after a partition has delayed a confirmation.
def test_the_age_of_a_delayed_confirmation_includes_the_delay():
    fixture, port = Fixture(), Port()
    fleet = SimpleNamespace(reports_by_zone=True, list_near=lambda: [SimpleNamespace(address="n")])
    followers = {"servers": fixture.follower}
    transits = TransitTimes(fixture.clock)
    ConfirmationExchange(port, fleet, followers, transits, fixture.clock)
    take = port.handlers[VersionConfirmation]
    sender_ahead_ms = 70_000.0
    fixture.clock.advance(600)
    sent_ms = fixture.clock.now_ms() + sender_ahead_ms
    take("g1", VersionConfirmation("servers", 5, 12, age_ms=4.0, sent_ms=sent_ms))
    assert fixture.age() == 4
    fixture.clock.advance(5_000)
    take("g1", VersionConfirmation("servers", 5, 20, age_ms=4.0, sent_ms=sent_ms + 200.0))
    assert fixture.age() == 4_804
    ages = [message.age_ms for _, message in port.sent]
    assert ages == [4.0, 4_804.0], "the relayed confirmation has the same age"


def test_the_view_ages_while_the_service_does_not_answer():
    fixture = Fixture()
    fixture.store.answers = [UNAVAILABLE] * 20
    for _ in range(10):
        fixture.refresher.run_step()
    assert fixture.age() >= STALE_VIEW_MS
    assert fixture.sent == []
    assert fixture.consumer.objects == {"a": "live"}, "the last state stays in use"
    assert fixture.follower.live_version == 0, "other gateways must not rely on this watch"


def test_a_query_beyond_the_history_leads_to_a_list():
    fixture = Fixture()
    fixture.store.answers = [HistoryGoneError(5)]
    fixture.refresher.run_step()
    assert not fixture.follower.is_synced
    fixture.follower.run_step()
    assert fixture.follower.is_synced


def test_a_call_that_fails_after_a_confirmation_is_not_an_outage():
    fixture = Fixture()
    fixture.store.answers = [UNAVAILABLE]
    fixture.refresher.run_step()
    fixture.follower.apply_confirmation(5, 12, fixture.clock.now_ms())
    fixture.refresher.run_step()
    assert not fixture.follower.is_lost
    assert fixture.follower.recovered_ms == float("-inf")
