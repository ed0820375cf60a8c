"""Pool of connections to backend servers, with one exchange at a time on each connection."""

import math
import select
from collections import defaultdict, deque
from collections.abc import Callable
from dataclasses import dataclass

from gevent import socket

from hemlockswitch.connection.answer_budget import AnswerBudget
from hemlockswitch.connection.byte_counts import ByteCounts
from hemlockswitch.connection.exchange_errors import ExchangeError, Stage
from hemlockswitch.connection.pooled_exchange import (
    DEFAULT_IDLE_MS,
    Connection,
    IsOwn,
    PooledExchange,
    get_gateway,
)
from hemlockswitch.connection.process_spans import ProcessSpans
from hemlockswitch.connection.sockets import connect
from hemlockswitch.connection.tunnels import TunnelConnection
from hemlockswitch.core.clock import Clock

MAX_IDLE_CONNECTIONS = 32
"""Limit for one server; far below the server's own limit on connections, which all daemons share."""


@dataclass
class _IdleConnection:
    """A pooled connection without an exchange."""

    connection: Connection
    idle_since_ms: float
    expires_ms: float


class BackendPool:
    """The idle connections of a process to all backend servers.

    Parameters
    ==========

    clock : the clock that idle times are measured with.
    on_connect : called with the address of each new connection.
    max_idle : how many idle connections to all servers remain after a sweep.

    Attributes
    ==========

    counts : the bytes exchanged with servers.
    budget : bounds the memory of all answers.
    """

    def __init__(
        self,
        clock: Clock,
        on_connect: Callable[[str], None] = lambda _: None,
        max_idle: float = math.inf,
    ) -> None:
        self.counts = ByteCounts()
        self.budget = AnswerBudget()
        self._clock = clock
        self._max_idle = max_idle
        self._on_connect = on_connect
        self._idle: dict[str, deque[_IdleConnection]] = defaultdict(deque)
        self._spans = ProcessSpans(clock)

    def open(
        self,
        address: str,
        method: str,
        is_own: IsOwn,
        *,
        max_idle_ms: float,
        timeout_ms: float,
    ) -> PooledExchange:
        """Return an exchange on a direct connection that was idle for at most `max_idle_ms`, or on a new one.

        Raises
        ======

        ExchangeError : no connection could be opened; nothing was sent.
        """
        pooled = self._take_idle(address, max_idle_ms, _is_direct)
        if pooled is not None:
            return self._build_exchange(pooled, address, method, is_own, is_new=False)
        connection = self._connect(address, timeout_ms)
        self._spans.record_direct(address, connection)
        return self._build_exchange(connection, address, method, is_own)

    def open_detour(
        self,
        address: str,
        method: str,
        is_own: IsOwn,
        *,
        max_idle_ms: float,
        uses_direct: bool,
        connect_through: Callable[[], TunnelConnection | None],
    ) -> PooledExchange | None:
        """Return an exchange on an idle tunnel, or on a new one; None if no tunnel can be requested.

        Parameters
        ==========

        uses_direct : whether an idle direct connection may be used as well.
        connect_through : opens a tunnel.

        Raises
        ======

        ExchangeError : no tunnel could be opened; nothing was sent.
        """
        pooled = self._take_idle(
            address, max_idle_ms, _is_any if uses_direct else lambda one: not _is_direct(one)
        )
        if pooled is not None:
            return self._build_exchange(pooled, address, method, is_own, is_new=False)
        tunnel = connect_through()
        if tunnel is None:
            return None
        self._spans.record_tunnel(address, tunnel)
        return self._build_exchange(tunnel, address, method, is_own)

    def _build_exchange(
        self,
        connection: Connection,
        address: str,
        method: str,
        is_own: IsOwn,
        is_new: bool = True,
    ) -> PooledExchange:
        return PooledExchange(
            connection,
            address,
            method,
            is_own,
            is_new,
            self.counts,
            process=self._spans.find(address, connection),
            budget=self.budget,
        )

    def connect(self, address: str, timeout_ms: float) -> socket.socket:
        """Return a new direct connection, which does not belong to the pool.

        Raises
        ======

        ExchangeError : no connection could be opened.
        """
        return self._connect(address, timeout_ms)

    def preconnect(self, address: str, timeout_ms: float) -> None:
        """Open a connection and add it to the pool.

        Raises
        ======

        ExchangeError : no connection could be opened.
        """
        connection = self._connect(address, timeout_ms)
        self._spans.record_direct(address, connection)
        now_ms = self._clock.now_ms()
        self._idle[address].append(_IdleConnection(connection, now_ms, now_ms + DEFAULT_IDLE_MS))

    def has_open(self, address: str, max_idle_ms: float) -> bool:
        """Return whether a direct connection to a server is open that was idle for at most `max_idle_ms`.

        Connections that have been idle for longer are left out, as they may have lost their server silently.
        """
        oldest_ms = self._clock.now_ms() - max_idle_ms
        return any(
            _is_direct(one.connection)
            and one.idle_since_ms >= oldest_ms
            and not _is_readable(one.connection)
            for one in self._idle.get(address, ())
        )

    def _connect(self, address: str, timeout_ms: float) -> socket.socket:
        try:
            connection = connect(address, timeout_ms)
        except OSError as error:
            if isinstance(error, ConnectionError):
                self._spans.record_hang_up(address)
            raise ExchangeError(Stage.BEFORE_SEND, str(error)) from error
        self._on_connect(address)
        return connection

    def finish(self, exchange: PooledExchange) -> None:
        """Return the exchange's connection to the pool if it is reusable, or else close it."""
        keep_ms = exchange.get_keep_alive_ms() if exchange.is_reusable else 0.0
        idle = self._idle[exchange.address]
        if keep_ms <= 0 or len(idle) >= MAX_IDLE_CONNECTIONS:
            if exchange.was_open:
                self._spans.record_closed(exchange.address, exchange.connection)
            if exchange.has_seen_close and not exchange.gateway:
                self._spans.record_hang_up(exchange.address)
            exchange.close()
            return
        now_ms = self._clock.now_ms()
        idle.append(_IdleConnection(exchange.detach(), now_ms, now_ms + keep_ms))

    def is_running_since(self, address: str, likely_since_ms: float) -> bool:
        """Return whether the process that has likely been running since a time has an open direct connection."""
        return self._spans.is_running_since(address, likely_since_ms)

    def close_idle(self, address: str) -> None:
        """Close the idle connections to a server that is leaving or was removed."""
        for pooled in self._idle.pop(address, ()):
            pooled.connection.close()

    def close_idle_where(self, applies: Callable[[Connection], bool]) -> None:
        """Close the idle connections for which `applies` returns true."""
        for address, idle in list(self._idle.items()):
            for pooled in [one for one in idle if applies(one.connection)]:
                idle.remove(pooled)
                pooled.connection.close()
            if not idle:
                del self._idle[address]

    def close_idle_direct(self, address: str | None = None) -> None:
        """Close the idle direct connections to a server, or to all servers if `address` is None."""
        if address is None:
            self.close_idle_where(_is_direct)
            return
        idle = self._idle.get(address, deque())
        for pooled in [one for one in idle if _is_direct(one.connection)]:
            idle.remove(pooled)
            pooled.connection.close()

    def close_idle_tunnels(self, gateway: str) -> None:
        """Close the idle tunnels through a gateway."""
        self.close_idle_where(lambda connection: get_gateway(connection) == gateway)

    def sweep(self) -> None:
        """Close the connections whose idle time has expired, and those idle for longest if there are too many."""
        self._close_expired()
        self._spans.sweep()
        excess = sum(map(len, self._idle.values())) - self._max_idle
        if excess <= 0:
            return
        every = [
            (one.idle_since_ms, address) for address, idle in self._idle.items() for one in idle
        ]
        for _, address in sorted(every)[: int(excess)]:
            self._idle[address].popleft().connection.close()

    def _close_expired(self) -> None:
        now_ms = self._clock.now_ms()
        for address in list(self._idle):
            idle = self._idle[address]
            while idle and idle[0].expires_ms <= now_ms:
                self._close_idle_one(address, idle.popleft().connection)
            if not idle:
                del self._idle[address]

    def _take_idle(
        self, address: str, max_idle_ms: float, applies: Callable[[Connection], bool]
    ) -> Connection | None:
        idle = self._idle.get(address)
        now_ms = self._clock.now_ms()
        while idle:
            if applies(idle[-1].connection):
                pooled = idle.pop()
            else:
                found = next((one for one in reversed(idle) if applies(one.connection)), None)
                if found is None:
                    return None
                idle.remove(found)
                pooled = found
            usable = now_ms - pooled.idle_since_ms <= max_idle_ms and now_ms < pooled.expires_ms
            if usable and not _is_readable(pooled.connection):
                return pooled.connection
            self._close_idle_one(address, pooled.connection)
        return None

    def _close_idle_one(self, address: str, connection: Connection) -> None:
        """Close an idle connection, and record whether the server had closed it."""
        if _is_direct(connection) and _is_readable(connection):
            self._spans.record_hang_up(address)
        connection.close()


def _is_direct(connection: Connection) -> bool:
    return not isinstance(connection, TunnelConnection)


def _is_any(_: Connection) -> bool:
    return True


def _is_readable(connection: Connection) -> bool:
    """Return whether the server closed an idle connection or sent unrequested bytes on it."""
    if isinstance(connection, TunnelConnection) and connection.has_buffered:
        return True
    poll = select.poll()  # `select.select` fails for descriptors above 1,023.
    poll.register(connection.fileno(), select.POLLIN)
    return bool(poll.poll(0))
