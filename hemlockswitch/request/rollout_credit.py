"""Limit on the requests that a daemon may send to a version during its rollout.

The limit covers all daemons and the complete duration of the rollout order: a share of all requests for
the service, plus a fixed number. Each daemon enforces its part without coordination: it may send the
given share of the requests that it receives itself. The sum therefore stays within the limit when
daemons are disconnected, frozen or restarted, and however the demand changes.
"""

import random
from dataclasses import dataclass


@dataclass(frozen=True)
class ExposureBound:
    """Limit on the requests sent to the new version, over all daemons.

    Parameters
    ==========

    share : fraction of the requests for the service.
    slack : number of requests in addition.
    """

    share: float
    slack: float


TRIAL_SHARE = 0.5
"""Fraction of the bound's share that is spent on trials of the new version; the remaining fraction is
spent on moving requests to it."""
TRIAL_SLACK = 0.2
MOVE_SLACK = 0.5
"""Fractions of the bound's slack; the remaining fraction covers rounding by the daemons."""


class ExposureCredit:
    """Number of requests that one daemon may still send to a version without a verdict.

    Explanation
    ===========

    Each request earns a fraction of a credit, and an attempt costs one credit. All credits start at a
    random fraction, so that the sum over many daemons with few requests each is correct on average.

    Trials are divided evenly among the routes, as a rare route needs as many answers for a verdict as a
    frequent one.

    Parameters
    ==========

    bound : the limit over all daemons.
    daemons : number of daemons that share it; None for a daemon without a part of the slack, since a
        daemon that was restarted may have spent its part before.
    rng : random number generator.
    """

    def __init__(self, bound: ExposureBound, daemons: int | None, rng: random.Random) -> None:
        self._bound = bound
        self._rng = rng
        part = bound.slack / daemons if daemons else 0.0
        self._unassigned = part * TRIAL_SLACK
        self._by_route: dict[str, float] = {}
        self._move = part * MOVE_SLACK + self._draw_fraction()
        self._earned = part

    def earn(self, route: str) -> None:
        """Count one request for the service."""
        if route not in self._by_route:
            self._by_route[route] = self._unassigned + self._draw_fraction()
            self._unassigned = 0.0
        share = self._bound.share
        for name in self._by_route:
            self._by_route[name] += share * TRIAL_SHARE / len(self._by_route)
        self._move += share * (1 - TRIAL_SHARE)
        self._earned += share

    def may_try(self, route: str) -> bool:
        """Return whether a request of a route may be sent to the new version as a trial."""
        return self._by_route.get(route, 0.0) >= 1

    def may_move(self) -> bool:
        """Return whether a request may move to the new version before the rollout is completed."""
        return self._move >= 1

    def find_bound(self) -> float:
        """Return the maximum number of requests that this daemon may have sent to the new version."""
        return self._earned

    def spend(self, route: str) -> None:
        """Count one attempt sent to the new version."""
        if self.may_try(route) or not self.may_move():
            self._by_route[route] = self._by_route.get(route, 0.0) - 1
        else:
            self._move -= 1

    def _draw_fraction(self) -> float:
        """Return a random fraction, which rounds a credit that is only spent in units of 1."""
        return self._rng.random()
