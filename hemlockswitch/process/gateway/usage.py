"""Usage counts: the requests that ran in each time window, and the single report of each window."""

from collections import defaultdict
from collections.abc import Callable, Mapping
from typing import Protocol

from hemlockswitch.connection.stored_objects import ConditionalStore, StoredObject, Written
from hemlockswitch.core.clock import MS_PER_SECOND
from hemlockswitch.core.events import Event
from hemlockswitch.core.logs import log_event
from hemlockswitch.process.gateway.report_period import UsagePeriod

USAGE_KIND = "usage-windows"
RETAINED_WINDOWS = 6
"""Number of latest windows whose counts are retained and sent to peers. A window is due two windows
after its end, and a new holder may need the windows before."""
TAKEOVER_WINDOWS = 2
"""Number of windows before the last one that a new holder also reports, since its predecessor may not
have reported them: the lease of a frozen holder is taken over some five seconds later, which is the
length of a window. Reporting the same counts again is harmless."""

Counts = dict[int, dict[str, int]]
"""Counts by window number and account."""
ReportedCounts = dict[str, dict[str, int]]
"""Counts as sent to other gateways, with window numbers as strings."""


class UsageCounts:
    """Counts of this process and the counts reported by its peers, for the latest windows.

    Parameters
    ==========

    window_s : length of a window.
    process : identifier of this process in its peers' counts.
    """

    def __init__(self, window_s: float, process: str = "") -> None:
        self._process = process
        self._window_ms = window_s * MS_PER_SECOND
        self._own: Counts = {}
        self._peers: dict[str, Counts] = {}

    def find_window(self, wall_ms: float) -> int:
        """Return the number of the window that contains a time."""
        return int(wall_ms // self._window_ms)

    def find_end_ms(self, window: int) -> float:
        """Return the wall-clock time at which a window ends."""
        return (window + 1) * self._window_ms

    def count(self, wall_ms: float, account: str) -> None:
        """Count one request that started to run."""
        window = self.find_window(wall_ms)
        counts = self._own.setdefault(window, defaultdict(int))
        counts[account] += 1
        _discard_before(self._own, window - RETAINED_WINDOWS)

    def describe_own(self) -> ReportedCounts:
        """Return this process's counts, in the form sent to other gateways."""
        return {str(window): dict(counts) for window, counts in self._own.items()}

    def apply_report(self, daemon: str, counts: ReportedCounts) -> None:
        """Apply another gateway's counts; `daemon` differs for each start of a process."""
        recorded = self._peers.setdefault(daemon, {})
        for window, accounts in counts.items():
            recorded[int(window)] = accounts
        if recorded:
            _discard_before(recorded, max(recorded) - RETAINED_WINDOWS)

    def describe_processes(self) -> dict[str, ReportedCounts]:
        """Return the counts of this process and of the processes that have reported, by process."""
        own = {self._process: self.describe_own()}
        peers = {
            process: {str(window): dict(accounts) for window, accounts in counts.items()}
            for process, counts in self._peers.items()
        }
        return {process: counts for process, counts in (own | peers).items() if counts}

    def merge_stored(self, process: str, counts: ReportedCounts) -> None:
        """Merge stored counts of a process; a count that the process reported is never lowered."""
        if process == self._process:
            return
        windows = self._peers.setdefault(process, {})
        for window, accounts in counts.items():
            recorded = windows.setdefault(int(window), {})
            for account, count in accounts.items():
                recorded[account] = max(recorded.get(account, 0), int(count))

    def discard_before(self, oldest: int) -> None:
        """Discard the windows before `oldest`, and the processes without later counts."""
        for counts in (self._own, *self._peers.values()):
            _discard_before(counts, oldest)
        for process in [process for process, counts in self._peers.items() if not counts]:
            del self._peers[process]

    def sum_window(self, window: int) -> dict[str, int]:
        """Return the counts of a window over all gateways."""
        sums: dict[str, int] = defaultdict(int)
        for counts in (self._own, *self._peers.values()):
            for account, count in counts.get(window, {}).items():
                sums[account] += count
        return dict(sums)


def _discard_before(counts: Counts, oldest: int) -> None:
    for window in [window for window in counts if window < oldest]:
        del counts[window]


class UsageApi(Protocol):
    """Accepts usage reports."""

    def report_usage(self, window: int, counts: Mapping[str, int], fencing: int) -> bool:
        """Report one window; return whether the report was accepted."""


class UsageDuty:
    """Reports each window; a repeated report has the same counts.

    Explanation
    ===========

    The counts are written to the object service before they are reported. A holder that takes
    over in between reads them there and reports exactly the same counts.

    If the service comes back from a copy, the counts of a window that an earlier holder has reported may be
    missing there. Such a window is left out: a second report with other counts would contradict the first.

    Parameters
    ==========

    counts : the counts of this process and its peers.
    store : stores the final counts of each window.
    api : accepts the reports.
    load_stored : loads the counts that an earlier holder stored for windows that are not reported yet.
    get_period : returns the interval at which other gateways report their counts.
    find_return_ms : returns the wall-clock time at which the object service had come back from a copy; minus
        infinity if it has not.
    """

    def __init__(
        self,
        counts: UsageCounts,
        store: ConditionalStore,
        api: UsageApi,
        load_stored: Callable[[], None] = lambda: None,
        get_period: Callable[[], UsagePeriod] = lambda: UsagePeriod(),
        find_return_ms: Callable[[], float] = lambda: float("-inf"),
    ) -> None:
        self._load_stored = load_stored
        self._get_period = get_period
        self._find_return_ms = find_return_ms
        self._taken_over_ms = float("-inf")
        self._counts = counts
        self._store = store
        self._api = api
        self._reported: set[int] = set()
        self._first_window: int | None = None
        self._reports_from_ms = float("-inf")

    def take_over(self, wall_ms: float) -> None:
        """Start as a new holder, and wait for the counts of the other gateways."""
        self._first_window = None
        self._taken_over_ms = wall_ms
        self._reports_from_ms = wall_ms + self._get_period().takeover_ms

    def list_due(self, wall_ms: float) -> list[int]:
        """Return the windows that have ended and that this process has not reported."""
        if wall_ms < self._reports_from_ms:
            return []
        settled_ms = wall_ms - self._get_period().settle_ms
        last = self._counts.find_window(settled_ms) - 1
        if self._first_window is None:
            self._first_window = last - TAKEOVER_WINDOWS
        first = max(self._first_window, last - RETAINED_WINDOWS // 2)
        return [window for window in range(first, last + 1) if window not in self._reported]

    def report(self, window: int, get_fencing: Callable[[], int]) -> None:
        """Fix the counts of a window and report them.

        Raises
        ======

        PlatformError : the object service or the API did not answer; the report has to be retried.
        LeaseError : the lease is no longer held.
        """
        self._load_stored()
        counts = self._find_lost(window) if self._may_be_lost(window) else self._decide(window)
        if counts is None:
            return
        fencing = get_fencing()
        if self._api.report_usage(window, counts, fencing):
            log_event(Event.USAGE_REPORTED, window=window, counts=counts, fencing=fencing)
            self._reported.add(window)
            self._counts.discard_before(window - RETAINED_WINDOWS)

    def _may_be_lost(self, window: int) -> bool:
        """Return whether an earlier holder may have fixed the counts of a window in writes that were lost."""
        end_ms = self._counts.find_end_ms(window)
        return end_ms <= self._taken_over_ms and end_ms <= self._find_return_ms()

    def _find_lost(self, window: int) -> dict[str, int] | None:
        """Return the counts that an earlier holder fixed; without them the window counts as reported."""
        found = self._store.read(USAGE_KIND, str(window))
        counts = _read_counts(found)
        if counts is not None:
            return counts
        log_event(Event.USAGE_WINDOW_LEFT_OUT, "warning", window=window)
        self._reported.add(window)
        return None

    def _decide(self, window: int) -> dict[str, int] | None:
        """Return the counts stored in the object service, by this process or an earlier holder.

        Returns None if the object service has no counts for the window.
        """
        counts = self._counts.sum_window(window)
        outcome = self._store.create(USAGE_KIND, str(window), {"counts": counts})
        if isinstance(outcome, Written):
            return counts
        found = self._store.read(USAGE_KIND, str(window))
        return _read_counts(found)


def _read_counts(found: StoredObject | None) -> dict[str, int] | None:
    """Return the counts in a stored object; None if there is none or it is malformed."""
    if found is None:
        return None
    try:
        return {str(account): int(count) for account, count in found.value["counts"].items()}
    except (TypeError, KeyError, ValueError, OverflowError, AttributeError) as error:
        log_event(
            Event.OBJECT_UNREADABLE,
            "warning",
            kind=found.kind,
            name=found.name,
            detail=repr(error),
        )
        return None
