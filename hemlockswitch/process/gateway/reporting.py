"""When reports go out: periodically, at once after a large prompt, and while a limit is contended."""

from gevent.event import Event as Signal

from hemlockswitch.core.clock import MS_PER_SECOND, Clock
from hemlockswitch.process.gateway.fleet import Fleet
from hemlockswitch.process.gateway.reports import ReportExchange
from hemlockswitch.process.gateway.watch_guard import WatchGuard

USAGE_MS = 250.0
"""Least time between two reports of usage; what a killed gateway counted since is lost."""
SPENDING_PAUSE_MS = 50.0
"""Least time between two reports of a contended account: with sixty gateways and forty requests a
second of the account, a gateway gets about as many of these as ordinary reports."""


class ReportSchedule:
    """The tasks that send this gateway's reports.

    Parameters
    ==========

    reports : builds and sends them.
    fleet : says how often.
    watch_guard : compares the views that came with the others' reports.
    clock : the time.

    `large_prompt` and `contended` are set by whoever has something to tell at once.
    """

    def __init__(
        self, reports: ReportExchange, fleet: Fleet, watch_guard: WatchGuard, clock: Clock
    ) -> None:
        self.large_prompt = Signal()
        self.contended = Signal()
        self._reports = reports
        self._fleet = fleet
        self._watch_guard = watch_guard
        self._clock = clock

    def send_reports(self) -> None:
        """Report until the task is ended."""
        while True:
            gap_ms = self._fleet.get_early_gap_ms()
            self._clock.sleep_ms(gap_ms)
            self.large_prompt.wait((self._fleet.get_period_ms() - gap_ms) / MS_PER_SECOND)
            self.large_prompt.clear()
            self._reports.send_reports()
            self._watch_guard.compare([peer.view for peer in self._fleet.list_heard()])

    def send_spending(self) -> None:
        """Report what is spent of contended accounts until the task is ended."""
        while True:
            self.contended.wait()
            self.contended.clear()
            self._reports.send_spending()
            self._clock.sleep_ms(SPENDING_PAUSE_MS)

    def send_usage(self) -> None:
        """Report usage counts until the task is ended."""
        while True:
            self._clock.sleep_ms(max(USAGE_MS, self._fleet.get_period_ms()))
            self._reports.send_usage()
