"""The relay: runs a generation to its complete answer, over as many backend servers as needed."""

from collections.abc import Iterator
from typing import Any

from hemlockswitch.connection.caller_server import CallerConnection, CallerGoneError
from hemlockswitch.core.clock import Clock
from hemlockswitch.core.errors import ErrorKind, Ran, RequestError
from hemlockswitch.request.attempt import Attempt, AttemptLostError, AttemptOpener
from hemlockswitch.request.chunks import DONE_EVENT, SEPARATOR, Checked, Verdict, rewrite_usage
from hemlockswitch.request.clearance import CompleteAnswer, RequestGuard, clear_request
from hemlockswitch.request.generation import Cause, Generation
from hemlockswitch.request.retries import Pace, RetryBudget
from hemlockswitch.request.running import (
    OUTCOME_UNKNOWN_RETRY_MS,
    Chooser,
    Directory,
    HandoverRequested,
    MoveReady,
    RelayObserver,
    RunningGeneration,
    build_needs,
)
from hemlockswitch.version.backend import BackendServer

MAX_ATTEMPTS = 16
MAX_FRUITLESS_ATTEMPTS = 4
CONTINUE_WAIT_MS = 5_000.0
CHOICE_POLL_INTERVAL_MS = 50.0
RECLAIM_STARTS_PER_S = 200.0


class Relay:
    """Relays generations and continues them on another server if an attempt is lost.

    Parameters
    ==========

    chooser : chooses backend servers.
    directory : counts the requests in progress at each server.
    opener : opens streams on backend servers.
    budget : limits retries.
    guard : refuses quarantined requests.
    clock : the process's clock.
    observer : is notified of the relay's progress.
    """

    def __init__(
        self,
        chooser: Chooser,
        directory: Directory,
        opener: AttemptOpener,
        budget: RetryBudget,
        guard: RequestGuard,
        clock: Clock,
        observer: RelayObserver,
    ) -> None:
        self._chooser = chooser
        self._directory = directory
        self._opener = opener
        self._budget = budget
        self._guard = guard
        self._clock = clock
        self._observer = observer
        self._pace = Pace(RECLAIM_STARTS_PER_S, clock)
        self.running: dict[str, RunningGeneration] = {}

    def run(
        self, generation: Generation, connection: CallerConnection | None = None
    ) -> Iterator[bytes]:
        """Yield the caller's events until the answer is complete.

        Raises
        ======

        RequestError : the request was given up; the error states whether it ran.
        CallerGoneError : the caller disconnected; the engine was told to cancel the stream.
        """
        running = RunningGeneration(generation, build_needs(generation), self._clock.now_ms())
        running.sent = bool(generation.stream_id)
        self.running[generation.request_id] = running
        if connection is not None:
            connection.watch(lambda: running.stop(CallerGoneError("the caller disconnected")))
        try:
            self._budget.earn()
            yield from self._run_attempts(running)
            yield DONE_EVENT
        finally:
            if connection is not None:
                connection.release()
            del self.running[generation.request_id]

    def _run_attempts(self, running: RunningGeneration) -> Iterator[bytes]:
        generation = running.generation
        cause = generation.cause
        resume = bool(generation.stream_id)
        while not generation.finish_event:
            self._check_stopped(running)
            running.hand_over_if_requested()
            try:
                if not resume:
                    ran = running.find_ran()
                    running.clearance = clear_request(
                        self._guard,
                        generation,
                        running.clearance,
                        is_first=not running.sent,
                        ran=ran,
                    )
                    self._begin_attempt(running, cause)
                yield from self._run_attempt(running, resume)
                cause, resume = Cause.RECLAIM, False
            except HandoverRequested:
                # The engine retains the stream; the daemon that continues it, this one or another,
                # reads it from the next position.
                resume = True
            except AttemptLostError as lost:
                resume = self._may_resume(running, lost)
                if not resume:
                    cause = self._prepare_next_attempt(running, lost)

    def _check_stopped(self, running: RunningGeneration) -> None:
        """Raise if the relay was stopped or the deadline has passed."""
        if running.stopped is not None:
            raise running.stopped
        if self._clock.now_ms() >= running.generation.deadline_ms:
            raise running.build_overdue()

    @staticmethod
    def _may_resume(running: RunningGeneration, lost: AttemptLostError) -> bool:
        """Return whether to resume the stream; only if the lost connection delivered a token."""
        if (
            not lost.resumable
            or not running.connection_has_token
            or running.generation.move is not None
        ):
            return False
        running.connection_has_token = False
        return True

    def _prepare_next_attempt(self, running: RunningGeneration, lost: AttemptLostError) -> Cause:
        """Clean up after a lost attempt, and spend a retry on the next one if it needs one."""
        generation = running.generation
        server = generation.server
        assert server is not None
        running.excluded.add(server.name)
        self._observer.attempt_ended(generation, running.estimate_recomputed(), lost.reason)
        if lost.ran is not Ran.NO or running.attempt_has_token:
            self._guard.record_broken_connection(generation, server)
        if lost.ran is not Ran.NO:
            running.fruitless_attempts += not running.attempt_has_token
            self._opener.cancel(server.address, generation.stream_id)
        if self._directory.is_leaving(server.name):
            self._pace.wait()
            return Cause.RECLAIM
        if running.attempts == 0:
            self._pace.wait()
            return generation.cause
        spent = (
            running.attempts >= MAX_ATTEMPTS or running.fruitless_attempts >= MAX_FRUITLESS_ATTEMPTS
        )
        if spent or not self._spend(running):
            raise self._give_up(running, lost.reason)
        return Cause.FAILURE if generation.tokens else Cause.RETRY

    def _spend(self, running: RunningGeneration) -> bool:
        wait_ms = CONTINUE_WAIT_MS if running.generation.tokens else 0.0
        left_ms = running.generation.deadline_ms - self._clock.now_ms()
        return self._budget.wait(min(wait_ms, left_ms))

    @staticmethod
    def _give_up(running: RunningGeneration, reason: str) -> RequestError:
        ran = running.find_ran()
        if ran is Ran.NO:
            return RequestError(ErrorKind.NO_BACKEND, reason)
        return RequestError(
            ErrorKind.OUTCOME_UNKNOWN, reason, ran=ran, retry_after_ms=OUTCOME_UNKNOWN_RETRY_MS
        )

    def _begin_attempt(self, running: RunningGeneration, cause: Cause) -> None:
        generation = running.generation
        move = generation.move
        self._observer.choice_began(generation)
        chosen = ""
        try:
            server = self._choose(running)
            chosen = server.name
        finally:
            self._observer.choice_ended(generation, chosen)
        prepared = move is not None and move.target.name == server.name
        running.kv_handle = move.kv_handle if move is not None and prepared else None
        generation.begin_attempt(server, cause)
        running.attempts += 1
        running.sent_ms = self._clock.now_ms()
        running.connection_has_token = False
        running.attempt_has_token = False
        running.base_tokens = len(generation.tokens)
        generation.attempt_parent = self._observer.attempt_began(generation)

    def _run_attempt(self, running: RunningGeneration, resume: bool) -> Iterator[bytes]:
        """Run one attempt; returns after the last event or when a move is ready."""
        generation = running.generation
        server = generation.server
        assert server is not None
        uncached_tokens = self._chooser.record_dispatch(server.name, running.needs)
        ticket = self._directory.begin(server.name, uncached_tokens, running.needs.max_tokens)
        failed = False
        sent_before = running.sent
        attempt: Attempt | None = None
        try:
            if resume:
                attempt = self._opener.resume(generation, running.watch)
            else:
                attempt = self._opener.open(generation, running.kv_handle, running.watch)
            yield from self._follow(running, attempt, ticket)
        except AttemptLostError as lost:
            failed = lost.ran is not Ran.NO
            running.sent = sent_before or failed
            raise
        except MoveReady:
            self._end_stream(running)
        except HandoverRequested:
            raise
        except BaseException:
            self._opener.cancel(server.address, generation.stream_id)
            raise
        finally:
            running.watch(None)
            self._directory.end(ticket, failed)
            if attempt is not None:
                attempt.close()

    def _choose(self, running: RunningGeneration) -> BackendServer:
        """Return the prepared target of a move, or choose a server.

        If the request may have run, waits up to `CONTINUE_WAIT_MS` for a server to become available.
        """
        move = running.generation.move
        if move is not None and not self._directory.is_leaving(move.target.name):
            return move.target
        wait_ms = 0.0 if running.find_ran() is Ran.NO else CONTINUE_WAIT_MS
        until_ms = min(self._clock.now_ms() + wait_ms, running.generation.deadline_ms)
        while True:
            try:
                return self._chooser.choose(running.build_needs())
            except RequestError as refusal:
                if self._clock.now_ms() + CHOICE_POLL_INTERVAL_MS > until_ms:
                    raise refusal.replace_ran(running.find_ran()) from refusal
            running.excluded.clear()
            self._clock.sleep_ms(CHOICE_POLL_INTERVAL_MS)
            self._check_stopped(running)

    def _follow(self, running: RunningGeneration, attempt: Attempt, ticket: Any) -> Iterator[bytes]:
        """Yield the checked events of one attempt, joined for each read."""
        generation = running.generation
        head = f"id: {generation.request_id}:".encode()
        while True:
            pieces, invalid = self._check_events(running, attempt, head)
            if pieces:
                if not running.connection_has_token:
                    self._record_token(running, ticket)
                yield pieces[0] if len(pieces) == 1 else b"".join(pieces)
            if invalid:
                raise AttemptLostError(f"the backend server sent an unexpected event: {invalid}")
            if generation.finish_event:
                return
            if generation.move is not None:
                raise MoveReady

    def _check_events(
        self, running: RunningGeneration, attempt: Attempt, head: bytes
    ) -> tuple[list[bytes], str]:
        """Read once; return the caller's events, and the verdict that stopped the check, if any."""
        tokens = running.generation.tokens
        checker = attempt.checker
        pieces: list[bytes] = []
        for event in attempt.read_events():
            position = len(tokens)
            content = checker.match_token(event, position)
            if content is not None:
                tokens.append(content)
                out = (head, position, checker.before_out, content, checker.after_out, SEPARATOR)
                pieces.append(b"%b%d%b%b%b%b" % out)
                continue
            checked = checker.check(event, position)
            if checked.verdict is Verdict.IGNORED:
                self._observer.events_dropped(1)
            elif checked.verdict in (Verdict.TOKEN, Verdict.FINISH):
                event_out = self._record_parsed(running, checked)
                pieces.append(b"%b%d%b%b" % (head, position, event_out, SEPARATOR))
            else:
                return pieces, checked.verdict.value
            if running.generation.finish_event:
                return pieces, ""
        return pieces, ""

    def _record_parsed(self, running: RunningGeneration, checked: Checked) -> bytes:
        """Record a parsed event and return its form for the caller."""
        if checked.verdict is Verdict.FINISH:
            return self._finish(running, checked)
        running.generation.tokens.append(checked.content)
        return checked.event

    def _end_stream(self, running: RunningGeneration) -> None:
        """End the stream on the old server before another one continues from the next position."""
        generation = running.generation
        assert generation.server is not None
        running.excluded.add(generation.server.name)
        self._opener.cancel(generation.server.address, generation.stream_id)
        self._observer.attempt_ended(generation, running.estimate_recomputed(), "moved")

    def _record_token(self, running: RunningGeneration, ticket: Any) -> None:
        """Record the first token of a connection, and that of the complete answer."""
        running.connection_has_token = running.attempt_has_token = True
        self._directory.record_first_token(ticket)
        generation = running.generation
        if generation.first_token_ms is None:
            generation.first_token_ms = self._clock.now_ms()
            self._observer.first_token(generation, generation.first_token_ms - running.begun_ms)

    def _finish(self, running: RunningGeneration, checked: Checked) -> bytes:
        """Record the last event and return its form for the caller."""
        generation = running.generation
        if checked.content:
            generation.tokens.append(checked.content)
        generation.finish_event = rewrite_usage(checked.event, len(generation.tokens))
        if generation.server is not None:
            sent_ms = running.sent_ms
            answer = CompleteAnswer(generation.server, sent_ms, began_ms=sent_ms)
            self._guard.record_complete_answer(generation, answer)
        usage = checked.usage or {}
        recomputed_tokens = int(usage.get("recomputed_tokens") or 0)
        self._observer.attempt_ended(generation, recomputed_tokens, "finished")
        return generation.finish_event
