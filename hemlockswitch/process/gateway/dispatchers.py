"""Slots of managed plain services, requested from the gateway that assigns them.

Nothing here costs messages while a service has room. docs/design/dispatcher.md describes the whole.
"""

import itertools
import uuid
from collections import Counter
from collections.abc import Callable, Collection, Sequence
from dataclasses import dataclass, field
from typing import Any

from gevent.event import AsyncResult
from gevent.event import Event as Signal
from gevent.local import local

from hemlockswitch.connection.peers import PeerNetwork
from hemlockswitch.core.clock import MS_PER_SECOND, Clock
from hemlockswitch.core.errors import PeerError
from hemlockswitch.core.events import Event
from hemlockswitch.core.logs import log_event
from hemlockswitch.process.gateway.dispatch_messages import (
    DispatchRelease,
    DispatchReply,
    DispatchRequest,
    DispatchWithdraw,
)
from hemlockswitch.process.gateway.fleet import Fleet
from hemlockswitch.process.gateway.managed_services import ManagedServices
from hemlockswitch.process.gateway.registry import ServerRegistry
from hemlockswitch.process.gateway.server_paces import PERCENT, ServerPaces
from hemlockswitch.process.gateway.service_models import ServiceModels
from hemlockswitch.process.gateway.slot_groups import GroupKey, SlotGroups
from hemlockswitch.request.dispatch import Decision, Dispatched, Verdict
from hemlockswitch.request.forward_admission import AdmittedRequest
from hemlockswitch.request.permits import Permit
from hemlockswitch.request.return_book import make_key
from hemlockswitch.version.backend import BackendServer

SHORT_SHARE = 0.5
"""Fraction of a service's slots in use from which its requests are dispatched. Reports of other gateways are some
100 ms old, in which the other half can fill up."""
SHORT_MS = 1_000.0
"""How long a rejection, or a reply that shows that no slot is free, lets a service count as short of room."""
REPLY_TIMEOUT_MS = 250.0
NO_REPLY_PAUSE_MS = 1_000.0
"""Time for which a dispatcher that did not reply is not asked again."""
REPEAT_INTERVAL_MS = 250.0
"""Time after which releases are sent a second time: a lost one occupies a slot until the deadline of its request."""
CHECK_INTERVAL_MS = 250.0
LIST_INTERVAL_MS = 1_000.0
COUNT_LIFETIME_MS = 20.0
"""How long the count of requests in progress is used: it sums the reports of all gateways."""
QUEUE_CHECK_INTERVAL_MS = 25.0
"""Interval of checks while requests wait here or for another dispatcher."""
QUEUE_MARGIN_MS = 100.0
"""How long after its longest wait a queued request is sent without a slot, if nothing was received about it."""
WAIT_SHARE = 0.25
"""Fraction of the time to its deadline that a request without a latency objective may wait."""
DEFAULT_WEIGHT = 1.0


@dataclass
class _Waiting:
    """A request for a slot whose decision has not been received."""

    dispatcher: str
    result: AsyncResult = field(default_factory=AsyncResult)


class Dispatchers:
    """Requests slots, and assigns those of the groups whose dispatcher this gateway is.

    Parameters
    ==========

    network, fleet : the streams to the other gateways, and the list of these gateways.
    registry, paces, models : the backend servers, their paces, and the usual times of calls.
    managed : the services to which this applies.
    count_running : returns the number of requests of all gateways in progress on some servers.
    has_engines : returns whether the servers of a service are engines.
    clock : the time.

    Attributes
    ==========

    verdicts : number of requests for a slot by their verdict.
    observe_wait_ms : called with the time until the decision on each of them.
    """

    def __init__(
        self,
        network: PeerNetwork,
        fleet: Fleet,
        registry: ServerRegistry,
        paces: ServerPaces,
        models: ServiceModels,
        managed: ManagedServices,
        count_running: Callable[[Collection[str]], int],
        has_engines: Callable[[str], bool],
        clock: Clock,
    ) -> None:
        self.verdicts: Counter[str] = Counter()
        self.observe_wait_ms: Callable[[float], None] = lambda _: None
        self.groups = SlotGroups(fleet, registry, paces, models.get_call_ms, count_running, clock)
        self._network = network
        self._fleet = fleet
        self._registry = registry
        self._paces = paces
        self._models = models
        self._managed = managed
        self._count_running = count_running
        self._has_engines = has_engines
        self._clock = clock
        self._process = uuid.uuid4().hex[:8]  # a restarted process must not reuse identifiers
        self._numbers = itertools.count(1)
        self._waiting: dict[str, _Waiting] = {}
        self._short_until_ms: dict[str, float] = {}
        self._unresponsive_until_ms: dict[str, float] = {}
        self._task = local()  # the server that has rejected the request of the running task
        self._sent_releases: list[tuple[str, DispatchRelease]] = []
        self._changed = Signal()
        self._services: set[str] = set()
        self._listed_ms = float("-inf")
        self._counted: dict[str, tuple[float, bool]] = {}
        network.handle(DispatchRequest, self._apply_request, runs_inline=True)
        network.handle(DispatchReply, self._apply_reply, runs_inline=True)
        network.handle(DispatchRelease, self._apply_release, runs_inline=True)
        network.handle(DispatchWithdraw, self._apply_withdraw, runs_inline=True)

    def is_dispatched(self, service: str) -> bool:
        """Return whether a service is managed, plain, and short of room."""
        if not self._applies(service):
            return False
        now_ms = self._clock.now_ms()
        if self._short_until_ms.get(service, 0.0) > now_ms:
            return True
        counted_ms, is_short = self._counted.get(service, (float("-inf"), False))
        if now_ms - counted_ms > COUNT_LIFETIME_MS:
            is_short = self._is_half_used(service)
            self._counted[service] = (now_ms, is_short)
        return is_short

    def _is_half_used(self, service: str) -> bool:
        servers = self._registry.list_ready(service)
        if any(not server.slots for server in servers):
            return False  # Slots that are not stated cannot be assigned.
        slots = sum(server.slots for server in servers)
        running = self._count_running([server.incarnation for server in servers])
        return slots > 0 and running >= SHORT_SHARE * slots

    def take(
        self,
        admitted: AdmittedRequest,
        likely: BackendServer,
        usable: Sequence[BackendServer],
    ) -> tuple[Dispatched, Permit | None, str]:
        """Request a slot, and wait for the decision; return it with the permit and the server's incarnation.

        Parameters
        ==========

        likely : the server that the request would get without a dispatcher; it determines the group.
        usable : the servers that may get the request.
        """
        self._task.rejected = ""
        service = admitted.service
        groups = self.groups.divide(service)
        key = (service, groups.get(likely.name, 0))
        dispatcher = self.groups.find_dispatcher(key)
        if self._unresponsive_until_ms.get(dispatcher, 0.0) > self._clock.now_ms():
            return self._count(Dispatched(Verdict.UNDISPATCHED, dispatcher)), None, ""
        names = {server.incarnation for server in usable}
        excluded = [
            server.incarnation
            for server in self._registry.list_ready(service)
            if groups.get(server.name) == key[1] and server.incarnation not in names
        ]
        request = self._describe_request(admitted, key, excluded)
        began_ms = self._clock.now_ms()
        reply = self._await_decision(dispatcher, request)
        self.observe_wait_ms(self._clock.now_ms() - began_ms)
        verdict = Verdict(reply.verdict)
        is_full = reply.waited_ms > 0 or reply.free == 0
        if verdict is Verdict.REFUSED or (verdict is Verdict.ASSIGNED and is_full):
            self._short_until_ms[service] = self._clock.now_ms() + SHORT_MS
        outcome = Dispatched(
            verdict, dispatcher, retry_ms=reply.retry_ms, detail=_describe_inputs(reply)
        )
        permit = None
        if verdict is Verdict.ASSIGNED:
            release = self._make_release(dispatcher, key, request.permit, reply.server)
            permit = Permit(admitted.deadline_ms, release)
        return self._count(outcome), permit, reply.server

    def record_rejection(self, server: BackendServer) -> None:
        """Record that a server rejected a request that is about to be released."""
        if server.slots and self._applies(server.serves):
            self._task.rejected = server.incarnation
            self._short_until_ms[server.serves] = self._clock.now_ms() + SHORT_MS

    def run(self) -> None:
        """Decide on requests that wait too long, and notice ended dispatchers, until the task is killed."""
        while True:
            is_busy = self.groups.has_queued or bool(self._waiting)
            timeout_ms = QUEUE_CHECK_INTERVAL_MS if is_busy else CHECK_INTERVAL_MS
            if is_busy:
                self._clock.sleep_ms(timeout_ms)
            else:
                self._changed.wait(timeout_ms / MS_PER_SECOND)
            self._changed.clear()
            self.check()

    def check(self) -> None:
        """Apply changes of servers and gateways to the requests that wait, here or at other dispatchers."""
        self._deliver(self.groups.check(self._list_services()))
        if not self._waiting:
            return
        streams = set(self._network.list_streams())
        addresses = self._list_addresses()
        for permit, waiting in list(self._waiting.items()):
            name = waiting.dispatcher
            if name == self._fleet.name or waiting.result.ready():
                continue
            if self._fleet.find_running(name) is None or addresses.get(name) not in streams:
                waiting.result.set(DispatchReply(permit, Verdict.UNDISPATCHED.value))

    def repeat_releases(self) -> None:
        """Send each release since the last call once more; a dispatcher applies it once."""
        sent, self._sent_releases = self._sent_releases, []
        for dispatcher, message in sent:
            self._send(dispatcher, message)

    def run_repeats(self) -> None:
        """Repeat the releases until the task is killed."""
        while True:
            self._clock.sleep_ms(REPEAT_INTERVAL_MS)
            self.repeat_releases()

    def describe(self) -> dict[str, Any]:
        """Return the state for the status page."""
        now_ms = self._clock.now_ms()
        return {
            "short": sorted(name for name, at in self._short_until_ms.items() if at > now_ms),
            "waiting": len(self._waiting),
            "dispatched_here": self.groups.describe(),
        }

    def _list_services(self) -> set[str]:
        """Return the managed services without engines; listed once a second, as there may be thousands of servers."""
        now_ms = self._clock.now_ms()
        if now_ms - self._listed_ms > LIST_INTERVAL_MS:
            self._listed_ms = now_ms
            names = set()
            if self._managed.has_any:
                names = {server.serves for server in self._registry.list_all()}
            self._services = {name for name in names if self._applies(name)}
        return self._services

    def _applies(self, service: str) -> bool:
        return self._managed.is_managed(service) and not self._has_engines(service)

    def _count(self, outcome: Dispatched) -> Dispatched:
        self.verdicts[outcome.verdict.value] += 1
        return outcome

    def _describe_request(
        self, admitted: AdmittedRequest, key: GroupKey, excluded: list[str]
    ) -> DispatchRequest:
        now_ms = self._clock.now_ms()
        left_ms = max(admitted.deadline_ms - now_ms, 0.0)
        call_ms = self._models.get_call_ms(admitted.service)
        elapsed_ms = now_ms - admitted.request.received_ms
        objective_ms = admitted.route.objective_ms
        max_wait_ms = objective_ms - elapsed_ms - call_ms if objective_ms else left_ms * WAIT_SHARE
        account = admitted.account
        return DispatchRequest(
            name=self._fleet.name,
            permit=f"{self._fleet.name}/{self._process}/{next(self._numbers)}",
            service=key[0],
            group=key[1],
            account="" if account is None else account.name,
            weight=(account.rate_per_s if account is not None else 0.0) or DEFAULT_WEIGHT,
            urgency=admitted.urgency,
            max_wait_ms=min(max(max_wait_ms, 0.0), max(left_ms - call_ms, 0.0)),
            hold_ms=left_ms,
            fingerprint=make_key(admitted.fingerprint),
            excluded=excluded,
        )

    def _await_decision(self, dispatcher: str, request: DispatchRequest) -> DispatchReply:
        """Return the final decision on a request; the request is withdrawn if none is received in time."""
        waiting = self._waiting[request.permit] = _Waiting(dispatcher)
        is_settled = False
        try:
            reply = self._request(dispatcher, request)
            if reply.verdict == Verdict.QUEUED.value:
                self._changed.set()
                timeout_ms = request.max_wait_ms + QUEUE_MARGIN_MS
                waiting.result.wait(timeout_ms / MS_PER_SECOND)
                unsettled = DispatchReply(request.permit, Verdict.UNDISPATCHED.value)
                reply = waiting.result.value if waiting.result.ready() else unsettled
            is_settled = reply.verdict != Verdict.UNDISPATCHED.value
            return reply
        finally:
            del self._waiting[request.permit]
            if not is_settled:  # Also if the caller left.
                self._withdraw(dispatcher, request.permit)

    def _request(self, dispatcher: str, request: DispatchRequest) -> DispatchReply:
        if dispatcher == self._fleet.name:
            return self._decide(request)
        address = self._list_addresses().get(dispatcher, "")
        try:
            reply: DispatchReply = self._network.request(address, request, REPLY_TIMEOUT_MS)
            return reply
        except PeerError as error:
            self._unresponsive_until_ms[dispatcher] = self._clock.now_ms() + NO_REPLY_PAUSE_MS
            log_event(
                Event.DISPATCHER_UNANSWERED, "warning", gateway=dispatcher, detail=error.detail
            )
            return DispatchReply(request.permit, Verdict.UNDISPATCHED.value)

    def _decide(self, request: DispatchRequest) -> DispatchReply:
        if not self._applies(request.service):
            return DispatchReply(request.permit, Verdict.UNDISPATCHED.value)
        self._services.add(request.service)  # The next check must not discard its group.
        decision, later = self.groups.decide(request)
        self._deliver(later)
        if decision.verdict is Verdict.QUEUED:
            self._changed.set()
        return _make_reply(decision)

    def _deliver(self, decisions: list[Decision]) -> None:
        """Pass on the decisions on requests that waited here."""
        if not decisions:
            return
        addresses = self._list_addresses()
        for decision in decisions:
            reply = _make_reply(decision)
            if decision.holder == self._fleet.name:
                self._apply_reply("", reply)
            elif decision.holder in addresses:
                self._network.send(addresses[decision.holder], reply)

    def _make_release(
        self, dispatcher: str, key: GroupKey, permit: str, server: str
    ) -> Callable[[], None]:
        """Return a function that frees a slot once, however often it is called."""
        assigned_ms = self._clock.now_ms()
        pending = [permit]

        def release() -> None:
            if not pending:
                return
            pace_percent = max(round(self._paces.find_pace(server) * PERCENT), 1)
            took_ms = self._clock.now_ms() - assigned_ms
            was_rejected = getattr(self._task, "rejected", "") == server
            self._task.rejected = ""
            message = DispatchRelease(*key, pending.pop(), took_ms, pace_percent, was_rejected)
            if dispatcher == self._fleet.name:
                self._apply_release("", message)
                return
            self._send(dispatcher, message)
            self._sent_releases.append((dispatcher, message))

        return release

    def _withdraw(self, dispatcher: str, permit: str) -> None:
        message = DispatchWithdraw(permit)
        if dispatcher == self._fleet.name:
            self._apply_withdraw("", message)
        else:
            self._send(dispatcher, message)

    def _send(self, name: str, message: Any) -> None:
        address = self._list_addresses().get(name)
        if address is not None:
            self._network.send(address, message)

    def _list_addresses(self) -> dict[str, str]:
        return {peer.name: peer.address for peer in self._fleet.list_peers()}

    def _apply_request(self, _address: str, request: DispatchRequest) -> DispatchReply:
        return self._decide(request)

    def _apply_reply(self, address: str, reply: DispatchReply) -> None:
        waiting = self._waiting.get(reply.permit)
        if waiting is not None and not waiting.result.ready():
            waiting.result.set(reply)
        elif waiting is None and reply.verdict == Verdict.ASSIGNED.value and address:
            self._network.send(address, DispatchWithdraw(reply.permit))

    def _apply_release(self, _address: str, message: DispatchRelease) -> None:
        self._deliver(self.groups.release(message))

    def _apply_withdraw(self, _address: str, message: DispatchWithdraw) -> None:
        self._deliver(self.groups.withdraw(message.permit))


def _make_reply(decision: Decision) -> DispatchReply:
    return DispatchReply(
        permit=decision.permit,
        verdict=decision.verdict.value,
        server=decision.server,
        retry_ms=decision.retry_ms,
        wait_ms=decision.wait_ms,
        allowed_ms=decision.allowed_ms,
        waited_ms=decision.waited_ms,
        is_within_part=decision.is_within_part,
        standing=decision.standing.name.lower(),
        free=decision.free,
    )


def _describe_inputs(reply: DispatchReply) -> str:
    """Return what was decided and the inputs of the decision, for the request's log line."""
    part = "within" if reply.is_within_part else "beyond"
    if reply.verdict == Verdict.ASSIGNED.value:
        return f"slot of {reply.server} after {reply.waited_ms:.0f} ms"
    if reply.verdict == Verdict.UNDISPATCHED.value:
        return "sent without a slot"
    return (
        f"refused after {reply.waited_ms:.0f} ms in the queue: a wait of {reply.wait_ms:.0f} ms was predicted, "
        f"{reply.allowed_ms:.0f} ms are allowed; the account is {part} its part, "
        f"the request is {reply.standing}"
    )
