"""Finds entry VMs of zones of which no member is known, by the platform's VM list."""

from collections.abc import Callable, Iterable
from typing import Protocol

from hemlockswitch.connection.platform_models import VmList

ENTRY_SERVES = "hemlock-entry"
LIVE_STATE = "live"


class VmLister(Protocol):
    """What discovery needs of the platform's client."""

    def list_vms(self, zone: str = "") -> VmList:
        """Return the VM list of a zone."""


class Discovery:
    """Peer addresses by the VM list, where neither seeds nor members give any.

    Explanation
    ===========

    Seeds can all be gone: every daemon of a zone may be replaced, even while the zone is cut off.
    An entry VM stands in the VM list under ``hemlock-entry``, with its peer address as the
    control address. Only zones without a live member are asked for, so a whole system asks
    nothing.

    Parameters
    ==========

    own_zone : asked for when this daemon knows nobody.
    list_zones : the zones of the configuration in force, empty before there is one.
    find_covered : the zones that have a live member beside this daemon.
    """

    def __init__(
        self,
        platform: VmLister,
        own_zone: str,
        list_zones: Callable[[], Iterable[str]],
        find_covered: Callable[[], set[str]],
    ) -> None:
        self._platform = platform
        self._own_zone = own_zone
        self._list_zones = list_zones
        self._find_covered = find_covered

    def list_addresses(self) -> list[str]:
        """Return the peer addresses of live entry VMs in the zones that are not covered.

        Raises
        ======

        PlatformError : the platform did not answer.
        """
        covered = self._find_covered()
        zones = [zone for zone in {self._own_zone, *self._list_zones()} if zone not in covered]
        addresses = []
        for zone in zones:
            for vm in self._platform.list_vms(zone).vms:
                if vm.serves == ENTRY_SERVES and vm.state == LIVE_STATE and vm.control_address:
                    addresses.append(vm.control_address)
        return addresses
