"""The rate limits that backend servers state, as observed here and reported by other gateways."""

from collections.abc import Collection
from dataclasses import dataclass
from typing import Any

from hemlockswitch.core.clock import Clock
from hemlockswitch.core.events import Event
from hemlockswitch.core.logs import log_event
from hemlockswitch.request.permits import UNLIMITED, LimitStatement

MAX_SERVERS = 16_384
"""Maximum number of servers whose statements are recorded; more than a fleet has."""
UNLISTED_RETENTION_MS = 10_000.0
"""How long the statement of a server that is not registered is kept: another gateway may have learned of the
server earlier."""
OWN = "own"
"""Source of a statement that this gateway observed in an answer."""
NEVER_STATED = LimitStatement()


@dataclass
class _Record:
    """The newest statement of a server.

    Parameters
    ==========

    source : `OWN`, or the name of the gateway that reported it.
    learned_ms : when this gateway learned of it.
    limited_since_ms : when this gateway learned that the server is limited; None if it is not.
    """

    statement: LimitStatement
    source: str
    learned_ms: float
    limited_since_ms: float | None


class ServerLimits:
    """The newest statement of each server, by incarnation.

    Explanation
    ===========

    A change gets the next number of its server, so that the newer of two statements is known wherever they
    meet. A limit may end or rise only by the answer to a request that was sent after the present statement
    was learned: answers overtake one another, and an older one says nothing about the present.

    Parameters
    ==========

    clock : the time.
    began, ended : the events that are logged when a server states a limit, and when it states none.
    """

    def __init__(
        self,
        clock: Clock,
        began: Event = Event.SERVER_LIMITED,
        ended: Event = Event.SERVER_UNLIMITED,
    ) -> None:
        self._began = began
        self._ended = ended
        self._clock = clock
        self._records: dict[str, _Record] = {}
        self._limited: set[str] = set()

    @property
    def has_limited(self) -> bool:
        """Whether any server is limited."""
        return bool(self._limited)

    @property
    def has_records(self) -> bool:
        """Whether any server has stated a limit since it was registered."""
        return bool(self._records)

    def is_limited(self, incarnation: str) -> bool:
        """Return whether a server is limited."""
        return incarnation in self._limited

    def get(self, incarnation: str) -> LimitStatement:
        """Return the newest statement of a server."""
        record = self._records.get(incarnation)
        return NEVER_STATED if record is None else record.statement

    def record_answer(self, incarnation: str, limit_per_s: float, sent_ms: float) -> bool:
        """Record the limit in a server's answer; return whether it has changed.

        Parameters
        ==========

        limit_per_s : the stated limit; infinite if the answer has none.
        sent_ms : when the answered request was sent.
        """
        record = self._records.get(incarnation)
        known = NEVER_STATED if record is None else record.statement
        if limit_per_s == known.limit_per_s:
            return False
        is_looser = limit_per_s > known.limit_per_s
        if record is not None and is_looser and sent_ms < record.learned_ms:
            return False
        return self._put(incarnation, known.follow(limit_per_s), OWN)

    def merge(self, incarnation: str, statement: LimitStatement, source: str) -> bool:
        """Record a newer statement of another gateway; return whether it changes the limit."""
        known = self.get(incarnation)
        if not statement.supersedes(known):
            return False
        has_changed = statement.limit_per_s != known.limit_per_s
        return self._put(incarnation, statement, source) and has_changed

    def evict(self, incarnation: str) -> None:
        """Discard the statement of a server that was removed."""
        self._records.pop(incarnation, None)
        self._limited.discard(incarnation)

    def measure_limited_ms(self, incarnation: str) -> float:
        """Return for how long a server has been known to be limited; 0 if it is not."""
        record = self._records.get(incarnation)
        if record is None or record.limited_since_ms is None:
            return 0.0
        return self._clock.now_ms() - record.limited_since_ms

    def list_unlisted(self, listed: Collection[str]) -> list[str]:
        """Return the recorded servers that have not been registered for a while."""
        oldest_ms = self._clock.now_ms() - UNLISTED_RETENTION_MS
        return [
            incarnation
            for incarnation, record in self._records.items()
            if incarnation not in listed and record.learned_ms < oldest_ms
        ]

    def count_limited(self) -> int:
        """Return the number of limited servers."""
        return len(self._limited)

    def describe(self) -> list[dict[str, Any]]:
        """Return the limited servers for the status page."""
        now_ms = self._clock.now_ms()
        return [
            {
                "server": incarnation,
                "limit_per_s": record.statement.limit_per_s,
                "number": record.statement.number,
                "source": record.source,
                "limited_for_ms": round(now_ms - record.limited_since_ms),
                "learned_ms_ago": round(now_ms - record.learned_ms),
            }
            for incarnation, record in self._records.items()
            if record.limited_since_ms is not None
        ]

    def _put(self, incarnation: str, statement: LimitStatement, source: str) -> bool:
        before = self._records.get(incarnation)
        if before is None and len(self._records) >= MAX_SERVERS:
            return False
        now_ms = self._clock.now_ms()
        since_ms = None
        if statement.is_limited:
            known_ms = None if before is None else before.limited_since_ms
            since_ms = now_ms if known_ms is None else known_ms
        self._records[incarnation] = _Record(statement, source, now_ms, since_ms)
        self._log(incarnation, statement, source)
        if statement.is_limited:
            self._limited.add(incarnation)
        else:
            self._limited.discard(incarnation)
        return True

    def _log(self, incarnation: str, statement: LimitStatement, source: str) -> None:
        """Log a limit that begins or ends; a changed limit is visible on the status page."""
        if statement.is_limited == self.is_limited(incarnation):
            return
        if statement.is_limited:
            log_event(
                self._began,
                server=incarnation,
                limit_per_s=statement.limit_per_s,
                statement=statement.number,
                source=source,
            )
        else:
            log_event(
                self._ended,
                server=incarnation,
                statement=statement.number,
                source=source,
            )


def read_statement(number: int, limit_per_s: float | None) -> LimitStatement:
    """Return the statement of a message, in which None stands for no limit."""
    return LimitStatement(number, UNLIMITED if limit_per_s is None else float(limit_per_s))


def write_limit(statement: LimitStatement) -> float | None:
    """Return the limit of a statement in the form used by messages."""
    return statement.limit_per_s if statement.is_limited else None
