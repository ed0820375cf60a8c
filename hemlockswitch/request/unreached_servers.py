"""Limit on the search of a request for a backend server that accepts a connection."""

from hemlockswitch.core.clock import Clock

MAX_UNREACHED = 12
MAX_UNREACHED_MS = 1_500.0
"""Number of failed connections after which a request is given up, and the time limit from the first one.
When a large share of the servers is lost at once, several attempts in a row may choose lost ones."""


class UnreachedServers:
    """Counts the servers to which no connection could be made for one request.

    Nothing was sent to them, so they count neither as attempts nor against the retry budgets.

    Parameters
    ==========

    clock : the process's clock.

    Examples
    ========

    >>> from hemlockswitch.core.clock import ManualClock
    >>> unreached = UnreachedServers(ManualClock())
    >>> sum(unreached.may_try_another() for _ in range(20)) == MAX_UNREACHED - 1
    True
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._count = 0
        self._since_ms: float | None = None

    @property
    def has_any(self) -> bool:
        """Whether a connection could not be made."""
        return self._count > 0

    def may_try_another(self) -> bool:
        """Count one unreachable server, and return whether another one may be tried."""
        now_ms = self._clock.now_ms()
        if self._since_ms is None:
            self._since_ms = now_ms
        self._count += 1
        return self._count < MAX_UNREACHED and now_ms - self._since_ms < MAX_UNREACHED_MS
