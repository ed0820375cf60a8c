"""The stand-in engine's batching, orders, load reports and prefix cache, on a manual clock."""

from hemlockswitch.core.clock import ManualClock
from hemlockswitch.standin.answers import hash_prefixes, join_prompt
from hemlockswitch.standin.batch import Phase
from hemlockswitch.standin.cache import PrefixCache
from hemlockswitch.standin.engine import ChatRequest, Engine, EngineSettings, Order

STEP_MS = 20
LONG = " ".join(f"w{index}" for index in range(320))


def make_engine(**settings):
    clock = ManualClock()
    return Engine(EngineSettings(token_ms=STEP_MS, **settings), clock), clock


def begin(engine, text="two slots", max_tokens=4, **headers):
    messages = [{"role": "user", "content": text}]
    request = ChatRequest(model="assistant-llm", messages=messages, max_tokens=max_tokens)
    return engine.begin(request, {name.upper().replace("_", "-"): v for name, v in headers.items()})


def step(engine, clock, count=1):
    for _ in range(count):
        clock.advance(STEP_MS)
        engine.batch.step(clock.now_ms())


def test_slots_limit_running_streams_and_priority_orders_the_queue():
    engine, clock = make_engine(slots=1)
    first, late, urgent = begin(engine), begin(engine), begin(engine, x_priority="0")
    step(engine, clock, 1)
    assert urgent.phase is Phase.RUNNING
    assert (first.phase, late.phase) == (Phase.WAITING, Phase.WAITING)
    step(engine, clock, 4)
    assert (first.phase, late.phase) == (Phase.RUNNING, Phase.WAITING)


def test_prefill_time_depends_on_uncached_prompt_tokens():
    engine, clock = make_engine(prefill_tokens_per_s=8_000)
    first = begin(engine, LONG)
    step(engine, clock, 2)
    assert first.produced == 0
    step(engine, clock, 1)
    assert first.produced == 1
    again = begin(engine, LONG)
    step(engine, clock, 1)
    assert (again.produced, again.cached_tokens) == (1, 320)


def test_stream_past_deadline_is_cancelled_and_frees_its_slot():
    engine, clock = make_engine(slots=1)
    stream = begin(engine, max_tokens=1_000, x_deadline_ms="50", x_request_id="s")
    step(engine, clock, 4)
    assert stream.phase is Phase.CANCELLED
    assert (engine.batch.running, engine.batch.cancelled) == (0, ["s"])


def test_stream_without_reader_lingers_for_requested_time():
    engine, clock = make_engine()
    stream = begin(engine, max_tokens=1_000, x_linger_ms="100", x_request_id="s")
    engine.batch.attach(stream)
    engine.batch.detach(stream)
    step(engine, clock, 4)
    assert stream.phase is Phase.RUNNING
    step(engine, clock, 2)
    assert stream.phase is Phase.CANCELLED
    assert "s" not in engine.batch.streams


def test_stream_without_linger_is_cancelled_with_its_last_reader():
    engine, _ = make_engine()
    stream = begin(engine, x_request_id="s")
    engine.batch.attach(stream)
    engine.batch.detach(stream)
    assert stream.phase is Phase.CANCELLED


def test_stale_orders_are_refused_only_by_engines_that_check():
    for checks in (True, False):
        engine, _ = make_engine(checks_fencing=checks)
        assert engine.apply_order(Order(fencing=7, wanted={}))
        assert engine.apply_order(Order(fencing=6, wanted={})) is not checks
        assert engine.counts.stale_orders_refused == int(checks)
        assert engine.counts.stale_orders_applied == int(not checks)


def test_reported_load_is_the_last_recorded():
    engine, clock = make_engine()
    begin(engine)
    clock.advance(300)
    report = engine.report_load()
    assert (report["waiting"], report["age_ms"]) == (0, 300)
    engine.record_load()
    assert engine.report_load()["waiting"] == 1


def test_cache_events_are_delayed_and_have_gaps():
    clock = ManualClock()
    cache = PrefixCache(64, 500, 3, clock)
    prompt = join_prompt([{"role": "user", "content": " ".join("a" * 95)}])
    cache.store(list(hash_prefixes(prompt)))
    assert cache.list_events(0) == {"events": [], "number": 0}
    clock.advance(500)
    published = cache.list_events(0)
    assert published["number"] == 8
    assert [event["number"] for event in published["events"]] == [1, 2, 4, 5, 7, 8]
    assert cache.used_tokens == 64


def test_continuation_of_another_answer_is_counted():
    engine, _ = make_engine()
    messages = [{"role": "user", "content": "a"}]
    body = {"model": "assistant-llm", "messages": messages, "continue_tokens": ["nobody "]}
    engine.begin(ChatRequest(**body), {})
    assert engine.counts.foreign_continuations == 1
