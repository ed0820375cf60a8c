"""Gateways that are cut off from all backend servers, while callers and the other gateways reach them.

Guards against callers of such gateways being refused although the other gateways reach every server.
"""

import time
from collections import Counter
from dataclasses import dataclass

import gevent
import pytest

from tests.gateway_site import Site, count_runs, tokens
from tests.server_links import HANG, REFUSE, RESET, ServerLinks

GATEWAYS, CUT = 9, 3
REQUESTS_PER_S = 24
STABLE_S = 3.0
"""Time after a cut from which callers of a cut gateway are served as often as the others."""
ALLOWED_DIFFERENCE = 0.03
KINDS = {
    "/hold/x": {},
    "/check/x": {},
    "/draft/x": tokens(20),
    "/reply/x": tokens(20),
}
AT_MOST_ONCE = ("/hold/x", "/draft/x")
NOT_RUN_STATUSES = (429, 503)


@dataclass
class Call:
    """A caller's request and its reply."""

    request_id: str
    path: str
    gateway: int
    sent_s: float
    status: int = 0
    is_whole: bool = False
    took_s: float = 0.0


class Callers:
    """Callers that send each request once, to the gateways in turn."""

    def __init__(self, site):
        self.calls = []
        self._site = site

    def send_for(self, length_s, per_s=REQUESTS_PER_S):
        """Send requests at a steady rate, and wait for the replies."""
        sends = []
        paths = list(KINDS)
        for number in range(int(length_s * per_s)):
            gateway = number % len(self._site.gateways)
            path = paths[(number // len(self._site.gateways)) % len(paths)]
            sends.append(gevent.spawn(self._send, path, gateway))
            gevent.sleep(1 / per_s)
        gevent.joinall(sends, timeout=10)

    def _send(self, path, gateway):
        call = Call(self._site.make_id(), path, gateway, time.monotonic())
        self.calls.append(call)
        body = call.request_id.encode()
        reply = self._site.ask(path, call.request_id, body=body, gateway=gateway, **KINDS[path])
        call.status, call.is_whole = reply.status, reply.is_whole
        call.took_s = time.monotonic() - call.sent_s

    def list_sent(self, from_s, until_s, gateways):
        """Return the requests sent to some gateways in a span of time."""
        return [
            call
            for call in self.calls
            if from_s <= call.sent_s < until_s and call.gateway in gateways
        ]


def measure_served(calls):
    """Return the share of the requests that were served at the first attempt."""
    return sum(call.status == 200 and call.is_whole for call in calls) / len(calls)


def check_runs(callers, runners):
    """Fail if a request that may run only once ran twice, or one that was refused as not run ran."""
    for call in callers.calls:
        runs = count_runs(runners, call.request_id)
        assert runs <= 1 or call.path not in AT_MOST_ONCE, call
        assert not runs or call.status not in NOT_RUN_STATUSES, call


@pytest.fixture
def site():
    one = Site(gateways=GATEWAYS)
    for service in ("app", "llm"):
        for _ in range(4):
            one.add_runner(service, work_ms=20)
    one.wait(lambda: all(gateway.fleet.count_connected() == GATEWAYS for gateway in one.gateways))
    yield one
    one.close()


# Guards against refusals at gateways whose links hang, are reset, or refuse only new connections.
def test_callers_of_cut_gateways_are_served_as_often_as_the_others(site):
    links = ServerLinks()
    callers = Callers(site)
    for gateway in site.gateways:
        links.attach(gateway)
    callers.send_for(2)
    cut_s = time.monotonic()
    for gateway, kind in zip(site.gateways, (HANG, RESET, REFUSE), strict=False):
        links.cut(gateway, kind)
    callers.send_for(9)
    restored_s = time.monotonic()
    for gateway in site.gateways[:CUT]:
        links.restore(gateway)
    callers.send_for(3)
    cut = callers.list_sent(cut_s + STABLE_S, restored_s, range(CUT))
    others = callers.list_sent(cut_s, restored_s, range(CUT, GATEWAYS))
    later = callers.list_sent(restored_s, time.monotonic(), range(GATEWAYS))
    failed = Counter((call.gateway, call.status) for call in cut + others if call.status != 200)
    assert measure_served(cut) >= measure_served(others) - ALLOWED_DIFFERENCE, failed
    assert measure_served(others) >= 1 - ALLOWED_DIFFERENCE, failed
    assert measure_served(later) >= 1 - ALLOWED_DIFFERENCE
    check_runs(callers, site.runners)
