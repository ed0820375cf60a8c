"""The peer network: requests, refusals, limits, other clusters, unresponsive and lost peers."""

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


def test_both_peers_send_requests_on_one_stream(make_network):
    left, right = make_network("left"), make_network("right")
    for network in (left, right):
        network.handle(Greeting, lambda sender, message: Greeting(f"{message.text} {sender}"))
    assert left.request(right.address, Greeting("hi"), TIMEOUT_MS) == Greeting(f"hi {left.address}")
    assert right.request(left.address, Greeting("yo"), TIMEOUT_MS) == Greeting(
        f"yo {right.address}"
    )
    assert left.traffic.connections == right.traffic.connections == 1


def test_failing_handler_is_answered_and_does_not_end_the_stream(make_network):
    left, right = make_network("left"), make_network("right")
    replies = iter([ZeroDivisionError(), PeerError(ErrorKind.LEAVING, "stopping")])

    def fail(sender, message):
        raise next(replies)

    right.handle(Greeting, fail)
    kinds = []
    for _ in range(2):
        with pytest.raises(PeerError) as caught:
            left.request(right.address, Greeting(""), TIMEOUT_MS)
        kinds.append(caught.value.kind)
    assert kinds == [ErrorKind.INTERNAL, ErrorKind.LEAVING]
    assert left.traffic.connections == 1


def test_process_of_another_cluster_is_refused(make_network):
    left, right = make_network("left"), make_network("right", cluster="other")
    right.handle(Greeting, lambda sender, message: message)
    with pytest.raises(PeerError) as caught:
        left.request(right.address, Greeting("hi"), TIMEOUT_MS)
    assert caught.value.kind is ErrorKind.PEER_UNAVAILABLE


def test_stream_of_an_unresponsive_peer_is_closed_after_the_timeout(make_network):
    left, right = make_network("left"), make_network("right")
    right.handle(Greeting, lambda sender, message: gevent.sleep(60))
    with pytest.raises(PeerError):
        left.request(right.address, Greeting("hi"), 50)
    assert left.list_streams() == []


def test_restarted_peer_is_reached_again(make_network):
    left, right = make_network("left"), make_network("right")
    address = right.address
    right.stop()
    with pytest.raises(PeerError):
        left.request(address, Greeting("hi"), TIMEOUT_MS)
    restarted = make_network("right", listen=address)
    restarted.handle(Greeting, lambda sender, message: message)
    with gevent.Timeout(20):
        while True:
            try:
                assert left.request(address, Greeting("hi"), TIMEOUT_MS) == Greeting("hi")
                return
            except PeerError:
                gevent.sleep(0.05)


def test_full_queue_drops_the_oldest_one_way_messages(make_network):
    # The listener never reads, so that all messages stay queued.
    left = make_network("left", bounds=PeerBounds(queue_frames=3))
    listener = socket.create_server(("127.0.0.1", 0))
    address = f"127.0.0.1:{listener.getsockname()[1]}"
    for _ in range(5):
        assert left.send(address, Greeting("x"))
    assert left.traffic.dropped == 2
    listener.close()


def test_garbage_closes_only_the_stream_it_was_received_on(make_network):
    right = make_network("right")
    right.handle(Greeting, lambda sender, message: message)
    for garbage in (b"\xff" * 64, Frame(FrameKind.ONE_WAY, 0, b"\xc1").encode()):
        connection = socket.create_connection(split_address(right.address))
        connection.sendall(garbage)
        with gevent.Timeout(10):
            assert connection.recv(10) == b""
    assert make_network("left").request(right.address, Greeting("hi"), TIMEOUT_MS) == Greeting("hi")


def test_frame_over_the_size_limit_is_refused_by_its_header():
    header = (MAX_FRAME_BYTES + 1).to_bytes(4, "big") + bytes(5)
    with pytest.raises(PeerError):
        list(FrameDecoder().feed(header))
