"""Entries of backend servers in the platform's registry, decoded into `BackendServer`."""

from pydantic import BaseModel, ConfigDict, ValidationError

from hemlockswitch.connection.platform_models import StoredObject
from hemlockswitch.core.errors import ConfigurationError, ErrorKind
from hemlockswitch.version.backend import BackendServer, BackendState
from hemlockswitch.version.models import MachineClass
from hemlockswitch.version.settings import describe_mistakes

SERVER_KIND = "servers"


class _EntryBody(BaseModel):
    """What a runner writes about itself."""

    model_config = ConfigDict(extra="ignore", frozen=True)

    service: str
    address: str
    zone: str
    slots: int = 0
    state: str = "ready"
    spot: bool = False  # may be reclaimed
    leaves_ms: float | None = None  # time left when it wrote this, if it is being reclaimed


def decode_server(item: StoredObject) -> BackendServer:
    """Return the backend server of a registry entry.

    Raises
    ======

    ConfigurationError : the entry cannot be read.
    """
    try:
        body = _EntryBody.model_validate(item.value)
    except ValidationError as error:
        raise ConfigurationError(
            ErrorKind.INVALID_CONFIGURATION, describe_mistakes(error)
        ) from error
    machine_class = MachineClass.RECLAIMABLE if body.spot else MachineClass.ON_DEMAND
    return BackendServer(
        name=item.name,
        zone=body.zone,
        address=body.address,
        serves=body.service,
        machine_class=machine_class.value,
        state=BackendState.LIVE if body.state == "ready" else BackendState.LEAVING,
        slots=body.slots,
    )
