"""Faults, call counts and rate limits of the platform stand-in."""

import time
from collections import Counter
from dataclasses import dataclass, field

import gevent
from pydantic import BaseModel, ConfigDict, Field

from hemlockswitch.core.clock import MS_PER_SECOND


class ServiceFaults(BaseModel):
    """Faults of one of the platform's services; an omitted field means no such fault.

    Parameters
    ==========

    mode : ``up``, ``down`` (answers 503), ``refused`` (resets the connection without an answer)
        or ``silent`` (accepts the call and resets the connection long after, unanswered).
    delay_ms : delay of every answer.
    lose_answers : number of writes that take effect but whose answer is lost.
    lose_kinds : object kinds whose writes `lose_answers` applies to; empty means all.
    versions_back : reads are served from this many versions before the latest.
    refuse_starts : number of starts that are refused; -1 means all.
    refuse_zones, refuse_classes : zones and machine classes whose starts are refused; empty
        means all.
    """

    model_config = ConfigDict(extra="forbid")

    mode: str = Field(default="up", pattern="^(up|down|refused|silent)$")
    delay_ms: float = Field(default=0, ge=0)
    lose_answers: int = Field(default=0, ge=0)
    lose_kinds: tuple[str, ...] = ()
    versions_back: int = Field(default=0, ge=0)
    refuse_starts: int = Field(default=0, ge=-1)
    refuse_zones: tuple[str, ...] = ()
    refuse_classes: tuple[str, ...] = ()

    def take_lost_answer(self, kind: str) -> bool:
        """Return whether the answer of this write is lost, and count it if so."""
        if self.lose_answers == 0 or (self.lose_kinds and kind not in self.lose_kinds):
            return False
        self.lose_answers -= 1
        return True

    def take_refused_start(self, zone: str, machine_class: str) -> bool:
        """Return whether this start is refused, and count it if so."""
        fits_zone = not self.refuse_zones or zone in self.refuse_zones
        fits_class = not self.refuse_classes or machine_class in self.refuse_classes
        if self.refuse_starts == 0 or not (fits_zone and fits_class):
            return False
        self.refuse_starts -= int(self.refuse_starts > 0)
        return True


class FaultOrder(BaseModel):
    """The body of ``POST /standin/faults``; the faults of an omitted service do not change."""

    model_config = ConfigDict(extra="forbid")

    objects: ServiceFaults | None = None
    cloud: ServiceFaults | None = None
    vm_list_lag_ms: float | None = None


class RateLimit:
    """A token bucket that holds the calls of one second.

    Examples
    ========

    >>> limit = RateLimit(2)
    >>> [limit.take() for _ in range(3)]
    [True, True, False]
    """

    def __init__(self, calls_per_s: float) -> None:
        self.calls_per_s = calls_per_s
        self._tokens = calls_per_s
        self._filled_at = time.monotonic()

    def take(self) -> bool:
        """Return whether the rate permits another call now, and count it if so."""
        now = time.monotonic()
        filled = self._tokens + (now - self._filled_at) * self.calls_per_s
        self._tokens = min(filled, self.calls_per_s)
        self._filled_at = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


@dataclass
class CallCounts:
    """Counts of calls since the last reset; a long-polling watch counts as one call."""

    started_at: float = field(default_factory=time.monotonic)
    by_role: dict[str, Counter[str]] = field(default_factory=dict)
    by_daemon: dict[str, Counter[str]] = field(default_factory=dict)
    writes_by_kind: Counter[str] = field(default_factory=Counter)
    conflicts_by_kind: Counter[str] = field(default_factory=Counter)
    written_bytes: int = 0
    lost_answers: int = 0
    over_rate: int = 0

    def count(self, role: str, daemon: str, call: str) -> None:
        """Count a call."""
        self.by_role.setdefault(role, Counter())[call] += 1
        self.by_daemon.setdefault(daemon, Counter())[call] += 1

    def render(self) -> dict[str, object]:
        """Return the counts as a JSON-serializable dictionary."""
        return {
            "window_ms": (time.monotonic() - self.started_at) * MS_PER_SECOND,
            "by_role": self.by_role,
            "by_daemon": self.by_daemon,
            "writes_by_kind": self.writes_by_kind,
            "conflicts_by_kind": self.conflicts_by_kind,
            "written_bytes": self.written_bytes,
            "lost_answers": self.lost_answers,
            "over_rate": self.over_rate,
        }


def wait_ms(duration_ms: float) -> None:
    """Sleep for `duration_ms`; returns at once if it is not positive."""
    if duration_ms > 0:
        gevent.sleep(duration_ms / MS_PER_SECOND)
