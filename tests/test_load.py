"""The load generator's caller follows retry advice and checks the answers.

A caller that restarts a moved stream, misses a duplicate token, or repeats a call of unknown
outcome would make the results of a load run worthless.
"""

import json

import pytest
from gevent import monkey

from hemlockswitch.core.clock import SystemClock
from hemlockswitch.standin.answers import make_answer
from hemlockswitch.standin.load_calls import Caller
from hemlockswitch.standin.load_plan import Account, Arrival, CallMix, ChatMix
from hemlockswitch.standin.load_results import Verdict
from hemlockswitch.standin.server import listen

CALLER_TIMEOUT_MS = 10_000
REQUEST_ID = "req-1"


@pytest.fixture(autouse=True, scope="module")
def patched():
    """Make the standard library's client cooperative; the test's server runs in its thread."""
    monkey.patch_all()


def make_arrival(mix, tokens=3):
    account = Account(name="front-desk", key="k")
    return Arrival(0, 0.0, account, mix, "two slots", tokens, 0, 0)


def run_against(answers, arrival):
    """Return the outcome and the requests received by a server that gives these answers."""
    got = []

    def application(environ, start_response):
        got.append(environ)
        status, headers, body = answers[len(got) - 1]
        start_response(status, headers)
        return [body]

    server, address = listen(application, "127.0.0.1:0")
    try:
        return Caller(arrival, (address,), CALLER_TIMEOUT_MS, SystemClock()).run(), got
    finally:
        server.stop()


def make_events(first, last, end=b""):
    """Return a stream's answer with the tokens from position `first` up to `last`, exclusive."""
    words = make_answer("m", "user: two slots", last).split()
    events = b""
    for position in range(first, last):
        delta = {"content": f"{words[position]} "}
        chunk = {"choices": [{"delta": delta, "finish_reason": None}]}
        events += f"id: {REQUEST_ID}:{position}\ndata: {json.dumps(chunk)}\n\n".encode()
    headers = [("Content-Type", "text/event-stream"), ("X-Request-Id", REQUEST_ID)]
    return "200 OK", headers, events + end


def make_end(position):
    chunk = {"choices": [{"delta": {}, "finish_reason": "stop"}]}
    event = f"id: {REQUEST_ID}:{position}\ndata: {json.dumps(chunk)}\n\ndata: [DONE]\n\n"
    return event.encode()


MOVED = b'event: moved\ndata: {"request_id": "req-1", "retry_after_ms": 20}\n\n'
REFUSAL = (
    "503 Service Unavailable",
    [("Retry-After", "1"), ("Content-Type", "application/json")],
    b'{"error": {"kind": "leaving", "ran": "no", "retry_after_ms": 30}}',
)
UNKNOWN = (
    "502 Bad Gateway",
    [("Content-Type", "application/json")],
    b'{"error": {"kind": "outcome_unknown", "ran": "unknown", "retry_after_ms": 0}}',
)


def test_moved_stream_resumes_after_last_event():
    answers = [make_events(0, 2, MOVED), make_events(2, 3, make_end(3))]
    outcome, got = run_against(answers, make_arrival(ChatMix(model="m")))
    assert (outcome.verdict, outcome.moved, outcome.resumed) == (Verdict.WHOLE, 1, 1)
    assert got[1]["PATH_INFO"] == f"/v1/requests/{REQUEST_ID}"
    assert got[1]["HTTP_LAST_EVENT_ID"] == f"{REQUEST_ID}:1"


def test_duplicate_token_is_wrong():
    answers = [make_events(0, 2, MOVED), make_events(1, 3, make_end(3))]
    outcome, _ = run_against(answers, make_arrival(ChatMix(model="m")))
    assert outcome.verdict is Verdict.WRONG


def test_refused_request_is_retried():
    outcome, got = run_against(
        [REFUSAL, make_events(0, 3, make_end(3))], make_arrival(ChatMix(model="m"))
    )
    assert (outcome.verdict, outcome.refusals, len(got)) == (Verdict.WHOLE, ["leaving"], 2)


def test_call_of_unknown_outcome_is_not_retried():
    outcome, got = run_against([UNKNOWN, UNKNOWN], make_arrival(CallMix(keyed=False)))
    assert (outcome.verdict, outcome.ran, len(got)) == (Verdict.FAILED, "unknown", 1)
