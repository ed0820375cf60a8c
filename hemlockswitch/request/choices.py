"""Rules that pick one of the backend servers that could take a request."""

import random
from collections.abc import Sequence
from dataclasses import dataclass
from functools import singledispatch
from typing import Protocol

from hemlockswitch.core.identifiers import rank_rendezvous
from hemlockswitch.version.backend import BackendServer


@dataclass(frozen=True)
class Scored:
    """A candidate with its prediction.

    Parameters
    ==========

    server : the backend server.
    first_token_ms : predicted time to the first token.
    requests : estimate of all requests in progress there.
    uncached_tokens : prompt tokens that it would have to compute.
    reported_requests : requests in progress there as it last said itself.
    prompt_tokens : tokens of the whole prompt.
    seen_tokens : leading tokens of the prompt that this daemon sent anywhere before.
    ms_per_token : time to compute one prompt token there.
    slot_ms : time between two of its slots that become free.
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


class Wanted(Protocol):
    """What a rule needs to know of the request."""

    @property
    def target(self) -> str:
        """Name of the model or service."""

    @property
    def prefix_blocks(self) -> tuple[int, ...]:
        """Hashes of the prompt's leading blocks."""


class Choice:
    """Base of the rules; each holds its numbers."""


@dataclass(frozen=True)
class PredictedTime(Choice):
    """The earliest predicted first token; among near ones the cheaper, then the prefix's home.

    Parameters
    ==========

    margin_share : predictions within this share of the best count as equal,
    margin_ms : and so do those within this time.
    affinity_blocks : leading blocks that decide a prefix's home.
    recompute_weight : a token to compute costs this share of its time once more, for the work
        that it takes from others.
    home_trust : how surely the home of a prefix that was seen before has it in its cache, though
        this daemon sent it elsewhere; other daemons use the same home.
    most_over_mean : a server with more than this many times the mean number of requests is
        taken only when all others are far later, so that a popular prefix does not swamp it.
    """

    margin_share: float = 0.1
    margin_ms: float = 5.0
    affinity_blocks: int = 8
    recompute_weight: float = 0.5
    home_trust: float = 0.8
    most_over_mean: float = 1.5


@singledispatch
def pick(choice: Choice, scored: Sequence[Scored], wanted: Wanted, chance: random.Random) -> Scored:
    """Return the candidate that the rule `choice` takes.

    Parameters
    ==========

    choice : the rule.
    scored : at least one candidate.
    wanted : the request.
    chance : source of random numbers.
    """
    raise NotImplementedError(type(choice).__name__)


@pick.register
def _pick_predicted(
    choice: PredictedTime, scored: Sequence[Scored], wanted: Wanted, chance: random.Random
) -> Scored:
    bounded = drop_swamped(scored, choice.most_over_mean)
    home = find_home(scored, wanted, choice.affinity_blocks) if wanted.prefix_blocks else None
    costs = {one.server.name: weigh(choice, one, one is home) for one in bounded}
    best_ms = min(costs.values())
    latest_ms = best_ms * (1 + choice.margin_share) + choice.margin_ms
    near = [one for one in bounded if costs[one.server.name] <= latest_ms]
    cheapest = min(one.server.price_per_hour for one in near)
    cheap = [one for one in near if one.server.price_per_hour <= cheapest]
    if home is None:
        return min(cheap, key=lambda one: (one.requests, chance.random()))
    if home in cheap:
        return home
    return find_home(cheap, wanted, choice.affinity_blocks)


def weigh(choice: PredictedTime, one: Scored, is_home: bool) -> float:
    """Return the cost of taking a candidate, in milliseconds.

    Examples
    ========

    >>> server = BackendServer("llm-1", "marka-hall", "127.0.0.1:1", "assistant-llm")
    >>> one = Scored(server, 50, 0, 100, prompt_tokens=100, seen_tokens=100, ms_per_token=0.5)
    >>> choice = PredictedTime(recompute_weight=0, home_trust=0.8)
    >>> weigh(choice, one, is_home=False), weigh(choice, one, is_home=True)
    (50.0, 10.0)
    """
    uncached = float(one.uncached_tokens)
    if is_home:
        likely_cached = choice.home_trust * one.seen_tokens
        uncached = min(uncached, one.prompt_tokens - likely_cached)
    spared_ms = (one.uncached_tokens - uncached) * one.ms_per_token
    extra_ms = choice.recompute_weight * uncached * one.ms_per_token
    return one.first_token_ms - spared_ms + extra_ms


def drop_swamped(scored: Sequence[Scored], most_over_mean: float) -> list[Scored]:
    """Return the candidates whose requests are not far over the mean; never none.

    Examples
    ========

    >>> server = BackendServer("llm-1", "marka-hall", "127.0.0.1:1", "assistant-llm")
    >>> counts = [9, 1, 1]
    >>> kept = drop_swamped([Scored(server, 0, count, 0) for count in counts], 1.5)
    >>> [one.requests for one in kept]
    [1, 1]
    """
    mean = sum(one.requests for one in scored) / len(scored)
    most = most_over_mean * mean + 1
    return [one for one in scored if one.requests <= most]


def find_home(scored: Sequence[Scored], wanted: Wanted, affinity_blocks: int) -> Scored:
    """Return the candidate that every daemon prefers for the request's leading blocks."""
    by_name = {one.server.name: one for one in scored}
    leading = wanted.prefix_blocks[:affinity_blocks]
    key = f"{wanted.target}:{leading[-1] if leading else 0}"
    return by_name[rank_rendezvous(key, by_name)[0]]
