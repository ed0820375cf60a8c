"""The platform client, tested against a stand-in of the platform in the test's process."""

from collections.abc import Iterator
from dataclasses import dataclass

import pytest

from hemlockswitch.connection.platform import PlatformClient
from hemlockswitch.connection.stored_objects import Conflict, Unknown, Written
from hemlockswitch.core.errors import ErrorKind, PlatformError
from hemlockswitch.standin.platform import build_application
from hemlockswitch.standin.platform_faults import ServiceFaults
from hemlockswitch.standin.platform_state import PlatformSettings, PlatformState
from hemlockswitch.standin.platform_vms import StandinVm
from hemlockswitch.standin.server import listen


@dataclass
class Bench:
    state: PlatformState
    client: PlatformClient


@pytest.fixture
def bench() -> Iterator[Bench]:
    state = PlatformState(PlatformSettings(start_ms=0))
    server, address = listen(build_application(state), "127.0.0.1:0")
    yield Bench(state, PlatformClient(address, "entry", "a", timeout_ms=200))
    server.stop()


def test_writes_return_written_or_conflict(bench: Bench) -> None:
    assert bench.client.create("claims", "p1", {"a": 1}) == Written(1)
    assert bench.client.create("claims", "p1", {"a": 1}) == Conflict(1)
    assert bench.client.update("claims", "p1", {"a": 2}, 1) == Written(2)
    assert bench.client.update("claims", "p1", {"a": 3}, 1) == Conflict(2)
    assert bench.client.read("claims", "p1").value == {"a": 2}
    assert bench.client.read("claims", "p2") is None
    assert [item.name for item in bench.client.list("claims", "p").items] == ["p1"]
    assert bench.client.watch("claims", 1, 1_000).version == 2
    assert bench.client.delete("claims", "p1", 2) == Written(3)


def test_write_with_lost_answer_is_unknown_and_sent_once(bench: Bench) -> None:
    bench.state.object_faults = ServiceFaults(lose_answers=1)
    assert isinstance(bench.client.create("claims", "p1", 1), Unknown)
    assert bench.state.counts.by_role["entry"]["write"] == 1


def test_calls_are_refused_immediately_after_a_timeout(bench: Bench) -> None:
    bench.state.object_faults = ServiceFaults(mode="silent")
    assert isinstance(bench.client.create("claims", "p1", 1), Unknown)
    calls = bench.state.counts.by_role["entry"].total()
    for _ in range(20):
        with pytest.raises(PlatformError) as raised:
            bench.client.create("claims", "p1", 1)
        assert raised.value.kind is ErrorKind.PLATFORM_UNAVAILABLE
        assert raised.value.answer.retry_after_ms > 0
    assert bench.state.counts.by_role["entry"].total() == calls
    assert bench.client.list_vms().vms == ()


def test_refused_connection_is_an_error(bench: Bench) -> None:
    client = PlatformClient("127.0.0.1:1", "entry", "a")
    with pytest.raises(PlatformError):
        client.create("claims", "p1", 1)


def test_vms_are_started_reclaimed_and_stopped(bench: Bench) -> None:
    bench.state.vms.register(StandinVm("v1", "a", "127.0.0.1:1", state="spare"))
    started = bench.client.start_vm("a", "m", "reclaimable", "t")
    assert bench.client.start_vm("a", "m", "reclaimable", "t").name == started.name == "v1"
    with pytest.raises(PlatformError) as raised:
        bench.client.start_vm("a", "m", "reclaimable", "u")
    assert raised.value.kind is ErrorKind.OVERLOADED
    bench.state.vms.reclaim(["v1"], None, 60_000)
    page = bench.client.watch_notices("a", 0, 1_000)
    assert [notice.vm for notice in page.notices] == ["v1"] and page.number == 1
    assert bench.client.stop_vm("v1") and not bench.client.stop_vm("v9")
