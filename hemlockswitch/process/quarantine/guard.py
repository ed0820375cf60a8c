"""Blocks requests that crash backend servers; see `request.quarantine`.

`Guard` is consulted before each send and receives its outcome. Its task writes the crashes, and the traits that
cause them, to the object service, so that they survive this daemon, and lists the traits again when the quarantine
of a peer differs.
"""

import math
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

import gevent
from gevent.event import Event as Signal

from hemlockswitch.core.clock import MS_PER_SECOND, Clock
from hemlockswitch.core.errors import ErrorKind, PlatformError, RequestError
from hemlockswitch.core.events import Event
from hemlockswitch.core.logs import log_event
from hemlockswitch.process.quarantine.crash_store import CrashStore
from hemlockswitch.process.quarantine.quarantine_store import (
    HELD_KIND,
    MAX_LIST_LAG_MS,
    QuarantineStore,
    TrialOutcome,
)
from hemlockswitch.process.quarantine.survivors import Survivors
from hemlockswitch.request.clearance import Clearance, CompleteAnswer, Content
from hemlockswitch.request.quarantine import Quarantine, QuarantineStatus
from hemlockswitch.version.backend import BackendServer

QUARANTINE_POLL_INTERVAL_MS = 250.0
"""Upper bound on the delay before a newly quarantined trait is stored."""
TRIAL_PERMISSION_TIMEOUT_MS = 500.0
"""How long a request waits for the permission for its trial before it is refused."""
DIFFERING_LOAD_INTERVAL_MS = 3_000.0
"""Minimum time between two lists because a peer differs; a difference may last until a message arrives."""
DISCONNECTED_LOAD_INTERVAL_MS = 5_000.0
"""Time between two lists while some peers are disconnected, since their messages do not arrive."""
QUARANTINED_LOAD_INTERVAL_MS = 30_000.0
"""Time between two lists while any trait is quarantined: an operator may have released it by hand."""


class CrashDetector(Protocol):
    """Detects crashed backend servers."""

    def has_crashed(self, server: BackendServer, since_ms: float | None = None) -> bool:
        """Return whether a server that closed a connection has crashed."""

    def has_left(self, server: BackendServer, since_ms: float | None = None) -> bool:
        """Return whether a server that was leaving, or is no longer registered, has ended."""

    def record_alive(
        self, server: BackendServer, sent_ms: float, since_ms: float | None = None
    ) -> None:
        """Record that a server has answered a request sent at `sent_ms`."""

    def list_ended(self) -> dict[str, float]:
        """Return the incarnations that have ended, and when that was detected."""

    def withdraw_end(self, incarnation: str) -> None:
        """Withdraw the end of a server that has turned out to be running."""


class QuarantinePeers(Protocol):
    """The peers that also count server crashes."""

    def publish_changes(self) -> None:
        """Publish the changes of this daemon's quarantine."""

    def repair(self) -> None:
        """Send this daemon's records to the peers whose quarantine differs."""

    def has_differing_peer(self) -> bool:
        """Return whether the quarantine of any peer differs from this daemon's."""

    def has_disconnected_peer(self) -> bool:
        """Return whether any peer is disconnected."""


@dataclass
class GuardCounts:
    """The counts of a guard, for metrics.

    Parameters
    ==========

    ends : requests that were in progress on a backend server when it crashed.
    trials : quarantined requests that were sent as a trial.
    held : currently quarantined traits.
    """

    ends: int = 0
    trials: int = 0
    held: int = 0


class Guard:
    """The guard of a daemon's requests; see `request.clearance.RequestGuard`.

    Parameters
    ==========

    quarantine : the records of the traits of requests that crash servers.
    crash_detector : detects crashed servers.
    store : stores the quarantined traits and grants trials.
    crash_store : stores the crashes.
    peers : the daemons that exchange crash counts with this one.
    acts_for_peers : returns whether this daemon also writes and removes stored traits for its peers.
    clock : the time source.
    survivors : finds servers that go on after their ends; None if no heartbeats are known.
    """

    def __init__(
        self,
        quarantine: Quarantine,
        crash_detector: CrashDetector,
        store: QuarantineStore,
        crash_store: CrashStore,
        peers: QuarantinePeers,
        acts_for_peers: Callable[[], bool],
        clock: Clock,
        survivors: Survivors | None = None,
    ) -> None:
        self._survivors = survivors
        self.counts = GuardCounts()
        self._quarantine = quarantine
        self._crash_detector = crash_detector
        self._store = store
        self._crash_store = crash_store
        self._has_crash_to_store = Signal()
        self._peers = peers
        self._acts_for_peers = acts_for_peers
        self._clock = clock
        self._logged_fingerprints: set[str] = set()
        self._is_store_unavailable = False
        self._loaded_ms: float | None = None
        self._first_loaded_ms: float | None = None

    @property
    def is_ready(self) -> bool:
        """Whether the stored quarantine and the stored crashes have been loaded."""
        return self._store.is_loaded and self._crash_store.is_loaded

    @property
    def has_unsaved(self) -> bool:
        """Whether crashes that this daemon saw, or traits that cause them, are not stored yet."""
        stores = (self._store, self._crash_store)
        return any(store.must_save(acts_for_peers=False) for store in stores)

    def clear(self, content: Content, *, may_try: bool) -> Clearance:
        """Return how a request may be sent now, or raise if any of its traits is quarantined."""
        if self._quarantine.is_empty:
            return Clearance.FREE
        status = self._quarantine.judge(_list_traits(content))
        if status.is_quarantined:
            return self._clear_quarantined(status, may_try)
        return Clearance.CAREFUL if status.is_careful else Clearance.FREE

    def must_hold(self, content: Content) -> bool:
        """Return whether any trait of a request is quarantined."""
        if self._quarantine.is_empty:
            return False
        return self._quarantine.judge(_list_traits(content)).is_quarantined

    def _clear_quarantined(self, status: QuarantineStatus, may_try: bool) -> Clearance:
        if may_try and status.trial_in_ms == 0:
            outcome = self._request_trial(status.held)
            log_event(
                Event.QUARANTINE_TRIAL,
                fingerprint=status.held[0],
                beside=list(status.held[1:]),
                trial=self._quarantine.get_record(status.held[0]).trials,
                granted=outcome.is_granted,
                detail=outcome.detail,
            )
            if outcome.is_granted:
                self.counts.trials += 1
                self._peers.publish_changes()
                return Clearance.TRIAL
            status = self._quarantine.judge(status.held)
            if not status.is_quarantined:
                return Clearance.CAREFUL
        raise RequestError(
            ErrorKind.QUARANTINED,
            self._quarantine.explain(status.held),
            retry_after_ms=_compute_retry_after_ms(status),
        )

    def _request_trial(self, traits: tuple[str, ...]) -> TrialOutcome:
        refused = TrialOutcome(False, "the object service did not answer in time")
        try:
            with gevent.Timeout(TRIAL_PERMISSION_TIMEOUT_MS / MS_PER_SECOND, False):
                return self._store.request_trial(traits)
        except PlatformError as error:
            return TrialOutcome(False, error.detail)
        return refused

    def record_broken_connection(
        self, content: Content, server: BackendServer, since_ms: float | None = None
    ) -> bool:
        """Count a closed connection against the traits of its request if the server has crashed.

        The verdict takes connections to the server; it is reached also if the caller leaves meanwhile.
        """
        return gevent.spawn(self._record_if_crashed, content, server, since_ms).get()

    def has_left(self, server: BackendServer, since_ms: float | None = None) -> bool:
        """Return whether a server that closed a connection has ended as announced, which counts against no trait."""
        return gevent.spawn(self._crash_detector.has_left, server, since_ms).get()

    def _record_if_crashed(
        self, content: Content, server: BackendServer, since_ms: float | None
    ) -> bool:
        if not self._crash_detector.has_crashed(server, since_ms):
            return False
        self.counts.ends += 1
        end = self._quarantine.name_end(server.incarnation, since_ms)
        for trait in _list_traits(content):
            self._quarantine.record_crash(trait, end)
        self._has_crash_to_store.set()
        self._publish_changes("own")
        return True

    def record_alive(
        self, server: BackendServer, sent_ms: float, since_ms: float | None = None
    ) -> None:
        """Withdraw the end of a server that has answered a request sent later."""
        self._crash_detector.record_alive(server, sent_ms, since_ms)
        if not self._quarantine.is_empty:
            self._quarantine.record_alive(server.incarnation, sent_ms, since_ms)

    def was_replaced(self, server: BackendServer, since_ms: float) -> bool:
        """Return whether a server has ended before the process that has been running since `since_ms`."""
        incarnation = server.incarnation
        ended_ms = self._crash_detector.list_ended().get(incarnation, math.inf)
        if self._quarantine.has_crash(incarnation):
            ended_ms = min(ended_ms, self._quarantine.list_crashes()[incarnation])
        return ended_ms <= since_ms

    def record_complete_answer(self, content: Content, answer: CompleteAnswer) -> None:
        """Excuse the crashes that a complete answer shows to have other causes.

        An error shows that its content does not crash servers, but nothing about the parts of its prompt. A failure
        of the server (5xx) shows nothing: a failing server answers before it runs a request. An answer excuses
        crashes of other services for the traits that are counted over all services.
        """
        self.record_alive(answer.server, answer.sent_ms, answer.since_ms)
        if answer.is_failure:
            return
        if answer.is_generated:
            self._quarantine.record_answered_parts(content.part_fingerprints)
        if self._quarantine.is_empty:
            return
        traits = _list_traits(content) if answer.is_generated else content.content_fingerprints
        for trait in traits:
            was_accused = self._quarantine.is_accused(trait)
            self._quarantine.record_answer(trait, answer.began_ms)
            if was_accused and not self._quarantine.is_accused(trait):
                self._store.schedule_removal(trait)
        self._publish_changes("own")

    def run(self) -> None:
        """Synchronize the quarantine with the object service and the peers until the task is killed."""
        while True:
            self._has_crash_to_store.clear()
            self.synchronize()
            self._has_crash_to_store.wait(QUARANTINE_POLL_INTERVAL_MS / MS_PER_SECOND)

    def synchronize(self) -> None:
        """Run one synchronization pass: load, write, and evict what is due."""
        if self._is_load_due():
            self._load()
            self._publish_changes("stored")
        if not self._crash_store.is_loaded:
            self._try_store_action(self._crash_store.load)
        self._withdraw_ends()
        acts_for_peers = self._acts_for_peers()
        self._store.untrack_released(acts_for_peers=acts_for_peers)
        if self._store.must_save(acts_for_peers=acts_for_peers):
            self._try_store_action(lambda: self._store.save(acts_for_peers=acts_for_peers))
        if self._crash_store.must_save(acts_for_peers=acts_for_peers):
            self._try_store_action(lambda: self._crash_store.save(acts_for_peers=acts_for_peers))
        self._quarantine.remove_expired()
        self._peers.repair()
        self._publish_changes("told")

    def _withdraw_ends(self) -> None:
        """Withdraw the ends of servers whose entries go on."""
        if self._survivors is None:
            return
        ended = self._quarantine.list_crashes() | self._crash_detector.list_ended()
        for incarnation in self._survivors.find(ended):
            self._crash_detector.withdraw_end(incarnation)
            self._quarantine.excuse_crash(incarnation)

    def _load(self) -> None:
        self._loaded_ms = self._clock.now_ms()
        if self._try_store_action(self._store.load) and self._first_loaded_ms is None:
            self._first_loaded_ms = self._loaded_ms

    def _try_store_action(self, action: Callable[[], None]) -> bool:
        """Return whether the object service answered; a failed action is retried in the next pass."""
        try:
            action()
        except PlatformError as error:
            if not self._is_store_unavailable:
                log_event(Event.WATCH_FAILED, "warning", watch=HELD_KIND, detail=error.detail)
            self._is_store_unavailable = True
            return False
        if self._is_store_unavailable:
            log_event(Event.WATCH_RECOVERED, watch=HELD_KIND)
        self._is_store_unavailable = False
        return True

    def _is_load_due(self) -> bool:
        if self._loaded_ms is None or self._first_loaded_ms is None:
            return True
        if self._store.has_returned:
            return True
        since_ms = self._clock.now_ms() - self._loaded_ms
        if self._loaded_ms - self._first_loaded_ms < MAX_LIST_LAG_MS <= since_ms:
            return True  # The first list may lack writes from the `MAX_LIST_LAG_MS` before it.
        if since_ms >= DIFFERING_LOAD_INTERVAL_MS and self._peers.has_differing_peer():
            return True
        if since_ms >= QUARANTINED_LOAD_INTERVAL_MS and self._logged_fingerprints:
            return True
        return since_ms >= DISCONNECTED_LOAD_INTERVAL_MS and self._peers.has_disconnected_peer()

    def _publish_changes(self, source: str) -> None:
        """Publish the changes, and log the traits that became quarantined or released."""
        if self._quarantine.has_unsent:
            self._peers.publish_changes()
        held = set(self._quarantine.list_quarantined())
        for fingerprint in sorted(held - self._logged_fingerprints):
            record = self._quarantine.get_record(fingerprint)
            log_event(
                Event.REQUEST_QUARANTINED,
                "warning",
                fingerprint=fingerprint,
                ends=list(record.ends),
                trials=record.trials,
                source=source,
            )
        for fingerprint in sorted(self._logged_fingerprints - held):
            reason = self._describe_release(fingerprint)
            log_event(Event.REQUEST_RELEASED, fingerprint=fingerprint, reason=reason)
        self._logged_fingerprints = held
        self.counts.held = len(held)

    def _describe_release(self, fingerprint: str) -> str:
        if self._quarantine.is_accused(fingerprint):
            return "explained"
        return "answered" if self._quarantine.get_record(fingerprint).ends else "forgotten"


def _list_traits(content: Content) -> tuple[str, ...]:
    return (*content.content_fingerprints, *content.part_fingerprints)


def _compute_retry_after_ms(status: QuarantineStatus) -> int:
    """Return the time after which a quarantined request may be tried, or until its record expires."""
    wait_ms = status.trial_in_ms
    return round(
        status.expires_in_ms if wait_ms is None else max(wait_ms, QUARANTINE_POLL_INTERVAL_MS)
    )
