"""Backend servers that state in their answers that they leave.

Guards against a server that gets requests from a gateway that has passed on an answer in which the server
states that it leaves: no gateway read the field, and the registry's entry stayed as it was.
"""

import time

import gevent
import pytest

from hemlockswitch.connection.backend_pool import BackendPool
from tests.gateway_site import Site, tokens
from tests.server_links import ServerLinks

FEW = 12
"""Number of requests after which each of four servers has got one, if it may get any."""
AT_ONCE_S = 0.3


@pytest.fixture
def site():
    one = Site(gateways=2)
    yield one
    one.close()


def learn_of_leaving(site, runner, path="/check/x", gateway=0, **headers):
    """Send requests until a gateway has passed on an answer in which the runner states that it leaves."""
    runner.state.is_leaving = True
    site.wait(lambda: "server-leaving" in site.ask(path, gateway=gateway, **headers).headers)


def send_some(site, path="/check/x", gateway=0, **headers):
    """Send requests in quick succession and return their replies."""
    sends = []
    for _ in range(FEW):
        sends.append(gevent.spawn(site.ask, path, gateway=gateway, **headers))
        gevent.sleep(0.01)
    gevent.joinall(sends, timeout=10)
    return [one.get() for one in sends]


def count_new(runner, before):
    """Return how many requests have arrived since there were `before` arrivals."""
    return len(runner.state.arrivals) - before


# Guards against requests that reach a server after the answer by which the gateway knew that it leaves.
def test_server_gets_no_request_from_a_gateway_that_passed_on_that_it_leaves(site):
    runners = [site.add_runner("app", work_ms=5) for _ in range(4)]
    for gateway in site.gateways:
        site.silence(gateway)
    learn_of_leaving(site, runners[0])
    before = len(runners[0].state.arrivals)
    replies = send_some(site)
    assert (count_new(runners[0], before), {one.status for one in replies}) == (0, {200})


# Guards against a leaving server that gets work again because its entry still says that it is ready.
def test_newer_heartbeats_and_a_returned_entry_do_not_overrule_an_answer(site):
    runners = [site.add_runner("app", work_ms=5) for _ in range(4)]
    learn_of_leaving(site, runners[0])
    before = len(runners[0].state.arrivals)
    runners[0].write("ready", sequence=2)
    assert {one.status for one in send_some(site)} == {200}
    site.store.remove("servers", runners[0].name)
    gateway = site.gateways[0]
    site.wait(lambda: runners[0].name not in [one.name for one in gateway.registry.list_all()])
    runners[0].write("ready", sequence=3)
    site.wait(lambda: runners[0].name in [one.name for one in gateway.registry.list_all()])
    assert {one.status for one in send_some(site)} == {200}
    assert count_new(runners[0], before) == 0


def test_streams_leave_the_server_and_the_one_that_said_so_goes_on(site):
    runners = [site.add_runner("llm", event_ms=20) for _ in range(3)]
    runners[0].state.is_leaving = True
    replies = send_some(site, "/reply/x", **tokens(30))
    assert [(one.status, one.is_whole) for one in replies] == [(200, True)] * FEW
    before = len(runners[0].state.arrivals)
    assert any("server-leaving" in one.headers for one in replies)
    send_some(site, "/reply/x", **tokens(3))
    assert count_new(runners[0], before) == 0


# Guards against a server whose only word is in the answers to requests that it turned away.
def test_an_answer_that_turns_a_request_away_counts(site):
    runners = [site.add_runner("app", work_ms=5) for _ in range(4)]
    runners[0].fail(decline=True)
    runners[0].state.is_leaving = True
    leaving = site.gateways[0].registry.list_stated_leaving
    site.wait(lambda: site.ask("/check/x").status == 200 and leaving() == [runners[0].name])
    before = len(runners[0].state.arrivals)
    send_some(site)
    assert count_new(runners[0], before) == 0


def test_the_other_gateways_learn_of_it(site):
    runners = [site.add_runner("app", work_ms=5) for _ in range(4)]
    site.wait(lambda: all(one.fleet.count_connected() == 2 for one in site.gateways))
    learn_of_leaving(site, runners[0], gateway=0)
    site.wait(lambda: site.gateways[1].registry.list_stated_leaving() == [runners[0].name])
    before = len(runners[0].state.arrivals)
    send_some(site, gateway=1)
    assert count_new(runners[0], before) == 0


def test_requests_are_refused_at_once_if_all_servers_leave(site):
    runners = [site.add_runner("app", work_ms=5) for _ in range(2)]
    for runner in runners:
        learn_of_leaving(site, runner)
    began_s = time.monotonic()
    reply = site.ask("/hold/x")
    assert reply.status == 503
    assert float(reply.headers["retry-after"]) > 0
    assert time.monotonic() - began_s < AT_ONCE_S


@pytest.mark.parametrize("value, is_leaving", [("0", False), ("", True), ("yes", True)])
def test_values_other_than_one(site, value, is_leaving):
    runner = site.add_runner("app", work_ms=5)
    runner.state.leaving_value = value
    runner.state.is_leaving = True
    assert site.ask("/check/x").status == 200
    assert (site.ask("/check/x").status == 503) is is_leaving


# Guards against a server that takes over an address, and speaks for the server that had it before.
def test_answer_of_another_server_at_the_address_says_nothing_about_the_expected_one(site):
    runner = site.add_runner("app", work_ms=5)
    runner.state.settings = runner.state.settings.model_copy(update={"name": "another"})
    runner.state.is_leaving = True
    assert site.ask("/hold/x").status == 503
    assert site.gateways[0].registry.list_stated_leaving() == []


# Guards against a request that is sent after the server's word, as it waited for its connection meanwhile.
def test_server_that_leaves_while_a_connection_is_opened_gets_no_request(site, monkeypatch):
    runner = site.add_runner("app")
    gateway = site.gateways[0]
    open_connection = BackendPool.open

    def open_while_leaving(pool, *args, **kwargs):
        gateway.registry.record_leaving(runner.name, "own")
        return open_connection(pool, *args, **kwargs)

    monkeypatch.setattr(BackendPool, "open", open_while_leaving)
    assert site.ask("/hold/x").status == 503
    assert runner.state.arrivals == []


# Guards against a gateway that sends to a server whose word it only passed on through a tunnel.
def test_gateway_that_a_tunnel_leads_through_learns_of_it_as_well():
    site = Site(gateways=2)
    try:
        runners = [site.add_runner("app", work_ms=5) for _ in range(3)]
        site.wait(lambda: all(one.fleet.count_connected() == 2 for one in site.gateways))
        links = ServerLinks()
        links.attach(site.gateways[0])
        links.cut(site.gateways[0], "refuse")
        site.wait(
            lambda: site.ask("/check/x", body=site.make_id().encode()).status == 200
            and site.gateways[0].reachability.isolation.is_isolated
        )
        learn_of_leaving(site, runners[0], gateway=0)
        site.wait(lambda: site.gateways[1].registry.list_stated_leaving() == [runners[0].name])
        before = len(runners[0].state.arrivals)
        assert {one.status for one in send_some(site, gateway=0)} == {200}
        assert {one.status for one in send_some(site, gateway=1)} == {200}
        assert count_new(runners[0], before) == 0
    finally:
        site.close()
