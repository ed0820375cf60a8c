"""Which services are managed: their servers' room is divided between accounts, and requests wait in order."""

from collections import defaultdict

from hemlockswitch.core.events import Event
from hemlockswitch.core.logs import log_event

STATED = "stated"
ALWAYS = "always"
NEVER = "never"


class ManagedServices:
    """The managed services, by the setting ``admission_control`` and what servers state.

    Parameters
    ==========

    admission_control : ``stated``, ``always`` or ``never``.

    Examples
    ========

    >>> ManagedServices("always").is_managed("ledger"), ManagedServices("stated").is_managed("ledger")
    (True, False)
    """

    def __init__(self, admission_control: str = STATED) -> None:
        self._admission_control = admission_control
        self._stating: dict[str, set[str]] = defaultdict(set)  # incarnations by service

    @property
    def has_any(self) -> bool:
        """Whether any service is managed."""
        return self._admission_control == ALWAYS or bool(self._stating)

    def is_managed(self, service: str) -> bool:
        """Return whether a service is managed."""
        return self._admission_control == ALWAYS or service in self._stating

    def record_pace(self, service: str, incarnation: str) -> None:
        """Record that a server of a service has stated its pace, to this gateway or to another one."""
        if self._admission_control != STATED:
            return
        if service not in self._stating:
            log_event(Event.SERVICE_MANAGED, service=service, server=incarnation)
        self._stating[service].add(incarnation)

    def evict(self, service: str, incarnation: str) -> None:
        """Discard the statement of a removed server."""
        stating = self._stating.get(service)
        if stating is None:
            return
        stating.discard(incarnation)
        if not stating:
            del self._stating[service]
            log_event(Event.SERVICE_UNMANAGED, service=service)
