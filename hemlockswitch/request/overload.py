"""Which model requests are refused at once, because they would wait too long for a first event.

After a reclaim the copies that are left get more prompts than they can read. Engines read prompts
about in the order of their arrival, so without a bound every caller waits until all are late. With
the queue bounded, those who are admitted are served in time and the others learn at once when to
come back.
"""

import random
from dataclasses import dataclass

from hemlockswitch.request.placement import Placement

QUEUE_SHARE = 0.9
"""Part of the objective that the predicted time may take. The rest allows for predictions that are too
low; more would refuse requests that may still be in time."""
URGENCY_STEP = 0.1
"""How much less of it each lower rank may take, so that the less urgent are refused first."""
LOWEST_RANK = 4
LEAST_QUEUE_SHARE = 0.25
"""A request is always admitted behind a queue of this part of its objective, however long its own
prompt: large requests must not be left out."""
SHORTEST_RETURN_MS = 150.0
LONGEST_RETURN_MS = 2_000.0
"""Bounds of the time to come back; copies that were ordered in place of lost ones serve after some
four seconds, and callers come back once or twice."""
RETURN_SPREAD = (0.8, 1.4)
"""Factors by which the time to come back varies, so that callers do not return together."""


@dataclass(frozen=True)
class QueueBound:
    """How long a request may queue.

    Parameters
    ==========

    objective_ms : the strictest objective among the service's requests that are at least as urgent;
        0 where none is known, and nothing is refused.
    rank : 0 is the most urgent.
    """

    objective_ms: float
    rank: int

    def find_longest_queue_ms(self, reading_ms: float) -> float:
        """Return the bound for a request whose own prompt takes `reading_ms`.

        Examples
        ========

        >>> QueueBound(1_000, rank=0).find_longest_queue_ms(reading_ms=100)
        800.0
        >>> QueueBound(1_000, rank=0).find_longest_queue_ms(reading_ms=5_000)
        250.0
        """
        share = QUEUE_SHARE - URGENCY_STEP * min(self.rank, LOWEST_RANK)
        return max(self.objective_ms * share - reading_ms, self.objective_ms * LEAST_QUEUE_SHARE)


def find_return_ms(placement: Placement, bound: QueueBound) -> float | None:
    """Return when a caller should come back, or None if its request is to be admitted.

    Parameters
    ==========

    placement : where it would go, with the predicted time of its first event.
    """
    if bound.objective_ms <= 0:
        return None
    reading_ms = placement.expected_ms - placement.queue_ms
    queue_ms = placement.queue_ms
    longest_ms = bound.find_longest_queue_ms(reading_ms)
    if queue_ms <= longest_ms:
        return None
    until_room_ms = (queue_ms - longest_ms / 2) * random.uniform(*RETURN_SPREAD)
    return min(max(until_room_ms, SHORTEST_RETURN_MS), LONGEST_RETURN_MS)
