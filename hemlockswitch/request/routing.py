"""Selection of a backend server for a request by predicted time to the first token."""

import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from typing import Protocol

from hemlockswitch.core.clock import MS_PER_SECOND, Clock, SystemClock
from hemlockswitch.core.errors import ErrorKind, RequestError
from hemlockswitch.request.choices import Choice, PredictedTime, ScoredCandidate, pick
from hemlockswitch.request.prefixes import PrefixRecord
from hemlockswitch.request.retry_times import RetryTimes
from hemlockswitch.version.backend import BackendServer

DEFAULT_CHOICE: Choice = PredictedTime()
MAX_DELAY_FACTORS = (6.0, 4.0, 2.0)
OVERFLOW_SHARE = 0.5
RETRY_SPREAD = 0.1


@dataclass(frozen=True)
class RequestNeeds:
    """Properties of a request that the choice of a backend server depends on.

    Parameters
    ==========

    target : name of the model or service.
    prefix_blocks : hashes of the prompt's leading blocks; empty for a plain service.
    prompt_tokens : length of the prompt, including tokens that a server may have cached.
    max_tokens : maximum length of the answer.
    priority : 0 is the most urgent.
    exclude : names of servers that have already been tried.
    deadline_ms : milliseconds left until the caller's deadline; None if it has none.
    """

    target: str
    prefix_blocks: tuple[int, ...] = ()
    prompt_tokens: int = 0
    max_tokens: int = 0
    priority: int = 1
    exclude: frozenset[str] = field(default_factory=frozenset)
    deadline_ms: float | None = None


@dataclass(frozen=True)
class TargetTraits:
    """Properties of a model or service in the active configuration.

    Parameters
    ==========

    first_token_ms : target time to the first token, or to the answer of a service.
    slots : concurrent requests of one copy, used if the copy does not report a number.
    """

    first_token_ms: float = 830.0
    slots: int = 16


@dataclass(frozen=True)
class Candidate:
    """A backend server that accepts new requests, with the estimate of its load.

    Parameters
    ==========

    server : the backend server.
    own_requests : requests of this daemon in progress there.
    other_requests : estimated requests of all other daemons in progress there.
    reported_requests : requests in progress as last reported by the server.
    prefill_tokens : estimated prompt tokens that it has not processed yet.
    slots : number of concurrent requests; 0 if the server has not reported it.
    prefill_tokens_per_s : prompt tokens processed per second.
    service_ms : mean time that a request occupies a slot.
    distance_ms : one-way network latency.
    """

    server: BackendServer
    own_requests: int = 0
    other_requests: float = 0.0
    reported_requests: int = 0
    prefill_tokens: float = 0.0
    slots: int = 0
    prefill_tokens_per_s: float = 4_000.0
    service_ms: float = 1_000.0
    distance_ms: float = 0.0


class CandidateSource(Protocol):
    """Source of the backend servers and their load; implemented by the process's directory."""

    def list_candidates(self, target: str) -> Sequence[Candidate]:
        """Return the servers for `target` that accept new requests."""

    def count_waiting(self) -> int:
        """Return the number of this daemon's requests without a first token."""

    def record_overflow(self) -> None:
        """Record that the servers in use are overloaded."""


class Router:
    """Chooses the backend server with the earliest predicted first token.

    Parameters
    ==========

    source : provides the backend servers and their load.
    find_traits : returns the configured properties of a model or service.
    queue_length : maximum number of this daemon's requests that wait for a first token.
    choice : the rule that picks one of the scored candidates.
    await_cluster_state : called before each choice; if the cluster state is stale, waits for a bounded
        time until it is up to date.
    rng : random number generator.
    clock : clock from which retry times are computed.
    """

    def __init__(
        self,
        source: CandidateSource,
        find_traits: Callable[[str], TargetTraits] = lambda target: TargetTraits(),
        *,
        queue_length: int = 256,
        choice: Choice | None = None,
        await_cluster_state: Callable[[], None] = lambda: None,
        rng: random.Random | None = None,
        clock: Clock | None = None,
    ) -> None:
        self._source = source
        self._find_traits = find_traits
        self.queue_length = queue_length
        self._choice = choice or DEFAULT_CHOICE
        self._await_cluster_state = await_cluster_state
        self._rng = rng or random.Random()
        self._retry_times = RetryTimes(clock or SystemClock())
        self.memory = PrefixRecord()

    def choose(self, needs: RequestNeeds) -> BackendServer:
        """Return the server for `needs`.

        Raises
        ======

        RequestError : `NO_BACKEND` if no server accepts it; `OVERLOADED`, with a retry time, if every
            server would start it too late. Nothing has been sent.
        """
        self._await_cluster_state()
        traits = self._find_traits(needs.target)
        scored = self._score_all(needs, traits)
        best_ms = min(one.first_token_ms for one in scored)
        if best_ms > traits.first_token_ms * OVERFLOW_SHARE:
            self._source.record_overflow()
        self._refuse_late(needs, scored, traits)
        return pick(self._choice, scored, needs, self._rng).server

    def count_uncached(self, server_name: str, needs: RequestNeeds) -> int:
        """Return the estimated number of prompt tokens that the server would have to process."""
        cached = self.memory.count_cached(server_name, needs.prefix_blocks)
        return max(needs.prompt_tokens - cached, 0)

    def record_dispatch(self, server_name: str, needs: RequestNeeds) -> int:
        """Record that the request is sent to the server; return its estimated uncached tokens."""
        uncached = self.count_uncached(server_name, needs)
        self.memory.record(server_name, needs.prefix_blocks)
        return uncached

    def _score_all(self, needs: RequestNeeds, traits: TargetTraits) -> list[ScoredCandidate]:
        candidates = self._source.list_candidates(needs.target)
        cached = self.memory.count_all(needs.prefix_blocks)
        scored = [
            self._score(candidate, needs, traits, cached)
            for candidate in candidates
            if candidate.server.name not in needs.exclude
        ]
        if not scored:
            raise RequestError(ErrorKind.NO_BACKEND, f"no backend server for {needs.target}")
        return scored

    @staticmethod
    def _score(
        candidate: Candidate, needs: RequestNeeds, traits: TargetTraits, cached: dict[str, int]
    ) -> ScoredCandidate:
        uncached = max(needs.prompt_tokens - cached.get(candidate.server.name, 0), 0)
        return ScoredCandidate(
            server=candidate.server,
            first_token_ms=predict_first_token_ms(candidate, uncached, traits.slots),
            requests=candidate.own_requests + candidate.other_requests,
            reported_requests=candidate.reported_requests,
            seen_tokens=max(cached.values(), default=0),
            ms_per_token=MS_PER_SECOND / candidate.prefill_tokens_per_s,
            prompt_tokens=needs.prompt_tokens,
            slot_ms=max(candidate.service_ms / (candidate.slots or traits.slots), 1.0),
            uncached_tokens=uncached,
        )

    def _refuse_late(
        self, needs: RequestNeeds, scored: Sequence[ScoredCandidate], traits: TargetTraits
    ) -> None:
        """Refuse a request that would start too late, with the time until the queue has shrunk."""
        best_ms = min(one.first_token_ms for one in scored)
        step = min(max(needs.priority, 0), len(MAX_DELAY_FACTORS) - 1)
        allowed_ms = traits.first_token_ms * MAX_DELAY_FACTORS[step]
        if needs.deadline_ms is not None:
            allowed_ms = min(allowed_ms, needs.deadline_ms)
        full = self._source.count_waiting() >= self.queue_length
        if best_ms <= allowed_ms and not full:
            return
        wait_ms = max(best_ms - allowed_ms, best_ms / 2 if full else 0, 1)
        slot_ms = 1 / sum(1 / one.slot_ms for one in scored)
        assigned_ms = self._retry_times.assign(needs.target, wait_ms, slot_ms)
        spread = 1 + RETRY_SPREAD * self._rng.random()
        raise RequestError(
            ErrorKind.OVERLOADED,
            f"every backend server for {needs.target} would start the request too late",
            retry_after_ms=int(assigned_ms * spread) + 1,
        )


def predict_first_token_ms(candidate: Candidate, uncached_tokens: int, slots: int) -> float:
    """Return the predicted time to the first token of a request sent to `candidate` now.

    Explanation
    ===========

    If all slots are occupied, one becomes free every ``service_ms / slots``, and the request waits
    behind those already queued. Its prompt is then processed after the prompts in progress. The
    round-trip time is added.

    Parameters
    ==========

    candidate : the server and its load.
    uncached_tokens : prompt tokens of the request that are not in the server's cache.
    slots : slots to assume if the server has not reported them.

    Examples
    ========

    >>> server = BackendServer("llm-1", "marka-hall", "127.0.0.1:1", "assistant-llm")
    >>> predict_first_token_ms(Candidate(server, prefill_tokens=400), 400, 16)
    200.0
    >>> predict_first_token_ms(Candidate(server, own_requests=19, slots=16), 0, 16)
    250.0
    """
    slots = candidate.slots or slots
    ahead = candidate.own_requests + candidate.other_requests
    behind = max(ahead + 1 - slots, 0)
    queue_ms = behind * candidate.service_ms / slots
    prefill_tokens = uncached_tokens + candidate.prefill_tokens
    prefill_ms = prefill_tokens * MS_PER_SECOND / candidate.prefill_tokens_per_s
    return queue_ms + prefill_ms + 2 * candidate.distance_ms
