"""The relay continues after the tokens already relayed, however an attempt fails."""

import json

import pytest

from hemlockswitch.core.clock import ManualClock
from hemlockswitch.core.errors import ErrorKind, Ran, RequestError
from hemlockswitch.request.attempt import AttemptLostError
from hemlockswitch.request.chunks import ChunkChecker
from hemlockswitch.request.generation import Cause, Generation, Move
from hemlockswitch.request.relay import Relay
from hemlockswitch.request.retries import RetryBudget
from hemlockswitch.version.backend import BackendServer
from tests.guards import make_guard

TOTAL = 6
SERVERS = [BackendServer(f"llm-{n}", "z", f"127.0.0.1:{n}", "m") for n in (1, 2, 3)]


class FakeDirectory:
    leaving = frozenset()

    def begin(self, name, prompt_tokens=0, max_tokens=0):
        return name

    def record_first_token(self, ticket):
        pass

    def end(self, ticket, failed=False):
        pass

    def is_leaving(self, name):
        return name in self.leaving


class FakeChooser:
    def __init__(self):
        self.needs = []

    def choose(self, needs):
        self.needs.append(needs)
        for server in SERVERS:
            if server.name not in needs.exclude:
                return server
        raise RequestError(ErrorKind.NO_BACKEND, "none")

    def record_dispatch(self, server_name, needs):
        return needs.prompt_tokens

    def note_cached(self, server_name, needs, cached_tokens):
        pass


class FakeObserver:
    def __init__(self):
        self.ended = []
        self.dropped = 0

    def choice_began(self, generation):
        pass

    def choice_ended(self, generation, server_name):
        pass

    def attempt_began(self, generation):
        return ""

    def first_token(self, generation, waited_ms):
        pass

    def attempt_ended(self, generation, recomputed_tokens, reason):
        self.ended.append((generation.cause, recomputed_tokens))

    def events_dropped(self, count):
        self.dropped += count


class FakeAttempt:
    """Yields the events of a generation from a position on, with scripted faults by position."""

    def __init__(self, generation, start, faults):
        self.checker = ChunkChecker(generation.stream_id, generation.request_id)
        self._events = make_events(generation.stream_id, start, faults)

    def read_events(self):
        item = next(self._events)
        if isinstance(item, Exception):
            raise item
        return [item]

    def close(self):
        pass


def make_events(stream_id, start, faults):
    for position in range(start, TOTAL + 1):
        fault = faults.get(position)
        if isinstance(fault, Exception):
            yield fault
        named = "str-other" if fault == "foreign" else stream_id
        shown = position + 1 if fault == "gap" else position
        last = position == TOTAL
        delta = {} if last else {"content": f"t{position} "}
        choice = {"index": 0, "delta": delta, "finish_reason": "stop" if last else None}
        chunk = {"id": named, "choices": [choice]}
        event = f"id: {named}:{shown}\ndata: {json.dumps(chunk)}".encode()
        yield event
        if fault == "twice":
            yield event


class FakeExchange:
    def interrupt(self, error):
        pass


class FakeOpener:
    """Opens attempts with one script of faults each; attempts after the last script have no faults."""

    def __init__(self, *scripts):
        self.scripts = list(scripts)
        self.opened = []
        self.resumed = []
        self.cancelled = []

    def open(self, generation, kv_handle, watch):
        faults = self.scripts.pop(0) if self.scripts else {}
        if isinstance(faults, Exception):
            raise faults
        watch(FakeExchange())
        self.opened.append((generation.server.name, len(generation.tokens), kv_handle))
        return FakeAttempt(generation, len(generation.tokens), faults)

    def resume(self, generation, watch):
        self.resumed.append(len(generation.tokens))
        faults = self.scripts.pop(0) if self.scripts else {}
        if isinstance(faults, Exception):
            raise faults
        return FakeAttempt(generation, len(generation.tokens), faults)

    def cancel(self, address, stream_id):
        self.cancelled.append(address)


class Bench:
    def __init__(self, *scripts, burst=10.0, guard=None):
        self.clock = guard._clock if guard else ManualClock()
        self.opener = FakeOpener(*scripts)
        self.chooser, self.directory, self.observer = FakeChooser(), FakeDirectory(), FakeObserver()
        budget = RetryBudget(0.1, self.clock, burst=burst)
        self.guard = guard or make_guard(self.clock)
        self.relay = Relay(
            self.chooser,
            self.directory,
            self.opener,
            budget,
            self.guard,
            self.clock,
            self.observer,
        )
        body = json.dumps({"model": "m", "messages": [{"role": "user", "content": "a b"}]})
        self.generation = Generation(
            "req-1", "acct", body.encode(), "m", "user: a b", True, TOTAL, 1, 60_000
        )

    def run(self):
        text = b"".join(self.relay.run(self.generation)).decode()
        events = text.removesuffix("\n\n").split("\n\n")
        assert events.pop() == "data: [DONE]"
        positions = [event.partition("\n")[0] for event in events]
        assert positions == [f"id: req-1:{n}" for n in range(TOTAL + 1)]
        assert self.generation.list_tokens() == [f"t{n} " for n in range(TOTAL)]
        assert not self.relay.running


CUT = AttemptLostError("cut", resumable=True)


def test_single_complete_attempt():
    bench = Bench()
    bench.run()
    assert bench.opener.opened == [("llm-1", 0, None)]


@pytest.mark.parametrize("fault", ["foreign", "gap"])
def test_invalid_event_moves_the_answer_to_another_server(fault):
    bench = Bench({3: fault})
    bench.run()
    assert bench.opener.opened == [("llm-1", 0, None), ("llm-2", 3, None)]
    assert bench.opener.cancelled == ["127.0.0.1:1"]
    assert bench.opener.resumed == []


def test_duplicate_event_is_dropped():
    bench = Bench({3: "twice"})
    bench.run()
    assert bench.observer.dropped == 1
    assert len(bench.opener.opened) == 1


def test_cut_stream_is_resumed_on_its_server():
    bench = Bench({2: CUT}, {4: CUT})
    bench.run()
    assert bench.opener.resumed == [2, 4]
    assert len(bench.opener.opened) == 1


def test_failed_resume_continues_on_another_server():
    bench = Bench({2: CUT}, AttemptLostError("gone", Ran.NO))
    bench.run()
    assert bench.opener.opened == [("llm-1", 0, None), ("llm-2", 2, None)]
    assert bench.observer.ended[-1][0] is Cause.FAILURE


def test_spent_budget_after_send_reports_unknown_outcome():
    bench = Bench({0: CUT}, burst=0.0)
    with pytest.raises(RequestError) as raised:
        bench.run()
    assert raised.value.kind is ErrorKind.OUTCOME_UNKNOWN
    assert raised.value.answer.ran is Ran.UNKNOWN


def test_spent_budget_before_send_reports_not_run():
    bench = Bench(AttemptLostError("refused", Ran.NO), burst=0.0)
    with pytest.raises(RequestError) as raised:
        bench.run()
    assert raised.value.answer.ran is Ran.NO


def test_loss_on_a_leaving_server_costs_no_budget():
    bench = Bench({2: AttemptLostError("reclaimed")}, burst=0.0)
    bench.directory.leaving = frozenset({"llm-1"})
    bench.run()
    assert bench.generation.cause is Cause.RECLAIM


def test_prepared_move_switches_between_two_tokens():
    bench = Bench()
    stream = bench.relay.run(bench.generation)
    text = next(stream) + next(stream)
    bench.generation.move = Move(SERVERS[2], "kv-7")
    text += b"".join(stream)
    assert bench.opener.opened == [("llm-1", 0, None), ("llm-3", 2, "kv-7")]
    assert text.count(b"id: req-1:") == TOTAL + 1


def test_leaving_move_target_is_not_used():
    bench = Bench()
    stream = bench.relay.run(bench.generation)
    next(stream)
    bench.generation.move = Move(SERVERS[2], "kv-7")
    bench.directory.leaving = frozenset({"llm-3"})
    b"".join(stream)
    assert bench.opener.opened[1] == ("llm-2", 1, None)


def test_passed_deadline_is_refused_before_any_send():
    bench = Bench()
    bench.clock.advance(70_000)
    with pytest.raises(RequestError) as raised:
        bench.run()
    assert raised.value.kind is ErrorKind.DEADLINE_BEFORE_DISPATCH
    assert bench.opener.opened == []


def test_fruitless_attempts_are_bounded():
    bench = Bench(*[{0: CUT}] * 20, burst=100.0)
    with pytest.raises(RequestError) as raised:
        bench.run()
    assert raised.value.answer.ran is Ran.UNKNOWN
    assert len(bench.opener.opened) == 4


def test_deadline_while_waiting_for_the_head_reports_unknown():
    bench = Bench()
    running = []

    def wait_for_head(generation, kv_handle, watch):
        watch(FakeExchange())
        running.extend(bench.relay.running.values())
        raise RequestError(ErrorKind.DEADLINE_EXCEEDED, "", ran=running[0].find_ran())

    bench.opener.open = wait_for_head
    with pytest.raises(RequestError) as raised:
        bench.run()
    assert raised.value.answer.ran is Ran.UNKNOWN


def test_disconnected_caller_cancels_the_stream():
    bench = Bench()
    stream = bench.relay.run(bench.generation)
    next(stream)
    stream.close()
    assert bench.opener.cancelled == ["127.0.0.1:1"]
    assert not bench.relay.running


def test_exported_state_continues_at_the_next_position():
    bench = Bench({3: CUT}, AttemptLostError("entry left"), burst=0.0)
    with pytest.raises(RequestError):
        bench.run()
    state = bench.generation.export_state(bench.clock)
    other = Bench()
    other.generation = Generation.from_state(state, other.clock)
    rest = b"".join(other.relay.run(other.generation))
    assert rest.startswith(b"id: req-1:3\n")
    assert other.opener.resumed == [3]
