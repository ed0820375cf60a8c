"""Rules that pick a backend server from the scored candidates for a request."""

import random
from collections.abc import Sequence
from dataclasses import dataclass
from functools import singledispatch
from typing import Protocol

from hemlockswitch.core.identifiers import rank_rendezvous
from hemlockswitch.version.backend import BackendServer


@dataclass(frozen=True)
class ScoredCandidate:
    """A candidate with its predicted latency.

    Parameters
    ==========

    server : the backend server.
    first_token_ms : predicted time to the first token.
    requests : estimated number of all requests in progress there.
    uncached_tokens : prompt tokens that it would have to process.
    reported_requests : requests in progress as last reported by the server.
    prompt_tokens : length of the complete prompt.
    seen_tokens : length of the prompt's prefix that this daemon has sent to any server before.
    ms_per_token : time in which the server processes one prompt token.
    slot_ms : mean interval at which one of its slots becomes free.
    """

    server: BackendServer
    first_token_ms: float
    requests: float
    uncached_tokens: int
    reported_requests: int = 0
    prompt_tokens: int = 0
    seen_tokens: int = 0
    ms_per_token: float = 0.0
    slot_ms: float = 1.0


class RoutedRequest(Protocol):
    """The properties of a request that the rules use."""

    @property
    def target(self) -> str:
        """Name of the model or service."""

    @property
    def prefix_blocks(self) -> tuple[int, ...]:
        """Hashes of the prompt's leading blocks."""


class Choice:
    """Base class of the rules; a subclass stores the parameters of its rule."""


@dataclass(frozen=True)
class PredictedTime(Choice):
    """Picks the earliest predicted first token; ties go to the cheaper, then the preferred server.

    Parameters
    ==========

    margin_share : relative margin within which a prediction counts as equal to the best one.
    margin_ms : absolute margin, added to the relative one.
    affinity_blocks : number of leading prompt blocks that determine the preferred server.
    recompute_weight : fraction of the time to process an uncached token that is added to its cost,
        since it delays other requests.
    preferred_hit_probability : probability that the preferred server caches a prefix that this daemon
        has sent before, if only to another server: all daemons prefer the same server.
    max_over_mean : a server with more than this multiple of the mean number of requests (plus one) is
        not picked, which prevents a popular prefix from overloading its preferred server.
    """

    margin_share: float = 0.1
    margin_ms: float = 5.0
    affinity_blocks: int = 8
    recompute_weight: float = 0.5
    preferred_hit_probability: float = 0.8
    max_over_mean: float = 1.5


@singledispatch
def pick(
    choice: Choice, scored: Sequence[ScoredCandidate], request: RoutedRequest, rng: random.Random
) -> ScoredCandidate:
    """Return the candidate that the rule `choice` picks.

    Parameters
    ==========

    choice : the rule.
    scored : at least one candidate.
    request : the request.
    rng : random number generator.
    """
    raise NotImplementedError(type(choice).__name__)


@pick.register
def _pick_predicted(
    choice: PredictedTime,
    scored: Sequence[ScoredCandidate],
    request: RoutedRequest,
    rng: random.Random,
) -> ScoredCandidate:
    bounded = drop_overloaded(scored, choice.max_over_mean)
    preferred = (
        find_preferred(scored, request, choice.affinity_blocks) if request.prefix_blocks else None
    )
    costs = {one.server.name: compute_cost(choice, one, one is preferred) for one in bounded}
    best_ms = min(costs.values())
    latest_ms = best_ms * (1 + choice.margin_share) + choice.margin_ms
    near = [one for one in bounded if costs[one.server.name] <= latest_ms]
    cheapest = min(one.server.price_per_hour for one in near)
    cheap = [one for one in near if one.server.price_per_hour <= cheapest]
    if preferred is None:
        return min(cheap, key=lambda one: (one.requests, rng.random()))
    if preferred in cheap:
        return preferred
    return find_preferred(cheap, request, choice.affinity_blocks)


def compute_cost(choice: PredictedTime, one: ScoredCandidate, is_preferred: bool) -> float:
    """Return the cost of picking a candidate, in milliseconds.

    Examples
    ========

    >>> server = BackendServer("llm-1", "marka-hall", "127.0.0.1:1", "assistant-llm")
    >>> one = ScoredCandidate(server, 50, 0, 100, prompt_tokens=100, seen_tokens=100, ms_per_token=0.5)
    >>> choice = PredictedTime(recompute_weight=0, preferred_hit_probability=0.8)
    >>> compute_cost(choice, one, is_preferred=False), compute_cost(choice, one, is_preferred=True)
    (50.0, 10.0)
    """
    uncached = float(one.uncached_tokens)
    if is_preferred:
        likely_cached = choice.preferred_hit_probability * one.seen_tokens
        uncached = min(uncached, one.prompt_tokens - likely_cached)
    spared_ms = (one.uncached_tokens - uncached) * one.ms_per_token
    extra_ms = choice.recompute_weight * uncached * one.ms_per_token
    return one.first_token_ms - spared_ms + extra_ms


def drop_overloaded(
    scored: Sequence[ScoredCandidate], max_over_mean: float
) -> list[ScoredCandidate]:
    """Return the candidates whose request count is not far above the mean; always at least one.

    Examples
    ========

    >>> server = BackendServer("llm-1", "marka-hall", "127.0.0.1:1", "assistant-llm")
    >>> counts = [9, 1, 1]
    >>> kept = drop_overloaded([ScoredCandidate(server, 0, count, 0) for count in counts], 1.5)
    >>> [one.requests for one in kept]
    [1, 1]
    """
    mean = sum(one.requests for one in scored) / len(scored)
    most = max_over_mean * mean + 1
    return [one for one in scored if one.requests <= most]


def find_preferred(
    scored: Sequence[ScoredCandidate], request: RoutedRequest, affinity_blocks: int
) -> ScoredCandidate:
    """Return the preferred server for the request's leading blocks; all daemons agree on it."""
    by_name = {one.server.name: one for one in scored}
    leading = request.prefix_blocks[:affinity_blocks]
    key = f"{request.target}:{leading[-1] if leading else 0}"
    return by_name[rank_rendezvous(key, by_name)[0]]
