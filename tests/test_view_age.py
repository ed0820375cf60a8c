"""The age of a gateway's view of the object service, in its status page, metrics and log lines."""

import pytest
import structlog

from tests.gateway_site import LIMIT_S, Site

GATEWAYS = 4


@pytest.fixture
def site():
    one = Site(gateways=GATEWAYS)
    one.add_runner("app")
    one.wait(lambda: all(gateway.fleet.count_connected() == GATEWAYS for gateway in one.gateways))
    yield one
    one.close()


def test_the_age_of_each_kind_is_reported(site):
    gateway = site.gateways[0]
    assert set(gateway.followed.describe()) == {"config", "servers"}
    ages = gateway.followed.measure_ages()
    assert all(0.0 <= age_ms < 60_000.0 for age_ms in ages.values()), ages
    assert b'hemlock_view_age_seconds{kind="servers"}' in gateway.observer.metrics.render()


def test_the_log_line_of_a_request_has_the_age_of_the_server_list(site):
    with structlog.testing.capture_logs() as lines:
        assert site.ask("/check/1", method="GET").status == 200
        site.wait(lambda: any(line["event"] == "request_ended" for line in lines))
    (ended,) = (line for line in lines if line["event"] == "request_ended")
    assert 0 <= ended["list_age_ms"] < 60_000


def test_the_log_line_of_a_change_has_its_source(site):
    change(
        site, "draining"
    )  # It ends the watches that gateways sent before the watchers were determined.
    stop_own_queries(site)
    with structlog.testing.capture_logs() as lines:
        change(site, "ready")
    sources = [line["source"] for line in lines if line.get("state") == "live"]
    assert sorted(sources) == ["relay", "relay", "watch", "watch"]


def change(site, state):
    """Write the runner's state and wait until every gateway has recorded it."""
    wanted = "leaving" if state == "draining" else "live"
    site.runners[0].write(state)
    site.wait(lambda: all(has_recorded(gateway, wanted) for gateway in site.gateways))


def stop_own_queries(site):
    """Keep the gateways that do not watch from querying the object service themselves.

    On a slow machine one of them may query before the relayed page arrives, which counts as `watch`.
    """
    for gateway in site.gateways:
        if not gateway.followed.watchers.is_watcher():
            for refresher in gateway.followed.refreshers.values():
                refresher._started_ms += LIMIT_S * 1_000


def has_recorded(gateway, wanted):
    return [one.state.value for one in gateway.registry.list_all()] == [wanted]
