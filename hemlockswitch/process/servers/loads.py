"""The load of one backend server: this daemon's requests in progress, and an estimate of its peers'."""

import math
from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass, field

from hemlockswitch.connection.loads import LoadReport

HISTORY_LENGTH = 256
REPORT_DECAY_MS = 2_000.0
MAX_REPORT_AGE_MS = 10_000.0
MAX_RETAINED_ROUND_TRIPS = 16


@dataclass(frozen=True)
class Ticket:
    """One request of this daemon in progress at a backend server.

    Parameters
    ==========

    prompt_tokens : prompt tokens that the server had to compute when the request started.
    serves : the model or service.
    max_tokens : maximum number of answer tokens; 0 for a request without tokens.
    """

    identifier: str
    server_name: str
    prompt_tokens: int
    begun_ms: float
    serves: str = ""
    max_tokens: int = 0


@dataclass(frozen=True)
class PeerLoad:
    """Estimated load of a server by requests of other daemons."""

    requests: float = 0.0
    prefill_tokens: float = 0.0


@dataclass(frozen=True)
class _Reading:
    """A load report, and its remainder after subtracting this daemon's requests at the time of measurement."""

    report: LoadReport
    measured_ms: float
    others: PeerLoad


@dataclass
class ServerLoad:
    """This daemon's view of the load of one backend server."""

    tickets: dict[str, Ticket] = field(default_factory=dict)
    waiting: dict[str, Ticket] = field(default_factory=dict)
    first_token_ms: dict[str, float] = field(default_factory=dict)
    _reading: _Reading | None = None
    _history: deque[tuple[float, int, int]] = field(
        default_factory=lambda: deque(maxlen=HISTORY_LENGTH)
    )
    _round_trips_ms: deque[float] = field(
        default_factory=lambda: deque(maxlen=MAX_RETAINED_ROUND_TRIPS)
    )

    @property
    def report(self) -> LoadReport | None:
        """The newest report, or None."""
        return self._reading.report if self._reading else None

    @property
    def own_prefill_tokens(self) -> int:
        """Prompt tokens of this daemon's requests that wait for their first token."""
        return sum(ticket.prompt_tokens for ticket in self.waiting.values())

    @property
    def distance_ms(self) -> float:
        """One-way latency to the server: half of the shortest recent round trip."""
        return min(self._round_trips_ms, default=0.0) / 2

    def begin(self, ticket: Ticket) -> None:
        """Count a request as in progress."""
        self.tickets[ticket.identifier] = ticket
        self.waiting[ticket.identifier] = ticket
        self._record_history(ticket.begun_ms)

    def record_first_token(self, ticket: Ticket, now_ms: float) -> None:
        """Count a request's prompt as computed."""
        if self.waiting.pop(ticket.identifier, None) is not None:
            self.first_token_ms[ticket.identifier] = now_ms
            self._record_history(now_ms)

    @property
    def mean_max_tokens(self) -> float:
        """Mean `max_tokens` of this daemon's requests in progress; 0 without any."""
        sizes = [ticket.max_tokens for ticket in self.tickets.values()]
        return sum(sizes) / len(sizes) if sizes else 0.0

    def end(self, ticket: Ticket, now_ms: float) -> bool:
        """Count a request as ended; return False if it had already ended."""
        if self.tickets.pop(ticket.identifier, None) is None:
            return False
        self.waiting.pop(ticket.identifier, None)
        self.first_token_ms.pop(ticket.identifier, None)
        self._record_history(now_ms)
        return True

    def record(self, report: LoadReport, now_ms: float, round_trip_ms: float) -> None:
        """Record a load report that has just arrived."""
        self._round_trips_ms.append(round_trip_ms)
        measured_ms = now_ms - report.age_ms - round_trip_ms / 2
        own_requests, own_prefill = self._find_own_load(measured_ms)
        others = PeerLoad(
            max(report.running + report.waiting - own_requests, 0),
            max(report.prefill_backlog - own_prefill, 0),
        )
        self._reading = _Reading(report, measured_ms, others)

    def estimate_peer_load(self, now_ms: float, typical: PeerLoad) -> PeerLoad:
        """Return the current load by other daemons.

        Explanation
        ===========

        As a report ages, the estimate decays from its value to `typical`, the mean over the target's
        servers. Otherwise a server whose old report shows it idle would attract the requests of all
        daemons.
        """
        if self._reading is None:
            return typical
        age_ms = now_ms - self._reading.measured_ms
        if age_ms > MAX_REPORT_AGE_MS:
            return typical
        trust = math.exp(-age_ms / REPORT_DECAY_MS)
        reported = self._reading.others
        return PeerLoad(
            trust * reported.requests + (1 - trust) * typical.requests,
            trust * reported.prefill_tokens + (1 - trust) * typical.prefill_tokens,
        )

    def find_reported_peer_load(self, now_ms: float) -> PeerLoad | None:
        """Return the load by other daemons from the last report, or None if the report is too old."""
        if self._reading is None or now_ms - self._reading.measured_ms > MAX_REPORT_AGE_MS:
            return None
        return self._reading.others

    def _record_history(self, now_ms: float) -> None:
        self._history.append((now_ms, len(self.tickets), self.own_prefill_tokens))

    def _find_own_load(self, at_ms: float) -> tuple[int, int]:
        """Return this daemon's requests and prompt tokens in progress at a past time."""
        for then_ms, requests, prefill_tokens in reversed(self._history):
            if then_ms <= at_ms:
                return requests, prefill_tokens
        if len(self._history) == HISTORY_LENGTH:
            _, requests, prefill_tokens = self._history[0]
            return requests, prefill_tokens
        return 0, 0


def average_peer_load(loads: Mapping[str, ServerLoad], now_ms: float) -> PeerLoad:
    """Return the mean load by other daemons over the servers with a recent report.

    Examples
    ========

    >>> average_peer_load({}, 0)
    PeerLoad(requests=0.0, prefill_tokens=0.0)
    """
    reported = [load.find_reported_peer_load(now_ms) for load in loads.values()]
    recent = [others for others in reported if others is not None]
    if not recent:
        return PeerLoad()
    return PeerLoad(
        sum(others.requests for others in recent) / len(recent),
        sum(others.prefill_tokens for others in recent) / len(recent),
    )
