"""Backend servers that state a rate limit for all gateways together.

Guards against servers that state a limit and get the requests of one that does not: no gateway read the
field, and the servers of a service got their usual share from all gateways. A division of the limit by
the number of gateways exceeds it too, as each gateway may send a first request.
"""

import math
import time

import gevent
import pytest

from hemlockswitch.connection.backend_pool import BackendPool
from tests.gateway_site import Site, tokens
from tests.limit_checks import Arrival, Statement, Told, find_excesses

WORK_MS = 20.0
LENGTH_S = 9.0


@pytest.fixture
def site():
    one = Site(gateways=9)
    yield one
    one.close()


class Callers:
    """Callers that send requests to the gateways in turn."""

    def __init__(self, site, path, **headers):
        self.gateways = {}
        self.replies = []
        self._site = site
        self._path = path
        self._headers = headers

    def send_for(self, length_s, per_s):
        """Send requests at a steady rate, and wait for the replies."""
        sends = []
        for number in range(int(length_s * per_s)):
            sends.append(gevent.spawn(self._send, number))
            gevent.sleep(1 / per_s)
        gevent.joinall(sends, timeout=10)

    def _send(self, number):
        gateway = number % len(self._site.gateways)
        request_id = self._site.make_id()
        self.gateways[request_id] = gateway
        self.replies.append(
            self._site.ask(self._path, request_id, gateway=gateway, **self._headers)
        )

    def list_arrivals(self, runner):
        """Return the arrivals at a runner."""
        return [
            Arrival(at_ms, self.gateways[request_id]) for at_ms, request_id in runner.state.arrivals
        ]


def find_told(arrivals, statement):
    """Return when the gateways passed on the answers of a runner that is limited from a time on."""
    return [
        Told(one.at_ms + WORK_MS, one.gateway, statement.limit_per_s)
        for one in arrivals
        if one.at_ms >= statement.from_ms
    ]


def limit_runner(runner, limit):
    """Let a runner state a limit from now on, and return the statement."""
    runner.state.rate_limit = limit
    return Statement(time.monotonic() * 1_000, float(limit))


def check_bound(callers, runner, statement):
    """Fail if the runner got more from the gateways that it had told than its limit allows."""
    arrivals = callers.list_arrivals(runner)
    told = find_told(arrivals, statement)
    unlimited = Statement(-math.inf, math.inf)
    assert find_excesses(arrivals, told, [unlimited, statement]) == []


def test_limited_model_server_gets_no_more_than_its_limit_from_all_gateways(site):
    runners = [site.add_runner("llm", work_ms=WORK_MS) for _ in range(4)]
    callers = Callers(site, "/reply/x", **tokens(3))
    callers.send_for(2, per_s=12)
    limited = max(runners, key=lambda one: len(one.state.arrivals))
    statement = limit_runner(limited, "1")
    callers.send_for(LENGTH_S, per_s=12)
    check_bound(callers, limited, statement)
    assert [one.status for one in callers.replies if one.status != 200] == []


def test_plain_servers_that_are_all_limited_get_no_more_than_their_limits(site):
    runners = [site.add_runner("app", work_ms=WORK_MS) for _ in range(4)]
    callers = Callers(site, "/check/x")
    callers.send_for(2, per_s=14)
    statements = [limit_runner(runner, "1.3") for runner in runners]
    callers.send_for(LENGTH_S, per_s=14)
    for runner, statement in zip(runners, statements, strict=True):
        check_bound(callers, runner, statement)
    refused = [one for one in callers.replies if one.status != 200]
    assert {one.status for one in refused} <= {503}
    assert all(float(one.headers["retry-after"]) > 0 for one in refused)


# Guards against a request to a server that stated its limit while the request's connection was opened.
def test_server_that_becomes_limited_while_a_connection_is_opened_gets_no_request(monkeypatch):
    site = Site(gateways=1)
    runner = site.add_runner("app")
    gateway = site.gateways[0]
    server = gateway.registry.list_ready("app")[0]
    open_connection = BackendPool.open

    def open_while_limited(pool, *args, **kwargs):
        gateway.permits.record_answer(server, 0.0, sent_ms=0.0)
        return open_connection(pool, *args, **kwargs)

    monkeypatch.setattr(BackendPool, "open", open_while_limited)
    try:
        reply = site.ask("/hold/x")
        assert reply.status == 503
        assert runner.state.arrivals == []
    finally:
        site.close()


def test_caller_is_refused_at_once_with_the_time_of_the_next_permit():
    site = Site(gateways=2)
    runner = site.add_runner("app", work_ms=WORK_MS)
    try:
        site.wait(lambda: all(one.fleet.count_connected() == 2 for one in site.gateways))
        runner.state.rate_limit = "0.5"
        site.ask("/check/x", gateway=0)
        site.wait(lambda: all(one.permits.limits.has_limited for one in site.gateways))
        began_s = time.monotonic()
        reply = site.ask("/hold/x", gateway=1)
        assert reply.status == 503
        assert reply.body.startswith(b"overloaded: every backend server of service app")
        assert 0 < float(reply.headers["retry-after"]) <= 4
        assert time.monotonic() - began_s < 1
        assert len(runner.state.arrivals) == 1
        runner.state.rate_limit = ""
        site.wait(lambda: site.ask("/check/x", gateway=1).status == 200)
        site.wait(lambda: not any(one.permits.limits.has_limited for one in site.gateways))
        assert [site.ask("/hold/x", gateway=number % 2).status for number in range(6)] == [200] * 6
    finally:
        site.close()
