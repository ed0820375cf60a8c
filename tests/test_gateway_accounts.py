"""Limits of client accounts over all gateways: steady load, cuts, restarts, hot accounts.

The patterns are the sites' days: an account asks for up to eight times its usual amount, all
gateways are killed and come back within a second, a zone is cut off.
"""

import random

import pytest

from hemlockswitch.core.clock import ManualClock
from hemlockswitch.process.gateway.accounts import SharedLimits
from hemlockswitch.version.serving_table import ForwardedAccount

RATE, BURST = 100_000.0, 110_000.0
ACCOUNT = ForwardedAccount(
    "large", counts_tokens=True, plain_tokens=200, rate_per_s=RATE, burst=BURST
)
REQUEST_TOKENS = 18_000.0
REPORT_MS = 200


@pytest.fixture(autouse=True)
def _seed():
    random.seed(7)


class Group:
    """Gateways that hear one another, with a part of the fleet."""

    def __init__(self, clock, names, share=1.0):
        self.clock = clock
        self.share = share
        self.limits = {
            name: SharedLimits(clock, lambda: self.share, lambda: len(names)) for name in names
        }
        self.turn = 0

    def exchange(self):
        reports = {name: limits.describe_spent() for name, limits in self.limits.items()}
        for name, limits in self.limits.items():
            for other, spent in reports.items():
                if other != name:
                    limits.take_report(other, spent)

    def ask(self, tokens):
        """Ask at one gateway after the other; return what was admitted."""
        names = list(self.limits)
        name = names[self.turn % len(names)]
        self.turn += 1
        return tokens if self.limits[name].take(ACCOUNT, tokens) is None else 0.0


def press(groups, clock, duration_ms, tokens=REQUEST_TOKENS, step_ms=25):
    """Ask for seven times the limit, at all gateways by turns; return what was admitted.

    The hottest accounts of the sheets ask for eight times their usual, which is about five
    times their limit.
    """
    admitted = 0.0
    for now_ms in range(0, duration_ms, step_ms):
        if now_ms % REPORT_MS == 0:
            for group in groups:
                group.exchange()
        admitted += sum(group.ask(tokens) for group in groups)
        clock.advance(step_ms)
    return admitted


def find_bound(duration_ms):
    """What may be used in a window: the limit, a tenth more, and the fixed slack."""
    return (RATE * duration_ms / 1_000 + BURST) * 1.1 + 190_000


def test_a_hot_account_is_held_to_its_limit_over_all_gateways():
    clock = ManualClock(now_ms=0)
    group = Group(clock, [f"g{number}" for number in range(8)])
    clock.advance(12_000)
    assert press([group], clock, 8_000) <= find_bound(8_000)


def test_an_account_below_its_limit_is_never_refused():
    clock = ManualClock()
    group = Group(clock, [f"g{number}" for number in range(8)])
    clock.advance(12_000)
    refused = 0
    for turn in range(400):
        limits = list(group.limits.values())[turn % 8]
        refused += limits.take(ACCOUNT, REQUEST_TOKENS / 4) is not None
        group.exchange()
        clock.advance(50)
    assert refused == 0, "90,000 tokens a second, at changing gateways"


def test_a_cut_does_not_raise_the_limit():
    clock = ManualClock()
    sides = [Group(clock, ["a1", "a2", "a3"], 3 / 8), Group(clock, list("bcdef"), 5 / 8)]
    clock.advance(12_000)
    assert press(sides, clock, 8_000) <= find_bound(8_000)


def test_a_restart_of_all_gateways_gives_no_second_burst():
    clock = ManualClock()
    first = Group(clock, [f"g{number}" for number in range(8)])
    clock.advance(12_000)
    admitted = press([first], clock, 4_000)
    second = Group(clock, [f"h{number}" for number in range(8)])
    clock.advance(1_000)
    admitted += press([second], clock, 3_000)
    assert admitted <= find_bound(8_000)


def test_a_process_that_started_long_ago_has_the_whole_burst_for_a_new_account():
    clock = ManualClock()
    limits = SharedLimits(clock, lambda: 1.0, lambda: 1)
    clock.advance(12_000)
    assert limits.take(ACCOUNT, BURST) is None


@pytest.mark.parametrize("asked", [1_000.0, 18_000.0, 400_000.0])
def test_a_refusal_says_when_to_come_back(asked):
    clock = ManualClock()
    limits = SharedLimits(clock, lambda: 1.0, lambda: 1)
    clock.advance(12_000)
    while (wait_ms := limits.take(ACCOUNT, asked)) is None:
        pass
    clock.advance(wait_ms)
    assert limits.take(ACCOUNT, asked) is None


def test_a_lower_limit_is_used_at_once():
    clock = ManualClock()
    limits = SharedLimits(clock, lambda: 1.0, lambda: 1)
    clock.advance(12_000)
    limits.take(ACCOUNT, 1.0)
    lower = ForwardedAccount("large", counts_tokens=True, rate_per_s=1_000, burst=2_000)
    admitted = sum(limits.take(lower, 1_000) is None for _ in range(100))
    assert admitted <= 2


def test_a_report_of_a_restarted_gateway_is_not_a_spending():
    clock = ManualClock()
    limits = SharedLimits(clock, lambda: 1.0, lambda: 1)
    clock.advance(12_000)
    limits.take(ACCOUNT, 1.0)
    limits.take_report("g2/1", {"large": 10_000_000.0})
    assert limits.take(ACCOUNT, REQUEST_TOKENS) is None
