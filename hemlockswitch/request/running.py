"""A generation while this daemon relays it, and what the relay needs from other layers."""

from collections.abc import Callable
from dataclasses import dataclass, field, replace
from typing import Any, Protocol

from hemlockswitch.connection.backends import BackendExchange
from hemlockswitch.core.errors import ErrorKind, Ran, RequestError
from hemlockswitch.request.clearance import Clearance
from hemlockswitch.request.generation import Cause, Generation
from hemlockswitch.request.prefixes import count_tokens, hash_blocks
from hemlockswitch.request.routing import Need
from hemlockswitch.version.backend import BackendServer

OUTCOME_UNKNOWN_RETRY_MS = 1_000


class MoveReady(Exception):  # noqa: N818
    """Wakes a relay whose generation may switch to another backend server."""


class HandoverRequested(Exception):  # noqa: N818
    """Wakes a relay whose generation another daemon is to go on with."""


class MovedError(RequestError):
    """Another daemon owns the generation; the caller comes back for the rest with its id."""

    def __init__(self) -> None:
        super().__init__(ErrorKind.MOVED, "another daemon goes on with it")


class Chooser(Protocol):
    """Who chooses a backend server; the router."""

    def choose(self, need: Need) -> BackendServer:
        """Return the server for `need`, or raise a refusal."""

    def note_dispatch(self, server_name: str, need: Need) -> int:
        """Note that `need` goes to the server; return the tokens it has to compute."""


class Directory(Protocol):
    """Who counts the requests in progress at each backend server."""

    def begin(self, name: str, prompt_tokens: int = 0, max_tokens: int = 0) -> Any:
        """Count a request as in progress and return its ticket."""

    def note_first_token(self, ticket: Any) -> None:
        """Note that its prompt is computed."""

    def end(self, ticket: Any, failed: bool = False) -> None:
        """Count it as over."""

    def is_leaving(self, name: str) -> bool:
        """Return whether the server is leaving."""


class RelayObserver(Protocol):
    """Who hears what the relay does; metrics and traces."""

    def choice_began(self, generation: Generation) -> None:
        """A backend server is being chosen."""

    def choice_ended(self, generation: Generation, server_name: str) -> None:
        """It was chosen; the name is empty when none was."""

    def attempt_began(self, generation: Generation) -> str:
        """An attempt is about to be sent; returns the trace header that goes with it."""

    def first_token(self, generation: Generation, waited_ms: float) -> None:
        """The caller's first token is here."""

    def attempt_ended(self, generation: Generation, recomputed_tokens: int, reason: str) -> None:
        """An attempt is over; `recomputed_tokens` had been computed before."""

    def events_dropped(self, count: int) -> None:
        """Late or doubled events were dropped."""


@dataclass
class Running:
    """A generation while this daemon relays it.

    Parameters
    ==========

    exchange : what the relay reads now; None between attempts.
    stopped : why the relay must end; raised at its next wait.
    excluded : servers that lost this generation.
    sent_ms : when the attempt in progress began.
    sent : whether any backend server may have begun it.
    clearance : how it may be sent, as decided before the last attempt.
    fruitless : attempts that may have run and brought no token.
    own_token : whether the connection in progress brought a token.
    brought_token : whether the attempt in progress did, over all its connections.
    base_tokens : tokens that the attempt in progress had to recompute, its prompt aside.
    kv_handle : the KV cache that it began with.
    reads_seen, quiet_since_ms : kept by the sweep that looks for silent streams.
    hand_over : asked for by `request_handover`; returns whether another daemon owns it now.
    """

    generation: Generation
    need: Need
    begun_ms: float
    exchange: BackendExchange | None = None
    stopped: BaseException | None = None
    excluded: set[str] = field(default_factory=set)
    attempts: int = 0
    sent_ms: float = 0.0
    sent: bool = False
    clearance: Clearance = Clearance.FREE
    fruitless: int = 0
    own_token: bool = False
    brought_token: bool = False
    base_tokens: int = 0
    kv_handle: str | None = None
    reads_seen: int = -1
    quiet_since_ms: float = 0.0
    hand_over: Callable[[Generation], bool] | None = None

    def request_handover(self, hand_over: Callable[[Generation], bool]) -> None:
        """Make the relay call `hand_over` in its own task, between two events."""
        self.hand_over = hand_over
        self.interrupt(HandoverRequested())

    def hand_over_if_asked(self) -> None:
        """Raise `MovedError` when another daemon has taken the generation."""
        hand_over, self.hand_over = self.hand_over, None
        if hand_over is not None and hand_over(self.generation):
            raise MovedError

    def stop(self, error: BaseException) -> None:
        """Make the relay raise `error` at its next wait."""
        if self.stopped is None:
            self.stopped = error
            self.interrupt(error)

    def interrupt(self, error: BaseException) -> None:
        """Raise `error` where the relay waits for the backend server, if it does."""
        if self.exchange is not None:
            self.exchange.interrupt(error)

    def watch(self, exchange: BackendExchange | None) -> None:
        """Keep the exchange that may be interrupted; by then the request was sent."""
        self.exchange = exchange
        self.reads_seen = -1
        self.sent = self.sent or exchange is not None
        if self.stopped is not None:
            self.interrupt(self.stopped)
        elif self.hand_over is not None:
            self.interrupt(HandoverRequested())

    def state_ran(self) -> Ran:
        """Return what an answer may say of whether the generation ran."""
        if self.generation.tokens:
            return Ran.YES
        return Ran.UNKNOWN if self.sent else Ran.NO

    def build_need(self) -> Need:
        """Return what the rest needs now, leaving out the servers that lost the generation."""
        done = len(self.generation.tokens)
        return replace(
            self.need,
            prompt_tokens=self.need.prompt_tokens + done,
            max_tokens=max(self.generation.max_tokens - done, 1),
            priority=0 if done else self.need.priority,
            exclude=frozenset(self.excluded),
        )

    def build_overdue(self) -> RequestError:
        """Return the answer to a request whose deadline has passed."""
        return build_deadline_error(self.state_ran())

    def estimate_recomputed(self) -> int:
        """Return the tokens that the attempt in progress computed again, without its usage."""
        first = self.generation.cause is Cause.FIRST
        if first or not self.brought_token or self.kv_handle is not None:
            return 0
        return self.need.prompt_tokens + self.base_tokens


def build_need(generation: Generation) -> Need:
    """Return what the router must know of a generation that has not begun."""
    return Need(
        target=generation.model,
        prefix_blocks=hash_blocks(generation.prompt),
        prompt_tokens=count_tokens(generation.prompt),
        max_tokens=generation.max_tokens,
        priority=generation.priority,
    )


def build_deadline_error(ran: Ran) -> RequestError:
    """Return the error of a request whose deadline has passed, by whether it may have run."""
    if ran is Ran.NO:
        return RequestError(ErrorKind.DEADLINE_BEFORE_DISPATCH, "the deadline passed")
    return RequestError(ErrorKind.DEADLINE_EXCEEDED, "the deadline passed", ran=ran)
