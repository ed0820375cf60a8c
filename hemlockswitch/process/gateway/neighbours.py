"""The other gateways by how they are told: at every report, less often, or through a relay."""

import random
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Self

from hemlockswitch.process.gateway.messages import GatewayReport
from hemlockswitch.process.gateway.report_period import (
    FAR_REPORTS_PER_S,
    MESH_GATEWAYS,
    NEAR_REPORTS_PER_S,
    ReportPeriod,
)
from hemlockswitch.process.gateway.watch_guard import StoreView

RELAYS_PER_ZONE = 2
"""Gateways of a zone among which one is drawn to pass a change on: they share the work, and one
that is cut off without a word loses half of what is told."""


@dataclass
class Peer:
    """Another gateway."""

    name: str
    address: str
    known_ms: float
    zone: str = ""  # empty while neither its registration nor a report has told it
    link_mbps: float = 0.0  # likewise
    version: int = 0  # of its registration; 0 while only its reports are known
    heard_ms: float = float("-inf")  # directly, or over a relay
    report: GatewayReport | None = None
    reported_ms: float = float("-inf")  # when `report` came
    view: StoreView = StoreView()


@dataclass(frozen=True)
class Neighbours:
    """Who hears this gateway's reports, and how often.

    Parameters
    ==========

    by_zone : whether there are too many gateways to tell each of them everything at once.
    near : those that hear every report: all of a small fleet, those of the own zone of a larger one.
    far : those that hear reports less often.
    near_period, far_period : the time between two reports to each of them.
    """

    by_zone: bool
    near: list[Peer]
    far: list[Peer]
    near_period: ReportPeriod
    far_period: ReportPeriod

    @classmethod
    def from_peers(cls, peers: list[Peer], zone: str) -> Self:
        """Divide the other gateways of a gateway in `zone`."""
        period = ReportPeriod.from_peers(len(peers))
        if len(peers) <= MESH_GATEWAYS:
            return cls(False, peers, [], period, period)
        near = [peer for peer in peers if peer.zone == zone]
        far = [peer for peer in peers if peer.zone != zone]
        return cls(
            True,
            near,
            far,
            ReportPeriod.from_peers(len(near), NEAR_REPORTS_PER_S),
            ReportPeriod.from_peers(len(far), FAR_REPORTS_PER_S),
        )


def rank_gateway(name: str, link_mbps: float) -> tuple[float, str]:
    """Return the place of a gateway among those that may work for its zone, the first ones do.

    Passing changes on for a zone would fill most of a slow link, on which callers' prompts then wait.
    """
    return (-link_mbps, name)


def draw_relays(peers: Sequence[Peer], oldest_ms: float) -> list[str]:
    """Return the relays of a zone: of the gateways heard lately, or of all while none was.

    After a restart of all nobody has been heard, and the registrations are still good.
    """
    heard = [peer for peer in peers if peer.heard_ms >= oldest_ms] or list(peers)
    relays = sorted(heard, key=lambda peer: rank_gateway(peer.name, peer.link_mbps))[
        :RELAYS_PER_ZONE
    ]
    return [peer.address for peer in random.sample(relays, len(relays))]
