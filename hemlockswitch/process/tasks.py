"""The tasks of a daemon: each runs until the daemon stops, and is restarted after an exception."""

from collections.abc import Callable
from typing import Any

import gevent

from hemlockswitch.core.clock import Clock
from hemlockswitch.core.events import Event
from hemlockswitch.core.logs import log_event

RESTART_DELAY_MS = 500.0
"""Pause before a failed task is restarted."""


class Tasks:
    """Runs tasks and restarts them after exceptions.

    Parameters
    ==========

    clock : provides the time.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._running: list[gevent.Greenlet] = []

    def spawn(self, name: str, run: Callable[[], Any]) -> None:
        """Run a task until it returns or the daemon stops; a failure is logged and it restarts."""
        self._running.append(gevent.spawn(self._keep_running, name, run))

    def kill(self, *, block: bool = True) -> None:
        """Kill all tasks; with `block`, wait until they have ended."""
        gevent.killall(self._running, block=block)

    def _keep_running(self, name: str, run: Callable[[], Any]) -> None:
        while True:
            try:
                run()
                return
            except Exception as error:  # noqa: BLE001 - one failed task must not stop the daemon
                log_event(Event.TASK_FAILED, "error", task=name, error=repr(error))
                self._clock.sleep_ms(RESTART_DELAY_MS)
