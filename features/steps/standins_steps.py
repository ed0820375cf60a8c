"""Steps of standins.feature."""

import json
import threading

from behave import given, then, when

from features.support.calls import ChatStream, call, make_chat, post_json
from features.support.operator_files import MODEL
from hemlockswitch.standin.answers import count_words, make_token

TEXT = "a group visit of thirty children on a Sunday in May with lunch and two guides please"


@given('the stand-in engines "{first}" and "{second}"')
def start_engines(context, first, second):
    for name in (first, second):
        context.cluster.launch_engine(name)


def find_address(context, name):
    return context.cluster.get(name).addresses["http"]


@when('"{name}" cuts the connection after {count:d} tokens of an answer of {total:d}')
def cut_answer(context, name, count, total):
    context.cluster.set_faults(name, cut_after_tokens=count, count=1)
    headers = {"X-Request-Id": "s1", "X-Linger-Ms": "10000"}
    context.stream = ChatStream(make_chat(MODEL, TEXT, total), headers)
    context.stream.open(find_address(context, name)).read_all()
    assert context.stream.lost, "the connection was not cut"
    assert context.stream.check.tokens == count


@when('the rest is asked of "{name}" with the {count:d} tokens')
def continue_answer(context, name, count):
    stream = context.stream
    tokens = [make_token(stream.check.seed, index) for index in range(count)]
    stream.body["continue_tokens"] = tokens
    stream.open(find_address(context, name)).read_all()


@when('the rest is asked of "{name}" by the stream\'s id')
def resume_answer(context, name):
    stream = context.stream
    path = f"/v1/streams/s1?from={stream.check.tokens}"
    stream.follow(find_address(context, name), path).read_all()


@when('the KV cache of the stream moves from "{first}" to "{second}"')
def move_cache(context, first, second):
    source = find_address(context, first)
    handle = post_json(source, "/v1/kv/export", {"stream_id": "s1"})["kv_handle"]
    order = {"source": source, "kv_handle": handle}
    moved = post_json(find_address(context, second), "/v1/kv/import", order)
    context.stream.body["kv_handle"] = moved["kv_handle"]


@then("the joined answer is whole")
def check_answer(context):
    assert context.stream.check.list_problems() == [], context.stream.check.list_problems()


@then('"{name}" has recomputed the prompt and {count:d} tokens')
def check_recomputed_prompt(context, name, count):
    wanted = count_words(TEXT) + 1 + count
    assert context.cluster.read_stats(name)["recomputed_tokens"] == wanted


@then('"{name}" has recomputed {count:d} tokens')
def check_recomputed(context, name, count):
    assert context.cluster.read_stats(name)["recomputed_tokens"] == count


@given('the fault {fault} on "{name}"')
def set_fault(context, fault, name):
    context.cluster.set_faults(name, **json.loads(fault))


@when('{count:d} answers of {total:d} tokens are read from "{name}" together')
def read_answers(context, count, total, name):
    address = find_address(context, name)
    context.streams = [
        ChatStream(make_chat(MODEL, f"{TEXT} {index}", total)) for index in range(count)
    ]
    readers = [
        threading.Thread(target=lambda item=item: item.open(address).read_all())
        for item in context.streams
    ]
    for reader in readers:
        reader.start()
    for reader in readers:
        reader.join()


@then("at least one of them is found wrong")
def check_found(context):
    assert any(stream.check.list_problems() for stream in context.streams)


@given("a stand-in service behind a link that loses one answer")
def start_service(context):
    context.cluster.launch_service("service")
    context.address = context.cluster.add_link("link", find_address(context, "service"))
    context.cluster.set_link("link", lose_answer="reset", lose_count=1)


@when('a call with the key "{key}" is sent twice')
def send_calls(context, key):
    context.replies = []
    for _ in range(2):
        try:
            reply = call(context.address, "POST", "/slots", {}, {"Idempotency-Key": key})
        except OSError:
            reply = None
        context.replies.append(reply)


@then("the first has no answer and the second has one")
def check_replies(context):
    first, second = context.replies
    assert first is None
    assert second.status == 200


@then('the service has run "{key}" {count:d} times')
def check_runs(context, key, count):
    assert context.cluster.read_stats("service")["runs_by_key"] == {key: count}
