import pytest

from hemlockswitch.core.clock import ManualClock
from hemlockswitch.core.errors import ErrorKind, RequestError
from hemlockswitch.process.backends import BackendDirectory
from hemlockswitch.process.news import NewsBoard, NewsItem
from hemlockswitch.request.routing import Need, Router


def make_vm(name, version=1, state="live", **more):
    value = {"name": name, "zone": "marka-hall", "address": "127.0.0.1:1", "serves": "m"}
    return NewsItem(f"vm/{name}", version, value | {"state": state} | more)


@pytest.fixture
def board():
    return NewsBoard()


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
def directory(board, clock):
    return BackendDirectory(board, clock, "marka-hall")


def list_names(directory):
    return [server.name for server in directory.list_servers("m")]


def test_leaving_is_never_unlearned(board, directory):
    heard = []
    directory.add_leaving_listener(lambda name, deadline: heard.append((name, deadline)))
    board.learn(make_vm("a"))
    board.learn(make_vm("b"))
    board.learn(NewsItem("notice/a", 1, {"deadline_wall_ms": 9}))
    board.learn(make_vm("a", version=7))
    assert list_names(directory) == ["b"]
    assert heard == [("a", 9)]


def test_notice_before_the_vm_is_known(board, directory):
    board.learn(NewsItem("notice/a", 1, {"deadline_wall_ms": 9}))
    board.learn(make_vm("a"))
    assert list_names(directory) == []


def test_draining_names_get_no_new_work(board, directory):
    board.learn(make_vm("a"))
    directory.set_draining(["a"])
    assert list_names(directory) == []
    directory.set_draining([])
    assert list_names(directory) == ["a"]


def test_failures_back_off_and_a_success_forgets_them(board, clock, directory):
    board.learn(make_vm("a"))
    directory.end(directory.begin("a"), failed=True)
    assert list_names(directory) == []
    clock.advance(250)
    assert list_names(directory) == ["a"]
    directory.end(directory.begin("a"), failed=True)
    clock.advance(250)
    assert list_names(directory) == []
    clock.advance(250)
    directory.end(directory.begin("a"))
    assert list_names(directory) == ["a"]


def test_router_takes_the_less_busy_server_and_skips_excluded(board, directory):
    board.learn(make_vm("a"))
    board.learn(make_vm("b"))
    router = Router(directory)
    directory.begin("a", 4_000)
    assert router.choose(Need("m")).name == "b"
    assert router.choose(Need("m", exclude=frozenset("b"))).name == "a"
    with pytest.raises(RequestError) as caught:
        router.choose(Need("m", exclude=frozenset("ab")))
    assert caught.value.kind is ErrorKind.NO_BACKEND


def test_router_refuses_early_with_a_time_to_come_back(board, directory):
    board.learn(make_vm("a"))
    for _ in range(100):
        directory.begin("a", 1_000)
    with pytest.raises(RequestError) as caught:
        Router(directory).choose(Need("m"))
    assert caught.value.kind is ErrorKind.OVERLOADED
    assert caught.value.answer.retry_after_ms > 1_000
