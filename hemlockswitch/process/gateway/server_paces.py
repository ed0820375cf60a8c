"""The paces of the backend servers, as they state them to this gateway and to others."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any

from hemlockswitch.core.clock import Clock
from hemlockswitch.process.gateway.managed_services import ManagedServices
from hemlockswitch.process.gateway.messages import Loads
from hemlockswitch.request.forwarding_view import SendTicket
from hemlockswitch.request.pace import (
    LIFETIME_MS,
    OVERDUE_FACTOR,
    USUAL,
    ObservedPace,
    PaceStatement,
    fade_pace,
)
from hemlockswitch.version.backend import BackendServer

PERCENT = 100.0
MAX_REPORTED_AGE_MS = LIFETIME_MS
CHANGED_FACTOR = 1.5
"""A pace that differs by this factor from the one in use is reported to the other gateways at once."""


@dataclass
class _Attempt:
    """An attempt whose answer has not begun."""

    began_ms: float
    expected_ms: float


class ServerPaces:
    """The newest pace statement of each server, and the evidence of its answers.

    All state is keyed by incarnation. Servers that state no pace have the usual one, whatever their answers take.

    Parameters
    ==========

    managed : is notified of services whose servers state their pace.
    find_service : returns the service of a registered server by its incarnation; empty if it is not registered.
    clock : the time.
    on_change : called when a server has stated a pace that differs much from the one in use.
    """

    def __init__(
        self,
        managed: ManagedServices,
        find_service: Callable[[str], str],
        clock: Clock,
        on_change: Callable[[], None] = lambda: None,
    ) -> None:
        self.received = {"own": 0, "reported": 0}
        self._managed = managed
        self._find_service = find_service
        self._clock = clock
        self._on_change = on_change
        self._statements: dict[str, PaceStatement] = {}
        self._own: dict[str, PaceStatement] = {}
        self._observed: dict[str, ObservedPace] = {}
        self._waiting: dict[str, dict[int, _Attempt]] = {}
        self._last_number = 0

    @property
    def has_any(self) -> bool:
        """Whether any server has stated its pace."""
        return bool(self._statements)

    def record(self, server: BackendServer, pace: float) -> None:
        """Record the pace in an answer of a server to this gateway."""
        now_ms = self._clock.now_ms()
        before = self.find_pace(server.incarnation)
        self.received["own"] += 1
        self._statements[server.incarnation] = PaceStatement(pace, now_ms)
        self._own[server.incarnation] = self._statements[server.incarnation]
        self._managed.record_pace(server.serves, server.incarnation)
        if _differs(pace, before):
            self._on_change()

    def apply_reported(self, loads: Loads) -> bool:
        """Apply the paces in another gateway's report; entries without one have two figures.

        Return whether a pace differs much from the one in use.
        """
        now_ms = self._clock.now_ms()
        is_changed = False
        for incarnation, entry in loads.items():
            if len(entry) < 4:
                continue
            pace, age_ms = float(entry[2]) / PERCENT, float(entry[3])
            service = self._find_service(incarnation)
            if not service or pace <= 0 or not 0 <= age_ms <= MAX_REPORTED_AGE_MS:
                continue
            self.received["reported"] += 1
            self._managed.record_pace(service, incarnation)
            before = self._statements.get(incarnation)
            if before is None or before.stated_ms < now_ms - age_ms:
                is_changed = is_changed or _differs(pace, self.find_pace(incarnation))
                self._statements[incarnation] = PaceStatement(pace, now_ms - age_ms)
        return is_changed

    def add_to(self, loads: Loads) -> Loads:
        """Return the load entries of a report, with the pace of each server that has lately stated it here.

        A server with a fresh statement gets an entry also if this gateway has no load on it.
        """
        now_ms = self._clock.now_ms()
        for incarnation, statement in list(self._own.items()):
            age_ms = now_ms - statement.stated_ms
            if age_ms > MAX_REPORTED_AGE_MS:
                del self._own[incarnation]
            elif incarnation in loads or statement.is_fresh(now_ms):
                running, waiting_tokens = loads.get(incarnation, (0, 0))[:2]
                pace_percent = max(round(statement.pace * PERCENT), 1)
                loads[incarnation] = (running, waiting_tokens, pace_percent, round(age_ms))
        return loads

    def find_pace(self, incarnation: str) -> float:
        """Return the factor by which work is expected to take longer than usual on a server now."""
        statement = self._statements.get(incarnation)
        if statement is None:
            return USUAL
        now_ms = self._clock.now_ms()
        observed = self._observed.get(incarnation)
        stated = statement.pace if observed is None else observed.bound(statement.pace)
        pace = fade_pace(stated, now_ms - statement.stated_ms)
        return pace * OVERDUE_FACTOR if self._is_overdue(incarnation, statement, now_ms) else pace

    def measure_age_ms(self, incarnation: str) -> float | None:
        """Return the age of a server's last statement, or None if there is none."""
        statement = self._statements.get(incarnation)
        return None if statement is None else self._clock.now_ms() - statement.stated_ms

    def _is_overdue(self, incarnation: str, statement: PaceStatement, now_ms: float) -> bool:
        """Return whether an attempt without an answer shows that the statement is out of date."""
        return any(
            now_ms - attempt.began_ms > OVERDUE_FACTOR * attempt.expected_ms
            and statement.stated_ms < attempt.began_ms + attempt.expected_ms
            for attempt in self._waiting.get(incarnation, {}).values()
        )

    def begin_attempt(
        self, server: BackendServer, expected_ms: float, ticket: SendTicket
    ) -> SendTicket:
        """Return the ticket of an attempt that also records its wait; only for servers that state a pace."""
        if server.incarnation not in self._statements:
            return ticket
        self._last_number += 1
        attempts = self._waiting.setdefault(server.incarnation, {})
        attempts[self._last_number] = _Attempt(self._clock.now_ms(), expected_ms)
        return _PacedTicket(ticket, self, server.incarnation, self._last_number)

    def end_wait(self, incarnation: str, number: int) -> None:
        """Record that an attempt has been answered or has ended."""
        attempts = self._waiting.get(incarnation, {})
        attempts.pop(number, None)
        if not attempts:
            self._waiting.pop(incarnation, None)

    def record_answer(self, incarnation: str, ratio: float) -> None:
        """Record that an answer took `ratio` times the time predicted for the usual pace."""
        if incarnation in self._statements:
            self._observed.setdefault(incarnation, ObservedPace()).record(ratio)

    def evict(self, incarnation: str) -> None:
        """Discard the state of a removed server."""
        for state in (self._statements, self._own, self._observed, self._waiting):
            state.pop(incarnation, None)

    def count_slow(self) -> int:
        """Return the number of servers that are expected to be slower than usual by `CHANGED_FACTOR`."""
        return sum(self.find_pace(name) >= CHANGED_FACTOR for name in self._statements)

    def describe(self) -> Mapping[str, Any]:
        """Return the paces for the status page, with the age of each statement."""
        return {
            name: {
                "stated": round(statement.pace, 2),
                "age_ms": round(self._clock.now_ms() - statement.stated_ms),
                "in_use": round(self.find_pace(name), 2),
            }
            for name, statement in sorted(self._statements.items())
        }


def _differs(pace: float, before: float) -> bool:
    return max(pace, before) >= CHANGED_FACTOR * min(pace, before)


class _PacedTicket:
    """Send ticket that also ends the wait for the server's answer.

    Parameters
    ==========

    ticket : counts the attempt in the server's load.
    number : identifies the attempt.
    """

    def __init__(
        self, ticket: SendTicket, paces: ServerPaces, incarnation: str, number: int
    ) -> None:
        self._ticket = ticket
        self._paces = paces
        self._incarnation = incarnation
        self._number = number

    def record_first_event(self, *, succeeds: bool) -> None:
        """Record that the answer has begun."""
        self._paces.end_wait(self._incarnation, self._number)
        self._ticket.record_first_event(succeeds=succeeds)

    def end(self, failed: bool) -> None:
        """Record that the attempt has ended."""
        self._paces.end_wait(self._incarnation, self._number)
        self._ticket.end(failed)
