"""The time until all gateways of a fleet detect a leaving server, in simulated time and with faults.

Guards against requests to servers that have left. Servers leave while watchers of zones are cut off from the
object service, gateways stop, messages between them are lost, and the list of servers changes all the time.
Two seconds after the service has the change, no gateway connected to it may send new requests to such a
server, and opening a connection takes up to half a second of that time.
"""

import pytest

from tests.freshness_fleet import CONFIG, SERVERS, FreshnessFleet

DETECTION_MS = 1_500.0
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
    ):  # A change ends the watches that gateways sent before the watchers were determined.
        fleet.store.put(SERVERS, "new", "ready")
        fleet.store.put(CONFIG, "main", None)
        fleet.run(2_000)
    return fleet


def assert_detected(fleet, name):
    """Check that every connected gateway detects in time that a server leaves."""
    fleet.run(DETECTION_MS)
    assert fleet.find_unaware(name) == []


def leave(fleet, number):
    """Let a server leave, with a changed or a removed entry, and return its name."""
    name = STABLE[number]
    if number % 2:
        fleet.store.remove(SERVERS, name)
    else:
        fleet.store.put(SERVERS, name, "draining")
    return name


def list_zone(fleet, zone):
    return [one for one in fleet.gateways.values() if one.zone == zone]


@pytest.mark.parametrize(("zones", "in_zone"), SIZES)
def test_the_calls_of_a_fleet_without_faults_do_not_grow_with_its_size(zones, in_zone):
    fleet = make_fleet(zones, in_zone)
    before = fleet.store.calls
    fleet.run(10_000)
    calls = fleet.store.calls - before
    fleet.close()
    followed_kinds = 2
    watches = 2 * zones * followed_kinds  # ended watches, which wait for 25 s
    assert calls <= 10 * 2 * followed_kinds + watches, f"{calls} calls in ten seconds"


# Guards against requests to servers that left, where a zone relies on watchers that are cut off.
@pytest.mark.parametrize(("zones", "in_zone"), [(1, 6), (5, 12)])
def test_a_zone_with_stalled_watchers_detects_a_leaving_server_in_time(zones, in_zone):
    fleet = make_fleet(zones, in_zone)
    fleet.silence(list_zone(fleet, "z0")[:2])
    fleet.run(2_000)
    assert_detected(fleet, leave(fleet, 0))
    fleet.close()


@pytest.mark.parametrize("seed", range(1, 5))
@pytest.mark.parametrize(("zones", "in_zone"), SIZES)
def test_every_connected_gateway_detects_a_leaving_server_in_time(zones, in_zone, seed):
    fleet = make_fleet(zones, in_zone, seed, lost=0.03)
    play_faults(fleet)
    fleet.close()


def play_faults(fleet):
    """Let servers leave one after another, with a random fault before each."""
    rng = fleet.rng
    task = fleet.keep_changing(CHANGING, rng.choice([150.0, 400.0, 1_500.0]))
    for number in range(len(STABLE)):
        draw_fault(fleet)
        fleet.run(rng.uniform(200, 2_500))
        assert_detected(fleet, leave(fleet, number))
    task.kill()


def draw_fault(fleet):
    """Cut gateways off from the service, connect them again, or kill a gateway."""
    rng = fleet.rng
    living = [one for one in fleet.gateways.values() if one.lives]
    fault = rng.choice(["silence", "watchers", "heal", "kill"])
    if fault == "silence":
        fleet.silence(rng.sample(living, len(living) // 2))
    elif fault == "watchers":
        zone = rng.choice(living).zone
        fleet.silence([one for one in living if one.zone == zone][:2])
    elif fault == "heal":
        fleet.heal()
    elif len(living) > 2:
        fleet.kill(rng.choice(living))
