"""Checks that an answer is complete and belongs to the caller's request."""

import json
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from typing import Any

from hemlockswitch.standin.answers import make_answer, make_token, seed_answer

DONE = "[DONE]"


@dataclass(frozen=True)
class ServerEvent:
    """A server-sent event: its id, its name (empty for the default one) and its data."""

    identifier: str
    name: str
    data: str


def read_server_events(lines: Iterable[bytes]) -> Iterator[ServerEvent]:
    r"""Yield the events in the lines of a stream; an incomplete last event is dropped.

    Examples
    ========

    >>> list(read_server_events([b"id: r:0\n", b"data: {}\n", b"\n", b"data: x\n"]))
    [ServerEvent(identifier='r:0', name='', data='{}')]
    """
    fields: dict[str, str] = {}
    for line in lines:
        text = line.decode().rstrip("\r\n")
        if text:
            key, _, value = text.partition(":")
            fields[key] = value.removeprefix(" ")
            continue
        if "data" in fields:
            yield ServerEvent(fields.get("id", ""), fields.get("event", ""), fields["data"])
        fields = {}


@dataclass
class AnswerCheck:
    """Checks the streamed answer of a request, over all its connections.

    Explanation
    ===========

    Positions must be 0, 1, 2, ... without gaps or duplicates. Each token must be the one that the
    stand-in's answer has at its position, and all events must have the same request id. The last
    event must have the finish reason ``stop``, and the end mark must follow.

    Parameters
    ==========

    model, prompt, max_tokens : the request; `prompt` as returned by `answers.join_prompt`.

    Examples
    ========

    >>> check = AnswerCheck("m", "user: a", 1)
    >>> check.list_problems()
    ['ended after 0 of 1 tokens', 'no finish_reason', 'no end mark']
    """

    model: str
    prompt: str
    max_tokens: int
    request_id: str = ""
    position: int = 0
    tokens: int = 0
    finish_reason: str | None = None
    done: bool = False
    usage: dict[str, Any] = field(default_factory=dict)
    problems: list[str] = field(default_factory=list)
    seed: int = 0

    def __post_init__(self) -> None:
        self.seed = seed_answer(self.model, self.prompt)

    @property
    def last_event_id(self) -> str:
        """Value of ``Last-Event-ID`` with which a reconnecting caller resumes the stream."""
        return f"{self.request_id}:{self.position - 1}" if self.position else ""

    def check_event(self, event: ServerEvent) -> None:
        """Check an event without a name."""
        if self.done:
            self.problems.append("an event after the end mark")
        if event.data == DONE:
            self.done = True
            return
        self._check_identifier(event.identifier)
        chunk = json.loads(event.data)
        choice = chunk["choices"][0]
        content = choice["delta"].get("content")
        if content:
            self._check_token(content)
        self.finish_reason = choice.get("finish_reason") or self.finish_reason
        self.usage = chunk.get("usage") or self.usage
        self.position += 1

    def _check_identifier(self, identifier: str) -> None:
        request_id, _, position = identifier.rpartition(":")
        self.request_id = self.request_id or request_id
        if request_id != self.request_id:
            self.problems.append(f"an event of {request_id} in the answer of {self.request_id}")
        if position != str(self.position):
            self.problems.append(f"position {position} where {self.position} was due")

    def _check_token(self, content: str) -> None:
        wanted = make_token(self.seed, self.tokens)
        if content != wanted:
            self.problems.append(f"token {self.tokens} is {content!r}, not {wanted!r}")
        self.tokens += 1

    def list_problems(self) -> list[str]:
        """Return all problems of the answer, once it has ended."""
        found = list(self.problems)
        if self.tokens != self.max_tokens:
            found.append(f"ended after {self.tokens} of {self.max_tokens} tokens")
        if self.finish_reason != "stop":
            found.append(f"finish_reason {self.finish_reason}" if self.finish_reason else NO_FINISH)
        if not self.done:
            found.append("no end mark")
        return found


NO_FINISH = "no finish_reason"


def check_complete_answer(
    answer: dict[str, Any], model: str, prompt: str, tokens: int
) -> list[str]:
    """Return all problems of an answer that was not streamed."""
    choice = answer["choices"][0]
    found = []
    if choice["message"]["content"] != make_answer(model, prompt, tokens):
        found.append("the text is not this request's answer")
    if choice["finish_reason"] != "stop":
        found.append(f"finish_reason {choice['finish_reason']}")
    return found
