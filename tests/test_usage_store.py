"""Usage counts that survive the end of the processes that counted them.

Failure guarded against: the holder of the duties freezes for six seconds while the other gateways restart
one after another. The next holder has received no counts from the processes that ended, and a window of
258 requests was reported with 182 of them missing. If all gateways are killed at once, no process is left
to report the counts.
"""

import pytest

from hemlockswitch.connection.stored_objects import Conflict, StoredObject, Unknown, Written
from hemlockswitch.core.clock import ManualClock
from hemlockswitch.core.errors import ErrorKind, PlatformError
from hemlockswitch.process.gateway.usage import UsageCounts
from hemlockswitch.process.gateway.usage_store import (
    COUNTS_KIND,
    COUNTS_NAME,
    SAVE_INTERVAL_MS,
    UsageStore,
    save_or_log,
)

WINDOW_S = 5.0
NOW_MS = 5_000_000.0
WINDOW = 1_000


class Store:
    def __init__(self):
        self.value = None
        self.version = 0
        self.writes = 0
        self.is_down = False
        self.loses_answer = False

    def read(self, kind, name):
        assert (kind, name) == (COUNTS_KIND, COUNTS_NAME)
        self._check()
        return StoredObject(kind, name, self.version, self.value) if self.version else None

    def create(self, kind, name, value):
        self._check()
        return self._write(value) if not self.version else Conflict(self.version)

    def update(self, kind, name, value, version):
        self._check()
        return self._write(value) if version == self.version else Conflict(self.version)

    def _write(self, value):
        self.value, self.version, self.writes = value, self.version + 1, self.writes + 1
        return Unknown("lost") if self.loses_answer else Written(self.version)

    def _check(self):
        if self.is_down:
            raise PlatformError(ErrorKind.PLATFORM_UNAVAILABLE, "down")


class Holder:
    def __init__(self, store, process):
        self.counts = UsageCounts(WINDOW_S, process)
        self.clock = ManualClock(now_ms=1_000)
        self.usage_store = UsageStore(self.counts, store, self.clock)

    def count(self, times, account="hall"):
        for _ in range(times):
            self.counts.count(NOW_MS, account)

    def save(self):
        self.clock.advance(int(SAVE_INTERVAL_MS))
        self.usage_store.save()


@pytest.fixture
def store():
    return Store()


def test_next_holder_loads_counts_of_ended_processes(store):
    first = Holder(store, "g1/1")
    first.count(4)
    first.counts.apply_report("g2/1", {str(WINDOW): {"hall": 7}})
    first.save()
    second = Holder(store, "g3/1")
    second.count(2)
    second.usage_store.load()
    assert second.counts.sum_window(WINDOW) == {"hall": 13}


def test_own_and_reported_counts_are_not_lowered_by_stored_ones(store):
    first = Holder(store, "g1/1")
    first.counts.apply_report("g2/1", {str(WINDOW): {"hall": 7}})
    first.save()
    second = Holder(store, "g2/1")
    second.count(9)
    second.counts.apply_report("g1/1", {str(WINDOW): {"hall": 1}})
    second.usage_store.load()
    assert second.counts.sum_window(WINDOW) == {"hall": 10}, "its own counts are not added twice"


def test_later_report_replaces_stored_counts(store):
    first = Holder(store, "g1/1")
    first.counts.apply_report("g2/1", {str(WINDOW): {"hall": 7}})
    first.save()
    second = Holder(store, "g3/1")
    second.usage_store.load()
    second.counts.apply_report("g2/1", {str(WINDOW): {"hall": 9}})
    assert second.counts.sum_window(WINDOW) == {"hall": 9}


def test_unchanged_counts_are_not_written_again(store):
    holder = Holder(store, "g1/1")
    holder.count(1)
    for _ in range(5):
        holder.save()
    assert store.writes == 1
    holder.count(1)
    holder.save()
    holder.count(1)
    holder.usage_store.save()
    assert store.writes == 2, "not due yet"
    holder.save()
    assert store.writes == 3


@pytest.mark.parametrize("loses_answer", [False, True])
def test_counts_of_another_holder_are_merged_before_the_next_write(store, loses_answer):
    first, second = Holder(store, "g1/1"), Holder(store, "g2/1")
    store.loses_answer = loses_answer
    first.count(3)
    first.save()
    second.count(5)
    second.save()
    first.count(1)
    for _ in range(3):
        first.save()
        second.save()
    stored = store.value["processes"]
    assert stored["g1/1"] == {str(WINDOW): {"hall": 4}}
    assert stored["g2/1"] == {str(WINDOW): {"hall": 5}}


def test_save_is_retried_after_a_store_outage(store):
    holder = Holder(store, "g1/1")
    holder.count(3)
    store.is_down = True
    holder.clock.advance(int(SAVE_INTERVAL_MS))
    save_or_log(holder.usage_store)
    store.is_down = False
    save_or_log(holder.usage_store)
    assert store.value["processes"] == {"g1/1": {str(WINDOW): {"hall": 3}}}


@pytest.mark.parametrize(
    "value", [None, 7, {}, {"processes": []}, {"processes": {"g9/1": {"x": {"hall": 1}}}}]
)
def test_unreadable_stored_object_is_replaced(store, value):
    store.value, store.version = value, 5
    holder = Holder(store, "g1/1")
    holder.count(3)
    holder.save()
    assert store.value["processes"]["g1/1"] == {str(WINDOW): {"hall": 3}}


def test_reported_windows_and_processes_without_counts_are_discarded():
    counts = UsageCounts(WINDOW_S, "g1/1")
    counts.apply_report("g2/1", {str(WINDOW): {"hall": 7}})
    counts.count(NOW_MS, "hall")
    counts.discard_before(WINDOW + 1)
    assert counts.describe_processes() == {}
