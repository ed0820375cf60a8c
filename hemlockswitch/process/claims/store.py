"""The claims of this daemon: dispatches a key's call at most once and retains its answer."""

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Self

import gevent
from gevent.event import AsyncResult

from hemlockswitch.core.clock import MS_PER_SECOND, Clock
from hemlockswitch.core.errors import ErrorKind, Ran, RequestError
from hemlockswitch.core.events import Event
from hemlockswitch.core.identifiers import make_identifier
from hemlockswitch.core.logs import log_event
from hemlockswitch.process.claims.ledger import GiveBack, Place, Record, Result, Verdict
from hemlockswitch.process.claims.objects import Bounds, ObjectService, PartitionObjects
from hemlockswitch.process.claims.outbox import ClaimOutbox
from hemlockswitch.process.claims.routes import (
    OPERATION_TIMEOUT_MS,
    PARTITIONS,
    ClaimPeer,
    ClaimRoutes,
    NoPeers,
    Peers,
    list_no_peers,
)
from hemlockswitch.process.claims.writer import Pace, PartitionWriter, WriterCounts
from hemlockswitch.request.claims import Claim, Outcome, StoredAnswer, digest_key

REPEAT_PAUSES_MS = (100, 200, 400, 800)
CONFLICT_RETRY_MS = 1_000
FULL_RETRY_MS = 30_000
DISPATCH_TERM_MS = 120_000
FRESH_MS = 10_000


@dataclass
class _Running:
    """A call with a key that is running in this daemon."""

    fingerprint: str
    result: AsyncResult = field(default_factory=AsyncResult)


class ClaimStore:
    """Runs the call of each key at most once across all daemons.

    Explanation
    ===========

    The claim is stored in the platform before the call is dispatched, and only the daemon that
    placed the claim dispatches, once. The outcome is written after the caller has its answer. A
    call that cannot be claimed is refused with ``ran: no``; a claim without an outcome is never
    dispatched again. docs/explanation/claims.md compares this design with the alternatives.

    Parameters
    ==========

    holder : identifies this process in its claims.
    routes : routes operations to the platform.
    clock : provides the time.
    retention_ms : returns how long claims are retained.
    has_ended : returns whether the holder of a claim has certainly ended.
    count : called with the outcome of each call's claim.
    """

    def __init__(
        self,
        holder: str,
        routes: ClaimRoutes,
        clock: Clock,
        retention_ms: Callable[[], int],
        has_ended: Callable[[str], bool] = lambda holder: False,
        count: Callable[[str], None] = lambda outcome: None,
    ) -> None:
        self.counts: Counter[str] = Counter()
        self._count_outside = count
        self._holder = holder
        self._routes = routes
        self._clock = clock
        self._retention_ms = retention_ms
        self._has_ended = has_ended
        self._running: dict[str, _Running] = {}
        self._outbox = ClaimOutbox(routes, clock, retention_ms)

    @classmethod
    def from_config(
        cls,
        name: str,
        zone: str,
        platform: ObjectService,
        clock: Clock,
        retention_ms: Callable[[], int],
        *,
        peers: Peers | None = None,
        list_peers: Callable[[], list[ClaimPeer]] = list_no_peers,
        has_ended: Callable[[str], bool] = lambda holder: False,
        count: Callable[[str], None] = lambda outcome: None,
        bounds: Bounds | None = None,
        pace: Pace | None = None,
        writer_counts: WriterCounts | None = None,
    ) -> Self:
        """Return the claim store of a daemon, with a writer for each partition."""
        counts = writer_counts or WriterCounts()
        writers = [
            PartitionWriter(
                PartitionObjects(platform, f"p{number:03d}", bounds or Bounds()),
                clock,
                retention_ms,
                pace or Pace(),
                counts,
            )
            for number in range(PARTITIONS)
        ]
        routes = ClaimRoutes(name, zone, writers, peers or NoPeers(), list_peers, clock)
        holder = make_identifier(name)
        return cls(holder, routes, clock, retention_ms, has_ended, count)

    def run_once(
        self,
        account: str,
        key: str,
        fingerprint: str,
        dispatch: Callable[[], StoredAnswer],
        limit_ms: float = OPERATION_TIMEOUT_MS,
    ) -> StoredAnswer:
        """Return the key's answer, from `dispatch` or from an earlier call.

        Parameters
        ==========

        account, key : keys are scoped to a client account.
        fingerprint : hash of the call's content.
        dispatch : sends the call; called at most once.
        limit_ms : time limit for placing the claim.

        Raises
        ======

        RequestError : `CLAIM_UNAVAILABLE`, nothing was run; `CLAIM_CONFLICT`, another dispatch
            of this key is in progress; `OUTCOME_UNKNOWN`, a dispatch was begun and its outcome
            is unknown; `BAD_REQUEST`, the key was used for a different call; or the error that
            `dispatch` raises.
        """
        digest = digest_key(account, key)
        running = self._running.get(digest)
        if running is not None:
            return self._join(running, fingerprint)
        unwritten = self._outbox.find(digest)
        if unwritten is not None:
            return self._replay(unwritten.fingerprint, unwritten.outcome, fingerprint)
        running = self._running[digest] = _Running(fingerprint)
        try:
            answer = self._claim_and_run(digest, fingerprint, dispatch, limit_ms)
            running.result.set(answer)
            return answer
        except RequestError as error:
            running.result.set_exception(error)
            raise
        finally:
            del self._running[digest]

    def describe(self) -> dict[str, int]:
        """Return the counters of claims, for the status page."""
        return {
            **self.counts,
            "unwritten_outcomes": len(self._outbox),
            "peers": self._routes.count_peers(),
        }

    def flush(self, timeout_ms: float) -> bool:
        """Wait until the outcomes are written; return whether all were within the timeout."""
        return self._outbox.flush(timeout_ms)

    def stop(self) -> None:
        """Stop the tasks; outcomes that are not yet written remain unknown."""
        self._outbox.stop()
        self._routes.stop()

    def _count(self, outcome: str) -> None:
        self.counts[outcome] += 1
        self._count_outside(outcome)

    def _join(self, running: _Running, fingerprint: str) -> StoredAnswer:
        """Wait briefly for a running call with the same key in this daemon."""
        self._check_fingerprint(running.fingerprint, fingerprint)
        self._count("joined")
        try:
            return running.result.get(timeout=sum(REPEAT_PAUSES_MS) / MS_PER_SECOND)
        except gevent.Timeout:
            raise self._make_conflict() from None

    def _claim_and_run(
        self,
        digest: str,
        fingerprint: str,
        dispatch: Callable[[], StoredAnswer],
        limit_ms: float,
    ) -> StoredAnswer:
        began_ms = self._clock.now_ms()
        term_ms = min(DISPATCH_TERM_MS, self._retention_ms())
        claim = Claim.make(fingerprint, self._holder, self._clock.wall_ms(), term_ms)
        result = self._place(
            digest, claim, fingerprint, began_ms + min(limit_ms, OPERATION_TIMEOUT_MS)
        )
        if result.verdict is Verdict.PLACED:
            self._check_fresh(digest, claim, began_ms)
            return self._run(digest, claim, dispatch)
        if result.claim is not None and result.claim.outcome is not None:
            return self._replay(result.claim.fingerprint, result.claim.outcome, fingerprint)
        raise self._refuse(digest, claim, result)

    def _place(self, digest: str, claim: Claim, fingerprint: str, until_ms: float) -> Result:
        """Place a claim, waiting briefly while another dispatch of the key is in progress."""
        for pause_ms in (*REPEAT_PAUSES_MS, 0):
            result = self._routes.perform(Place(digest, claim), until_ms - self._clock.now_ms())
            if result.verdict is not Verdict.STANDING or result.claim is None:
                return result
            self._check_fingerprint(result.claim.fingerprint, fingerprint)
            if result.claim.outcome is not None or self._is_over(digest, result.claim):
                return result
            if self._clock.now_ms() + pause_ms >= until_ms:
                return result
            self._clock.sleep_ms(pause_ms)
        return result

    def _is_over(self, digest: str, claim: Claim) -> bool:
        """Return whether a claim without an outcome is unlikely to get one."""
        if claim.holder == self._holder:
            # In this process only the outbox can still be working on the claim.
            return not self._outbox.is_delivering(digest)
        return self._clock.wall_ms() > claim.ends_wall_ms or self._has_ended(claim.holder)

    def _check_fresh(self, digest: str, claim: Claim, began_ms: float) -> None:
        """Refuse to dispatch if placing the claim took too long.

        A process that was paused may resume after its claim has expired, when a repeated call
        may have placed another claim.
        """
        if self._clock.now_ms() - began_ms <= min(FRESH_MS, self._retention_ms() / 2):
            return
        self._outbox.deliver(GiveBack(digest, claim))
        self._count("unavailable")
        raise RequestError(
            ErrorKind.CLAIM_UNAVAILABLE, "placing the claim of the idempotency key took too long"
        )

    def _run(self, digest: str, claim: Claim, dispatch: Callable[[], StoredAnswer]) -> StoredAnswer:
        self._count("placed")
        try:
            answer = dispatch()
        except RequestError as error:
            if error.answer.ran is Ran.NO:
                self._outbox.deliver(GiveBack(digest, claim))
            else:
                self._record(digest, claim, Outcome.from_error(error))
            raise
        self._record(digest, claim, Outcome.from_answer(answer))
        return answer

    def _record(self, digest: str, claim: Claim, outcome: Outcome) -> None:
        self._outbox.deliver(Record(digest, claim.claim_id, outcome), claim.fingerprint)

    def _replay(self, stored_fingerprint: str, outcome: Outcome, fingerprint: str) -> StoredAnswer:
        self._check_fingerprint(stored_fingerprint, fingerprint)
        self._count("replayed")
        return outcome.replay()

    def _refuse(self, digest: str, claim: Claim, result: Result) -> RequestError:
        """Return the refusal of a call whose claim was not placed."""
        if result.verdict is Verdict.STANDING and result.claim is not None:
            if not self._is_over(digest, result.claim):
                return self._make_conflict()
            self._count("unknown")
            log_event(Event.CLAIM_OUTCOME_UNKNOWN, "warning", claim=result.claim.claim_id)
            detail = "a call with this idempotency key was begun and its outcome is unknown"
            return RequestError(ErrorKind.OUTCOME_UNKNOWN, detail)
        self._count("unavailable")
        if result.verdict is Verdict.FULL:
            log_event(Event.CLAIM_PARTITION_FULL, "warning")
            detail = "no room for another claim of an idempotency key"
            return RequestError(ErrorKind.CLAIM_UNAVAILABLE, detail, retry_after_ms=FULL_RETRY_MS)
        if result.verdict is Verdict.UNCERTAIN:
            self._outbox.deliver(GiveBack(digest, claim))
        return RequestError(ErrorKind.CLAIM_UNAVAILABLE, "the idempotency key could not be claimed")

    def _make_conflict(self) -> RequestError:
        self._count("conflict")
        detail = "another call with this idempotency key is in progress"
        return RequestError(ErrorKind.CLAIM_CONFLICT, detail, retry_after_ms=CONFLICT_RETRY_MS)

    @staticmethod
    def _check_fingerprint(stored_fingerprint: str, fingerprint: str) -> None:
        if stored_fingerprint != fingerprint:
            detail = "the idempotency key was already used for a different call"
            raise RequestError(ErrorKind.BAD_REQUEST, detail)
