"""The fleet's budget of repeats, over restarts of the processes that share it.

A process that is started anew knows nothing of the repeats that it, or the one before it, has made in
this window; it had its whole fixed part again at once, and the whole fleet's as long as it knew no
other gateway. Eight gateways that were killed in the middle of a window could so send twice as many
repeats as may be.
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
def test_restarted_processes_together_stay_below_the_fixed_part(clock, known):
    budgets = make_budgets(clock)
    clock.advance(WINDOW_MS)
    before = spend_all(budgets)
    after = 0
    restarted = make_budgets(clock)
    for _ in range(8):
        clock.advance(100)
        after += spend_all(restarted, known)
    assert before + after <= EXTRA


def test_a_process_that_runs_for_a_window_has_its_whole_part(clock):
    budget, *_ = make_budgets(clock)
    clock.advance(WINDOW_MS)
    assert spend_all([budget]) == int(0.75 * EXTRA / DAEMONS)


def test_the_part_of_the_own_requests_is_there_at_once(clock):
    budget, *_ = make_budgets(clock)
    for _ in range(100):
        budget.earn("s")
    assert spend_all([budget], daemons=None) == int(0.75 * RATIO * 100)
