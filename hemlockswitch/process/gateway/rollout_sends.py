"""What one send to a service that moves to another version says of that version."""

from dataclasses import dataclass

from hemlockswitch.core.clock import Clock
from hemlockswitch.process.gateway.rollout_progress import RolloutProgress
from hemlockswitch.request.rollout_verdict import Tally
from hemlockswitch.request.sending import SendTicket

SLOW_FACTOR = 2.0
SLOW_ABOVE_MS = 30.0
"""An answer is slow that begins later than this many times what was predicted, and this much more."""
LONG_FACTOR = 2.5
"""An answer is slow that lasts longer than this many times the mean of its route."""


@dataclass(frozen=True)
class SendLimits:
    """Beyond which times an answer counts as slow.

    Parameters
    ==========

    begin_ms, whole_ms : for its beginning, and for the whole of it; infinite if there is no limit.
    """

    begin_ms: float
    whole_ms: float

    @classmethod
    def from_expected(
        cls, expected_ms: float, usual_ms: float | None, is_cold: bool
    ) -> "SendLimits":
        """Return the limits of a send.

        Parameters
        ==========

        expected_ms : when its answer was predicted to begin.
        usual_ms : how long answers of its route last; None where that is not known.
        is_cold : whether the server has just started, and is slow for that alone.

        Examples
        ========

        >>> SendLimits.from_expected(100.0, 400.0, False)
        SendLimits(begin_ms=230.0, whole_ms=1030.0)
        """
        if is_cold:
            return cls(float("inf"), float("inf"))
        begin_ms = SLOW_FACTOR * expected_ms + SLOW_ABOVE_MS
        if usual_ms is None:
            return cls(begin_ms, float("inf"))
        return cls(begin_ms, max(LONG_FACTOR * usual_ms, begin_ms) + SLOW_ABOVE_MS)


class RolloutSend:
    """One send in progress.

    Parameters
    ==========

    progress : the order under which it was sent.
    is_target : whether it went to the version that is moved to.
    server : the incarnation of the server.
    limits : when its answer counts as slow.
    clock : the time.
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
        self._waits = is_target
        progress.waiting_trials += int(is_target)
        self._is_slow = False
        self._is_answered = False

    def note_answer(self, *, succeeds: bool) -> None:
        """The answer has begun; `succeeds` unless it is a failure."""
        self._is_answered = True
        if succeeds:
            self._count(slow=self._get_age_ms() > self._limits.begin_ms)

    def note_waiting(self) -> None:
        """Count the answer as slow as soon as it is overdue."""
        age_ms = self._get_age_ms()
        limit_ms = self._limits.whole_ms if self._is_answered else self._limits.begin_ms
        if not self.is_over and age_ms > limit_ms:
            self._count(slow=True)

    def end(self, failed: bool) -> None:
        """The send is over; `failed` counts against the server.

        A send that was given up before its answer was overdue says nothing.
        """
        self.note_waiting()
        self._stop_waiting()
        self.is_over = True
        if failed:
            if self._is_answered or self._progress.note_break(self._server, self._clock.now_ms()):
                self._count(failed=True)
        elif self._is_answered:
            self._progress.note_duration(self._route, self._get_age_ms())

    def _stop_waiting(self) -> None:
        """Something is known of the answer, or nothing ever will be."""
        self._progress.waiting_trials -= int(self._waits)
        self._waits = False

    def _count(self, *, failed: bool = False, slow: bool = False) -> None:
        is_new_slow = slow and not self._is_slow
        if self._is_counted and not failed and not is_new_slow:
            return
        self._stop_waiting()
        tally = Tally(0 if self._is_counted else 1, int(failed), int(is_new_slow))
        self._is_counted = True
        self._is_slow = self._is_slow or slow
        self._progress.count_answer(self._route, tally, is_target=self._is_target)

    def _get_age_ms(self) -> float:
        return self._clock.now_ms() - self._began_ms


class ObservedTicket:
    """A send's ticket that also tells the order under which it was sent.

    Parameters
    ==========

    ticket : counts the send in the load.
    send : judges the version by it.
    """

    def __init__(self, ticket: SendTicket, send: RolloutSend) -> None:
        self._ticket = ticket
        self._send = send

    def note_first_event(self, *, succeeds: bool) -> None:
        """The answer has begun."""
        self._send.note_answer(succeeds=succeeds)
        self._ticket.note_first_event(succeeds=succeeds)

    def end(self, failed: bool) -> None:
        """The send is over."""
        self._send.end(failed)
        self._ticket.end(failed)
