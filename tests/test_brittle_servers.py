"""Backend servers that fall over when they have to turn away too many requests.

Guards against servers that say so and get as many requests as any other: a fall moves their work to the
remaining servers, which fall too.
"""

import time

import gevent
import pytest

from hemlockswitch.standin.runner_models import RunnerRoom
from tests.gateway_site import Site

GATEWAYS, RUNNERS = 9, 6
SLOTS, USUAL_ROOM, BRITTLE_ROOM = 2, 8, 1
MAX_REJECTIONS = "3"
WORK_MS = 200.0
STABLE_S = 3.0
"""Time after the first statement from which a brittle server lets fewer requests wait."""
REQUESTS_PER_S = 30
BURST_S, BURST_FACTOR = 1.0, 2
ALLOWED_FALLS = 2 + RUNNERS / 10
ALLOWED_LOSS = 0.05
"""Allowed difference of the share of served requests from that of servers that never fall over."""


class Callers:
    """Callers of a plain service that send each request once, to the gateways in turn."""

    def __init__(self, site):
        self.replies = []
        self._site = site
        self._sent = 0

    def send_for(self, length_s, per_s):
        """Send requests at a steady rate, every other second at a higher one."""
        sends = []
        began_s = time.monotonic()
        while (passed_s := time.monotonic() - began_s) < length_s:
            is_burst = int(passed_s / BURST_S) % 2
            sends.append(gevent.spawn(self._send, self._sent % GATEWAYS))
            self._sent += 1
            gevent.sleep(1 / (per_s * (BURST_FACTOR if is_burst else 1)))
        gevent.joinall(sends, timeout=10)

    def _send(self, gateway):
        request_id = self._site.make_id()
        reply = self._site.ask("/hold/x", request_id, body=request_id.encode(), gateway=gateway)
        self.replies.append(reply)

    def measure_served(self):
        """Return the share of the requests that were served."""
        return sum(reply.status == 200 for reply in self.replies) / len(self.replies)


@pytest.fixture
def site():
    one = Site(gateways=GATEWAYS)
    for _ in range(RUNNERS):
        runner = one.add_runner("app", work_ms=WORK_MS)
        runner.write("ready", slots=SLOTS)
        runner.state.room = RunnerRoom(slots=SLOTS, waiting=USUAL_ROOM)
    one.wait(lambda: all(gateway.fleet.count_connected() == GATEWAYS for gateway in one.gateways))
    yield one
    one.close()


def set_room(site, waiting, max_rejections=MAX_REJECTIONS):
    """Let some requests wait at all runners, which are brittle unless `max_rejections` is empty."""
    room = RunnerRoom(slots=SLOTS, waiting=waiting, max_rejections=max_rejections)
    for runner in site.runners:
        runner.state.room = room


def test_brittle_servers_do_not_fall_over_one_after_the_other(site):
    sturdy, callers = Callers(site), Callers(site)
    set_room(site, BRITTLE_ROOM, max_rejections="")
    sturdy.send_for(8, REQUESTS_PER_S)
    set_room(site, USUAL_ROOM)
    Callers(site).send_for(STABLE_S, REQUESTS_PER_S)
    set_room(site, BRITTLE_ROOM)
    callers.send_for(8, REQUESTS_PER_S)
    falls = sum(len(runner.falls) for runner in site.runners)
    assert falls <= ALLOWED_FALLS
    assert callers.measure_served() >= sturdy.measure_served() - ALLOWED_LOSS
