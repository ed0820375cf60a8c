"""Replays of states that move between leaving daemons.

They guard against callers that are told that a moved request is unknown, or that they name a
position it has not reached.
"""

import pytest

from tests.handover_replay import play

SEEDS = range(1, 11)


@pytest.mark.parametrize("freeze_ms", [0, 1_500])
@pytest.mark.parametrize("seed", SEEDS)
def test_callers_of_moved_requests_get_every_token_once(seed, freeze_ms):
    fleet = play(seed, freeze_ms)
    assert fleet.problems == []
    assert fleet.resumed > 0
