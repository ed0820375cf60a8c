"""The bound on requests to a version without a verdict holds without coordination of the daemons.

A service's requests are spread unevenly over many entry daemons, each of which receives one or two per
second. Daemons are restarted and then have no record of what they have sent.
"""

import random

import pytest

from hemlockswitch.request.rollout_credit import ExposureBound, ExposureCredit

BOUND = ExposureBound(0.1, 50)
ROUTES = (("draft", 8), ("reply", 6), ("note", 1))


class Daemon:
    """Sends to the new version as much as its credit allows."""

    def __init__(self, sharing, rng, moves):
        self.credit = ExposureCredit(BOUND, sharing, rng)
        self.moves = moves
        self.sent = {route: 0 for route, _ in ROUTES}

    def send_request(self, route):
        may = self.credit.may_try(route) or (self.moves and self.credit.may_move())
        self.credit.earn(route)
        if may:
            self.credit.spend(route)
            self.sent[route] += 1
        return may


def play(daemons, requests, seed, moves=True, restarts=0.0):
    """Return the requests sent to the new version, the maximum excess over the bound, and the daemons."""
    rng = random.Random(seed)
    fleet = [Daemon(daemons, rng, moves) for _ in range(daemons)]
    weights = [rng.uniform(0.2, 2.0) for _ in fleet]
    sent, most_over = 0, float("-inf")
    for asked in range(1, requests + 1):
        number = rng.choices(range(daemons), weights)[0]
        if rng.random() < restarts:
            fleet[number] = Daemon(None, rng, moves)
        (route,) = rng.choices([name for name, _ in ROUTES], [weight for _, weight in ROUTES])
        sent += fleet[number].send_request(route)
        most_over = max(most_over, sent - BOUND.share * asked - BOUND.slack)
    return sent, most_over, fleet


@pytest.mark.parametrize("daemons", [8, 83, 300, 1_700])
@pytest.mark.parametrize("restarts", [0.0, 0.05])
def test_bound_over_all_daemons_is_never_exceeded(daemons, restarts):
    for seed in range(10):
        _, most_over, _ = play(daemons, 3_000, seed, restarts=restarts)
        assert most_over <= 0


@pytest.mark.parametrize("daemons", [8, 83, 300])
def test_most_of_the_bound_can_be_used(daemons):
    sent, _, _ = play(daemons, 3_000, 1)
    assert sent >= 0.7 * (BOUND.share * 3_000 + BOUND.slack)


def test_rare_route_gets_as_many_trials_as_a_frequent_one():
    _, _, fleet = play(8, 3_000, 1, moves=False)
    by_route = {route: sum(one.sent[route] for one in fleet) for route, _ in ROUTES}
    assert by_route["note"] >= 0.7 * by_route["draft"]


def test_restarted_daemon_has_no_part_of_the_slack():
    counts = []
    for sharing in (8, None):
        credits = [ExposureCredit(BOUND, sharing, random.Random(seed)) for seed in range(200)]
        counts.append(sum(one.may_move() for one in credits))
    assert counts[0] == 200
    assert counts[1] == 0
