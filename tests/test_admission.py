"""Admission: immediate refusals, charges by estimate, settlement at the end, and the capacity queue."""

import gevent
import pytest

from hemlockswitch.core.clock import ManualClock, SystemClock
from hemlockswitch.core.errors import ErrorKind, Ran, RequestError
from hemlockswitch.request.admission import Admission
from hemlockswitch.request.allowances import Allowance
from hemlockswitch.request.capacity import CapacityQueue


class FakeAllowances:
    """Allowances set by the test; `more` is the allowance after `seek_more`."""

    def __init__(self, allowance, more=None):
        self.allowance = allowance
        self.more = more

    def find_allowance(self, account):
        return self.allowance if account == "abdoun" else None

    def seek_more(self, account, shortage, wait_ms):
        if self.more is None:
            return False
        self.allowance = self.more
        return True


def make_admission(requests=2.0, tokens=1_000.0, concurrent=10, more=None):
    clock = ManualClock()
    fake_allowances = FakeAllowances(Allowance(requests, tokens, concurrent), more)
    return clock, fake_allowances, Admission(fake_allowances, clock, CapacityQueue(clock))


def expect_refusal(admission, kind, tokens=10):
    with pytest.raises(RequestError) as caught:
        admission.admit("abdoun", tokens)
    assert caught.value.kind is kind
    assert caught.value.answer.ran is Ran.NO
    return caught.value.answer.retry_after_ms


def test_request_limit_retry_time_suffices():
    clock, _, admission = make_admission()
    admission.admit("abdoun", 1).close()
    admission.admit("abdoun", 1).close()
    wait_ms = expect_refusal(admission, ErrorKind.REQUEST_LIMIT)
    assert 500 < wait_ms <= 751
    clock.advance(wait_ms)
    admission.admit("abdoun", 1)


def test_unused_tokens_are_refunded():
    _, _, admission = make_admission(requests=100)
    with admission.admit("abdoun", 1_000) as permit:
        assert expect_refusal(admission, ErrorKind.TOKEN_LIMIT, tokens=500) > 500
        permit.record_tokens(400)
    admission.admit("abdoun", 600).close()


def test_excess_of_a_large_request_delays_the_next():
    clock, _, admission = make_admission(requests=100)
    with admission.admit("abdoun", 5_000) as permit:
        permit.record_tokens(5_000)
    clock.advance(3_900)
    assert expect_refusal(admission, ErrorKind.TOKEN_LIMIT, tokens=100) > 200
    clock.advance(200)
    admission.admit("abdoun", 100)


def test_request_waits_for_a_bucket_that_fills_soon():
    clock, _, admission = make_admission(requests=10)
    for _ in range(10):
        admission.admit("abdoun", 1).close()
    admission.admit("abdoun", 1).close()
    assert 100 <= clock.now_ms() <= 110


def test_cancelled_request_is_refunded_completely():
    _, _, admission = make_admission(requests=2, concurrent=1)
    permit = admission.admit("abdoun", 900)
    expect_refusal(admission, ErrorKind.CONCURRENCY_LIMIT)
    permit.cancel()
    permit.close()
    assert admission.count_running("abdoun") == 0
    admission.admit("abdoun", 1_000).close()
    admission.admit("abdoun", 1).close()


def test_unknown_account_is_refused():
    _, _, admission = make_admission()
    with pytest.raises(RequestError) as caught:
        admission.admit("nobody", 1)
    assert caught.value.kind is ErrorKind.UNAUTHORIZED


def test_more_allowance_is_sought_before_a_refusal():
    _, _, admission = make_admission(concurrent=0, more=Allowance(1, 1_000, 1))
    admission.admit("abdoun", 1)


def test_lower_rate_is_credited_for_the_time_before_the_change():
    clock, fake_allowances, admission = make_admission(requests=10)
    for _ in range(10):
        admission.admit("abdoun", 1).close()
    clock.advance(1_000)
    fake_allowances.allowance = Allowance(1, 1_000, 10)
    admission.refresh("abdoun")
    admission.admit("abdoun", 1).close()
    expect_refusal(admission, ErrorKind.REQUEST_LIMIT)


def test_queue_is_ordered_by_priority_and_refuses_early():
    queue = CapacityQueue(SystemClock(), places=1, queue_length=2)
    order = []

    def wait(name, priority):
        try:
            queue.enter(priority)
            order.append(name)
        except RequestError as error:
            order.append(f"{name} {error.kind}")

    queue.enter(0)
    tasks = [gevent.spawn(wait, name, p) for name, p in (("late", 5), ("low", 3))]
    gevent.sleep(0)
    wait("equal", 5)
    tasks.append(gevent.spawn(wait, "first", 0))
    gevent.sleep(0)
    queue.leave()
    queue.leave()
    gevent.joinall(tasks, timeout=10)
    assert order == ["equal overloaded", "late overloaded", "first", "low"]
    queue.leave()
    assert (queue.running, queue.waiting) == (0, 0)


def test_passed_deadline_is_refused_before_dispatch():
    queue = CapacityQueue(SystemClock(), places=1)
    with pytest.raises(RequestError) as caught:
        queue.enter(0, deadline_ms=0)
    assert caught.value.kind is ErrorKind.DEADLINE_BEFORE_DISPATCH
