"""What forwarding needs to read and write of a wire format, without knowing its names.

An adapter implements `Dialect`. It translates and decides nothing.
"""

from dataclasses import dataclass
from functools import cached_property
from typing import Protocol

import xxhash

from hemlockswitch.connection.heads import Header, ReceivedRequest
from hemlockswitch.connection.message_parsers import ParsedAnswer
from hemlockswitch.core.errors import RequestError

Chain = tuple[tuple[int, int], ...]
"""Beginnings of a prompt: (hash, tokens of the last part) each, the shortest first."""


@dataclass(frozen=True)
class PromptPart:
    """A part of a prompt that requests may share, and its size in tokens."""

    identifier: str
    tokens: int


@dataclass(frozen=True)
class Prompt:
    """What a model request declares of its work.

    Parameters
    ==========

    parts : in order; the last one belongs to the request or its session alone.
    input_tokens : size of the whole prompt.
    most_output_tokens : bound of the answer.
    """

    parts: tuple[PromptPart, ...] = ()
    input_tokens: int = 0
    most_output_tokens: int = 0

    @cached_property
    def shared_chain(self) -> Chain:
        """The beginnings of the prompt that others may share, each longer than the one before.

        Each is a hash of all parts up to its end, and the tokens that its last part adds.
        """
        digest = xxhash.xxh32()
        chain = []
        for part in self.shared_parts:
            digest.update(f"{part.identifier}\0".encode())
            chain.append((digest.intdigest(), part.tokens))
        return tuple(chain)

    @property
    def shared_parts(self) -> tuple[PromptPart, ...]:
        """The parts that other requests may have as well."""
        return self.parts[:-1]


@dataclass(frozen=True)
class RequestFacts:
    """What a request says of itself.

    Parameters
    ==========

    request_id : the caller's identifier of this attempt.
    host : the host that it asks for, without a port.
    key : the account's key, or None.
    time_left_ms : how long the caller will wait; None if it does not say.
    prompt : for model requests.
    last_event_id : the last event that the caller has of an earlier answer; empty if none.
    """

    request_id: str
    host: str
    key: str | None = None
    time_left_ms: float | None = None
    prompt: Prompt | None = None
    last_event_id: str = ""


@dataclass(frozen=True)
class SendFields:
    """What this system adds to a request that it sends on.

    Parameters
    ==========

    server_name : the only backend server that may run it.
    time_left_ms : how long the answer is of use.
    account : the client account, or empty.
    urgency : 0 is the most urgent.
    last_event_id : the last event that was relayed, to go on after it; empty at the beginning.
    """

    server_name: str
    time_left_ms: float
    account: str = ""
    urgency: int = 0
    last_event_id: str = ""


@dataclass(frozen=True)
class ReportedSlots:
    """The load that a backend server states in an answer."""

    running: int
    waiting: int
    slots: int


class Dialect(Protocol):
    """Reads and writes the messages of callers and backend servers."""

    def decode_request(self, request: ReceivedRequest) -> RequestFacts:
        """Return what the request says; raise a `RequestError` if it cannot be read."""

    def encode_request(
        self, request: ReceivedRequest, facts: RequestFacts, fields: SendFields
    ) -> bytes:
        """Return the bytes to send to a backend server."""

    def is_answer_to(self, answer: ParsedAnswer, request_id: str) -> bool:
        """Return whether the answer belongs to the request."""

    def states_not_run(self, answer: ParsedAnswer) -> bool:
        """Return whether the backend server says that it did not run the request."""

    def is_genuine(self, answer: ParsedAnswer) -> bool:
        """Return whether the answer is certainly the backend server's own."""

    def read_slots(self, answer: ParsedAnswer) -> ReportedSlots | None:
        """Return the load stated in the answer, if any."""

    def select_answer_headers(self, answer: ParsedAnswer) -> list[Header]:
        """Return the headers that go on to the caller."""

    def describe_error(self, error: RequestError, request_id: str) -> "ErrorReply":
        """Return the answer to a request that failed here."""


@dataclass(frozen=True)
class ErrorReply:
    """An answer of this system's own."""

    status: int
    reason: str
    headers: tuple[Header, ...]
    body: bytes
