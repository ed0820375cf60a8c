"""The fault-injecting proxy applies its faults to real sockets.

A fault that has no effect, or a wrong one, would let the tests that rely on it pass for nothing.
"""

import gevent
import pytest
from gevent import socket
from gevent.server import StreamServer

from hemlockswitch.core.clock import SystemClock
from hemlockswitch.standin.link_faults import Direction, LinkFaults, LostAnswer, Mode
from hemlockswitch.standin.links import Link
from hemlockswitch.standin.server import parse_address

READ_TIMEOUT_S = 10


class Echo:
    """A server that echoes each chunk and records the received bytes."""

    def __init__(self) -> None:
        self.got = b""
        self.server = StreamServer(("127.0.0.1", 0), self._serve)
        self.server.start()
        self.address = f"127.0.0.1:{self.server.server_port}"

    def _serve(self, connection, _):
        while piece := connection.recv(4096):
            self.got += piece
            connection.sendall(piece)


@pytest.fixture
def echo():
    echo = Echo()
    yield echo
    echo.server.stop()


@pytest.fixture
def link(echo):
    link = Link("l", "127.0.0.1:0", echo.address, SystemClock())
    yield link
    link.close()


def connect(link):
    connection = socket.create_connection(parse_address(link.address))
    connection.settimeout(READ_TIMEOUT_S)
    return connection


def exchange(connection, text):
    connection.sendall(text)
    return connection.recv(4096)


def is_silent(connection):
    with gevent.Timeout(0.15, False):
        connection.recv(1)
        return False
    return True


def test_forwards_and_counts_bytes(link):
    assert exchange(connect(link), b"abc") == b"abc"
    assert link.bytes_moved == {Direction.TO_TARGET: 3, Direction.TO_CALLER: 3}


def test_cut_resets_old_and_new_connections(link):
    old = connect(link)
    exchange(old, b"a")
    link.set_faults(LinkFaults(mode=Mode.CUT))
    with pytest.raises(ConnectionError):
        exchange(old, b"b")
    with pytest.raises(ConnectionError):
        exchange(connect(link), b"b")


def test_refusing_link_listens_again_on_same_port(link):
    link.set_faults(LinkFaults(mode=Mode.REFUSE))
    with pytest.raises(ConnectionRefusedError):
        connect(link)
    link.set_faults(LinkFaults())
    assert exchange(connect(link), b"abc") == b"abc"


def test_black_hole_delays_bytes_until_it_heals(link, echo):
    connection = connect(link)
    exchange(connection, b"a")
    link.set_faults(LinkFaults(mode=Mode.BLACK_HOLE))
    connection.sendall(b"b")
    assert is_silent(connection)
    assert echo.got == b"a"
    link.set_faults(LinkFaults())
    assert connection.recv(10) == b"b"


def test_freeze_of_one_direction_forwards_the_request(link, echo):
    connection = connect(link)
    exchange(connection, b"a")
    link.set_faults(LinkFaults(freeze=Direction.TO_CALLER))
    connection.sendall(b"b")
    assert is_silent(connection)
    assert echo.got == b"ab"


@pytest.mark.parametrize("how", [LostAnswer.SILENT, LostAnswer.RESET])
def test_lost_answer(link, echo, how):
    link.set_faults(LinkFaults(lose_answer=how, lose_count=1))
    connection = connect(link)
    connection.sendall(b"b")
    if how is LostAnswer.RESET:
        with pytest.raises(ConnectionError):
            connection.recv(10)
    else:
        assert is_silent(connection)
    assert echo.got == b"b"
    assert link.answers_lost == 1
    assert exchange(connect(link), b"c") == b"c"


def test_cut_after_bytes(link):
    link.set_faults(LinkFaults(cut_after_bytes=4))
    connection = connect(link)
    assert exchange(connection, b"abc") == b"abc"
    connection.sendall(b"def")
    received = b""
    with pytest.raises(ConnectionError):
        while True:
            received += connection.recv(10)
    assert received in (b"", b"d")
    assert link.bytes_moved[Direction.TO_CALLER] == 4


def test_delay(link):
    link.set_faults(LinkFaults(delay_ms=60))
    connection = connect(link)
    clock = SystemClock()
    begun_ms = clock.now_ms()
    exchange(connection, b"abc")
    assert clock.now_ms() - begun_ms >= 120


def test_faults_apply_to_their_source_only(link):
    link.set_faults(LinkFaults(source="127.0.2.", mode=Mode.CUT))
    assert exchange(connect(link), b"abc") == b"abc"
    other = socket.create_connection(parse_address(link.address), source_address=("127.0.2.1", 0))
    with pytest.raises(ConnectionError):
        exchange(other, b"abc")
