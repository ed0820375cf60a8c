"""The tasks of a daemon: each runs until the daemon stops, and again after a fault of the program."""

from collections.abc import Callable
from typing import Any

import gevent

from hemlockswitch.core.clock import Clock
from hemlockswitch.core.events import Event
from hemlockswitch.core.logs import log_event

RESTART_MS = 500.0
"""Pause before a task that failed is started again."""


class Tasks:
    """Runs tasks and keeps them running.

    Parameters
    ==========

    clock : the time.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._running: list[gevent.Greenlet] = []

    def spawn(self, name: str, run: Callable[[], Any]) -> None:
        """Run a task until it returns or the daemon stops; one that fails is logged and started again."""
        self._running.append(gevent.spawn(self._keep_running, name, run))

    def kill(self, *, block: bool = True) -> None:
        """End all tasks; with `block`, wait until they have ended."""
        gevent.killall(self._running, block=block)

    def _keep_running(self, name: str, run: Callable[[], Any]) -> None:
        while True:
            try:
                run()
                return
            except Exception as error:  # noqa: BLE001 - one task's fault must not end the daemon
                log_event(Event.TASK_FAILED, "error", task=name, error=repr(error))
                self._clock.sleep_ms(RESTART_MS)
