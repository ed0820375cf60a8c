"""The load that other daemons put on backend servers, as they report it."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

from hemlockswitch.core.clock import Clock
from hemlockswitch.process.gateway.report_period import ReportPeriod

FRESH_REPORT_MS = 500.0
"""The waiting tokens of a report younger than this count in full. Changed loads are reported within less
time, so these tokens still wait; only an older report comes from a gateway that cannot send, and the server
has read on since. Subtracting the tokens read since the report from the first moment on served 0.915 of the
worth in time, and this rule 0.931, in a replay of 195 gateways that report each change
(tests/test_change_relay.py)."""

Order = tuple[int, int]
"""A daemon's incarnation, and the sequence number of a report within its process."""


@dataclass(frozen=True)
class ServerLoad:
    """The number of requests in progress on a server, and of prompt tokens that wait to be read there."""

    running: int = 0
    waiting_tokens: float = 0.0


@dataclass
class LoadSums:
    """Requests in progress and waiting prompt tokens by server, over several daemons.

    Parameters
    ==========

    token_ages : by server, the sum of each report's waiting tokens times its age beyond
        `FRESH_REPORT_MS`.

    The sums are plain numbers because the loads of all daemons are added up for each request: building
    `ServerLoad` objects would take half of the time of a placement.
    """

    running: dict[str, int] = field(default_factory=dict)
    waiting_tokens: dict[str, float] = field(default_factory=dict)
    token_ages: dict[str, float] = field(default_factory=dict)

    def estimate_waiting_tokens(self, name: str, tokens_per_ms: float) -> float:
        """Return how many of the reported tokens still wait, assuming that the server went on reading."""
        waiting_tokens = self.waiting_tokens.get(name, 0.0)
        if waiting_tokens <= 0:
            return 0.0
        mean_age_ms = self.token_ages[name] / waiting_tokens
        return max(waiting_tokens - mean_age_ms * tokens_per_ms, 0.0)

    def add(
        self, loads: Mapping[str, ServerLoad], age_ms: float, names: set[str] | None = None
    ) -> None:
        """Add one daemon's load on the servers in `names`, or on all servers."""
        running, waiting_tokens, token_ages = self.running, self.waiting_tokens, self.token_ages
        stale_ms = max(age_ms - FRESH_REPORT_MS, 0.0)
        for name in loads if names is None else loads.keys() & names:
            load = loads[name]
            running[name] = running.get(name, 0) + load.running
            if load.waiting_tokens:
                waiting_tokens[name] = waiting_tokens.get(name, 0.0) + load.waiting_tokens
                token_ages[name] = token_ages.get(name, 0.0) + load.waiting_tokens * stale_ms


@dataclass(frozen=True)
class _Report:
    """The last reported load of a daemon.

    Parameters
    ==========

    order : the order of the newest report or change in it.
    complete_order : the order of the last report of the complete load.
    changed : by server, the order of the newest change since that report.
    """

    received_ms: float
    order: Order
    loads: Mapping[str, ServerLoad]
    complete_order: Order
    changed: Mapping[str, Order] = field(default_factory=dict)


class ReportedLoads:
    """The last reported load of each daemon.

    Parameters
    ==========

    clock : the time.
    get_period : returns the longest time between two reports of a daemon.

    Examples
    ========

    >>> from hemlockswitch.core.clock import ManualClock
    >>> clock = ManualClock()
    >>> reported = ReportedLoads(clock)
    >>> reported.apply_report("g2", {"e1": ServerLoad(2, 500)})
    >>> reported.apply_report("g3", {"e1": ServerLoad(1, 0)})
    >>> reported.sum_loads().running
    {'e1': 3}
    >>> clock.advance(2_000)
    >>> reported.sum_loads().running
    {}
    """

    def __init__(
        self, clock: Clock, get_period: Callable[[], ReportPeriod] = lambda: ReportPeriod()
    ) -> None:
        self._clock = clock
        self._get_period = get_period
        self._reports: dict[str, _Report] = {}

    def apply_report(
        self, daemon: str, loads: Mapping[str, ServerLoad], order: Order | None = None
    ) -> None:
        """Replace a daemon's load with that of its newest report.

        Parameters
        ==========

        order : tells which of two reports is newer, since they arrive by several paths; an older report
            is ignored. None if the report is the newest.
        """
        last = self._reports.get(daemon)
        if order is None:
            order = last.order if last is not None else (0, 0)
        if last is None or order >= last.order:
            self._reports[daemon] = _Report(self._clock.now_ms(), order, loads, order)

    def apply_changes(self, daemon: str, changes: Mapping[str, ServerLoad], order: Order) -> None:
        """Apply the changes of a daemon's load; its load on all other servers stays as it is.

        If a change is lost, the previous load stays until the next complete report or change.
        """
        last = self._reports.get(daemon)
        if last is None or last.order[0] < order[0]:
            initial = (order[0], 0)
            last = _Report(self._clock.now_ms(), initial, {}, initial)
        if order < last.complete_order:
            return
        # Changes may arrive out of order, so each server has its own order.
        newer = {
            name: load for name, load in changes.items() if order >= last.changed.get(name, order)
        }
        loads = {**last.loads, **newer}
        self._reports[daemon] = _Report(
            self._clock.now_ms(),
            max(order, last.order),
            {name: load for name, load in loads.items() if load.running},
            last.complete_order,
            {**last.changed, **dict.fromkeys(newer, order)},
        )

    def sum_loads(self, names: set[str] | None = None) -> LoadSums:
        """Return the sums over the daemons that reported recently, for the servers in `names` or for all."""
        now_ms = self._clock.now_ms()
        oldest_ms = now_ms - self._get_period().load_lifetime_ms
        sums = LoadSums()
        for report in self._reports.values():
            if report.loads and report.received_ms >= oldest_ms:
                sums.add(report.loads, now_ms - report.received_ms, names)
        return sums
