"""Answers of the platform: pydantic models for validation, and the data classes made from them."""

from dataclasses import dataclass
from typing import Any

from pydantic import BaseModel, ConfigDict, Field

from hemlockswitch.connection.stored_objects import ObjectPage, StoredObject


@dataclass(frozen=True)
class ListedVm:
    """One VM in the VM list."""

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
    """The VM list as returned by the platform."""

    vms: tuple[ListedVm, ...]
    version: int


@dataclass(frozen=True)
class ReclaimNotice:
    """An announcement that the platform will reclaim a VM."""

    number: int
    vm: str
    zone: str
    deadline_wall_ms: int


@dataclass(frozen=True)
class NoticePage:
    """Reclaim notices after a number, and the number from which to continue."""

    notices: tuple[ReclaimNotice, ...]
    number: int


class _Body(BaseModel):
    """Base of the answers; unrecognized fields are ignored."""

    model_config = ConfigDict(extra="ignore", frozen=True)


class ObjectBody(_Body):
    """One object."""

    kind: str
    name: str
    version: int = Field(ge=0)
    value: Any = None
    deleted: bool = False

    def to_object(self) -> StoredObject:
        """Convert to a `StoredObject`."""
        return StoredObject(self.kind, self.name, self.version, self.value, self.deleted)


class PageBody(_Body):
    """The answer to a list or a watch."""

    items: tuple[ObjectBody, ...]
    version: int = Field(ge=0)

    def to_page(self) -> ObjectPage:
        """Convert to an `ObjectPage`."""
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
        """Convert to a `ListedVm`."""
        return ListedVm(**self.model_dump())


class VmListBody(_Body):
    """The VM list."""

    vms: tuple[VmBody, ...]
    version: int = Field(ge=0)

    def to_list(self) -> VmList:
        """Convert to a `VmList`."""
        return VmList(tuple(vm.to_vm() for vm in self.vms), self.version)


class NoticeBody(_Body):
    """One reclaim notice."""

    number: int
    vm: str
    zone: str
    deadline_wall_ms: int


class NoticePageBody(_Body):
    """The answer to a watch of reclaim notices."""

    notices: tuple[NoticeBody, ...]
    number: int

    def to_page(self) -> NoticePage:
        """Convert to a `NoticePage`."""
        notices = tuple(ReclaimNotice(**notice.model_dump()) for notice in self.notices)
        return NoticePage(notices, self.number)


class RefusalBody(_Body):
    """The answer to a refused start of a VM."""

    error: str = ""
    retry_after_ms: int = Field(default=1_000, ge=0)
