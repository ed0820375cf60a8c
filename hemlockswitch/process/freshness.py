"""Detects pauses of the process, after which its local state must be refreshed before use."""

import random
from collections.abc import Callable, Sequence

import gevent
from gevent.event import Event as Signal

from hemlockswitch.core.clock import MS_PER_SECOND, Clock
from hemlockswitch.core.errors import HemlockError
from hemlockswitch.core.events import Event
from hemlockswitch.core.logs import log_event

TICK_MS = 100
MIN_PAUSE_MS = 1_000
REFRESH_TIMEOUT_MS = 1_000

Refresh = Callable[[], None]


class Freshness:
    """Detects that the process was paused, and refreshes its local state before it is used.

    Explanation
    ===========

    A process that was frozen resumes with outdated state. A task ticks periodically; if the last
    tick is more than `MIN_PAUSE_MS` ago, the first to check (the task, or a request about to be
    routed) starts a refresh: all sources are queried concurrently, and the first answer completes
    it. Requests wait for at most `REFRESH_TIMEOUT_MS`. If no source can be reached, they continue
    with the outdated state, which is better than no service.

    Parameters
    ==========

    clock : the process's clock.
    list_sources : returns the calls that refresh the state; each raises a `HemlockError` if it
        fails.
    """

    def __init__(self, clock: Clock, list_sources: Callable[[], Sequence[Refresh]]) -> None:
        self._clock = clock
        self._list_sources = list_sources
        self._last_tick_ms = clock.now_ms()
        self._refreshed = Signal()
        self._refreshed.set()

    @property
    def is_fresh(self) -> bool:
        """Whether the process has run without a pause since its state was last refreshed."""
        self._check()
        return self._refreshed.is_set()

    def await_refresh(self) -> None:
        """Wait after a pause, for at most `REFRESH_TIMEOUT_MS`, until the state is refreshed."""
        if not self.is_fresh:
            self._refreshed.wait(REFRESH_TIMEOUT_MS / MS_PER_SECOND)

    def run(self) -> None:
        """Tick periodically, without end."""
        while True:
            self._check()
            self._clock.sleep_ms(TICK_MS)

    def _check(self) -> None:
        now_ms = self._clock.now_ms()
        paused_ms = now_ms - self._last_tick_ms
        self._last_tick_ms = now_ms
        if paused_ms > MIN_PAUSE_MS and self._refreshed.is_set():
            self._refreshed.clear()
            log_event(Event.FACTS_STALE, "warning", paused_ms=int(paused_ms))
            gevent.spawn(self._refresh)

    def _refresh(self) -> None:
        answered = Signal()
        tasks = [gevent.spawn(self._query, source, answered) for source in self._list_sources()]
        answered.wait(REFRESH_TIMEOUT_MS / MS_PER_SECOND if tasks else 0)
        log_event(Event.FACTS_REFRESHED, answered=answered.is_set(), asked=len(tasks))
        self._refreshed.set()

    @staticmethod
    def _query(source: Refresh, answered: Signal) -> None:
        try:
            source()
        except HemlockError:
            return
        answered.set()


def choose_sample(items: Sequence[str], max_items: int) -> list[str]:
    """Return a random sample of at most `max_items` items.

    Examples
    ========

    >>> choose_sample(["a"], 2)
    ['a']
    """
    return random.sample(list(items), min(max_items, len(items)))
