"""The load of the backend servers: own send attempts, reports of other daemons, and recent failures."""

import random
from collections import OrderedDict, defaultdict, deque
from collections.abc import Callable, Collection, Mapping, Sequence
from dataclasses import dataclass

from hemlockswitch.core.clock import Clock
from hemlockswitch.process.gateway.demand_trend import METER_TIME_CONSTANT_MS
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
from hemlockswitch.request.pace import USUAL
from hemlockswitch.request.placement import PREFERRED_CONSIDERED, Candidate, sample_servers
from hemlockswitch.request.preferred_servers import NOT_PREFERRED, PreferredServers
from hemlockswitch.version.backend import BackendServer

MAX_RECORDED_PREFIXES = 4_096
"""Maximum number of prompt prefixes recorded for each server; about three times as many as a server
caches."""
ASSUMED_CAPACITY_TOKENS = 400_000.0
"""Cache capacity assumed for a server to which this daemon has not sent a prompt yet."""
CACHE_WARM_UP_MS = 10_000.0
"""How long a new process assumes that prompts are cached on their preferred servers, because it has no
record of the prompts sent before its start. Traffic repeats most shared parts within this time."""
MAX_REPORTED_PROMPTS = 200
"""Maximum number of sent prompts in one report; more are dropped, since a report must stay small."""

ROUTE_SEPARATOR = "\n"
"""Separates a service and a route in the keys of the demand; names contain no line breaks."""
MAX_GATEWAYS_WITH_ROUTES = 100
"""In a larger fleet the routes are reported as one, so that the bytes that a gateway receives stay within the budget
of control: at 1,700 gateways, one number for each service in some 70 reports is about 1 KB a second."""
MIN_REPORTED_RATE = 0.001
"""Prompt tokens per millisecond below which a route is left out of reports."""
SentPrompt = tuple[str, Chain]
"""A server's incarnation, and the shared prefixes of a prompt that was sent to it."""


class CachedPrefixes:
    """The prompt prefixes sent to a server; evicts the least recently used ones.

    Parameters
    ==========

    capacity_tokens : how much the server is expected to cache.
    """

    def __init__(self, capacity_tokens: float) -> None:
        self.capacity_tokens = capacity_tokens
        self._tokens = 0.0
        self._prefixes: OrderedDict[int, int] = OrderedDict()

    def record(self, chain: Chain) -> None:
        """Record the shared prefixes of a prompt."""
        for digest, tokens in chain:
            if digest not in self._prefixes:
                self._tokens += tokens
                self._prefixes[digest] = tokens
            self._prefixes.move_to_end(digest)
        while self._prefixes and self._is_full():
            _, tokens = self._prefixes.popitem(last=False)
            self._tokens -= tokens

    def count_cached(self, chain: Chain) -> float:
        """Return the number of leading tokens of a prompt that are recorded as cached."""
        cached = 0.0
        for digest, tokens in chain:
            if digest not in self._prefixes:
                break
            cached += tokens
        return cached

    def _is_full(self) -> bool:
        is_over = self._tokens > self.capacity_tokens
        return is_over or len(self._prefixes) > MAX_RECORDED_PREFIXES


class Ticket:
    """One send attempt in progress.

    Parameters
    ==========

    on_begun : called once when its answer begins and is not a failure.
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

    def record_first_event(self, *, succeeds: bool = True) -> None:
        """Record that the server has read the prompt; `succeeds` unless the answer is a failure."""
        if succeeds:
            self._on_begun()
        self._loads.add(self._name, 0, -self._waiting_tokens)
        self._waiting_tokens = 0.0

    def end(self, failed: bool) -> None:
        """Record the end of the send attempt."""
        self._loads.add(self._name, -1, -self._waiting_tokens)
        self._loads.record_result(self._name, failed)


@dataclass(frozen=True)
class _Comparison:
    """The inputs shared by all servers that are compared for a request."""

    prompt: Prompt | None
    ranks: Mapping[str, int]
    others: LoadSums
    tokens_per_ms: float
    find_distance_ms: Callable[[str], float]
    find_pace: Callable[[str], float]


class ServerLoads:
    """The load of every backend server, as far as this daemon has recorded or received it.

    All state is keyed by incarnation: a server that restarted under its name has an empty cache and no
    requests in progress.

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
        self._unreported_loads: set[str] = set()
        self.failures = ServerFailures(clock)
        self._cached_prefixes: dict[str, CachedPrefixes] = {}
        self._demand: dict[str, DemandMeter] = {}
        self._requested: dict[str, dict[str, DemandMeter]] = defaultdict(dict)  # by service, route
        self._reported = ReportedLoads(clock, get_period)
        self._preferred_servers: dict[str, PreferredServers] = defaultdict(PreferredServers)
        self._started_ms = clock.now_ms()
        self._unreported_prompts: deque[SentPrompt] = deque(maxlen=MAX_REPORTED_PROMPTS)

    def begin(
        self,
        server: BackendServer,
        prompt: Prompt | None,
        uncached_tokens: float,
        capacity_tokens: float,
        on_begun: Callable[[], None] = lambda: None,
    ) -> Ticket:
        """Count one send attempt; `on_begun` is called when its answer begins and is not a failure."""
        self.add(server.incarnation, 1, uncached_tokens)
        meter = self._demand.setdefault(server.serves, DemandMeter())
        meter.add(self._clock.now_ms(), uncached_tokens)
        if prompt is not None and prompt.shared_chain:
            self._record_prompt(server.incarnation, prompt.shared_chain).capacity_tokens = (
                capacity_tokens
            )
            self._unreported_prompts.append((server.incarnation, prompt.shared_chain))
        return Ticket(self, server.incarnation, uncached_tokens, on_begun)

    def add(self, name: str, running: int, waiting_tokens: float) -> None:
        """Change the own load on a server."""
        self._running[name] += running
        self._waiting[name] += waiting_tokens
        self._unreported_loads.add(name)
        self._on_change()

    def record_result(self, name: str, failed: bool) -> None:
        """Record the result of a send attempt."""
        self.failures.record_own(name, failed=failed)

    def evict(self, name: str) -> None:
        """Discard the state of a removed server, except its send attempts in progress."""
        self.failures.evict(name)
        self._unreported_loads.discard(name)
        self._cached_prefixes.pop(name, None)
        if not self._running.get(name):
            self._running.pop(name, None)
            self._waiting.pop(name, None)

    def record_requested(self, service: str, route: str, uncached_tokens: float) -> None:
        """Record a new request to the engines of a managed service, whether it is admitted or refused."""
        meters = self._requested[service]
        if route not in meters:
            meters[route] = DemandMeter(METER_TIME_CONSTANT_MS)
        meters[route].add(self._clock.now_ms(), uncached_tokens)

    def measure_own_demand(self) -> dict[str, float]:
        """Return the prompt tokens per millisecond that this daemon sends, by service."""
        now_ms = self._clock.now_ms()
        return {service: meter.get(now_ms) for service, meter in self._demand.items()}

    def measure_own_requested(self, gateways: int) -> dict[str, dict[str, float]]:
        """Return the prompt tokens per millisecond that are newly requested here, by managed service and route.

        Parameters
        ==========

        gateways : size of the fleet; in a large one all routes count as one with an empty name.
        """
        now_ms = self._clock.now_ms()
        requested: dict[str, dict[str, float]] = {}
        for service, meters in self._requested.items():
            rates = {route: meter.get(now_ms) for route, meter in meters.items()}
            if gateways > MAX_GATEWAYS_WITH_ROUTES:
                rates = {"": sum(rates.values())}
            requested[service] = {
                route: round(rate, 3) for route, rate in rates.items() if rate >= MIN_REPORTED_RATE
            }
        return requested

    def describe_demand(self, gateways: int) -> dict[str, float]:
        """Return `measure_own_demand`, and with a key for each service and route `measure_own_requested`.

        An older gateway sums only the keys that are names of services.
        """
        demand = self.measure_own_demand()
        for service, rates in self.measure_own_requested(gateways).items():
            for route, rate in rates.items():
                demand[service + ROUTE_SEPARATOR + route] = rate
        return demand

    def count_running(self, names: Collection[str]) -> int:
        """Return the number of requests of all daemons in progress on the given servers."""
        reported = self._reported.sum_loads(set(names))
        return sum(self._running.get(name, 0) + reported.running.get(name, 0) for name in names)

    def describe_own(self) -> dict[str, ServerLoad]:
        """Return the own load, to be reported to other daemons."""
        return {
            name: ServerLoad(running, round(self._waiting[name]))
            for name, running in self._running.items()
            if running
        }

    def pop_changed(self) -> dict[str, ServerLoad]:
        """Return the own load on the servers where it has changed since the last call."""
        changed = {
            name: ServerLoad(self._running.get(name, 0), round(self._waiting.get(name, 0.0)))
            for name in self._unreported_loads
        }
        self._unreported_loads.clear()
        return changed

    def apply_changes(
        self,
        daemon: str,
        changes: Mapping[str, ServerLoad],
        sent: Sequence[SentPrompt],
        order: Order,
    ) -> None:
        """Apply changes of another daemon's load; its load on other servers stays as it is."""
        self._reported.apply_changes(daemon, changes, order)
        self._record_sent(sent)

    def pop_sent(self) -> list[SentPrompt]:
        """Return the prompts sent since the last call, to be reported to other daemons."""
        sent = list(self._unreported_prompts)
        self._unreported_prompts.clear()
        return sent

    def apply_report(
        self,
        daemon: str,
        report: Mapping[str, ServerLoad],
        sent: Sequence[SentPrompt] = (),
        order: Order | None = None,
    ) -> None:
        """Apply another daemon's complete load, and record the prompts that it has sent.

        Parameters
        ==========

        order : see `ReportedLoads.apply_report`.
        """
        self._reported.apply_report(daemon, report, order)
        self._record_sent(sent)

    def _record_sent(self, sent: Sequence[SentPrompt]) -> None:
        for name, chain in sent:
            self._record_prompt(name, chain)

    def _record_prompt(self, name: str, chain: Chain) -> CachedPrefixes:
        prefixes = self._cached_prefixes.setdefault(name, CachedPrefixes(ASSUMED_CAPACITY_TOKENS))
        prefixes.record(chain)
        return prefixes

    def build_candidates(
        self,
        servers: list[BackendServer],
        prompt: Prompt | None,
        tokens_per_ms: float = PRIOR.tokens_per_ms,
        find_distance_ms: Callable[[str], float] = lambda _: 0.0,
        rng: random.Random | None = None,
        find_pace: Callable[[str], float] = lambda _: USUAL,
    ) -> list[Candidate]:
        """Return the servers to compare for a request, with their load.

        Parameters
        ==========

        servers : the servers of one service.
        tokens_per_ms : how fast the service's engines read prompts.
        find_distance_ms : returns the additional latency to a zone.
        rng : draws the servers that are compared for a prompt; None to compare all.
        find_pace : returns the pace of a server by its incarnation.
        """
        ranks = self._rank_preferred_servers(servers, prompt)
        if prompt is not None and rng is not None:
            likely = self._list_caching_servers(prompt)
            likely |= {name for name, rank in ranks.items() if rank < PREFERRED_CONSIDERED}
            servers = sample_servers(
                servers,
                lambda server: server.name in likely or server.incarnation in likely,
                rng,
            )
        reported = self._reported.sum_loads({server.incarnation for server in servers})
        comparison = _Comparison(
            prompt, ranks, reported, tokens_per_ms, find_distance_ms, find_pace
        )
        return [self._build_candidate(server, comparison) for server in servers]

    def _rank_preferred_servers(
        self, servers: list[BackendServer], prompt: Prompt | None
    ) -> dict[str, int]:
        """Return the ranks of the preferred servers of a prompt's last shared part."""
        if not servers or prompt is None or not prompt.shared_parts:
            return {}
        key = prompt.shared_parts[-1].identifier
        return self._preferred_servers[servers[0].serves].rank(
            key, [server.name for server in servers]
        )

    def _list_caching_servers(self, prompt: Prompt) -> set[str]:
        """Return the incarnations of the servers to which a prompt's first shared part was sent."""
        if not prompt.shared_chain:
            return set()
        first = prompt.shared_chain[:1]
        return {
            name for name, memory in self._cached_prefixes.items() if memory.count_cached(first)
        }

    def _build_candidate(self, server: BackendServer, comparison: "_Comparison") -> Candidate:
        name = server.incarnation
        waiting_tokens = comparison.others.estimate_waiting_tokens(name, comparison.tokens_per_ms)
        return Candidate(
            server=server,
            running=self._running.get(name, 0) + comparison.others.running.get(name, 0),
            waiting_tokens=self._waiting.get(name, 0.0) + waiting_tokens,
            cached_tokens=(
                self._count_cached(name, comparison.prompt) if comparison.prompt else None
            ),
            preference_rank=comparison.ranks.get(server.name, NOT_PREFERRED),
            distance_ms=comparison.find_distance_ms(server.zone),
            failure_rate=self.failures.get_rate(name),
            pace=comparison.find_pace(name),
        )

    def _count_cached(self, name: str, prompt: Prompt) -> float | None:
        """Return the cached tokens; None if there are none but this process started too recently to tell."""
        prefixes = self._cached_prefixes.get(name)
        cached = prefixes.count_cached(prompt.shared_chain) if prefixes is not None else 0.0
        is_warming_up = self._clock.now_ms() - self._started_ms < CACHE_WARM_UP_MS
        return None if is_warming_up and not cached else cached
