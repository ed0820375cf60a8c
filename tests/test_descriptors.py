"""Gateways with many open descriptors."""

import os
import resource

import pytest

from tests.gateway_site import Site

HELD = 1_200
"""More than the 1,023 descriptors that `select` can wait for."""


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
