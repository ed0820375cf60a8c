"""The schedule of reports: periodic, at once for urgent changes, and while a limit is contended."""

import random

from gevent.event import Event as Signal

from hemlockswitch.core.clock import MS_PER_SECOND, Clock
from hemlockswitch.process.gateway.fleet import Fleet
from hemlockswitch.process.gateway.reports import ReportExchange
from hemlockswitch.process.gateway.watch_guard import WatchGuard

SPENDING_REPORT_INTERVAL_MS = 50.0
"""Minimum time between two reports of contended accounts, so that a gateway receives about as many of these as
periodic reports."""
CHANGE_REPORT_INTERVAL_MS = 100.0
"""Minimum time between two reports of changes. A gateway of a large fleet has few requests per second, so most
changes are reported at once."""
FIRST_REPORT_SPREAD = (0.0, 1.0)
FAR_REPORT_SPREAD = (0.75, 1.25)
"""Ranges, as fractions of the period, from which the time before the first report to far gateways and the time
between two of these reports are drawn: gateways that started together must not report in step."""


class ReportSchedule:
    """The tasks that send this gateway's reports.

    Parameters
    ==========

    reports : builds and sends the reports.
    fleet : determines the periods.
    watch_guard : compares the views in the reports of the other gateways.
    clock : the time.

    The signal `changed` is set whenever this gateway's load has changed, and `contended` when some of a
    contended limit was spent.
    """

    def __init__(
        self, reports: ReportExchange, fleet: Fleet, watch_guard: WatchGuard, clock: Clock
    ) -> None:
        self._urgent = Signal()
        self.changed = Signal()
        self.contended = Signal()
        self._reports = reports
        self._fleet = fleet
        self._watch_guard = watch_guard
        self._clock = clock

    def report_large_prompt(self) -> None:
        """Report at once after sending a prompt that keeps a server busy for long (small fleet only)."""
        if not self._fleet.reports_by_zone:
            self._urgent.set()

    def report_pace(self) -> None:
        """Report soon that a server has become much slower or faster."""
        self.changed.set()
        if not self._fleet.reports_by_zone:
            self._urgent.set()

    def report_links(self) -> None:
        """Report soon, to all gateways, that the links to all servers were lost, or have returned."""
        self._urgent.set()
        self.changed.set()

    def send_near(self) -> None:
        """Report to the near gateways until the task is killed."""
        while True:
            period = self._fleet.get_near_period()
            self._clock.sleep_ms(period.urgent_gap_ms)
            self._urgent.wait((period.ms - period.urgent_gap_ms) / MS_PER_SECOND)
            self._urgent.clear()
            self._reports.send_near()
            self._watch_guard.compare([peer.view for peer in self._fleet.list_connected()])

    def send_far(self) -> None:
        """Report to the far gateways until the task is killed.

        Gateways that start together receive one another's registrations together; their first reports are
        spread over a period, so that reports of each zone arrive continuously.
        """
        spread = FIRST_REPORT_SPREAD
        while True:
            by_zone = self._fleet.reports_by_zone
            self._clock.sleep_ms(random.uniform(*spread) * self._fleet.get_far_period().ms)
            if by_zone:
                self._reports.send_far()
            spread = FAR_REPORT_SPREAD if by_zone else FIRST_REPORT_SPREAD

    def send_changes(self) -> None:
        """Report changes until the task is killed; in a small fleet the periodic reports contain them."""
        while True:
            self.changed.wait()
            self.changed.clear()
            if self._fleet.reports_by_zone:
                self._reports.send_changes()
            self._clock.sleep_ms(CHANGE_REPORT_INTERVAL_MS)

    def send_spending(self) -> None:
        """Report the spending of contended accounts until the task is killed.

        In a large fleet it is part of the changes, which are reported at once for any spending.
        """
        while True:
            self.contended.wait()
            self.contended.clear()
            if not self._fleet.reports_by_zone:
                self._reports.send_spending()
            self._clock.sleep_ms(SPENDING_REPORT_INTERVAL_MS)

    def send_usage(self) -> None:
        """Report usage counts until the task is killed."""
        while True:
            self._clock.sleep_ms(self._fleet.get_usage_period().ms)
            self._reports.send_usage()
