"""Usage reports: each window once, with the same counts whoever reports, and in true time."""

from hemlockswitch.connection.stored_objects import Conflict, StoredObject, Unknown, Written
from hemlockswitch.process.gateway.report_period import LEAST_SETTLE_MS, LEAST_TAKEOVER_MS
from hemlockswitch.process.gateway.true_time import TrueTime
from hemlockswitch.process.gateway.usage import UsageCounts, UsageDuty

WINDOW_S = 5.0
WINDOW_MS = WINDOW_S * 1_000
NOW_MS = 1_000 * WINDOW_MS


class Store:
    """Keeps the decided counts; may lose the answer of a write."""

    def __init__(self):
        self.kept = {}
        self.loses_answer = False

    def create(self, kind, name, value):
        if name in self.kept:
            return Conflict(1)
        self.kept[name] = value
        return Unknown("lost") if self.loses_answer else Written(1)

    def read(self, kind, name):
        value = self.kept.get(name)
        return StoredObject(kind, name, 1, value) if value is not None else None


class Api:
    def __init__(self):
        self.reports = []
        self.accepts = True

    def report_usage(self, window, counts, fencing):
        self.reports.append((window, dict(counts)))
        return self.accepts


def make_duty(store=None, api=None):
    counts = UsageCounts(WINDOW_S)
    return counts, UsageDuty(counts, store or Store(), api or Api())


def test_a_window_is_due_once_its_reports_have_settled():
    counts, duty = make_duty()
    assert 1_000 not in duty.list_due(NOW_MS)
    assert 1_000 not in duty.list_due(NOW_MS + WINDOW_MS + LEAST_SETTLE_MS - 1)
    assert 1_000 in duty.list_due(NOW_MS + WINDOW_MS + LEAST_SETTLE_MS)


def test_a_new_holder_waits_for_the_others_counts_and_reports_the_two_windows_before_too():
    counts, duty = make_duty()
    now_ms = NOW_MS + WINDOW_MS + LEAST_SETTLE_MS
    duty.take_over(now_ms)
    assert duty.list_due(now_ms) == []
    counts.take_report("g2/1", {"1000": {"a": 3}})
    assert duty.list_due(now_ms + LEAST_TAKEOVER_MS) == [998, 999, 1_000]


def test_the_counts_of_all_gateways_and_of_earlier_processes_are_added():
    counts, _ = make_duty()
    counts.count(NOW_MS, "a")
    counts.take_report("g2/1", {"1000": {"a": 2, "b": 1}})
    counts.take_report("g2/2", {"1000": {"a": 3}})
    counts.take_report("g2/2", {"1000": {"a": 4}})
    assert counts.sum_window(1_000) == {"a": 7, "b": 1}


def test_two_holders_report_the_same_counts():
    store, api = Store(), Api()
    first_counts, first = make_duty(store, api)
    second_counts, second = make_duty(store, api)
    first_counts.count(NOW_MS, "a")
    second_counts.take_report("g1/1", {"1000": {"a": 99}})
    first.report(1_000, lambda: 1)
    second.report(1_000, lambda: 2)
    assert api.reports == [(1_000, {"a": 1}), (1_000, {"a": 1})]


def test_a_lost_answer_of_the_store_changes_nothing():
    store, api = Store(), Api()
    store.loses_answer = True
    counts, duty = make_duty(store, api)
    counts.count(NOW_MS, "a")
    duty.report(1_000, lambda: 1)
    counts.count(NOW_MS, "a")
    duty.report(1_000, lambda: 1)
    assert api.reports == [(1_000, {"a": 1}), (1_000, {"a": 1})]


def test_a_refused_report_is_due_again():
    api = Api()
    api.accepts = False
    _, duty = make_duty(api=api)
    later_ms = NOW_MS + 3 * WINDOW_MS
    window, *_ = duty.list_due(later_ms)
    duty.report(window, lambda: 1)
    assert window in duty.list_due(later_ms)
    api.accepts = True
    duty.report(window, lambda: 1)
    assert window not in duty.list_due(later_ms)


def test_old_windows_are_forgotten():
    counts, _ = make_duty()
    for number in range(50):
        counts.count(NOW_MS + number * WINDOW_MS, "a")
    assert len(counts.describe_own()) <= 8


class Clocks:
    def __init__(self, boot_ms=0.0, wall_ms=1_000_000.0):
        self.boot_ms = boot_ms
        self.wall_ms = wall_ms


def test_a_step_of_the_wall_clock_does_not_move_the_believed_time():
    clocks = Clocks()
    believed = TrueTime(lambda: clocks.boot_ms, lambda: clocks.wall_ms)
    clocks.boot_ms, clocks.wall_ms = 2_000.0, 1_000_000.0 - 2_400.0
    assert believed.now_ms() == 1_002_000.0


def test_a_process_that_starts_during_a_step_follows_the_others():
    believed = TrueTime(lambda: 0.0, lambda: 1_000_000.0 - 2_400.0)
    believed.hear({"a": 1_000_000.0, "b": 1_000_010.0, "c": 999_990.0})
    assert believed.now_ms() == 1_000_000.0


def test_a_single_other_opinion_or_a_small_difference_changes_nothing():
    believed = TrueTime(lambda: 0.0, lambda: 1_000_000.0)
    believed.hear({"a": 1_009_000.0})
    believed.hear({"a": 1_000_100.0, "b": 1_000_200.0})
    assert believed.now_ms() == 1_000_000.0
