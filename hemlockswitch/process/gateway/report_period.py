"""How often gateways report to one another, and every time that follows from it.

A gateway may send a bounded number of reports in a second, so the time between two of them grows
with the number of gateways that hear it. Whatever judges a report by its age, or waits for one to
come, takes its time from here: a fixed time that is long beside the period of eight gateways is short
beside that of two hundred.
"""

from dataclasses import dataclass
from typing import Self

REPORT_MS = 200.0
"""Time between two reports at a small fleet. What accounts overspend and what servers get too
much grows with it; a fifth of a second of the largest account's traffic is far below the bounds."""
REPORTS_PER_S = 100.0
"""Reports that a gateway may send in a second to those that hear it at one period: with more than
twenty of them the period grows, so that control stays a small part of a core."""
MESH_GATEWAYS = int(REPORTS_PER_S * REPORT_MS / 1_000.0)
"""Up to so many others every gateway can tell all of them at the shortest period."""
NEAR_REPORTS_PER_S = 30.0
FAR_REPORTS_PER_S = 40.0
"""The same at a larger fleet, to the gateways of the own zone and to the rest. Loads and spending
are told at each change, so reports only show who lives, and repair what was lost."""
EARLY_GAP_MS = 40.0
"""Least time between two reports at the shortest period: what other gateways should hear at once does
not wait for the next report. The gap grows with the square of the period, so that a large fleet
spends little more on it."""
MISSED_REPORTS = 2.5
"""So many periods pass before a report counts as missing: two in a row may be lost on a bad link or
wait for a busy processor, three seldom are."""
SILENT_GAPS = 10.0
"""So many usual gaps between two words of any gateway of a zone pass before the zone counts as silent, if
that is less than one of its gateways needs to be missed. Gateways report
each at their own moments, so that a gap as long as this comes by chance once in hours."""
OUT_OF_TOUCH_REPORTS = 4.0
LEAST_OUT_OF_TOUCH_MS = 1_500.0
"""A gateway that was not heard for this long counts as out of touch, and its part of the limits is
not spent by the others: several reports are missing."""
LEAST_LIFE_MS = 1_500.0
"""How long a reported load counts at the least: one that is not repeated fades with what the servers
read meanwhile, and is wrong for no longer than a usual answer takes."""
LEAST_COVERED_MS = 700.0
"""How lately a gateway must have been heard to be relied on for what it watches, at the least."""
LEAST_DIFFERENCE_MS = 600.0
"""How long two views of the object service must differ at the least: changes are gathered for
about as long before they are asked for."""
LEAST_TOLD_MS = 1_000.0
"""How lately a server must have answered a gateway to overrule the others' suspicion, at the least."""
LEAST_REPEATED_MS = 3_000.0
"""How long after an account's last request its sum is repeated, at the least."""
USAGE_MS = 250.0
USAGE_REPORTS_PER_S = 100.0
"""Usage counts go to one gateway, which hears at most so many reports of them in a second; what a
killed gateway has counted since its last one is lost."""
SETTLE_REPORTS = 2.0
LEAST_SETTLE_MS = 2_000.0
"""How long after its end a window of usage is reported: two reports of every gateway have come."""
LEAST_TAKEOVER_MS = 1_500.0
TAKEOVER_MARGIN_MS = 300.0
"""How long a new holder of the duties waits before its first usage report: it announces itself to the
others, and they send it their counts within a period."""


@dataclass(frozen=True)
class ReportPeriod:
    """The time between two reports of a gateway.

    Parameters
    ==========

    ms : the period.

    Examples
    ========

    >>> ReportPeriod.from_peers(7).ms, ReportPeriod.from_peers(194).ms
    (200.0, 1940.0)
    >>> ReportPeriod.from_peers(194).life_ms
    4850.0
    """

    ms: float = REPORT_MS

    @classmethod
    def from_peers(cls, peers: int, reports_per_s: float = REPORTS_PER_S) -> Self:
        """Return the period with which a gateway can tell so many others."""
        return cls(max(REPORT_MS, peers * 1_000.0 / reports_per_s))

    @property
    def early_gap_ms(self) -> float:
        """The least time between two reports when something is to be told at once."""
        return min(EARLY_GAP_MS * (self.ms / REPORT_MS) ** 2, self.ms)

    @property
    def missed_ms(self) -> float:
        """After this time a report is missing."""
        return MISSED_REPORTS * self.ms

    @property
    def life_ms(self) -> float:
        """How long a reported load counts."""
        return max(LEAST_LIFE_MS, self.missed_ms)

    @property
    def out_of_touch_ms(self) -> float:
        """After this time without a report a gateway is out of touch."""
        return max(LEAST_OUT_OF_TOUCH_MS, OUT_OF_TOUCH_REPORTS * self.ms)

    def find_zone_out_of_touch_ms(self, gateways: int) -> float:
        """Return after which silence a zone with so many gateways is out of touch as a whole."""
        gap_ms = self.ms / max(gateways, 1)
        return max(LEAST_OUT_OF_TOUCH_MS, min(self.out_of_touch_ms, SILENT_GAPS * gap_ms))

    @property
    def covered_ms(self) -> float:
        """How lately a gateway must have been heard to be relied on for what it watches."""
        return max(LEAST_COVERED_MS, self.missed_ms)

    @property
    def difference_ms(self) -> float:
        """How long two views of the object service must differ before one of them is wrong."""
        return max(LEAST_DIFFERENCE_MS, self.missed_ms)

    @property
    def repeated_ms(self) -> float:
        """How long what was spent is repeated, so that several reports carry it."""
        return max(LEAST_REPEATED_MS, self.missed_ms)

    @property
    def told_ms(self) -> float:
        """How lately a server must have answered to overrule the others' suspicion of it."""
        return max(LEAST_TOLD_MS, self.missed_ms)


@dataclass(frozen=True)
class UsagePeriod:
    """The time between two usage reports of a gateway, and what waits for them.

    Parameters
    ==========

    ms : the period.
    """

    ms: float = USAGE_MS

    @classmethod
    def from_gateways(cls, gateways: int) -> Self:
        """Return the period with which one gateway can hear so many."""
        return cls(max(USAGE_MS, gateways * 1_000.0 / USAGE_REPORTS_PER_S))

    @property
    def settle_ms(self) -> float:
        """How long after its end a window's counts are complete."""
        return max(LEAST_SETTLE_MS, SETTLE_REPORTS * self.ms)

    @property
    def takeover_ms(self) -> float:
        """How long after a change of the holder it has heard the counts of all."""
        return max(LEAST_TAKEOVER_MS, self.ms + TAKEOVER_MARGIN_MS)
