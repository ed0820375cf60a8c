"""Backend servers that ask a gateway for rest: they turn a request away with 503 and a time in `Retry-After`.

Guards against requests that reach a server within the time for which it has asked the gateway to send none: no
gateway read the time, and a server that turns requests away at once looked like one with nothing to do.
"""

import random
import time
from email.utils import formatdate

import gevent
import pytest
from hypothesis import given
from hypothesis import strategies as st

from hemlockswitch.core.clock import ManualClock
from hemlockswitch.process.gateway.server_rests import (
    KEPT_MS,
    MAX_REST_MS,
    MAX_SERVERS,
    MAX_SPREAD_MS,
    TRIAL_MS,
    ServerRests,
)
from tests.gateway_site import Site, tokens
from tests.server_links import REFUSE, ServerLinks

FEW = 12
"""Number of requests after which each of four servers has got one, if it may get any."""
REST = "3"
AT_ONCE_S = 0.3


@pytest.fixture
def site():
    one = Site(gateways=2)
    yield one
    one.close()


def ask_for_rest(site, runner, rest=REST, gateway=0):
    """Send requests until the runner has turned one of a gateway away, and asked it for rest."""
    runner.fail(decline=True, retry_after=rest)
    before = len(runner.state.arrivals)
    site.wait(lambda: site.ask("/check/x", gateway=gateway) and len(runner.state.arrivals) > before)


def send_some(site, path="/check/x", gateway=0, **headers):
    """Send requests in quick succession and return their replies."""
    sends = []
    for _ in range(FEW):
        sends.append(gevent.spawn(site.ask, path, gateway=gateway, **headers))
        gevent.sleep(0.01)
    gevent.joinall(sends, timeout=10)
    return [one.get() for one in sends]


def cut_first_gateway(site):
    """Cut the first gateway off from the servers, and wait until it sends over the others."""
    site.wait(lambda: all(one.fleet.count_connected() == 2 for one in site.gateways))
    links = ServerLinks()
    links.attach(site.gateways[0])
    links.cut(site.gateways[0], REFUSE)
    site.wait(
        lambda: site.ask("/check/x", body=site.make_id().encode()).status == 200
        and site.gateways[0].reachability.isolation.is_isolated
    )


# Guards against requests that reach a server within the time for which it has asked a gateway for rest.
def test_server_gets_no_request_from_a_gateway_that_it_has_asked_for_rest(site):
    runners = [site.add_runner("app", work_ms=5) for _ in range(4)]
    ask_for_rest(site, runners[0])
    before = len(runners[0].state.arrivals)
    replies = send_some(site)
    assert (len(runners[0].state.arrivals) - before, {one.status for one in replies}) == (0, {200})


def test_rest_given_as_a_date_counts_as_well(site):
    runners = [site.add_runner("app", work_ms=5) for _ in range(4)]
    ask_for_rest(site, runners[0], rest=formatdate(time.time() + 30, usegmt=True))
    before = len(runners[0].state.arrivals)
    send_some(site)
    assert len(runners[0].state.arrivals) == before


def test_streams_of_a_model_leave_a_resting_server_alone(site):
    runners = [site.add_runner("llm", event_ms=2) for _ in range(3)]
    site.ask("/reply/x", **tokens(5))
    asked = next(
        one for one in runners if one.state.arrivals
    )  # has the prompt's parts in its cache
    asked.fail(decline=True, retry_after=REST)
    assert site.ask("/reply/x", **tokens(5)).status == 200
    before = len(asked.state.arrivals)
    replies = send_some(site, "/reply/x", **tokens(5))
    assert len(asked.state.arrivals) == before
    assert [(one.status, one.is_whole) for one in replies] == [(200, True)] * FEW


# Guards against a caller that waits in vain, or is told to return before any server takes requests.
def test_caller_is_refused_at_once_with_the_end_of_the_first_rest_if_all_servers_rest(site):
    runners = [site.add_runner("app", work_ms=5) for _ in range(2)]
    for runner in runners:
        ask_for_rest(site, runner, rest="30")
    began_s = time.monotonic()
    reply = site.ask("/hold/x")
    assert time.monotonic() - began_s < AT_ONCE_S
    assert reply.status == 503
    assert reply.body.startswith(b"overloaded: every backend server of service app wants")
    assert 20 < float(reply.headers["retry-after"]) <= 31


def test_request_waits_for_the_end_of_a_short_rest(site):
    runner = site.add_runner("app", work_ms=5)
    runner.fail(count=1, decline=True, retry_after="0.1")
    site.ask("/check/x")
    assert site.ask("/hold/x").status == 200


# Guards against requests in a rest to a server whose entry was lost and is registered again.
def test_rest_outlives_the_registry_entry(site):
    runners = [site.add_runner("app", work_ms=5) for _ in range(3)]
    ask_for_rest(site, runners[0], rest="30")
    gateway = site.gateways[0]
    site.store.remove("servers", runners[0].name)
    site.wait(lambda: len(gateway.registry.list_all()) == 2)
    runners[0].write("ready", sequence=2)
    site.wait(lambda: len(gateway.registry.list_all()) == 3)
    before = len(runners[0].state.arrivals)
    send_some(site)
    assert len(runners[0].state.arrivals) == before


def test_server_gets_requests_again_after_its_rest(site):
    runners = [site.add_runner("app", work_ms=5) for _ in range(2)]
    ask_for_rest(site, runners[0], rest="0.5")
    runners[0].fail()
    before = len(runners[0].state.arrivals)
    site.wait(lambda: site.ask("/check/x") and len(runners[0].state.arrivals) > before + 3)
    assert site.gateways[0].statements.rests.describe() == []


def test_status_page_shows_who_rests(site):
    runner = site.add_runner("app", work_ms=5)
    ask_for_rest(site, runner)
    (rest,) = site.gateways[0].statements.rests.describe()
    assert (rest["server"], rest["source"]) == (runner.name, "own")
    assert 2_000 < rest["left_ms"] <= 4_000


@pytest.mark.parametrize("value", ["0", "-5", "soon", ""])
def test_values_that_state_no_rest(site, value):
    runner = site.add_runner("app", work_ms=5)
    runner.fail(count=1, decline=True, retry_after=value)
    site.ask("/hold/x")
    assert site.gateways[0].statements.rests.describe() == []


# Guards against a gateway that sends to a server whose rest it only passed on through a tunnel.
def test_gateway_that_a_tunnel_leads_through_lets_the_server_rest_too():
    site = Site(gateways=2)
    try:
        runners = [site.add_runner("app", work_ms=5) for _ in range(3)]
        cut_first_gateway(site)
        ask_for_rest(site, runners[0], rest="30", gateway=0)
        rests = site.gateways[1].statements.rests
        site.wait(lambda: not rests.may_send(runners[0].name))
        before = len(runners[0].state.arrivals)
        assert {one.status for one in send_some(site, gateway=1)} == {200}
        assert {one.status for one in send_some(site, gateway=0)} == {200}
        assert len(runners[0].state.arrivals) == before
    finally:
        site.close()


# Guards against a cut gateway that sends to a resting server through the gateway that was asked for rest.
def test_gateways_with_a_tunnel_learn_of_a_rest_that_its_host_was_asked_for():
    site = Site(gateways=2)
    try:
        runners = [site.add_runner("app", work_ms=5) for _ in range(3)]
        cut_first_gateway(site)
        for _ in range(3):
            send_some(site, gateway=0)
        ask_for_rest(site, runners[0], rest="30", gateway=1)
        cut, host = site.gateways
        site.wait(
            lambda: not cut.statements.rests.may_send(runners[0].name)
            or not host.links.host.list_users(runners[0].name)
        )
        before = len(runners[0].state.arrivals)
        assert {one.status for one in send_some(site, gateway=0)} == {200}
        assert len(runners[0].state.arrivals) == before
    finally:
        site.close()


class TestRests:
    """The decisions, without a network."""

    def make(self, seed=1):
        clock = ManualClock()
        return ServerRests(clock, random.Random(seed)), clock

    def test_earlier_end_does_not_shorten_a_rest(self):
        rests, clock = self.make()
        rests.record("s1", 5_000, "own")
        rests.record("s1", 100, "own")
        clock.advance(4_900)
        assert not rests.may_send("s1")

    def test_long_rest_is_cut(self):
        rests, clock = self.make()
        rests.record("s1", 86_400_000, "own")
        clock.advance(MAX_REST_MS + MAX_SPREAD_MS)
        assert rests.may_send("s1")

    # Guards against all waiting requests of a gateway that reach a server at the end of its rest.
    def test_one_request_at_a_time_after_a_rest_until_one_is_accepted(self):
        rests, clock = self.make()
        rests.record("s1", 1_000, "own")
        clock.advance(2_000)
        rests.record_sent("s1")
        assert not rests.may_send("s1")
        rests.record_answered("s1", clock.now_ms(), was_declined=True)
        assert rests.may_send("s1")
        rests.record_sent("s1")
        clock.advance(TRIAL_MS)
        assert rests.may_send("s1")
        rests.record_sent("s1")
        assert rests.record_answered("s1", clock.now_ms(), was_declined=False)
        rests.record_sent("s1")
        assert rests.may_send("s1")

    def test_answer_to_an_earlier_request_does_not_end_a_rest(self):
        rests, clock = self.make()
        rests.record("s1", 1_000, "own")
        assert not rests.record_answered("s1", clock.now_ms(), was_declined=False)
        assert not rests.may_send("s1")

    def test_gateways_return_at_different_times(self):
        ends = []
        for seed in range(20):
            rests, _ = self.make(seed)
            rests.record("s1", 3_000, "own")
            ends.append(rests.describe()[0]["left_ms"])
        assert min(ends) >= 3_000
        assert max(ends) - min(ends) > 300

    def test_ended_rests_are_discarded(self):
        rests, clock = self.make()
        rests.record("s1", 1_000, "own")
        clock.advance(10_000)
        rests.remove_ended()
        assert len(rests._rests) == 1
        clock.advance(KEPT_MS)
        rests.remove_ended()
        assert len(rests._rests) == 0

    def test_memory_is_bounded(self):
        rests, _ = self.make()
        for number in range(MAX_SERVERS + 10):
            rests.record(f"s{number}", 1_000, "own")
        assert len(rests._rests) == MAX_SERVERS

    @given(
        st.lists(
            st.tuples(
                st.sampled_from(["decline", "accept", "ask", "wait"]),
                st.floats(1, 20_000, allow_nan=False),
            ),
            max_size=60,
        ),
        st.integers(0, 1_000),
    )
    def test_no_order_of_answers_lets_a_request_into_a_rest(self, steps, seed):
        rests, clock = self.make(seed)
        stated_until_ms = -1.0
        for step, value_ms in steps:
            if step == "wait":
                clock.advance(value_ms)
            elif step == "ask":
                rests.record("s1", value_ms, "own")
                stated_until_ms = max(stated_until_ms, clock.now_ms() + value_ms)
            else:
                sent_ms = max(clock.now_ms() - value_ms, 0.0)
                rests.record_answered("s1", sent_ms, was_declined=step == "decline")
            if rests.may_send("s1"):
                assert clock.now_ms() >= stated_until_ms
                rests.record_sent("s1")
        clock.advance(20_000 + MAX_SPREAD_MS)
        assert rests.may_send("s1")
