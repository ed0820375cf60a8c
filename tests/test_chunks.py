"""Engine events are checked against their stream and position before they are relayed."""

import json

import pytest

from hemlockswitch.request.chunks import ChunkChecker, Verdict, rewrite_usage

STREAM, REQUEST = "str-1", "req-1"


def make_event(position, content, stream=STREAM, data_id=None, finish=None, **dump):
    choice = {"index": 0, "delta": {"content": content}, "finish_reason": finish}
    chunk = {"id": data_id or stream, "object": "chat.completion.chunk", "model": "m"}
    chunk["choices"] = [choice]
    return f"id: {stream}:{position}\ndata: {json.dumps(chunk, **dump)}".encode()


@pytest.fixture
def checker():
    checker = ChunkChecker(STREAM, REQUEST, frozenset({"str-0"}))
    assert checker.check(make_event(0, "first "), 0).verdict is Verdict.TOKEN
    return checker


@pytest.mark.parametrize(
    "content", ["plain ", 'quote " ', "back\\slash ", "é ", "\n", "\u2028", ""]
)
@pytest.mark.parametrize("dump", [{}, {"separators": (",", ":")}, {"ensure_ascii": False}])
def test_content_is_relayed_unchanged(checker, content, dump):
    checked = checker.check(make_event(1, content, **dump), 1)
    assert checked.verdict is Verdict.TOKEN
    assert checked.content.decode() == content
    chunk = json.loads(checked.event.removeprefix(b"\ndata: "))
    assert chunk["choices"][0]["delta"]["content"] == content
    assert chunk["id"] == REQUEST


@pytest.mark.parametrize(
    ("event", "verdict"),
    [
        (make_event(0, "again "), Verdict.IGNORED),
        (make_event(2, "gap "), Verdict.INVALID),
        (make_event(1, "late ", stream="str-0"), Verdict.IGNORED),
        (make_event(1, "foreign ", stream="str-9"), Verdict.INVALID),
        (make_event(1, "", finish="cancelled"), Verdict.INVALID),
        (make_event(1, "mixed ", data_id="str-9"), Verdict.INVALID),
        (b"id: str-1:1\ndata: {broken", Verdict.INVALID),
        (b"id: str-1:1\ndata: []", Verdict.INVALID),
        (b"id: str-1:x\ndata: {}", Verdict.INVALID),
        (b"data: no id", Verdict.INVALID),
        (b": keep-alive", Verdict.IGNORED),
        (b"data: [DONE]", Verdict.DONE),
    ],
)
def test_unexpected_events_are_classified(checker, event, verdict):
    assert checker.check(event, 1).verdict is verdict


def test_last_event_is_recognised(checker):
    event = make_event(1, "", finish="stop")
    checked = checker.check(event, 1)
    assert checked.verdict is Verdict.FINISH
    chunk = json.loads(rewrite_usage(checked.event, 7).removeprefix(b"\ndata: "))
    assert chunk["choices"][0]["finish_reason"] == "stop"


def test_usage_counts_the_complete_answer_without_internal_fields():
    chunk = {"id": REQUEST, "usage": {"prompt_tokens": 3, "recomputed_tokens": 9}}
    event = b"\ndata: " + json.dumps(chunk).encode()
    usage = json.loads(rewrite_usage(event, 7).removeprefix(b"\ndata: "))["usage"]
    assert usage == {"prompt_tokens": 3, "completion_tokens": 7, "total_tokens": 10}
