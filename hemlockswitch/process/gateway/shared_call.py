"""One call at a time, whose end all tasks wait for that need it."""

from collections.abc import Callable

import gevent


class SharedCall:
    """Runs a function without parameters in a task of its own; tasks that need it at the same time share it.

    Parameters
    ==========

    function : must not raise.
    """

    def __init__(self, function: Callable[[], None]) -> None:
        self._function = function
        self._running: gevent.Greenlet | None = None

    def run(self) -> None:
        """Begin a call, unless one is running, and wait for its end."""
        if self._running is None or self._running.ready():
            self._running = gevent.spawn(self._function)
        self._running.join()
