"""The bound of what an unjudged version gets, kept by daemons that know only their own requests.

The pattern: a service's requests spread unevenly over many entry daemons that see one or two of them in
a second, are started again and forget what they have sent.
"""

import random

import pytest

from hemlockswitch.request.rollout_credit import ExposureBound, ExposureCredit

BOUND = ExposureBound(0.1, 50)
ROUTES = (("draft", 8), ("reply", 6), ("note", 1))


class Daemon:
    """Sends to the new version whatever its credit allows."""

    def __init__(self, sharing, rng, moves):
        self.credit = ExposureCredit(BOUND, sharing, rng)
        self.moves = moves
        self.sent = {route: 0 for route, _ in ROUTES}

    def ask(self, route):
        may = self.credit.may_try(route) or (self.moves and self.credit.may_move())
        self.credit.earn(route)
        if may:
            self.credit.pay(route)
            self.sent[route] += 1
        return may


def play(daemons, requests, seed, moves=True, restarts=0.0):
    """Return what was sent to the new version, and the most that ever exceeded the bound."""
    rng = random.Random(seed)
    fleet = [Daemon(daemons, rng, moves) for _ in range(daemons)]
    weights = [rng.uniform(0.2, 2.0) for _ in fleet]
    sent, most_over = 0, float("-inf")
    for asked in range(1, requests + 1):
        number = rng.choices(range(daemons), weights)[0]
        if rng.random() < restarts:
            fleet[number] = Daemon(None, rng, moves)
        (route,) = rng.choices([name for name, _ in ROUTES], [weight for _, weight in ROUTES])
        sent += fleet[number].ask(route)
        most_over = max(most_over, sent - BOUND.share * asked - BOUND.slack)
    return sent, most_over, fleet


@pytest.mark.parametrize("daemons", [8, 83, 300, 1_700])
@pytest.mark.parametrize("restarts", [0.0, 0.05])
def test_the_sum_over_all_daemons_is_never_exceeded(daemons, restarts):
    for seed in range(10):
        _, most_over, _ = play(daemons, 3_000, seed, restarts=restarts)
        assert most_over <= 0


@pytest.mark.parametrize("daemons", [8, 83, 300])
def test_most_of_the_bound_can_be_used(daemons):
    sent, _, _ = play(daemons, 3_000, 1)
    assert sent >= 0.7 * (BOUND.share * 3_000 + BOUND.slack)


def test_a_rare_route_is_tried_as_often_as_a_frequent_one():
    _, _, fleet = play(8, 3_000, 1, moves=False)
    by_route = {route: sum(one.sent[route] for one in fleet) for route, _ in ROUTES}
    assert by_route["note"] >= 0.7 * by_route["draft"]


def test_a_daemon_that_was_started_again_has_no_part_of_the_slack():
    counts = []
    for sharing in (8, None):
        credits = [ExposureCredit(BOUND, sharing, random.Random(seed)) for seed in range(200)]
        counts.append(sum(one.may_move() for one in credits))
    assert counts[0] == 200
    assert counts[1] == 0
