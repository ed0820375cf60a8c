"""The services with servers of several software versions, as an object of the object service.

After a start of a gateway its own history lacks the versions whose servers have left, and after a start of all
gateways so do those of the others. The object is written by the holder of the duties when a service gets a second
version, or has had a single one for long enough, and is read for the time before the start.
"""

from typing import Any

import gevent

from hemlockswitch.connection.stored_objects import ConditionalStore, StoredObject, Written
from hemlockswitch.core.clock import MS_PER_SECOND, Clock
from hemlockswitch.core.errors import PlatformError
from hemlockswitch.core.events import Event
from hemlockswitch.core.logs import log_event
from hemlockswitch.process.gateway.shared_call import SharedCall
from hemlockswitch.process.gateway.version_history import VersionHistory

VERSIONS_KIND = "service-versions"
VERSIONS_NAME = "several"
KEPT_MS = 120_000.0
"""How long a version without servers stays in the object; callers take their streams up sooner."""
SAVE_INTERVAL_MS = 500.0
READ_TIMEOUT_MS = 500.0


class StoredVersions:
    """Reads and writes the object.

    Parameters
    ==========

    store : the object service.
    history : the versions registered since the start, to which those of the object are added.
    clock : the time source.
    """

    def __init__(self, store: ConditionalStore, history: VersionHistory, clock: Clock) -> None:
        self._store = store
        self._history = history
        self._clock = clock
        self._is_loaded = False
        self._loading = SharedCall(self._read)
        self._stored: dict[str, list[str]] = {}
        self._version = 0  # of the object; 0 if there is none

    def load(self) -> bool:
        """Add the versions of the object to the history, unless they have been; return whether they have.

        Requests that need them at the same time share one read.
        """
        if not self._is_loaded:
            self._loading.run()
        return self._is_loaded

    def _read(self) -> None:
        try:
            with gevent.Timeout(READ_TIMEOUT_MS / MS_PER_SECOND, False):
                self._apply(self._store.read(VERSIONS_KIND, VERSIONS_NAME))
        except PlatformError as error:
            log_event(Event.WATCH_FAILED, "warning", watch=VERSIONS_KIND, detail=error.detail)

    def save(self) -> None:
        """Write the services that have several versions now, if they differ from the object."""
        if not self.load():
            return
        several = self._list_several()
        if several == self._stored:
            return
        try:
            outcome = self._write(several)
        except PlatformError as error:
            log_event(Event.WATCH_FAILED, "warning", watch=VERSIONS_KIND, detail=error.detail)
            return
        if isinstance(outcome, Written):
            self._stored = several
            self._version = outcome.version if several else 0
        else:
            self._is_loaded = False

    def _write(self, several: dict[str, list[str]]) -> Any:
        if not several:
            return self._store.delete(VERSIONS_KIND, VERSIONS_NAME, self._version)
        if not self._version:
            return self._store.create(VERSIONS_KIND, VERSIONS_NAME, several)
        return self._store.update(VERSIONS_KIND, VERSIONS_NAME, several, self._version)

    def _list_several(self) -> dict[str, list[str]]:
        """Return the versions of each service that had more than one lately."""
        lately = {
            service: sorted(self._history.list_versions(service, KEPT_MS))
            for service in self._history.list_services()
        }
        return {service: versions for service, versions in lately.items() if len(versions) > 1}

    def _apply(self, item: StoredObject | None) -> None:
        self._stored, self._version = {}, 0
        if item is not None and not item.deleted:
            self._stored, self._version = _read_versions(item), item.version
        for service, versions in self._stored.items():
            for version in versions:
                self._history.record_stored(service, version)
        self._is_loaded = True


def _read_versions(item: StoredObject) -> dict[str, list[str]]:
    """Return the versions of each service in the object; fields of another form are left out."""
    if not isinstance(item.value, dict):
        log_event(Event.OBJECT_UNREADABLE, "warning", kind=item.kind, name=item.name)
        return {}
    return {
        str(service): sorted(str(version) for version in versions)
        for service, versions in item.value.items()
        if isinstance(versions, list)
    }
