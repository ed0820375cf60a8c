"""The rollout of a new service version during a soak; the seed decides whether it is faulty."""

import threading
import time
from dataclasses import dataclass, field

from features.support.gateways import call_json
from tests.gateway_site import make_entry
from tests.soak.world import MOVED, SoakRunner, SoakWorld

RUNNERS = 2
ORDER_AFTER_S, RUNNERS_AFTER_S = 1.0, 0.5
TIME_LIMIT_S = 6.0
POLL_INTERVAL_S = 0.1
BAD = {"fail": True, "every": 2}
SETTLE_S = 5.0
"""Time after a rollback within which every connected gateway has observed the rollback."""


@dataclass
class Rollout:
    """The rollout of one soak: its order, final state and runners.

    Parameters
    ==========

    is_bad : whether the new version is faulty.
    state : the final state of the order, empty while it is open.
    old, new : the runners of the old and the new version.
    """

    is_bad: bool
    ordered_s: float = 0.0
    state: str = ""
    closed_s: float = float("inf")
    old: list[SoakRunner] = field(default_factory=list)
    new: list[SoakRunner] = field(default_factory=list)


class RolloutDriver:
    """Orders a rollout, starts the new runners and, once completed, ends the old ones."""

    def __init__(self, world: SoakWorld, seed: int) -> None:
        self.move = Rollout(is_bad=seed % 2 == 1)
        self._world = world
        self.move.old = [self._start("v1") for _ in range(RUNNERS)]

    def run(self, stop: threading.Event) -> None:
        """Drive the rollout until `stop` is set."""
        move, world = self.move, self._world
        if stop.wait(ORDER_AFTER_S):
            return
        world.put("rollouts", MOVED, {"service": MOVED, "to": "v2", "duration_s": TIME_LIMIT_S})
        move.ordered_s = time.monotonic()
        if stop.wait(RUNNERS_AFTER_S):
            return
        move.new = [self._start("v2", **(BAD if move.is_bad else {})) for _ in range(RUNNERS)]
        while not stop.wait(POLL_INTERVAL_S):
            self._poll()

    def _poll(self) -> None:
        """Read the state of the order, and stop the old runners once it is completed."""
        stored = self._world.call_store("GET", f"/standin/objects/rollouts/{MOVED}")
        state = (stored["status"] or {}).get("state", "")
        if state in ("completed", "rolled_back") and not self.move.state:
            self.move.state, self.move.closed_s = state, time.monotonic()
            for runner in self.move.old if state == "completed" else ():
                self._world.unregister(runner)
                runner.program.kill()

    def _start(self, version: str, **faults: object) -> SoakRunner:
        runner = self._world.launch_runner(MOVED)
        address = runner.program.addresses["http"]
        if faults:
            call_json(address, "POST", "/standin/faults", faults)
        self._world.put("servers", runner.name, make_entry(MOVED, address, version=version))
        return runner
