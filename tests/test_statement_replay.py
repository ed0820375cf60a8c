"""Replays of a fleet while servers leave by their own answers and ask for rest."""

import pytest

from tests.statement_replay import Replay


# Guards against requests to servers that leave or rest, by a path that a test with few gateways does not take.
@pytest.mark.parametrize("gateways, seed", [*((9, seed) for seed in range(20)), (100, 1), (300, 2)])
def test_servers_that_leave_or_rest_get_nothing(gateways, seed):
    result = Replay(seed, gateways).run()
    assert (result.late, result.crowded) == ([], [])
    assert result.served > 0.9 * (result.sends - result.turned_away)


@pytest.mark.parametrize("seed", [147, 169, 3])
def test_servers_that_all_rest_at_a_time_get_nothing(seed):
    result = Replay(seed, 9, rests_all=True).run()
    assert (result.late, result.crowded) == ([], [])


# Guards against a replay that would not see a gateway whose machine was asked by way of a tunnel.
def test_replay_reports_a_fleet_whose_gateways_tell_one_another_nothing(monkeypatch):
    monkeypatch.setattr(Replay, "deliver", lambda *_: None)
    results = [Replay(seed, 9).run() for seed in range(1, 21)]
    assert any(result.late or result.crowded for result in results)
