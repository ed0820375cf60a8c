"""How soon a whole fleet knows that a server leaves, in simulated time, with faults on every way.

The pattern: servers leave while watchers of zones hear nothing, gateways end, messages between them are lost,
and the list of servers changes all the time. Every gateway in touch with the object service must send
nothing new to such a server two seconds after the service's word, and making a connection takes up to half
a second of that.
"""

import pytest

from tests.freshness_fleet import CONFIG, SERVERS, FreshnessFleet

LEARNED_MS = 1_500.0
STABLE = [f"s{number}" for number in range(8)]
CHANGING = [f"c{number}" for number in range(12)]
SIZES = [(1, 2), (4, 2), (5, 12)]


def make_fleet(zones, in_zone, seed=1, lost=0.0):
    fleet = FreshnessFleet(zones, in_zone, seed, lost)
    for name in STABLE + CHANGING:
        fleet.store.put(SERVERS, name, "ready")
    fleet.start()
    fleet.run(10_000)
    for _ in range(
        2
    ):  # The watches that gateways sent before they knew the watchers end with a change.
        fleet.store.put(SERVERS, "new", "ready")
        fleet.store.put(CONFIG, "main", None)
        fleet.run(2_000)
    return fleet


def assert_learned(fleet, name):
    """Check that every gateway in touch knows in time that a server leaves."""
    fleet.run(LEARNED_MS)
    assert fleet.find_unaware(name) == []


def leave(fleet, number):
    """Let a server leave, with or without a word before its entry goes, and return its name."""
    name = STABLE[number]
    if number % 2:
        fleet.store.remove(SERVERS, name)
    else:
        fleet.store.put(SERVERS, name, "draining")
    return name


def list_zone(fleet, zone):
    return [one for one in fleet.gateways.values() if one.zone == zone]


@pytest.mark.parametrize(("zones", "in_zone"), SIZES)
def test_a_calm_fleet_asks_little_whatever_its_size(zones, in_zone):
    fleet = make_fleet(zones, in_zone)
    before = fleet.store.calls
    fleet.run(10_000)
    calls = fleet.store.calls - before
    fleet.close()
    followed_kinds = 2
    watches = 2 * zones * followed_kinds  # that end, as they wait for 25 s
    assert calls <= 10 * 2 * followed_kinds + watches, f"{calls} calls in ten seconds"


# Guards against requests to servers that left, where a zone relies on watchers that hear nothing.
@pytest.mark.parametrize(("zones", "in_zone"), [(1, 6), (5, 12)])
def test_a_zone_whose_watchers_are_deaf_learns_in_time(zones, in_zone):
    fleet = make_fleet(zones, in_zone)
    fleet.silence(list_zone(fleet, "z0")[:2])
    fleet.run(2_000)
    assert_learned(fleet, leave(fleet, 0))
    fleet.close()


@pytest.mark.parametrize("seed", range(1, 5))
@pytest.mark.parametrize(("zones", "in_zone"), SIZES)
def test_every_gateway_in_touch_learns_in_time_whatever_happens(zones, in_zone, seed):
    fleet = make_fleet(zones, in_zone, seed, lost=0.03)
    play_faults(fleet)
    fleet.close()


def play_faults(fleet):
    """Let servers leave in series while things go wrong."""
    chance = fleet.chance
    task = fleet.keep_changing(CHANGING, chance.choice([150.0, 400.0, 1_500.0]))
    for number in range(len(STABLE)):
        draw_fault(fleet)
        fleet.run(chance.uniform(200, 2_500))
        assert_learned(fleet, leave(fleet, number))
    task.kill()


def draw_fault(fleet):
    """Silence the service for some, let it be back, or end a gateway."""
    chance = fleet.chance
    living = [one for one in fleet.gateways.values() if one.lives]
    fault = chance.choice(["silence", "watchers", "heal", "kill"])
    if fault == "silence":
        fleet.silence(chance.sample(living, len(living) // 2))
    elif fault == "watchers":
        zone = chance.choice(living).zone
        fleet.silence([one for one in living if one.zone == zone][:2])
    elif fault == "heal":
        fleet.heal()
    elif len(living) > 2:
        fleet.kill(chance.choice(living))
