"""The backend server record that all layers share."""

from collections.abc import Mapping
from dataclasses import dataclass
from enum import StrEnum
from typing import Any


class BackendState(StrEnum):
    """State of a backend server's VM as the platform reports it."""

    STARTING = "starting"
    LIVE = "live"
    LEAVING = "leaving"
    GONE = "gone"


@dataclass(frozen=True)
class BackendServer:
    """One copy of a model engine or a plain service; each copy has a VM to itself.

    Parameters
    ==========

    name : unique name; a restarted process may reuse it.
    zone : the availability zone.
    address : ``ip:port`` for requests.
    serves : name of the model or service.
    machine_class : ``reclaimable`` or ``on_demand``.
    price_per_hour : price of the VM.
    state : the latest state that the platform reported.
    slots : number of requests that it serves concurrently; 0 if the platform does not report it.
    started_unix_ms : start time of its process; 0 if the platform does not report it.
    version : software version; empty if the platform does not report it.
    cold_left_ms : remaining duration of the slow phase after its start, at the time of the record.
    heartbeat : sequence number, within the process, of the heartbeat that carried this record; 0 if
        the record has none.

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
        """Identifier of this process; data recorded about it does not apply after a restart."""
        return f"{self.name}@{self.started_unix_ms}" if self.started_unix_ms else self.name

    @classmethod
    def from_record(cls, record: Mapping[str, Any]) -> "BackendServer":
        """Return the server for a ``vm/<name>`` gossip value, which has the fields of the VM list."""
        return cls(
            name=record["name"],
            zone=record["zone"],
            address=record["address"],
            serves=record["serves"],
            machine_class=record.get("machine_class", "reclaimable"),
            price_per_hour=float(record.get("price_per_hour", 0.0)),
            state=BackendState(record.get("state", "live")),
        )
