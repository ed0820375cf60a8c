"""Baseline rules for the number of copies, for comparison with the planner."""

import math
from collections.abc import Callable, Sequence

from hemlockswitch.process.copies.planner import Copy, Demand, Place, Plan, Planner, Target

BUSY_SHARE = 0.7


class CountRule(Planner):
    """Maintains a number of copies in the cheapest places, regardless of the reclaim risk.

    Parameters
    ==========

    count : returns the number for a target and a demand.
    """

    count: Callable[[Target, Demand], int]

    def plan(
        self, copies: Sequence[Copy], free: Sequence[Place], now: Demand, peak: Demand
    ) -> Plan:
        """Return the starts, or the single stop, that approach the required number."""
        staying = [copy for copy in copies if copy.is_staying]
        room = max(0, self._target.licensed - len(copies))
        missing = min(type(self).count(self._target, now) - len(staying), room)
        if missing > 0 and free:
            cheapest = min(free, key=lambda place: place.price_per_hour)
            return Plan(starts=(cheapest,) * missing)
        if len(staying) > type(self).count(self._target, peak):
            dearest = max(staying, key=lambda copy: copy.place.price_per_hour)
            return Plan(stops=(dearest.name,))
        return Plan()


def make_fixed(number: int) -> type[CountRule]:
    """Return the rule that always maintains `number` copies."""
    count = staticmethod(lambda target, demand: number)
    return type(f"Fixed{number}", (CountRule,), {"count": count})


def _count_by_utilisation(target: Target, demand: Demand) -> int:
    wanted = math.ceil(demand.busy / (target.slots * BUSY_SHARE))
    return max(wanted, target.min_copies, 1)


class Utilisation(CountRule):
    """Maintains enough copies for the slots to be busy to a fixed share."""

    count = staticmethod(_count_by_utilisation)


def find_rule(name: str) -> type[Planner]:
    """Return the rule called ``planner``, ``utilisation`` or ``fixed-<number>``."""
    if name.startswith("fixed-"):
        return make_fixed(int(name.removeprefix("fixed-")))
    return {"planner": Planner, "utilisation": Utilisation}[name]
