"""Seeds of the replay of a content that ends servers; the long run is made by hand.

Without any memory of contents the same seeds end some 190 servers, and serve a fifth of the harmless
requests.
"""

import pytest

from tests.crash_replay import MOST_RETRIES, play

SERVED = 0.85
"""Part of the harmless requests that is served while the content comes. At worst all eight servers end
before the word is out, and are away for three of the ninety seconds, several times with faults."""


@pytest.mark.parametrize("gateways", [2, 8])
@pytest.mark.parametrize("seed", range(1, 11))
def test_a_deadly_content_takes_few_servers_and_harmless_ones_are_served(seed, gateways):
    one = play(seed, gateways=gateways)
    assert one.late_sends <= MOST_RETRIES
    assert one.served_share >= SERVED
    assert not one.left_out


def test_the_same_holds_for_sixty_gateways():
    one = play(3, gateways=60)
    assert one.late_sends <= MOST_RETRIES
    assert not one.left_out


@pytest.mark.parametrize("seed", range(1, 6))
def test_many_deadly_contents_cost_a_few_servers_each_and_hold_no_harmless_one_for_good(seed):
    one = play(seed, gateways=8, servers=20, contents=10)
    assert one.late_sends <= MOST_RETRIES
    assert not one.left_out


def test_without_a_memory_of_contents_servers_end_on_and_on():
    one = play(1, gateways=8, has_memory=False)
    assert one.late_sends > 10 * MOST_RETRIES
    assert one.served_share < 0.5


def test_servers_that_end_by_themselves_hold_nobody_back():
    one = play(5, gateways=8, deadly_per_s=0.0)
    assert sum(counts["held"] for counts in one.outcomes.values()) == 0
