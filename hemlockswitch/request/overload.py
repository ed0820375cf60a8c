"""Immediate refusal of model requests that would wait too long for their first event.

After a reclaim the remaining copies receive more prompts than they can process. Engines process prompts
roughly in order of arrival, so with an unbounded queue every request misses its objective. With a
bounded queue, admitted requests are served in time and the remaining callers immediately receive a
retry delay.
"""

import random
from dataclasses import dataclass

from hemlockswitch.request.placement import Placement
from hemlockswitch.request.room import Room

QUEUE_SHARE = 0.9
"""Fraction of the objective that the predicted time may use. The remaining fraction allows for
predictions that are too low; a larger margin would refuse requests that may still be in time."""
QUEUE_SHARE_STEP = 0.1
"""Amount by which each lower rank reduces that fraction, so that less urgent requests are refused
first."""
MAX_RANK = 4
MIN_QUEUE_SHARE = 0.25
"""Fraction of the objective that a request may always queue, however long its own prompt: large
requests must not be starved."""
SHORT_SHARE = 0.25
"""Fraction of the bound beyond which a queue shows that a service is short of room. Below it every request is admitted;
above it only accounts within their fair parts, those beyond with credit, and callers that return as told. Engines are
in use with a queue of a quarter; at a half, knowledge of the queue that is 100 ms old made a tenth of all answers late
(tests/admission_replay.py)."""
MIN_RETRY_DELAY_MS = 150.0
MAX_RETRY_DELAY_MS = 2_000.0
"""Copies that replace lost ones serve after about four seconds, and callers retry once or twice."""
RETRY_DELAY_SPREAD = (0.8, 1.4)
"""Range of the random factor on the retry delay, which prevents simultaneous retries."""


@dataclass(frozen=True)
class QueueBound:
    """Bound on the queueing time of a request.

    Parameters
    ==========

    objective_ms : the strictest objective among the service's requests that are at least as urgent;
        0 if there is none, in which case nothing is refused.
    rank : 0 is the most urgent.
    """

    objective_ms: float
    rank: int

    def find_max_queue_ms(self, reading_ms: float) -> float:
        """Return the bound for a request whose own prompt takes `reading_ms` to process.

        Examples
        ========

        >>> QueueBound(1_000, rank=0).find_max_queue_ms(reading_ms=100)
        800.0
        >>> QueueBound(1_000, rank=0).find_max_queue_ms(reading_ms=5_000)
        250.0
        """
        share = QUEUE_SHARE - QUEUE_SHARE_STEP * min(self.rank, MAX_RANK)
        return max(self.objective_ms * share - reading_ms, self.objective_ms * MIN_QUEUE_SHARE)


@dataclass(frozen=True)
class Refusal:
    """The refusal of a new request.

    Parameters
    ==========

    detail : the inputs of the decision, for the log and the caller.
    retry_ms : time after which the caller should return.
    """

    detail: str
    retry_ms: float


def estimate_room(placement: Placement, bound: QueueBound, unseen_ms: float = 0.0) -> Room:
    """Return the room of the chosen engine.

    A queue of up to `SHORT_SHARE` of the bound counts as free room, since engines always have some requests to read.

    Parameters
    ==========

    unseen_ms : expected time for prompts that other gateways have sent there and this one does not know of yet.
    """
    if bound.objective_ms <= 0:
        return Room(wait_ms=0.0)
    free_ms = SHORT_SHARE * find_max_queue_ms(placement, bound)
    return Room(placement.queue_ms if placement.queue_ms + unseen_ms > free_ms else 0.0)


def find_max_queue_ms(placement: Placement, bound: QueueBound) -> float:
    """Return the bound on the queueing time of a placed request."""
    return bound.find_max_queue_ms(placement.expected_ms - placement.queue_ms)


def find_until_room_ms(placement: Placement, bound: QueueBound) -> float:
    """Return the time after which the queue of the chosen engine is expected to be short again."""
    until_room_ms = placement.queue_ms - SHORT_SHARE * find_max_queue_ms(placement, bound)
    return min(max(until_room_ms, MIN_RETRY_DELAY_MS), MAX_RETRY_DELAY_MS)


def find_retry_delay_ms(placement: Placement, bound: QueueBound) -> float | None:
    """Return the delay after which a refused caller should retry, or None to admit its request.

    Parameters
    ==========

    placement : the chosen server, with the predicted time to the first event.
    bound : the bound on the request's queueing time.
    """
    if bound.objective_ms <= 0:
        return None
    reading_ms = placement.expected_ms - placement.queue_ms
    queue_ms = placement.queue_ms
    max_queue_ms = bound.find_max_queue_ms(reading_ms)
    if queue_ms <= max_queue_ms:
        return None
    until_room_ms = (queue_ms - max_queue_ms / 2) * random.uniform(*RETRY_DELAY_SPREAD)
    return min(max(until_room_ms, MIN_RETRY_DELAY_MS), MAX_RETRY_DELAY_MS)
