"""Backend servers that ask a gateway for rest: they turn a request away with 503 and a time in `Retry-After`.

Guards against requests that reach a server within the time for which it has asked the gateway to send none: no
gateway read the time, and a server that turns requests away at once looked like one with nothing to do.
"""

import gevent
import pytest

from tests.gateway_site import Site

FEW = 12
"""Number of requests after which each of four servers has got one, if it may get any."""
REST = "3"


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


# Guards against requests that reach a server within the time for which it has asked a gateway for rest.
def test_server_gets_no_request_from_a_gateway_that_it_has_asked_for_rest(site):
    runners = [site.add_runner("app", work_ms=5) for _ in range(4)]
    ask_for_rest(site, runners[0])
    before = len(runners[0].state.arrivals)
    replies = send_some(site)
    assert (len(runners[0].state.arrivals) - before, {one.status for one in replies}) == (0, {200})
