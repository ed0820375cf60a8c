"""Orders and releases of copies at a first start and after a takeover.

The load patterns are those of the sites: the copies found run at the full price, no requests arrive for
some seconds, and the list of servers is still incomplete.
"""

import math
from dataclasses import replace

from hemlockswitch.core.clock import ManualClock
from hemlockswitch.process.gateway.copies_plan import (
    Pool,
    plan_copies,
)
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


def test_nothing_is_ordered_before_the_registry_is_complete():
    market = Market(ManualClock(), is_listed=False)
    duty = make_duty(market, tokens=0)
    simulate(market, duty, 2_000)
    assert market.calls == 0


def add_on_demand(market, per_zone):
    for zone in ZONES:
        for _ in range(per_zone):
            market.add(Pool(zone, ON_DEMAND))


def test_reclaimable_copies_are_ordered_once_most_servers_are_listed():
    """At a first start, the copies found run at the full price until reclaimable copies serve."""
    market = Market(ManualClock(), is_listed=False)
    duty = make_duty(market, tokens=0)
    add_on_demand(market, per_zone=1)
    simulate(market, duty, 1_000)
    assert market.calls == 0
    market.is_mostly_listed = True
    simulate(market, duty, 1_000)
    assert {pool.machine_class for pool, _ in market.orders} == {RECLAIMABLE}
    assert len(market.orders) == len(ZONES), "each pool once"


def test_initial_orders_grow_as_servers_register():
    market = Market(ManualClock(), is_listed=False, is_mostly_listed=True)
    duty = make_duty(market, tokens=0)
    add_on_demand(market, per_zone=1)
    simulate(market, duty, 500)
    add_on_demand(market, per_zone=1)
    simulate(market, duty, 500)
    counts = [wanted for pool, wanted in market.orders if pool.zone == "z1"]
    assert counts == sorted(counts)


def test_no_early_orders_if_reclaimable_copies_are_registered():
    """After a restart of all gateways, the number of reclaimable copies is not known yet."""
    market = Market(ManualClock(), is_listed=False, is_mostly_listed=True)
    duty = make_duty(market, tokens=0)
    market.add(Pool("z1", RECLAIMABLE))
    market.add(Pool("z2", ON_DEMAND))
    simulate(market, duty, 2_000)
    assert market.calls == 0


def test_full_zone_gets_reclaimable_copies_as_soon_as_it_has_room():
    """With at most three copies per zone, the copies found leave room only once they are released."""
    found = {Pool(zone, ON_DEMAND): 2 for zone in ZONES}
    wanted = plan_copies(make_situation(live=found, tokens=100))
    assert {wanted[Pool(zone, RECLAIMABLE)] for zone in ZONES} == {1}
    fewer = {Pool(zone, ON_DEMAND): 1 for zone in ZONES}
    wanted = plan_copies(make_situation(live=fewer, tokens=100))
    assert {wanted[Pool(zone, RECLAIMABLE)] for zone in ZONES} == {2}


def test_most_of_a_large_fleet_is_retained_until_demand_is_measured():
    """Start of a day at the grown sites: 30 copies, no requests yet, then 250 per second."""
    large = replace(SERVICE, scaling=replace(SERVICE.scaling, max_copies=15))
    live = {Pool(zone, ON_DEMAND): 8 for zone in ZONES}
    market = Market(ManualClock())
    for pool, number in live.items():
        for _ in range(number):
            market.add(pool)
    duty = make_duty(market, tokens=0, service=large)
    simulate(market, duty, 20_000)
    assert len(market.servers) >= 0.85 * 32


def test_ordered_copies_do_not_count_as_found():
    """At a small site the prior rose from 3 to 4 because it counted ordered copies, and the second copy
    of each zone was released just as a wave of reclaims began."""
    market = Market(ManualClock())
    for zone in ("z1", "z2", "z3", "z4", "z1", "z3"):
        market.add(Pool(zone, ON_DEMAND))
    roomy = replace(SERVICE, scaling=replace(SERVICE.scaling, max_copies=6))
    duty = make_duty(market, tokens=0, service=roomy)
    simulate(market, duty, 12_000)
    classes = [one.machine_class for one in market.list()]
    assert classes.count("reclaimable") == 12, "enough for the six copies found"


def test_repeated_takeovers_do_not_raise_the_orders():
    """When all gateways are killed, the new holder finds the copies that its predecessor ordered."""
    roomy = replace(SERVICE, scaling=replace(SERVICE.scaling, max_copies=6))
    market = Market(ManualClock())
    for zone in ZONES:
        market.add(Pool(zone, RECLAIMABLE))
        market.add(Pool(zone, RECLAIMABLE))
    market.add(Pool("z2", ON_DEMAND))
    duty = make_duty(market, tokens=0, service=roomy)
    for _ in range(3):
        duty.take_over()
        simulate(market, duty, 6_000)
    classes = [one.machine_class for one in market.list()]
    assert classes.count("reclaimable") == 8
    assert classes.count("on_demand") == 0


def test_on_demand_copies_are_released_once_all_that_fit_beside_them_serve():
    """At a first start, on-demand copies take up half of the places.

    Fewer copies fit beside them than the reserve that allows their immediate release, so each of them was
    paid for four seconds longer than needed.
    """
    market = Market(ManualClock())
    for zone, found in zip(ZONES, (12, 11, 11, 11), strict=True):
        for _ in range(found):
            market.add(Pool(zone, ON_DEMAND))
    scaling = replace(SERVICE.scaling, max_copies=23)
    service = replace(SERVICE, engine=EngineCapacity(32, 600_000), scaling=scaling)
    duty = make_duty(market, tokens=0, service=service)
    market.is_listed, market.is_mostly_listed = False, True
    simulate(market, duty, 2 * BOOT_MS)
    market.is_listed = True
    simulate(market, duty, 500)
    classes = [one.machine_class for one in market.list()]
    assert classes.count("on_demand") == 0
    assert classes.count("reclaimable") >= 39
    simulate(market, duty, BOOT_MS + 1_000)
    assert len(market.servers) == 80, "reclaimable copies use the released places"


def test_new_holder_releases_no_copies_before_demand_is_measured():
    """All gateways were killed during a wave of reclaims, while on-demand copies serve the demand."""
    market = Market(ManualClock())
    for zone in ZONES:
        for _ in range(3):
            market.add(Pool(zone, ON_DEMAND))
        market.add(Pool(zone, RECLAIMABLE))
    scaling = replace(SERVICE.scaling, max_copies=15)
    duty = make_duty(market, 0, replace(SERVICE, scaling=scaling))
    simulate(market, duty, 10_000)
    duty.take_over()
    before = len(market.servers)
    simulate(market, duty, 2_500)
    assert len(market.servers) == before


def test_found_copies_are_retained_while_a_zone_is_unavailable():
    market = Market(ManualClock())
    for zone in ZONES:
        for _ in range(11):
            market.add(Pool(zone, ON_DEMAND))
    scaling = replace(SERVICE.scaling, max_copies=23)
    service = replace(SERVICE, engine=EngineCapacity(32, 600_000), scaling=scaling)
    duty = make_duty(market, tokens=0, service=service)
    market.reclaim(ZONES[0], unavailable_ms=math.inf)
    simulate(market, duty, BOOT_MS + 1_000)
    classes = [one.machine_class for one in market.list()]
    assert len(classes) >= 38
