"""Processes of backend servers that announced that they leave, with the heartbeat that announced it."""

from dataclasses import replace

from hemlockswitch.core.events import Event
from hemlockswitch.core.logs import log_event
from hemlockswitch.version.backend import BackendServer, BackendState

MAX_DEPARTURES = 4_096
"""Maximum number of recorded departures: more than occur in a large fleet while a delayed write is
pending."""


class Departures:
    """Keeps a server leaving when an older heartbeat of the same process is written late.

    Examples
    ========

    >>> leaving = BackendServer("s1", "z1", "10.0.0.1:80", "llm", state=BackendState.LEAVING, heartbeat=9)
    >>> departures = Departures()
    >>> departures.record(leaving)
    >>> departures.correct(replace(leaving, state=BackendState.LIVE, heartbeat=10)).state.value
    'live'
    """

    def __init__(self) -> None:
        self._heartbeats: dict[str, int] = {}

    def record(self, server: BackendServer) -> None:
        """Record that a server announced that it leaves."""
        recorded = self._heartbeats.pop(server.incarnation, 0)
        self._heartbeats[server.incarnation] = max(recorded, server.heartbeat)
        if len(self._heartbeats) > MAX_DEPARTURES:
            del self._heartbeats[next(iter(self._heartbeats))]

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
