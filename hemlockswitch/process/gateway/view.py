"""The gateway's state as forwarding needs it; implements `request.sending.ForwardingView`."""

import random
from collections.abc import Callable, Sequence
from dataclasses import replace

from hemlockswitch.core.clock import Clock
from hemlockswitch.process.gateway.gateway_state import GatewayState
from hemlockswitch.process.gateway.readiness import Readiness
from hemlockswitch.process.gateway.rollout_attempts import RolloutTicket
from hemlockswitch.process.gateway.rollouts import SendProperties, draw_canary
from hemlockswitch.request.forward_admission import AdmittedRequest
from hemlockswitch.request.placement import (
    Placement,
    ServiceSpeed,
    choose_server,
    describe_work,
    select_least_loaded,
)
from hemlockswitch.request.sending import SendTicket
from hemlockswitch.version.backend import BackendServer
from hemlockswitch.version.serving_table import ServingTable

CACHED_SHARE = 0.6
"""Share of an engine's memory that is expected to cache prompt parts; running requests use the
remaining memory."""
PLAIN_CAPACITY_TOKENS = 0.0
LARGE_PROMPT_READ_MS = 40.0
"""A prompt that takes an engine at least this long to read is reported to the other gateways at once."""


class GatewayView:
    """Combines the configuration, the registry, the loads and the fitted service models.

    Parameters
    ==========

    state : the local state of the gateway.
    readiness : tells whether that state has been filled since the start.
    on_large_prompt : called when a prompt was sent that must be reported to the other gateways at
        once.
    """

    def __init__(
        self,
        state: GatewayState,
        readiness: Readiness,
        on_large_prompt: Callable[[], None],
        clock: Clock,
    ) -> None:
        self._tables = state.tables
        self._registry = state.registry
        self._loads = state.loads
        self._fleet = state.fleet
        self._reachability = state.reachability
        self._models = state.models
        self._rollouts = state.rollouts
        self._readiness = readiness
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
        begun_version: str = "",
    ) -> Placement | None:
        """Return the server for the next send attempt, or None when there is none.

        Parameters
        ==========

        is_careful : choose the server with the fewest requests in progress, because this request may
            crash it.
        begun_version : the version that has begun to answer the request; empty if none has.
        """
        ready = self._registry.list_ready(admitted.service)
        servers = [server for server in ready if server.incarnation not in excluded]
        servers = self._reachability.select_reachable(servers)
        is_first = not (excluded or is_careful or admitted.facts.last_event_id)
        properties = SendProperties(
            service=admitted.service,
            route=admitted.route.name,
            is_first=is_first,
            is_repeatable=admitted.route.is_repeatable,
            begun_version=begun_version,
            draws_canary=draw_canary(admitted.facts.request_id),
        )
        servers = self._rollouts.select(properties, servers)
        prompt = admitted.facts.prompt
        service = admitted.service
        speed = ServiceSpeed(self._models.get(service), self._models.get_call_ms(service))
        candidates = self._loads.build_candidates(
            servers,
            prompt,
            speed.engine.tokens_per_ms,
            self._reachability.find_distance_ms,
            None if is_careful else self._random,
        )
        if is_careful:
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
        ticket = self._loads.begin(
            server,
            admitted.facts.prompt,
            placement.uncached_tokens,
            self._find_capacity(admitted.service),
            lambda: self._update_model(admitted, placement, self._clock.now_ms() - began_ms),
        )
        trial = self._rollouts.begin_attempt(admitted.route.name, server, placement.expected_ms)
        return ticket if trial is None else RolloutTicket(ticket, trial)

    def _update_model(
        self, admitted: AdmittedRequest, placement: Placement, took_ms: float
    ) -> None:
        if self._rollouts.is_on_trial(placement.candidate.server):
            return  # The model describes the version in force, which the trial is compared with.
        prompt = admitted.facts.prompt
        if prompt is None:
            self._models.record_call(admitted.service, took_ms)
            return
        work = describe_work(prompt, placement.candidate)
        self._models.record_first_event(admitted.service, work, took_ms)

    def find_connect_timeout_ms(self) -> float:
        """Return the time-out for connecting to a server."""
        return self._reachability.find_connect_timeout_ms()

    def record_connected(self, server: BackendServer, took_ms: float) -> None:
        """Record that a new connection to a server was opened."""
        self._reachability.record_connected(server, took_ms)

    def record_unreachable(self, server: BackendServer, *, has_timed_out: bool) -> None:
        """Record that connecting failed; `has_timed_out` if the server did not answer the attempt at all."""
        self._reachability.record_unreachable(server, has_timed_out=has_timed_out)

    def record_answer(self, server: BackendServer) -> None:
        """Record that a server sent bytes of an answer."""
        self._reachability.record_answer(server)

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
