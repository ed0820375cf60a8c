"""Storage of the usage counts that are not reported yet in the object service, by the lease holder.

The counts of a gateway are lost when it ends, and the holder of the duties that had received them may
be killed, or frozen while other gateways restart: without storage, a complete window of counts was
lost. The holder therefore writes the counts by process every half second. The next holder loads them,
and receives the remaining counts from the running gateways.
"""

from hemlockswitch.connection.stored_objects import ConditionalStore, StoredObject, Written
from hemlockswitch.core.clock import Clock
from hemlockswitch.core.errors import PlatformError
from hemlockswitch.core.events import Event
from hemlockswitch.core.logs import log_event
from hemlockswitch.process.gateway.usage import ReportedCounts, UsageCounts

COUNTS_KIND = "usage-counts"
COUNTS_NAME = "open-windows"
SAVE_INTERVAL_MS = 500.0
"""Interval between writes. Counts made since the last write are lost if their process and the holder
end together. This is two of the some hundred writes per second that the object service handles."""


class UsageStore:
    """Stores the counts of the open windows while this gateway holds the duties.

    Parameters
    ==========

    counts : the counts recorded at this gateway.
    store : the object service.
    clock : source of the current time.
    """

    def __init__(self, counts: UsageCounts, store: ConditionalStore, clock: Clock) -> None:
        self._counts = counts
        self._store = store
        self._clock = clock
        self._is_loaded = False
        self._version: int | None = None  # of the object; None if there is none yet
        self._saved: dict[str, ReportedCounts] = {}
        self._last_save_ms = float("-inf")

    def take_over(self) -> None:
        """Start as a new holder; the counts stored by an earlier holder are loaded again."""
        self._is_loaded = False

    def load(self) -> None:
        """Load the stored counts, once per term as holder and after a failed write.

        Raises
        ======

        PlatformError : the object service did not answer; the call has to be retried.
        """
        if self._is_loaded:
            return
        found = self._store.read(COUNTS_KIND, COUNTS_NAME)
        self._version = found.version if found is not None else None
        if found is not None:
            self._merge(found)
        self._is_loaded = True

    def save(self) -> None:
        """Write the current counts if they have changed and a write is due.

        Raises
        ======

        PlatformError : the object service did not answer.
        """
        now_ms = self._clock.now_ms()
        processes = self._counts.describe_processes()
        if now_ms - self._last_save_ms < SAVE_INTERVAL_MS or processes == self._saved:
            return
        self.load()
        value = {"processes": processes}
        if self._version is None:
            outcome = self._store.create(COUNTS_KIND, COUNTS_NAME, value)
        else:
            outcome = self._store.update(COUNTS_KIND, COUNTS_NAME, value, self._version)
        self._last_save_ms = now_ms
        if isinstance(outcome, Written):
            self._version = outcome.version
            self._saved = processes
        else:
            # An answer was lost or another holder has written: load again before the next write.
            self._is_loaded = False

    def _merge(self, found: StoredObject) -> None:
        try:
            for process, counts in found.value["processes"].items():
                self._counts.merge_stored(process, counts)
        except (TypeError, KeyError, AttributeError, ValueError) as error:
            log_event(
                Event.OBJECT_UNREADABLE,
                "warning",
                kind=found.kind,
                name=found.name,
                detail=repr(error),
            )


def save_or_log(store: UsageStore) -> None:
    """Save the counts; if the object service is unavailable, leave it to the next call."""
    try:
        store.save()
    except PlatformError as error:
        log_event(Event.DUTY_FAILED, "warning", detail=error.detail)
