"""Progress of one rollout order at one gateway: its requests, their answers, and the order's state.

Every gateway counts the answers of both versions and sends its counts to its peers with its reports.
Each gateway judges the sums by itself, so that traffic to a bad version stops without a message from
the holder of the duties. Only the holder decides on the move and writes the final state.
"""

import random
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import Any

from hemlockswitch.core.events import Event
from hemlockswitch.core.logs import log_event
from hemlockswitch.process.gateway.messages import RolloutFields
from hemlockswitch.request.rollout_credit import ExposureBound, ExposureCredit
from hemlockswitch.request.rollout_verdict import RouteTallies, Tally, Verdict, judge
from hemlockswitch.version.backend import BackendServer
from hemlockswitch.version.rollout import RolloutOrder

CLOSE_MARGIN_MS = 1_500.0
CLOSE_MARGIN_SHARE = 0.15
"""An order is closed this long before its time limit, at most this fraction of the limit: a write to a
slow object service takes as long."""
MOVE_MS = 2_500.0
MOVE_SHARE = 0.2
"""The move begins this long before the order is closed, at most this fraction of the time limit: most
streams that began on the old version end within that time."""
MIN_MOVE_MS = 500.0
"""Duration of a move that begins late: within it, reports of the move reach the other gateways and
plain calls end."""
ABANDON_DELAY_MS = 2_000.0
ABANDON_MOVE_DELAY_MS = 8_000.0
"""A gateway abandons an order that was not closed this long after its time limit. The longer delay
applies once the move has begun: the version was found good, and the next holder of the duties may
still close the order."""
DEFAULT_DURATION_MS = 1_000.0
"""Assumed duration of an answer on a route on which none has ended yet."""
DURATION_WEIGHT = 0.1
MOVED_DURATION_SHARE = 0.6
"""A request goes to the new version if the old version ends before this fraction of the request's usual
duration has passed. Fewer requests may move than would still be in progress at that time, and the ones
that start latest are the most certain to be."""
BREAK_WINDOW_MS = 1_000.0
"""Connections that a server breaks within this time have one cause, and count once."""
MIN_TRIAL_INTERVAL_MS = 25.0
"""Minimum time between two trials by one gateway."""
NO_MOVE = -1.0
NO_ANSWERS = [0] * 6
"""Reported counts of a route without answers, laid out as by `_write_tallies`."""
MAX_AGE_MS = 86_400_000.0


@dataclass(frozen=True)
class RolloutTimes:
    """Due times of the steps of an order, in ms after the order was given.

    Parameters
    ==========

    move_ms : when the move may begin.
    close_ms : when the order is closed.
    latest_close_ms : when the order is closed at the latest, if the move began late.
    limit_ms : the time limit of the order.

    Examples
    ========

    >>> RolloutTimes.from_limit(12_000.0)
    RolloutTimes(move_ms=8100.0, close_ms=10500.0, latest_close_ms=11250.0, limit_ms=12000.0)
    """

    move_ms: float
    close_ms: float
    latest_close_ms: float
    limit_ms: float

    @classmethod
    def from_limit(cls, limit_ms: float) -> "RolloutTimes":
        """Return the times of an order with the time limit `limit_ms`."""
        close_ms = limit_ms - min(CLOSE_MARGIN_MS, CLOSE_MARGIN_SHARE * limit_ms)
        latest_close_ms = (close_ms + limit_ms) / 2
        move_ms = close_ms - min(MOVE_MS, MOVE_SHARE * limit_ms)
        return cls(move_ms, close_ms, latest_close_ms, limit_ms)


class RolloutProgress:
    """State of an order at one gateway.

    Parameters
    ==========

    order : the order as last read.
    bound : how many requests the new version may get before the order is closed.
    daemons : how many gateways share that bound; None while the number is unknown.
    now_ms : the current time.
    rng : source of random numbers.
    """

    def __init__(
        self,
        order: RolloutOrder,
        bound: ExposureBound,
        daemons: int | None,
        now_ms: float,
        rng: random.Random,
    ) -> None:
        self.order = order
        self.began_ms = now_ms
        self.times = RolloutTimes.from_limit(order.time_limit_ms)
        self.close_ms: float | None = None  # None until the move has begun
        self.is_state_lost = False  # whether the object service lacks the final state
        self.stopped_for = ""
        self.has_changed = False
        self.sent_to_target = 0
        self.pending_trials = 0  # attempts on the new version that are not counted yet
        self.has_seen_target = False
        self.has_seen_others = False
        # How much of the slack an earlier process has spent is unknown.
        sharing = daemons if order.state is None else None
        self._credit = ExposureCredit(bound, sharing, rng)
        self._own: dict[str, RouteTallies] = {}
        self._received: dict[str, dict[str, list[int]]] = {}
        self._sums: dict[str, RouteTallies] = {}
        self._last_trial_ms = float("-inf")
        self._durations_ms: dict[str, float] = {}
        self._last_break_ms: dict[str, float] = {}
        self._warm_at_ms: dict[str, float] = {}

    @property
    def is_open(self) -> bool:
        """Whether requests may still try the new version."""
        return not self.order.is_final and not self.stopped_for

    @property
    def is_in_force(self) -> bool:
        """Whether the order is new and names the only version that this gateway has seen."""
        is_new = self.order.state is None
        return is_new and self.has_seen_target and not self.has_seen_others

    def record_servers(
        self, target: Sequence[BackendServer], others: Sequence[BackendServer], now_ms: float
    ) -> None:
        """Record which versions have servers, and until when the new servers are cold."""
        self.has_seen_target = self.has_seen_target or bool(target)
        self.has_seen_others = self.has_seen_others or bool(others)
        for server in target:
            self._warm_at_ms.setdefault(server.incarnation, now_ms + server.cold_left_ms)

    def is_cold(self, server: BackendServer, now_ms: float) -> bool:
        """Return whether a new server is still slow because it has just started."""
        return self._warm_at_ms.get(server.incarnation, 0.0) > now_ms

    def get_age_ms(self, now_ms: float) -> float:
        """Return the age of the order, by the earliest time recorded for it."""
        return now_ms - self.began_ms

    def record_age(self, age_ms: float, now_ms: float) -> None:
        """Apply the age of the order as reported by another gateway or as stored."""
        if 0 <= age_ms <= MAX_AGE_MS:
            self.began_ms = min(self.began_ms, now_ms - age_ms)

    def count_send(self, route: str) -> None:
        """Count a send attempt to a server of the service."""
        self._credit.earn(route)

    def find_bound(self) -> float:
        """Return the number of requests that this gateway may have sent to the new version by now."""
        return self._credit.find_bound()

    def may_try(self, route: str, now_ms: float) -> bool:
        """Return whether a new request may try the new version.

        A version that is not judged yet gets few requests at a time, since their answers may end its
        trial.
        """
        is_busy = self.pending_trials > 0 or now_ms - self._last_trial_ms < MIN_TRIAL_INTERVAL_MS
        return self._credit.may_try(route) and not is_busy

    def charge(self, route: str, now_ms: float) -> None:
        """Charge the credit for a request that is about to be sent to the new version."""
        self._credit.spend(route)
        self._last_trial_ms = now_ms
        self.sent_to_target += 1

    def must_move(self, route: str, now_ms: float) -> bool:
        """Return whether a new request would outlast the old version, and may go to the new one."""
        if self.close_ms is None or not self._credit.may_move():
            return False
        mean_ms = self._durations_ms.get(route, DEFAULT_DURATION_MS)
        return now_ms + MOVED_DURATION_SHARE * mean_ms > self.close_ms

    def record_duration(self, route: str, took_ms: float) -> None:
        """Update the mean duration of answers on a route."""
        mean_ms = self._durations_ms.setdefault(route, took_ms)
        self._durations_ms[route] = mean_ms + DURATION_WEIGHT * (took_ms - mean_ms)

    def get_duration_ms(self, route: str) -> float | None:
        """Return the mean duration of answers on a route; None before the first one has ended."""
        return self._durations_ms.get(route)

    def count_answer(self, route: str, tally: Tally, *, is_target: bool) -> None:
        """Count the result of a send attempt."""
        change = RouteTallies(target=tally) if is_target else RouteTallies(others=tally)
        self._own[route] = self._own.get(route, RouteTallies()) + change
        self._sums[route] = self._sums.get(route, RouteTallies()) + change
        self.has_changed = True
        if is_target and tally.bad:
            self._check_answers()

    def record_break(self, server: str, now_ms: float) -> bool:
        """Record a connection broken by a server; return whether it counts as a separate failure."""
        counts = now_ms - self._last_break_ms.get(server, float("-inf")) > BREAK_WINDOW_MS
        if counts:
            self._last_break_ms[server] = now_ms
        return counts

    def get_sums(self) -> Mapping[str, RouteTallies]:
        """Return the answer counts over all gateways, by route."""
        return self._sums

    def get_own(self) -> RouteTallies:
        """Return this gateway's own answer counts over all routes."""
        return sum(self._own.values(), RouteTallies())

    def judge(self) -> Verdict:
        """Return the verdict on the new version from the answers over all gateways."""
        return judge(self._sums)

    def begin_move(self, close_ms: float) -> None:
        """Begin to send requests that would outlast the old version, until `close_ms`, to the new one."""
        if self.close_ms is None:
            log_event(Event.ROLLOUT_MOVING, **self.describe_order(), **self.describe_sums())
        self.close_ms = close_ms
        self.has_changed = True

    def stop(self, reason: str) -> None:
        """Stop sending requests to the new version."""
        if self.stopped_for:
            return
        self.stopped_for = reason
        self.has_changed = True
        log_event(
            Event.ROLLOUT_STOPPED,
            "warning",
            **self.describe_order(),
            reason=reason,
            **self.describe_sums(),
        )

    def describe_order(self) -> dict[str, Any]:
        """Return the log fields that identify the order."""
        return {"service": self.order.service, "target": self.order.target}

    def describe_sums(self) -> dict[str, Any]:
        """Return the verdict and the counts behind it, for log lines and the status page."""
        routes = {
            route: {
                "target": [one.target.answers, one.target.failures, one.target.slow],
                "others": [one.others.answers, one.others.failures, one.others.slow],
            }
            for route, one in self._sums.items()
        }
        return {"verdict": self.judge().value, "routes": routes}

    def make_report(self, now_ms: float, *, leads: bool) -> RolloutFields:
        """Return this gateway's report on the order, for its peers."""
        close_in_ms = NO_MOVE
        if leads and self.close_ms is not None:
            close_in_ms = max(self.close_ms - now_ms, 0.0)
        service, target, created = self.order.identity
        routes = {route: _write_tallies(one) for route, one in self._own.items()}
        age_ms = self.get_age_ms(now_ms)
        return service, target, created, age_ms, bool(self.stopped_for), close_in_ms, routes

    def apply_report(self, process: str, fields: RolloutFields, now_ms: float) -> None:
        """Apply another gateway's report; the counts of a gateway never decrease."""
        _, _, _, age_ms, is_stopped, close_in_ms, routes = fields
        self.record_age(age_ms, now_ms)
        received = self._received.setdefault(process, {})
        for route, numbers in routes.items():
            recorded = received.get(route, NO_ANSWERS)
            if sum(numbers) <= sum(recorded):
                continue  # an outdated or repeated report
            received[route] = numbers
            change = _read_tallies([new - old for new, old in zip(numbers, recorded, strict=True)])
            self._sums[route] = self._sums.get(route, RouteTallies()) + change
            if change.target.bad > 0:
                self._check_answers()
        if is_stopped and self.is_open:
            self.stop("told to stop by another gateway")
        if close_in_ms >= 0 and self.is_open:
            self.begin_move(now_ms + close_in_ms)

    def check(self, now_ms: float) -> None:
        """Stop the rollout if the new version is judged bad, or if the order was not closed in time."""
        self._check_answers()
        delay_ms = ABANDON_DELAY_MS if self.close_ms is None else ABANDON_MOVE_DELAY_MS
        if self.is_open and self.get_age_ms(now_ms) > self.times.limit_ms + delay_ms:
            self.stop("order not closed within its time limit")

    def _check_answers(self) -> None:
        if self.is_open and self.judge() is Verdict.BAD:
            self.stop("answers of the new version are worse than those of the old one")


def _write_tallies(one: RouteTallies) -> list[int]:
    target, others = one.target, one.others
    return [
        target.answers,
        target.failures,
        target.slow,
        others.answers,
        others.failures,
        others.slow,
    ]


def _read_tallies(numbers: list[int]) -> RouteTallies:
    return RouteTallies(Tally(*numbers[:3]), Tally(*numbers[3:6]))
