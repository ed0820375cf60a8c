"""The load that other daemons put on backend servers, from their reports."""

import statistics
from collections.abc import Mapping
from dataclasses import dataclass, field

from hemlockswitch.core.clock import Clock

REPORT_LIFE_MS = 1_500.0
"""How long another daemon's report counts; it sends several in this time."""


@dataclass(frozen=True)
class ServerLoad:
    """Requests in progress on a server, and prompt tokens that wait to be read there."""

    running: int = 0
    waiting_tokens: float = 0.0


@dataclass
class LoadSums:
    """Requests in progress and waiting prompt tokens by server, over several daemons.

    Parameters
    ==========

    mean_age_ms : how old the reports are on average; servers have read on since.

    Plain numbers: with sixty daemons five hundred loads are added up for each request, and a new
    `ServerLoad` for each of them took 0.9 ms of the 1.9 ms of a placement.
    """

    running: dict[str, int] = field(default_factory=dict)
    waiting_tokens: dict[str, float] = field(default_factory=dict)
    mean_age_ms: float = 0.0

    def estimate_waiting_tokens(self, name: str, tokens_per_ms: float) -> float:
        """Return what of the reported tokens still waits, if the server went on reading."""
        read_tokens = self.mean_age_ms * tokens_per_ms
        return max(self.waiting_tokens.get(name, 0.0) - read_tokens, 0.0)

    def add(self, loads: Mapping[str, ServerLoad]) -> None:
        """Add one daemon's load."""
        running, waiting_tokens = self.running, self.waiting_tokens
        for name, load in loads.items():
            running[name] = running.get(name, 0) + load.running
            waiting_tokens[name] = waiting_tokens.get(name, 0.0) + load.waiting_tokens


@dataclass(frozen=True)
class _Report:
    received_ms: float
    loads: Mapping[str, ServerLoad]


class ReportedLoads:
    """What each daemon reported last.

    Examples
    ========

    >>> from hemlockswitch.core.clock import ManualClock
    >>> clock = ManualClock()
    >>> reported = ReportedLoads(clock)
    >>> reported.take("g2", {"e1": ServerLoad(2, 500)})
    >>> reported.take("g3", {"e1": ServerLoad(1, 0)})
    >>> reported.sum_loads().running
    {'e1': 3}
    >>> clock.advance(2_000)
    >>> reported.sum_loads().running
    {}
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._reports: dict[str, _Report] = {}

    def take(self, daemon: str, loads: Mapping[str, ServerLoad]) -> None:
        """Take a daemon's report in place of its last one."""
        self._reports[daemon] = _Report(self._clock.now_ms(), loads)

    def sum_loads(self) -> LoadSums:
        """Return the sums over the daemons that reported lately."""
        now_ms = self._clock.now_ms()
        oldest_ms = now_ms - REPORT_LIFE_MS
        live = [one for one in self._reports.values() if one.received_ms >= oldest_ms]
        sums = LoadSums()
        for report in live:
            sums.add(report.loads)
        if live:
            sums.mean_age_ms = now_ms - statistics.fmean(one.received_ms for one in live)
        return sums
