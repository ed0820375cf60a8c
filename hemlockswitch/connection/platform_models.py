"""What the platform answers: pydantic models at the border, data classes inside."""

from dataclasses import dataclass
from typing import Any

from pydantic import BaseModel, ConfigDict, Field

from hemlockswitch.connection.stored_objects import ObjectPage, StoredObject


@dataclass(frozen=True)
class ListedVm:
    """One VM of the VM list."""

    name: str
    zone: str
    address: str
    control_address: str
    serves: str
    machine_class: str
    price_per_hour: float
    state: str
    version: int


@dataclass(frozen=True)
class VmList:
    """The VM list as the platform showed it."""

    vms: tuple[ListedVm, ...]
    version: int


@dataclass(frozen=True)
class ReclaimNotice:
    """One reclaim notice."""

    number: int
    vm: str
    zone: str
    deadline_wall_ms: int


@dataclass(frozen=True)
class NoticePage:
    """Reclaim notices after a number, and the number to go on from."""

    notices: tuple[ReclaimNotice, ...]
    number: int


class _Body(BaseModel):
    """Base of the answers; fields that this dialect does not use are passed over."""

    model_config = ConfigDict(extra="ignore", frozen=True)


class ObjectBody(_Body):
    """One object."""

    kind: str
    name: str
    version: int = Field(ge=0)
    value: Any = None
    deleted: bool = False

    def to_object(self) -> StoredObject:
        """Return the inner form."""
        return StoredObject(self.kind, self.name, self.version, self.value, self.deleted)


class PageBody(_Body):
    """A list or a watch."""

    items: tuple[ObjectBody, ...]
    version: int = Field(ge=0)

    def to_page(self) -> ObjectPage:
        """Return the inner form."""
        return ObjectPage(tuple(item.to_object() for item in self.items), self.version)


class VersionBody(_Body):
    """The answer to a write."""

    version: int = Field(ge=0)


class VmBody(_Body):
    """One VM."""

    name: str
    zone: str
    address: str
    control_address: str = ""
    serves: str = ""
    machine_class: str = "reclaimable"
    price_per_hour: float = 0.0
    state: str = "live"
    version: int = 0

    def to_vm(self) -> ListedVm:
        """Return the inner form."""
        return ListedVm(**self.model_dump())


class VmListBody(_Body):
    """The VM list."""

    vms: tuple[VmBody, ...]
    version: int = Field(ge=0)

    def to_list(self) -> VmList:
        """Return the inner form."""
        return VmList(tuple(vm.to_vm() for vm in self.vms), self.version)


class NoticeBody(_Body):
    """One notice."""

    number: int
    vm: str
    zone: str
    deadline_wall_ms: int


class NoticePageBody(_Body):
    """Notices."""

    notices: tuple[NoticeBody, ...]
    number: int

    def to_page(self) -> NoticePage:
        """Return the inner form."""
        notices = tuple(ReclaimNotice(**notice.model_dump()) for notice in self.notices)
        return NoticePage(notices, self.number)


class RefusalBody(_Body):
    """A refused start."""

    error: str = ""
    retry_after_ms: int = Field(default=1_000, ge=0)
