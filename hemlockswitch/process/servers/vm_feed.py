"""Publishes the platform's VM list of a zone by gossip, and detects removed VMs."""

from typing import Any, Protocol

from hemlockswitch.core.clock import Clock
from hemlockswitch.process.gossip.state import GossipItem, GossipState
from hemlockswitch.process.servers.backends import NOTICE_PREFIX, VM_PREFIX
from hemlockswitch.version.backend import BackendState

VM_REMOVAL_DELAY_MS = 30_000


class ListingPlatform(Protocol):
    """The platform interface that the feed needs; each call has its own time-out."""

    def list_vms(self, zone: str) -> Any:
        """Return the VM list of a zone."""


class VmFeed:
    """Publishes the platform's VM list of one zone by gossip.

    Explanation
    ===========

    The list lags by a varying time. A VM that is not listed may be new or removed, so it counts as
    removed only after it has been missing for `VM_REMOVAL_DELAY_MS`.
    """

    def __init__(
        self, platform: ListingPlatform, zone: str, gossip_state: GossipState, clock: Clock
    ) -> None:
        self._platform = platform
        self._zone = zone
        self._gossip_state = gossip_state
        self._clock = clock
        self._missing_since_ms: dict[str, float] = {}

    def query(self) -> None:
        """Read and publish the list once."""
        listed = {vm.name: vm for vm in self._platform.list_vms(self._zone).vms}
        for name, vm in listed.items():
            self._missing_since_ms.pop(name, None)
            self._gossip_state.record(GossipItem(VM_PREFIX + name, vm.version, describe_vm(vm)))
        self._note_missing(set(listed))

    def _note_missing(self, listed: set[str]) -> None:
        now_ms = self._clock.now_ms()
        for item in self._gossip_state.list_items(VM_PREFIX):
            name = item.key.removeprefix(VM_PREFIX)
            own = item.value.get("zone") == self._zone
            if not own or name in listed or item.value.get("state") == BackendState.GONE.value:
                continue
            since_ms = self._missing_since_ms.setdefault(name, now_ms)
            if now_ms - since_ms >= VM_REMOVAL_DELAY_MS:
                removed = {**item.value, "state": BackendState.GONE.value}
                self._gossip_state.record(
                    GossipItem(item.key, item.version + 1, removed, tombstone=True)
                )
                self._remove_notice(name)
                del self._missing_since_ms[name]

    def _remove_notice(self, name: str) -> None:
        """Publish a tombstone for the notice of a removed VM, so that gossip states can evict it."""
        notice = self._gossip_state.find(NOTICE_PREFIX + name)
        if notice is not None:
            last = GossipItem(notice.key, notice.version + 1, notice.value, tombstone=True)
            self._gossip_state.record(last)


def describe_vm(vm: Any) -> dict[str, Any]:
    """Return a listed VM as the value of a gossip item."""
    return {
        "name": vm.name,
        "zone": vm.zone,
        "address": vm.address,
        "control_address": vm.control_address,
        "serves": vm.serves,
        "machine_class": str(vm.machine_class),
        "price_per_hour": vm.price_per_hour,
        "state": str(vm.state),
    }
