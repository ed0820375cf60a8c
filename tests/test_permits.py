"""Decisions about permits for limited backend servers, and the statements of their limits."""

import math

import pytest

from hemlockswitch.connection.message_parsers import ParsedAnswer
from hemlockswitch.core.clock import ManualClock
from hemlockswitch.platform.headers import Headers
from hemlockswitch.process.gateway.server_limits import MAX_SERVERS, OWN, ServerLimits
from hemlockswitch.request.permits import (
    BURST,
    MIN_RATE_PER_S,
    LimitStatement,
    PermitBucket,
    Verdict,
)

WINDOW_MS = 4_000


@pytest.fixture
def clock():
    return ManualClock(now_ms=1_000)


@pytest.fixture
def limits(clock):
    return ServerLimits(clock)


def take_all(bucket, rate_per_s, until_ms, urgency=1, step_ms=5):
    """Return the times at which permits were granted to a daemon that always requests one."""
    times = range(0, until_ms, step_ms)
    return [
        at_ms
        for at_ms in times
        if bucket.take(at_ms, rate_per_s, urgency).verdict is Verdict.GRANTED
    ]


@pytest.mark.parametrize("rate_per_s", [0.0, 0.05, 0.5, 1.0, 1.3, 20.0])
def test_bucket_grants_its_rate_and_its_burst_in_any_window(rate_per_s):
    granted = take_all(PermitBucket(0), rate_per_s, 40_000)
    rate_per_s = max(rate_per_s, MIN_RATE_PER_S)
    assert len(granted) >= rate_per_s * 40 - BURST - 1
    for from_ms in granted:
        count = sum(from_ms <= at_ms <= from_ms + WINDOW_MS for at_ms in granted)
        assert count <= rate_per_s * WINDOW_MS / 1_000 + BURST


def test_idle_time_is_not_saved_up():
    bucket = PermitBucket(0)
    verdicts = [bucket.take(60_000, 5, 1).verdict for _ in range(4)]
    assert verdicts.count(Verdict.GRANTED) == BURST


def test_more_urgent_requests_go_first_and_the_others_use_the_remaining_permits():
    bucket = PermitBucket(0)
    granted = {0: 0, 2: 0}
    is_waiting = False
    for at_ms in range(0, 20_000, 50):
        is_waiting = is_waiting or at_ms % 1_000 == 0
        for urgency in (2, 0) if is_waiting else (2,):
            is_granted = bucket.take(at_ms, 2.0, urgency).verdict is Verdict.GRANTED
            granted[urgency] += is_granted
            is_waiting = is_waiting and not (is_granted and urgency == 0)
    assert granted[0] >= 18
    assert granted[0] + granted[2] >= 36


def test_refused_requests_return_one_after_the_other():
    bucket = PermitBucket(0)
    retries = [bucket.take(0, 2.0, 1).retry_ms for _ in range(3)]
    assert retries == [500.0, 1_000.0, 1_500.0]
    assert bucket.take(0, 2.0, 0).retry_ms == 500.0


def test_loosened_limit_counts_only_in_answers_to_later_requests(clock, limits):
    assert limits.record_answer("s", 1.0, sent_ms=900)
    assert not limits.record_answer("s", math.inf, sent_ms=950)
    assert limits.is_limited("s")
    assert limits.record_answer("s", math.inf, sent_ms=1_000)
    assert not limits.is_limited("s")


def test_tightened_limit_counts_in_any_answer(limits):
    limits.record_answer("s", 2.0, sent_ms=900)
    assert limits.record_answer("s", 1.0, sent_ms=800)
    assert limits.get("s").limit_per_s == 1.0


def test_newer_statement_counts_whatever_the_order_of_arrival(limits):
    limits.record_answer("s", 2.0, sent_ms=900)
    newer = limits.get("s").follow(math.inf)
    assert limits.merge("s", newer, "g2")
    assert not limits.merge("s", LimitStatement(1, 0.5), "g3")
    assert not limits.is_limited("s")


def test_stricter_of_two_concurrent_statements_counts(limits):
    limits.merge("s", LimitStatement(4, 3.0), "g2")
    assert limits.merge("s", LimitStatement(4, 1.0), "g3")
    assert not limits.merge("s", LimitStatement(4, math.inf), "g4")


def test_unchanged_limit_with_a_newer_number_is_no_change(limits):
    limits.merge("s", LimitStatement(4, 3.0), "g2")
    assert not limits.merge("s", LimitStatement(6, 3.0), "g3")
    assert limits.get("s").number == 6


def test_statements_are_bounded_and_evicted(clock, limits):
    for number in range(MAX_SERVERS + 5):
        limits.record_answer(f"s{number}", 1.0, sent_ms=0)
    assert limits.count_limited() == MAX_SERVERS
    assert limits.describe()[0]["source"] == OWN
    assert limits.list_unlisted({"s0"}) == []
    clock.advance(20_000)
    assert len(limits.list_unlisted({"s0"})) == MAX_SERVERS - 1
    limits.evict("s0")
    assert not limits.is_limited("s0")


def make_answer(*stated, status=200, seal=("Hemlockswitch-Response-Seal", "x")):
    answer = ParsedAnswer()
    answer.status = status
    answer.headers = [*(("Server-Limit", value) for value in stated), seal]
    return answer


@pytest.mark.parametrize(
    ("stated", "limit_per_s"),
    [
        ((), math.inf),
        (("0",), 0.0),
        (("0.05",), 0.05),
        (("1.3",), 1.3),
        (("25",), 25.0),
        (("-1",), None),
        (("",), None),
        (("nan",), None),
        (("inf",), None),
        (("1e9",), None),
        (("1, 2",), None),
        (("1", "2"), None),
        (("9" * 400,), None),
    ],
)
def test_limit_is_read_only_from_a_decimal_number(stated, limit_per_s):
    assert Headers().read_rate_limit(make_answer(*stated)) == limit_per_s


def test_only_the_servers_own_answers_state_a_limit():
    headers = Headers()
    assert headers.read_rate_limit(make_answer("1", status=421)) is None
    assert headers.read_rate_limit(make_answer(seal=("Content-Encoding", "gzip"))) is None
    declined = make_answer("1", status=503, seal=("Hemlockswitch-Not-Executed", "1"))
    assert headers.read_rate_limit(declined) == 1.0
