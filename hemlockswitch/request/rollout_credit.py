"""How many requests a daemon may send to a version that is not judged yet.

The bound is over all daemons and the whole time of the order: a share of all requests for the service,
and a fixed number more. Each daemon keeps to its part by itself. It may send the same share of the
requests that it has seen itself, so the sum stays under the bound whoever is cut off, frozen or started
again, and whatever the demand does.
"""

import random
from dataclasses import dataclass


@dataclass(frozen=True)
class ExposureBound:
    """The bound over all daemons.

    Parameters
    ==========

    share : part of the requests for the service.
    slack : how many requests more.
    """

    share: float
    slack: float


TRIAL_SHARE = 0.5
"""Part of the bound's share that is spent on trying the new version; the rest is for the move."""
TRIAL_SLACK = 0.2
MOVE_SLACK = 0.5
"""Parts of the bound's slack; what is left covers that daemons round."""


class ExposureCredit:
    """What one daemon may still send to a version that is not judged yet.

    Explanation
    ===========

    Requests earn credit in fractions, and a send costs one. All credit begins at a random fraction,
    so that the sum over many daemons that each see few requests is right on average.

    Trials are divided evenly over the routes: a rare route needs as many answers as a frequent one to
    be judged.

    Parameters
    ==========

    bound : the bound over all daemons.
    daemons : how many share it; None for a daemon that gets no part of the slack, as one that was
        started again may have spent it before.
    chance : source of random numbers.
    """

    def __init__(self, bound: ExposureBound, daemons: int | None, chance: random.Random) -> None:
        self._bound = bound
        self._chance = chance
        part = bound.slack / daemons if daemons else 0.0
        self._unassigned = part * TRIAL_SLACK
        self._by_route: dict[str, float] = {}
        self._move = part * MOVE_SLACK + self._round()
        self._earned = part

    def earn(self, route: str) -> None:
        """Count one request for the service."""
        if route not in self._by_route:
            self._by_route[route] = self._unassigned + self._round()
            self._unassigned = 0.0
        share = self._bound.share
        for name in self._by_route:
            self._by_route[name] += share * TRIAL_SHARE / len(self._by_route)
        self._move += share * (1 - TRIAL_SHARE)
        self._earned += share

    def may_try(self, route: str) -> bool:
        """Return whether a request of a route may try the new version."""
        return self._by_route.get(route, 0.0) >= 1

    def may_move(self) -> bool:
        """Return whether a request may move to the new version before the order is closed."""
        return self._move >= 1

    def find_bound(self) -> float:
        """Return how many requests this daemon may have sent to the new version by now."""
        return self._earned

    def pay(self, route: str) -> None:
        """Count one send to the new version."""
        if self.may_try(route) or not self.may_move():
            self._by_route[route] = self._by_route.get(route, 0.0) - 1
        else:
            self._move -= 1

    def _round(self) -> float:
        """Return a random fraction, for a sum that is only ever used in whole steps."""
        return self._chance.random()
