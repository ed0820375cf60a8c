"""Orders to an engine: fencing number, refusal, and the permit check just before the write."""

import json

import pytest
from gevent.pywsgi import WSGIServer

from hemlockswitch.connection.orders import (
    EngineState,
    OrderAccepted,
    OrderClient,
    OrderNotPermittedError,
    OrderStale,
    WantedState,
)
from hemlockswitch.core.errors import BackendError

DRAINED = WantedState(("assistant-llm",), state=EngineState.DRAINED)


class FakeEngine:
    """An engine that accepts orders with fencing number 5 and above."""

    def __init__(self):
        self.orders = []
        self.server = WSGIServer(("127.0.0.1", 0), self.answer, log=None, error_log=None)
        self.server.start()
        self.address = f"127.0.0.1:{self.server.server_port}"

    def answer(self, environ, start_response):
        order = json.loads(environ["wsgi.input"].read())
        is_stale = order["fencing"] < 5
        start_response("409 Conflict" if is_stale else "200 OK", [])
        if is_stale:
            return [b'{"error": "stale_fencing", "highest": 5}']
        self.orders.append(order)
        return [b"{}"]


@pytest.fixture
def engine():
    fake = FakeEngine()
    yield fake
    fake.server.stop()


def test_order_contains_the_complete_state(engine):
    answer = OrderClient().send_order(engine.address, 7, DRAINED, lambda: None)
    assert answer == OrderAccepted()
    wanted = {"models": ["assistant-llm"], "role": "mixed", "state": "drained"}
    assert engine.orders == [{"fencing": 7, "wanted": wanted}]


def test_stale_fencing_number_is_refused_with_the_highest(engine):
    assert OrderClient().send_order(engine.address, 4, DRAINED, lambda: None) == OrderStale(5)


def test_order_is_not_written_without_a_permit(engine):
    def refuse():
        raise RuntimeError("lapsed")

    with pytest.raises(OrderNotPermittedError):
        OrderClient().send_order(engine.address, 7, DRAINED, refuse)
    assert engine.orders == []


def test_unreachable_engine_is_an_error(engine):
    engine.server.stop()
    with pytest.raises(BackendError):
        OrderClient().read_load(engine.address)
    assert not OrderClient().is_reachable(engine.address)
