"""The records of licensed copies: one platform object for each model or service.

A copy's record is written before its VM is requested, and removed after its VM has certainly stopped, so
the number of records is never below the number of running licensed copies. The leaders of all zones write
the same object with conditional writes on its version; the licence is checked within that update.
"""

from collections.abc import Callable
from enum import StrEnum

from pydantic import BaseModel, ConfigDict

from hemlockswitch.connection.platform import PlatformClient
from hemlockswitch.connection.stored_objects import Conflict, WriteOutcome, Written
from hemlockswitch.core.errors import ErrorKind, PlatformError
from hemlockswitch.version.machine_class import MachineClass

COPIES_KIND = "copies"
NO_VERSION = 0


class CopyState(StrEnum):
    """The state of a copy; it only advances in this order."""

    WANTED = "wanted"
    RUNNING = "running"
    STOPPING = "stopping"


class CopyRecord(BaseModel):
    """One licensed copy.

    Parameters
    ==========

    zone, machine_class, price_per_hour : its place.
    vm, address : the VM; empty until the cloud API has started one.
    state : its state.
    since_wall_ms : when it entered `state`; for display and for measuring starts.
    """

    model_config = ConfigDict(frozen=True)

    zone: str
    machine_class: MachineClass
    price_per_hour: float = 1.0
    vm: str = ""
    address: str = ""
    state: CopyState = CopyState.WANTED
    since_wall_ms: int = 0


class CopyTable(BaseModel):
    """All copies of one target, by the token of each start request."""

    model_config = ConfigDict(frozen=True)

    copies: dict[str, CopyRecord] = {}

    def put(self, token: str, record: CopyRecord) -> "CopyTable":
        """Return the table with `record` under `token`."""
        return CopyTable(copies={**self.copies, token: record})

    def move(
        self, token: str, state: CopyState, wall_ms: int, vm: str = "", address: str = ""
    ) -> "CopyTable":
        """Return the table with one copy advanced to a later state; an earlier state is ignored."""
        record = self.copies.get(token)
        if record is None:
            return self
        order = list(CopyState)
        if order.index(state) <= order.index(record.state):
            return self
        changes = {
            "state": state,
            "since_wall_ms": wall_ms,
            "vm": vm or record.vm,
            "address": address or record.address,
        }
        return self.put(token, record.model_copy(update=changes))

    def remove(self, token: str) -> "CopyTable":
        """Return the table without one copy."""
        remaining = {key: record for key, record in self.copies.items() if key != token}
        return CopyTable(copies=remaining)


Change = Callable[[CopyTable], CopyTable]


class CopyRecords:
    """Reads and updates the tables of copies.

    Parameters
    ==========

    platform : provides the object service that stores the tables.
    tries : maximum number of attempts of an update that conflicts with other writers.
    """

    def __init__(self, platform: PlatformClient, tries: int = 4) -> None:
        self._platform = platform
        self._tries = tries

    def read(self, target: str) -> CopyTable:
        """Return the table of `target`, or an empty one."""
        return self._read(target)[1]

    def change(self, target: str, change: Change) -> CopyTable:
        """Apply `change` to the newest table and return the table stored after it.

        Explanation
        ===========

        `change` may be called again on a newer table, so it must depend on its argument only. A lost answer
        is an error; the next pass reads the actual outcome.

        Raises
        ======

        PlatformError : the service does not answer, or all attempts conflicted with other writers.
        """
        for _ in range(self._tries):
            version, table = self._read(target)
            changed = change(table)
            if changed == table:
                return table
            outcome = self._write(target, changed, version)
            if isinstance(outcome, Written):
                return changed
            if not isinstance(outcome, Conflict):
                break
        raise PlatformError(ErrorKind.PLATFORM_UNAVAILABLE, f"copies of {target}: {outcome!r}")

    def _read(self, target: str) -> tuple[int, CopyTable]:
        stored = self._platform.read(COPIES_KIND, target)
        if stored is None:
            return NO_VERSION, CopyTable()
        return stored.version, CopyTable.model_validate(stored.value)

    def _write(self, target: str, table: CopyTable, version: int) -> WriteOutcome:
        value = table.model_dump(mode="json")
        if version == NO_VERSION:
            return self._platform.create(COPIES_KIND, target, value)
        return self._platform.update(COPIES_KIND, target, value, version)
