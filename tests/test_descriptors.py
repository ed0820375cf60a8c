"""Gateways with many open descriptors."""

import os
import resource

import pytest
from gevent import socket

from hemlockswitch.connection.backend_pool import BackendPool
from hemlockswitch.core.clock import ManualClock
from tests.gateway_site import Site

HELD = 1_200
"""More than the 1,023 descriptors that `select` can wait for."""


@pytest.fixture
def runners():
    listeners = [socket.create_server(("127.0.0.1", 0)) for _ in range(3)]
    yield [f"127.0.0.1:{one.getsockname()[1]}" for one in listeners]
    for listener in listeners:
        listener.close()


# Guards against idle connections to many servers that use up the descriptors.
def test_connections_that_are_idle_for_longest_are_closed_first(runners):
    clock = ManualClock()
    pool = BackendPool(clock, max_idle=4)
    for address in [*runners, *runners]:
        pool.preconnect(address, 1_000.0)
        clock.advance(10)
    pool.sweep()
    kept = {address: [one.idle_since_ms for one in idle] for address, idle in pool._idle.items()}
    assert kept == {runners[0]: [30], runners[1]: [40], runners[2]: [20, 50]}


@pytest.fixture
def held_descriptors():
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft < 2 * HELD:
        resource.setrlimit(resource.RLIMIT_NOFILE, (min(2 * HELD, hard), hard))
    held = [os.dup(0) for _ in range(HELD)]
    yield
    for descriptor in held:
        os.close(descriptor)
    resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))


# Guards against requests whose connection closes unanswered because a pooled connection could not be checked.
def test_requests_are_served_beside_many_open_descriptors(held_descriptors):
    site = Site()
    try:
        site.add_runner("app")
        assert [site.ask("/check/x").status for _ in range(20)] == [200] * 20
    finally:
        site.close()
