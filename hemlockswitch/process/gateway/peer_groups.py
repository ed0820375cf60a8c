"""The other gateways, divided by how often they get reports, and the relays of each zone."""

import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Protocol, Self

from hemlockswitch.process.gateway.messages import GatewayReport
from hemlockswitch.process.gateway.report_period import (
    MAX_FAR_REPORTS_PER_S,
    MAX_NEAR_REPORTS_PER_S,
    MESH_GATEWAYS,
    ReportPeriod,
)
from hemlockswitch.process.gateway.watch_guard import StoreView
from hemlockswitch.request.capacity_rank import Rank, rank_by_link

RELAYS_PER_ZONE = 2
"""Number of gateways of a zone among which the relay of a change is drawn. They share the work, and a relay
that is cut off without an error loses only half of the changes."""


@dataclass(frozen=True)
class ReportedLinks:
    """Whether a gateway cannot connect to any backend server, as it last reported or as a relay passed on.

    Parameters
    ==========

    order : the incarnation of the gateway and the number of its report, which increase.
    reported_ms : when the report was received.
    """

    order: tuple[int, int]
    reported_ms: float
    is_isolated: bool


@dataclass(frozen=True)
class CachedRank:
    """The sort key of a gateway, valid for its report until a time."""

    report: GatewayReport | None
    until_ms: float
    key: Rank


@dataclass
class Peer:
    """Another gateway."""

    name: str
    address: str
    first_seen_ms: float
    zone: str = ""  # empty while neither its registration nor a report has stated it
    link_mbps: float = 0.0  # 0 while neither its registration nor a report has stated it
    version: int = 0  # of its registration; 0 while only reports of it were received
    last_received_ms: float = float(
        "-inf"
    )  # when it was last received from, directly or over a relay
    report: GatewayReport | None = None
    reported_ms: float = float("-inf")  # when `report` was received
    view: StoreView = StoreView()
    links: ReportedLinks | None = None
    cached_rank: CachedRank | None = None  # by its spare (`process.gateway.gateway_capacity`)


@dataclass(frozen=True)
class PeerGroups:
    """The gateways that get this gateway's reports, and how often.

    Parameters
    ==========

    by_zone : whether there are too many gateways to send every report to each of them at once.
    near : the gateways that get every report: all of a small fleet, those of the own zone of a larger one.
    far : the gateways that get reports less often.
    near_period, far_period : the time between two reports to the near and to the far gateways.
    """

    by_zone: bool
    near: list[Peer]
    far: list[Peer]
    near_period: ReportPeriod
    far_period: ReportPeriod

    @classmethod
    def from_peers(cls, peers: list[Peer], zone: str) -> Self:
        """Divide the peers of a gateway in `zone`."""
        period = ReportPeriod.from_peers(len(peers))
        if len(peers) <= MESH_GATEWAYS:
            return cls(False, peers, [], period, period)
        near = [peer for peer in peers if peer.zone == zone]
        far = [peer for peer in peers if peer.zone != zone]
        return cls(
            True,
            near,
            far,
            ReportPeriod.from_peers(len(near), MAX_NEAR_REPORTS_PER_S),
            ReportPeriod.from_peers(len(far), MAX_FAR_REPORTS_PER_S),
        )


def rank_peer_by_link(peer: Peer) -> Rank:
    """Return the sort key by which gateways are chosen to relay or watch for their zone, fastest link first."""
    return rank_by_link(peer.name, peer.link_mbps)


def draw_relays(
    peers: Sequence[Peer], oldest_ms: float, rank: Callable[[Peer], Rank] = rank_peer_by_link
) -> list[str]:
    """Return the addresses of a zone's relays, drawn from the peers received from since `oldest_ms`.

    If there are none, all peers are considered: after a restart of the fleet nothing has been received
    yet, and the registrations are still valid.
    """
    recent = [peer for peer in peers if peer.last_received_ms >= oldest_ms] or list(peers)
    relays = sorted(recent, key=rank)[:RELAYS_PER_ZONE]
    return [peer.address for peer in random.sample(relays, len(relays))]


class GroupedFleet(Protocol):
    """The other gateways, as needed for a message to all of them."""

    @property
    def reports_by_zone(self) -> bool:
        """Whether messages to other zones are relayed there."""

    def list_near(self) -> list[Peer]:
        """Return the gateways that get messages directly."""

    def draw_relays(self) -> list[list[str]]:
        """Return the addresses of the relays of each other zone."""


def list_broadcast_addresses(fleet: GroupedFleet) -> list[str]:
    """Return the addresses of the near gateways, and of the relays of the other zones."""
    addresses = [peer.address for peer in fleet.list_near()]
    if fleet.reports_by_zone:
        relays = [address for zone in fleet.draw_relays() for address in zone]
        addresses += [address for address in relays if address not in addresses]
    return addresses
