"""Reports of requests that crash servers, in a fleet in which no gateway sends to all others directly."""

import pytest

from hemlockswitch.core.clock import ManualClock
from hemlockswitch.process.gateway import peer_groups
from hemlockswitch.process.gateway.fleet import Fleet
from hemlockswitch.process.gateway.messages import GatewayReport
from hemlockswitch.process.gateway.suspect_exchange import (
    MAX_RECORDS_PER_MESSAGE,
    REPAIR_INTERVAL_MS,
    SuspectExchange,
    SuspectReport,
)
from hemlockswitch.process.gateway.watch_guard import StoreView
from hemlockswitch.request.quarantine import MIN_CRASHES, Quarantine
from tests.test_change_relay import Network

CONTENT = "content"
ZONES, IN_ZONE = 4, 8


class Gateway:
    def __init__(self, network, clock, name, zone):
        self.name, self.zone, self.address = name, zone, f"10.0.0.1:{name}"
        self.clock = clock
        self.fleet = Fleet(name, lambda: self.address, clock, zone)
        self.quarantine = Quarantine(clock)
        port = network.connect(self.address)
        self.exchange = SuspectExchange(port, self.fleet, self.quarantine, clock)

    def receive_report(self, other):
        """Apply another gateway's report."""
        view = StoreView(held_digest=other.quarantine.hash_quarantined())
        report = GatewayReport(other.name, 1, 0.0, {}, {}, {}, zone=other.zone)
        self.fleet.record_report(other.address, report, view)

    def crash_servers(self, content=CONTENT):
        for number in range(MIN_CRASHES):
            self.quarantine.record_crash(content, f"s{number}")


@pytest.fixture
def network():
    return Network()


@pytest.fixture
def gateways(network, monkeypatch):
    monkeypatch.setattr(peer_groups, "MESH_GATEWAYS", 10)
    clock = ManualClock(now_ms=1_000_000)
    names = [(str(100 + number), f"z{number % ZONES}") for number in range(ZONES * IN_ZONE)]
    made = [Gateway(network, clock, name, zone) for name, zone in names]
    exchange_reports(made)
    return made


def exchange_reports(gateways):
    for one in gateways:
        for other in gateways:
            if other is not one:
                one.receive_report(other)


def list_unaware(gateways):
    return [one.name for one in gateways if not one.quarantine.list_quarantined()]


def test_a_suspect_reaches_every_gateway_of_every_zone_at_once(gateways):
    gateways[0].crash_servers()
    gateways[0].exchange.send_changes()
    assert list_unaware(gateways) == []


def test_a_suspect_reaches_a_zone_with_a_gateway_that_is_down(network, gateways):
    network.down = {gateways[1].address}
    gateways[0].crash_servers()
    gateways[0].exchange.send_changes()
    assert list_unaware(gateways) == [gateways[1].name]


def test_near_gateways_repair_a_gateway_that_was_cut_off(network, gateways):
    network.down = {gateways[4].address}
    gateways[0].crash_servers()
    gateways[0].exchange.send_changes()
    network.down = set()
    assert list_unaware(gateways) == [gateways[4].name]
    exchange_reports(gateways)
    network.sent.clear()
    gateways[0].exchange.repair()
    assert list_unaware(gateways) == []
    assert len(network.sent) == 1, "only the gateway that differs gets a message"


def test_a_gateway_that_still_differs_is_repaired_once_a_second(network, gateways):
    gateways[0].crash_servers()
    network.down = {one.address for one in gateways}
    exchange_reports(gateways)
    for _ in range(3):
        gateways[0].exchange.repair()
    assert len(network.sent) == IN_ZONE - 1
    gateways[0].clock.advance(REPAIR_INTERVAL_MS)
    gateways[0].exchange.repair()
    assert len(network.sent) == 2 * (IN_ZONE - 1)


def test_no_message_is_sent_without_suspects(network, gateways):
    for gateway in gateways:
        gateway.exchange.send_changes()
        gateway.exchange.repair()
    assert network.sent == []


def test_many_contents_are_sent_in_messages_of_bounded_size(network, gateways):
    for number in range(MAX_RECORDS_PER_MESSAGE + 1):
        gateways[0].quarantine.record_crash(f"content-{number}", "s1")
    gateways[0].exchange.send_changes()
    sizes = {len(message.suspects) for _, _, message in network.sent}
    assert max(sizes) == MAX_RECORDS_PER_MESSAGE
    assert len(gateways[5].quarantine.describe()) == MAX_RECORDS_PER_MESSAGE + 1


def test_the_excess_records_of_a_message_are_ignored(gateways):
    fields = [
        (f"content-{number}", ["s1"], [], 0) for number in range(MAX_RECORDS_PER_MESSAGE + 50)
    ]
    gateways[0].exchange.apply_report("", SuspectReport("other", fields, is_relayed=True))
    assert len(gateways[0].quarantine.describe()) == MAX_RECORDS_PER_MESSAGE
