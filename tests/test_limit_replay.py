"""A whole fleet on a simulated clock while backend servers state rate limits.

Guards against limits that each gateway keeps alone, issuers of permits that restart, stand still, or are cut
off and issue twice, and servers that stay without work after their limit has ended.
"""

import pytest

from hemlockswitch.core.logs import _write_by_structlog, set_log_writer
from hemlockswitch.process.gateway.permit_issuer import IssuerRanking
from tests.limit_replay import Setting, World

SMALL = Setting()
SIZES = {
    "9": SMALL,
    "9, all limited": Setting(all_limited=True, requests_per_s=60.0),
    "100": Setting(gateways=100),
    "300 in 6 zones": Setting(gateways=300, zones=6),
}


@pytest.fixture(autouse=True)
def silent_log():
    set_log_writer(lambda event, level, fields: None)
    yield
    set_log_writer(_write_by_structlog)


@pytest.mark.parametrize("size", SIZES)
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_limited_servers_get_no_more_than_allowed(size, seed):
    assert World(SIZES[size], seed).run().excesses == []


def test_permits_are_used_and_servers_return_without_faults():
    results = [World(Setting(faults=0), seed).run() for seed in (1, 2, 3, 4)]
    used = sum(one.arrived for one in results) / sum(one.permitted for one in results)
    assert used >= 0.8
    assert min(part for one in results for part in one.returned) >= 0.5


def test_replay_finds_a_fleet_without_limits(monkeypatch):
    monkeypatch.setattr("hemlockswitch.process.gateway.permits.Permits.is_limited", never)
    assert World(SMALL, 1).run().excesses


def test_replay_finds_gateways_that_all_issue_permits(monkeypatch):
    monkeypatch.setattr(IssuerRanking, "is_issuer", always)
    monkeypatch.setattr(IssuerRanking, "rank", lambda self, *_: [self._fleet.name])
    assert World(SMALL, 1).run().excesses


def never(*_):
    return False


def always(*_):
    return True


# Guards against a check that counts gateways which could not learn of a lowered limit in a partition.
def test_limit_that_is_lowered_in_a_partition_counts_once_it_is_told():
    assert World(Setting(all_limited=True, requests_per_s=60.0), 79).run().excesses == []
