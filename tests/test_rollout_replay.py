"""Replays of rollouts in a fleet under faults: the exposure bound, the stop and the final state.

Gateways and the holder of the duties are killed and frozen, the store is unavailable and messages are lost
while a version is on trial. No such fault may let a bad version get more requests, or for longer.
"""

import pytest

from hemlockswitch.core.logs import _write_by_structlog, set_log_writer
from hemlockswitch.process.gateway.rollout_progress import RolloutProgress
from hemlockswitch.request.rollout_credit import ExposureCredit
from tests.rollout_fleet import VERSIONS
from tests.rollout_plays import Replay

SEEDS = range(1, 4)
BAD = [name for name, version in VERSIONS.items() if version.is_bad]


@pytest.fixture(autouse=True)
def _no_lines():
    set_log_writer(lambda event, level, fields: None)
    yield
    set_log_writer(_write_by_structlog)


def run_replays(name, gateways=8, **options):
    return [Replay(gateways, seed, VERSIONS[name], **options).run() for seed in SEEDS]


def check_outcomes(outcomes):
    for one in outcomes:
        assert one.most_over <= 0, "the bound"
        assert one.late_sends == 0, "sends after the stop"
        assert one.final_changes == 0, "a final state that changed"


@pytest.mark.parametrize("name", BAD)
def test_bad_version_is_rolled_back_under_faults(name):
    outcomes = run_replays(name)
    check_outcomes(outcomes)
    assert {one.state for one in outcomes} == {"rolled_back"}


def test_good_version_is_completed_in_time():
    outcomes = run_replays("good", faults=False)
    check_outcomes(outcomes)
    assert {one.state for one in outcomes} == {"completed"}
    assert all(one.closed_ms < 12_000 for one in outcomes)


def test_good_version_stays_within_the_bound_under_faults():
    check_outcomes(run_replays("good"))


@pytest.mark.parametrize("gateways", [30])
def test_larger_fleet_stays_within_the_bound(gateways):
    check_outcomes([Replay(gateways, 1, VERSIONS[name]).run() for name in ("good", "fails 0.5")])


def test_replay_detects_gateways_that_exceed_their_share(monkeypatch):
    monkeypatch.setattr(ExposureCredit, "may_try", lambda self, route: True)
    assert any(one.most_over > 0 for one in run_replays("good", faults=False))


def test_replay_detects_gateways_that_do_not_stop(monkeypatch):
    monkeypatch.setattr(RolloutProgress, "is_open", True)
    monkeypatch.setattr(ExposureCredit, "may_try", lambda self, route: True)
    assert any(one.late_sends > 0 for one in run_replays("fails 0.5", faults=False))
