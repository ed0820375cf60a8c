"""Detection of header fields in backend servers' answers that this adapter does not know or cannot read.

A field that the adapter does not read may contain a statement that the server expects to be followed.
"""

from collections.abc import Iterable

from hemlockswitch.connection.heads import Header
from hemlockswitch.core.clock import Clock, SystemClock
from hemlockswitch.core.events import Event
from hemlockswitch.core.logs import log_event

MAX_UNKNOWN_FIELDS = 64
"""Maximum number of unknown names that are remembered and logged by a process."""
MAX_LOGGED_CHARACTERS = 80
MIN_LINE_INTERVAL_MS = 1_000.0


class UnknownFields:
    """Logs each unknown field name once.

    Parameters
    ==========

    known : the lowercase names that the adapter knows.

    Examples
    ========

    >>> fields = UnknownFields(frozenset({"date"}))
    >>> fields.record([("Date", "today")])
    >>> fields.names
    set()
    """

    def __init__(self, known: frozenset[str]) -> None:
        self._known = known
        self.names: set[str] = set()

    def record(self, headers: Iterable[Header]) -> None:
        """Log the names of an answer's fields that are neither known nor logged yet."""
        for name, value in headers:
            lowered = name.lower()
            if lowered not in self._known and lowered not in self.names:
                self._record_unknown(name, value)

    def _record_unknown(self, name: str, value: str) -> None:
        if len(self.names) >= MAX_UNKNOWN_FIELDS:
            return
        self.names.add(name.lower())
        log_event(
            Event.ANSWER_FIELD_UNKNOWN,
            field=name[:MAX_LOGGED_CHARACTERS],
            value=value[:MAX_LOGGED_CHARACTERS],
        )


class UnreadableFields:
    """Logs fields with malformed values, at most one line each second.

    Parameters
    ==========

    clock : the time.
    """

    def __init__(self, clock: Clock | None = None) -> None:
        self._clock = clock or SystemClock()
        self._logged_ms = float("-inf")

    def record(self, name: str, value: str) -> None:
        """Log a field, unless one was logged within the last second."""
        now_ms = self._clock.now_ms()
        if now_ms - self._logged_ms < MIN_LINE_INTERVAL_MS:
            return
        self._logged_ms = now_ms
        log_event(
            Event.ANSWER_FIELD_UNREADABLE,
            "warning",
            field=name,
            value=value[:MAX_LOGGED_CHARACTERS],
        )
