"""Refusal of requests under overload, after most engines were lost and after waves of reclaims."""

import pytest

from hemlockswitch.request.overload import MAX_RETRY_DELAY_MS, QueueBound, find_retry_delay_ms
from hemlockswitch.request.placement import Candidate, Placement
from hemlockswitch.version.serving_table import (
    CallerLimits,
    RequestKind,
    Route,
    ServiceWeight,
    ServingTable,
)
from tests.placement_replay import SERVERS, Replay, choose_ours

OBJECTIVE_MS = 1_200.0
BOUND = QueueBound(OBJECTIVE_MS, rank=0)


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_bounded_queue_serves_more_in_time_after_engine_loss(seed):
    """35 requests per second on two of six engines with empty caches, twice their prompt capacity.

    Over seeds 1 to 3 and 1,000 requests, 0.7 in 100 are in time without a bound and 41 with it.
    """
    left = SERVERS[:2]
    unbounded = Replay(choose_ours, seed, left).run(800, per_s=35)
    bounded = Replay(choose_ours, seed, left, BOUND).run(800, per_s=35)
    served, in_time = len(bounded.waits_ms), bounded.count_within(OBJECTIVE_MS)
    assert in_time > 5 * unbounded.count_within(OBJECTIVE_MS)
    assert in_time > 0.65 * served, "most admitted requests are served in time"


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_few_refusals_below_capacity(seed):
    """25 requests per second on six engines; only the first prompts may queue, as caches are empty."""
    unbounded = Replay(choose_ours, seed).run(1_500, per_s=25)
    bounded = Replay(choose_ours, seed, bound=BOUND).run(1_500, per_s=25)
    assert bounded.refused <= 0.005 * 1_500
    assert bounded.count_within(OBJECTIVE_MS) >= unbounded.count_within(OBJECTIVE_MS) - 3


def place(queue_ms, reading_ms=100.0):
    return Placement(Candidate(SERVERS[0]), queue_ms + reading_ms, reading_ms * 50.0, queue_ms)


def test_less_urgent_requests_are_refused_first():
    placement = place(queue_ms=750)
    assert find_retry_delay_ms(placement, QueueBound(1_000, rank=0)) is None
    assert find_retry_delay_ms(placement, QueueBound(1_000, rank=1)) is not None
    assert find_retry_delay_ms(placement, QueueBound(1_000, rank=2)) is not None


def test_large_prompt_is_admitted_behind_a_short_queue():
    assert find_retry_delay_ms(place(queue_ms=100, reading_ms=4_000), BOUND) is None


def test_nothing_is_refused_without_an_objective():
    assert find_retry_delay_ms(place(queue_ms=60_000), QueueBound(0, rank=3)) is None


def test_retry_delays_vary_around_the_time_until_room():
    returns = [find_retry_delay_ms(place(queue_ms=1_500), BOUND) for _ in range(50)]
    assert len(set(returns)) > 40
    assert all(800 < one < 1_700 for one in returns)
    assert find_retry_delay_ms(place(queue_ms=60_000), BOUND) == MAX_RETRY_DELAY_MS


def make_route(name, priority, objective_ms):
    return Route(
        name,
        "a.example",
        f"/{name}/",
        RequestKind.STREAM,
        15_000,
        objective_ms,
        priority,
        (ServiceWeight("llm", 1),),
    )


def test_lower_priority_route_uses_the_stricter_objective():
    """Full reports have an objective of 1.2 s, quick questions one of 2.5 s."""
    routes = (make_route("history", 0, 1_200), make_route("question", 2, 2_500))
    table = ServingTable(1, routes, {}, CallerLimits(), {})
    assert table.find_strictest_objective_ms("llm", 0) == 1_200
    assert table.find_strictest_objective_ms("llm", 2) == 1_200
    assert table.find_strictest_objective_ms("other", 2) == 0
