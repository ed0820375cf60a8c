"""The gateway's state as forwarding needs it; implements `request.forwarding_view.ForwardingView`."""

import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass, replace

from hemlockswitch.connection.process_spans import ProcessSpan
from hemlockswitch.connection.tunnels import TunnelConnection
from hemlockswitch.core.clock import Clock
from hemlockswitch.process.gateway.detours import Detours, NoDetourError, ServerUnreachableError
from hemlockswitch.process.gateway.engine_admission import EngineAdmission
from hemlockswitch.process.gateway.gateway_state import GatewayState
from hemlockswitch.process.gateway.readiness import Readiness
from hemlockswitch.process.gateway.rollout_attempts import RolloutTicket
from hemlockswitch.process.gateway.rollouts import SendProperties, draw_canary
from hemlockswitch.request.dispatch import Dispatched, Verdict
from hemlockswitch.request.forward_admission import AdmittedRequest
from hemlockswitch.request.forwarding_view import SendTicket
from hemlockswitch.request.overload import Refusal
from hemlockswitch.request.permits import Permit
from hemlockswitch.request.placement import (
    Placement,
    ServiceSpeed,
    choose_server,
    describe_work,
    select_least_loaded,
)
from hemlockswitch.version.backend import BackendServer
from hemlockswitch.version.serving_table import ServingTable

CACHED_SHARE = 0.6
"""Share of an engine's memory that is expected to cache prompt parts; running requests use the
remaining memory."""
MAX_PERMITS_REQUESTED = 3
"""Maximum number of limited servers for which a permit is requested for one attempt; each request may take a
round trip to another gateway."""
PLAIN_CAPACITY_TOKENS = 0.0
LARGE_PROMPT_READ_MS = 40.0
"""A prompt that takes an engine at least this long to read is reported to the other gateways at once."""


@dataclass(frozen=True)
class ServerChoice:
    """What the choice of a server for a send attempt depends on; see `GatewayView.place`."""

    admitted: AdmittedRequest
    excluded: Sequence[str]
    is_careful: bool = False
    begun_version: str | None = None


class GatewayView:
    """Combines the configuration, the registry, the loads and the fitted service models.

    Parameters
    ==========

    state : the local state of the gateway.
    readiness : tells whether that state has been filled since the start.
    detours : opens connections to servers through other gateways.
    on_large_prompt : called when a prompt was sent that must be reported to the other gateways at
        once.
    """

    def __init__(
        self,
        state: GatewayState,
        readiness: Readiness,
        detours: Detours,
        on_large_prompt: Callable[[], None],
        clock: Clock,
    ) -> None:
        self.has_crashed: Callable[[str], bool] = lambda incarnation: False
        self._tables = state.tables
        self._registry = state.registry
        self._loads = state.loads
        self._fleet = state.fleet
        self._reachability = state.reachability
        self._models = state.models
        self._paces = state.paces
        self._rollouts = state.rollouts
        self._streams = state.streams
        self._permits = state.permits
        self._dispatchers = state.dispatchers
        self._statements = state.statements
        self._rests = state.statements.rests
        self._engine_admission = EngineAdmission(
            state.managed, state.demands, state.bookings, clock, state.loads.record_requested
        )
        self._readiness = readiness
        self._detours = detours
        self._on_large_prompt = on_large_prompt
        self._clock = clock
        self._random = random.Random()

    def await_synced(self, timeout_ms: float) -> None:
        """Wait up to `timeout_ms` until the state that requests need has been filled."""
        self._readiness.await_synced(timeout_ms)

    def get_table(self) -> ServingTable | None:
        """Return the configuration in force, or None."""
        return self._tables.current

    def place(
        self,
        admitted: AdmittedRequest,
        excluded: Sequence[str],
        *,
        is_careful: bool = False,
        begun_version: str | None = None,
    ) -> Placement | None:
        """Return the server for the next send attempt, or None when there is none.

        Parameters
        ==========

        is_careful : choose the server with the fewest requests in progress, because this request may
            crash it.
        begun_version : the version that has begun the stream, which alone may continue it; None if none has.
        """
        choice = ServerChoice(admitted, excluded, is_careful, begun_version)
        servers = self._list_eligible(choice)
        for _ in range(MAX_PERMITS_REQUESTED):
            usable = self._select_usable(choice, servers)
            placement = self._choose(choice, usable)
            if placement is None or not self._needs_permit(placement.candidate.server):
                return placement
            permit = self._take_permit(placement.candidate.server, admitted)
            if permit is None:
                continue
            if self._may_send(placement.candidate.server):
                return replace(placement, permit=permit)
            permit.release()
        return self._choose(choice, [one for one in servers if not self._needs_permit(one)])

    def dispatch(self, admitted: AdmittedRequest, excluded: Sequence[str]) -> Dispatched | None:
        """Return the server that the dispatcher assigns, or its refusal; None unless slots are dispatched."""
        if not self._dispatchers.is_dispatched(admitted.service):
            return None
        choice = ServerChoice(admitted, excluded)
        servers = self._list_eligible(choice)
        likely = self._choose(choice, servers)
        if likely is None or any(self._needs_permit(server) for server in servers):
            return None
        outcome, permit, name = self._dispatchers.take(admitted, likely.candidate.server, servers)
        if permit is None:
            return outcome
        server = self._registry.find_live(name)
        placement = self._choose(choice, [server]) if server is not None else None
        if placement is None:
            permit.release()
            return replace(outcome, verdict=Verdict.UNDISPATCHED)
        return replace(outcome, placement=replace(placement, permit=permit))

    def find_begun_version(self, admitted: AdmittedRequest) -> str:
        """Return the version that began the stream that a request continues.

        Raises
        ======

        RequestError : it is not known, and servers of several versions may have begun it.
        """
        return self._streams.find(admitted)

    def confirm_begun_version(self, admitted: AdmittedRequest, version: str) -> str:
        """Return the version of a stream that began in this answer, once it is certain.

        Raises
        ======

        RequestError : it is not known, as another process may have served under the name of its server.
        """
        return self._streams.confirm(admitted, version)

    def may_continue_at(self, server: BackendServer, process: ProcessSpan) -> bool:
        """Return whether a stream that has begun may go on at a process, which has the version of the server's entry."""
        return self._streams.may_continue_at(server, process)

    def record_stream_begun(
        self, admitted: AdmittedRequest, server: BackendServer, process: ProcessSpan
    ) -> None:
        """Record a resumable stream before its first event is relayed."""
        self._streams.record_begun(admitted, server, process)

    def record_stream_continued(self, admitted: AdmittedRequest, version: str) -> None:
        """Record the version of a stream that its caller has taken up, before its next event is relayed."""
        self._streams.record_continued(admitted, version)

    def preview(self, admitted: AdmittedRequest, excluded: Sequence[str]) -> Placement | None:
        """Return the server that `place` would choose now, without requesting a permit for it."""
        choice = ServerChoice(admitted, excluded)
        return self._choose(choice, self._select_usable(choice, self._list_eligible(choice)))

    def is_permitted(self, placement: Placement) -> bool:
        """Return whether a request may be sent now.

        The server may have announced that it leaves, have asked for rest or become limited, or the permit may
        have expired, while a connection was opened.
        """
        server = placement.candidate.server
        if not self._registry.is_live(server) or not self._rests.may_send(server.incarnation):
            return False
        permit = placement.permit
        if permit is None:
            return not self._needs_permit(placement.candidate.server)
        return self._clock.now_ms() <= permit.expires_ms

    def find_permit_delay_ms(
        self, admitted: AdmittedRequest, begun_version: str | None
    ) -> float | None:
        """Return when a permit for a server of the service is expected; None if none was refused."""
        servers = self._list_ready(admitted.service, begun_version)
        return self._permits.find_retry_ms(servers, admitted.urgency)

    def find_slot_delay_ms(
        self, admitted: AdmittedRequest, begun_version: str | None
    ) -> float | None:
        """Return when a slot of a brittle server of the service is expected; None if no server is brittle."""
        servers = self._list_ready(admitted.service, begun_version)
        return self._permits.slots.find_retry_ms(servers, admitted.urgency)

    def find_rest_delay_ms(
        self, admitted: AdmittedRequest, begun_version: str | None
    ) -> float | None:
        """Return when the first server of the service may get requests again; None unless all rest."""
        return self._rests.find_delay_ms(self._list_ready(admitted.service, begun_version))

    def _list_ready(self, service: str, begun_version: str | None) -> list[BackendServer]:
        """Return the ready servers of a service, or of the version that alone may continue a stream."""
        servers = self._registry.list_ready(service)
        if begun_version is None:
            return servers
        return [server for server in servers if server.version == begun_version]

    def _needs_permit(self, server: BackendServer) -> bool:
        return self._permits.is_limited(server) or self._permits.slots.needs_permit(server)

    def _take_permit(self, server: BackendServer, admitted: AdmittedRequest) -> Permit | None:
        """Request what a server needs: a permit of its rate limit, of its slots, or both."""
        slot = None
        if self._permits.slots.needs_permit(server):
            left_ms = max(admitted.deadline_ms - self._clock.now_ms(), 0.0)
            slot = self._permits.slots.take(server, left_ms, admitted.urgency)
            if slot is None:
                return None
        if not self._permits.is_limited(server):
            return slot
        if slot is None:
            return self._permits.take(server, admitted.urgency)
        permit = None
        try:
            permit = self._permits.take(server, admitted.urgency)
        finally:  # Also if the caller leaves meanwhile.
            if permit is None:
                slot.release()
        return replace(permit, release=slot.release) if permit is not None else None

    def _select_usable(
        self, choice: ServerChoice, servers: list[BackendServer]
    ) -> list[BackendServer]:
        """Return the servers that need no permit, or for which one may be requested now."""
        admitted = choice.admitted
        is_repeatable = admitted.route.is_repeatable
        servers = self._permits.slots.select(servers, admitted.urgency)
        return self._permits.select(servers, admitted.urgency, is_repeatable=is_repeatable)

    def _may_send(self, server: BackendServer) -> bool:
        """Return whether a server may still get requests after the wait for its permit."""
        return self._registry.is_live(server) and not self._reachability.is_suspect(server)

    def _list_eligible(self, choice: ServerChoice) -> list[BackendServer]:
        """Return the servers that may get the request, whether they are limited or not."""
        admitted = choice.admitted
        ready = self._registry.list_ready(admitted.service)
        servers = [server for server in ready if server.incarnation not in choice.excluded]
        servers = self._reachability.select_reachable(self._rests.select(servers))
        if choice.is_careful:
            servers = self._select_uncrashed(servers)
        if choice.begun_version is None:
            servers = self._streams.select_stated(admitted, servers)
        is_first = not (choice.excluded or choice.is_careful or admitted.facts.last_event_id)
        properties = SendProperties(
            service=admitted.service,
            route=admitted.route.name,
            is_first=is_first,
            is_repeatable=admitted.route.is_repeatable,
            begun_version=choice.begun_version,
            draws_canary=draw_canary(admitted.facts.request_id),
        )
        return self._rollouts.select(properties, servers)

    def _select_uncrashed(self, servers: list[BackendServer]) -> list[BackendServer]:
        """Return the servers without a recorded crash; all if there are none.

        The entry of a crashed server has no requests in progress. The next process at its address would decline
        the request, which would use up its trial.
        """
        return [one for one in servers if not self.has_crashed(one.incarnation)] or servers

    def _choose(self, choice: ServerChoice, servers: list[BackendServer]) -> Placement | None:
        """Return the best of the servers, or None if there is none."""
        prompt = choice.admitted.facts.prompt
        service = choice.admitted.service
        speed = ServiceSpeed(self._models.get(service), self._models.get_call_ms(service))
        candidates = self._loads.build_candidates(
            servers,
            prompt,
            speed.engine.tokens_per_ms,
            self._reachability.find_distance_ms,
            None if choice.is_careful else self._random,
            self._paces.find_pace,
        )
        if choice.is_careful:
            candidates = select_least_loaded(candidates)
        placement = choose_server(prompt, candidates, speed)
        if placement is None:
            return None
        return replace(placement, list_age_ms=self._registry.measure_age_ms())

    def begin_attempt(self, admitted: AdmittedRequest, placement: Placement) -> SendTicket:
        """Count a send attempt, and update the service's model when its answer begins."""
        began_ms = self._clock.now_ms()
        engine = self._models.get(admitted.service)
        if engine.estimate_prefill_ms(placement.uncached_tokens) >= LARGE_PROMPT_READ_MS:
            self._on_large_prompt()
        server = placement.candidate.server
        self._rests.record_sent(server.incarnation)
        ticket = self._loads.begin(
            server,
            admitted.facts.prompt,
            placement.uncached_tokens,
            self._find_capacity(admitted.service),
            lambda: self._update_model(admitted, placement, self._clock.now_ms() - began_ms),
        )
        counted = self._paces.begin_attempt(server, placement.expected_ms, ticket)
        trial = self._rollouts.begin_attempt(admitted.route.name, server, placement.expected_ms)
        return counted if trial is None else RolloutTicket(counted, trial)

    def _update_model(
        self, admitted: AdmittedRequest, placement: Placement, took_ms: float
    ) -> None:
        if self._rollouts.is_on_trial(placement.candidate.server):
            return  # The model describes the version in force, which the trial is compared with.
        candidate = placement.candidate
        incarnation = candidate.server.incarnation
        usual_ms = max(placement.expected_ms / candidate.pace, 1.0)
        self._paces.record_answer(incarnation, took_ms / usual_ms)
        # The models describe servers at their usual pace.
        took_ms /= self._paces.find_pace(incarnation)
        prompt = admitted.facts.prompt
        if prompt is None:
            self._models.record_call(admitted.service, took_ms)
            return
        work = describe_work(prompt, candidate)
        self._models.record_first_event(admitted.service, work, took_ms)

    def is_managed(self, service: str) -> bool:
        """Return whether the room of a service is divided between accounts."""
        return self._engine_admission.is_managed(service)

    def find_refusal(self, admitted: AdmittedRequest, placement: Placement) -> Refusal | None:
        """Return why a new request to an engine of a managed service is refused, or None to admit it."""
        return self._engine_admission.find_refusal(admitted, placement)

    def find_connect_timeout_ms(self) -> float:
        """Return the time-out for connecting to a server."""
        return self._reachability.find_connect_timeout_ms()

    def record_connected(self, server: BackendServer, took_ms: float) -> None:
        """Record that a new connection to a server was opened."""
        self._reachability.record_connected(server, took_ms)

    def record_unreachable(self, server: BackendServer, *, has_timed_out: bool) -> None:
        """Record that connecting failed; `has_timed_out` if the server did not answer the attempt at all."""
        self._reachability.record_unreachable(server, has_timed_out=has_timed_out)

    def record_answer(self, server: BackendServer, *, is_direct: bool) -> None:
        """Record that a server sent bytes of an answer, directly or through another gateway."""
        if is_direct:
            self._reachability.record_answer(server)
        else:
            self._reachability.record_answer_through(server)

    def needs_detour(self, server: BackendServer) -> bool:
        """Return whether a connection to a server should lead through another gateway."""
        return self._reachability.needs_detour(server)

    def is_hopeless(self, server: BackendServer) -> bool:
        """Return whether a direct connection attempt to a server would only wait for its time-out."""
        return self._reachability.is_hopeless(server)

    def open_detour(self, server: BackendServer) -> TunnelConnection | None:
        """Return a connection to a server through another gateway; None if no gateway helps.

        Raises
        ======

        ExchangeError : another gateway cannot connect to the server either; nothing was sent.
        """
        try:
            return self._detours.open(server)
        except ServerUnreachableError:
            self._reachability.record_unreachable_for_others(server)
            raise
        except NoDetourError:
            return None

    def record_rate_limit(self, server: BackendServer, limit_per_s: float, sent_ms: float) -> None:
        """Record the limit in a server's answer to a request sent at `sent_ms`; infinite if it states none."""
        self._permits.record_answer(server, limit_per_s, sent_ms)

    def record_rejection_limit(
        self, server: BackendServer, rejections_per_s: float, sent_ms: float
    ) -> None:
        """Record after how many rejections a server falls over, as `record_rate_limit` does for its limit."""
        self._permits.slots.record_answer(server, rejections_per_s, sent_ms)

    def record_leaving(self, server: BackendServer, gateway: str) -> None:
        """Record that a server stated in an answer, received through `gateway`, that it leaves."""
        self._statements.record_leaving(server, gateway)

    def record_rest(self, server: BackendServer, rest_ms: float, gateway: str) -> None:
        """Record that a server wants no requests for `rest_ms`, by an answer received through `gateway`."""
        self._statements.record_rest(server, rest_ms, gateway)

    def record_answered(self, server: BackendServer, sent_ms: float, *, was_declined: bool) -> None:
        """Record that a server has answered a request sent at `sent_ms`, or declined it."""
        self._statements.record_answered(server, sent_ms, was_declined=was_declined)

    def record_pace(self, server: BackendServer, pace: float) -> None:
        """Record the pace that a server states in an answer."""
        self._paces.record(server, pace)

    def record_rejected(self, server: BackendServer) -> None:
        """Record that a server turned a request away."""
        self._permits.slots.record_rejection(server)
        self._dispatchers.record_rejection(server)

    def record_misdirected(self, server_name: str) -> None:
        """Exclude for a while a server whose address now belongs to another server."""
        self._registry.record_misdirected(server_name)

    def count_daemons(self) -> int | None:
        """Return how many daemons share the budgets; None until they have been listed."""
        return self._fleet.count_listed()

    def _find_capacity(self, service: str) -> float:
        table = self._tables.current
        settings = table.services.get(service) if table is not None else None
        if settings is None or settings.engine is None:
            return PLAIN_CAPACITY_TOKENS
        return settings.engine.kv_capacity_tokens * CACHED_SHARE
