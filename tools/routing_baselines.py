"""The rules of choice that the router's own is measured against."""

import random
from collections.abc import Sequence
from dataclasses import dataclass

from hemlockswitch.request.choices import (
    Choice,
    PredictedTime,
    RoutedRequest,
    ScoredCandidate,
    find_preferred,
    pick,
)


@dataclass(frozen=True)
class RandomChoice(Choice):
    """Any server."""


@dataclass(frozen=True)
class LeastReported(Choice):
    """The server that last reported the fewest requests."""


@dataclass(frozen=True)
class TwoChoices(Choice):
    """The less busy of two servers drawn at random, by the same estimate as the router's."""


@dataclass(frozen=True)
class AffinityOnly(Choice):
    """The home of the prompt's leading blocks, however busy."""

    affinity_blocks: int = 8


CHOICES: dict[str, Choice] = {
    "predicted": PredictedTime(),
    "random": RandomChoice(),
    "least_reported": LeastReported(),
    "two_choices": TwoChoices(),
    "affinity": AffinityOnly(),
}


@pick.register
def _(
    choice: RandomChoice,
    scored: Sequence[ScoredCandidate],
    request: RoutedRequest,
    rng: random.Random,
) -> ScoredCandidate:
    return rng.choice(scored)


@pick.register
def _(
    choice: LeastReported,
    scored: Sequence[ScoredCandidate],
    request: RoutedRequest,
    rng: random.Random,
) -> ScoredCandidate:
    return min(scored, key=lambda one: (one.reported_requests, rng.random()))


@pick.register
def _(
    choice: TwoChoices,
    scored: Sequence[ScoredCandidate],
    request: RoutedRequest,
    rng: random.Random,
) -> ScoredCandidate:
    drawn = rng.sample(list(scored), min(2, len(scored)))
    return min(drawn, key=lambda one: one.requests)


@pick.register
def _(
    choice: AffinityOnly,
    scored: Sequence[ScoredCandidate],
    request: RoutedRequest,
    rng: random.Random,
) -> ScoredCandidate:
    return find_preferred(scored, request, choice.affinity_blocks)
