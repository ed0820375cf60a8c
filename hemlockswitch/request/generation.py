"""State of an accepted model request: its prompt, the relayed tokens, and the current attempt."""

import json
from dataclasses import dataclass, field
from enum import StrEnum
from functools import cached_property
from typing import Any, Self

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from hemlockswitch.core.clock import Clock
from hemlockswitch.core.errors import ErrorKind, RequestError
from hemlockswitch.core.identifiers import make_identifier
from hemlockswitch.request.fingerprint import hash_call
from hemlockswitch.version.backend import BackendServer
from hemlockswitch.version.settings import describe_mistakes


class Cause(StrEnum):
    """Reason for an attempt; recomputed tokens are counted by it."""

    FIRST = "first"
    RECLAIM = "reclaim"
    FAILURE = "failure"
    HANDOVER = "handover"
    RETRY = "retry"


class Message(BaseModel):
    """One message of a chat; additional fields are passed to the engine unchanged."""

    model_config = ConfigDict(extra="allow", frozen=True)

    role: str = Field(min_length=1, max_length=64)
    content: str


class ChatRequest(BaseModel):
    """The validated body of a model request; additional fields are passed to the engine unchanged."""

    model_config = ConfigDict(extra="allow", frozen=True, strict=True)

    model: str = Field(min_length=1, max_length=63)
    messages: list[Message] = Field(min_length=1)
    max_tokens: int | None = Field(default=None, gt=0)
    stream: bool = False

    @classmethod
    def from_body(cls, body: bytes) -> Self:
        """Parse and validate a caller's body.

        Raises
        ======

        RequestError : `BAD_REQUEST` with the path of each invalid field.
        """
        try:
            return cls.model_validate_json(body)
        except ValidationError as error:
            raise RequestError(ErrorKind.BAD_REQUEST, describe_mistakes(error)) from error

    @property
    def prompt(self) -> str:
        """The text of all messages."""
        return "\n".join(f"{message.role}: {message.content}" for message in self.messages)


@dataclass(frozen=True)
class GenerationState:
    """Serializable state (msgpack) from which another daemon can continue a generation."""

    request_id: str
    account: str
    body: bytes
    tokens: tuple[bytes, ...]
    priority: int
    deadline_wall_ms: int
    max_tokens: int
    stream_id: str
    server: str
    server_address: str
    finish_event: bytes = b""
    trace_parent: str = ""


@dataclass(frozen=True)
class Move:
    """A prepared switch to another backend server."""

    target: BackendServer
    kv_handle: str | None


@dataclass
class Generation:
    """One accepted model request.

    Parameters
    ==========

    tokens : the contents of all relayed tokens, in order; the number of them is the next position.
    server : the backend server of the current attempt.
    move : set when another backend server is ready to continue.
    trace_parent, attempt_parent : trace headers of the caller and of the attempt.
    finish_event : the last event, set when the answer is complete.
    earlier_ids : stream ids of earlier attempts.
    hops : number of attempts to hand the generation over; of two copies the one with more is newer.
    """

    request_id: str
    account: str
    body: bytes
    model: str
    prompt: str
    stream: bool
    max_tokens: int
    priority: int
    deadline_ms: float
    trace_parent: str = ""
    attempt_parent: str = ""
    tokens: list[bytes] = field(default_factory=list)
    stream_id: str = ""
    server: BackendServer | None = None
    move: Move | None = None
    finish_event: bytes = b""
    cause: Cause = Cause.FIRST
    earlier_ids: set[str] = field(default_factory=set)
    first_token_ms: float | None = None
    hops: int = 0

    @cached_property
    def fingerprint(self) -> str:
        """Hash of the request's content, identical for each attempt at any daemon."""
        return hash_call((self.account, self.model), self.body)

    @property
    def content_fingerprints(self) -> tuple[str, ...]:
        """The fingerprint of the content."""
        return (self.fingerprint,)

    @property
    def part_fingerprints(self) -> tuple[str, ...]:
        """Empty: callers of the own interface do not declare the parts of their prompts."""
        return ()

    def begin_attempt(self, server: BackendServer, cause: Cause) -> str:
        """Assign a new stream id for an attempt on `server` and return it."""
        if self.stream_id:
            self.earlier_ids.add(self.stream_id)
        self.stream_id = make_identifier("str")
        self.server = server
        self.cause = cause
        self.move = None
        return self.stream_id

    def list_tokens(self) -> list[str]:
        """Return the relayed tokens as text, the form that engines accept."""
        return [token.decode("utf-8", "surrogatepass") for token in self.tokens]

    def build_body(self, kv_handle: str | None = None) -> bytes:
        """Return the request body of the next attempt, which always requests a stream."""
        body: dict[str, Any] = json.loads(self.body)
        body["stream"] = True
        body["max_tokens"] = self.max_tokens
        if self.tokens:
            body["continue_tokens"] = self.list_tokens()
        if kv_handle is not None:
            body["kv_handle"] = kv_handle
        return json.dumps(body).encode()

    def join_answer(self) -> dict[str, Any]:
        """Return the complete answer for a request that did not request a stream."""
        last = json.loads(self.finish_event.removeprefix(b"\ndata: "))
        message = {"role": "assistant", "content": "".join(self.list_tokens())}
        choice = {
            "index": 0,
            "message": message,
            "finish_reason": last["choices"][0]["finish_reason"],
        }
        answer = {**last, "object": "chat.completion", "choices": [choice]}
        return answer

    def export_state(self, clock: Clock) -> GenerationState:
        """Return the state from which another daemon can continue the generation."""
        return GenerationState(
            request_id=self.request_id,
            account=self.account,
            body=self.body,
            tokens=tuple(self.tokens),
            priority=self.priority,
            deadline_wall_ms=int(clock.wall_ms() + self.deadline_ms - clock.now_ms()),
            max_tokens=self.max_tokens,
            stream_id=self.stream_id,
            server=self.server.name if self.server else "",
            server_address=self.server.address if self.server else "",
            finish_event=self.finish_event,
            trace_parent=self.trace_parent,
        )

    @classmethod
    def from_state(cls, state: GenerationState, clock: Clock) -> Self:
        """Return the generation described by `state`, to be continued by this daemon."""
        chat = ChatRequest.from_body(state.body)
        server = None
        if state.server:
            server = BackendServer(state.server, "", state.server_address, chat.model)
        return cls(
            request_id=state.request_id,
            account=state.account,
            body=state.body,
            model=chat.model,
            prompt=chat.prompt,
            stream=chat.stream,
            max_tokens=state.max_tokens,
            priority=state.priority,
            deadline_ms=clock.now_ms() + state.deadline_wall_ms - clock.wall_ms(),
            trace_parent=state.trace_parent,
            tokens=[bytes(token) for token in state.tokens],
            stream_id=state.stream_id,
            server=server,
            finish_event=state.finish_event,
            cause=Cause.HANDOVER,
        )
