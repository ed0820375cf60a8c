"""Sequential tests of whether a new version of a service answers as well as the current one.

Answers of both versions are counted over the same period, by route. For each route, and for all routes
together, the counts of the new version are tested against the rate of the current one by Wald's
sequential probability ratio test, separately for failures and slow answers. The test can be evaluated
after every answer without affecting its error rates.
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

    answers : attempts with a recorded outcome.
    failures : those that failed.
    slow : those that took far longer than predicted for their server.
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
        """Number of failures and slow answers."""
        return self.failures + self.slow


@dataclass(frozen=True)
class RouteTallies:
    """Answers on one route, of the new version (`target`) and of the current versions (`others`)."""

    target: Tally = Tally()
    others: Tally = Tally()

    def __add__(self, other: Self) -> "RouteTallies":
        return RouteTallies(self.target + other.target, self.others + other.others)


class Verdict(StrEnum):
    """Result of the tests of the new version."""

    UNDECIDED = "undecided"
    GOOD = "good"
    BAD = "bad"


@dataclass(frozen=True)
class RateTest:
    """A sequential test of a rate of bad answers against that of the current version.

    Parameters
    ==========

    prior_bad, prior_answers : assumed counts of the current version before it has answered.
    lowest, highest : bounds to which the rate of the current version is clamped.
    excess : increase of the rate from which a version counts as bad.
    """

    prior_bad: float
    prior_answers: float
    lowest: float
    highest: float
    excess: float

    def weigh(self, bad: int, answers: int, others_bad: int, others_answers: int) -> float:
        """Return the log-likelihood ratio; positive values are evidence against the new version.

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
"""Natural logarithm of a likelihood ratio: one good version in a thousand reaches it in a test."""
GOOD_WEIGHT = 0.0
"""At or below it, the answers of all routes together are evidence for the new version."""
MIN_ANSWERS = 20
MIN_ANSWERS_PER_ROUTE = 3
MAX_ROUTE_WEIGHT = 2.0
"""A route with more evidence than this against the new version prevents the verdict `GOOD`."""
MAX_BAD_ANSWERS = 40
"""From this number of bad answers on, a positive log-likelihood ratio suffices for the verdict `BAD`."""


def judge(routes: Mapping[str, RouteTallies]) -> Verdict:
    """Return the verdict on the new version from the counts by route.

    Examples
    ========

    >>> good = RouteTallies(Tally(60, 1, 2), Tally(500, 5, 25))
    >>> bad = RouteTallies(Tally(30, 10, 0), Tally(500, 5, 25))
    >>> judge({"draft": good}).value, judge({"draft": good, "note": bad}).value
    ('good', 'bad')
    >>> judge({}).value
    'undecided'
    """
    total = sum(routes.values(), RouteTallies())
    weights = [max(weigh_route(one)) for one in routes.values()]
    overall = weigh_route(total)
    highest = max(*weights, *overall) if weights else 0.0
    if highest >= BAD_WEIGHT or (total.target.bad >= MAX_BAD_ANSWERS and highest > 0):
        return Verdict.BAD
    if _has_evidence(routes.values(), total) and max(overall) <= GOOD_WEIGHT:
        return Verdict.GOOD if max(weights) <= MAX_ROUTE_WEIGHT else Verdict.UNDECIDED
    return Verdict.UNDECIDED


def weigh_route(one: RouteTallies) -> tuple[float, float]:
    """Return the log-likelihood ratios of the failures and of the slow answers on a route."""
    target, others = one.target, one.others
    return (
        FAILURE_TEST.weigh(target.failures, target.answers, others.failures, others.answers),
        SLOW_TEST.weigh(target.slow, target.answers, others.slow, others.answers),
    )


def _has_evidence(routes: Iterable[RouteTallies], total: RouteTallies) -> bool:
    """Return whether the new version has enough answers in total and on every route in use."""
    if total.target.answers < MIN_ANSWERS:
        return False
    return all(
        one.target.answers >= MIN_ANSWERS_PER_ROUTE or one.others.answers < MIN_ANSWERS
        for one in routes
    )
