"""Tracks this daemon's requests in progress at each backend server, and estimates the servers' load."""

from collections.abc import Sequence
from dataclasses import dataclass, field

from hemlockswitch.connection.loads import LoadReport
from hemlockswitch.core.clock import Clock
from hemlockswitch.core.events import Event
from hemlockswitch.core.identifiers import make_identifier
from hemlockswitch.core.logs import log_event
from hemlockswitch.process.servers.circuits import Circuit
from hemlockswitch.process.servers.loads import PeerLoad, ServerLoad, Ticket, average_peer_load
from hemlockswitch.request.routing import Candidate
from hemlockswitch.version.backend import BackendServer

DEFAULT_SERVICE_MS = 1_000.0
DEFAULT_TOKEN_MS = 20.0
SERVICE_WEIGHT = 0.05
DEFAULT_PREFILL_TOKENS_PER_S = 4_000.0


@dataclass
class _TokenRate:
    """Exponentially weighted time and number of tokens after the first one."""

    spent_ms: float = 0.0
    tokens: float = 0.0

    def add(self, spent_ms: float, tokens: int) -> None:
        """Add one answer."""
        self.spent_ms = self.spent_ms * (1 - SERVICE_WEIGHT) + spent_ms
        self.tokens = self.tokens * (1 - SERVICE_WEIGHT) + tokens

    @property
    def token_ms(self) -> float:
        """Mean time between two tokens."""
        return self.spent_ms / self.tokens if self.tokens else DEFAULT_TOKEN_MS


@dataclass
class _ServerState:
    """This daemon's state of one backend server."""

    load: ServerLoad = field(default_factory=ServerLoad)
    circuit: Circuit = field(default_factory=Circuit)


class Dispatches:
    """Tickets of requests in progress, load reports and failures, by server name."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._states: dict[str, _ServerState] = {}
        self._paces: dict[str, _TokenRate] = {}
        self.service_ms: dict[str, float] = {}

    def begin(self, name: str, serves: str, prompt_tokens: int, max_tokens: int) -> Ticket:
        """Count a request as in progress at the server."""
        now_ms = self._clock.now_ms()
        ticket = Ticket(make_identifier("tkt"), name, prompt_tokens, now_ms, serves, max_tokens)
        state = self._get_state(name)
        state.load.begin(ticket)
        state.circuit.record_trial(now_ms)
        return ticket

    def record_first_token(self, ticket: Ticket) -> None:
        """Record that the request's prompt has been computed."""
        state = self._get_state(ticket.server_name)
        state.load.record_first_token(ticket, self._clock.now_ms())
        state.circuit.record_success()

    def end(self, ticket: Ticket, failed: bool) -> None:
        """Count the request as ended; further calls for the ticket have no effect."""
        now_ms = self._clock.now_ms()
        state = self._get_state(ticket.server_name)
        first_token_ms = state.load.first_token_ms.get(ticket.identifier)
        if not state.load.end(ticket, now_ms):
            return
        if failed:
            state.circuit.record_failure(now_ms)
            log_event(Event.BACKEND_FAILED, "warning", vm=ticket.server_name)
        else:
            state.circuit.record_success()
            self._record_service_time(ticket, now_ms)
            if first_token_ms is not None and ticket.max_tokens > 1:
                pace = self._paces.setdefault(ticket.serves, _TokenRate())
                pace.add(now_ms - first_token_ms, ticket.max_tokens - 1)

    def record_load(self, name: str, report: LoadReport, round_trip_ms: float) -> None:
        """Record a load report of a server."""
        self._get_state(name).load.record(report, self._clock.now_ms(), round_trip_ms)

    def count_waiting(self) -> int:
        """Return the number of requests at all servers that wait for their first token."""
        return sum(len(state.load.waiting) for state in self._states.values())

    def count_in_flight(self, name: str) -> int:
        """Return the number of requests in progress at the server."""
        state = self._states.get(name)
        return len(state.load.tickets) if state else 0

    def is_draining(self, name: str) -> bool:
        """Return whether the server's last report says that it accepts no new requests."""
        state = self._states.get(name)
        report = state.load.report if state else None
        return report is not None and report.draining

    def is_failing(self, name: str) -> bool:
        """Return whether the server is in a back-off after failures."""
        state = self._states.get(name)
        return state is not None and state.circuit.is_open(self._clock.now_ms())

    def evict(self, name: str) -> None:
        """Evict the state of a removed server, unless requests are in progress there."""
        if self.count_in_flight(name) == 0:
            self._states.pop(name, None)

    def estimate(self, servers: Sequence[BackendServer]) -> list[Candidate]:
        """Return the servers of one target with their currently estimated load."""
        now_ms = self._clock.now_ms()
        loads = {server.name: self._get_state(server.name).load for server in servers}
        typical = average_peer_load(loads, now_ms)
        return [self._estimate(server, loads[server.name], typical, now_ms) for server in servers]

    def _estimate(
        self, server: BackendServer, load: ServerLoad, typical: PeerLoad, now_ms: float
    ) -> Candidate:
        others = load.estimate_peer_load(now_ms, typical)
        report = load.report
        speed = report.prefill_tokens_per_s if report else DEFAULT_PREFILL_TOKENS_PER_S
        return Candidate(
            server,
            own_requests=len(load.tickets),
            other_requests=others.requests,
            reported_requests=report.running + report.waiting if report else 0,
            prefill_tokens=load.own_prefill_tokens + others.prefill_tokens,
            slots=report.slots if report else 0,
            prefill_tokens_per_s=speed,
            service_ms=self._estimate_service_ms(server, load),
            distance_ms=load.distance_ms,
        )

    def _estimate_service_ms(self, server: BackendServer, load: ServerLoad) -> float:
        """Return the expected time of a request in its slot, from the maximum sizes of those in progress.

        Where these have none, it is the target's mean time.
        """
        if load.mean_max_tokens:
            return load.mean_max_tokens * self._paces.get(server.serves, _TokenRate()).token_ms
        return self.service_ms.get(server.serves, DEFAULT_SERVICE_MS)

    def _get_state(self, name: str) -> _ServerState:
        state = self._states.get(name)
        if state is None:
            state = self._states[name] = _ServerState()
        return state

    def _record_service_time(self, ticket: Ticket, now_ms: float) -> None:
        """Update the target's moving average of the time in a slot."""
        held_ms = now_ms - ticket.begun_ms
        mean_ms = self.service_ms.get(ticket.serves, held_ms)
        self.service_ms[ticket.serves] = mean_ms + SERVICE_WEIGHT * (held_ms - mean_ms)
