"""Entry daemons that connect to each other and to the platform through the proxy.

Explanation
===========

Each zone has a link to the platform and an IP prefix of the loopback network, from which its
daemons connect. Each daemon advertises a link as its peer address. A cut between two zones, or
between a zone and the platform, is a fault on these links, between zones restricted by source
address.
"""

from typing import Any

from features.support.cluster import Cluster
from features.support.processes import Program

CUT = {"mode": "black_hole"}


class ZoneLinks:
    """The links between the zones and the platform of one cluster."""

    def __init__(self, cluster: Cluster, zones: tuple[str, ...]) -> None:
        self._cluster = cluster
        self._zones = zones
        self._names: dict[str, list[str]] = {zone: [] for zone in zones}
        self._platform: dict[str, str] = {}
        cluster.proxy  # noqa: B018 - starts the proxy in parallel with the platform
        for zone in zones:
            target = cluster.platform.addresses["http"]
            self._platform[zone] = cluster.add_link(f"platform-{zone}", target)

    def launch_entries(self, count: int) -> None:
        """Start `count` entry daemons in each zone in parallel, ``entry-<zone>-1`` and so on."""
        wanted = [
            (f"entry-{zone}-{at}", zone) for at in range(1, 1 + count) for zone in self._zones
        ]
        seeds = [self._cluster.add_link(f"peers-{name}") for name, _ in wanted[:2]]
        programs = [self._launch(name, zone, seeds=seeds) for name, zone in wanted]
        for program in programs:
            self._connect(program)

    def launch_entry(self, name: str, zone: str) -> None:
        """Start or restart one entry daemon, and return when it is reachable."""
        self._connect(self._launch(name, zone))

    def _launch(self, name: str, zone: str, **settings: Any) -> Program:
        zone_names = self._names[zone]
        if name not in zone_names:
            zone_names.append(name)
        content = {
            "peer_listen": f"{self._find_prefix(zone)}{zone_names.index(name) + 1}:0",
            "peer_advertise": self._cluster.add_link(f"peers-{name}"),
            "platform": self._platform[zone],
            **settings,
        }
        return self._cluster.launch_entry(name, zone, **content)

    def _connect(self, program: Program) -> None:
        self._cluster.add_link(f"peers-{program.name}", program.addresses["peer_listen"])

    def cut_platform(self, zone: str) -> None:
        """Disconnect a zone from the platform."""
        self._cluster.set_link(f"platform-{zone}", **CUT)

    def heal_platform(self, zone: str) -> None:
        """Reconnect a zone to the platform."""
        self._cluster.set_link(f"platform-{zone}")

    def cut_zone(self, zone: str) -> None:
        """Disconnect a zone from every other zone."""
        self._set_zone(zone, CUT)

    def heal_zone(self, zone: str) -> None:
        """Reconnect a zone to every other zone."""
        self._set_zone(zone, {})

    def _set_zone(self, zone: str, faults: dict[str, str]) -> None:
        for other in self._zones:
            if other != zone:
                self._set_links(zone, other, faults)
                self._set_links(other, zone, faults)

    def _set_links(self, zone: str, source_zone: str, faults: dict[str, str]) -> None:
        source = self._find_prefix(source_zone)
        for name in self._names[zone]:
            self._cluster.set_link(f"peers-{name}", source=source, **faults)

    def _find_prefix(self, zone: str) -> str:
        return f"127.0.{self._zones.index(zone) + 1}."
