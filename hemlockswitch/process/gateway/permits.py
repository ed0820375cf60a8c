"""Permits for requests to limited backend servers, requested from the servers' issuers.

Nothing here costs time or messages while no server is limited.
"""

from collections import Counter
from collections.abc import Callable, Collection, Iterable, Sequence
from dataclasses import dataclass
from typing import Any

from hemlockswitch.connection.peers import PeerNetwork
from hemlockswitch.core.clock import MS_PER_SECOND, Clock
from hemlockswitch.core.errors import PeerError
from hemlockswitch.core.events import Event
from hemlockswitch.core.logs import log_event
from hemlockswitch.process.gateway.fleet import Fleet
from hemlockswitch.process.gateway.fleet_clock import read_boot_ms
from hemlockswitch.process.gateway.limit_exchange import LimitExchange
from hemlockswitch.process.gateway.limit_messages import PermitReply, PermitRequest
from hemlockswitch.process.gateway.permit_issuer import IssuerRanking, PermitIssuer
from hemlockswitch.process.gateway.server_limits import ServerLimits
from hemlockswitch.process.gateway.slot_permits import SlotPermits
from hemlockswitch.request.permits import (
    MAX_RETRY_DELAY_MS,
    MIN_RATE_PER_S,
    PERMIT_LIFETIME_MS,
    Decision,
    Permit,
    Verdict,
)
from hemlockswitch.version.backend import BackendServer

REPLY_TIMEOUT_MS = PERMIT_LIFETIME_MS
NO_REPLY_PAUSE_MS = 1_000.0
"""Time for which an issuer that did not reply, and a server without an issuer, are not asked again."""
MAX_ISSUERS_ASKED = 2
MIN_PAUSE_MS = 10.0
MAX_URGENCY = 9


@dataclass
class _Pause:
    """A time without requests for the permits of a server.

    Parameters
    ==========

    until_ms : when the next request may be made.
    retry_at_ms : when a caller that is refused meanwhile should return.
    """

    until_ms: float
    retry_at_ms: float


class Permits:
    """Requests permits, and issues those of the servers whose issuer this gateway is.

    Parameters
    ==========

    network, fleet : the streams to the other gateways, and the list of these gateways.
    limits : the limits known here.
    clock : the time.
    read_boot : see `PermitIssuer`.
    count_running : returns the number of requests of all gateways in progress on some servers.

    Attributes
    ==========

    slots : the permits of brittle servers.
    verdicts : number of requests for a permit by their verdict.
    """

    def __init__(
        self,
        network: PeerNetwork,
        fleet: Fleet,
        limits: ServerLimits,
        clock: Clock,
        read_boot: Callable[[], float] = read_boot_ms,
        count_running: Callable[[Collection[str]], int] = lambda _: 0,
    ) -> None:
        self.verdicts: Counter[str] = Counter()
        self.limits = limits
        self.ranking = IssuerRanking(fleet)
        self.issuer = PermitIssuer(self.ranking, fleet, limits, clock, read_boot)
        self.slots = SlotPermits(network, fleet, self.ranking, count_running, clock)
        self.exchange = LimitExchange(network, fleet, self.ranking, limits, self._end_pauses, clock)
        self._network = network
        self._fleet = fleet
        self._clock = clock
        self._pauses: dict[str, dict[int, _Pause]] = {}
        self._unresponsive_until_ms: dict[str, float] = {}
        network.handle(PermitRequest, self._apply_request, runs_inline=True)

    def record_answer(self, server: BackendServer, limit_per_s: float, sent_ms: float) -> None:
        """Record the limit in a server's answer to a request that was sent at `sent_ms`."""
        if self.limits.record_answer(server.incarnation, limit_per_s, sent_ms):
            self._end_pauses(server.incarnation)
            self.exchange.publish(server.incarnation, server.zone)

    def select(
        self, servers: list[BackendServer], urgency: int, *, is_repeatable: bool
    ) -> list[BackendServer]:
        """Return the servers that are not limited, or for which a permit may be requested now.

        A server whose limit is 0 gets only requests that may be repeated, which show when its limit ends.
        """
        if not self.limits.has_limited:
            return servers
        now_ms = self._clock.now_ms()
        return [
            server
            for server in servers
            if self._may_request(server, urgency, now_ms)
            if is_repeatable or self.limits.get(server.incarnation).limit_per_s > 0
        ]

    def is_limited(self, server: BackendServer) -> bool:
        """Return whether a request to a server needs a permit."""
        return self.limits.is_limited(server.incarnation)

    def take(self, server: BackendServer, urgency: int) -> Permit | None:
        """Request a permit for a limited server, and wait for the reply; None if it is refused."""
        urgency = min(max(urgency, 0), MAX_URGENCY)
        requested_ms = self._clock.now_ms()
        decision = self._request(server, urgency)
        self.verdicts[decision.verdict.value] += 1
        if decision.verdict is Verdict.UNLIMITED:
            return Permit(float("inf"))
        if decision.verdict is Verdict.GRANTED:
            return Permit(requested_ms + PERMIT_LIFETIME_MS)
        self._pause(server, urgency, decision)
        return None

    def find_retry_ms(self, servers: Sequence[BackendServer], urgency: int) -> float | None:
        """Return when a refused caller should return, in ms from now; None if no server is limited.

        Callers that are refused one after the other are to return one after the other.
        """
        pauses = [
            (pause, server.incarnation)
            for server in servers
            if self.is_limited(server)
            if (pause := self._find_pause(server.incarnation, urgency)) is not None
        ]
        if not pauses:
            return None
        now_ms = self._clock.now_ms()
        pause, incarnation = min(pauses, key=lambda one: one[0].retry_at_ms)
        retry_ms = min(max(pause.retry_at_ms - now_ms, MIN_PAUSE_MS), MAX_RETRY_DELAY_MS)
        rate_per_s = max(self.limits.get(incarnation).limit_per_s, MIN_RATE_PER_S)
        pause.retry_at_ms = now_ms + retry_ms + MS_PER_SECOND / rate_per_s
        return retry_ms

    def evict(self, incarnation: str) -> None:
        """Discard the state of a removed server."""
        self.slots.evict(incarnation)
        self.limits.evict(incarnation)
        self.exchange.evict(incarnation)
        self._pauses.pop(incarnation, None)

    def evict_unlisted(self, list_servers: Callable[[], Iterable[BackendServer]]) -> None:
        """Discard the state of servers that have not been registered for a while."""
        stated = [one for one in (self.limits, self.slots.brittle) if one.has_records]
        if not stated:
            return
        listed = {server.incarnation for server in list_servers()}
        for limits in stated:
            for incarnation in limits.list_unlisted(listed):
                self.evict(incarnation)

    def describe(self) -> list[dict[str, Any]]:
        """Return the limited servers for the status page."""
        issued = set(self.issuer.list_servers())
        return [
            {**server, "issues_permits": server["server"] in issued}
            for server in self.limits.describe()
        ]

    def _end_pauses(self, incarnation: str) -> None:
        """Allow requests for a server's permits at once, as its limit has changed."""
        self._pauses.pop(incarnation, None)

    def _may_request(self, server: BackendServer, urgency: int, now_ms: float) -> bool:
        if not self.is_limited(server):
            return True
        pause = self._find_pause(server.incarnation, urgency)
        return pause is None or pause.until_ms <= now_ms

    def _find_pause(self, incarnation: str, urgency: int) -> _Pause | None:
        """Return the pause that applies to requests of an urgency: of its own, or of a more urgent one."""
        pauses = self._pauses.get(incarnation, {})
        applying = [pause for other, pause in pauses.items() if other <= urgency]
        return max(applying, key=lambda one: one.until_ms, default=None)

    def _pause(self, server: BackendServer, urgency: int, decision: Decision) -> None:
        now_ms = self._clock.now_ms()
        pause = _Pause(
            now_ms + max(decision.pause_ms, MIN_PAUSE_MS),
            now_ms + max(decision.retry_ms, MIN_PAUSE_MS),
        )
        self._pauses.setdefault(server.incarnation, {})[urgency] = pause

    def _request(self, server: BackendServer, urgency: int) -> Decision:
        """Return the decision of the first issuer that decides."""
        incarnation, zone = server.incarnation, server.zone
        addresses = {peer.name: peer.address for peer in self._fleet.list_peers()}
        now_ms = self._clock.now_ms()
        names = [
            name
            for name in self.ranking.rank(incarnation, zone)
            if self._unresponsive_until_ms.get(name, 0.0) <= now_ms
        ]
        for name in names[:MAX_ISSUERS_ASKED]:
            if name == self._fleet.name:
                decision = self.issuer.decide(incarnation, zone, urgency)
            else:
                decision = self._request_from(name, addresses[name], server, urgency)
            if decision.verdict not in (Verdict.NOT_ISSUER, Verdict.NO_REPLY):
                return decision
        return Decision(Verdict.NO_REPLY, NO_REPLY_PAUSE_MS, NO_REPLY_PAUSE_MS)

    def _request_from(
        self, name: str, address: str, server: BackendServer, urgency: int
    ) -> Decision:
        statement = self.exchange.describe(server.incarnation, server.zone)
        try:
            reply = self._network.request(
                address, PermitRequest(urgency, statement), REPLY_TIMEOUT_MS
            )
        except PeerError as error:
            self._unresponsive_until_ms[name] = self._clock.now_ms() + NO_REPLY_PAUSE_MS
            log_event(Event.PERMIT_UNANSWERED, "warning", gateway=name, detail=error.detail)
            return Decision(Verdict.NO_REPLY)
        self.exchange.merge(reply.statement, name)
        return Decision(Verdict(reply.verdict), reply.retry_ms, reply.pause_ms)

    def _apply_request(self, address: str, request: PermitRequest) -> PermitReply:
        """Decide on the request of another gateway."""
        incarnation, zone, *_ = request.statement
        if self.exchange.merge(request.statement, address):
            self.exchange.publish(incarnation, zone)
        decision = self.issuer.decide(incarnation, zone, request.urgency)
        statement = self.exchange.describe(incarnation, zone)
        return PermitReply(decision.verdict.value, decision.retry_ms, decision.pause_ms, statement)
