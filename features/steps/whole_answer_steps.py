"""Steps of whole_answer.feature."""

import json

from behave import given, then, when

from features.support.calls import call, make_chat
from features.support.gathering import Gathering, run_together
from features.support.operator_files import KEY, MODEL
from features.support.processes import wait_until
from hemlockswitch.standin.answers import join_prompt
from hemlockswitch.standin.verification import check_complete_answer

ZONE = "abdoun-hall"
ENTRY = f"entry-{ZONE}-1"
FIRST = f"engine-{ZONE}-1"
SILENCE_TOKENS = 5


def make_texts(count):
    """Return `count` texts, the first two of which are equal."""
    texts = [f"birthday party package for {number} children" for number in range(count)]
    return [texts[0], *texts[:-1]]


@given("one zone with one entry daemon and {engines:d} engines")
def build_zone(context, engines):
    context.cluster.build(zones=(ZONE,), entries=1, engines=engines)
    context.gathering = Gathering(context.cluster)


@given("the first engine has the fault {fault}")
def set_fault(context, fault):
    context.cluster.set_faults(FIRST, **json.loads(fault))


@given("the first engine is reached through a link")
def add_link(context):
    cluster = context.cluster
    address = cluster.add_link("first", cluster.get(FIRST).addresses["http"])
    cluster.register(FIRST, ZONE, MODEL, address=address)
    cluster.get(ENTRY).stop()
    cluster.launch_entry(ENTRY, ZONE)
    cluster.wait_until_serving(cluster.get(ENTRY))


@when("{count:d} callers stream {tokens:d} tokens at once, two of them with the same text")
def stream_concurrently(context, count, tokens):
    context.gathering.open(make_texts(count), tokens)
    context.gathering.read_some(1)
    context.gathering.finish()


@when(
    "{count:d} callers stream {tokens:d} tokens and the link freezes after 5 tokens and thaws later"
)
def freeze_and_thaw(context, count, tokens):
    cluster, gathering = context.cluster, context.gathering
    gathering.open(make_texts(count), tokens)
    gathering.read_some(SILENCE_TOKENS)
    cluster.set_link("first", freeze="to_caller")
    wait_until(
        lambda: all(one.check.tokens > 2 * SILENCE_TOKENS for one in gathering.streams), "moved on"
    )
    cluster.set_link("first")
    gathering.finish()


@when("{count:d} callers ask for {tokens:d} tokens without streaming")
def request_unstreamed(context, count, tokens):
    address = context.cluster.find_entry()
    headers = {"Authorization": f"Bearer {KEY}"}
    context.asked = [make_chat(MODEL, text, tokens, stream=False) for text in make_texts(count)]
    context.replies = run_together(
        [
            lambda body=body: call(address, "POST", "/v1/chat/completions", body, headers)
            for body in context.asked
        ]
    )


@then("every caller has its own whole answer")
def check_streams(context):
    context.gathering.check_complete()


@then("the first engine was asked")
def check_unstreamed(context):
    stats = context.cluster.read_stats(FIRST)
    assert sum(stats["runs"].values()) + stats["refused"] > 0, stats


@then("every answer that did not stream is whole")
def check_complete(context):
    for body, reply in zip(context.asked, context.replies, strict=True):
        assert reply.status == 200, reply
        prompt = join_prompt(body["messages"])
        problems = check_complete_answer(reply.json, MODEL, prompt, body["max_tokens"])
        assert not problems, problems
        assert reply.json["id"] == reply.headers["x-request-id"]
