"""Watchers of a zone that are cut off from the object service without an error, while other gateways are not.

If the service does not answer some gateways, their watches stall, and no call fails before the watch's own
time-out of 28 s. The other gateways of the zone rely on these watchers meanwhile. They would send requests to
servers that left seconds ago, use a configuration whose keys have been revoked, or miss a rollout order.
"""

import gevent
import pytest

from tests.gateway_site import Site, make_manifest

GATEWAYS = 6
FLAP_S = 0.15
"""Time between two changes of another server: too short for a repair that waits until the list is stable."""


@pytest.fixture
def site():
    one = Site(gateways=GATEWAYS, rollout_share=0.1, rollout_slack=50)
    one.add_runner("app")
    one.add_runner("app")
    one.wait(lambda: all(gateway.fleet.count_connected() == GATEWAYS for gateway in one.gateways))
    one.wait(lambda: all(gateway.followed.has_all_servers() for gateway in one.gateways))
    one.wait(lambda: len(find_watchers(one)) == 2)
    change_everything(one)
    one.wait(lambda: all(map(uses_watchers, find_other_gateways(one))))
    yield one
    one.close()


def find_watchers(site):
    return [gateway for gateway in site.gateways if gateway.followed.watchers.is_watcher()]


def find_other_gateways(site):
    return [gateway for gateway in site.gateways if gateway not in find_watchers(site)]


def uses_watchers(gateway):
    """Return whether a gateway uses the zone's watchers for every kind of objects."""
    return all(watch._uses_watchers for watch in gateway.followed._watches.values())


def change_everything(site):
    """Change each kind, to end the watches that gateways sent before the watchers were determined."""
    site.store.put("config", "main", make_manifest(version=2))
    site.runners[0].write("ready", cold_left_ms=1)
    put_order(site, "v2")
    site.wait(lambda: all(has_order(gateway, "v2") for gateway in site.gateways))
    site.wait(lambda: all(gateway.tables.current.revision == 2 for gateway in site.gateways))


def put_order(site, target):
    order = {"service": "app", "to": target, "duration_s": 60}
    site.store.put("rollouts", "app", order)


def has_order(gateway, target):
    return any(one.order.target == target for one in gateway.rollouts.list_open())


def lists(gateway, runner):
    return any(one.name == runner.name for one in gateway.registry.list_ready("app"))


def silence_watchers(site):
    """Cut the zone's watchers off from the object service, and return the other gateways."""
    watchers = find_watchers(site)
    for gateway in watchers:
        site.silence(gateway)
    return [gateway for gateway in site.gateways if gateway not in watchers]


def flap(runner):
    """Change a server's entry every `FLAP_S` seconds."""
    number = 0
    while True:
        number += 1
        runner.write("draining" if number % 2 else "ready")
        gevent.sleep(FLAP_S)


def test_a_leaving_server_is_detected_while_the_watchers_are_stalled(site):
    connected = silence_watchers(site)
    site.runners[0].write("draining")
    site.wait(lambda: not any(lists(gateway, site.runners[0]) for gateway in connected))


# Guards against requests to servers that left, where a zone relies on stalled watchers and the list is
# never stable for long enough to compare complete lists.
def test_a_leaving_server_is_detected_though_the_list_changes_all_the_time(site):
    connected = silence_watchers(site)
    task = gevent.spawn(flap, site.runners[1])
    site.runners[0].write("draining")
    try:
        site.wait(lambda: not any(lists(gateway, site.runners[0]) for gateway in connected))
    finally:
        task.kill()


def test_a_configuration_is_received_while_the_watchers_are_stalled(site):
    connected = silence_watchers(site)
    site.store.put("config", "main", make_manifest(version=3))
    site.wait(lambda: all(gateway.tables.current.revision == 3 for gateway in connected))


def test_a_rollout_order_is_received_while_the_watchers_are_stalled(site):
    connected = silence_watchers(site)
    put_order(site, "v3")
    site.wait(lambda: all(has_order(gateway, "v3") for gateway in connected))
