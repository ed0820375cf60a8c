"""The peer network: questions, refusals, bounds, another cluster, a silent or lost peer."""

from contextlib import ExitStack
from dataclasses import dataclass

import gevent
import pytest
from gevent import socket

from hemlockswitch.connection.frames import Frame, FrameDecoder, FrameKind
from hemlockswitch.connection.links import PeerBounds
from hemlockswitch.connection.messages import MAX_FRAME_BYTES, register_message
from hemlockswitch.connection.peers import PeerNetwork
from hemlockswitch.core.addresses import split_address
from hemlockswitch.core.errors import ErrorKind, PeerError

TIMEOUT_MS = 10_000


@register_message("test-greeting")
@dataclass(frozen=True)
class Greeting:
    text: str


@pytest.fixture
def make_network():
    with ExitStack() as stack:

        def make(name, cluster="test", **options):
            network = PeerNetwork(cluster, name, **options)
            network.start()
            stack.callback(network.stop)
            return network

        yield make


def test_a_question_gets_its_reply_and_one_stream_serves_both_ends(make_network):
    left, right = make_network("left"), make_network("right")
    for network in (left, right):
        network.handle(Greeting, lambda sender, message: Greeting(f"{message.text} {sender}"))
    assert left.ask(right.address, Greeting("hi"), TIMEOUT_MS) == Greeting(f"hi {left.address}")
    assert right.ask(left.address, Greeting("yo"), TIMEOUT_MS) == Greeting(f"yo {right.address}")
    assert left.traffic.connections == right.traffic.connections == 1


def test_a_failing_handler_is_answered_and_the_stream_lives(make_network):
    left, right = make_network("left"), make_network("right")
    replies = iter([ZeroDivisionError(), PeerError(ErrorKind.LEAVING, "stopping")])

    def fail(sender, message):
        raise next(replies)

    right.handle(Greeting, fail)
    kinds = []
    for _ in range(2):
        with pytest.raises(PeerError) as caught:
            left.ask(right.address, Greeting(""), TIMEOUT_MS)
        kinds.append(caught.value.kind)
    assert kinds == [ErrorKind.INTERNAL, ErrorKind.LEAVING]
    assert left.traffic.connections == 1


def test_another_cluster_is_refused(make_network):
    left, right = make_network("left"), make_network("right", cluster="other")
    right.handle(Greeting, lambda sender, message: message)
    with pytest.raises(PeerError) as caught:
        left.ask(right.address, Greeting("hi"), TIMEOUT_MS)
    assert caught.value.kind is ErrorKind.PEER_UNAVAILABLE


def test_a_silent_peer_times_out_and_its_stream_is_given_up(make_network):
    left, right = make_network("left"), make_network("right")
    right.handle(Greeting, lambda sender, message: gevent.sleep(60))
    with pytest.raises(PeerError):
        left.ask(right.address, Greeting("hi"), 50)
    assert left.list_streams() == []


def test_a_peer_that_comes_back_is_reached_again(make_network):
    left, right = make_network("left"), make_network("right")
    address = right.address
    right.stop()
    with pytest.raises(PeerError):
        left.ask(address, Greeting("hi"), TIMEOUT_MS)
    again = make_network("right", listen=address)
    again.handle(Greeting, lambda sender, message: message)
    with gevent.Timeout(20):
        while True:
            try:
                assert left.ask(address, Greeting("hi"), TIMEOUT_MS) == Greeting("hi")
                return
            except PeerError:
                gevent.sleep(0.05)


def test_a_full_queue_drops_the_oldest_news_and_refuses_questions(make_network):
    # The listener accepts and never reads, so that everything stays queued.
    left = make_network("left", bounds=PeerBounds(queue_frames=3))
    listener = socket.create_server(("127.0.0.1", 0))
    address = f"127.0.0.1:{listener.getsockname()[1]}"
    for _ in range(5):
        assert left.send(address, Greeting("x"))
    assert left.traffic.dropped == 2
    listener.close()


def test_garbage_closes_only_its_stream(make_network):
    right = make_network("right")
    right.handle(Greeting, lambda sender, message: message)
    for garbage in (b"\xff" * 64, Frame(FrameKind.ONE_WAY, 0, b"\xc1").encode()):
        stranger = socket.create_connection(split_address(right.address))
        stranger.sendall(garbage)
        with gevent.Timeout(10):
            assert stranger.recv(10) == b""
    assert make_network("left").ask(right.address, Greeting("hi"), TIMEOUT_MS) == Greeting("hi")


def test_a_frame_over_the_bound_is_refused_before_it_is_read():
    header = (MAX_FRAME_BYTES + 1).to_bytes(4, "big") + bytes(5)
    with pytest.raises(PeerError):
        list(FrameDecoder().feed(header))
