"""Steps of traces.feature."""

import json

from behave import given, then, when

from features.support.processes import wait_until

ZONE = "abdoun-hall"
ENTRY = f"entry-{ZONE}-1"
TRACES = ("1" * 32, "2" * 32)
CALLERS_SPAN = "a" * 16
SPANS_OF_A_REQUEST = 4


@given("one zone with one entry daemon that logs its traces")
def build_traced(context):
    cluster = context.cluster
    cluster.build(zones=(ZONE,), entries=0, engines=2)
    cluster.launch_entry(ENTRY, ZONE, traces="log")
    cluster.wait_until_serving(cluster.get(ENTRY))


def read_spans(context, trace_id):
    lines = context.cluster.get(ENTRY).read_log(lines=1_000).splitlines()
    found = [json.loads(line) for line in lines if line.startswith("{") and trace_id in line]
    return [line for line in found if line["event"] == "span_ended"]


def wait_for_spans(context, trace_id, count):
    return wait_until(
        lambda: found if len(found := read_spans(context, trace_id)) >= count else None, "spans"
    )


def make_parent(trace_id):
    return f"00-{trace_id}-{CALLERS_SPAN}-01"


@when("a caller with a trace of its own sends a model request and a service call")
def send_both(context):
    cluster = context.cluster
    stream = cluster.chat("two slots", 5, traceparent=make_parent(TRACES[0])).read_all()
    reply = cluster.call_service("/slots/1", {}, traceparent=make_parent(TRACES[1]))
    context.headers = [stream.reply_headers, reply.headers]


@then("each answer names the caller's trace")
def check_named(context):
    assert [headers["x-trace-id"] for headers in context.headers] == list(TRACES)


@then('each request has the spans "{names}" in the caller\'s trace')
def check_spans(context, names):
    for trace_id in TRACES:
        spans = wait_for_spans(context, trace_id, SPANS_OF_A_REQUEST)
        assert sorted(span["span"] for span in spans) == sorted(names.split(", ")), spans


@then("every span but the first is within the first")
def check_parents(context):
    for trace_id in TRACES:
        spans = read_spans(context, trace_id)
        first = next(span for span in spans if span["span"] == "caller")
        assert first["parent_id"] == CALLERS_SPAN, first
        inner = {span["parent_id"] for span in spans if span is not first}
        assert inner == {first["span_id"]}, spans


@when("each engine cuts off the first request that it gets")
def cut_off(context):
    cluster = context.cluster
    for number in (1, 2):
        cluster.set_faults(f"engine-{ZONE}-{number}", cut_stage="before_answer", count=1)
    cluster.chat("two slots", 5, traceparent=make_parent(TRACES[0])).read_all()


@then('the trace has a "backend" span for each attempt, the first of them failed')
def check_attempts(context):
    def find_attempts():
        spans = read_spans(context, TRACES[0])
        ended = any(span["span"] == "caller" for span in spans)
        return [span for span in spans if span["span"] == "backend"] if ended else None

    attempts = wait_until(find_attempts, "the trace has ended")
    assert len(attempts) >= 2, attempts
    assert "error" in attempts[0] and "error" not in attempts[-1], attempts
    assert attempts[0]["stream_id"] != attempts[1]["stream_id"], attempts
