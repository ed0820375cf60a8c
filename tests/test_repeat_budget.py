"""The fleet-wide budget of repeats is not exceeded when the processes that share it restart.

A restarted process has no record of the repeats that its predecessor made in the current window. It
used to get its complete fixed share again immediately, and that of the fleet as long as it had found
no other gateway. Eight gateways killed in the middle of a window could thus send twice the allowed
number of repeats.
"""

import pytest

from hemlockswitch.core.clock import ManualClock
from hemlockswitch.request.repeat_budget import RepeatBudget

DAEMONS, EXTRA, WINDOW_MS, RATIO = 8, 56, 10_000.0, 0.2


@pytest.fixture
def clock():
    return ManualClock(now_ms=1_000_000)


def make_budgets(clock):
    return [RepeatBudget(RATIO, EXTRA, WINDOW_MS, clock) for _ in range(DAEMONS)]


def spend_all(budgets, daemons=DAEMONS):
    taken = 0
    for budget in budgets:
        while budget.take("s", daemons):
            taken += 1
    return taken


@pytest.mark.parametrize("known", [None, DAEMONS])
def test_restarted_processes_do_not_exceed_the_fixed_part(clock, known):
    budgets = make_budgets(clock)
    clock.advance(WINDOW_MS)
    before = spend_all(budgets)
    after = 0
    restarted = make_budgets(clock)
    for _ in range(8):
        clock.advance(100)
        after += spend_all(restarted, known)
    assert before + after <= EXTRA


def test_complete_share_is_available_after_one_window(clock):
    budget, *_ = make_budgets(clock)
    clock.advance(WINDOW_MS)
    assert spend_all([budget]) == int(0.75 * EXTRA / DAEMONS)


def test_share_earned_by_requests_is_available_immediately(clock):
    budget, *_ = make_budgets(clock)
    for _ in range(100):
        budget.earn("s")
    assert spend_all([budget], daemons=None) == int(0.75 * RATIO * 100)
