"""When reports go out: periodically, at once when others should hear, and while a limit is contended."""

from gevent.event import Event as Signal

from hemlockswitch.core.clock import MS_PER_SECOND, Clock
from hemlockswitch.process.gateway.fleet import Fleet
from hemlockswitch.process.gateway.reports import ReportExchange
from hemlockswitch.process.gateway.watch_guard import WatchGuard

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

    `contended` is set by whoever has spent something of a contended limit.
    """

    def __init__(
        self, reports: ReportExchange, fleet: Fleet, watch_guard: WatchGuard, clock: Clock
    ) -> None:
        self._urgent = Signal()
        self.contended = Signal()
        self._reports = reports
        self._fleet = fleet
        self._watch_guard = watch_guard
        self._clock = clock

    def note_large_prompt(self) -> None:
        """A prompt was sent that keeps a server busy for long: the others should know at once."""
        self._urgent.set()

    def note_load_change(self) -> None:
        """The own load has changed.

        A gateway of a large fleet has few requests in progress and hears of most loads over others:
        it tells each change, which is less than telling periodically as often.
        """
        if self._fleet.reports_by_zone:
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
        """Report to all others until the task is ended."""
        while True:
            self._clock.sleep_ms(self._fleet.get_far_period().ms)
            self._reports.send_far()

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
            self._clock.sleep_ms(self._fleet.get_usage_period().ms)
            self._reports.send_usage()
