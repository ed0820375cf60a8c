"""Steps of bad_callers.feature."""

import json
import socket

from behave import given, then, when

from features.support.calls import make_chat
from features.support.gathering import Gathering
from features.support.operator_files import (
    ACCOUNT,
    KEY,
    MODEL,
    make_account,
    make_operator_file,
)
from features.support.processes import wait_until

ZONE = "abdoun-hall"
ENTRY, ENGINE = f"entry-{ZONE}-1", f"engine-{ZONE}-1"
SMALL_BUFFER_BYTES = 4_096


@given("one zone with one entry daemon and an engine that works on one request at a time")
def build_single_engine_cluster(context):
    context.cluster.build(zones=(ZONE,), entries=1, engine_settings={"slots": 1})


@given("one zone whose entry daemon waits {timeout_ms:d} ms for a caller, and a fast engine")
def build_with_caller_timeout(context, timeout_ms):
    cluster = context.cluster
    cluster.launch_platform()
    cluster.launch_engine(ENGINE, token_ms=1, slots=32)
    cluster.register(ENGINE, ZONE, MODEL)
    models = [{"name": MODEL, "licensed_copies": 8, "max_tokens": 5_000}]
    accounts = [make_account(ACCOUNT, KEY, tokens_per_second=10_000_000)]
    cluster.apply(make_operator_file((ZONE,), models=models, client_accounts=accounts))
    cluster.launch_entry(ENTRY, ZONE, caller_timeout_ms=timeout_ms)
    cluster.wait_until_serving(cluster.get(ENTRY))
    context.gathering = Gathering(cluster)


@when(
    "{count:d} callers stream {tokens:d} tokens and {leavers:d} of them go away after {after:d} tokens"
)
def disconnect_early(context, count, tokens, leavers, after):
    texts = [f"treatment history {number}" for number in range(count)]
    context.gathering.open(texts, tokens)
    for stream in context.gathering.streams[:leavers]:
        stream.read_tokens(after).close()
    context.gathering.streams = context.gathering.streams[leavers:]
    context.gathering.read_some(after)
    context.long_ms = tokens


def send_request(address, text, tokens):
    """Send a streamed request on a socket with a small receive buffer; read nothing."""
    host, _, port = address.rpartition(":")
    connection = socket.socket()
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES)
    connection.connect((host, int(port)))
    body = json.dumps(make_chat(MODEL, text, tokens)).encode()
    head = f"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {KEY}\r\n"
    connection.sendall(f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body)
    return connection


@when("a caller goes away while its request waits behind another")
def disconnect_while_waiting(context):
    cluster = context.cluster
    running = cluster.chat("a long report", 200).read_tokens(1)
    waiting = send_request(cluster.find_entry(), "a short one", 5)
    wait_until(lambda: cluster.read_stats(ENGINE)["waiting"] == 1, "the request waits")
    waiting.close()
    wait_until(lambda: cluster.read_stats(ENGINE)["cancelled"], "the request is cancelled")
    assert cluster.read_stats(ENGINE)["running"] == 1, "the other request is not running"
    assert not running.read_all().check.list_problems()


@when(
    "{count:d} callers never read their answers of {tokens:d} tokens and {readers:d} callers read theirs of {few:d}"
)
def never_read(context, count, tokens, readers, few):
    cluster = context.cluster
    context.before_mb = cluster.get(ENTRY).read_memory_mb()
    address = cluster.find_entry()
    context.non_readers = [send_request(address, f"deaf {n}", tokens) for n in range(count)]
    context.gathering.open([f"reader {number}" for number in range(readers)], few)
    context.gathering.read_some(1)


@then("the engine has cancelled {count:d} streams long before their end")
def check_cancelled(context, count):
    def is_over():
        stats = context.cluster.read_stats(ENGINE)
        return len(stats["cancelled"]) >= count and stats["running"] == 0

    context.gathering.finish()
    wait_until(is_over, "the engine cancelled the requests")
    stats = context.cluster.read_stats(ENGINE)
    assert len(stats["cancelled"]) >= count, stats


@then("the engine has cancelled that request alone")
def check_only_one_cancelled(context):
    stats = context.cluster.read_stats(ENGINE)
    assert len(stats["cancelled"]) == 1, stats


@then("those who stayed have their own whole answers")
def check_others(context):
    context.gathering.finish()
    context.gathering.check_complete()


@then("the daemon grew by less than {limit_mb:d} MB")
def check_memory(context, limit_mb):
    grown_mb = context.cluster.get(ENTRY).read_memory_mb() - context.before_mb
    print(f"grown by {grown_mb:.1f} MB")
    assert grown_mb < limit_mb, grown_mb
