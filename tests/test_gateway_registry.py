"""The recorded backend servers and configuration of a gateway, during and after outages."""

import gevent

from hemlockswitch.connection.stored_objects import ObjectPage, StoredObject
from hemlockswitch.core.clock import ManualClock, SystemClock
from hemlockswitch.core.errors import (
    ConfigurationError,
    ErrorKind,
    HistoryGoneError,
    PlatformError,
)
from hemlockswitch.core.events import Event
from hemlockswitch.process.gateway import registry as registry_module
from hemlockswitch.process.gateway.configuration import ServingTableStore
from hemlockswitch.process.gateway.follower import ObjectFollower
from hemlockswitch.process.gateway.registry import (
    MAX_FILL_MS,
    MAX_LAPSED_RETENTION_MS,
    MIN_FILL_MS,
    MISDIRECTED_EXCLUSION_MS,
    ServerRegistry,
)
from hemlockswitch.version.backend import BackendServer, BackendState
from hemlockswitch.version.serving_table import CallerLimits, ServingTable


def decode(item):
    if item.value == "broken":
        raise ConfigurationError(ErrorKind.INVALID_CONFIGURATION, "broken")
    return BackendServer(item.name, "z1", "127.0.0.1:1", "s", state=BackendState(item.value))


def entry(name, state="live", deleted=False, version=1):
    return StoredObject("servers", name, version, state, deleted)


def page(*items, version=5):
    return ObjectPage(items, version)


class Fixture:
    def __init__(self):
        self.clock = ManualClock(now_ms=1_000_000)
        self.removed = []
        self.registry = ServerRegistry(
            decode, self.clock, lambda one: self.removed.append(one.name)
        )

    def names(self):
        return sorted(server.name for server in self.registry.list_ready("s"))


def test_a_leaving_or_removed_server_gets_no_new_requests():
    fixture = Fixture()
    fixture.registry.replace_all(page(entry("a"), entry("b"), entry("c")))
    fixture.registry.apply_changes(page(entry("a", "leaving"), entry("b", deleted=True)))
    assert fixture.names() == ["c"]
    assert fixture.removed == ["a", "b"]


def test_a_new_list_removes_servers_that_it_does_not_contain():
    fixture = Fixture()
    fixture.registry.replace_all(page(entry("a"), entry("b")))
    fixture.registry.replace_all(page(entry("b")))
    assert fixture.names() == ["b"]


def test_an_entry_that_lapsed_in_an_outage_is_retained_for_a_limited_time():
    fixture = Fixture()
    fixture.registry.replace_all(page(entry("a"), entry("b")))
    recovered_ms = fixture.clock.now_ms()
    fixture.registry.get_recovered_ms = lambda: recovered_ms
    fixture.registry.apply_changes(page(entry("a", deleted=True), entry("b", deleted=True)))
    assert fixture.names() == ["a", "b"]
    fixture.registry.apply_changes(page(entry("a")))
    fixture.clock.advance(MAX_LAPSED_RETENTION_MS + 1)
    assert fixture.names() == ["a"], "b did not register again"


NEW_SERVERS = {600: 1, 1_200: 6, 1_800: 4, 2_400: 3, 3_000: 11, 3_600: 3, 4_100: 1, 4_500: 1}
"""Number of new servers by ms since the first list, of thirty servers that started together."""


def test_a_registry_that_still_fills_is_not_complete():
    """Scaling orders 3 s after the first list counted 9 of 30 copies, and 13 of the others were removed."""
    fixture = Fixture()
    synced_ms = fixture.clock.now_ms()
    fixture.registry.replace_all(page())
    complete_after_ms = None
    for passed_ms in range(100, 8_000, 100):
        fixture.clock.advance(100)
        count = NEW_SERVERS.get(passed_ms, 0)
        names = [f"s{passed_ms}-{number}" for number in range(count)]
        fixture.registry.apply_changes(page(*map(entry, names)))
        if complete_after_ms is None and fixture.registry.is_complete(synced_ms):
            complete_after_ms = passed_ms
    assert 4_500 < complete_after_ms <= 6_000


def test_a_registry_without_new_servers_is_complete_after_the_fill_time():
    fixture = Fixture()
    assert not fixture.registry.is_complete(None)
    synced_ms = fixture.clock.now_ms()
    fixture.registry.replace_all(page(entry("a"), entry("b")))
    fixture.clock.advance(MIN_FILL_MS)
    assert fixture.registry.is_complete(synced_ms)
    fixture.registry.apply_changes(page(entry("c")))
    assert fixture.registry.is_complete(synced_ms), "it stays complete"


def test_servers_that_register_all_the_time_do_not_delay_orders():
    fixture = Fixture()
    synced_ms = fixture.clock.now_ms()
    for number in range(int(MAX_FILL_MS / 500)):
        fixture.registry.apply_changes(page(entry(f"s{number}")))
        fixture.clock.advance(500)
    assert fixture.registry.is_complete(synced_ms)


def test_the_hash_of_the_servers_follows_every_change():
    registry = Fixture().registry
    registry.replace_all(page(entry("a")))
    one = registry.hash_servers()
    registry.apply_changes(page(entry("b")))
    two = registry.hash_servers()
    registry.apply_changes(page(entry("b", "leaving")))
    three = registry.hash_servers()
    registry.apply_changes(page(entry("b", deleted=True)))
    assert len({one, two, three}) == 3
    assert registry.hash_servers() == one


def test_most_entries_removed_at_once_are_retained_for_a_limited_time():
    """After an outage of 5.4 s every entry had lapsed.

    Gateways whose watch had outlived the outage refused 133 requests in the next two seconds.
    """
    fixture = Fixture()
    names = [f"s{number}" for number in range(8)]
    fixture.registry.replace_all(page(*map(entry, names)))
    fixture.registry.apply_changes(page(*(entry(name, deleted=True) for name in names)))
    assert fixture.names() == names
    fixture.registry.apply_changes(page(*map(entry, names[:5])))
    fixture.clock.advance(MAX_LAPSED_RETENTION_MS + 1)
    assert fixture.names() == names[:5], "servers that are still missing are removed"


# Guards against requests to stopped servers, when the delay until a removal is received and the time for which
# entries are retained add up.
def test_entries_whose_removal_is_received_late_are_retained_for_less():
    fixture = Fixture()
    names = [f"s{number}" for number in range(8)]
    fixture.registry.replace_all(page(*map(entry, names)))
    fixture.registry.measure_age_ms = lambda: 1_300.0
    fixture.registry.apply_changes(page(*(entry(name, deleted=True) for name in names)))
    assert fixture.names() == names
    fixture.clock.advance(MAX_LAPSED_RETENTION_MS - 1_300 + 1)
    assert fixture.names() == []


def test_the_servers_of_a_removed_zone_are_dropped_at_once():
    fixture = Fixture()
    names = [f"s{number}" for number in range(8)]
    fixture.registry.replace_all(page(*map(entry, names)))
    fixture.registry.apply_changes(page(*(entry(name, deleted=True) for name in names[:3])))
    assert fixture.names() == names[3:]


def test_a_leaving_server_is_not_retained_after_an_outage():
    fixture = Fixture()
    fixture.registry.replace_all(page(entry("a", "leaving")))
    fixture.registry.get_recovered_ms = fixture.clock.now_ms
    fixture.registry.apply_changes(page(entry("a", deleted=True)))
    assert fixture.registry.list_all() == []


def test_a_removal_long_after_an_outage_is_applied_at_once():
    fixture = Fixture()
    fixture.registry.replace_all(page(entry("a")))
    recovered_ms = fixture.clock.now_ms()
    fixture.registry.get_recovered_ms = lambda: recovered_ms
    fixture.clock.advance(2_500)
    fixture.registry.apply_changes(page(entry("a", deleted=True)))
    assert fixture.names() == []


def test_a_misdirected_server_is_excluded_for_a_limited_time():
    fixture = Fixture()
    fixture.registry.replace_all(page(entry("a"), entry("b")))
    fixture.registry.record_misdirected("a")
    assert fixture.names() == ["b"]
    fixture.clock.advance(MISDIRECTED_EXCLUSION_MS + 1)
    assert fixture.names() == ["a", "b"]


def test_an_invalid_entry_is_ignored():
    fixture = Fixture()
    fixture.registry.replace_all(page(entry("a", "broken"), entry("b")))
    assert fixture.names() == ["b"]


def decode_table(item):
    if item.value < 0:
        raise ConfigurationError(ErrorKind.INVALID_CONFIGURATION, "broken")
    return ServingTable(item.value, (), {}, CallerLimits(), {})


def config(revision, name="main"):
    return StoredObject("config", name, 1, revision)


def test_a_revision_never_goes_back():
    holder = ServingTableStore("main", decode_table)
    assert holder.current is None
    for revision in (3, 7, 5):
        holder.apply_changes(page(config(revision)))
    assert holder.current.revision == 7
    holder.replace_all(page(config(6)))
    assert holder.current.revision == 7


def test_an_invalid_revision_does_not_replace_the_one_in_force():
    holder = ServingTableStore("main", decode_table)
    holder.apply_changes(page(config(3), config(-1), config(9, "other")))
    assert holder.current.revision == 3


class Store:
    """Answers calls from a script of pages and errors."""

    def __init__(self, *answers):
        self.answers = list(answers)
        self.calls = []

    def list(self, kind, prefix=""):
        self.calls.append("list")
        return self._answer()

    def watch(self, kind, since, wait_ms, prefix=""):
        self.calls.append(("watch", since))
        return self._answer()

    def _answer(self):
        answer = self.answers.pop(0)
        if isinstance(answer, Exception):
            raise answer
        return answer


class Consumer:
    def __init__(self):
        self.received = []

    def replace_all(self, page):
        self.received.append(("all", len(page.items)))

    def apply_changes(self, page):
        self.received.append(("changes", len(page.items)))


def follow(*answers):
    store, consumer, clock = Store(*answers), Consumer(), ManualClock(now_ms=50_000)
    follower = ObjectFollower(store, "servers", consumer, clock)
    for _ in answers:
        follower.run_step()
    return store, consumer, follower


UNAVAILABLE = PlatformError(ErrorKind.PLATFORM_UNAVAILABLE, "away")


def test_a_follower_lists_once_and_watches_on():
    store, consumer, _ = follow(
        page(entry("a"), version=5), page(entry("b"), version=8), page(version=8)
    )
    assert store.calls == ["list", ("watch", 5), ("watch", 8)]
    assert consumer.received == [("all", 1), ("changes", 1)]


def test_a_watch_after_an_outage_starts_at_the_last_version():
    store, _, follower = follow(
        page(version=5), UNAVAILABLE, UNAVAILABLE, page(entry("b"), version=9)
    )
    assert store.calls[-1] == ("watch", 5)
    assert follower.recovered_ms > 50_000
    assert not follower.is_lost


def test_a_failed_watch_is_followed_by_a_list_and_a_failed_list_by_a_watch():
    store, consumer, _ = follow(
        page(version=5),
        UNAVAILABLE,
        page(entry("a"), version=9),
        UNAVAILABLE,
        UNAVAILABLE,
        page(version=9),
    )
    assert store.calls == ["list", ("watch", 5), "list", ("watch", 9), "list", ("watch", 9)]
    assert consumer.received == [("all", 0), ("all", 1)]


class SlowStore:
    """Lists at once; a watch never completes, as on a slow link with much history to transfer."""

    def __init__(self):
        self.version = 5

    def list(self, kind, prefix=""):
        return page(entry("a"), version=self.version)

    def watch(self, kind, since, wait_ms, prefix=""):
        gevent.sleep(60)


def test_the_newest_state_is_received_though_each_watch_is_cancelled():
    """After an outage three changes of 300 KB took more than two seconds on a link of 5 Mbit/s.

    The watch was renewed every 1.1 s, so it never completed.
    """
    store, consumer = SlowStore(), Consumer()
    follower = ObjectFollower(store, "config", consumer, SystemClock())
    task = gevent.spawn(follower.run)
    for version in (9, 12, 20):
        store.version = version
        gevent.sleep(0.05)
        follower.renew_watch()
        gevent.sleep(0.05)
        assert follower.live_version == version
    task.kill()


def test_a_lost_history_is_followed_by_a_new_list():
    store, consumer, _ = follow(page(version=5), HistoryGoneError(5), page(entry("a"), version=9))
    assert store.calls == ["list", ("watch", 5), "list"]
    assert consumer.received[-1] == ("all", 1)


def test_an_answer_of_an_older_state_does_not_move_the_watch_back():
    store, _, _ = follow(page(version=9), page(version=4), page(version=9))
    assert store.calls[-1] == ("watch", 9)


def test_a_page_with_many_changes_is_logged_as_one_line(monkeypatch):
    lines = []
    monkeypatch.setattr(
        registry_module, "log_event", lambda event, **fields: lines.append((event, fields))
    )
    fixture = Fixture()
    fixture.registry.replace_all(page(*(entry(f"s{number}") for number in range(80))))
    fixture.registry.apply_changes(page(entry("s1", "leaving"), entry("s2", deleted=True)))
    (event, fields), *rest = lines
    assert event is Event.BACKENDS_CHANGED
    assert sorted(fields["live"]) == sorted(f"s{number}" for number in range(80))
    assert [one for one, _ in rest] == [Event.BACKEND_LISTED, Event.BACKEND_GONE]
