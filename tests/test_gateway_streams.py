"""Streams through a gateway over real sockets: complete or visibly truncated, resumed, or abandoned."""

import gevent
import pytest

from tests.gateway_site import Site, count_runs, make_events, make_request, tokens


@pytest.fixture
def site():
    one = Site()
    yield one
    one.close()


@pytest.fixture
def engines(site):
    return [site.add_runner("llm"), site.add_runner("llm")]


def test_stream_is_relayed_complete(site, engines):
    reply = site.ask("/draft/x", "id-1", **tokens(12))
    assert (reply.status, reply.is_whole) == (200, True)
    assert reply.body == make_events("id-1", 12)


def test_truncated_stream_does_not_appear_complete(site, engines):
    for engine in engines:
        engine.fail(cut_after_events=5)
    reply = site.ask("/draft/x", "id-1", **tokens(12))
    assert not reply.is_whole
    assert count_runs(engines, "id-1") == 1


# Guards against a stand-in that states its limit in framed answers only, so that it seems to have ended.
def test_stand_in_ends_a_stream_without_framing(site, engines):
    for engine in engines:
        engine.fail(unframed=True)
        engine.state.rate_limit = "50"
    reply = site.ask("/draft/x", "id-1", **tokens(12))
    assert reply.body == make_events("id-1", 12)
    assert reply.headers["server-limit"] == "50"
    for engine in engines:
        engine.fail(unframed=True, cut_after_events=5)
    assert not site.ask("/draft/x", "id-2", **tokens(12)).is_whole


def test_resumable_stream_continues_on_another_server(site, engines):
    for engine in engines:
        engine.fail(cut_after_events=5, count=1)
    engines[1].fail()
    engines[0].fail(cut_after_events=5)
    reply = site.ask("/reply/x", "id-1", **tokens(12))
    assert reply.is_whole
    assert reply.body == make_events("id-1", 12)


def test_caller_resumes_a_stream(site, engines):
    reply = site.ask("/reply/x", "id-1", Last_Event_Id="7", **tokens(12))
    assert reply.body == make_events("id-1", 12, first=8)


def test_disconnected_caller_cancels_the_request(site):
    engine = site.add_runner("llm", event_ms=30)
    with site.connect() as connection:
        connection.sendall(make_request("/draft/x", "id-1", **tokens(200)))
        assert connection.recv(100)
    site.wait(lambda: engine.state.abandoned == ["id-1"])


@pytest.mark.parametrize("path", ["/check/x", "/reply/x", "/hold/x"])
def test_request_of_a_disconnected_caller_is_not_repeated(site, path):
    runners = [site.add_runner(service, work_ms=300) for service in ("app", "app", "llm", "llm")]
    with site.connect() as connection:
        connection.sendall(make_request(path, "id-1", **tokens(20)))
        site.wait(lambda: count_runs(runners, "id-1") == 1)
    gevent.sleep(0.6)
    assert count_runs(runners, "id-1") == 1
    rates = [
        candidate.failure_rate
        for service in ("app", "llm")
        for candidate in site.gateways[0].loads.build_candidates(
            site.gateways[0].registry.list_ready(service), None
        )
    ]
    assert rates == [0.0] * 4, "the disconnect does not count as a failure of the servers"
