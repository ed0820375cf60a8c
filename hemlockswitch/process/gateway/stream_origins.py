"""Streams whose version is not certain yet, as another process may serve under the name of the registered one.

A server may start again under its name with another version. Until its new entry has been read, its answers look like
those of the process before it. The version of a stream is certain once the entry is confirmed as of a time at which
the process that the stream's connection leads to would have registered.
"""

from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass

from hemlockswitch.connection.process_spans import ProcessSpan
from hemlockswitch.core.clock import Clock
from hemlockswitch.core.events import Event
from hemlockswitch.core.logs import log_event
from hemlockswitch.process.gateway.version_history import MAX_LIST_AGE_MS
from hemlockswitch.request.stream_records import StreamKey
from hemlockswitch.version.backend import BackendServer

REGISTRATION_MS = 1_200.0
"""A heartbeat interval, within which a process that serves has registered."""
MAX_UNCERTAIN_MS = 2_000.0
"""How long after its begin a stream may be uncertain if nothing shows that its server was replaced."""


@dataclass(frozen=True)
class ServerEvidence:
    """What shows whether the process behind the name of a server was replaced.

    Parameters
    ==========

    find_registered : returns the registered server of a name, or None.
    was_replaced : returns whether a server was seen to end before a process that is running since a time in ms.
    is_running_since : returns whether the process behind an address that is running since a time in ms has an open
        connection.
    """

    find_registered: Callable[[str], BackendServer | None] = lambda name: None
    was_replaced: Callable[[BackendServer, float], bool] = lambda server, since_ms: False
    is_running_since: Callable[[str, float], bool] = lambda address, since_ms: False


@dataclass(frozen=True)
class UncertainStream:
    """A stream that began at a server's address.

    Parameters
    ==========

    server : the registered server that the stream was sent to.
    process : what is known of the process that began it.
    began_ms, expires_ms : when it began, and until when its caller may take it up.
    """

    key: StreamKey
    server: BackendServer
    process: ProcessSpan
    began_ms: float
    expires_ms: float


class StreamOrigins:
    """Finds the versions of streams that began at a server that may have been replaced.

    Explanation
    ===========

    A stream has the version of its server's entry until the entry of a later process shows that this one began it.
    If there are signs that the server was replaced, the stream is uncertain until its version has been found.

    Parameters
    ==========

    evidence : what is known of the servers.
    get_confirmed_ms : returns the time as of which the list of servers is known.
    on_resolved : called with a stream and its version.
    on_uncertain : called with a stream that has become uncertain.
    clock : the time source.
    """

    def __init__(
        self,
        evidence: ServerEvidence,
        get_confirmed_ms: Callable[[], float],
        on_resolved: Callable[[UncertainStream, str], None],
        on_uncertain: Callable[[UncertainStream], None],
        clock: Clock,
    ) -> None:
        self._evidence = evidence
        self._get_confirmed_ms = get_confirmed_ms
        self._on_resolved = on_resolved
        self._on_uncertain = on_uncertain
        self._clock = clock
        self._by_server: defaultdict[str, dict[bytes, UncertainStream]] = defaultdict(dict)
        self._server_names: dict[bytes, str] = {}
        self._uncertain: set[bytes] = set()

    def is_certain(self, server: BackendServer, process: ProcessSpan) -> bool:
        """Return whether a process that is running now is that of a server's entry."""
        if self._find_next(server) or self._evidence.was_replaced(server, process.likely_since_ms):
            return False
        return self._get_confirmed_ms() >= process.likely_since_ms + REGISTRATION_MS

    def may_continue_at(self, server: BackendServer, process: ProcessSpan) -> bool:
        """Return whether a stream that has begun may go on at a process, which has the version of a server's entry.

        Without signs of a replacement, the list of servers must be known as of the time at which the process was
        first seen; while it cannot be, nothing is waited for.
        """
        if self.shows_replacement(server, process):
            return self.is_certain(server, process)
        confirmed_ms = self._get_confirmed_ms()
        is_unavailable = self._clock.now_ms() - confirmed_ms > MAX_LIST_AGE_MS
        return is_unavailable or confirmed_ms >= process.likely_since_ms

    def shows_replacement(self, server: BackendServer, process: ProcessSpan) -> bool:
        """Return whether there are signs that a process is not that of a server's entry."""
        if process.follows_end or self._find_next(server) is not None:
            return True
        return self._evidence.was_replaced(server, process.likely_since_ms)

    def add(self, stream: UncertainStream) -> bool:
        """Add a stream until its version is certain; return whether that of the server's entry counts meanwhile."""
        self._remove(stream.key.digest)
        self._by_server[stream.server.name][stream.key.digest] = stream
        self._server_names[stream.key.digest] = stream.server.name
        self._resolve_one(stream)
        digest = stream.key.digest
        return digest in self._server_names and digest not in self._uncertain

    def is_uncertain(self, key: StreamKey) -> bool:
        """Return whether a stream began here whose version is not known yet."""
        name = self._server_names.get(key.digest)
        if name is not None:
            self._resolve_one(self._by_server[name][key.digest])
        return key.digest in self._uncertain

    def resolve(self) -> None:
        """Resolve the streams whose versions have become certain."""
        for name in list(self._by_server):
            self.resolve_at(name)

    def resolve_at(self, name: str) -> None:
        """Resolve those that began at a server; to be called before and after its entry is replaced."""
        for stream in list(self._by_server.get(name, {}).values()):
            self._resolve_one(stream)

    def _is_running(self, stream: UncertainStream, server: BackendServer) -> bool:
        """Return whether the process that began a stream is that of a new entry.

        Two processes cannot serve at one address, so it is if it has not ended.
        """
        if server.address != stream.server.address:
            return False
        return self._evidence.is_running_since(server.address, stream.process.likely_since_ms)

    def _resolve_one(self, stream: UncertainStream) -> None:
        version = self._find_version(stream)
        if version is not None:
            self._settle(stream, version)
        elif stream.expires_ms <= self._clock.now_ms():
            self._remove(stream.key.digest)
        elif stream.key.digest not in self._uncertain and self.shows_replacement(
            stream.server, stream.process
        ):
            self._uncertain.add(stream.key.digest)
            self._on_uncertain(stream)

    def _settle(self, stream: UncertainStream, version: str) -> None:
        self._remove(stream.key.digest)
        if version != stream.server.version:
            log_event(
                Event.STREAM_VERSION_CORRECTED,
                service=stream.key.service,
                server=stream.server.name,
                version=version,
                before=stream.server.version,
            )
        self._on_resolved(stream, version)

    def _find_version(self, stream: UncertainStream) -> str | None:
        """Return the version that began a stream, or None while it is not certain."""
        server, since_ms = stream.server, stream.process.likely_since_ms
        registered = self._find_next(server)
        if registered is not None:
            is_same = registered.version == server.version or self._is_running(stream, registered)
            return registered.version if is_same else None
        if self._evidence.was_replaced(server, since_ms):
            return None
        now_ms, confirmed_ms = self._clock.now_ms(), self._get_confirmed_ms()
        # While the list cannot be confirmed, only the end of a process shows that its server was replaced.
        is_unavailable = now_ms - confirmed_ms > MAX_LIST_AGE_MS
        is_overdue = now_ms - stream.began_ms > MAX_UNCERTAIN_MS
        is_confirmed = confirmed_ms >= since_ms + REGISTRATION_MS
        return server.version if is_confirmed or is_unavailable or is_overdue else None

    def _find_next(self, server: BackendServer) -> BackendServer | None:
        """Return the entry of the next process of a server's name, or None if there is none."""
        registered = self._evidence.find_registered(server.name)
        if registered is None or registered.incarnation == server.incarnation:
            return None
        return registered

    def _remove(self, digest: bytes) -> None:
        self._uncertain.discard(digest)
        name = self._server_names.pop(digest, None)
        if name is None:
            return
        del self._by_server[name][digest]
        if not self._by_server[name]:
            del self._by_server[name]
