"""Decoding of the platform's registry entries into `BackendServer`."""

import re
from typing import Annotated, Literal

import msgspec

from hemlockswitch.connection.stored_objects import StoredObject
from hemlockswitch.core.addresses import is_address
from hemlockswitch.core.errors import ConfigurationError, ErrorKind
from hemlockswitch.platform.bodies import Body, read_value
from hemlockswitch.version.backend import BackendServer, BackendState
from hemlockswitch.version.machine_class import MachineClass

SERVER_KIND = "servers"

MAX_TEXT_CHARACTERS = 256
"""Limits what messages, log lines and header fields repeat of an entry."""

_NAME = re.compile(f"[!-~]{{1,{MAX_TEXT_CHARACTERS}}}")
_Text = Annotated[str, msgspec.Meta(min_length=1, max_length=MAX_TEXT_CHARACTERS)]
_Count = Annotated[int, msgspec.Meta(ge=0)]


class _EntryBody(Body, frozen=True):
    """The entry that a runner writes; the platform specifies these fields for every entry."""

    service: _Text
    address: str
    zone: _Text
    # Version of the runner's software, not of the entry.
    version: Annotated[str, msgspec.Meta(max_length=MAX_TEXT_CHARACTERS)]
    slots: Annotated[int, msgspec.Meta(ge=1)]
    state: Literal["ready", "draining"]
    cold_left_ms: Annotated[
        float, msgspec.Meta(ge=0)
    ]  # remaining time of slow operation after its start
    sequence: _Count  # heartbeat counter; restarts with the process
    spot: bool = False  # whether the VM may be reclaimed
    leaves_ms: float | None = None  # time left at the time of writing, if it is being reclaimed
    born: _Count = 0  # process start in Unix ms; a restarted process may keep the entry's name


def decode_server(item: StoredObject) -> BackendServer:
    """Decode the backend server of a registry entry.

    Raises
    ======

    ConfigurationError : the entry is invalid, for instance because another program wrote it; it must
        not be used as a server.
    """
    if _NAME.fullmatch(item.name) is None:
        detail = f"a header field cannot contain the name {item.name[:40]!r}"
        raise ConfigurationError(ErrorKind.INVALID_CONFIGURATION, detail)
    body = read_value(_EntryBody, item.value)
    if not is_address(body.address):
        detail = f"expected an ip:port address - at `$.address`: {body.address[:40]!r}"
        raise ConfigurationError(ErrorKind.INVALID_CONFIGURATION, detail)
    machine_class = MachineClass.RECLAIMABLE if body.spot else MachineClass.ON_DEMAND
    return BackendServer(
        name=item.name,
        zone=body.zone,
        address=body.address,
        serves=body.service,
        machine_class=machine_class.value,
        state=BackendState.LIVE if body.state == "ready" else BackendState.LEAVING,
        slots=body.slots,
        started_unix_ms=body.born,
        version=body.version,
        cold_left_ms=body.cold_left_ms,
        heartbeat=body.sequence,
    )
