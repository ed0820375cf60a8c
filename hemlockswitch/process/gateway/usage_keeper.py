"""The counts of the windows that are not reported yet, kept in the object service by the holder.

A gateway that ends takes its counts with it, and so does the holder of the duties that had heard
them: when it is killed, or frozen while others are restarted, a whole window of counts was lost.
The holder writes what it knows, by process, every half a second; the next holder begins with it, and
the gateways that still run tell it the rest.
"""

from hemlockswitch.connection.stored_objects import ConditionalStore, StoredObject, Written
from hemlockswitch.core.clock import Clock
from hemlockswitch.core.errors import PlatformError
from hemlockswitch.core.events import Event
from hemlockswitch.core.logs import log_event
from hemlockswitch.process.gateway.usage import ReportedCounts, UsageCounts

KEPT_KIND = "usage-counts"
KEPT_NAME = "open-windows"
KEEP_MS = 500.0
"""Time between two writes: what a process counted since is lost when it and the holder end together.
Two of some hundred writes a second that the object service takes."""


class UsageKeeper:
    """Keeps the open windows of `counts` while this gateway holds the duties.

    Parameters
    ==========

    counts : what this gateway knows.
    store : the object service.
    clock : the time.
    """

    def __init__(self, counts: UsageCounts, store: ConditionalStore, clock: Clock) -> None:
        self._counts = counts
        self._store = store
        self._clock = clock
        self._is_loaded = False
        self._version: int | None = None  # of the object; None if there is none yet
        self._kept: dict[str, ReportedCounts] = {}
        self._kept_ms = float("-inf")

    def take_over(self) -> None:
        """Begin as a new holder: what an earlier one has kept is still to be read."""
        self._is_loaded = False

    def load(self) -> None:
        """Read what was kept, once for each holding.

        Raises
        ======

        PlatformError : the object service did not answer; it is to be tried again.
        """
        if self._is_loaded:
            return
        found = self._store.read(KEPT_KIND, KEPT_NAME)
        self._version = found.version if found is not None else None
        if found is not None:
            self._merge(found)
        self._is_loaded = True

    def save(self) -> None:
        """Write what is known now, if it has changed and is due.

        Raises
        ======

        PlatformError : the object service did not answer.
        """
        now_ms = self._clock.now_ms()
        processes = self._counts.describe_processes()
        if now_ms - self._kept_ms < KEEP_MS or processes == self._kept:
            return
        self.load()
        value = {"processes": processes}
        if self._version is None:
            outcome = self._store.create(KEPT_KIND, KEPT_NAME, value)
        else:
            outcome = self._store.update(KEPT_KIND, KEPT_NAME, value, self._version)
        self._kept_ms = now_ms
        if isinstance(outcome, Written):
            self._version = outcome.version
            self._kept = processes
        else:
            # Lost answer or another holder in between: read what is there before the next write.
            self._is_loaded = False

    def _merge(self, found: StoredObject) -> None:
        try:
            for process, counts in found.value["processes"].items():
                self._counts.take_kept(process, counts)
        except (TypeError, KeyError, AttributeError, ValueError) as error:
            log_event(
                Event.OBJECT_UNREADABLE,
                "warning",
                kind=found.kind,
                name=found.name,
                detail=repr(error),
            )


def save_while_held(keeper: UsageKeeper) -> None:
    """Save, and leave it for the next time if the object service is away."""
    try:
        keeper.save()
    except PlatformError as error:
        log_event(Event.DUTY_FAILED, "warning", detail=error.detail)
