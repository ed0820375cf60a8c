"""The directory of backend servers: who may get new work, and how loaded each one is."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from hemlockswitch.core.clock import Clock
from hemlockswitch.core.identifiers import make_identifier
from hemlockswitch.process.news import NewsBoard, NewsItem
from hemlockswitch.request.routing import Candidate
from hemlockswitch.version.backend import BackendServer, BackendState

VM_PREFIX = "vm/"
NOTICE_PREFIX = "notice/"
FIRST_BACK_OFF_MS = 250.0
MAX_BACK_OFF_MS = 8_000.0

LeavingListener = Callable[[str, int], None]


@dataclass(frozen=True)
class Ticket:
    """One request of this daemon in progress at a backend server."""

    identifier: str
    server_name: str
    prompt_tokens: int
    begun_ms: float


@dataclass(frozen=True)
class LoadReport:
    """What a backend server last said of its load.

    Parameters
    ==========

    running, waiting : requests with and without a slot, of all daemons.
    slots : requests that it works on at once.
    prefill_tokens_per_s : speed of computing prompt tokens.
    measured_ms : this daemon's clock when the engine counted.
    own_requests : this daemon's own requests there at that time.
    """

    running: int
    waiting: int
    slots: int
    prefill_tokens_per_s: float
    measured_ms: float
    own_requests: int


@dataclass
class _Circuit:
    """Failures of a backend server in a row and when it may be tried again."""

    failures: int = 0
    closed_until_ms: float = 0.0


@dataclass
class _Known:
    """All that this daemon knows of one backend server."""

    server: BackendServer
    tickets: dict[str, Ticket] = field(default_factory=dict)
    waiting: dict[str, Ticket] = field(default_factory=dict)
    report: LoadReport | None = None
    circuit: _Circuit = field(default_factory=_Circuit)


class BackendDirectory:
    """The backend servers of a daemon, learned from its news board.

    Parameters
    ==========

    board : where facts of VMs and reclaim notices arrive.
    clock : the process's clock.
    zone : the daemon's own availability zone.
    """

    def __init__(self, board: NewsBoard, clock: Clock, zone: str) -> None:
        self._clock = clock
        self._zone = zone
        self._known: dict[str, _Known] = {}
        self._leaving: dict[str, int] = {}
        self._draining: frozenset[str] = frozenset()
        self._listeners: list[LeavingListener] = []
        board.add_listener(VM_PREFIX, self._learn_vm)
        board.add_listener(NOTICE_PREFIX, self._learn_notice)
        for item in board.list_items(VM_PREFIX):
            self._learn_vm(item)
        for item in board.list_items(NOTICE_PREFIX):
            self._learn_notice(item)

    def add_leaving_listener(self, listener: LeavingListener) -> None:
        """Call ``listener(name, deadline_wall_ms)`` once for each server learned to be leaving.

        The deadline is 0 when nobody said one. The listener must return at once.
        """
        self._listeners.append(listener)

    def set_draining(self, names: Iterable[str]) -> None:
        """Give no new work to `names`, the planned stops of the configuration in force."""
        self._draining = frozenset(names)

    def is_leaving(self, name: str) -> bool:
        """Return whether the server was ever learned to be leaving."""
        return name in self._leaving

    def find_server(self, name: str) -> BackendServer | None:
        """Return the server called `name`, in whatever state, or None."""
        known = self._known.get(name)
        return known.server if known else None

    def list_servers(self, target: str) -> list[BackendServer]:
        """Return the servers of `target` that may get new work now."""
        return [candidate.server for candidate in self.list_candidates(target)]

    def list_candidates(self, target: str) -> list[Candidate]:
        """Return the servers of `target` that may get new work, with their load."""
        return [
            self._estimate(known)
            for known in self._known.values()
            if known.server.serves == target and self._may_take(known)
        ]

    def begin(self, name: str, prompt_tokens: int = 0) -> Ticket:
        """Count a request as in progress at the server."""
        ticket = Ticket(make_identifier("tkt"), name, prompt_tokens, self._clock.now_ms())
        known = self._known.get(name)
        if known is not None:
            known.tickets[ticket.identifier] = ticket
            known.waiting[ticket.identifier] = ticket
        return ticket

    def note_first_token(self, ticket: Ticket) -> None:
        """Note that the request's prompt is computed."""
        known = self._known.get(ticket.server_name)
        if known is not None:
            known.waiting.pop(ticket.identifier, None)

    def end(self, ticket: Ticket, failed: bool = False) -> None:
        """Count the request as over; ending twice is ending once.

        Parameters
        ==========

        ticket : what `begin` returned.
        failed : the server did not answer as it should; it is left alone for a while.
        """
        known = self._known.get(ticket.server_name)
        if known is None or known.tickets.pop(ticket.identifier, None) is None:
            return
        known.waiting.pop(ticket.identifier, None)
        if failed:
            self._note_failure(known.circuit)
        else:
            known.circuit = _Circuit()

    def count_in_flight(self, name: str) -> int:
        """Return the number of this daemon's requests in progress at the server."""
        known = self._known.get(name)
        return len(known.tickets) if known else 0

    def record_load(self, name: str, report: LoadReport) -> None:
        """Keep the newest load report of a server."""
        known = self._known.get(name)
        if known is not None:
            known.report = report

    def _may_take(self, known: _Known) -> bool:
        name = known.server.name
        return (
            known.server.state is BackendState.LIVE
            and name not in self._leaving
            and name not in self._draining
            and self._clock.now_ms() >= known.circuit.closed_until_ms
        )

    def _estimate(self, known: _Known) -> Candidate:
        prefill_tokens = sum(ticket.prompt_tokens for ticket in known.waiting.values())
        own = len(known.tickets)
        report = known.report
        if report is None:
            return Candidate(known.server, own_requests=own, own_prefill_tokens=prefill_tokens)
        others = max(report.running + report.waiting - report.own_requests, 0)
        return Candidate(
            known.server,
            own_requests=own,
            other_requests=others,
            own_prefill_tokens=prefill_tokens,
            slots=report.slots,
            prefill_tokens_per_s=report.prefill_tokens_per_s,
        )

    def _note_failure(self, circuit: _Circuit) -> None:
        circuit.failures += 1
        back_off_ms = min(FIRST_BACK_OFF_MS * 2 ** (circuit.failures - 1), MAX_BACK_OFF_MS)
        circuit.closed_until_ms = self._clock.now_ms() + back_off_ms

    def _learn_vm(self, item: NewsItem) -> None:
        server = BackendServer.from_record(item.value)
        known = self._known.get(server.name)
        if known is None:
            self._known[server.name] = _Known(server)
        else:
            known.server = server
        if server.state in (BackendState.LEAVING, BackendState.GONE):
            self._mark_leaving(server.name, 0)

    def _learn_notice(self, item: NewsItem) -> None:
        name = item.key.removeprefix(NOTICE_PREFIX)
        self._mark_leaving(name, int(item.value.get("deadline_wall_ms", 0)))

    def _mark_leaving(self, name: str, deadline_wall_ms: int) -> None:
        if name in self._leaving:
            return
        self._leaving[name] = deadline_wall_ms
        for listener in self._listeners:
            listener(name, deadline_wall_ms)
