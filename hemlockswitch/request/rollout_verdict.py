"""Whether a new version of a service answers as well as the one in force: sequential tests.

Answers of both versions are counted at the same time, by route. For each route, and for all routes
together, the counts of the new version are tested against the rate of the one in force by Wald's
sequential probability ratio test, once for failures and once for slow answers. The test may be looked
at after every answer without changing its error rates.
"""

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from enum import StrEnum
from typing import Self


@dataclass(frozen=True)
class Tally:
    """Answers of one version on one route.

    Parameters
    ==========

    answers : sends whose outcome is known.
    failures : of these, how many failed.
    slow : of these, how many took far longer than was predicted for their server.
    """

    answers: int = 0
    failures: int = 0
    slow: int = 0

    def __add__(self, other: Self) -> "Tally":
        return Tally(
            self.answers + other.answers, self.failures + other.failures, self.slow + other.slow
        )

    @property
    def bad(self) -> int:
        """How many answers were bad."""
        return self.failures + self.slow


@dataclass(frozen=True)
class RouteTallies:
    """Answers on one route, of the version that is moved to and of those in force."""

    target: Tally = Tally()
    others: Tally = Tally()

    def __add__(self, other: Self) -> "RouteTallies":
        return RouteTallies(self.target + other.target, self.others + other.others)


class Verdict(StrEnum):
    """What the counts say of the new version."""

    UNDECIDED = "undecided"
    GOOD = "good"
    BAD = "bad"


@dataclass(frozen=True)
class RateTest:
    """One sequential test of a rate against that of the version in force.

    Parameters
    ==========

    prior_bad, prior_answers : what is assumed of the version in force before its answers come.
    lowest, highest : between these its rate is taken to be.
    excess : how much more of the answers must be bad for a version to count as bad.
    """

    prior_bad: float
    prior_answers: float
    lowest: float
    highest: float
    excess: float

    def weigh(self, bad: int, answers: int, others_bad: int, others_answers: int) -> float:
        """Return the logarithm of the likelihood ratio; positive speaks against the new version.

        Examples
        ========

        >>> FAILURE_TEST.weigh(6, 12, 0, 200) > BAD_WEIGHT
        True
        >>> FAILURE_TEST.weigh(0, 60, 1, 200) < GOOD_WEIGHT
        True
        """
        rate = (others_bad + self.prior_bad) / (others_answers + self.prior_answers)
        usual = min(max(rate, self.lowest), self.highest)
        worse = usual + self.excess
        good = answers - bad
        return bad * math.log(worse / usual) + good * math.log((1 - worse) / (1 - usual))


FAILURE_TEST = RateTest(prior_bad=0.5, prior_answers=25.0, lowest=0.015, highest=0.6, excess=0.15)
SLOW_TEST = RateTest(prior_bad=1.0, prior_answers=10.0, lowest=0.05, highest=0.5, excess=0.4)
BAD_WEIGHT = 7.0
"""Natural logarithm: one good version in a thousand reaches it in a test."""
GOOD_WEIGHT = 0.0
"""Below it the answers of all routes together speak for the new version."""
FEWEST_ANSWERS = 20
FEWEST_ON_ROUTE = 3
MOST_ROUTE_WEIGHT = 2.0
"""A route on which this much speaks against the new version keeps it from being good."""
MOST_BAD = 40
"""With so many bad answers, that the version is more likely bad than good is enough to stop."""


def judge(routes: Mapping[str, RouteTallies]) -> Verdict:
    """Return what the counts by route say of the new version.

    Examples
    ========

    >>> good = RouteTallies(Tally(60, 1, 2), Tally(500, 5, 25))
    >>> bad = RouteTallies(Tally(30, 10, 0), Tally(500, 5, 25))
    >>> judge({"draft": good}).value, judge({"draft": good, "note": bad}).value
    ('good', 'bad')
    >>> judge({}).value
    'undecided'
    """
    whole = sum(routes.values(), RouteTallies())
    weights = [max(weigh_route(one)) for one in routes.values()]
    overall = weigh_route(whole)
    highest = max(*weights, *overall) if weights else 0.0
    if highest >= BAD_WEIGHT or (whole.target.bad >= MOST_BAD and highest > 0):
        return Verdict.BAD
    if _has_evidence(routes.values(), whole) and max(overall) <= GOOD_WEIGHT:
        return Verdict.GOOD if max(weights) <= MOST_ROUTE_WEIGHT else Verdict.UNDECIDED
    return Verdict.UNDECIDED


def weigh_route(one: RouteTallies) -> tuple[float, float]:
    """Return what speaks against the new version by its failures, and by its slow answers."""
    target, others = one.target, one.others
    return (
        FAILURE_TEST.weigh(target.failures, target.answers, others.failures, others.answers),
        SLOW_TEST.weigh(target.slow, target.answers, others.slow, others.answers),
    )


def _has_evidence(routes: Iterable[RouteTallies], whole: RouteTallies) -> bool:
    """Return whether the new version was tried often enough, on every route that is in use."""
    if whole.target.answers < FEWEST_ANSWERS:
        return False
    return all(
        one.target.answers >= FEWEST_ON_ROUTE or one.others.answers < FEWEST_ANSWERS
        for one in routes
    )
