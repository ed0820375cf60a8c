"""Tunnels of isolated gateways through others: what callers, servers and the other gateways see.

Guards against requests of isolated gateways that are refused, held up, run twice, or answered incompletely.
"""

import time

import gevent
import pytest
from gevent import socket

from hemlockswitch.connection.sockets import connect
from hemlockswitch.connection.tunnels import (
    END_PIECE,
    PIECE_HEADER,
    Tunnel,
    TunnelConnection,
    TunnelRequest,
    TunnelVerdict,
    open_tunnel,
)
from hemlockswitch.core.clock import SystemClock
from hemlockswitch.core.errors import PeerError
from tests import server_links
from tests.gateway_site import Site, count_runs, make_events, make_request, read_reply, tokens
from tests.server_links import HANG, REFUSE, RESET, ServerLinks

RETURN_S = 1.0
"""Time after the return of the links within which connections are direct again."""
AT_ONCE_S = 0.3
CALLER_LEFT_S = 0.5


class CutSite(Site):
    """A site whose first gateway can be cut off from all servers."""

    def __init__(self, gateways=3):
        super().__init__(gateways=gateways)
        for service in ("app", "llm"):
            for _ in range(3):
                self.add_runner(service, work_ms=20)
        self.wait(lambda: all(one.fleet.count_connected() == gateways for one in self.gateways))
        self.links = ServerLinks()
        for gateway in self.gateways:
            self.links.attach(gateway)

    @property
    def isolation(self):
        return self.gateways[0].reachability.isolation

    def isolate(self, kind=REFUSE, gateways=1):
        """Cut gateways off, and wait until the first one has noticed."""
        for gateway in self.gateways[:gateways]:
            self.links.cut(gateway, kind)
        self.send_until(lambda: self.isolation.is_isolated)

    def send_until(self, condition):
        while not condition():
            self.ask("/check/x", body=self.make_id().encode(), Hemlockswitch_Deadline_Ms="1500")
            gevent.sleep(0.02)


@pytest.fixture
def site():
    one = CutSite()
    yield one
    one.close()


@pytest.mark.parametrize("kind", [HANG, RESET, REFUSE])
def test_requests_take_a_tunnel_and_connections_are_direct_soon_after_the_links_return(site, kind):
    site.isolate(kind)
    assert site.ask("/hold/x", "id-1", body=b"x" * 90_000).status == 200
    assert site.ask("/reply/x", "id-2", **tokens(12)).body == make_events("id-2", 12)
    seen = [one for runner in site.runners for one in runner.state.seen]
    assert "x" * 90_000 in [one["body"] for one in seen]
    assert site.gateways[0].links.describe()["through"]
    site.links.restore(site.gateways[0])
    restored_s = time.monotonic()
    site.wait(lambda: not site.isolation.is_isolated)
    assert time.monotonic() - restored_s <= RETURN_S
    opened = site.gateways[0].links.detours.verdicts["open"]
    assert [site.ask("/hold/x").status for _ in range(6)] == [200] * 6
    assert site.gateways[0].links.detours.verdicts["open"] == opened


# Guards against a request that waits until its deadline for a gateway whose own links hang.
def test_repeatable_request_is_sent_again_when_the_links_of_the_other_gateway_hang(monkeypatch):
    monkeypatch.setattr(server_links, "KEEPALIVE_S", 30.0)
    site = CutSite(gateways=4)
    try:
        site.isolate()
        for _ in range(60):  # allow as many repeats as there are requests in progress below
            site.ask("/check/x", body=site.make_id().encode())
        slow = [runner for runner in site.runners if runner.service == "app"]
        for runner in slow:
            runner.state.settings = runner.state.settings.model_copy(update={"work_ms": 400})
        asked = [gevent.spawn(site.ask, "/check/x", body=site.make_id().encode()) for _ in range(4)]
        site.wait(lambda: sum(runner.state.running for runner in slow) >= len(asked))
        through = {one.gateway for one in site.gateways[0].forwarder._sender._in_flight}
        helper = next(one for one in site.gateways if one.settings.name in through)
        site.links.cut(helper, HANG)
        number = site.gateways.index(helper)
        while not all(one.ready() for one in asked):
            gevent.spawn(site.ask, "/check/x", body=site.make_id().encode(), gateway=number)
            gevent.sleep(0.05)
        assert [one.get().status for one in asked] == [200] * len(asked)
    finally:
        site.close()


def test_other_gateways_adopt_no_suspicion_of_an_isolated_one(site):
    site.isolate()
    for _ in range(10):
        site.ask("/check/x", body=site.make_id().encode())
        gevent.sleep(0.1)
    servers = site.gateways[1].registry.list_all()
    assert not any(site.gateways[1].reachability.is_suspect(one) for one in servers)


def test_refusals_that_only_an_isolated_gateway_sees_are_no_crashes(site):
    slow = [runner for runner in site.runners if runner.service == "app"]
    for runner in slow:
        runner.state.settings = runner.state.settings.model_copy(update={"work_ms": 500})
    asked = [gevent.spawn(site.ask, "/check/x", body=b"the same content") for _ in range(6)]
    site.wait(lambda: sum(len(runner.state.seen) for runner in slow) >= len(asked))
    site.links.cut(site.gateways[0], RESET)
    gevent.joinall(asked)
    gevent.sleep(0.5)
    assert [one.guard.counts.ends for one in site.gateways] == [0, 0, 0]


@pytest.mark.parametrize("kind", [HANG, REFUSE])
def test_requests_are_refused_at_once_if_all_gateways_are_isolated(site, kind):
    site.isolate(kind, gateways=3)
    site.wait(lambda: site.ask("/hold/x", gateway=1).status == 503)
    site.wait(lambda: all(one.reachability.isolation.is_isolated for one in site.gateways[:2]))
    site.send_until(
        lambda: not site.gateways[0].links.detours._list_candidates(includes_isolated=False)
    )
    began_s = time.monotonic()
    reply = site.ask("/hold/x", "id-1")
    assert (reply.status, count_runs(site.runners, "id-1")) == (503, 0)
    assert time.monotonic() - began_s < AT_ONCE_S
    assert float(reply.headers["retry-after"]) > 0


def test_caller_that_leaves_ends_the_request_behind_a_tunnel(site):
    site.isolate()
    with site.connect() as connection:
        connection.sendall(make_request("/draft/x", "id-1", **tokens(400)))
        assert connection.recv(100)
    left_s = time.monotonic()
    engines = [runner for runner in site.runners if runner.service == "llm"]
    site.wait(lambda: any("id-1" in one.state.abandoned for one in engines))
    assert time.monotonic() - left_s <= CALLER_LEFT_S


def test_answer_in_progress_ends_complete_while_its_tunnel_gateway_shuts_down(site):
    site.isolate()
    with site.connect() as connection:
        connection.sendall(make_request("/draft/x", "id-1", **tokens(100)))
        assert connection.recv(20, socket.MSG_PEEK)
        helper = next(one for one in site.gateways[1:] if one.links.host.active)
        stopping = gevent.spawn(helper.stop)
        reply = read_reply(connection)
    assert (reply.status, reply.is_whole, count_runs(site.runners, "id-1")) == (200, True, 1)
    assert [site.ask("/hold/x").status for _ in range(4)] == [200] * 4
    stopping.join()


def test_at_most_once_request_whose_tunnel_breaks_is_not_repeated_nor_called_not_run(site):
    for runner in site.runners:
        runner.state.settings = runner.state.settings.model_copy(update={"work_ms": 400})
    site.isolate()
    asked = gevent.spawn(site.ask, "/hold/x", "id-1")
    site.wait(lambda: count_runs(site.runners, "id-1"))
    for gateway in site.gateways[1:]:
        for link in list(gateway.network._all_links):
            if link._is_taken:
                link.close()
    assert asked.get().status == 502
    assert count_runs(site.runners, "id-1") == 1


@pytest.mark.parametrize(
    ("cluster", "server", "verdict"),
    [("", "runner-1", TunnelVerdict.OPEN), ("", "unlisted", TunnelVerdict.UNKNOWN_SERVER)],
)
def test_tunnels_lead_only_to_registered_servers(site, cluster, server, verdict):
    helper = site.gateways[1]
    request = TunnelRequest(helper.settings.cluster, "other", "127.0.0.1:1", server)
    reply, connection = open_tunnel(helper.network.address, request, 1_000)
    connection.close()
    assert reply.verdict == verdict


def test_process_of_another_cluster_gets_no_tunnel(site):
    request = TunnelRequest("another", "other", "127.0.0.1:1", "runner-1")
    with pytest.raises(PeerError):
        open_tunnel(site.gateways[1].network.address, request, 500)


@pytest.fixture
def ends():
    """The two ends of a stream."""
    listener = socket.create_server(("127.0.0.1", 0))
    host, port = listener.getsockname()
    near = connect(f"{host}:{port}", 1_000)
    far, _ = listener.accept()
    yield near, far
    for one in (near, far, listener):
        one.close()


def test_end_of_a_tunnel_without_the_end_of_the_server_is_no_end_of_an_answer(ends):
    near, far = ends
    tunnel = TunnelConnection(near, "helper")
    far.sendall(PIECE_HEADER.pack(4) + b"part" + PIECE_HEADER.pack(4) + b"pa")
    far.shutdown(socket.SHUT_WR)
    assert tunnel.recv(100) == b"part"
    with pytest.raises(ConnectionResetError):
        tunnel.recv(100)


def test_end_of_the_server_is_the_end_of_an_answer(ends):
    near, far = ends
    tunnel = TunnelConnection(near, "helper")
    far.sendall(PIECE_HEADER.pack(4) + b"part" + END_PIECE)
    assert [tunnel.recv(100), tunnel.recv(100)] == [b"part", b""]


def test_tunnel_does_not_read_ahead_of_a_caller_that_reads_nothing(ends):
    near, far = ends
    listener = socket.create_server(("127.0.0.1", 0))
    server = connect("{}:{}".format(*listener.getsockname()), 1_000)
    origin, _ = listener.accept()
    tunnel = Tunnel(far, server, SystemClock())
    running = gevent.spawn(tunnel.run)
    sending = gevent.spawn(origin.sendall, b"x" * 50_000_000)
    gevent.sleep(0.3)
    passed = tunnel.bytes_down
    gevent.sleep(0.3)
    assert passed == tunnel.bytes_down < 20_000_000
    near.close()
    running.join(2)
    assert running.dead
    sending.kill()
