"""Holds back requests under which backend servers end; see `request.quarantine`.

`Guard` is asked before each send and told what became of it. Its task writes what is to outlast this
daemon, and lists it again when other daemons hold back something else.
"""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

import gevent

from hemlockswitch.core.clock import MS_PER_SECOND, Clock
from hemlockswitch.core.errors import ErrorKind, PlatformError, RequestError
from hemlockswitch.core.events import Event
from hemlockswitch.core.logs import log_event
from hemlockswitch.process.quarantine.held_requests import (
    HELD_KIND,
    STALE_MS,
    HeldRequests,
    TrialOutcome,
)
from hemlockswitch.request.clearance import Clearance, Content
from hemlockswitch.request.quarantine import Quarantine, Standing
from hemlockswitch.version.backend import BackendServer

LOOK_MS = 250.0
"""Time between two looks of the task; what is held back is written within it."""
TRIAL_LIMIT_MS = 500.0
"""How long a request may wait for the word that it may be tried; then it is refused."""
LOAD_PAUSE_MS = 3_000.0
"""Least time between two lists for a difference, which may last until a message has come."""
ALONE_PAUSE_MS = 5_000.0
"""Time between two lists while other daemons are missed: their messages are, too."""
HOLDING_PAUSE_MS = 30_000.0
"""Time between two lists while something is held back: an operator may have released it by hand."""


class ServerEnds(Protocol):
    """Finds out which backend servers have ended."""

    def has_ended(self, server: BackendServer) -> bool:
        """Return whether a server that cut a connection has ended without notice."""


class Others(Protocol):
    """The other daemons, as far as they count servers that end."""

    def note_change(self) -> None:
        """Something has changed here that they are to be told."""

    def repair(self) -> None:
        """Tell those that hold back something else what is known here."""

    def differ(self) -> bool:
        """Return whether one of them holds back something else."""

    def are_missed(self) -> bool:
        """Return whether some of them are not in touch."""


@dataclass
class GuardCounts:
    """What a guard counts, for metrics.

    Parameters
    ==========

    ends : requests that were in progress on a backend server when it ended without notice.
    trials : requests that were held back for such ends, and sent as a trial.
    held : contents that are held back now.
    """

    ends: int = 0
    trials: int = 0
    held: int = 0


class Guard:
    """The guard of a daemon's requests; see `request.clearance.RequestGuard`.

    Parameters
    ==========

    quarantine : what is known of the contents under which servers end.
    ends : finds out which servers have ended.
    held : keeps what is held back, and grants trials.
    others : the other daemons.
    is_keeper : returns whether this daemon writes also what others saw.
    clock : the time.
    """

    def __init__(
        self,
        quarantine: Quarantine,
        ends: ServerEnds,
        held: HeldRequests,
        others: Others,
        is_keeper: Callable[[], bool],
        clock: Clock,
    ) -> None:
        self.counts = GuardCounts()
        self._quarantine = quarantine
        self._ends = ends
        self._held = held
        self._others = others
        self._is_keeper = is_keeper
        self._clock = clock
        self._known_held: set[str] = set()
        self._is_store_lost = False
        self._loaded_ms: float | None = None
        self._first_loaded_ms: float | None = None

    @property
    def is_ready(self) -> bool:
        """Whether what earlier daemons held back is known."""
        return self._held.is_loaded

    def clear(self, content: Content, *, may_try: bool) -> Clearance:
        """Return how a request may be sent now, or raise if it is held back."""
        if self._quarantine.is_empty:
            return Clearance.FREE
        standing = self._quarantine.find_standing(content.fingerprint)
        if standing.is_held:
            return self._clear_held(content.fingerprint, standing, may_try)
        return Clearance.CAREFUL if standing.is_careful else Clearance.FREE

    def _clear_held(self, fingerprint: str, standing: Standing, may_try: bool) -> Clearance:
        if may_try and standing.trial_in_ms == 0:
            outcome = self._ask_for_trial(fingerprint)
            trials = self._quarantine.get_record(fingerprint).trials
            log_event(
                Event.QUARANTINE_TRIAL,
                fingerprint=fingerprint,
                trial=trials,
                granted=outcome.is_granted,
                detail=outcome.detail,
            )
            if outcome.is_granted:
                self.counts.trials += 1
                self._others.note_change()
                return Clearance.TRIAL
            standing = self._quarantine.find_standing(fingerprint)
        detail = f"{standing.ends} servers have ended under this content {fingerprint}"
        raise RequestError(ErrorKind.QUARANTINED, detail, retry_after_ms=_find_return_ms(standing))

    def _ask_for_trial(self, fingerprint: str) -> TrialOutcome:
        refused = TrialOutcome(False, "the object service did not answer in time")
        try:
            with gevent.Timeout(TRIAL_LIMIT_MS / MS_PER_SECOND, False):
                return self._held.take_trial(fingerprint)
        except PlatformError as error:
            return TrialOutcome(False, error.detail)
        return refused

    def note_broken(self, content: Content, server: BackendServer) -> bool:
        """A server cut a connection; if it has ended, that counts against what ran there."""
        if not self._ends.has_ended(server):
            return False
        self.counts.ends += 1
        self._quarantine.note_end(content.fingerprint, server.incarnation)
        self._note_change("own")
        return True

    def note_answered(self, content: Content, server: BackendServer, sent_ms: float) -> None:
        """A server has answered completely: neither it nor the content is suspect."""
        if self._quarantine.is_empty:
            return
        self._quarantine.note_alive(server.incarnation, sent_ms)
        if self._quarantine.find_standing(content.fingerprint).is_held:
            self._held.note_released(content.fingerprint)
        self._quarantine.note_answer(content.fingerprint)
        self._note_change("own")

    def run(self) -> None:
        """Keep what is held back, and what other daemons hold back, until the task is ended."""
        while True:
            self.look()
            self._clock.sleep_ms(LOOK_MS)

    def look(self) -> None:
        """Load, compare, write and forget what is due."""
        if self._is_load_due():
            self._load()
            self._note_change("stored")
        is_keeper = self._is_keeper()
        self._held.drop_released(is_keeper=is_keeper)
        if self._held.must_save(is_keeper=is_keeper):
            self._try_store(lambda: self._held.save(is_keeper=is_keeper))
        self._quarantine.forget_old()
        self._others.repair()
        self._note_change("told")

    def _load(self) -> None:
        self._loaded_ms = self._clock.now_ms()
        if self._try_store(self._held.load) and self._first_loaded_ms is None:
            self._first_loaded_ms = self._loaded_ms

    def _try_store(self, act: Callable[[], None]) -> bool:
        """Return whether the object service answered; what was not done is tried at the next look."""
        try:
            act()
        except PlatformError as error:
            if not self._is_store_lost:
                log_event(Event.WATCH_FAILED, "warning", watch=HELD_KIND, detail=error.detail)
            self._is_store_lost = True
            return False
        if self._is_store_lost:
            log_event(Event.WATCH_RECOVERED, watch=HELD_KIND)
        self._is_store_lost = False
        return True

    def _is_load_due(self) -> bool:
        if self._loaded_ms is None or self._first_loaded_ms is None:
            return True
        since_ms = self._clock.now_ms() - self._loaded_ms
        if self._loaded_ms - self._first_loaded_ms < STALE_MS <= since_ms:
            return True  # The first list may have lacked the newest.
        if since_ms >= LOAD_PAUSE_MS and self._others.differ():
            return True
        if since_ms >= HOLDING_PAUSE_MS and self._known_held:
            return True
        return since_ms >= ALONE_PAUSE_MS and self._others.are_missed()

    def _note_change(self, source: str) -> None:
        """Tell what has changed, and log what is held back or released now."""
        if self._quarantine.has_untold:
            self._others.note_change()
        held = set(self._quarantine.list_held())
        for fingerprint in sorted(held - self._known_held):
            record = self._quarantine.get_record(fingerprint)
            log_event(
                Event.REQUEST_QUARANTINED,
                "warning",
                fingerprint=fingerprint,
                ends=list(record.ends),
                trials=record.trials,
                source=source,
            )
        for fingerprint in sorted(self._known_held - held):
            is_known = bool(self._quarantine.get_record(fingerprint).ends)
            reason = "answered" if is_known else "forgotten"
            log_event(Event.REQUEST_RELEASED, fingerprint=fingerprint, reason=reason)
        self._known_held = held
        self.counts.held = len(held)


def _find_return_ms(standing: Standing) -> int:
    """Return after which time a request that is held back may be tried or is forgotten."""
    wait_ms = standing.trial_in_ms
    return round(standing.forgotten_in_ms if wait_ms is None else max(wait_ms, LOOK_MS))
