"""Backend servers that state in their answers that they leave.

Guards against a server that gets requests from a gateway that has passed on an answer in which the server
states that it leaves: no gateway read the field, and the registry's entry stayed as it was.
"""

import gevent
import pytest

from tests.gateway_site import Site, tokens

FEW = 12
"""Number of requests after which each of four servers has got one, if it may get any."""


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
