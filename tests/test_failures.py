"""Failure rates of servers, from results that gateways report to one another.

Guards against two faults in a large fleet, where each gateway sends a server a request every half minute, and
two of three servers fail half of their requests while they report themselves healthy: every gateway running
into these servers on its own, and one gateway's reports alone taking the work away from a server.
"""

import random

import pytest

from hemlockswitch.core.clock import ManualClock
from hemlockswitch.process.gateway.failures import (
    FAILURE_HALF_LIFE_MS,
    MAX_REPORTED_FAILURES,
    ServerFailures,
)
from hemlockswitch.process.gateway.loads import ServerLoads
from hemlockswitch.version.backend import BackendServer


@pytest.fixture
def clock():
    return ManualClock(now_ms=1_000_000)


def test_failures_reported_by_several_gateways_weigh_like_an_own_failure(clock):
    own, told = ServerFailures(clock), ServerFailures(clock)
    own.record_own("e1", failed=True)
    for number in range(5):
        told.apply_reported(f"g{number}", {"e1": (0, 1)})
    assert told.get_rate("e1") >= own.get_rate("e1")


def test_failures_reported_by_one_gateway_have_limited_weight(clock):
    failures = ServerFailures(clock)
    for _ in range(100):
        failures.apply_reported("g1", {"e1": (0, 50)})
    assert failures.get_rate("e1") < 0.3
    clock.advance(FAILURE_HALF_LIFE_MS)
    failures.apply_reported("g1", {"e1": (0, 1)})
    assert failures.get_rate("e1") < 0.4


def test_reported_successes_lower_the_failure_rate(clock):
    failures = ServerFailures(clock)
    for number in range(6):
        failures.apply_reported(f"g{number}", {"e1": (0, 1)})
    before = failures.get_rate("e1")
    for number in range(6):
        failures.apply_reported(f"g{number}", {"e1": (1, 0)})
    assert failures.get_rate("e1") < before / 2


def test_each_result_is_reported_once(clock):
    failures = ServerFailures(clock)
    failures.record_own("e1", failed=True)
    failures.record_own("e1", failed=False)
    failures.record_own("e2", failed=False)
    assert failures.pop_unreported() == {"e1": (1, 1), "e2": (1, 0)}
    assert failures.pop_unreported() == {}


def test_the_rates_of_a_removed_server_are_discarded(clock):
    failures = ServerFailures(clock)
    failures.record_own("e1", failed=True)
    failures.apply_reported("g1", {"e1": (0, MAX_REPORTED_FAILURES)})
    failures.evict("e1")
    assert failures.get_rate("e1") == 0.0
    assert failures.pop_unreported() == {}


class GreyFleet:
    """Gateways that send calls to servers, some of which fail half of the calls."""

    def __init__(self, seed, *, tells, gateways=100, servers=30, grey=20):
        self.rng = random.Random(seed)
        self.clock = ManualClock()
        self.tells = tells
        self.servers = [
            BackendServer(f"e{number}", "z1", f"10.0.0.1:{number + 1}", "app", slots=6)
            for number in range(servers)
        ]
        self.grey = {server.name for server in self.servers[:grey]}
        self.gateways = [ServerLoads(self.clock) for _ in range(gateways)]

    def count_failed(self, sends, per_s=200):
        failed = 0
        for _ in range(sends):
            self.clock.advance(1_000 / per_s)
            failed += self._send(self.rng.choice(self.gateways))
        return failed

    def _send(self, gateway):
        candidates = gateway.build_candidates(self.servers, None)
        self.rng.shuffle(candidates)
        server = min(candidates, key=lambda one: one.failure_rate).server
        failed = server.name in self.grey and self.rng.random() < 0.5
        gateway.record_result(server.name, failed)
        if self.tells:
            results = gateway.failures.pop_unreported()
            for other in self.gateways:
                if other is not gateway:
                    other.failures.apply_reported(str(id(gateway)), results)
        return failed


def test_reported_failures_halve_the_calls_to_failing_servers():
    told = sum(GreyFleet(seed, tells=True).count_failed(600) for seed in (1, 2, 3))
    alone = sum(GreyFleet(seed, tells=False).count_failed(600) for seed in (1, 2, 3))
    assert told <= 0.5 * alone
