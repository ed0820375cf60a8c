"""The load of the backend servers: own sends, what other daemons report, and recent failures."""

import random
from collections import OrderedDict, defaultdict, deque
from collections.abc import Callable, Collection, Mapping, Sequence
from dataclasses import dataclass

from hemlockswitch.core.clock import Clock
from hemlockswitch.process.gateway.failures import ServerFailures
from hemlockswitch.process.gateway.meters import DemandMeter
from hemlockswitch.process.gateway.report_period import ReportPeriod
from hemlockswitch.process.gateway.reported_loads import (
    LoadSums,
    Order,
    ReportedLoads,
    ServerLoad,
)
from hemlockswitch.request.dialect import Chain, Prompt
from hemlockswitch.request.engine_model import PRIOR
from hemlockswitch.request.homes import NO_HOME, Homes
from hemlockswitch.request.placement import HOMES_CONSIDERED, Candidate, draw_considered
from hemlockswitch.version.backend import BackendServer

REMEMBERED_BEGINNINGS = 4_096
"""Prompt beginnings remembered for each server; about three times what one holds."""
ASSUMED_CAPACITY_TOKENS = 400_000.0
"""What a server is expected to keep before this daemon has sent anything there itself."""
LEARNING_MS = 10_000.0
"""How long a new process expects prompts in the caches of their homes: it has not heard yet what
was sent before its start. Traffic repeats most shared parts in this time."""
MOST_TOLD = 200
"""Sends told in one report; more is dropped, as a report must stay small."""

SentPrompt = tuple[str, Chain]
"""A server's incarnation, and the shared beginnings of a prompt that was sent to it."""


class PromptMemory:
    """Which prompt beginnings were sent to a server, the least recently used forgotten first.

    Parameters
    ==========

    capacity_tokens : how much the server is expected to keep.
    """

    def __init__(self, capacity_tokens: float) -> None:
        self.capacity_tokens = capacity_tokens
        self._tokens = 0.0
        self._beginnings: OrderedDict[int, int] = OrderedDict()

    def note(self, chain: Chain) -> None:
        """Remember the shared beginnings of a prompt."""
        for digest, tokens in chain:
            if digest not in self._beginnings:
                self._tokens += tokens
                self._beginnings[digest] = tokens
            self._beginnings.move_to_end(digest)
        while self._beginnings and self._is_full():
            _, tokens = self._beginnings.popitem(last=False)
            self._tokens -= tokens

    def count_cached(self, chain: Chain) -> float:
        """Return the tokens known at the prompt's beginning."""
        cached = 0.0
        for digest, tokens in chain:
            if digest not in self._beginnings:
                break
            cached += tokens
        return cached

    def _is_full(self) -> bool:
        is_over = self._tokens > self.capacity_tokens
        return is_over or len(self._beginnings) > REMEMBERED_BEGINNINGS


class Ticket:
    """One send in progress.

    Parameters
    ==========

    on_begun : called once when its answer has begun well.
    """

    def __init__(
        self,
        loads: "ServerLoads",
        name: str,
        waiting_tokens: float,
        on_begun: Callable[[], None] = lambda: None,
    ) -> None:
        self._loads = loads
        self._name = name
        self._waiting_tokens = waiting_tokens
        self._on_begun = on_begun

    def note_first_event(self, *, succeeds: bool = True) -> None:
        """The prompt is read; `succeeds` unless the answer is a failure."""
        if succeeds:
            self._on_begun()
        self._loads.add(self._name, 0, -self._waiting_tokens)
        self._waiting_tokens = 0.0

    def end(self, failed: bool) -> None:
        """The send is over."""
        self._loads.add(self._name, -1, -self._waiting_tokens)
        self._loads.note_result(self._name, failed)


@dataclass(frozen=True)
class _Look:
    """What is the same for all servers that are compared for a request."""

    prompt: Prompt | None
    ranks: Mapping[str, int]
    others: LoadSums
    tokens_per_ms: float
    find_distance_ms: Callable[[str], float]


class ServerLoads:
    """What this daemon knows of the load of every backend server.

    Everything is kept by incarnation: a server that started again under its name has nothing in its
    cache and nothing in progress.

    Parameters
    ==========

    clock : the time.
    get_period : returns the longest time between two reports of another daemon.
    on_change : called when the own load on a server has changed.
    """

    def __init__(
        self,
        clock: Clock,
        get_period: Callable[[], ReportPeriod] = lambda: ReportPeriod(),
        on_change: Callable[[], None] = lambda: None,
    ) -> None:
        self._clock = clock
        self._on_change = on_change
        self._running: dict[str, int] = defaultdict(int)
        self._waiting: dict[str, float] = defaultdict(float)
        self._untold_loads: set[str] = set()
        self.failures = ServerFailures(clock)
        self._memories: dict[str, PromptMemory] = {}
        self._demand: dict[str, DemandMeter] = {}
        self._reported = ReportedLoads(clock, get_period)
        self._homes: dict[str, Homes] = defaultdict(Homes)
        self._begun_ms = clock.now_ms()
        self._untold: deque[SentPrompt] = deque(maxlen=MOST_TOLD)

    def begin(
        self,
        server: BackendServer,
        prompt: Prompt | None,
        uncached_tokens: float,
        capacity_tokens: float,
        on_begun: Callable[[], None] = lambda: None,
    ) -> Ticket:
        """Count one send; `on_begun` is called when its answer has begun well."""
        self.add(server.incarnation, 1, uncached_tokens)
        meter = self._demand.setdefault(server.serves, DemandMeter())
        meter.add(self._clock.now_ms(), uncached_tokens)
        if prompt is not None and prompt.shared_chain:
            self._note_prompt(server.incarnation, prompt.shared_chain).capacity_tokens = (
                capacity_tokens
            )
            self._untold.append((server.incarnation, prompt.shared_chain))
        return Ticket(self, server.incarnation, uncached_tokens, on_begun)

    def add(self, name: str, running: int, waiting_tokens: float) -> None:
        """Change the own load on a server."""
        self._running[name] += running
        self._waiting[name] += waiting_tokens
        self._untold_loads.add(name)
        self._on_change()

    def note_result(self, name: str, failed: bool) -> None:
        """Count the end of a send."""
        self.failures.note_own(name, failed=failed)

    def forget(self, name: str) -> None:
        """Forget a server that is gone, but for the sends in progress."""
        self.failures.forget(name)
        self._untold_loads.discard(name)
        self._memories.pop(name, None)
        if not self._running.get(name):
            self._running.pop(name, None)
            self._waiting.pop(name, None)

    def measure_own_demand(self) -> dict[str, float]:
        """Return the prompt tokens in a millisecond that this daemon sends, by service."""
        now_ms = self._clock.now_ms()
        return {service: meter.get(now_ms) for service, meter in self._demand.items()}

    def count_running(self, names: Collection[str]) -> int:
        """Return the requests in progress on some servers, over all daemons."""
        others = self._reported.sum_loads()
        return sum(self._running.get(name, 0) + others.running.get(name, 0) for name in names)

    def describe_own(self) -> dict[str, ServerLoad]:
        """Return the own load, for other daemons."""
        return {
            name: ServerLoad(running, round(self._waiting[name]))
            for name, running in self._running.items()
            if running
        }

    def pop_changed(self) -> dict[str, ServerLoad]:
        """Return the own load on the servers on which it has changed since the last call."""
        changed = {
            name: ServerLoad(self._running.get(name, 0), round(self._waiting.get(name, 0.0)))
            for name in self._untold_loads
        }
        self._untold_loads.clear()
        return changed

    def take_changes(
        self,
        daemon: str,
        changes: Mapping[str, ServerLoad],
        sent: Sequence[SentPrompt],
        order: Order,
    ) -> None:
        """Take what has changed of another daemon's load; the rest of it stays."""
        self._reported.take_changes(daemon, changes, order)
        self._note_sent(sent)

    def pop_sent(self) -> list[SentPrompt]:
        """Return the prompts sent since the last call, for other daemons."""
        sent = list(self._untold)
        self._untold.clear()
        return sent

    def take_report(
        self,
        daemon: str,
        report: Mapping[str, ServerLoad],
        sent: Sequence[SentPrompt] = (),
        order: Order | None = None,
    ) -> None:
        """Take another daemon's load, and the prompts that it has sent.

        Parameters
        ==========

        order : see `ReportedLoads.take`.
        """
        self._reported.take(daemon, report, order)
        self._note_sent(sent)

    def _note_sent(self, sent: Sequence[SentPrompt]) -> None:
        for name, chain in sent:
            self._note_prompt(name, chain)

    def _note_prompt(self, name: str, chain: Chain) -> PromptMemory:
        memory = self._memories.setdefault(name, PromptMemory(ASSUMED_CAPACITY_TOKENS))
        memory.note(chain)
        return memory

    def build_candidates(
        self,
        servers: list[BackendServer],
        prompt: Prompt | None,
        tokens_per_ms: float = PRIOR.tokens_per_ms,
        find_distance_ms: Callable[[str], float] = lambda _: 0.0,
        chance: random.Random | None = None,
    ) -> list[Candidate]:
        """Return the servers to compare for a request, with their load.

        Parameters
        ==========

        servers : those of one service.
        tokens_per_ms : how fast the service's engines read.
        find_distance_ms : returns how much longer the way to a zone is.
        chance : draws the servers that are compared for a prompt; None to compare all.
        """
        ranks = self._rank_homes(servers, prompt)
        if prompt is not None and chance is not None:
            likely = self._list_holders(prompt)
            likely |= {name for name, rank in ranks.items() if rank < HOMES_CONSIDERED}
            servers = draw_considered(
                servers,
                lambda server: server.name in likely or server.incarnation in likely,
                chance,
            )
        others = self._reported.sum_loads({server.incarnation for server in servers})
        look = _Look(prompt, ranks, others, tokens_per_ms, find_distance_ms)
        return [self._build_candidate(server, look) for server in servers]

    def _rank_homes(self, servers: list[BackendServer], prompt: Prompt | None) -> dict[str, int]:
        """Return the ranks of the homes of a prompt's last shared part."""
        if not servers or prompt is None or not prompt.shared_parts:
            return {}
        key = prompt.shared_parts[-1].identifier
        return self._homes[servers[0].serves].rank(key, [server.name for server in servers])

    def _list_holders(self, prompt: Prompt) -> set[str]:
        """Return the incarnations of the servers that are known to have a prompt's first part."""
        if not prompt.shared_chain:
            return set()
        first = prompt.shared_chain[:1]
        return {name for name, memory in self._memories.items() if memory.count_cached(first)}

    def _build_candidate(self, server: BackendServer, look: "_Look") -> Candidate:
        name = server.incarnation
        waiting_tokens = look.others.estimate_waiting_tokens(name, look.tokens_per_ms)
        return Candidate(
            server=server,
            running=self._running.get(name, 0) + look.others.running.get(name, 0),
            waiting_tokens=self._waiting.get(name, 0.0) + waiting_tokens,
            cached_tokens=self._count_cached(name, look.prompt) if look.prompt else None,
            home_rank=look.ranks.get(server.name, NO_HOME),
            distance_ms=look.find_distance_ms(server.zone),
            failure_rate=self.failures.get_rate(name),
        )

    def _count_cached(self, name: str, prompt: Prompt) -> float | None:
        """Return the cached tokens; None while this process may just not have heard of them."""
        memory = self._memories.get(name)
        cached = memory.count_cached(prompt.shared_chain) if memory is not None else 0.0
        is_learning = self._clock.now_ms() - self._begun_ms < LEARNING_MS
        return None if is_learning and not cached else cached
