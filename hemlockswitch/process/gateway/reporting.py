"""When reports go out: periodically, at once when others should hear, and while a limit is contended."""

import random

from gevent.event import Event as Signal

from hemlockswitch.core.clock import MS_PER_SECOND, Clock
from hemlockswitch.process.gateway.fleet import Fleet
from hemlockswitch.process.gateway.reports import ReportExchange
from hemlockswitch.process.gateway.watch_guard import WatchGuard

SPENDING_PAUSE_MS = 50.0
"""Least time between two reports of a contended account, so that a gateway gets about as many of these
as ordinary reports."""
CHANGE_GAP_MS = 100.0
"""Least time between two changes that are told; a gateway of a large fleet has few requests in a second,
so most are told at once."""
FIRST_SPREAD = (0.0, 1.0)
FAR_SPREAD = (0.75, 1.25)
"""Between which parts of the period the time before the first report to far gateways lies, and that
between two of them: gateways that started together must not report in step."""


class ReportSchedule:
    """The tasks that send this gateway's reports.

    Parameters
    ==========

    reports : builds and sends them.
    fleet : says how often.
    watch_guard : compares the views that came with the others' reports.
    clock : the time.

    `changed` is set whenever the own load has changed, and `contended` when some of a contended
    limit was spent.
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

    def note_large_prompt(self) -> None:
        """A prompt was sent that keeps a server busy for long: the others should know at once."""
        if not self._fleet.reports_by_zone:
            self._urgent.set()

    def send_near(self) -> None:
        """Report to the gateways near this one until the task is ended."""
        while True:
            period = self._fleet.get_near_period()
            self._clock.sleep_ms(period.early_gap_ms)
            self._urgent.wait((period.ms - period.early_gap_ms) / MS_PER_SECOND)
            self._urgent.clear()
            self._reports.send_near()
            self._watch_guard.compare([peer.view for peer in self._fleet.list_heard()])

    def send_far(self) -> None:
        """Report to all others until the task is ended.

        Gateways that start together hear of one another together; their first reports are spread
        over a period, so that each zone is heard all the time.
        """
        spread = FIRST_SPREAD
        while True:
            by_zone = self._fleet.reports_by_zone
            self._clock.sleep_ms(random.uniform(*spread) * self._fleet.get_far_period().ms)
            if by_zone:
                self._reports.send_far()
            spread = FAR_SPREAD if by_zone else FIRST_SPREAD

    def send_changes(self) -> None:
        """Tell what has changed until the task is ended; at a small fleet the reports do."""
        while True:
            self.changed.wait()
            self.changed.clear()
            if self._fleet.reports_by_zone:
                self._reports.send_changes()
            self._clock.sleep_ms(CHANGE_GAP_MS)

    def send_spending(self) -> None:
        """Report what is spent of contended accounts until the task is ended.

        At a large fleet it is among the changes, which are told at once whatever is spent.
        """
        while True:
            self.contended.wait()
            self.contended.clear()
            if not self._fleet.reports_by_zone:
                self._reports.send_spending()
            self._clock.sleep_ms(SPENDING_PAUSE_MS)

    def send_usage(self) -> None:
        """Report usage counts until the task is ended."""
        while True:
            self._clock.sleep_ms(self._fleet.get_usage_period().ms)
            self._reports.send_usage()
