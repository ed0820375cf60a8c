"""What a gateway has received from an availability zone, and after what silence the zone is suspected."""

from dataclasses import dataclass, field

from hemlockswitch.process.gateway.report_period import MISSED_REPORTS, UNRESPONSIVE_ZONE_GAPS

MIN_ZONE_TIMEOUT_MS = 500.0
"""Minimum time without a message before a zone is suspected; its gateways' report periods may demand
more."""


@dataclass(frozen=True)
class ReceivedReport:
    """When the last report of a gateway came, and the period within which it announced the next one."""

    received_ms: float
    period_ms: float


@dataclass
class ZoneState:
    """The state of a zone."""

    last_received_ms: float
    returned_ms: float = float("-inf")
    is_suspect: bool = False
    probed_ms: float = float("-inf")
    timed_out: set[str] = field(default_factory=set)  # incarnations, since a server answered
    reports: dict[str, ReceivedReport] = field(default_factory=dict)  # by gateway

    def find_timeout_ms(self) -> float:
        """Return the time without a message after which the zone is suspected."""
        active = [
            report
            for report in self.reports.values()
            if self.last_received_ms - report.received_ms <= MISSED_REPORTS * report.period_ms
        ]
        if not active:
            return MIN_ZONE_TIMEOUT_MS
        gap_ms = 1.0 / sum(1.0 / report.period_ms for report in active)
        shortest_ms = min(report.period_ms for report in active)
        return max(
            MIN_ZONE_TIMEOUT_MS, min(MISSED_REPORTS * shortest_ms, UNRESPONSIVE_ZONE_GAPS * gap_ms)
        )
