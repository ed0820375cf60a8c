"""State of a generation that this daemon relays, and the interfaces that the relay needs."""

from collections.abc import Callable
from dataclasses import dataclass, field, replace
from typing import Any, Protocol

from hemlockswitch.connection.backends import BackendExchange
from hemlockswitch.core.errors import ErrorKind, Ran, RequestError
from hemlockswitch.request.clearance import Clearance
from hemlockswitch.request.generation import Cause, Generation
from hemlockswitch.request.prefixes import count_tokens, hash_blocks
from hemlockswitch.request.routing import RequestNeeds
from hemlockswitch.version.backend import BackendServer

OUTCOME_UNKNOWN_RETRY_MS = 1_000


class MoveReady(Exception):  # noqa: N818
    """Interrupts the relay of a generation that can now switch to another backend server."""


class HandoverRequested(Exception):  # noqa: N818
    """Interrupts the relay of a generation that another daemon should continue."""


class MovedError(RequestError):
    """Another daemon owns the generation; the caller fetches the remaining answer by its identifier."""

    def __init__(self) -> None:
        super().__init__(ErrorKind.MOVED, "another daemon continues the generation")


class Chooser(Protocol):
    """Chooses a backend server; implemented by the router."""

    def choose(self, needs: RequestNeeds) -> BackendServer:
        """Return the server for `needs`, or raise a `RequestError`."""

    def record_dispatch(self, server_name: str, needs: RequestNeeds) -> int:
        """Record a dispatch to the server; return the estimated uncached tokens."""


class Directory(Protocol):
    """Counts the requests in progress at each backend server."""

    def begin(self, name: str, prompt_tokens: int = 0, max_tokens: int = 0) -> Any:
        """Count a request as in progress and return its ticket."""

    def record_first_token(self, ticket: Any) -> None:
        """Record that the request's prompt has been processed."""

    def end(self, ticket: Any, failed: bool = False) -> None:
        """Count the request as ended."""

    def is_leaving(self, name: str) -> bool:
        """Return whether the server is leaving."""


class RelayObserver(Protocol):
    """Is notified of the relay's progress, for metrics and traces."""

    def choice_began(self, generation: Generation) -> None:
        """Handle the start of the choice of a backend server."""

    def choice_ended(self, generation: Generation, server_name: str) -> None:
        """Handle the end of the choice; the name is empty if no server was chosen."""

    def attempt_began(self, generation: Generation) -> str:
        """Handle the start of an attempt; returns the trace header to send with it."""

    def first_token(self, generation: Generation, waited_ms: float) -> None:
        """Handle the first token for the caller."""

    def attempt_ended(self, generation: Generation, recomputed_tokens: int, reason: str) -> None:
        """Handle the end of an attempt, which processed `recomputed_tokens` tokens repeatedly."""

    def events_dropped(self, count: int) -> None:
        """Handle the drop of late or duplicate events."""


@dataclass
class RunningGeneration:
    """State of a generation that this daemon relays.

    Parameters
    ==========

    generation : the generation.
    needs : what the generation needs of a backend server, before its first token.
    started_ms : clock time at which this daemon began to relay it.
    exchange : the exchange that the relay reads; None between attempts.
    stopped : the error that ends the relay; raised at its next wait.
    excluded : names of the servers on which an attempt was lost.
    attempts : number of attempts by this daemon.
    sent_ms : start time of the current attempt.
    sent : whether any backend server may have begun the generation.
    clearance : the clearance for the last attempt.
    fruitless_attempts : number of attempts that may have run but delivered no token.
    connection_has_token : whether the current connection has delivered a token.
    attempt_has_token : whether the current attempt has delivered a token over any of its connections.
    base_tokens : tokens that the current attempt had to recompute, excluding the prompt.
    kv_handle : the KV cache that the current attempt started with.
    reads_seen, no_reads_since_ms : state of the sweep that detects stalled streams.
    hand_over : set by `request_handover`; returns whether another daemon has taken the generation.
    """

    generation: Generation
    needs: RequestNeeds
    begun_ms: float
    exchange: BackendExchange | None = None
    stopped: BaseException | None = None
    excluded: set[str] = field(default_factory=set)
    attempts: int = 0
    sent_ms: float = 0.0
    sent: bool = False
    clearance: Clearance = Clearance.FREE
    fruitless_attempts: int = 0
    connection_has_token: bool = False
    attempt_has_token: bool = False
    base_tokens: int = 0
    kv_handle: str | None = None
    reads_seen: int = -1
    no_reads_since_ms: float = 0.0
    hand_over: Callable[[Generation], bool] | None = None

    def request_handover(self, hand_over: Callable[[Generation], bool]) -> None:
        """Make the relay call `hand_over` in the relay's task, between two events."""
        self.hand_over = hand_over
        self.interrupt(HandoverRequested())

    def hand_over_if_requested(self) -> None:
        """Carry out a requested handover; raise `MovedError` if another daemon takes the generation."""
        hand_over, self.hand_over = self.hand_over, None
        if hand_over is not None and hand_over(self.generation):
            raise MovedError

    def stop(self, error: BaseException) -> None:
        """Make the relay raise `error` at its next wait."""
        if self.stopped is None:
            self.stopped = error
            self.interrupt(error)

    def interrupt(self, error: BaseException) -> None:
        """Raise `error` in the relay if it is waiting for the backend server."""
        if self.exchange is not None:
            self.exchange.interrupt(error)

    def watch(self, exchange: BackendExchange | None) -> None:
        """Set the exchange that may be interrupted; the request counts as sent from then on."""
        self.exchange = exchange
        self.reads_seen = -1
        self.sent = self.sent or exchange is not None
        if self.stopped is not None:
            self.interrupt(self.stopped)
        elif self.hand_over is not None:
            self.interrupt(HandoverRequested())

    def find_ran(self) -> Ran:
        """Return whether the generation ran, as stated in an answer to the caller."""
        if self.generation.tokens:
            return Ran.YES
        return Ran.UNKNOWN if self.sent else Ran.NO

    def build_needs(self) -> RequestNeeds:
        """Return the needs of the remaining generation, excluding servers that lost an attempt."""
        done = len(self.generation.tokens)
        return replace(
            self.needs,
            prompt_tokens=self.needs.prompt_tokens + done,
            max_tokens=max(self.generation.max_tokens - done, 1),
            priority=0 if done else self.needs.priority,
            exclude=frozenset(self.excluded),
        )

    def build_overdue(self) -> RequestError:
        """Return the error for a request whose deadline has passed."""
        return build_deadline_error(self.find_ran())

    def estimate_recomputed(self) -> int:
        """Return the estimated number of tokens that the current attempt recomputed.

        Used if the engine has not reported the attempt's usage.
        """
        first = self.generation.cause is Cause.FIRST
        if first or not self.attempt_has_token or self.kv_handle is not None:
            return 0
        return self.needs.prompt_tokens + self.base_tokens


def build_needs(generation: Generation) -> RequestNeeds:
    """Return the needs of a generation that has not started."""
    return RequestNeeds(
        target=generation.model,
        prefix_blocks=hash_blocks(generation.prompt),
        prompt_tokens=count_tokens(generation.prompt),
        max_tokens=generation.max_tokens,
        priority=generation.priority,
    )


def build_deadline_error(ran: Ran) -> RequestError:
    """Return the error for a request whose deadline has passed, depending on whether it may have run."""
    if ran is Ran.NO:
        return RequestError(ErrorKind.DEADLINE_BEFORE_DISPATCH, "the deadline passed")
    return RequestError(ErrorKind.DEADLINE_EXCEEDED, "the deadline passed", ran=ran)
