"""The gateway's counters and histograms; prometheus_client is imported at the first query for them.

Callers wait while a gateway restarts, and most processes end without a query for metrics. The values
are therefore plain numbers, and a collector converts them to the types of the library.
"""

from bisect import bisect_left
from collections import Counter, defaultdict
from collections.abc import Callable, Iterator, Mapping
from typing import TYPE_CHECKING

from hemlockswitch.connection.descriptors import count_descriptors, find_descriptor_limit
from hemlockswitch.core.clock import MS_PER_SECOND
from hemlockswitch.process.gateway.copies_metrics import CopiesCollector
from hemlockswitch.process.gateway.copies_plan import CopiesSituation
from hemlockswitch.process.quarantine.guard import GuardCounts
from hemlockswitch.process.quarantine.metrics import GuardCollector

if TYPE_CHECKING:
    from prometheus_client import CollectorRegistry
    from prometheus_client.core import Metric

FIRST_EVENT_BUCKETS_S = (0.025, 0.05, 0.1, 0.2, 0.4, 0.6, 0.83, 1.2, 2.0, 4.0, 8.0)


class DurationHistogram:
    """Histogram of durations.

    Examples
    ========

    >>> timings = DurationHistogram()
    >>> timings.observe(30.0)
    >>> timings.observe(90_000.0)
    >>> timings.list_buckets()[1], timings.list_buckets()[-1]
    (('0.05', 1.0), ('+Inf', 2.0))
    >>> timings.sum_s
    90.03
    """

    def __init__(self) -> None:
        self.sum_s = 0.0
        self._counts = [0] * (len(FIRST_EVENT_BUCKETS_S) + 1)

    def observe(self, duration_ms: float) -> None:
        """Add a duration to the histogram."""
        duration_s = duration_ms / MS_PER_SECOND
        self.sum_s += duration_s
        self._counts[bisect_left(FIRST_EVENT_BUCKETS_S, duration_s)] += 1

    def list_buckets(self) -> list[tuple[str, float]]:
        """Return each bucket as (upper bound in seconds, number of durations up to it)."""
        bounds = [*map(str, FIRST_EVENT_BUCKETS_S), "+Inf"]
        total = 0
        buckets: list[tuple[str, float]] = []
        for bound, count in zip(bounds, self._counts, strict=True):
            total += count
            buckets.append((bound, float(total)))
        return buckets


class GatewayMetrics:
    """Counters and histograms of the gateway.

    Attributes
    ==========

    requests : number of ended requests by (route, outcome).
    failures : number of send attempts without a complete answer, by kind of failure.
    connections : number of connections made to backend servers.
    begun : histograms by route of the time from a request's head to the beginning of its answer.
    guard : counts of the guard against requests that crash backend servers.
    measure_ages : returns the age in ms of the local state of each kind of object.
    permits : number of requested permits for limited backend servers, by verdict.
    count_limited : returns the number of limited backend servers.
    slot_permits : number of requested permits for brittle backend servers, by verdict.
    count_brittle : returns the number of brittle backend servers.
    dispatches : number of requested slots of managed plain services, by verdict.
    dispatch_waits : time until the decision on these requests.
    count_dispatch_queued : returns the number of requests that wait in this gateway's queues.
    count_dispatch_held : returns the number of slots that this gateway has assigned.
    tunnels : number of requested tunnels through other gateways, by verdict.
    resumed_streams : number of streams that callers took up again, by how the version that began them was
        found: ``own`` record, ``peer``, ``stored``, ``single`` registered version, ``earlier`` (the one
            version before the gateways started), or ``unknown``.
    pace_statements : number of paces of servers received, in ``own`` answers or ``reported`` by other gateways.
    count_slow : returns the number of servers that are expected to be much slower than usual.
    find_spare : returns the spare of this gateway; None while it is not in use.
    is_overloaded : returns whether this gateway counts as overloaded.
    count_shed : returns the number of connections of callers that were closed after an answer in an overload.
    engine_decisions : number of decisions on new requests to engines of managed services, by (action, standing).
    is_isolated : returns whether this gateway cannot connect to any backend server.
    count_callers : returns the number of open connections of callers.
    count_unread : returns the number of connections of callers that were closed unread.
    describe_rollouts : returns the answer counts by service, version and result during rollouts.

    Examples
    ========

    >>> metrics = GatewayMetrics()
    >>> metrics.requests["draft", "answered"] += 1
    >>> b'hemlock_forwarded_requests_total{outcome="answered",route="draft"} 1.0' in metrics.render()
    True
    """

    def __init__(self) -> None:
        self.requests: Counter[tuple[str, str]] = Counter()
        self.failures: Counter[str] = Counter()
        self.connections = 0
        self.begun: dict[str, DurationHistogram] = defaultdict(DurationHistogram)
        self.guard = GuardCounts()
        self.measure_ages: Callable[[], Mapping[str, float]] = dict
        self.permits: Counter[str] = Counter()
        self.count_limited: Callable[[], int] = lambda: 0
        self.slot_permits: Counter[str] = Counter()
        self.count_brittle: Callable[[], int] = lambda: 0
        self.dispatches: Counter[str] = Counter()
        self.dispatch_waits = DurationHistogram()
        self.count_dispatch_queued: Callable[[], int] = lambda: 0
        self.count_dispatch_held: Callable[[], int] = lambda: 0
        self.tunnels: Counter[str] = Counter()
        self.resumed_streams: Counter[str] = Counter()
        self.pace_statements: Mapping[str, int] = {}
        self.count_slow: Callable[[], int] = lambda: 0
        self.find_spare: Callable[[], float | None] = lambda: None
        self.is_overloaded: Callable[[], bool] = lambda: False
        self.count_shed: Callable[[], int] = lambda: 0
        self.engine_decisions: Mapping[tuple[str, str], int] = {}
        self.is_isolated: Callable[[], bool] = lambda: False
        self.count_callers: Callable[[], int] = lambda: 0
        self.count_unread: Callable[[], int] = lambda: 0
        self.describe_rollouts: Callable[[], Mapping[tuple[str, str, str], int]] = dict
        self.list_copy_situations: Callable[[], Mapping[str, CopiesSituation]] = dict
        self.count_copy_orders: Callable[[], Mapping[tuple[str, str, str], int]] = dict

    def render(self) -> bytes:
        """Return the metrics as Prometheus text."""
        from prometheus_client import generate_latest

        return generate_latest(self.build_registry())

    def build_registry(self) -> "CollectorRegistry":
        """Return a registry of the library that collects these metrics."""
        from prometheus_client import CollectorRegistry

        registry = CollectorRegistry()
        registry.register(self)
        return registry

    def collect(self) -> "Iterator[Metric]":
        """Yield the metrics as types of the library, which calls this method."""
        from prometheus_client.core import (
            CounterMetricFamily,
            GaugeMetricFamily,
            HistogramMetricFamily,
        )

        requests = CounterMetricFamily(
            "hemlock_forwarded_requests",
            "Forwarded requests that are over, by route and outcome.",
            labels=["route", "outcome"],
        )
        for (route, outcome), count in self.requests.items():
            requests.add_metric([route, outcome], count)
        yield requests
        failures = CounterMetricFamily(
            "hemlock_forward_failures",
            "Sends without a complete answer, by kind of failure.",
            labels=["failure"],
        )
        for failure, count in self.failures.items():
            failures.add_metric([failure], count)
        yield failures
        begun = HistogramMetricFamily(
            "hemlock_forward_begun_seconds",
            "Time from a request's head to the beginning of its answer.",
            labels=["route"],
        )
        for route, timings in self.begun.items():
            begun.add_metric([route], timings.list_buckets(), timings.sum_s)
        yield begun
        yield CounterMetricFamily(
            "hemlock_backend_connections", "Connections made.", value=self.connections
        )
        ages = GaugeMetricFamily(
            "hemlock_view_age_seconds",
            "How long ago all objects of a kind were known.",
            labels=["kind"],
        )
        for kind, age_ms in self.measure_ages().items():
            ages.add_metric([kind], age_ms / MS_PER_SECOND)
        yield ages
        yield GaugeMetricFamily(
            "hemlock_limited_servers",
            "Backend servers that state a rate limit.",
            value=self.count_limited(),
        )
        yield GaugeMetricFamily(
            "hemlock_brittle_servers",
            "Backend servers that state after how many rejections they fall over.",
            value=self.count_brittle(),
        )
        yield GaugeMetricFamily(
            "hemlock_isolated",
            "1 while this gateway cannot connect to any backend server.",
            value=int(self.is_isolated()),
        )
        yield GaugeMetricFamily(
            "hemlock_caller_connections",
            "Open connections of callers.",
            value=self.count_callers(),
        )
        yield CounterMetricFamily(
            "hemlock_connections_closed_unread",
            "Connections of callers that were closed before anything was read from them.",
            value=self.count_unread(),
        )
        yield GaugeMetricFamily(
            "hemlock_descriptors", "Open descriptors of the process.", value=count_descriptors()
        )
        yield GaugeMetricFamily(
            "hemlock_descriptor_limit",
            "Descriptors that the process may open.",
            value=find_descriptor_limit(),
        )
        for name, text, counts in (
            ("hemlock_permits", "Requested permits for limited backend servers", self.permits),
            (
                "hemlock_slot_permits",
                "Requested permits for brittle backend servers",
                self.slot_permits,
            ),
            (
                "hemlock_dispatches",
                "Requested slots of managed plain services",
                self.dispatches,
            ),
            ("hemlock_tunnels", "Requested tunnels through other gateways", self.tunnels),
        ):
            verdicts = CounterMetricFamily(name, f"{text}, by verdict.", labels=["verdict"])
            for verdict, count in counts.items():
                verdicts.add_metric([verdict], count)
            yield verdicts
        yield HistogramMetricFamily(
            "hemlock_dispatch_wait_seconds",
            "Time until the decision on a requested slot of a managed plain service.",
            buckets=self.dispatch_waits.list_buckets(),
            sum_value=self.dispatch_waits.sum_s,
        )
        yield GaugeMetricFamily(
            "hemlock_dispatch_queued",
            "Requests that wait for a slot which this gateway assigns.",
            value=self.count_dispatch_queued(),
        )
        yield GaugeMetricFamily(
            "hemlock_dispatch_held",
            "Slots in use that this gateway has assigned.",
            value=self.count_dispatch_held(),
        )
        statements = CounterMetricFamily(
            "hemlock_pace_statements",
            "Paces of backend servers received, by source.",
            labels=["source"],
        )
        for source, count in self.pace_statements.items():
            statements.add_metric([source], count)
        yield statements
        yield GaugeMetricFamily(
            "hemlock_slow_servers",
            "Backend servers that are expected to be much slower than usual.",
            value=self.count_slow(),
        )
        yield from self._collect_capacity()
        yield self._collect_engine_decisions()
        resumed = CounterMetricFamily(
            "hemlock_resumed_streams",
            "Streams that callers took up again, by how the version that began them was found.",
            labels=["origin"],
        )
        for origin, count in self.resumed_streams.items():
            resumed.add_metric([origin], count)
        yield resumed
        rollouts = GaugeMetricFamily(
            "hemlock_rollout_answers",
            "Answers under the newest roll-out of a service, by version and result.",
            labels=["service", "version", "result"],
        )
        for labels, count in self.describe_rollouts().items():
            rollouts.add_metric(list(labels), count)
        yield rollouts
        yield from CopiesCollector(self.list_copy_situations(), self.count_copy_orders()).collect()
        yield from GuardCollector(self.guard).collect()

    def _collect_capacity(self) -> "Iterator[Metric]":
        """Yield the metrics of this gateway's own capacity."""
        from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily

        spare = self.find_spare()
        family = GaugeMetricFamily(
            "hemlock_gateway_spare", "Free share of this gateway's processor or link."
        )
        if spare is not None:
            family.add_metric([], spare)
        yield family
        yield GaugeMetricFamily(
            "hemlock_gateway_overloaded",
            "1 while this gateway counts as overloaded.",
            value=int(self.is_overloaded()),
        )
        yield CounterMetricFamily(
            "hemlock_connections_shed",
            "Connections of callers that ended after an answer because of an overload.",
            value=self.count_shed(),
        )

    def _collect_engine_decisions(self) -> "Metric":
        from prometheus_client.core import CounterMetricFamily

        decisions = CounterMetricFamily(
            "hemlock_engine_decisions",
            "Decisions on new requests to engines of managed services, by action and standing.",
            labels=["action", "standing"],
        )
        for labels, count in self.engine_decisions.items():
            decisions.add_metric(list(labels), count)
        return decisions
