"""Where a forwarded request goes: pure functions of what is known of the backend servers.

A model request waits for the prompts before it, then for the part of its own prompt that is not
cached. Both are estimated in tokens, over all daemons, and turned into time by the model of the
service's engines (`request.engine_model`).
A shared prompt part has homes among the servers of a service (`request.homes`); a busy home gives way
to the next.
"""

import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from hemlockswitch.request.dialect import Prompt
from hemlockswitch.request.engine_model import PRIOR, EngineModel, EngineWork
from hemlockswitch.request.homes import HOMES
from hemlockswitch.version.backend import BackendServer

HOME_HIT_SHARES = (0.95, 0.5, 0.1)
"""How much of a shared part to expect in the cache of its first, second and third home while this
daemon has not heard yet what others sent there."""
HOME_PREFERENCE = 0.3
"""Part of the same that a home counts for while no server has the shared part: daemons that get it
at the same moment then send it to one server, before they hear of one another."""
READ_COST_FACTOR = 3.0
"""How much a token that must be read weighs beside a token that waits: reading it delays all that
come after it on that engine, and takes memory. With 0, busy engines read everything anew."""
HOMES_CONSIDERED = 2
OTHERS_CONSIDERED = 4
"""How many servers to compare that are no home of the prompt and are not known to have it in their
cache, drawn at random. If all gateways compared all servers, the one that looks idle would get work
from each of them before any had heard of the others'."""
PRIOR_CALL_MS = 50.0
"""How long a plain service's call is assumed to take before one was seen."""
FAILURE_PENALTY_MS = 3_000.0
"""Added in proportion to the recent failures of a server; a sure failure weighs as much as the
longest wait that callers accept."""


@dataclass(frozen=True)
class Candidate:
    """A backend server with what is known of its load, over all daemons.

    Parameters
    ==========

    running : requests in progress.
    waiting_tokens : prompt tokens of requests whose first event has not come.
    cached_tokens : tokens at the beginning of this request's prompt that are known to be cached
        there; None while this daemon may not have heard of them.
    home_rank : place of the server among the homes of the prompt's shared part; 0 is the first.
    failure_rate : part of the recent sends that failed, 0 to 1.
    distance_ms : what the way there and back takes longer than to a server beside this daemon.
    """

    server: BackendServer
    running: int = 0
    waiting_tokens: float = 0.0
    cached_tokens: float | None = None
    home_rank: int = 0
    failure_rate: float = 0.0
    distance_ms: float = 0.0


@dataclass(frozen=True)
class Placement:
    """The chosen server and what was expected of it.

    Parameters
    ==========

    expected_ms : the time to the first event.
    queue_ms : the part of it in which prompts before this one are read.
    list_age_ms : how long ago the list of servers was known to be complete.
    """

    candidate: Candidate
    expected_ms: float
    uncached_tokens: float
    queue_ms: float = 0.0
    list_age_ms: float = 0.0


@dataclass(frozen=True)
class ServiceSpeed:
    """How fast the servers of a service are, as far as was observed.

    Parameters
    ==========

    engine : the model of its engines.
    call_ms : the usual time of a call, for a plain service.
    """

    engine: EngineModel = PRIOR
    call_ms: float = PRIOR_CALL_MS


def estimate_uncached_tokens(prompt: Prompt, candidate: Candidate) -> float:
    """Return how much of a prompt the server must read."""
    if candidate.cached_tokens is not None:
        return max(prompt.input_tokens - candidate.cached_tokens, 0.0)
    return max(prompt.input_tokens - _count_home_tokens(prompt, candidate), 0.0)


def _count_home_tokens(prompt: Prompt, candidate: Candidate) -> float:
    """Return the shared tokens to expect on the server for being one of their homes."""
    shared = sum(part.tokens for part in prompt.shared_parts)
    rank = candidate.home_rank
    return shared * HOME_HIT_SHARES[rank] if rank < HOMES else 0.0


def describe_work(prompt: Prompt, candidate: Candidate) -> EngineWork:
    """Return what a prompt asks of an engine."""
    return EngineWork(
        waiting_tokens=candidate.waiting_tokens,
        uncached_tokens=estimate_uncached_tokens(prompt, candidate),
        input_tokens=prompt.input_tokens,
        running=candidate.running,
    )


def predict_first_event_ms(
    prompt: Prompt, candidate: Candidate, engine: EngineModel = PRIOR
) -> float:
    """Return the expected time to the first event on a server, without failures."""
    return engine.predict_ms(describe_work(prompt, candidate))


def predict_call_ms(candidate: Candidate, call_ms: float) -> float:
    """Return the expected time of a plain service's call on a server, without failures."""
    slots = max(candidate.server.slots, 1)
    return call_ms * (1 + max(candidate.running + 1 - slots, 0) / slots)


def keep_least_running(candidates: Sequence[Candidate]) -> list[Candidate]:
    """Return the servers on which least is in progress.

    Examples
    ========

    >>> server = BackendServer("a", "z1", "127.0.0.1:1", "s")
    >>> [one.running for one in keep_least_running([Candidate(server, 4), Candidate(server, 1)])]
    [1]
    """
    least = min((candidate.running for candidate in candidates), default=0)
    return [candidate for candidate in candidates if candidate.running == least]


def draw_considered(
    servers: Sequence[BackendServer],
    is_likely: Callable[[BackendServer], bool],
    chance: random.Random,
) -> list[BackendServer]:
    """Return the servers to compare for a prompt: the likely ones, and a few others.

    Parameters
    ==========

    is_likely : returns whether a server has or should have the prompt's shared parts.
    chance : source of random numbers.
    """
    likely: list[BackendServer] = []
    others: list[BackendServer] = []
    for server in servers:
        (likely if is_likely(server) else others).append(server)
    return likely + chance.sample(others, min(OTHERS_CONSIDERED, len(others)))


def choose_server(
    prompt: Prompt | None,
    candidates: Sequence[Candidate],
    speed: ServiceSpeed = ServiceSpeed(),
) -> Placement | None:
    """Return the server with the lowest expected cost, or None when there is none.

    Parameters
    ==========

    prompt : None for plain services.
    speed : how fast the service's servers are.

    Examples
    ========

    >>> near = BackendServer("a", "z1", "127.0.0.1:1", "s", slots=6)
    >>> far = BackendServer("b", "z2", "127.0.0.1:2", "s", slots=6)
    >>> choose_server(None, [Candidate(far, distance_ms=3), Candidate(near)]).candidate.server.name
    'a'
    """
    placements = [_evaluate(prompt, candidate, speed) for candidate in candidates]
    return min(placements, key=lambda one: _weigh(prompt, one, speed.engine), default=None)


def _evaluate(prompt: Prompt | None, candidate: Candidate, speed: ServiceSpeed) -> Placement:
    if prompt is None:
        return Placement(candidate, predict_call_ms(candidate, speed.call_ms), 0.0)
    work = describe_work(prompt, candidate)
    return Placement(
        candidate,
        expected_ms=speed.engine.predict_ms(work),
        uncached_tokens=work.uncached_tokens,
        queue_ms=speed.engine.estimate_reading_ms(work.waiting_tokens),
    )


def _weigh(
    prompt: Prompt | None, placement: Placement, engine: EngineModel
) -> tuple[float, int, str]:
    candidate = placement.candidate
    cost_ms = placement.expected_ms + candidate.failure_rate * FAILURE_PENALTY_MS
    cost_ms += READ_COST_FACTOR * engine.estimate_reading_ms(placement.uncached_tokens)
    if prompt is not None and candidate.cached_tokens == 0:
        preferred_tokens = HOME_PREFERENCE * _count_home_tokens(prompt, candidate)
        cost_ms -= READ_COST_FACTOR * engine.estimate_reading_ms(preferred_tokens)
    return cost_ms + candidate.distance_ms, candidate.running, candidate.server.name
