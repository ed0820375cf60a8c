"""Calls to the object service that were made in the last moments of a silent outage.

Their answers are lost with the connection, and a watch among them hangs for 28 s after the service is back.
Changes of that time would remain unknown: requests to servers that left, and an older configuration.
"""

import gevent
import pytest

from tests.gateway_site import Site, make_manifest
from tests.test_stalled_watchers import lists

GATEWAYS = 4
OUTAGE_S = (0.05, 0.6, 2.0)
"""Lengths from a few calls that are lost up to several failed queries of each gateway."""


@pytest.fixture
def site():
    one = Site(gateways=GATEWAYS)
    one.add_runner("app")
    one.add_runner("app")
    one.wait(lambda: all(gateway.fleet.count_connected() == GATEWAYS for gateway in one.gateways))
    yield one
    one.close()


def lose_all_watches(site, outage_s):
    """Let the service be silent to all gateways, and end their watches so that each makes a new one."""
    for gateway in site.gateways:
        site.silence(gateway)
    site.store.put("config", "main", make_manifest(version=2))
    site.runners[1].write("ready", cold_left_ms=1)
    gevent.sleep(outage_s)
    for gateway in site.gateways:
        site.unsilence(gateway)


@pytest.mark.parametrize("outage_s", OUTAGE_S)
def test_changes_after_a_silent_outage_are_received_though_its_last_calls_hang(site, outage_s):
    lose_all_watches(site, outage_s)
    site.store.put("config", "main", make_manifest(version=3))
    site.runners[0].write("draining")
    site.wait(lambda: all(one.tables.current.revision == 3 for one in site.gateways))
    site.wait(lambda: not any(lists(one, site.runners[0]) for one in site.gateways))
