"""Steps of entry_reclaim.feature."""

import json
import threading
import time
from concurrent.futures import ThreadPoolExecutor

from behave import given, then, when

from features.support.calls import call, make_chat, post_json
from features.support.operator_files import (
    ACCOUNT,
    KEY,
    MODEL,
    ZONES,
    make_account,
    make_operator_file,
)
from features.support.processes import wait_until

LIMIT_S = 20
RETRY_S = 0.1
OTHER_KEY = "marka-hall-key"
AUTHORIZATION = {"Authorization": f"Bearer {KEY}"}
UNSTREAMED_TEXT = "a whole answer"
ENTRY_SERVES = "hemlock-entry"


def list_names(text):
    return [name.strip() for name in text.split(",")]


def build(context, entries, engines, **entry_settings):
    cluster = context.cluster
    accounts = [make_account(ACCOUNT, KEY), make_account("marka-hall", OTHER_KEY)]
    cluster.build(entries=0, engines=engines, file=make_operator_file(client_accounts=accounts))
    for number in range(1, entries + 1):
        for zone in ZONES:
            cluster.launch_entry(f"entry-{zone}-{number}", zone, **entry_settings)
    for program in cluster.list_daemons():
        cluster.wait_until_serving(program)
        address = program.addresses["callers"]
        cluster.register(program.name, program.settings["zone"], ENTRY_SERVES, address=address)
    context.streams, context.leaving, context.timers = [], [], []
    context.pool = ThreadPoolExecutor(16)


@given("two zones with {entries:d} entry VMs and {engines:d} engine each")
def build_plain(context, entries, engines):
    build(context, entries, engines)


@given("two zones with {entries:d} entry VMs and {engines:d} engine each and a grace of {ms:d} ms")
def build_with_grace(context, entries, engines, ms):
    build(context, entries, engines, stop_grace_ms=ms)


@given('{count:d} streams of {tokens:d} tokens through "{entry}", each read for {read:d} tokens')
def open_streams(context, count, tokens, entry, read):
    first = len(context.streams)
    opened = [
        context.cluster.chat(f"hall number {first + number}", tokens, entry=entry)
        for number in range(count)
    ]
    context.streams += [stream.read_tokens(read) for stream in opened]
    for stream in opened:
        assert stream.status == 200, stream.reply


@given('a whole answer of {tokens:d} tokens and a service call of {ms:d} ms wait at "{entry}"')
def begin_waiting(context, tokens, ms, entry):
    cluster = context.cluster
    for zone in ZONES:
        cluster.set_faults(f"service-{zone}-1", delay_ms=ms)
    body = make_chat(MODEL, UNSTREAMED_TEXT, tokens, stream=False)
    address = cluster.find_entry(entry)
    context.unstreamed_call = context.pool.submit(
        call, address, "POST", "/v1/chat/completions", body, AUTHORIZATION
    )
    context.service_call = context.pool.submit(
        cluster.call_service, "/confirmations", {"hall": "abdoun"}, entry=entry
    )
    wanted = 2 + len(context.streams)
    wait_until(lambda: read_in_progress(context, entry) >= wanted, "both requests have started")


def read_in_progress(context, entry):
    address = context.cluster.get(entry).addresses["control"]
    return call(address, "GET", "/status").json["requests_in_progress"]


def reclaim(context, names, notice_ms, copies=1):
    body = {"vms": names, "notice_ms": notice_ms, "copies": copies}
    post_json(context.cluster.platform.addresses["http"], "/standin/reclaim", body)
    context.leaving += names
    for name in names:
        # The platform ends the VM when its notice expires, even if work is in progress.
        timer = threading.Timer(notice_ms / 1_000, context.cluster.get(name).kill)
        timer.daemon = True
        timer.start()


@when('"{names}" get a notice of {notice_ms:d} ms')
def give_notice(context, names, notice_ms):
    reclaim(context, list_names(names), notice_ms)


@when('"{names}" get a notice of {notice_ms:d} ms twice')
def give_notice_twice(context, names, notice_ms):
    reclaim(context, list_names(names), notice_ms, copies=2)


@when('"{name}" is told to stop')
def request_stop(context, name):
    context.leaving.append(name)
    context.cluster.get(name).terminate()


@when("every stream has been told to move")
def await_moved(context):
    for stream in context.streams:
        stream.read_all()
        assert was_moved(stream), (stream.named, stream.lost)


@when('"{name}" is killed when the first stream has been told to move')
def kill_during_handover(context, name):
    post_json(
        context.cluster.platform.addresses["http"],
        "/standin/reclaim",
        {"vms": [name], "notice_ms": 2_500},
    )
    context.leaving.append(name)
    context.streams[0].read_all()
    context.cluster.get(name).kill()
    context.notified = []
    for stream in context.streams:
        stream.read_all()
        context.notified.append(was_moved(stream))


@when('"{name}" is killed')
def kill_receiver(context, name):
    context.leaving.append(name)
    context.cluster.get(name).kill()


@then("every caller hears that the fate of its request is unknown")
def check_all_unknown(context):
    for refusal in read_all_to_end(context, context.streams):
        error = json.loads(refusal.body)["error"]
        assert (error["kind"], error["ran"]) == ("unknown_request", "unknown"), error


@when('every stream goes on at "{name}" for {tokens:d} tokens')
def continue_at(context, name, tokens):
    for stream in context.streams:
        stream.read_all()
        stream.resume(context.cluster.find_entry(name))
        assert stream.status == 200, stream.reply
        stream.read_tokens(stream.check.tokens + tokens)


@when("the VMs have ended by themselves")
@then("the VMs have ended by themselves")
def await_ended(context):
    for name in context.leaving:
        assert context.cluster.get(name).wait() == 0, name


def was_moved(stream):
    return any(event.name == "moved" for event in stream.named)


def describe_refused(stream, refusal):
    """Return what a caller saw of a stream before it was refused, for failure reports."""
    return {
        "request": stream.check.request_id,
        "tokens": stream.check.tokens,
        "last event": stream.check.last_event_id,
        "named events": stream.named,
        "lost": [*stream.earlier_losses, stream.lost],
        "refusal": (refusal.status, refusal.body),
    }


def list_serving(context):
    daemons = context.cluster.list_daemons()
    return [item.addresses["callers"] for item in daemons if item.name not in context.leaving]


def read_to_end(context, stream):
    """Read a stream to its end, resuming at the serving daemons in turn, as behind a load balancer.

    Returns the reply if the stream is refused with 404, and None otherwise.
    """
    deadline = time.monotonic() + LIMIT_S
    serving = list_serving(context)
    number = 0
    while not stream.read_all().check.done:
        assert time.monotonic() < deadline, (stream.status, stream.reply, stream.lost)
        stream.reply = None
        stream.resume(serving[number % len(serving)])
        number += 1
        if stream.reply is not None and stream.status == 404:
            return stream.reply
        if stream.reply is not None:
            time.sleep(RETRY_S)
    return None


def read_all_to_end(context, streams):
    return list(context.pool.map(lambda stream: read_to_end(context, stream), streams))


@then("every stream is whole and its own")
def check_streams(context):
    refusals = read_all_to_end(context, context.streams)
    refused = [
        describe_refused(stream, refusal)
        for stream, refusal in zip(context.streams, refusals, strict=True)
        if refusal is not None
    ]
    assert not refused, refused
    for stream in context.streams:
        assert stream.check.list_problems() == [], stream.check
    cut = sum(not was_moved(stream) for stream in context.streams)
    assert cut == 0, f"{cut} of {len(context.streams)} were cut without a moved event"


@then('"{name}" takes no new work and says that nothing ran')
def check_refusal(context, name):
    address = context.cluster.find_entry(name)
    wait_until(lambda: call(address, "GET", "/healthz").status == 503, "healthz 503")
    stream = context.cluster.chat("too late", entry=name)
    error = stream.reply.json["error"]
    assert (stream.status, error["kind"], error["ran"]) == (503, "leaving", "no"), error


@then("the waiting whole answer is fetched elsewhere")
def check_unstreamed_answer(context):
    moved = context.unstreamed_call.result(LIMIT_S)
    error = moved.json["error"]
    assert (moved.status, error["kind"]) == (503, "moved"), moved
    path = f"/v1/requests/{error['request_id']}"
    answer = call(list_serving(context)[0], "GET", path, None, AUTHORIZATION)
    assert answer.status == 200, answer
    assert answer.json["choices"][0]["finish_reason"] == "stop"
    assert answer.json["usage"]["completion_tokens"] == 170, answer.json["usage"]


@then("the service call was answered and ran once")
def check_service_call(context):
    assert context.service_call.result(LIMIT_S).status == 200
    runs = [context.cluster.read_stats(f"service-{zone}-1")["runs"] for zone in ZONES]
    assert sum(runs) == 1, runs


@then("no engine computed a token twice")
def check_recomputed(context):
    stats = [context.cluster.read_stats(f"engine-{zone}-1") for zone in ZONES]
    assert [one["recomputed_tokens"] for one in stats] == [0, 0], stats


@then("another account finds no such request")
def check_other_account(context):
    stream = context.streams[0]
    headers = {
        "Authorization": f"Bearer {OTHER_KEY}",
        "Last-Event-ID": stream.check.last_event_id,
    }
    path = f"/v1/requests/{stream.check.request_id}"
    for address in list_serving(context):
        reply = call(address, "GET", path, None, headers)
        assert reply.status == 404, reply
        assert reply.json["error"]["kind"] == "unknown_request"


@then("every stream that was told to move is whole")
def check_notified_streams(context):
    notified = [
        stream for stream, moved in zip(context.streams, context.notified, strict=True) if moved
    ]
    assert notified
    assert read_all_to_end(context, notified) == [None] * len(notified)
    assert [stream.check.list_problems() for stream in notified] == [[]] * len(notified)


@then("every other stream is whole or its caller hears that its fate is unknown")
def check_unnotified_streams(context):
    others = [
        stream for stream, moved in zip(context.streams, context.notified, strict=True) if not moved
    ]
    for stream, refusal in zip(others, read_all_to_end(context, others), strict=True):
        assert stream.check.problems == []
        if refusal is not None:
            error = json.loads(refusal.body)["error"]
            assert (error["kind"], error["ran"]) == ("unknown_request", "unknown"), error
