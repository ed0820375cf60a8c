"""The end of a stream that has begun: complete, with an error, or moved to another daemon."""

import json

import pytest

from hemlockswitch.connection.intake import CallerRequest
from hemlockswitch.core.clock import ManualClock
from hemlockswitch.core.errors import ErrorKind, RequestError
from hemlockswitch.process.serving import Serving
from hemlockswitch.request.generation import Generation
from hemlockswitch.request.running import MovedError


class FakeRelay:
    def __init__(self, end):
        self.end = end
        self.closed = False

    def run(self, generation, connection):
        try:
            yield b"first"
            if self.end is not None:
                raise self.end
        finally:
            self.closed = True


class FakeRecord:
    ended = False

    def __enter__(self):
        return self

    def __exit__(self, *error):
        self.ended = True


def open_stream(end, replay=b""):
    relay, record = FakeRelay(end), FakeRecord()
    serving = Serving(relay, None, None, ManualClock())
    generation = Generation("req-1", "acct", b"{}", "m", "p", True, 4, 1, 60_000)
    answer = serving.answer(generation, CallerRequest("req-1", "POST", "/"), record, replay)
    return answer.body, relay, record


@pytest.mark.parametrize(
    ("end", "event", "key"),
    [
        (MovedError(), b"event: moved", "request_id"),
        (RequestError(ErrorKind.OUTCOME_UNKNOWN, "lost"), b"event: error", "error"),
    ],
)
def test_premature_end_is_reported_as_the_last_event(end, event, key):
    body, _, record = open_stream(end)
    first, last = list(body)
    assert (first, last.partition(b"\n")[0]) == (b"first", event)
    assert key in json.loads(last.partition(b"data: ")[2])
    assert record.ended


def test_complete_answer_is_unchanged():
    body, _, record = open_stream(None)
    assert list(body) == [b"first"]
    assert record.ended


@pytest.mark.parametrize("replay", [b"", b"replayed"])
def test_immediately_disconnected_caller_ends_the_record(replay):
    body, relay, record = open_stream(None, replay)
    body.close()
    assert record.ended
    assert relay.closed or replay


def test_replayed_events_come_first():
    body, _, _ = open_stream(None, b"replayed")
    assert list(body) == [b"replayed", b"first"]
