"""What the gateway knows, as forwarding needs it: see `request.sending.ForwardingView`."""

import random
from collections.abc import Sequence

from hemlockswitch.process.gateway.configuration import TableHolder
from hemlockswitch.process.gateway.fleet import Fleet
from hemlockswitch.process.gateway.loads import ServerLoads, Ticket
from hemlockswitch.process.gateway.reachability import Reachability
from hemlockswitch.process.gateway.registry import ServerRegistry
from hemlockswitch.request.forward_admission import AdmittedRequest
from hemlockswitch.request.placement import Placement, choose_server
from hemlockswitch.version.backend import BackendServer
from hemlockswitch.version.serving_table import ServingTable

CACHED_SHARE = 0.6
"""Part of an engine's memory that is expected to keep prompt parts; running requests take the
rest."""
PLAIN_CAPACITY_TOKENS = 0.0


class GatewayView:
    """Joins the configuration, the registry and the loads.

    Parameters
    ==========

    zone : this daemon's availability zone.
    """

    def __init__(
        self,
        tables: TableHolder,
        registry: ServerRegistry,
        loads: ServerLoads,
        fleet: Fleet,
        reachability: Reachability,
        zone: str,
    ) -> None:
        self._tables = tables
        self._registry = registry
        self._loads = loads
        self._fleet = fleet
        self._reachability = reachability
        self._zone = zone
        self._random = random.Random()

    def get_table(self) -> ServingTable | None:
        """Return the configuration in force."""
        return self._tables.current

    def place(self, admitted: AdmittedRequest, excluded: Sequence[str]) -> Placement | None:
        """Return the server for the next send, or None when there is none."""
        ready = self._registry.list_ready(admitted.service)
        servers = [server for server in ready if server.incarnation not in excluded]
        servers = self._reachability.select_reachable(servers)
        prompt = admitted.facts.prompt
        candidates = self._loads.build_candidates(servers, prompt)
        return choose_server(prompt, candidates, self._zone, self._random)

    def begin_send(self, admitted: AdmittedRequest, placement: Placement) -> Ticket:
        """Count a send."""
        return self._loads.begin(
            placement.candidate.server,
            admitted.facts.prompt,
            placement.uncached_tokens,
            self._find_capacity(admitted.service),
        )

    def find_connect_timeout_ms(self) -> float:
        """Return how long to wait for a connection to a server."""
        return self._reachability.find_connect_timeout_ms()

    def note_connected(self, server: BackendServer, took_ms: float) -> None:
        """A new connection to a server was made."""
        self._reachability.note_connected(server, took_ms)

    def note_unreachable(self, server: BackendServer, *, is_silent: bool) -> None:
        """No connection could be made; `is_silent` if the server did not even refuse it."""
        self._reachability.note_unreachable(server, is_silent=is_silent)

    def note_answer(self, server: BackendServer) -> None:
        """Bytes of an answer came from a server."""
        self._reachability.note_answer(server)

    def note_misdirected(self, server_name: str) -> None:
        """Leave out a server whose address belongs to another one by now."""
        self._registry.note_misdirected(server_name)

    def count_daemons(self) -> int:
        """Return how many daemons share the budgets."""
        return self._fleet.count_daemons()

    def _find_capacity(self, service: str) -> float:
        table = self._tables.current
        known = table.services.get(service) if table is not None else None
        if known is None or known.engine is None:
            return PLAIN_CAPACITY_TOKENS
        return known.engine.kv_capacity_tokens * CACHED_SHARE
