"""Whether this process may rely on what it knows, or was paused and has to ask first."""

import random
from collections.abc import Callable, Sequence

import gevent
from gevent.event import Event as Signal

from hemlockswitch.core.clock import MS_PER_SECOND, Clock
from hemlockswitch.core.errors import HemlockError
from hemlockswitch.core.events import Event
from hemlockswitch.core.logs import log_event

TICK_MS = 100
PAUSE_MS = 1_000
REFRESH_WAIT_MS = 1_000

Refresh = Callable[[], None]


class Freshness:
    """Notices that the process was paused, and has the facts asked for anew before they are used.

    Explanation
    ===========

    A process that was frozen wakes with the facts of the time before. A task ticks; when the
    last tick is more than `PAUSE_MS` ago, whoever comes first (the task, or a request about to
    be routed) starts a refresh: all sources are asked at once, and the first that answers ends
    it. Requests wait for at most `REFRESH_WAIT_MS`. When nobody can be reached they go on with
    what is known: an old fact is better than no service.

    Parameters
    ==========

    clock : the process's clock.
    list_sources : returns the calls that bring the facts up to date; each raises a
        `HemlockError` when it cannot.
    """

    def __init__(self, clock: Clock, list_sources: Callable[[], Sequence[Refresh]]) -> None:
        self._clock = clock
        self._list_sources = list_sources
        self._last_tick_ms = clock.now_ms()
        self._settled = Signal()
        self._settled.set()

    @property
    def is_fresh(self) -> bool:
        """Whether the process ran without a pause since its facts were last refreshed."""
        self._check()
        return self._settled.is_set()

    def await_facts(self) -> None:
        """Return when the facts may be used; wait, bounded, after a pause."""
        if not self.is_fresh:
            self._settled.wait(REFRESH_WAIT_MS / MS_PER_SECOND)

    def run(self) -> None:
        """Tick for ever."""
        while True:
            self._check()
            self._clock.sleep_ms(TICK_MS)

    def _check(self) -> None:
        now_ms = self._clock.now_ms()
        paused_ms = now_ms - self._last_tick_ms
        self._last_tick_ms = now_ms
        if paused_ms > PAUSE_MS and self._settled.is_set():
            self._settled.clear()
            log_event(Event.FACTS_STALE, "warning", paused_ms=int(paused_ms))
            gevent.spawn(self._refresh)

    def _refresh(self) -> None:
        answered = Signal()
        tasks = [gevent.spawn(self._ask, source, answered) for source in self._list_sources()]
        answered.wait(REFRESH_WAIT_MS / MS_PER_SECOND if tasks else 0)
        log_event(Event.FACTS_REFRESHED, answered=answered.is_set(), asked=len(tasks))
        self._settled.set()

    @staticmethod
    def _ask(source: Refresh, answered: Signal) -> None:
        try:
            source()
        except HemlockError:
            return
        answered.set()


def choose_some(items: Sequence[str], most: int) -> list[str]:
    """Return at most `most` of the items, at random.

    Examples
    ========

    >>> choose_some(["a"], 2)
    ['a']
    """
    return random.sample(list(items), min(most, len(items)))
