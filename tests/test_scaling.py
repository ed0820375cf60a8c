"""Number of copies to order under waves of reclaims, unavailable zones and changes of the lease holder.

The load patterns are those of the sites: there are four zones, one of which loses all its reclaimable
copies every 3 to 6 seconds, and no zone offers any for 12 to 15 s. A copy boots for 4 s.
"""

import math
import random
from collections import defaultdict
from dataclasses import replace
from itertools import pairwise

import pytest

from hemlockswitch.core.clock import ManualClock
from hemlockswitch.process.gateway.copies_plan import (
    MIN_COPIES,
    Pool,
    count_needed,
    plan_copies,
)
from hemlockswitch.version.backend import BackendServer, BackendState
from hemlockswitch.version.serving_table import (
    EngineCapacity,
)
from tests.copies_market import (
    BOOT_MS,
    ON_DEMAND,
    RECLAIMABLE,
    SERVICE,
    ZONES,
    Market,
    make_duty,
    make_situation,
    simulate,
)


def count(plan, machine_class):
    return sum(number for pool, number in plan.items() if pool.machine_class is machine_class)


@pytest.mark.parametrize(
    ("tokens", "running", "needed"),
    [(0, 0, MIN_COPIES), (45, 0, MIN_COPIES), (90, 0, 4), (0, 400, 6)],
)
def test_need_follows_prefill_rate_and_slots(tokens, running, needed):
    assert count_needed(make_situation(tokens=tokens, running=running)) == needed


def test_reclaimable_copies_serve_the_demand_without_reclaims():
    live = {Pool(zone, RECLAIMABLE): 2 for zone in ZONES}
    plan = plan_copies(make_situation(live, tokens=60))
    assert [plan[Pool(zone, RECLAIMABLE)] for zone in ZONES] == [2, 2, 2, 2]
    assert count(plan, ON_DEMAND) == 0


def test_on_demand_copies_cover_the_next_zone_while_a_zone_is_unavailable():
    """A wave reaches the next zone after some seconds, which is the boot time of a copy."""
    live = {Pool(zone, RECLAIMABLE): 2 for zone in ZONES[1:]}
    calm = plan_copies(make_situation(live, tokens=130))
    plan = plan_copies(make_situation(live, tokens=130, unavailable=[Pool("z1", RECLAIMABLE)]))
    needed = count_needed(make_situation(tokens=130))
    assert needed == 5
    assert count(calm, ON_DEMAND) == 0
    assert count(plan, ON_DEMAND) == needed - (6 - 2)
    assert plan[Pool("z2", ON_DEMAND)] == 1, "the cheapest zone"


def test_copies_found_at_the_start_require_no_on_demand_copies_in_a_wave():
    """At the first wave of a day, six copies count as needed until the demand is measured, which requires
    three. Replacing what the next zone would lose of six would cost four on-demand copies."""
    live = {Pool(zone, RECLAIMABLE): 2 for zone in ZONES[1:]}
    found = make_situation(live, tokens=40, unavailable=[Pool("z1", RECLAIMABLE)])
    assert count(plan_copies(replace(found, min_copies=6)), ON_DEMAND) == 0
    assert count(plan_copies(replace(found, min_copies=7)), ON_DEMAND) == 1, "missing now"


@pytest.mark.parametrize("lost", ZONES)
def test_enough_copies_remain_when_a_zone_is_reclaimed(lost):
    plan = plan_copies(make_situation(tokens=110))
    left = sum(number for pool, number in plan.items() if pool.zone != lost)
    assert left >= count_needed(make_situation(tokens=110))


@pytest.mark.parametrize("lost", ZONES)
@pytest.mark.parametrize("second", ZONES)
def test_enough_cheap_copies_remain_when_two_zones_are_reclaimed(lost, second):
    """A second zone is reclaimed while the first one is still unavailable."""
    roomy = replace(SERVICE, scaling=replace(SERVICE.scaling, max_copies=15))
    plan = plan_copies(replace(make_situation(tokens=400), service=roomy))
    left = sum(number for pool, number in plan.items() if pool.zone not in (lost, second))
    assert left >= count_needed(make_situation(tokens=400))


def test_expensive_reclaimable_copies_cover_the_loss_of_one_zone():
    dear = replace(SERVICE, scaling=replace(SERVICE.scaling, max_copies=15, reclaimable_price=0.7))
    plan = plan_copies(replace(make_situation(tokens=400), service=dear))
    needed = count_needed(make_situation(tokens=400))
    assert count(plan, RECLAIMABLE) == 4 * -(-needed // 3)


def test_on_demand_copies_replace_unavailable_reclaimable_ones():
    unavailable = [Pool(zone, RECLAIMABLE) for zone in ZONES]
    plan = plan_copies(make_situation({}, tokens=150, unavailable=unavailable))
    assert count(plan, RECLAIMABLE) == 0
    assert count(plan, ON_DEMAND) == count_needed(make_situation(tokens=150))


@pytest.mark.parametrize("tokens", [0, 50, 100, 200, 400, 1_000])
def test_no_zone_exceeds_its_limit(tokens):
    plan = plan_copies(make_situation(tokens=tokens))
    for zone in ZONES:
        assert plan[Pool(zone, RECLAIMABLE)] + plan[Pool(zone, ON_DEMAND)] <= 3


def test_high_demand_leaves_room_for_on_demand_copies():
    plan = plan_copies(make_situation(tokens=1_000))
    assert all(plan[Pool(zone, ON_DEMAND)] >= 1 for zone in ZONES)


def test_waves_of_reclaims_leave_enough_copies_except_during_a_boot():
    market = Market(ManualClock())
    duty = make_duty(market, tokens=100)
    simulate(market, duty, 10_000)
    sizes = []
    for zone in ZONES:
        market.reclaim(zone, unavailable_ms=14_000)
        simulate(market, duty, 5_000, sizes)
    needed = count_needed(make_situation(tokens=100))
    assert min(sizes) >= needed - 2, "while the stand-ins boot"
    assert sum(size >= needed for size in sizes) >= 0.6 * len(sizes)


def test_reclaimable_copies_serve_the_demand_again_after_waves():
    market = Market(ManualClock())
    duty = make_duty(market, tokens=60)
    for zone in ZONES:
        market.reclaim(zone, unavailable_ms=14_000)
        simulate(market, duty, 4_000)
    simulate(market, duty, 30_000)
    classes = [one.machine_class for one in market.list()]
    assert classes.count("reclaimable") == 8
    assert classes.count("on_demand") == 0


def test_fluctuating_load_does_not_cause_repeated_orders_and_releases():
    """Engines with twelve slots serve about 22 requests in progress, drawn at random for each turn.

    Three copies serve 21.6 of them, so the need alternates between three and four. While two zones are
    unavailable, the fourth would be an on-demand copy that boots for four seconds.
    """
    rng = random.Random(1)
    market = Market(ManualClock())
    duty = make_duty(
        market,
        tokens=10,
        service=replace(SERVICE, engine=EngineCapacity(12, 600_000)),
        count_running=lambda: sum(rng.random() < 0.1 for _ in range(220)),
    )
    simulate(market, duty, 20_000)
    for zone in ZONES[:2]:
        market.reclaim(zone, unavailable_ms=math.inf)
    market.orders.clear()
    simulate(market, duty, 60_000)
    counts = defaultdict(list)
    for pool, wanted in market.orders:
        counts[pool].append(wanted)
    for pool in counts:
        rises = sum(after > before for before, after in pairwise(counts[pool]))
        assert rises <= 60_000 / (2 * BOOT_MS), f"{pool} should serve for as long as it boots"


def test_steady_fleet_needs_few_calls():
    market = Market(ManualClock())
    duty = make_duty(market, tokens=60)
    simulate(market, duty, 12_000)
    before = market.calls
    simulate(market, duty, 30_000)
    assert market.calls - before <= 8 * 2, "each pool again after 20 s, no more"


def test_new_holder_with_incomplete_data_releases_nothing_at_once():
    market = Market(ManualClock())
    for zone in ZONES:
        market.add(Pool(zone, ON_DEMAND))
    duty = make_duty(market, tokens=0)
    duty.take_over()
    simulate(market, duty, 3_500)
    assert sum(one.machine_class == "on_demand" for one in market.list()) == 4


def test_on_demand_copies_are_released_at_once_when_reclaimable_ones_serve():
    """At the start of a day, reclaimable copies replace the copies found before the first request."""
    roomy = replace(SERVICE, scaling=replace(SERVICE.scaling, max_copies=15))
    market = Market(ManualClock())
    for zone in ZONES:
        for _ in range(3):
            market.add(Pool(zone, ON_DEMAND))
    duty = make_duty(market, tokens=0, service=roomy)
    simulate(market, duty, BOOT_MS)
    classes = [one.machine_class for one in market.list()]
    assert classes.count("on_demand") >= 10, "nothing replaces them yet"
    simulate(market, duty, 1_000)
    classes = [one.machine_class for one in market.list()]
    assert classes.count("on_demand") == 0


def test_leaving_copies_do_not_count():
    market = Market(ManualClock())
    for zone in ZONES:
        market.add(Pool(zone, RECLAIMABLE))
    leaving = [
        BackendServer(
            one.name, one.zone, one.address, "llm", one.machine_class, state=BackendState.LEAVING
        )
        for one in market.list()
    ]
    market.list = lambda: leaving
    market.unavailable_until_ms = 60_000
    duty = make_duty(market, tokens=60)
    simulate(market, duty, 1_000)
    ordered = [pool for _, pool in market.booting if pool.machine_class is ON_DEMAND]
    assert len(ordered) == count_needed(make_situation(tokens=60))
