"""The registration of a gateway in the object service."""

from dataclasses import asdict, dataclass
from typing import Any, Self

from hemlockswitch.connection.stored_objects import StoredObject
from hemlockswitch.core.addresses import is_address

GATEWAY_KIND = "gateways"


@dataclass(frozen=True)
class Registration:
    """The registration that a gateway writes for itself.

    Parameters
    ==========

    address : where other gateways reach it; empty if there is no address that can be connected to.
    zone : its availability zone; empty if not stated.
    link_mbps : speed of its VM's link; 0 if not stated.
    """

    address: str = ""
    zone: str = ""
    link_mbps: float = 0.0

    @classmethod
    def from_object(cls, item: StoredObject) -> Self:
        """Read an object; a field with an invalid value counts as not stated.

        Examples
        ========

        >>> Registration.from_object(StoredObject("gateways", "g1", 3, {"address": 7, "zone": "z1"}))
        Registration(address='', zone='z1', link_mbps=0.0)
        """
        value = item.value if isinstance(item.value, dict) else {}
        address, zone, speed = (value.get(name) for name in ("address", "zone", "link_mbps"))
        return cls(
            address if isinstance(address, str) and is_address(address) else "",
            zone if isinstance(zone, str) else "",
            float(speed) if isinstance(speed, int | float) else 0.0,
        )

    def to_value(self) -> dict[str, Any]:
        """Return the value of the object."""
        return asdict(self)
