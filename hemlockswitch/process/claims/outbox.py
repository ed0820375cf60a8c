"""Claim operations that no caller waits for, retried until they are written."""

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass

from gevent.pool import Pool

from hemlockswitch.core.clock import MS_PER_SECOND, Clock
from hemlockswitch.core.events import Event
from hemlockswitch.core.logs import log_event
from hemlockswitch.process.claims.ledger import GiveBack, Record, Verdict
from hemlockswitch.process.claims.routes import ClaimRoutes
from hemlockswitch.request.claims import Outcome

MAX_PENDING = 1_024
INITIAL_RETRY_PAUSE_MS = 250
MAX_RETRY_PAUSE_MS = 5_000
DELIVERY_TIMEOUT_MS = 600_000


@dataclass(frozen=True)
class Unwritten:
    """An outcome that is not yet stored in the platform, and its call's fingerprint."""

    fingerprint: str
    outcome: Outcome


class ClaimOutbox:
    """Writes outcomes and gives claims back, with a task per operation.

    Explanation
    ===========

    An operation is dropped if too many are waiting or it has waited too long. Its claim then has
    no outcome: a repeated call is answered that the outcome is unknown, and is not dispatched.

    Parameters
    ==========

    routes : routes operations to the platform.
    clock : provides the time.
    retention_ms : returns how long claims are retained; after that, delivery is pointless.
    """

    def __init__(self, routes: ClaimRoutes, clock: Clock, retention_ms: Callable[[], int]) -> None:
        self._routes = routes
        self._clock = clock
        self._retention_ms = retention_ms
        self._tasks = Pool(MAX_PENDING)
        self._unwritten: dict[str, Unwritten] = {}
        self._delivering: Counter[str] = Counter()

    def __len__(self) -> int:
        return len(self._tasks)

    def find(self, digest: str) -> Unwritten | None:
        """Return the unwritten outcome of a key, if there is one."""
        return self._unwritten.get(digest)

    def is_delivering(self, digest: str) -> bool:
        """Return whether an operation on a key's claim is waiting to be written."""
        return digest in self._delivering

    def deliver(self, operation: Record | GiveBack, fingerprint: str = "") -> None:
        """Write an operation in the background, or drop it if too many are waiting."""
        if self._tasks.full():
            log_event(Event.CLAIM_OUTCOME_DROPPED, "warning", key=operation.digest)
            return
        if isinstance(operation, Record):
            self._unwritten[operation.digest] = Unwritten(fingerprint, operation.outcome)
        self._delivering[operation.digest] += 1
        self._tasks.spawn(self._deliver_one, operation)

    def flush(self, timeout_ms: float) -> bool:
        """Wait until all operations are written; return whether they were within the timeout."""
        return bool(self._tasks.join(timeout=timeout_ms / MS_PER_SECOND))

    def stop(self) -> None:
        """Stop the tasks."""
        self._tasks.kill(block=False)

    def _deliver_one(self, operation: Record | GiveBack) -> None:
        try:
            if not self._retry_until_written(operation):
                log_event(Event.CLAIM_OUTCOME_DROPPED, "warning", key=operation.digest)
        finally:
            self._discard(operation)

    def _retry_until_written(self, operation: Record | GiveBack) -> bool:
        until_ms = self._clock.now_ms() + min(DELIVERY_TIMEOUT_MS, self._retention_ms())
        pause_ms = INITIAL_RETRY_PAUSE_MS
        while self._clock.now_ms() < until_ms:
            if self._routes.perform(operation).verdict is Verdict.DONE:
                return True
            self._clock.sleep_ms(pause_ms)
            pause_ms = min(pause_ms * 2, MAX_RETRY_PAUSE_MS)
        return False

    def _discard(self, operation: Record | GiveBack) -> None:
        if isinstance(operation, Record):
            self._unwritten.pop(operation.digest, None)
        self._delivering[operation.digest] -= 1
        if not self._delivering[operation.digest]:
            del self._delivering[operation.digest]
