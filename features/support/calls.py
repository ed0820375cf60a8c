"""HTTP calls of the tests: single JSON or raw calls, and streams read event by event."""

import contextlib
import http.client
import json
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Any

from hemlockswitch.standin.answers import join_prompt
from hemlockswitch.standin.verification import AnswerCheck, ServerEvent, read_server_events

TIMEOUT_S = 20


@dataclass(frozen=True)
class Reply:
    """A complete HTTP answer; header names are in lower case."""

    status: int
    headers: dict[str, str]
    body: bytes

    @property
    def json(self) -> Any:
        """The decoded body."""
        return json.loads(self.body)


def open_call(
    address: str,
    method: str,
    path: str,
    body: Any = None,
    headers: dict[str, str] | None = None,
    timeout_s: float = TIMEOUT_S,
) -> tuple[http.client.HTTPConnection, http.client.HTTPResponse]:
    """Send a request and return its connection and its answer, of which only the head is read."""
    content = body if isinstance(body, bytes | None) else json.dumps(body).encode()
    all_headers = {"Content-Type": "application/json", **(headers or {})}
    connection = http.client.HTTPConnection(address, timeout=timeout_s)
    try:
        connection.request(method, path, content, all_headers)
        return connection, connection.getresponse()
    except BaseException:
        connection.close()
        raise


def call(
    address: str,
    method: str,
    path: str,
    body: Any = None,
    headers: dict[str, str] | None = None,
    timeout_s: float = TIMEOUT_S,
) -> Reply:
    """Return the complete answer to one call; `body` is encoded as JSON unless it is bytes."""
    connection, answer = open_call(address, method, path, body, headers, timeout_s)
    with contextlib.closing(connection):
        return Reply(answer.status, _lower(answer), answer.read())


def _lower(answer: http.client.HTTPResponse) -> dict[str, str]:
    return {name.lower(): value for name, value in answer.getheaders()}


def get_json(address: str, path: str) -> Any:
    """Return the JSON answer of a GET."""
    return call(address, "GET", path).json


def post_json(address: str, path: str, body: Any = None) -> Any:
    """Return the JSON answer of a POST; fail on an error status."""
    reply = call(address, "POST", path, {} if body is None else body)
    if reply.status >= 400:
        raise AssertionError(f"POST {path}: {reply.status} {reply.body!r}")
    return reply.json


def make_chat(model: str, text: str, max_tokens: int, stream: bool = True) -> dict[str, Any]:
    """Return the body of a model request with one message."""
    messages = [{"role": "user", "content": text}]
    return {"model": model, "messages": messages, "max_tokens": max_tokens, "stream": stream}


@dataclass
class ChatStream:
    """A streamed model request and the check of its answer.

    Explanation
    ===========

    Read with `read_tokens` (a number of tokens) or `read_all` (to the end). `named` collects events
    with an event name (``error``, ``moved``). A lost connection is recorded in `lost`, not raised.
    """

    body: dict[str, Any]
    headers: dict[str, str] = field(default_factory=dict)
    status: int = 0
    reply: Reply | None = None
    reply_headers: dict[str, str] = field(default_factory=dict)
    named: list[ServerEvent] = field(default_factory=list)
    lost: str = ""
    earlier_losses: list[str] = field(default_factory=list)

    def __post_init__(self) -> None:
        prompt = join_prompt(self.body["messages"])
        self.check = AnswerCheck(self.body["model"], prompt, self.body["max_tokens"])
        self._events: Iterator[ServerEvent] = iter(())
        self._connection: http.client.HTTPConnection | None = None

    def open(self, address: str, timeout_s: float = TIMEOUT_S) -> "ChatStream":
        """Send the request; an answer that is not a stream is stored in `reply`."""
        opened = open_call(
            address, "POST", "/v1/chat/completions", self.body, self.headers, timeout_s
        )
        return self._follow(*opened)

    def resume(self, address: str, timeout_s: float = TIMEOUT_S) -> "ChatStream":
        """Request the remaining events, with the id of the last received event."""
        self.headers["Last-Event-ID"] = self.check.last_event_id
        return self.follow(address, f"/v1/requests/{self.check.request_id}", timeout_s)

    def follow(self, address: str, path: str, timeout_s: float = TIMEOUT_S) -> "ChatStream":
        """Request the remaining events from a path."""
        if self.lost:
            self.earlier_losses.append(self.lost)
        self.lost = ""
        return self._follow(*open_call(address, "GET", path, None, self.headers, timeout_s))

    def _follow(
        self, connection: http.client.HTTPConnection, answer: http.client.HTTPResponse
    ) -> "ChatStream":
        self._connection = connection
        self.status = answer.status
        self.reply_headers = _lower(answer)
        if not self.reply_headers.get("content-type", "").startswith("text/event-stream"):
            self.reply = Reply(answer.status, self.reply_headers, answer.read())
            return self
        self._events = read_server_events(answer)
        return self

    def read_event(self) -> bool:
        """Read one event; return False at the end of the connection."""
        try:
            event = next(self._events, None)
        except (OSError, http.client.HTTPException) as error:
            self.lost = repr(error)
            return False
        if event is None:
            return False
        if event.name:
            self.named.append(event)
        else:
            self.check.check_event(event)
        return True

    def read_tokens(self, count: int) -> "ChatStream":
        """Read until the answer has `count` tokens or the connection ends."""
        while self.check.tokens < count and self.read_event():
            pass
        return self

    def read_all(self) -> "ChatStream":
        """Read to the end of the connection."""
        while self.read_event():
            pass
        self.close()
        return self

    def close(self) -> None:
        """Close the connection, as a caller does that abandons its request."""
        if self._connection is not None:
            self._connection.close()
