"""The configuration in force: the newest revision seen by this process, never replaced by an older one."""

from collections.abc import Callable

from hemlockswitch.connection.stored_objects import ObjectPage, StoredObject
from hemlockswitch.core.errors import ConfigurationError
from hemlockswitch.core.events import Event
from hemlockswitch.core.logs import log_event
from hemlockswitch.version.serving_table import CallerLimits, ServingTable

Decoder = Callable[[StoredObject], ServingTable]


class ServingTableStore:
    """Current serving table, updated from the configuration object in the object service.

    Parameters
    ==========

    name : name of the object that contains the newest configuration.
    decode : converts the object into a table; raises `ConfigurationError`.
    """

    def __init__(self, name: str, decode: Decoder) -> None:
        self.current: ServingTable | None = None
        self._name = name
        self._decode = decode

    @property
    def bounds(self) -> CallerLimits:
        """Limits on callers' requests; defaults before the first configuration."""
        return self.current.bounds if self.current is not None else CallerLimits()

    def replace_all(self, page: ObjectPage) -> None:
        """Apply a complete list of objects."""
        self.apply_changes(page)

    def apply_changes(self, page: ObjectPage) -> None:
        """Apply the configuration object if it is among the changed objects."""
        for item in page.items:
            if item.name == self._name and not item.deleted:
                self._apply(item)

    def _apply(self, item: StoredObject) -> None:
        try:
            table = self._decode(item)
        except ConfigurationError as error:
            log_event(Event.REVISION_UNUSABLE, "error", version=item.version, detail=error.detail)
            return
        in_force = self.current.revision if self.current is not None else None
        if in_force is not None and table.revision <= in_force:
            if table.revision < in_force:
                log_event(
                    Event.OLDER_REVISION_REFUSED,
                    "warning",
                    revision=table.revision,
                    in_force=in_force,
                )
            return
        self.current = table
        log_event(
            Event.REVISION_IN_FORCE,
            revision=table.revision,
            object_version=item.version,
            routes=len(table.routes),
        )
