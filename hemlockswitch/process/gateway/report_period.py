"""The period of the gateways' reports to one another, and all times that depend on it.

A gateway may send a bounded number of reports per second, so its report period grows with the number of
receivers. All code that judges a report by its age, or waits for one, uses the times of this module: a
fixed time that is long compared with the period of eight gateways is short compared with that of two
hundred.
"""

from dataclasses import dataclass
from typing import Self

REPORT_PERIOD_MS = 200.0
"""Report period of a small fleet. The overspending of accounts and the overload of servers grow with it;
a fifth of a second of the largest account's traffic is far below the bounds."""
MAX_REPORTS_PER_S = 100.0
"""Maximum number of reports per second that a gateway sends to the receivers of one period. With more than
twenty receivers the period grows, so that control uses a small part of a core."""
MESH_GATEWAYS = int(MAX_REPORTS_PER_S * REPORT_PERIOD_MS / 1_000.0)
"""Maximum number of peers with which every gateway reports to all of them at the shortest period."""
MAX_NEAR_REPORTS_PER_S = 30.0
MAX_FAR_REPORTS_PER_S = 40.0
"""Maximum numbers of reports per second in a larger fleet, to the gateways of the own zone and to all
others. Loads and spending are sent at each change, so reports only show which gateways are running, and
repair lost messages."""
MIN_URGENT_GAP_MS = 40.0
"""Minimum time between two reports at the shortest period, for urgent changes that do not wait for the next
periodic report. The gap grows with the square of the period, so that a large fleet sends few additional
reports."""
MISSED_REPORTS = 2.5
"""Number of periods after which a report counts as missing: two reports in a row may be lost on a bad link or
delayed by a busy processor, three rarely are."""
UNRESPONSIVE_ZONE_GAPS = 10.0
"""A zone counts as unresponsive after this many average gaps between reports of any of its gateways, if that
is less than the time after which one of its gateways counts as missing. Gateways report independently of
one another, so a gap of this length occurs by chance once in hours."""
DISCONNECTED_REPORTS = 4.0
MIN_DISCONNECTED_MS = 1_500.0
"""A gateway that has not been received from for this number of periods, and at least this time, counts as
disconnected, since several reports are missing. Its share of the limits is not spent by the others."""
MIN_LOAD_LIFETIME_MS = 1_500.0
"""Minimum time for which a reported load counts. A load that is not reported again decreases by what the
servers read meanwhile, and is wrong for no longer than a usual answer takes."""
MIN_RELIANCE_MS = 700.0
"""Minimum time since its last report for which a gateway is relied on for the objects that it watches."""
MIN_DIFFERENCE_MS = 600.0
"""Minimum time for which two views of the object service must differ before a watch is renewed: changes are
gathered for about as long before the next watch."""
MIN_SUSPICION_OVERRULE_MS = 1_000.0
"""Minimum time for which an answer of a server to this gateway overrules the suspicion of other gateways."""
MIN_REPEATED_MS = 3_000.0
"""Minimum time after an account's last request for which its sum is repeated in reports."""
USAGE_PERIOD_MS = 250.0
MAX_USAGE_REPORTS_PER_S = 100.0
"""Period of usage reports, and the maximum number of them per second at the one gateway that receives them
all. What a killed gateway has counted since its last usage report is lost."""
SETTLE_REPORTS = 2.0
MIN_SETTLE_MS = 2_000.0
"""A window of usage is reported this number of periods, and at least this time, after its end: by then two
reports of every gateway have arrived."""
MIN_TAKEOVER_MS = 1_500.0
TAKEOVER_MARGIN_MS = 300.0
"""A new holder of the duties waits for a usage period and this margin, and at least this time, before its
first usage report: it announces itself to the others, and they send it their counts within a period."""


@dataclass(frozen=True)
class ReportPeriod:
    """The time between two reports of a gateway.

    Parameters
    ==========

    ms : the period in milliseconds.

    Examples
    ========

    >>> ReportPeriod.from_peers(7).ms, ReportPeriod.from_peers(194).ms
    (200.0, 1940.0)
    >>> ReportPeriod.from_peers(194).load_lifetime_ms
    4850.0
    """

    ms: float = REPORT_PERIOD_MS

    @classmethod
    def from_peers(cls, peers: int, reports_per_s: float = MAX_REPORTS_PER_S) -> Self:
        """Return the period with which a gateway can report to this number of peers."""
        return cls(max(REPORT_PERIOD_MS, peers * 1_000.0 / reports_per_s))

    @property
    def urgent_gap_ms(self) -> float:
        """The minimum time between two reports when a change is urgent."""
        return min(MIN_URGENT_GAP_MS * (self.ms / REPORT_PERIOD_MS) ** 2, self.ms)

    @property
    def missed_ms(self) -> float:
        """The time after which a report counts as missing."""
        return MISSED_REPORTS * self.ms

    @property
    def load_lifetime_ms(self) -> float:
        """The time for which a reported load counts."""
        return max(MIN_LOAD_LIFETIME_MS, self.missed_ms)

    @property
    def disconnected_ms(self) -> float:
        """The time without a message after which a gateway counts as disconnected."""
        return max(MIN_DISCONNECTED_MS, DISCONNECTED_REPORTS * self.ms)

    def find_zone_disconnected_ms(self, gateways: int) -> float:
        """Return the time without a message after which a zone with `gateways` gateways is disconnected."""
        gap_ms = self.ms / max(gateways, 1)
        return max(MIN_DISCONNECTED_MS, min(self.disconnected_ms, UNRESPONSIVE_ZONE_GAPS * gap_ms))

    @property
    def reliance_ms(self) -> float:
        """The maximum age of the last message of a gateway that is relied on for what it watches."""
        return max(MIN_RELIANCE_MS, self.missed_ms)

    @property
    def difference_ms(self) -> float:
        """The time for which two views of the object service must differ before one counts as wrong."""
        return max(MIN_DIFFERENCE_MS, self.missed_ms)

    @property
    def repeated_ms(self) -> float:
        """The time for which spending is repeated, so that several reports contain it."""
        return max(MIN_REPEATED_MS, self.missed_ms)

    @property
    def suspicion_overrule_ms(self) -> float:
        """The maximum age of a server's answer that overrules the suspicion of other gateways."""
        return max(MIN_SUSPICION_OVERRULE_MS, self.missed_ms)


@dataclass(frozen=True)
class UsagePeriod:
    """The time between two usage reports of a gateway, and the times that depend on it.

    Parameters
    ==========

    ms : the period in milliseconds.
    """

    ms: float = USAGE_PERIOD_MS

    @classmethod
    def from_gateways(cls, gateways: int) -> Self:
        """Return the period with which one gateway can receive the reports of this number of gateways."""
        return cls(max(USAGE_PERIOD_MS, gateways * 1_000.0 / MAX_USAGE_REPORTS_PER_S))

    @property
    def settle_ms(self) -> float:
        """The time after its end at which a window's counts are complete."""
        return max(MIN_SETTLE_MS, SETTLE_REPORTS * self.ms)

    @property
    def takeover_ms(self) -> float:
        """The time after which a new holder of the duties has received the counts of all gateways."""
        return max(MIN_TAKEOVER_MS, self.ms + TAKEOVER_MARGIN_MS)
