"""Selection of a backend server for a forwarded request, as pure functions of the servers' state.

A model request waits until the engine has processed the prompts queued before it, and then the
uncached part of its own prompt. Both are estimated in tokens, summed over all daemons, and converted
to time by the latency model of the service's engines (`request.engine_model`).
Each shared prompt part has preferred servers in its service (`request.preferred_servers`); when the
first one is busy, the next one is used.
"""

import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from hemlockswitch.request.dialect import Prompt
from hemlockswitch.request.engine_model import PRIOR, EngineModel, EngineWork
from hemlockswitch.request.pace import USUAL
from hemlockswitch.request.permits import Permit
from hemlockswitch.request.preferred_servers import PREFERRED_COUNT
from hemlockswitch.version.backend import BackendServer

PREFERRED_HIT_SHARES = (0.95, 0.5, 0.1)
"""Expected cached fraction of a shared part on its first, second and third preferred server, as long
as this daemon has not received what its peers sent there."""
UNCACHED_PREFERRED_SHARE = 0.3
"""Fraction of `PREFERRED_HIT_SHARES` credited to a preferred server while no server has cached the shared
part: daemons that receive the part simultaneously then choose one server before they exchange reports."""
READ_COST_FACTOR = 3.0
"""Weight of an uncached prompt token relative to a queued one: processing it delays all later requests
on that engine and takes memory. With 0, busy engines would recompute every prompt."""
PREFERRED_CONSIDERED = 2
SAMPLED_SERVERS = 4
"""Number of randomly sampled servers to compare that are neither preferred for the prompt nor recorded
as caching it. If every gateway compared all servers, each would choose the one that appears idle before
it had received the load that its peers sent there."""
PRIOR_CALL_MS = 50.0
"""Assumed duration of a plain service's call before one has been observed."""
FAILURE_PENALTY_MS = 3_000.0
"""Cost of a server with a failure rate of 1, added in proportion to the rate. It equals the longest
wait that callers accept."""


@dataclass(frozen=True)
class Candidate:
    """A backend server with the estimate of its load from all daemons.

    Parameters
    ==========

    running : requests in progress.
    waiting_tokens : prompt tokens of requests that have not produced their first event.
    cached_tokens : length of the prefix of this request's prompt that is recorded as cached there;
        None while this daemon may not have received the records.
    preference_rank : rank of the server among the preferred ones of the prompt's shared part; 0 is the
        most preferred.
    failure_rate : fraction of recent attempts that failed, 0 to 1.
    distance_ms : round-trip time in excess of that to a server next to this daemon.
    pace : factor by which work takes longer than usual there; see `request.pace`.
    """

    server: BackendServer
    running: int = 0
    waiting_tokens: float = 0.0
    cached_tokens: float | None = None
    preference_rank: int = 0
    failure_rate: float = 0.0
    distance_ms: float = 0.0
    pace: float = USUAL


@dataclass(frozen=True)
class Placement:
    """The chosen server and its predicted latency.

    Parameters
    ==========

    expected_ms : predicted time to the first event.
    queue_ms : the portion of it spent on prompts queued before this one.
    list_age_ms : time since the list of servers was last confirmed to be complete.
    permit : the permit for the request if the server is limited.
    """

    candidate: Candidate
    expected_ms: float
    uncached_tokens: float
    queue_ms: float = 0.0
    list_age_ms: float = 0.0
    permit: Permit | None = None

    def release_permit(self) -> None:
        """Return the permit; a further call has no effect."""
        if self.permit is not None:
            self.permit.release()


@dataclass(frozen=True)
class ServiceSpeed:
    """Observed speed of the servers of a service.

    Parameters
    ==========

    engine : latency model of its engines.
    call_ms : typical duration of a call, for a plain service.
    """

    engine: EngineModel = PRIOR
    call_ms: float = PRIOR_CALL_MS


def estimate_uncached_tokens(prompt: Prompt, candidate: Candidate) -> float:
    """Return the expected number of prompt tokens that the server must process."""
    if candidate.cached_tokens is not None:
        return max(prompt.input_tokens - candidate.cached_tokens, 0.0)
    return max(prompt.input_tokens - _count_preferred_tokens(prompt, candidate), 0.0)


def _count_preferred_tokens(prompt: Prompt, candidate: Candidate) -> float:
    """Return the number of shared tokens expected in the cache of a preferred server."""
    shared = sum(part.tokens for part in prompt.shared_parts)
    rank = candidate.preference_rank
    return shared * PREFERRED_HIT_SHARES[rank] if rank < PREFERRED_COUNT else 0.0


def describe_work(prompt: Prompt, candidate: Candidate) -> EngineWork:
    """Return the work that a prompt causes on a candidate's engine."""
    return EngineWork(
        waiting_tokens=candidate.waiting_tokens,
        uncached_tokens=estimate_uncached_tokens(prompt, candidate),
        input_tokens=prompt.input_tokens,
        running=candidate.running,
    )


def predict_first_event_ms(
    prompt: Prompt, candidate: Candidate, engine: EngineModel = PRIOR
) -> float:
    """Return the predicted time to the first event on a server, ignoring failures."""
    return engine.predict_ms(describe_work(prompt, candidate)) * candidate.pace


def predict_call_ms(candidate: Candidate, call_ms: float) -> float:
    """Return the predicted duration of a plain service's call on a server, ignoring failures."""
    slots = max(candidate.server.slots, 1)
    return call_ms * candidate.pace * (1 + max(candidate.running + 1 - slots, 0) / slots)


def select_least_loaded(candidates: Sequence[Candidate]) -> list[Candidate]:
    """Return the candidates with the fewest requests in progress.

    Examples
    ========

    >>> server = BackendServer("a", "z1", "127.0.0.1:1", "s")
    >>> [one.running for one in select_least_loaded([Candidate(server, 4), Candidate(server, 1)])]
    [1]
    """
    fewest = min((candidate.running for candidate in candidates), default=0)
    return [candidate for candidate in candidates if candidate.running == fewest]


def sample_servers(
    servers: Sequence[BackendServer],
    is_likely: Callable[[BackendServer], bool],
    rng: random.Random,
) -> list[BackendServer]:
    """Return the servers to compare for a prompt: all likely ones and a random sample of the remaining.

    Parameters
    ==========

    is_likely : returns whether a server caches, or is preferred for, the prompt's shared parts.
    rng : random number generator.
    """
    likely: list[BackendServer] = []
    remaining: list[BackendServer] = []
    for server in servers:
        (likely if is_likely(server) else remaining).append(server)
    return likely + rng.sample(remaining, min(SAMPLED_SERVERS, len(remaining)))


def choose_server(
    prompt: Prompt | None,
    candidates: Sequence[Candidate],
    speed: ServiceSpeed = ServiceSpeed(),
) -> Placement | None:
    """Return the server with the lowest expected cost, or None when there is none.

    Parameters
    ==========

    prompt : None for plain services.
    speed : observed speed of the service's servers.

    Examples
    ========

    >>> near = BackendServer("a", "z1", "127.0.0.1:1", "s", slots=6)
    >>> far = BackendServer("b", "z2", "127.0.0.1:2", "s", slots=6)
    >>> choose_server(None, [Candidate(far, distance_ms=3), Candidate(near)]).candidate.server.name
    'a'
    """
    placements = [_evaluate(prompt, candidate, speed) for candidate in candidates]
    return min(placements, key=lambda one: _cost_key(prompt, one, speed.engine), default=None)


def _evaluate(prompt: Prompt | None, candidate: Candidate, speed: ServiceSpeed) -> Placement:
    if prompt is None:
        return Placement(candidate, predict_call_ms(candidate, speed.call_ms), 0.0)
    work = describe_work(prompt, candidate)
    return Placement(
        candidate,
        expected_ms=speed.engine.predict_ms(work) * candidate.pace,
        uncached_tokens=work.uncached_tokens,
        queue_ms=speed.engine.estimate_prefill_ms(work.waiting_tokens) * candidate.pace,
    )


def _cost_key(
    prompt: Prompt | None, placement: Placement, engine: EngineModel
) -> tuple[float, int, str]:
    candidate = placement.candidate
    cost_ms = placement.expected_ms + candidate.failure_rate * FAILURE_PENALTY_MS
    read_ms = engine.estimate_prefill_ms(placement.uncached_tokens) * candidate.pace
    cost_ms += READ_COST_FACTOR * read_ms
    if prompt is not None and candidate.cached_tokens == 0:
        preferred_tokens = UNCACHED_PREFERRED_SHARE * _count_preferred_tokens(prompt, candidate)
        cost_ms -= READ_COST_FACTOR * engine.estimate_prefill_ms(preferred_tokens)
    return cost_ms + candidate.distance_ms, candidate.running, candidate.server.name
