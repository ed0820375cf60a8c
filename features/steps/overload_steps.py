"""Steps of overload.feature."""

import threading
import time
from dataclasses import dataclass

from behave import given, then, when

from features.support.calls import ChatStream
from features.support.operator_files import MODEL, make_operator_file
from features.support.processes import wait_until

REFUSAL_TIMEOUT_S = 2
FIRST_TOKEN_TIMEOUT_S = 5
MAX_ATTEMPTS = 100


@dataclass
class Burst:
    """One of many concurrent requests, with its last answer and timestamps."""

    stream: ChatStream | None = None
    head_s: float = 0
    first_token_s: float = 0
    refusals: int = 0

    @property
    def error(self):
        return self.stream.reply.json["error"]


@given('1 daemon and 1 engine with {slots:d} slots in "{zone}"')
def start_small_cluster(context, slots, zone):
    cluster = context.cluster
    cluster.launch_platform()
    cluster.launch_engine("engine-1", slots=slots, token_ms=20)
    cluster.register("engine-1", zone, MODEL)
    model = {"name": MODEL, "licensed_copies": 1, "slots_per_copy": slots}
    cluster.apply(make_operator_file((zone,), models=[model]))
    cluster.launch_entries((zone,), 1)
    wait_until(lambda: cluster.chat("warm up", 1).read_all().status == 200, "an answer")
    context.runs_before = count_runs(cluster)


def count_runs(cluster):
    return sum(cluster.read_stats("engine-1")["runs"].values())


def send_one(context, number, tokens, comes_back):
    burst = context.bursts[number]
    for _ in range(MAX_ATTEMPTS if comes_back else 1):
        began = time.monotonic()
        burst.stream = context.cluster.chat(f"question {number}", tokens)
        burst.head_s = time.monotonic() - began
        if burst.stream.status == 200:
            burst.stream.read_tokens(1)
            burst.first_token_s = time.monotonic() - began
            burst.stream.read_all()
            return
        burst.refusals += 1
        time.sleep(burst.error["retry_after_ms"] / 1_000 if comes_back else 0)


def send_burst(context, count, tokens, comes_back):
    context.bursts = [Burst() for _ in range(count)]
    threads = [
        threading.Thread(target=send_one, args=(context, number, tokens, comes_back))
        for number in range(count)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join(60)


@when("{count:d} requests of {tokens:d} tokens come at once")
def send_once(context, count, tokens):
    send_burst(context, count, tokens, comes_back=False)


@when("{count:d} requests of {tokens:d} tokens come at once and come back when told")
def send_until_served(context, count, tokens):
    send_burst(context, count, tokens, comes_back=True)


@then("some are refused as overloaded within 2 s, each with ran no and a time to come back")
def check_refusals(context):
    refused = [one for one in context.bursts if one.stream.status != 200]
    assert 0 < len(refused) < len(context.bursts), f"{len(refused)} of {len(context.bursts)}"
    for one in refused:
        assert one.stream.status == 503 and one.error["kind"] == "overloaded", one.error
        assert one.error["ran"] == "no" and one.error["retry_after_ms"] > 0, one.error
        assert one.head_s < REFUSAL_TIMEOUT_S, one


@then("the engine has run exactly the others")
def check_runs(context):
    answered = sum(one.stream.status == 200 for one in context.bursts)
    assert count_runs(context.cluster) - context.runs_before == answered


@then("no first token came later than 5 s")
def check_first_tokens(context):
    latest = max(one.first_token_s for one in context.bursts)
    assert latest < FIRST_TOKEN_TIMEOUT_S, latest


@then("every one of them is answered whole in the end")
def check_served(context):
    wrong = [one for one in context.bursts if one.stream.check.list_problems()]
    assert not wrong, f"{len(wrong)}: {wrong[:2]}"


@then("the engine has run each of them once")
def check_each_once(context):
    ran = count_runs(context.cluster) - context.runs_before
    refusals = sum(one.refusals for one in context.bursts)
    assert ran == len(context.bursts), f"{ran} runs, {refusals} refusals"
