"""Versions, store and gateways of the rollout replay; see `tests.rollout_replay`."""

import math
from dataclasses import dataclass, field

from hemlockswitch.connection.stored_objects import Conflict, StoredObject, Written
from hemlockswitch.platform.rollouts import ROLLOUT_KIND
from hemlockswitch.process.gateway.rollout_duty import RolloutDuty
from hemlockswitch.process.gateway.rollouts import Rollouts
from hemlockswitch.request.rollout_credit import ExposureBound
from tests.memory_store import MemoryStore

SERVICE = "llm"
BOUND = ExposureBound(0.1, 50)
ROUTES = {"draft": (0.40, 900.0, 0.01), "reply": (0.30, 500.0, 0.02), "note": (0.30, 1_300.0, 0.14)}
"""Share of the requests, duration of an answer in ms, and failure rate of every version, by route."""
RESUMABLE = "reply"
FIRST_MS = 250.0
STEP_MS = 20.0
CHANGE_REPORT_MS = 100.0
REPORT_MS = 2_000.0
TURN_MS = 250.0
BOOT_MS = 4_000.0
LEASE_MS = 4_600.0
ROLLBACK_MS = 5_000.0
BAD_ANSWERS = 50
LOST_SHARE = 0.02
AFTER_MS = 4_000.0
SERVERS = 45


@dataclass(frozen=True)
class Version:
    """Behaviour of the new version.

    Parameters
    ==========

    failing : fraction of its answers that fail.
    slow : factor by which its answers take longer.
    from_ms : time after its start at which it turns bad.
    route : the only route on which it is bad; empty for all.
    """

    failing: float = 0.0
    slow: float = 1.0
    from_ms: float = 0.0
    route: str = ""

    @property
    def is_bad(self):
        return self.failing > 0 or self.slow > 1


VERSIONS = {
    "good": Version(),
    "fails 0.2": Version(failing=0.2),
    "fails 0.5": Version(failing=0.5),
    "slow 3": Version(slow=3.0),
    "slow 8": Version(slow=8.0),
    "late": Version(failing=0.4, from_ms=2_000.0),
    "one route": Version(failing=0.4, route="reply"),
}


@dataclass
class Outcome:
    """Result of a replay."""

    state: str = "running"
    closed_ms: float = math.inf
    most_over: float = -math.inf
    sent: int = 0
    asked: int = 0
    bad: int = 0
    late_sends: int = 0
    cut: int = 0
    resumed: int = 0
    final_changes: int = 0
    reason: str = ""


class Store(MemoryStore):
    """Store with the rollout order and the records of the holder; it may be unavailable."""

    def __init__(self, replay, limit_s):
        super().__init__()
        self.replay = replay
        self.order = StoredObject(
            ROLLOUT_KIND,
            SERVICE,
            5,
            {"service": SERVICE, "to": "v2", "duration_s": limit_s},
            created=5,
        )

    def update_status(self, kind, name, status, version):
        self.check()
        if version != self.order.version:
            return Conflict(self.order.version)
        self.replay.note_state(status["state"])
        self.order = StoredObject(
            kind, name, version + 1, self.order.value, status=status, created=5
        )
        self.replay.show_order()
        return Written(version + 1)


@dataclass
class Gateway:
    """A gateway process."""

    name: str
    rollouts: Rollouts
    duty: RolloutDuty
    frozen_until: float = 0.0
    weight: float = 1.0
    servers: list = field(default_factory=list)
    knows_order: bool = False
