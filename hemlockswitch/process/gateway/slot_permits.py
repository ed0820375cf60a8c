"""Permits for the requests in progress on brittle backend servers, requested from the servers' issuers.

Nothing here costs time or messages while no server is brittle.
"""

import itertools
from collections import Counter
from collections.abc import Callable, Collection

from hemlockswitch.connection.peers import PeerNetwork
from hemlockswitch.core.clock import Clock
from hemlockswitch.core.errors import PeerError
from hemlockswitch.core.events import Event
from hemlockswitch.core.logs import log_event
from hemlockswitch.process.gateway.fleet import Fleet
from hemlockswitch.process.gateway.limit_exchange import ExchangeMessages, LimitExchange
from hemlockswitch.process.gateway.limit_messages import (
    BrittleBroadcast,
    BrittleObservations,
    PermitReply,
    SlotRelease,
    SlotRequest,
)
from hemlockswitch.process.gateway.permit_issuer import IssuerRanking
from hemlockswitch.process.gateway.server_limits import ServerLimits
from hemlockswitch.process.gateway.slot_issuer import SlotIssuer
from hemlockswitch.request.permits import Decision, Permit, Verdict
from hemlockswitch.request.slots import Claim
from hemlockswitch.version.backend import BackendServer

REPLY_TIMEOUT_MS = 250.0
REPEAT_INTERVAL_MS = 250.0
"""Time after which the releases sent since are repeated: a release that is lost occupies a slot until the deadline of
its request."""
NO_REPLY_PAUSE_MS = 1_000.0
"""Time for which an issuer that did not reply is not asked again."""
MAX_ISSUERS_ASKED = 2
MIN_PAUSE_MS = 5.0
BRITTLE_MESSAGES = ExchangeMessages(BrittleObservations, BrittleBroadcast)


class SlotPermits:
    """Requests permits for brittle servers, and issues those of the servers whose issuer this gateway is.

    Parameters
    ==========

    network, fleet : the streams to the other gateways, and the list of these gateways.
    ranking : determines the issuer of each server's permits.
    count_running : returns the number of requests of all gateways in progress on some servers.
    clock : the time.

    Attributes
    ==========

    brittle : the servers that are brittle, as known here.
    verdicts : number of requests for a permit by their verdict.
    """

    def __init__(
        self,
        network: PeerNetwork,
        fleet: Fleet,
        ranking: IssuerRanking,
        count_running: Callable[[Collection[str]], int],
        clock: Clock,
    ) -> None:
        self.verdicts: Counter[str] = Counter()
        self.brittle = ServerLimits(clock, Event.SERVER_BRITTLE, Event.SERVER_STURDY)
        self.exchange = LimitExchange(
            network, fleet, ranking, self.brittle, self._end_pause, clock, BRITTLE_MESSAGES
        )
        self.issuer = SlotIssuer(ranking, fleet, self.brittle, count_running, clock)
        self._ranking = ranking
        self._network = network
        self._fleet = fleet
        self._clock = clock
        self._numbers = itertools.count()
        self._paused_until_ms: dict[str, dict[int, float]] = {}  # by server and urgency
        self._unresponsive_until_ms: dict[str, float] = {}
        self._sent_releases: list[tuple[str, SlotRelease]] = []  # to be repeated, by issuer
        network.handle(SlotRequest, self._apply_request, runs_inline=True)
        network.handle(SlotRelease, self._apply_release, runs_inline=True)

    def run(self) -> None:
        """Repeat the releases until the task is killed."""
        while True:
            self._clock.sleep_ms(REPEAT_INTERVAL_MS)
            self.repeat_releases()

    def repeat_releases(self) -> None:
        """Send each release since the last call once more; an issuer applies it once."""
        sent, self._sent_releases = self._sent_releases, []
        for issuer, message in sent:
            self._deliver(issuer, message)

    def record_answer(self, server: BackendServer, rejections_per_s: float, sent_ms: float) -> None:
        """Record what a server states in its answer to a request that was sent at `sent_ms`."""
        if self.brittle.record_answer(server.incarnation, rejections_per_s, sent_ms):
            self._end_pause(server.incarnation)
            self.exchange.tell_near(server.incarnation, server.zone)
            self.exchange.publish(server.incarnation, server.zone)

    def needs_permit(self, server: BackendServer) -> bool:
        """Return whether a request to a server needs a permit."""
        return self.brittle.is_limited(server.incarnation)

    def select(self, servers: list[BackendServer], urgency: int) -> list[BackendServer]:
        """Return the servers that are not brittle, or for which a permit may be requested now."""
        if not self.brittle.has_limited:
            return servers
        now_ms = self._clock.now_ms()
        return [
            server
            for server in servers
            if not self.needs_permit(server) or self._find_pause_end_ms(server, urgency) <= now_ms
        ]

    def take(self, server: BackendServer, hold_ms: float, urgency: int) -> Permit | None:
        """Request a permit, and wait for the reply; None if it is refused.

        Parameters
        ==========

        hold_ms : for how long the request may last.
        urgency : of the request; 0 is the most urgent.
        """
        permit = f"{self._fleet.name}/{next(self._numbers)}"
        issuer, decision = self._request(server, Claim(self._fleet.name, permit, hold_ms, urgency))
        self.verdicts[decision.verdict.value] += 1
        if decision.verdict is Verdict.UNLIMITED:
            return Permit(float("inf"))
        if decision.verdict is Verdict.GRANTED:
            release = self._make_release(server, issuer, permit)
            return Permit(self._clock.now_ms() + hold_ms, release)
        pause_ms = max(decision.pause_ms, MIN_PAUSE_MS)
        pauses = self._paused_until_ms.setdefault(server.incarnation, {})
        pauses[urgency] = self._clock.now_ms() + pause_ms
        return None

    def find_retry_ms(self, servers: list[BackendServer], urgency: int) -> float | None:
        """Return when a permit may be available, in ms from now; None if no server is brittle."""
        if not self.brittle.has_limited:
            return None
        now_ms = self._clock.now_ms()
        pauses = [
            max(self._find_pause_end_ms(server, urgency) - now_ms, MIN_PAUSE_MS)
            for server in servers
            if self.needs_permit(server)
        ]
        return min(pauses, default=None)

    def record_rejection(self, server: BackendServer) -> None:
        """Tell the issuer that a brittle server turned a request away."""
        if self.needs_permit(server):
            self._send_release(server, self._find_issuer(server), "", was_rejected=True)

    def evict(self, incarnation: str) -> None:
        """Discard the state of a removed server."""
        self.brittle.evict(incarnation)
        self.exchange.evict(incarnation)
        self._paused_until_ms.pop(incarnation, None)

    def _find_pause_end_ms(self, server: BackendServer, urgency: int) -> float:
        """Return until when requests of an urgency, or a more urgent one, were told to pause."""
        pauses = self._paused_until_ms.get(server.incarnation, {})
        applying = [until_ms for other, until_ms in pauses.items() if other <= urgency]
        return max(applying, default=0.0)

    def _end_pause(self, incarnation: str) -> None:
        self._paused_until_ms.pop(incarnation, None)

    def _make_release(self, server: BackendServer, issuer: str, permit: str) -> Callable[[], None]:
        """Return a function that returns a permit once, however often it is called."""
        pending = [permit]

        def release() -> None:
            if pending:
                self._end_pause(server.incarnation)
                self._send_release(server, issuer, pending.pop())

        return release

    def _send_release(
        self, server: BackendServer, issuer: str, permit: str, was_rejected: bool = False
    ) -> None:
        message = SlotRelease(server.incarnation, permit, was_rejected)
        if issuer == self._fleet.name:
            self.issuer.release(message)
            return
        self._deliver(issuer, message)
        if not was_rejected:
            self._sent_releases.append((issuer, message))

    def _deliver(self, issuer: str, message: SlotRelease) -> None:
        addresses = self._list_addresses()
        if issuer in addresses:
            self._network.send(addresses[issuer], message)

    def _find_issuer(self, server: BackendServer) -> str:
        return self._ranking.rank(server.incarnation, server.zone)[0]

    def _list_addresses(self) -> dict[str, str]:
        return {peer.name: peer.address for peer in self._fleet.list_peers()}

    def _request(self, server: BackendServer, claim: Claim) -> tuple[str, Decision]:
        """Return the first issuer that decides, and its decision."""
        statement = self.exchange.describe(server.incarnation, server.zone)
        request = SlotRequest(claim.holder, claim.permit, claim.hold_ms, claim.urgency, statement)
        addresses = self._list_addresses()
        now_ms = self._clock.now_ms()
        names = [
            name
            for name in self._ranking.rank(server.incarnation, server.zone)
            if self._unresponsive_until_ms.get(name, 0.0) <= now_ms
        ]
        for name in names[:MAX_ISSUERS_ASKED]:
            if name == self._fleet.name:
                decision = self.issuer.decide(request)
            else:
                decision = self._request_from(name, addresses[name], request, server)
            if decision.verdict not in (Verdict.NOT_ISSUER, Verdict.NO_REPLY):
                return name, decision
        return "", Decision(Verdict.NO_REPLY, NO_REPLY_PAUSE_MS, NO_REPLY_PAUSE_MS)

    def _request_from(
        self, name: str, address: str, request: SlotRequest, server: BackendServer
    ) -> Decision:
        reply = None
        try:
            reply = self._network.request(address, request, REPLY_TIMEOUT_MS)
        except PeerError as error:
            self._unresponsive_until_ms[name] = self._clock.now_ms() + NO_REPLY_PAUSE_MS
            log_event(Event.PERMIT_UNANSWERED, "warning", gateway=name, detail=error.detail)
            return Decision(Verdict.NO_REPLY)
        finally:
            if reply is None:  # Also if the caller left: the permit may have been granted.
                self._send_release(server, name, request.permit)
        self.exchange.merge(reply.statement, name)
        return Decision(Verdict(reply.verdict), reply.retry_ms, reply.pause_ms)

    def _apply_request(self, address: str, request: SlotRequest) -> PermitReply:
        """Decide on the request of another gateway."""
        incarnation, zone, *_ = request.statement
        if self.exchange.merge(request.statement, address):
            self.exchange.publish(incarnation, zone)
        decision = self.issuer.decide(request)
        statement = self.exchange.describe(incarnation, zone)
        return PermitReply(decision.verdict.value, decision.retry_ms, decision.pause_ms, statement)

    def _apply_release(self, _address: str, message: SlotRelease) -> None:
        self.issuer.release(message)
