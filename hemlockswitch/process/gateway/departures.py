"""Processes of backend servers that announced that they leave, in a heartbeat or in an answer."""

from dataclasses import replace

from hemlockswitch.core.events import Event
from hemlockswitch.core.logs import log_event
from hemlockswitch.version.backend import BackendServer, BackendState

MAX_DEPARTURES = 4_096
"""Maximum number of recorded departures of each kind: more than occur in a large fleet while a delayed write
is pending."""


class Departures:
    """Keeps a server leaving whatever its registry entry says later.

    Explanation
    ===========

    A heartbeat that announces a departure is overruled by a newer one of the same process. The statement in
    an answer is final for the process: the entry may say otherwise for as long as the registry cannot be
    written, or again after it has lost the heartbeat.

    Examples
    ========

    >>> leaving = BackendServer("s1", "z1", "10.0.0.1:80", "llm", state=BackendState.LEAVING, heartbeat=9)
    >>> departures = Departures()
    >>> departures.record(leaving)
    >>> departures.correct(replace(leaving, state=BackendState.LIVE, heartbeat=10)).state.value
    'live'
    >>> departures.record_statement("s1")
    True
    >>> departures.is_stated("s1")
    True
    """

    def __init__(self) -> None:
        self._heartbeats: dict[str, int] = {}
        self._stated: dict[str, None] = {}  # in the order in which they were recorded

    def record(self, server: BackendServer) -> None:
        """Record that a server announced in a heartbeat that it leaves."""
        recorded = self._heartbeats.pop(server.incarnation, 0)
        self._heartbeats[server.incarnation] = max(recorded, server.heartbeat)
        if len(self._heartbeats) > MAX_DEPARTURES:
            del self._heartbeats[next(iter(self._heartbeats))]

    def record_statement(self, incarnation: str) -> bool:
        """Record that a server stated in an answer that it leaves; return whether this is new."""
        if incarnation in self._stated:
            return False
        self._stated[incarnation] = None
        if len(self._stated) > MAX_DEPARTURES:
            del self._stated[next(iter(self._stated))]
        return True

    def is_stated(self, incarnation: str) -> bool:
        """Return whether a server stated in an answer that it leaves."""
        return incarnation in self._stated

    def correct(self, server: BackendServer) -> BackendServer:
        """Return the server with the state that its newest heartbeat reported."""
        departed = self._heartbeats.get(server.incarnation, 0)
        if server.state is not BackendState.LIVE or server.heartbeat >= departed:
            return server
        log_event(
            Event.OLDER_HEARTBEAT_REFUSED,
            "warning",
            server=server.name,
            heartbeat=server.heartbeat,
            known=departed,
        )
        return replace(server, state=BackendState.LEAVING)
