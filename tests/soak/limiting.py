"""Runners that state rate limits: series of limits that begin, change and end, drawn from a seed."""

import random
import threading
import time
from collections.abc import Sequence
from dataclasses import dataclass, field

from features.support.gateways import call_json
from features.support.processes import HarnessError
from tests.limit_checks import STABLE_MS, Statement
from tests.soak.world import MS_PER_SECOND, Disturbance, SoakRunner, SoakWorld

SERVICES = ("app", "llm")
LIMITS = ("0", "0.05", "0.5", "1", "1.3", "3")
FIRST_LIMIT_S = 0.3
HOLD_S = (8.0, 11.0)
"""How long a limit is stated: longer than the time after which the bound holds, and a window of it."""
PAUSE_S = (0.5, 3.0)
CHANGE_SHARE = 0.3
"""Fraction of the limits that change to another one before they end."""


@dataclass
class LimitedRunner:
    """A runner that stated limits, and what reached it.

    Parameters
    ==========

    statements : the limits, in order of monotonic time in ms.
    arrivals : (monotonic time in ms, request id) of each request.
    disturbances : the spans in which the runner, or a gateway, stood still or was cut off.
    """

    name: str
    statements: list[Statement]
    arrivals: list[tuple[float, str]] = field(default_factory=list)
    disturbances: list[Disturbance] = field(default_factory=list)

    def is_excused(self, at_ms: float, incarnation: str) -> bool:
        """Return whether the runner, or the gateway that sent a request, was disturbed lately."""
        return is_disturbed(self.disturbances, (self.name, incarnation.partition("/")[0]), at_ms)


def is_disturbed(disturbances: Sequence[Disturbance], names: Sequence[str], at_ms: float) -> bool:
    """Return whether a runner or a gateway of these names was disturbed lately."""
    return any(
        one.name in names
        and one.from_s * MS_PER_SECOND <= at_ms <= one.until_s * MS_PER_SECOND + STABLE_MS
        for one in disturbances
    )


class LimitDriver:
    """Lets runners state limits. Every third seed limits all runners of a service.

    Parameters
    ==========

    world : the running processes.
    seed : determines the limits and their times.
    """

    def __init__(self, world: SoakWorld, seed: int) -> None:
        self._world = world
        self._rng = random.Random(f"{seed}/limits")
        self._limits_all = seed % 3 == 0
        self._statements: dict[str, list[Statement]] = {}
        self._ended = threading.Event()
        self._lock = threading.Lock()

    def run(self, stop: threading.Event) -> None:
        """State limits until `stop` is set or the limits are ended."""
        self._ended.wait(FIRST_LIMIT_S)
        while not stop.is_set() and not self._ended.is_set():
            runners = self._draw_runners()
            self._state(runners)
            hold_s = self._rng.uniform(*HOLD_S)
            if self._rng.random() < CHANGE_SHARE:
                self._ended.wait(hold_s)
                self._state(runners)
            self._ended.wait(hold_s)
            self._state(runners, "")
            self._ended.wait(self._rng.uniform(*PAUSE_S))

    def end_limits(self) -> None:
        """End all limits for good."""
        self._ended.set()
        with self._lock:
            limited = [
                name
                for name, stated in self._statements.items()
                if stated[-1].limit_per_s < float("inf")
            ]
        self._state([one for one in self._world.runners if one.name in limited], "")

    def list_limited(self) -> list[LimitedRunner]:
        """Return the runners that stated limits."""
        by_name = {runner.name: runner for runner in self._world.runners}
        return [
            LimitedRunner(
                name,
                [Statement(float("-inf"), float("inf")), *statements],
                self._world.list_arrivals(by_name[name]),
                self._world.disturbances,
            )
            for name, statements in self._statements.items()
        ]

    def _draw_runners(self) -> list[SoakRunner]:
        service = self._rng.choice(SERVICES)
        running = [
            one
            for one in self._world.runners
            if one.service == service and one.is_registered and one.program.is_running
        ]
        return running if self._limits_all else running[:1]

    def _state(self, runners: list[SoakRunner], limit: str | None = None) -> None:
        """Let runners state a limit; a drawn one if `limit` is None."""
        for runner in runners:
            text = self._rng.choice(LIMITS) if limit is None else limit
            try:
                address = runner.program.addresses["http"]
                call_json(address, "POST", "/standin/limit", {"limit": text})
            except (HarnessError, OSError):
                continue  # The runner was killed or stands still, so it states nothing new.
            number = float(text) if text else float("inf")
            at_ms = time.monotonic() * MS_PER_SECOND
            with self._lock:
                self._statements.setdefault(runner.name, []).append(Statement(at_ms, number))
