"""The planner starts enough copies for the latency target, no more, and never exceeds the licence."""

import pytest

from hemlockswitch.process.copies.planner import (
    Copy,
    Demand,
    Place,
    Planner,
    Target,
    compute_late_share,
    plan_excess_stops,
)
from hemlockswitch.version.machine_class import MachineClass

RECLAIMABLE = MachineClass.RECLAIMABLE
TARGET = Target("assistant-llm", latency_ms=830, slots=8, min_copies=1, licensed=6)


def make_place(zone, price=1.0, rate=0.1, machine_class=RECLAIMABLE):
    return Place(zone, machine_class, price, rate)


PLACES = [make_place(zone) for zone in ("abdoun-hall", "khalda-hall", "marka-hall")]


def make_copies(places, staying=True):
    return [Copy(f"llm-{number}", place, staying) for number, place in enumerate(places)]


def test_late_share_never_rises_with_more_copies():
    shares = [compute_late_share(copies, Demand(busy=20), TARGET) for copies in range(1, 7)]
    assert shares == sorted(shares, reverse=True)


@pytest.mark.parametrize("busy, copies", [(0, 1), (4, 1), (10, 2), (16, 3), (1000, 6)])
def test_starts_the_smallest_number(busy, copies):
    demand = Demand(busy=busy, holding_ms=1_000)
    plan = Planner(TARGET, replace_ms=10_000).plan([], PLACES, demand, demand)
    assert len(plan.starts) == copies


def test_leaving_copy_still_uses_a_licence():
    demand = Demand(busy=1000)
    copies = make_copies(PLACES, staying=False) + make_copies(PLACES[:2])
    plan = Planner(TARGET, 10_000).plan(copies, PLACES, demand, demand)
    assert len(plan.starts) == 1


def test_frequent_waves_spread_copies_over_zones_and_add_a_spare():
    demand = Demand(busy=12, holding_ms=1_000)
    often = [make_place(place.zone, rate=60) for place in PLACES]
    plan = Planner(TARGET, 30_000).plan([], often, demand, demand)
    assert len({place.zone for place in plan.starts}) == 3
    assert len(plan.starts) > 2


def test_cheap_place_is_chosen_unless_it_is_reclaimed_too_often():
    demand = Demand(busy=3)
    cheap = make_place("abdoun-hall", price=0.5)
    dear = make_place("khalda-hall", price=1.0)
    steady = make_place("khalda-hall", price=1.0, machine_class=MachineClass.ON_DEMAND)
    often = make_place("abdoun-hall", price=0.9, rate=200)
    assert Planner(TARGET, 30_000).plan([], [dear, cheap], demand, demand).starts == (cheap,)
    assert Planner(TARGET, 30_000).plan([], [often, steady], demand, demand).starts == (steady,)


def test_shrinks_by_one_only_after_the_peak_has_passed():
    copies = make_copies([*PLACES, make_place("sweileh-hall", price=2.0)])
    calm, busy = Demand(busy=3), Demand(busy=25)
    planner = Planner(TARGET, 10_000)
    assert planner.plan(copies, PLACES, calm, busy).stops == ()
    assert planner.plan(copies, PLACES, calm, calm).stops == ("llm-3",)


def test_never_shrinks_below_the_minimum():
    target = Target("assistant-llm", 830, slots=8, min_copies=3, licensed=6)
    calm = Demand(busy=0)
    assert Planner(target, 10_000).plan(make_copies(PLACES), PLACES, calm, calm).stops == ()


def test_reduced_licence_stops_the_most_expensive_copy():
    copies = make_copies([make_place("marka-hall", price=3.0), *PLACES])
    target = Target("assistant-llm", 830, slots=8, min_copies=1, licensed=3)
    assert plan_excess_stops(copies, target) == ("llm-0",)
