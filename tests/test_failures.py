"""What is told of servers that fail: soon known to all, not by one gateway's word alone.

The pattern: a large fleet, in which each gateway sends a server a request every half minute, and two
of three servers fail half of their requests while they call themselves healthy.
"""

import random

import pytest

from hemlockswitch.core.clock import ManualClock
from hemlockswitch.process.gateway.failures import (
    FAILURE_HALF_LIFE_MS,
    MOST_TOLD_FAILURES,
    ServerFailures,
)
from hemlockswitch.process.gateway.loads import ServerLoads
from hemlockswitch.version.backend import BackendServer


@pytest.fixture
def clock():
    return ManualClock(now_ms=1_000_000)


def test_several_gateways_together_weigh_like_an_own_failure(clock):
    own, told = ServerFailures(clock), ServerFailures(clock)
    own.note_own("e1", failed=True)
    for number in range(5):
        told.take_told(f"g{number}", {"e1": (0, 1)})
    assert told.get_rate("e1") >= own.get_rate("e1")


def test_one_gateway_alone_does_not_empty_a_server(clock):
    failures = ServerFailures(clock)
    for _ in range(100):
        failures.take_told("g1", {"e1": (0, 50)})
    assert failures.get_rate("e1") < 0.3
    clock.advance(FAILURE_HALF_LIFE_MS)
    failures.take_told("g1", {"e1": (0, 1)})
    assert failures.get_rate("e1") < 0.4


def test_successes_of_others_bring_a_server_back(clock):
    failures = ServerFailures(clock)
    for number in range(6):
        failures.take_told(f"g{number}", {"e1": (0, 1)})
    before = failures.get_rate("e1")
    for number in range(6):
        failures.take_told(f"g{number}", {"e1": (1, 0)})
    assert failures.get_rate("e1") < before / 2


def test_each_result_is_told_once(clock):
    failures = ServerFailures(clock)
    failures.note_own("e1", failed=True)
    failures.note_own("e1", failed=False)
    failures.note_own("e2", failed=False)
    assert failures.pop_untold() == {"e1": (1, 1), "e2": (1, 0)}
    assert failures.pop_untold() == {}


def test_a_server_that_is_gone_is_forgotten(clock):
    failures = ServerFailures(clock)
    failures.note_own("e1", failed=True)
    failures.take_told("g1", {"e1": (0, MOST_TOLD_FAILURES)})
    failures.forget("e1")
    assert failures.get_rate("e1") == 0.0
    assert failures.pop_untold() == {}


class GreyFleet:
    """Gateways that send calls to servers of which some fail half of them."""

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
        gateway.note_result(server.name, failed)
        if self.tells:
            results = gateway.failures.pop_untold()
            for other in self.gateways:
                if other is not gateway:
                    other.failures.take_told(str(id(gateway)), results)
        return failed


def test_a_fleet_that_tells_meets_grey_servers_less_often():
    told = sum(GreyFleet(seed, tells=True).count_failed(600) for seed in (1, 2, 3))
    alone = sum(GreyFleet(seed, tells=False).count_failed(600) for seed in (1, 2, 3))
    assert told <= 0.5 * alone
