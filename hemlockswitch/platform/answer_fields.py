"""Detection of header fields in backend servers' answers that this adapter does not know.

A field that the adapter does not read may contain a statement that the server expects to be followed.
"""

from collections.abc import Iterable

from hemlockswitch.connection.heads import Header
from hemlockswitch.core.events import Event
from hemlockswitch.core.logs import log_event

KNOWN_FIELDS = frozenset(
    {
        "cache-control",
        "connection",
        "content-encoding",
        "content-length",
        "content-type",
        "date",
        "hemlockswitch-instance-id",
        "hemlockswitch-instance-load",
        "hemlockswitch-not-executed",
        "hemlockswitch-request-id",
        "hemlockswitch-response-seal",
        "hemlockswitch-weight-versions",
        "keep-alive",
        "retry-after",
        "server",
        "transfer-encoding",
    }
)
MAX_UNKNOWN_FIELDS = 64
"""Maximum number of unknown names that are remembered and logged by a process."""
MAX_LOGGED_CHARACTERS = 80


class UnknownFields:
    """Logs each unknown field name once.

    Examples
    ========

    >>> fields = UnknownFields()
    >>> fields.record([("Date", "today")])
    >>> fields.names
    set()
    """

    def __init__(self) -> None:
        self.names: set[str] = set()

    def record(self, headers: Iterable[Header]) -> None:
        """Log the names of an answer's fields that are neither known nor logged yet."""
        for name, value in headers:
            lowered = name.lower()
            if lowered not in KNOWN_FIELDS and lowered not in self.names:
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
