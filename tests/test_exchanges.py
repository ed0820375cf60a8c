"""Failed exchanges with a backend server report the stage that they had reached."""

import gevent
import pytest
from gevent import socket
from gevent.server import StreamServer

from hemlockswitch.connection.backends import BackendCall, BackendClient, BackendExchange
from hemlockswitch.connection.exchange_errors import ExchangeError, Stage
from hemlockswitch.core.errors import ErrorKind, Ran, RequestError

HEAD = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n"
CALL = BackendCall("POST", "/x", b"body")


@pytest.fixture
def serve():
    servers = []

    def start(answer: bytes, hold_s: float = 0):
        def handle(connection, _):
            connection.recv(65_536)
            connection.sendall(answer)
            gevent.sleep(hold_s)
            connection.close()

        server = StreamServer(("127.0.0.1", 0), handle)
        server.start()
        servers.append(server)
        return f"127.0.0.1:{server.server_port}"

    yield start
    for server in servers:
        server.stop(timeout=0)


def find_closed_port():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{probe.getsockname()[1]}"


def test_complete_answer_is_returned(serve):
    answer = BackendClient().call(serve(HEAD + b"done"), CALL, 5_000)
    assert (answer.status, answer.body) == (200, b"done")


def test_refused_connection_is_before_send():
    with pytest.raises(ExchangeError) as raised:
        BackendClient().call(find_closed_port(), CALL, 5_000)
    assert raised.value.stage is Stage.BEFORE_SEND
    assert raised.value.answer.ran is Ran.NO


def test_injected_headers_are_never_sent(serve):
    call = BackendCall("GET", "/x", headers={"X-Request-Id": "a\r\nX-Other: b"})
    with pytest.raises(RequestError) as raised:
        BackendClient().call(serve(HEAD + b"done"), call, 5_000)
    assert raised.value.kind is ErrorKind.BAD_REQUEST


@pytest.mark.parametrize(
    ("answer", "stage"),
    [
        (b"", Stage.AFTER_SEND),
        (HEAD[:20], Stage.AFTER_SEND),
        (HEAD + b"do", Stage.DURING_ANSWER),
        (b"HTTP/1.1 200 OK\r\n\r\nno length", Stage.DURING_ANSWER),
        (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ndo", Stage.DURING_ANSWER),
        (b"nonsense\r\n\r\n", Stage.AFTER_SEND),
    ],
)
def test_incomplete_or_malformed_answer_has_unknown_outcome(serve, answer, stage):
    with pytest.raises(ExchangeError) as raised:
        BackendClient().call(serve(answer), CALL, 5_000)
    assert raised.value.stage is stage
    assert raised.value.answer.ran is Ran.UNKNOWN


def test_time_out_after_send(serve):
    with pytest.raises(ExchangeError) as raised:
        BackendClient().call(serve(b"", hold_s=5), CALL, 100)
    assert raised.value.stage is Stage.AFTER_SEND


def test_interruption_reaches_a_waiting_reader(serve):
    exchange = BackendExchange.open(serve(HEAD, hold_s=5), CALL)
    gevent.spawn_later(0.05, exchange.interrupt, KeyError("stop"))
    exchange.read_head()
    with pytest.raises(KeyError):
        exchange.read()
    exchange.close()


def test_interruption_before_a_read_is_raised_by_the_read(serve):
    exchange = BackendExchange.open(serve(HEAD + b"done", hold_s=5), CALL)
    exchange.interrupt(KeyError("stop"))
    with pytest.raises(KeyError):
        exchange.read_head()
    exchange.close()
