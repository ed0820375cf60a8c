"""What a gateway tells of the age of its knowledge: status page, metrics, and lines."""

import pytest
import structlog

from tests.gateway_site import LIMIT_S, Site

GATEWAYS = 4


@pytest.fixture
def site():
    one = Site(gateways=GATEWAYS)
    one.add_runner("app")
    one.wait(lambda: all(gateway.fleet.count_in_touch() == GATEWAYS for gateway in one.gateways))
    yield one
    one.close()


def test_the_age_of_each_kind_is_told(site):
    gateway = site.gateways[0]
    assert set(gateway.followed.describe()) == {"config", "servers"}
    ages = gateway.followed.measure_ages()
    assert all(0.0 <= age_ms < 60_000.0 for age_ms in ages.values()), ages
    assert b'hemlock_view_age_seconds{kind="servers"}' in gateway.observer.metrics.render()


def test_a_request_tells_on_which_knowledge_its_server_was_chosen(site):
    with structlog.testing.capture_logs() as lines:
        assert site.ask("/check/1", method="GET").status == 200
        site.wait(lambda: any(line["event"] == "request_ended" for line in lines))
    (ended,) = (line for line in lines if line["event"] == "request_ended")
    assert 0 <= ended["list_age_ms"] < 60_000


def test_a_learned_change_tells_by_which_way_it_came(site):
    change(
        site, "draining"
    )  # Watches that the others sent before they knew the watchers end with it.
    stop_own_queries(site)
    with structlog.testing.capture_logs() as lines:
        change(site, "ready")
    sources = [line["source"] for line in lines if line.get("state") == "live"]
    assert sorted(sources) == ["relay", "relay", "watch", "watch"]


def change(site, state):
    """Write the runner's state and wait until every gateway knows it."""
    wanted = "leaving" if state == "draining" else "live"
    site.runners[0].write(state)
    site.wait(lambda: all(knows(gateway, wanted) for gateway in site.gateways))


def stop_own_queries(site):
    """Keep the gateways that don't watch from asking the object service themselves.

    On a slow machine one of them may ask before the relayed page comes; that counts as `watch`.
    """
    for gateway in site.gateways:
        if not gateway.followed.watchers.is_watcher():
            for keeper in gateway.followed.keepers.values():
                keeper._started_ms += LIMIT_S * 1_000


def knows(gateway, wanted):
    return [one.state.value for one in gateway.registry.list_all()] == [wanted]
