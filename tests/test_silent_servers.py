"""Backend servers that fall silent for a second or so and go on.

Guards against verdicts of a crash, requests that run twice and streams that break off because of a short silence.
"""

import time

import gevent
import pytest

from tests.gateway_site import Site, count_runs, make_events, tokens

SILENCE_S = 1.2
SETTLE_S = 0.3
MAX_HELD = 0.25
"""Allowed share of the requests sent during the silence that wait for its end."""
EVENTS = 60
AT_MOST_ONCE = ("/hold/x", "/draft/x")
KINDS = {"/hold/x": {}, "/check/x": {}, "/draft/x": tokens(EVENTS), "/reply/x": tokens(EVENTS)}


@pytest.fixture
def site():
    one = Site(gateways=2)
    for service in ("app", "llm"):
        for _ in range(3):
            one.add_runner(service, work_ms=20, event_ms=10)
    yield one
    one.close()


def test_silent_servers_lose_no_request_and_are_back_at_once(site):
    replies = {}

    def ask(path, gateway):
        request_id = site.make_id()
        sent_s = time.monotonic()
        reply = site.ask(path, request_id, body=request_id.encode(), gateway=gateway, **KINDS[path])
        replies[request_id] = (path, reply, sent_s, time.monotonic() - sent_s)

    def send_for(length_s):
        asked = []
        for number in range(int(length_s * 40)):
            asked.append(gevent.spawn(ask, list(KINDS)[number % 4], number // 4 % 2))
            gevent.sleep(1 / 40)
        return asked

    asked = send_for(0.5)
    silent = [
        max(of_service, key=lambda one: len(one.state.arrivals))
        for of_service in (site.runners[:3], site.runners[3:])
    ]
    silent_s = time.monotonic()
    for runner in silent:
        runner.state.goes_on.clear()
    asked += send_for(SILENCE_S)
    for runner in silent:
        runner.state.goes_on.set()
    went_on_s = time.monotonic()
    asked += send_for(1.5)
    gevent.joinall(asked)

    assert [one.guard.counts.ends for one in site.gateways] == [0, 0]
    assert all(one.quarantine.is_empty for one in site.gateways)
    for request_id, (path, reply, _, _) in replies.items():
        assert (reply.status, reply.is_whole) == (200, True), path
        if path in ("/draft/x", "/reply/x"):
            assert reply.body == make_events(request_id, EVENTS)
        assert count_runs(site.runners, request_id) == 1 or path not in AT_MOST_ONCE
    plain = [one for one in replies.values() if one[0] in ("/hold/x", "/check/x")]
    sent = [one for one in plain if silent_s < one[2] < went_on_s - SETTLE_S]
    held = [one for one in sent if one[2] + one[3] > went_on_s]
    assert len(held) <= MAX_HELD * len(sent), "new requests go to the other servers meanwhile"
    for runner in silent:
        later = [at_ms for at_ms, _ in runner.state.arrivals if at_ms / 1_000 > went_on_s]
        assert later, "the server gets requests again"
