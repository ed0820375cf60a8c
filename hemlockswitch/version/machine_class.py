"""The classes of VMs that the cloud offers."""

from enum import StrEnum


class MachineClass(StrEnum):
    """Whether the cloud may reclaim a VM."""

    RECLAIMABLE = "reclaimable"
    ON_DEMAND = "on_demand"
