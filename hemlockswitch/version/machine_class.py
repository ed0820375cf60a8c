"""The classes of VMs that the cloud offers."""

from enum import StrEnum


class MachineClass(StrEnum):
    """How the cloud API offers a VM."""

    RECLAIMABLE = "reclaimable"
    ON_DEMAND = "on_demand"
