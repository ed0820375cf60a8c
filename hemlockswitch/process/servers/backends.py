"""The directory of backend servers: which ones accept new work, and the load of each."""

import math
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from hemlockswitch.connection.loads import LoadReport
from hemlockswitch.core.clock import Clock
from hemlockswitch.core.events import Event
from hemlockswitch.core.logs import log_event
from hemlockswitch.process.gossip.state import GossipItem, GossipState
from hemlockswitch.process.membership.discovery import ENTRY_SERVES
from hemlockswitch.process.servers.dispatches import Dispatches
from hemlockswitch.process.servers.loads import Ticket
from hemlockswitch.process.servers.subsets import SUBSET_SIZE, Subset
from hemlockswitch.request.routing import Candidate
from hemlockswitch.version.backend import BackendServer, BackendState

VM_PREFIX = "vm/"
NOTICE_PREFIX = "notice/"
ZONE_OFFER_EXPIRY_MS = 2_000.0

LeavingListener = Callable[[str, int], None]


@dataclass(frozen=True)
class _ZoneOffer:
    """The servers that another zone offered, and when this daemon sent the query."""

    servers: dict[str, BackendServer]
    requested_ms: float


class BackendDirectory:
    """The backend servers that a daemon may use.

    Explanation
    ===========

    Servers of the local zone come from gossip (`vm/<name>` and `notice/<name>`). Servers of another
    zone come from the answers of that zone's daemons, and expire `ZONE_OFFER_EXPIRY_MS` after the query
    was sent, so that an unreachable zone gets no new work.

    A server that was reported as leaving stays leaving, even if a later record says otherwise.

    Parameters
    ==========

    gossip_state : the gossip state, which receives VM records and reclaim notices.
    clock : the process's clock.
    zone : the daemon's availability zone.
    own_name : the daemon's name, which selects its stable subset.
    members : returns the names of the zone's live daemons.
    subset_size : average number of servers of one target that a daemon uses.
    """

    def __init__(
        self,
        gossip_state: GossipState,
        clock: Clock,
        zone: str,
        own_name: str = "",
        list_members: Callable[[], list[str]] = list,
        subset_size: int = SUBSET_SIZE,
    ) -> None:
        self._clock = clock
        self.zone = zone
        self.overflowed_ms = -math.inf
        self._own_name = own_name
        self._list_members = list_members
        self._subset_size = subset_size
        self._servers: dict[str, BackendServer] = {}
        self._offers: dict[str, _ZoneOffer] = {}
        self._dispatches = Dispatches(clock)
        self._leaving: dict[str, int] = {}
        self._draining: frozenset[str] = frozenset()
        self._closed: set[str] = set()
        self._subsets: dict[str, Subset] = {}
        self._subset_names: dict[str, list[str]] = {}
        self._is_subset_stale = True
        self._listeners: list[LeavingListener] = []
        for prefix, learn in ((NOTICE_PREFIX, self._apply_notice), (VM_PREFIX, self._apply_vm)):
            gossip_state.add_listener(prefix, learn)
            for item in gossip_state.list_items(prefix):
                learn(item)

    def add_leaving_listener(self, listener: LeavingListener) -> None:
        """Call ``listener(name, deadline_wall_ms)`` once for each server when it is reported as leaving.

        The deadline is 0 if none was given. The listener must not block.
        """
        self._listeners.append(listener)

    def set_draining(self, names: Iterable[str]) -> None:
        """Send no new work to `names`, the planned stops of the current configuration."""
        self._draining = frozenset(names)
        self._is_subset_stale = True

    def is_leaving(self, name: str) -> bool:
        """Return whether the server was ever reported as leaving."""
        return name in self._leaving

    def list_leaving(self) -> dict[str, int]:
        """Return the leaving servers with their deadlines (0: none given)."""
        return dict(self._leaving)

    def close(self, name: str) -> None:
        """Permanently send no new work to the server; its requests in progress continue."""
        self._closed.add(name)
        self._is_subset_stale = True

    def is_closed(self, name: str) -> bool:
        """Return whether this daemon has permanently stopped sending new work to the server."""
        return name in self._closed or name in self._leaving

    def get_service_ms(self) -> dict[str, float]:
        """Return the mean time for which a request occupies its slot, by model or service."""
        return dict(self._dispatches.service_ms)

    def list_draining(self) -> frozenset[str]:
        """Return the servers whose stop is planned in the current configuration."""
        return self._draining

    def find_server(self, name: str) -> BackendServer | None:
        """Return the server called `name` in any state, or None."""
        if name in self._servers:
            return self._servers[name]
        offers = (offer.servers.get(name) for offer in self._offers.values())
        return next((server for server in offers if server is not None), None)

    def list_own_servers(self, target: str = "") -> list[BackendServer]:
        """Return the local zone's usable servers of `target`, or of all targets if it is empty."""
        return [
            server
            for server in self._servers.values()
            if (not target or server.serves == target) and self._is_usable(server)
        ]

    def list_targets(self) -> set[str]:
        """Return the models and services that have a server."""
        offered = (server for offer in self._offers.values() for server in offer.servers.values())
        return {server.serves for server in (*self._servers.values(), *offered)}

    def list_servers(self, target: str) -> list[BackendServer]:
        """Return the servers of `target` in all zones that may get new work now."""
        used = [*self._list_subset(target), *self._list_offered(target)]
        usable = [server for server in used if self._is_usable(server)]
        return [one for one in usable if not self._dispatches.is_failing(one.name)] or usable

    def list_used(self) -> list[BackendServer]:
        """Return the servers whose load this daemon monitors, including draining ones."""
        targets = self.list_targets()
        used = (self._list_subset(target) + self._list_offered(target) for target in targets)
        return [server for servers in used for server in servers if self._is_live(server)]

    def list_candidates(self, target: str) -> list[Candidate]:
        """Return the servers of `target` that may get new work, with their load.

        Explanation
        ===========

        Servers that failed recently are excluded, unless no other server remains: the request may have
        caused the failure, and refusing all requests would be worse.
        """
        return self._dispatches.estimate(self.list_servers(target))

    def record_overflow(self) -> None:
        """Record that the servers in use are overloaded, so that other zones are queried for servers."""
        self.overflowed_ms = self._clock.now_ms()

    def count_waiting(self) -> int:
        """Return the number of this daemon's requests that wait for their first token."""
        return self._dispatches.count_waiting()

    def count_in_flight(self, name: str) -> int:
        """Return the number of this daemon's requests in progress at the server."""
        return self._dispatches.count_in_flight(name)

    def begin(self, name: str, prompt_tokens: int = 0, max_tokens: int = 0) -> Ticket:
        """Count a request as in progress at the server.

        Parameters
        ==========

        name : the server.
        prompt_tokens : prompt tokens that the server has to compute before the first answer token.
        max_tokens : maximum number of answer tokens.
        """
        server = self.find_server(name)
        serves = server.serves if server else ""
        return self._dispatches.begin(name, serves, prompt_tokens, max_tokens)

    def record_first_token(self, ticket: Ticket) -> None:
        """Record that the request's prompt has been computed."""
        self._dispatches.record_first_token(ticket)

    def end(self, ticket: Ticket, failed: bool = False) -> None:
        """Count the request as ended; further calls for the ticket have no effect.

        Parameters
        ==========

        ticket : the ticket that `begin` returned.
        failed : whether the server failed, which starts a back-off.
        """
        self._dispatches.end(ticket, failed)
        if ticket.server_name in self._leaving:
            self._dispatches.evict(ticket.server_name)

    def record_load(self, name: str, report: LoadReport, round_trip_ms: float = 0.0) -> None:
        """Record a load report of a server."""
        self._dispatches.record_load(name, report, round_trip_ms)

    def record_offer(
        self, zone: str, servers: Iterable[BackendServer], requested_ms: float
    ) -> None:
        """Record the answer of another zone's daemon to a query sent at `requested_ms`."""
        current = self._offers.get(zone)
        if current is None or requested_ms > current.requested_ms:
            self._offers[zone] = _ZoneOffer({one.name: one for one in servers}, requested_ms)

    def withdraw_offer(self, zone: str) -> None:
        """Use no server of another zone until a query that is sent from now on is answered."""
        self._offers[zone] = _ZoneOffer({}, self._clock.now_ms())

    def record_leaving(self, name: str, deadline_wall_ms: int = 0) -> None:
        """Record that the server is leaving: it permanently gets no new work."""
        if name in self._leaving:
            return
        self._leaving[name] = deadline_wall_ms
        self._is_subset_stale = True
        log_event(Event.BACKEND_LEAVING, vm=name, deadline_wall_ms=deadline_wall_ms)
        for listener in self._listeners:
            listener(name, deadline_wall_ms)

    def refresh_subsets(self) -> None:
        """Recompute the stable subset from the zone's live daemons and servers."""
        self._is_subset_stale = False
        members = self._list_members()
        by_target: dict[str, set[str]] = {target: set() for target in self._subset_names}
        for server in self._servers.values():
            if self._is_live(server):
                by_target.setdefault(server.serves, set()).add(server.name)
        for target, names in by_target.items():
            subset = self._subsets.setdefault(target, Subset(self._own_name, self._subset_size))
            self._subset_names[target] = sorted(subset.update(members, names))

    def _is_live(self, server: BackendServer) -> bool:
        return server.state is BackendState.LIVE and server.name not in self._leaving

    def _is_usable(self, server: BackendServer) -> bool:
        if not self._is_live(server) or server.name in self._draining | self._closed:
            return False
        return not self._dispatches.is_draining(server.name)

    def _list_subset(self, target: str) -> list[BackendServer]:
        if self._is_subset_stale:
            self.refresh_subsets()
        servers = (self._servers.get(name) for name in self._subset_names.get(target, ()))
        return [server for server in servers if server is not None]

    def _list_offered(self, target: str) -> list[BackendServer]:
        oldest_ms = self._clock.now_ms() - ZONE_OFFER_EXPIRY_MS
        return [
            server
            for zone, offer in self._offers.items()
            if zone != self.zone and offer.requested_ms >= oldest_ms
            for server in offer.servers.values()
            if server.serves == target
        ]

    def _apply_vm(self, item: GossipItem) -> None:
        try:
            server = BackendServer.from_record(item.value)
        except (KeyError, TypeError, ValueError) as error:
            log_event(Event.BACKEND_RECORD_INVALID, "warning", key=item.key, error=str(error))
            return
        self._is_subset_stale = True
        if server.state in (BackendState.LEAVING, BackendState.GONE):
            self.record_leaving(server.name)
        if server.state is BackendState.GONE:
            self._servers.pop(server.name, None)
            self._dispatches.evict(server.name)
        elif server.zone == self.zone and server.serves not in ("", ENTRY_SERVES):
            self._servers[server.name] = server

    def _apply_notice(self, item: GossipItem) -> None:
        name = item.key.removeprefix(NOTICE_PREFIX)
        value = item.value if isinstance(item.value, dict) else {}
        self.record_leaving(name, int(value.get("deadline_wall_ms", 0)))
