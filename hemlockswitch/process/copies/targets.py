"""The controller's targets: the models and services of the configuration."""

from dataclasses import dataclass
from functools import singledispatch

from hemlockswitch.process.copies.planner import Target
from hemlockswitch.version.machine_class import MachineClass
from hemlockswitch.version.models import Model, OperatorFile, Service

SERVICE_WAIT_MS = 250


@dataclass(frozen=True)
class WantedTarget:
    """One model or service with the controller's data about it.

    Parameters
    ==========

    target : the planner's data.
    classes : machine classes that its copies may run on.
    takes_orders : whether it is a model engine, which takes orders and reports its load; a plain service
        does not.
    """

    target: Target
    classes: tuple[MachineClass, ...]
    takes_orders: bool

    @property
    def name(self) -> str:
        """The model's or service's name."""
        return self.target.name


@singledispatch
def describe_wanted(item: object) -> WantedTarget:
    """Return the target of one model or service."""
    raise TypeError(f"not a target: {item!r}")


@describe_wanted.register
def _(item: Model) -> WantedTarget:
    target = Target(
        item.name,
        item.first_token_target_ms,
        item.slots_per_copy,
        item.min_copies,
        item.licensed_copies,
    )
    return WantedTarget(target, item.machine_classes, takes_orders=True)


@describe_wanted.register
def _(item: Service) -> WantedTarget:
    target = Target(
        item.name,
        SERVICE_WAIT_MS,
        item.concurrent_calls_per_copy,
        item.min_copies,
        item.licensed_copies,
    )
    return WantedTarget(target, tuple(MachineClass), takes_orders=False)


def list_wanted(file: OperatorFile) -> list[WantedTarget]:
    """Return all targets of a configuration."""
    return [describe_wanted(item) for item in (*file.models, *file.services)]
