"""The ledger of requests in progress on a brittle server.

Guards against more requests in progress than a brittle server has slots, and against slots that stay unused.
"""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from hemlockswitch.platform.headers import Headers
from hemlockswitch.request.permits import UNLIMITED, Verdict
from hemlockswitch.request.slots import (
    MAX_HOLD_MS,
    RECOVERY_MS,
    Claim,
    SlotLedger,
    find_fleet_share,
)
from tests.test_permits import make_answer

SLOTS = 2


def take(ledger, now_ms, permit, urgency=0, holder="g1", hold_ms=1_000):
    claim = Claim(holder, permit, hold_ms, urgency)
    return ledger.take(now_ms, SLOTS, claim).verdict is Verdict.GRANTED


def test_requests_that_were_sent_without_permits_count_until_they_have_ended():
    ledger = SlotLedger(opens_ms=0, unpermitted=2)
    assert not take(ledger, 10, "a")
    ledger.reduce_unpermitted(1)
    assert take(ledger, 20, "a")
    ledger.reduce_unpermitted(3)
    assert not take(ledger, 30, "b"), "their number cannot grow"


def test_issuer_that_takes_over_waits_for_the_permits_of_the_former_one():
    ledger = SlotLedger(opens_ms=500, unpermitted=0)
    decision = ledger.take(100, SLOTS, Claim("g1", "a", 1_000))
    assert (decision.verdict, decision.pause_ms) == (Verdict.REFUSED, 400)
    assert take(ledger, 500, "a")


def test_permits_of_an_ended_gateway_and_lost_releases_do_not_block_a_server():
    ledger = SlotLedger(opens_ms=0, unpermitted=0)
    assert take(ledger, 0, "a", holder="g1", hold_ms=300)
    assert take(ledger, 0, "b", holder="g2", hold_ms=10 * MAX_HOLD_MS)
    assert not take(ledger, 10, "c")
    assert take(ledger, 301, "c")
    ledger.drop_holders({"g1"})
    assert take(ledger, 302, "d")


def test_rejection_lowers_the_bound_for_a_while():
    ledger = SlotLedger(opens_ms=0, unpermitted=0)
    assert take(ledger, 0, "a")
    assert take(ledger, 0, "b")
    ledger.record_rejection(5)
    for permit in "ab":
        ledger.release(10, permit)
    assert take(ledger, 20, "c")
    assert not take(ledger, 30, "d")
    assert take(ledger, RECOVERY_MS + 5, "d")


def test_more_urgent_request_gets_the_next_slot():
    ledger = SlotLedger(opens_ms=0, unpermitted=0)
    assert take(ledger, 0, "a")
    assert take(ledger, 0, "b")
    assert not take(ledger, 5, "c", urgency=0)
    ledger.release(10, "a")
    assert not take(ledger, 11, "d", urgency=3)
    assert take(ledger, 12, "c", urgency=0)


@given(st.lists(st.tuples(st.integers(0, 3), st.integers(0, 400)), max_size=60))
def test_no_more_permits_are_in_use_than_slots(steps):
    ledger, now_ms, held = SlotLedger(0, 0), 0, []
    for number, (action, passed_ms) in enumerate(steps):
        now_ms += passed_ms
        if action and take(ledger, now_ms, str(number), urgency=action, hold_ms=MAX_HOLD_MS):
            held.append(str(number))
        elif not action and held:
            ledger.release(now_ms, held.pop(0))
        assert len(held) <= SLOTS


def test_sides_of_a_partition_share_the_slots():
    assert find_fleet_share(8, 0.5) + find_fleet_share(8, 0.5) <= 8


@pytest.mark.parametrize(
    ("stated", "expected"), [((), UNLIMITED), (("3",), 3.0), (("1", "2"), None), (("nan",), None)]
)
def test_stated_rejections_are_read(stated, expected):
    fields = [("Server-Brittle", one) for one in stated]
    answer = make_answer()
    answer.headers.extend(fields)
    assert Headers().read_rejection_limit(answer) == expected
