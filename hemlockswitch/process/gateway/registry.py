"""The backend servers listed in the registry, by service."""

from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass, replace

import xxhash

from hemlockswitch.connection.stored_objects import ObjectPage, PageSource, StoredObject
from hemlockswitch.core.clock import Clock
from hemlockswitch.core.errors import ConfigurationError
from hemlockswitch.core.events import Event
from hemlockswitch.core.logs import log_event
from hemlockswitch.core.repeats import RepeatLimiter
from hemlockswitch.process.gateway.departures import Departures
from hemlockswitch.version.backend import BackendServer, BackendState

Decoder = Callable[[StoredObject], BackendServer]

RETURN_WINDOW_MS = 2_000.0
"""Entries that lapsed while the registry was unavailable are registered again within two seconds of its
return."""
MAX_LAPSED_RETENTION_MS = 1_500.0
"""Maximum time for which a lapsed entry is retained: a stopped server must get no work later than two
seconds after its removal."""
MIN_LAPSED_FRACTION = 0.5
MIN_LAPSED = 4
"""Removals count as a lapse when they concern at least `MIN_LAPSED` live servers and more than this
share of them. So many do not stop at one moment without announcing it: a reclaim takes one zone, with
notice. This also detects an outage of the registry during which this process made no call."""
MISDIRECTED_EXCLUSION_MS = 3_000.0
"""How long a server is excluded after its address answered as another server; by then its entry has been
corrected or removed."""
MIN_FILL_MS = 3_000.0
"""When all processes start together, most servers register within two heartbeats of 1.2 s."""
NO_NEW_SERVER_MS = 1_200.0
"""A heartbeat interval without a new server shows that every server is registered. A scaling order made
earlier would remove the servers that it does not count."""
MAX_CHANGE_LINES = 4
"""Maximum number of changes of one page that are logged a line each; a page with more is logged as one
line with all names."""
MAX_LOGGED_CHARACTERS = 200
MAX_FILL_MS = 8_000.0
"""Limits `MIN_FILL_MS` and `NO_NEW_SERVER_MS` together: servers that come and go all the time must not delay the
scaling orders."""


@dataclass(frozen=True)
class _Change:
    """A changed state of a server; `version` is that of its entry."""

    server: BackendServer
    state: BackendState
    version: int = 0

    def log(self, source: PageSource | None) -> None:
        """Log this change as a line of its own."""
        if self.state is BackendState.GONE:
            log_event(
                Event.BACKEND_GONE,
                server=self.server.name,
                address=self.server.address,
                source=source,
            )
            return
        log_event(
            Event.BACKEND_LISTED,
            server=self.server.name,
            address=self.server.address,
            zone=self.server.zone,
            state=self.state.value,
            machine_class=self.server.machine_class,
            version=self.version,
            source=source,
        )


class ServerRegistry:
    """Maintains the set of backend servers from the followed registry entries.

    Explanation
    ===========

    A removed entry is dropped at once, with one exception: right after the registry returns from
    an outage, or when most entries are removed at once, the lapsed entries are retained for at most
    `MAX_LAPSED_RETENTION_MS`, since live servers register again.

    Parameters
    ==========

    decode : turns an entry into a backend server; raises `ConfigurationError`.
    clock : the time.
    on_removed : called with a server that gets no new work from now on.
    """

    def __init__(
        self, decode: Decoder, clock: Clock, on_removed: Callable[[BackendServer], None]
    ) -> None:
        self.on_listed: Callable[[BackendServer], None] = lambda _: None  # with each live entry
        self.on_restarting: Callable[[str], None] = (
            lambda _: None
        )  # with a name, before the entry of its next process replaces the known one
        self.get_recovered_ms: Callable[[], float] = lambda: float("-inf")
        self.measure_age_ms: Callable[[], float] = (
            lambda: 0.0
        )  # of the state before a page is applied
        self._decode = decode
        self._clock = clock
        self._on_removed = on_removed
        self._servers: dict[str, BackendServer] = {}
        self._by_service: dict[str, dict[str, BackendServer]] = defaultdict(dict)
        self._retained_until_ms: dict[str, float] = {}
        self._misdirected_until_ms: dict[str, float] = {}
        self._digest: int | None = None  # None after a change
        self._last_new_ms = float("-inf")
        self._is_complete = False
        self._changes: list[_Change] = []
        self._departures = Departures()
        self._log_limiter = RepeatLimiter(clock)
        self._listed_states: dict[str, BackendState] = (
            {}
        )  # without what the servers state in answers

    def replace_all(self, page: ObjectPage) -> None:
        """Apply a complete list."""
        listed = {item.name for item in page.items if not item.deleted}
        self._apply(page)
        missing = [name for name in self._servers if name not in listed]
        is_lapse = self._is_lapse(missing)
        for name in missing:
            self._remove(name, is_lapse=is_lapse)
        self._log_changes(page.source)

    def apply_changes(self, page: ObjectPage) -> None:
        """Apply changed and removed entries."""
        self._apply(page)
        self._log_changes(page.source)

    def _apply(self, page: ObjectPage) -> None:
        removed = [item.name for item in page.items if item.deleted]
        is_lapse = self._is_lapse(removed)
        for item in page.items:
            if item.deleted:
                self._remove(item.name, is_lapse=is_lapse)
            else:
                self._put(item)

    def _is_lapse(self, removed: list[str]) -> bool:
        """Return whether entries were removed because their heartbeats could not be written."""
        live = {name for name, one in self._servers.items() if one.state is BackendState.LIVE}
        lapsed = live.intersection(removed)
        return len(lapsed) >= MIN_LAPSED and len(lapsed) > MIN_LAPSED_FRACTION * len(live)

    def list_ready(self, service: str) -> list[BackendServer]:
        """Return the servers of a service that may get new requests."""
        self._drop_expired()
        now_ms = self._clock.now_ms()
        return [
            server
            for name, server in self._by_service[service].items()
            if server.state is BackendState.LIVE
            and self._misdirected_until_ms.get(name, 0.0) <= now_ms
        ]

    def is_live(self, server: BackendServer) -> bool:
        """Return whether this process of a server is registered and is not leaving."""
        registered = self._servers.get(server.name)
        if registered is None or registered.incarnation != server.incarnation:
            return False
        return registered.state is BackendState.LIVE

    def record_leaving(self, incarnation: str, source: str) -> bool:
        """Record that a server stated in an answer that it leaves; return whether this is new.

        Parameters
        ==========

        source : ``own``, or the name of the gateway that received the answer.
        """
        if not self._departures.record_statement(incarnation):
            return False
        log_event(Event.SERVER_STATES_LEAVING, server=incarnation, source=source)
        server = self.find_live(incarnation)
        if server is not None:
            leaving = replace(server, state=BackendState.LEAVING)
            self._servers[server.name] = leaving
            self._by_service[server.serves][server.name] = leaving
            self._on_removed(leaving)
        return True

    def list_stated_leaving(self) -> list[str]:
        """Return the registered servers that stated in an answer that they leave."""
        return [
            one.incarnation
            for one in self.list_all()
            if self._departures.is_stated(one.incarnation)
        ]

    def find_live(self, incarnation: str) -> BackendServer | None:
        """Return the registered server of an incarnation, unless it is leaving."""
        server = self._servers.get(incarnation.partition("@")[0])
        if server is None or server.incarnation != incarnation or not self.is_live(server):
            return None
        return server

    def find_registered(self, name: str) -> BackendServer | None:
        """Return the registered server of a name, whatever its state."""
        return self._servers.get(name)

    def find_slots(self, incarnation: str) -> int:
        """Return the number of slots of a registered server; 0 if it states none."""
        server = self._servers.get(incarnation.partition("@")[0])
        return 0 if server is None else server.slots

    def find_service(self, incarnation: str) -> str:
        """Return the service of a registered server; empty if this process of it is not registered."""
        server = self._servers.get(incarnation.partition("@")[0])
        return server.serves if server is not None and server.incarnation == incarnation else ""

    def list_all(self) -> list[BackendServer]:
        """Return every listed server, including those that are leaving."""
        self._drop_expired()
        return list(self._servers.values())

    def is_mostly_filled(self, synced_ms: float | None) -> bool:
        """Return whether the registry has been followed for at least one heartbeat interval.

        Parameters
        ==========

        synced_ms : when the registry was first listed; None before.
        """
        return synced_ms is not None and self._clock.now_ms() - synced_ms >= NO_NEW_SERVER_MS

    def is_complete(self, synced_ms: float | None) -> bool:
        """Return whether the registry has been followed long enough to contain every server.

        Parameters
        ==========

        synced_ms : when the registry was first listed; None before.
        """
        if not self._is_complete and synced_ms is not None:
            now_ms = self._clock.now_ms()
            is_quiet = now_ms - self._last_new_ms >= NO_NEW_SERVER_MS
            followed_ms = now_ms - synced_ms
            self._is_complete = followed_ms >= (MIN_FILL_MS if is_quiet else MAX_FILL_MS)
        return self._is_complete

    def hash_servers(self) -> int:
        """Return a hash of the servers and their registered states, to compare with other gateways."""
        if self._digest is None:
            states = sorted(
                f"{one.incarnation} {self._listed_states[one.name].value}"
                for one in self._servers.values()
            )
            self._digest = xxhash.xxh32_intdigest("\n".join(states).encode())
        return self._digest

    def record_misdirected(self, name: str) -> None:
        """Exclude for `MISDIRECTED_EXCLUSION_MS` a server whose address now belongs to another server."""
        self._misdirected_until_ms[name] = self._clock.now_ms() + MISDIRECTED_EXCLUSION_MS

    def _put(self, item: StoredObject) -> None:
        try:
            server = self._decode(item)
        except ConfigurationError as error:
            self._record_invalid(item.name, error.detail)
            return
        server = self._departures.correct(server)
        listed_state = server.state
        if self._departures.is_stated(server.incarnation):
            server = replace(server, state=BackendState.LEAVING)
        before = self._servers.get(server.name)
        if before is not None and before.incarnation != server.incarnation:
            self._record_restart(before, server)
        if before is None:
            self._last_new_ms = self._clock.now_ms()
        else:
            self._by_service[before.serves].pop(before.name, None)
        self._servers[server.name] = server
        self._listed_states[server.name] = listed_state
        self._digest = None
        self._by_service[server.serves][server.name] = server
        self._retained_until_ms.pop(server.name, None)
        if before is None or before.state is not server.state:
            self._changes.append(_Change(server, server.state, item.version))
        if listed_state is BackendState.LEAVING:
            self._departures.record(server)
        if server.state is BackendState.LEAVING:
            self._on_removed(server)
        elif server.state is BackendState.LIVE:
            self.on_listed(server)

    def _record_invalid(self, name: str, detail: str) -> None:
        """Drop the server of an entry that became invalid; another writer may write it again all the time."""
        shown = name[:MAX_LOGGED_CHARACTERS]
        if self._log_limiter.allow(shown):
            log_event(Event.BACKEND_RECORD_INVALID, "warning", name=shown, detail=detail)
        if name in self._servers:
            self._drop(name)

    def _record_restart(self, before: BackendServer, server: BackendServer) -> None:
        """Discard the state of the process that had this name before."""
        self.on_restarting(before.name)
        self._misdirected_until_ms.pop(before.name, None)
        self._on_removed(before)
        log_event(
            Event.BACKEND_RESTARTED,
            server=server.name,
            address=server.address,
            started_unix_ms=server.started_unix_ms,
            before_unix_ms=before.started_unix_ms,
        )

    def _log_changes(self, source: PageSource | None = None) -> None:
        """Log the collected changes, and the source of their page; None if a retained entry expired."""
        changes, self._changes = self._changes, []
        if len(changes) <= MAX_CHANGE_LINES:
            for change in changes:
                change.log(source)
            return
        names: dict[BackendState, list[str]] = defaultdict(list)
        for change in changes:
            names[change.state].append(change.server.name)
        log_event(
            Event.BACKENDS_CHANGED,
            live=names[BackendState.LIVE],
            leaving=names[BackendState.LEAVING],
            gone=names[BackendState.GONE],
            source=source,
        )

    def _remove(self, name: str, *, is_lapse: bool) -> None:
        server = self._servers.get(name)
        if server is None:
            return
        now_ms = self._clock.now_ms()
        hold_ms = self.get_recovered_ms() + RETURN_WINDOW_MS - now_ms
        if is_lapse:
            # The entry may have been removed right after the state here was last confirmed.
            hold_ms = max(hold_ms, MAX_LAPSED_RETENTION_MS - self.measure_age_ms())
        if hold_ms <= 0 or server.state is not BackendState.LIVE:
            self._drop(name)
            return
        hold_ms = min(hold_ms, MAX_LAPSED_RETENTION_MS)
        self._retained_until_ms.setdefault(name, now_ms + hold_ms)
        log_event(Event.BACKEND_HELD, server=name, hold_ms=round(hold_ms))

    def _drop_expired(self) -> None:
        now_ms = self._clock.now_ms()
        expired = [name for name, until in self._retained_until_ms.items() if until <= now_ms]
        for name in expired:
            self._drop(name)
        if expired:
            self._log_changes()

    def _drop(self, name: str) -> None:
        self._retained_until_ms.pop(name, None)
        self._misdirected_until_ms.pop(name, None)
        server = self._servers.pop(name)
        del self._listed_states[name]
        self._digest = None
        self._by_service[server.serves].pop(name, None)
        self._changes.append(_Change(server, BackendState.GONE))
        self._on_removed(server)
