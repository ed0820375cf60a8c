"""The backend server as every layer knows it: one copy of a model engine or a plain service."""

from collections.abc import Mapping
from dataclasses import dataclass
from enum import StrEnum
from typing import Any


class BackendState(StrEnum):
    """What the platform says of the VM that a backend server runs on."""

    STARTING = "starting"
    LIVE = "live"
    LEAVING = "leaving"
    GONE = "gone"


@dataclass(frozen=True)
class BackendServer:
    """One copy of a model engine or a plain service on a VM of its own.

    Parameters
    ==========

    name : its own name; a restart may keep it.
    zone : the availability zone.
    address : ``ip:port`` for requests.
    serves : name of the model or service.
    machine_class : ``reclaimable`` or ``on_demand``.
    price_per_hour : price of the VM.
    state : the newest state heard from the platform.
    slots : requests that it serves at once; 0 where the platform does not say.
    started_unix_ms : when its process started; 0 where the platform does not say.
    version : of its software; empty where the platform does not say.
    cold_left_ms : how much longer it is slow after its start, when this was written.
    heartbeat : number of the heartbeat that told this, within the process; 0 where it is not told.

    Examples
    ========

    >>> record = {"name": "llm-1", "zone": "marka-hall", "address": "127.0.0.1:80"}
    >>> BackendServer.from_record(record | {"serves": "assistant-llm", "state": "live"}).state
    <BackendState.LIVE: 'live'>
    """

    name: str
    zone: str
    address: str
    serves: str
    machine_class: str = "reclaimable"
    price_per_hour: float = 0.0
    state: BackendState = BackendState.LIVE
    slots: int = 0
    started_unix_ms: int = 0
    version: str = ""
    cold_left_ms: float = 0.0
    heartbeat: int = 0

    @property
    def incarnation(self) -> str:
        """The name of this one process: what is known of it does not hold for its next start."""
        return f"{self.name}@{self.started_unix_ms}" if self.started_unix_ms else self.name

    @classmethod
    def from_record(cls, record: Mapping[str, Any]) -> "BackendServer":
        """Return the server of a ``vm/<name>`` news value (the VM list's own fields)."""
        return cls(
            name=record["name"],
            zone=record["zone"],
            address=record["address"],
            serves=record["serves"],
            machine_class=record.get("machine_class", "reclaimable"),
            price_per_hour=float(record.get("price_per_hour", 0.0)),
            state=BackendState(record.get("state", "live")),
        )
