"""Classification of the send attempts to a service during a rollout, to judge the new version."""

from dataclasses import dataclass

from hemlockswitch.core.clock import Clock
from hemlockswitch.process.gateway.rollout_progress import RolloutProgress
from hemlockswitch.request.forwarding_view import SendTicket
from hemlockswitch.request.rollout_verdict import Tally

SLOW_FACTOR = 2.0
SLOW_OFFSET_MS = 30.0
"""An answer is slow if it begins later than this multiple of the predicted time plus this offset."""
LONG_FACTOR = 2.5
"""An answer is slow if it lasts longer than this multiple of the mean duration on its route."""


@dataclass(frozen=True)
class SendLimits:
    """Times after which an answer counts as slow; infinite if there is no limit.

    Parameters
    ==========

    begin_ms : limit for the start of the answer.
    complete_ms : limit for the complete answer.
    """

    begin_ms: float
    complete_ms: float

    @classmethod
    def from_expected(
        cls, expected_ms: float, mean_ms: float | None, is_cold: bool
    ) -> "SendLimits":
        """Return the limits of a send attempt.

        Parameters
        ==========

        expected_ms : predicted time until the answer begins.
        mean_ms : mean duration of answers on the route; None if none has been measured.
        is_cold : whether the server is slow because it has just started; its answers have no limits.

        Examples
        ========

        >>> SendLimits.from_expected(100.0, 400.0, False)
        SendLimits(begin_ms=230.0, complete_ms=1030.0)
        """
        if is_cold:
            return cls(float("inf"), float("inf"))
        begin_ms = SLOW_FACTOR * expected_ms + SLOW_OFFSET_MS
        if mean_ms is None:
            return cls(begin_ms, float("inf"))
        return cls(begin_ms, max(LONG_FACTOR * mean_ms, begin_ms) + SLOW_OFFSET_MS)


class RolloutAttempt:
    """A send attempt in progress.

    Parameters
    ==========

    progress : progress of the order that is open for the service.
    is_target : whether the attempt goes to the target version of the order.
    server : the incarnation of the server.
    limits : times after which the answer counts as slow.
    clock : source of the current time.
    """

    def __init__(
        self,
        progress: RolloutProgress,
        route: str,
        is_target: bool,
        server: str,
        limits: SendLimits,
        clock: Clock,
    ) -> None:
        self.is_over = False
        self._progress = progress
        self._route = route
        self._is_target = is_target
        self._server = server
        self._limits = limits
        self._clock = clock
        self._began_ms = clock.now_ms()
        self._is_counted = False
        self._is_pending = is_target
        progress.pending_trials += int(is_target)
        self._is_slow = False
        self._is_answered = False

    def record_answer(self, *, succeeds: bool) -> None:
        """Record that the answer has begun; `succeeds` is false if it reports a failure."""
        self._is_answered = True
        if succeeds:
            self._count(slow=self._get_age_ms() > self._limits.begin_ms)

    def check_overdue(self) -> None:
        """Count the answer as slow if it is overdue."""
        age_ms = self._get_age_ms()
        limit_ms = self._limits.complete_ms if self._is_answered else self._limits.begin_ms
        if not self.is_over and age_ms > limit_ms:
            self._count(slow=True)

    def end(self, failed: bool) -> None:
        """Record that the attempt has ended; `failed` counts against the server.

        An attempt that was abandoned before its answer was overdue is not counted.
        """
        self.check_overdue()
        self._resolve_trial()
        self.is_over = True
        if failed:
            if self._is_answered or self._progress.record_break(self._server, self._clock.now_ms()):
                self._count(failed=True)
        elif self._is_answered:
            self._progress.record_duration(self._route, self._get_age_ms())

    def _resolve_trial(self) -> None:
        """Remove the attempt from the trials without a result."""
        self._progress.pending_trials -= int(self._is_pending)
        self._is_pending = False

    def _count(self, *, failed: bool = False, slow: bool = False) -> None:
        is_new_slow = slow and not self._is_slow
        if self._is_counted and not failed and not is_new_slow:
            return
        self._resolve_trial()
        tally = Tally(0 if self._is_counted else 1, int(failed), int(is_new_slow))
        self._is_counted = True
        self._is_slow = self._is_slow or slow
        self._progress.count_answer(self._route, tally, is_target=self._is_target)

    def _get_age_ms(self) -> float:
        return self._clock.now_ms() - self._began_ms


class RolloutTicket:
    """Send ticket that also reports the result to the rollout order.

    Parameters
    ==========

    ticket : counts the attempt in the server's load.
    send : counts the attempt in the rollout.
    """

    def __init__(self, ticket: SendTicket, attempt: RolloutAttempt) -> None:
        self._ticket = ticket
        self._attempt = attempt

    def record_first_event(self, *, succeeds: bool) -> None:
        """Record that the answer has begun."""
        self._attempt.record_answer(succeeds=succeeds)
        self._ticket.record_first_event(succeeds=succeeds)

    def end(self, failed: bool) -> None:
        """Record that the attempt has ended."""
        self._attempt.end(failed)
        self._ticket.end(failed)
