"""Baseline rules for the choice of a server, for comparison with the router's rule."""

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
    """A random server."""


@dataclass(frozen=True)
class LeastReported(Choice):
    """The server that last reported the fewest requests."""


@dataclass(frozen=True)
class TwoChoices(Choice):
    """The less busy of two random servers, by the estimate that the router uses."""


@dataclass(frozen=True)
class AffinityOnly(Choice):
    """The preferred server of the leading blocks of a prompt, regardless of its load."""

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
