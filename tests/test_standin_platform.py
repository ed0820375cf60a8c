"""The platform stand-in, over real HTTP in the test's process."""

import json
from collections.abc import Iterator

import gevent
import pytest
from geventhttpclient.response import HTTPConnectionClosed

from hemlockswitch.connection.http import SingleSendClient
from hemlockswitch.standin.platform import build_application
from hemlockswitch.standin.platform_state import PlatformSettings, PlatformState
from hemlockswitch.standin.server import listen


class Caller:
    def __init__(self, port: int) -> None:
        self._client = SingleSendClient("127.0.0.1", port, concurrency=8, network_timeout=10)

    def call(self, method: str, path: str, body: object = None, **headers: str):
        names = {name.replace("_", "-"): value for name, value in headers.items()}
        sent = b"" if body is None else json.dumps(body).encode()
        response = self._client.request(method, path, body=sent, headers=names)
        text = response.read()
        return response.status_code, json.loads(text) if text else None


@pytest.fixture
def caller() -> Iterator[Caller]:
    state = PlatformState(PlatformSettings(writes_per_s=20, start_ms=0))
    server, _ = listen(build_application(state), "127.0.0.1:0")
    yield Caller(server.server_port)
    server.stop()


def test_conditional_writes_and_watch(caller: Caller) -> None:
    watch = gevent.spawn(caller.call, "GET", "/watch/claims?since=0&wait_ms=10000")
    assert caller.call("PUT", "/objects/claims/p1", 1, If_None_Match="*") == (200, {"version": 1})
    assert caller.call("PUT", "/objects/claims/p1", 2, If_None_Match="*") == (412, {"version": 1})
    assert caller.call("PUT", "/objects/claims/p1", 2, If_Match="1") == (200, {"version": 2})
    assert caller.call("GET", "/objects/claims/p1")[1]["value"] == 2
    status, seen = watch.get(timeout=10)
    assert status == 200 and seen["items"][0]["name"] == "p1"
    assert caller.call("DELETE", "/objects/claims/p1", If_Match="1")[0] == 412
    assert caller.call("DELETE", "/objects/claims/p1", If_Match="2")[0] == 200
    assert caller.call("GET", "/objects/claims/p1")[0] == 404


def test_write_with_lost_answer_takes_effect(caller: Caller) -> None:
    caller.call(
        "POST", "/standin/faults", {"objects": {"lose_answers": 1, "lose_kinds": ["claims"]}}
    )
    assert caller.call("PUT", "/objects/leases/a", 1)[0] == 200
    with pytest.raises(HTTPConnectionClosed):
        caller.call("PUT", "/objects/claims/p1", 1)
    assert caller.call("GET", "/objects/claims/p1")[1]["value"] == 1


def test_stale_reads_and_unavailable_service(caller: Caller) -> None:
    for value in (1, 2):
        caller.call("PUT", "/objects/claims/p1", value)
    caller.call("POST", "/standin/faults", {"objects": {"versions_back": 1}})
    assert caller.call("GET", "/objects/claims/p1")[1]["value"] == 1
    caller.call("POST", "/standin/faults", {"objects": {"mode": "down"}})
    assert caller.call("GET", "/objects/claims/p1")[0] == 503
    assert caller.call("GET", "/vms")[0] == 200


def test_value_size_limit_rate_limit_and_counts(caller: Caller) -> None:
    assert caller.call("PUT", "/objects/claims/p1", "x" * 1_048_574)[0] == 200
    assert caller.call("PUT", "/objects/claims/p1", "x" * 1_048_575)[0] == 413
    codes = [caller.call("PUT", "/objects/k/a", 1, X_Role="entry")[0] for _ in range(80)]
    assert 429 in codes
    calls = caller.call("GET", "/standin/stats")[1]["calls"]
    assert calls["by_role"]["entry"]["write"] == 80


def test_starts_reclaims_and_max_running_count(caller: Caller) -> None:
    place = {"zone": "a", "machine_class": "reclaimable"}
    live = {"name": "v1", "address": "127.0.0.1:1", "serves": "m", **place}
    spare = {"name": "v2", "address": "127.0.0.1:2", "state": "spare", **place}
    caller.call("POST", "/standin/vms", {"vms": [live, spare]})
    start = {"serves": "m", "token": "t", **place}
    status, started = caller.call("POST", "/cloud/vms", start)
    assert (status, started["name"]) == (201, "v2")
    assert caller.call("POST", "/cloud/vms", start)[1]["name"] == "v2"
    assert caller.call("POST", "/cloud/vms", {**start, "token": "u"})[0] == 503
    caller.call("POST", "/standin/reclaim", {"zone": "a", "notice_ms": 50})
    notices = caller.call("GET", "/cloud/notices?zone=a&since=0&wait_ms=1000")[1]
    assert [notice["vm"] for notice in notices["notices"]] == ["v1", "v2"]
    with gevent.Timeout(10):
        while caller.call("GET", "/vms?zone=a")[1]["vms"]:
            gevent.sleep(0.02)
    assert caller.call("GET", "/standin/stats")[1]["cloud"]["most_running"] == {"m": 2}
