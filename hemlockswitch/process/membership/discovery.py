"""Finds the entry VMs of zones without a live member, in the platform's VM list."""

from collections.abc import Callable, Iterable
from typing import Protocol

from hemlockswitch.connection.platform_models import VmList

ENTRY_SERVES = "hemlock-entry"
LIVE_STATE = "live"


class VmLister(Protocol):
    """The operation of the platform client that discovery needs."""

    def list_vms(self, zone: str = "") -> VmList:
        """Return the VM list of a zone."""


class Discovery:
    """Finds peer addresses in the VM list, for zones that seeds and members do not cover.

    Explanation
    ===========

    All seeds may have stopped: every daemon of a zone may be replaced, even while the zone is
    partitioned from the others. The VM list shows an entry VM under ``hemlock-entry``, with its
    peer address as the control address. Only zones without a live member are looked up, so there
    are no platform calls while every zone has one.

    Parameters
    ==========

    own_zone : looked up if this daemon has no live peer in it.
    list_zones : returns the zones of the configuration in force; empty before there is one.
    list_covered_zones : returns the zones that have a live member other than this daemon.
    """

    def __init__(
        self,
        platform: VmLister,
        own_zone: str,
        list_zones: Callable[[], Iterable[str]],
        list_covered_zones: Callable[[], set[str]],
    ) -> None:
        self._platform = platform
        self._own_zone = own_zone
        self._list_zones = list_zones
        self._list_covered_zones = list_covered_zones

    def list_addresses(self) -> list[str]:
        """Return the peer addresses of live entry VMs in the zones that are not covered.

        Raises
        ======

        PlatformError : the platform did not answer.
        """
        covered = self._list_covered_zones()
        zones = [zone for zone in {self._own_zone, *self._list_zones()} if zone not in covered]
        addresses = []
        for zone in zones:
            for vm in self._platform.list_vms(zone).vms:
                if vm.serves == ENTRY_SERVES and vm.state == LIVE_STATE and vm.control_address:
                    addresses.append(vm.control_address)
        return addresses
