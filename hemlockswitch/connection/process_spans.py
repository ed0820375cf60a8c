"""Since when the process behind an address has been running, as far as connections to it show.

A process that ends closes all its connections, and the next one can listen at the address only afterwards. So
connections that were open at the same time lead to one process, whatever name it answers by.
"""

import math
import select
from collections import defaultdict
from dataclasses import dataclass, replace
from typing import Protocol

from gevent import monkey

from hemlockswitch.core.clock import Clock

MIN_RESTART_MS = 100.0
"""A process that is seen running sooner after an end counts as the one that seemed to have ended: a server that
refuses connections for a moment is met by several attempts of one request."""
HANG_UP_RETENTION_MS = 60_000.0
"""How long a closed or refused connection tells of the next process at an address."""
_make_poll = monkey.get_original("select", "poll")  # gevent's own one does not report hang-ups
_HUNG_UP = select.POLLRDHUP | select.POLLHUP | select.POLLERR


class _Connection(Protocol):
    def fileno(self) -> int:
        """Return the descriptor; negative once the connection has been closed here."""


@dataclass(frozen=True)
class ProcessSpan:
    """Since when the process that a connection leads to has been running.

    Parameters
    ==========

    since_ms : at least since then, as connections that overlap show.
    likely_since_ms : the same, if no process listens within `MIN_RESTART_MS` of the end of the one before.
    follows_end : whether the process before it seems to have ended, as connections were closed or refused.
    """

    since_ms: float = -math.inf
    likely_since_ms: float = -math.inf
    follows_end: bool = False


class ProcessSpans:
    """The connections of this process to each address.

    Parameters
    ==========

    clock : the time.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._spans: dict[str, dict[_Connection, ProcessSpan]] = defaultdict(dict)
        self._ended: dict[str, tuple[ProcessSpan, float]] = {}  # the last one, and when it was open
        self._hung_up_ms: dict[str, float] = {}  # when the server closed or refused a connection

    def record_direct(self, address: str, connection: _Connection) -> None:
        """Record a new direct connection."""
        spans = self._spans[address]
        overlapping = (spans[one] for one in reversed(spans) if _is_open(one))
        spans[connection] = next(overlapping, None) or self._begin_span(address)

    def _begin_span(self, address: str) -> ProcessSpan:
        now_ms = self._clock.now_ms()
        ended, open_ms = self._ended.get(address, (ProcessSpan(), -math.inf))
        if now_ms - open_ms < MIN_RESTART_MS:
            return replace(ended, since_ms=now_ms)
        return ProcessSpan(now_ms, now_ms, self._follows_end(address))

    def _follows_end(self, address: str) -> bool:
        hung_up_ms = self._hung_up_ms.get(address, -math.inf)
        return self._clock.now_ms() - hung_up_ms <= HANG_UP_RETENTION_MS

    def record_closed(self, address: str, connection: _Connection) -> None:
        """Record that a direct connection, which was open until now, is closed."""
        span = self._spans.get(address, {}).get(connection)
        if span is not None:
            self._ended[address] = span, self._clock.now_ms()

    def record_hang_up(self, address: str) -> None:
        """Record that the server has closed a connection, or refuses one."""
        self._hung_up_ms[address] = self._clock.now_ms()

    def record_tunnel(self, address: str, connection: _Connection) -> None:
        """Record a new tunnel; the end of another tunnel may not have been noticed here yet."""
        now_ms = self._clock.now_ms()
        self._spans[f"{address} by tunnel"][connection] = ProcessSpan(
            now_ms, now_ms, self._follows_end(address)
        )

    def find(self, address: str, connection: _Connection) -> ProcessSpan:
        """Return what is known of the process that a recorded connection leads to."""
        direct = self._spans.get(address, {})
        if connection in direct:
            return direct[connection]
        return self._spans[f"{address} by tunnel"][connection]

    def is_running_since(self, address: str, likely_since_ms: float) -> bool:
        """Return whether the process that has likely been running since a time has an open direct connection."""
        spans = self._spans.get(address, {})
        return any(
            span.likely_since_ms == likely_since_ms and _is_open(one) for one, span in spans.items()
        )

    def sweep(self) -> None:
        """Forget the connections that this process has closed."""
        for address, spans in list(self._spans.items()):
            for connection in [one for one in spans if one.fileno() < 0]:
                del spans[connection]
            if not spans:
                del self._spans[address]
        oldest_ms = self._clock.now_ms() - MIN_RESTART_MS
        self._ended = {
            address: ended for address, ended in self._ended.items() if ended[1] > oldest_ms
        }
        oldest_ms = self._clock.now_ms() - HANG_UP_RETENTION_MS
        self._hung_up_ms = {
            address: at_ms for address, at_ms in self._hung_up_ms.items() if at_ms > oldest_ms
        }


def _is_open(connection: _Connection) -> bool:
    """Return whether neither side has closed a connection."""
    descriptor = connection.fileno()
    if descriptor < 0:
        return False
    poll = _make_poll()
    poll.register(descriptor, _HUNG_UP)
    return not poll.poll(0)
