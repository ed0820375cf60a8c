"""A run of `hemlock-load`: open-loop arrivals, each with its own caller."""

from collections.abc import Iterator
from typing import Any

import gevent

from hemlockswitch.core.clock import MS_PER_SECOND, Clock
from hemlockswitch.standin.load_calls import Caller
from hemlockswitch.standin.load_plan import Arrival, LoadSettings, plan_arrivals
from hemlockswitch.standin.load_results import Results

CALLER_END_GRACE_MS = 5_000


class Load:
    """A run of the load generator.

    Explanation
    ===========

    Arrivals do not wait for answers, so a slow system gets the same load as a fast one. The wait
    of a caller is measured from its creation; `start_lag` is how late that was.
    """

    def __init__(self, settings: LoadSettings, clock: Clock) -> None:
        self._settings = settings
        self._clock = clock
        self._results = Results()
        self._begun_ms = clock.now_ms()

    def run(self) -> dict[str, Any]:
        """Send all requests, wait for the answers, and return the results."""
        self._begun_ms = self._clock.now_ms()
        tasks = [self._start(arrival) for arrival in self._wait_for_arrivals()]
        limit_ms = self._settings.patience_ms + CALLER_END_GRACE_MS
        gevent.joinall([task for _, task in tasks], timeout=limit_ms / MS_PER_SECOND)
        took_ms = self._clock.now_ms() - self._begun_ms
        for caller, task in tasks:
            if task.exception is not None:
                caller.outcome.problems.append(f"caller failed: {task.exception!r}")
            self._results.add(caller.outcome)
            task.kill(block=False)
        return self._results.describe(took_ms)

    def _wait_for_arrivals(self) -> Iterator[Arrival]:
        for arrival in plan_arrivals(self._settings):
            due_ms = self._begun_ms + arrival.at_ms
            self._clock.sleep_ms(due_ms - self._clock.now_ms())
            self._results.start_lag.add(self._clock.now_ms() - due_ms)
            yield arrival

    def _start(self, arrival: Arrival) -> tuple[Caller, gevent.Greenlet]:
        caller = Caller(arrival, self._settings.entries, self._settings.patience_ms, self._clock)
        return caller, gevent.spawn(caller.run)
