"""Interface through which forwarding reads and writes a wire format.

An adapter implements `Dialect`. It only translates; all decisions are made in forwarding.
"""

from dataclasses import dataclass
from functools import cached_property
from typing import Protocol

import xxhash

from hemlockswitch.connection.heads import Header, ReceivedRequest
from hemlockswitch.connection.message_parsers import ParsedAnswer
from hemlockswitch.core.errors import RequestError

MAX_SHOWN_CHARS = 64
Chain = tuple[tuple[int, int], ...]
"""Prefixes of a prompt as (hash, tokens of the last part), the shortest first."""


@dataclass(frozen=True)
class PromptPart:
    """A part of a prompt that requests may share, and its length in tokens."""

    identifier: str
    tokens: int


@dataclass(frozen=True)
class Prompt:
    """The prompt of a model request, as declared by the request.

    Parameters
    ==========

    parts : the parts in order; the last one is specific to the request or its session.
    input_tokens : length of the complete prompt.
    max_output_tokens : maximum length of the answer.
    """

    parts: tuple[PromptPart, ...] = ()
    input_tokens: int = 0
    max_output_tokens: int = 0

    @cached_property
    def shared_chain(self) -> Chain:
        """The prefixes of the prompt that other requests may share, in order of length.

        Each has a hash of all parts up to its end, and the number of tokens that its last part adds.
        """
        digest = xxhash.xxh32()
        chain = []
        for part in self.shared_parts:
            digest.update(f"{part.identifier}\0".encode())
            chain.append((digest.intdigest(), part.tokens))
        return tuple(chain)

    @property
    def shared_parts(self) -> tuple[PromptPart, ...]:
        """The parts that other requests may contain too."""
        return self.parts[:-1]


@dataclass(frozen=True)
class RequestFacts:
    """Properties parsed from a request.

    Parameters
    ==========

    request_id : the caller's identifier of this attempt.
    host : the requested host, without the port.
    key : the API key of the client account, or None.
    time_left_ms : how long the caller waits; None if the request does not state it.
    prompt : the prompt of a model request, else None.
    last_event_id : the last event of an earlier answer that the caller received; empty if none.
    resumes : identifier of the attempt that brought the first event of the stream that is to go on; empty if
        the request states none.
    """

    request_id: str
    host: str
    key: str | None = None
    time_left_ms: float | None = None
    prompt: Prompt | None = None
    last_event_id: str = ""
    resumes: str = ""

    @property
    def resumes_shown(self) -> str:
        """`resumes` as logs and errors show it, which the caller cannot make long."""
        return self.resumes[:MAX_SHOWN_CHARS]


@dataclass(frozen=True)
class SendFields:
    """Fields that are added to a forwarded request.

    Parameters
    ==========

    server_name : the only backend server that may run the request.
    time_left_ms : time until the caller's deadline.
    account : name of the client account, or empty.
    urgency : 0 is the most urgent.
    last_event_id : the last relayed event, after which the answer is to continue; empty at the start.
    """

    server_name: str
    time_left_ms: float
    account: str = ""
    urgency: int = 0
    last_event_id: str = ""


@dataclass(frozen=True)
class StatedLoad:
    """The load that a backend server states in an answer.

    Parameters
    ==========

    running, waiting : requests in progress there and in its queue.
    slots : requests that it can process at a time.
    pace : factor by which work takes longer than usual at this moment; None if it states none.
    """

    running: int
    waiting: int
    slots: int
    pace: float | None = None


class Dialect(Protocol):
    """Reads and writes the messages of callers and backend servers."""

    def decode_request(self, request: ReceivedRequest) -> RequestFacts:
        """Return the request's properties; raise `RequestError` if it cannot be parsed."""

    def encode_request(
        self, request: ReceivedRequest, facts: RequestFacts, fields: SendFields
    ) -> bytes:
        """Return the bytes to send to a backend server."""

    def inspect_answer(self, answer: ParsedAnswer) -> None:
        """Log the header fields of a backend server's answer that the dialect does not know."""

    def is_answer_to(self, answer: ParsedAnswer, request_id: str) -> bool:
        """Return whether the answer belongs to the request."""

    def states_not_run(self, answer: ParsedAnswer) -> bool:
        """Return whether the answer states that the backend server did not run the request."""

    def is_genuine(self, answer: ParsedAnswer) -> bool:
        """Return whether the answer certainly comes from the backend server itself."""

    def shows_running(self, answer: ParsedAnswer, server_name: str) -> bool:
        """Return whether the answer shows that the named process was running when the request was sent.

        An address outlives its processes, so the answer may come from a later process there.
        """

    def read_load(self, answer: ParsedAnswer) -> StatedLoad | None:
        """Return the load that the answer states; None if it states none, is not the server's own or is malformed."""

    def read_rate_limit(self, answer: ParsedAnswer) -> float | None:
        """Return the requests per second that the backend server takes from all daemons together.

        The result is infinite if the answer states no limit, and None if the answer cannot tell: it is not
        the server's own, or its field is malformed.
        """

    def read_rejection_limit(self, answer: ParsedAnswer) -> float | None:
        """Return after how many rejections in a second the backend server falls over.

        The result is infinite if the answer states none, and None if the answer cannot tell, as in
        `read_rate_limit`.
        """

    def states_leaving(self, answer: ParsedAnswer) -> bool:
        """Return whether the answer is the backend server's own and states that it leaves."""

    def read_rest_ms(self, answer: ParsedAnswer) -> float:
        """Return for how long the backend server wants no requests from this daemon, in ms; 0 if it states none."""

    def select_answer_headers(self, answer: ParsedAnswer) -> list[Header]:
        """Return the headers to relay to the caller."""

    def describe_error(self, error: RequestError, request_id: str) -> "ErrorReply":
        """Return the answer for a request that failed with `error`."""


@dataclass(frozen=True)
class ErrorReply:
    """An error answer generated by this process rather than a backend server."""

    status: int
    reason: str
    headers: tuple[Header, ...]
    body: bytes
