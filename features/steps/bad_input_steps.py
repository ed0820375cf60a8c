"""Steps of bad_input.feature."""

import contextlib
import threading

from behave import given, then, when

from features.support.calls import make_chat
from features.support.operator_files import KEY, MODEL, SERVICE, ZONES, make_operator_file
from features.support.processes import wait_until
from features.support.raw_calls import (
    SMALL_BUFFER_BYTES,
    connect,
    encode,
    exchange_raw,
    is_closed,
    make_chunks,
    make_head,
    read_reply,
    send_most,
)

CHAT_PATH = "/v1/chat/completions"
MAX_ANSWER_TOKENS = 16_000
MAX_BODY_BYTES = 1_048_576
OVERSIZED_BODY_BYTES = MAX_BODY_BYTES + 100_000
MAX_HEAD_BYTES = 32_768
MEGABYTE = 1_000_000
GOOD = make_chat(MODEL, "two slots", 8)
AUTHORIZED = {"Authorization": f"Bearer {KEY}", "Content-Type": "application/json"}


def make_request(body=GOOD, path=CHAT_PATH, method="POST", **headers):
    """Return the bytes of a request; a header of value None is omitted."""
    content = body if isinstance(body, bytes) else encode(body)
    named = {name.replace("_", "-"): value for name, value in headers.items()}
    fields = {**AUTHORIZED, "Content-Length": str(len(content)), **named}
    present = {name: value for name, value in fields.items() if value is not None}
    return make_head(path, present, method) + content


def make_many_fields():
    return make_head(CHAT_PATH, {**AUTHORIZED, **{f"X-Field-{n}": "x" for n in range(10_000)}})


BAD_REQUESTS = {
    "a body that is not JSON": lambda: make_request(b"{two slots"),
    "a body that is not UTF-8": lambda: make_request(b'{"model": "\xff\xfe"}'),
    "an empty body": lambda: make_request(b""),
    "a list for a body": lambda: make_request([GOOD]),
    "brackets nested 100000 deep": lambda: make_request(b"[" * 100_000),
    "a number for the model": lambda: make_request({**GOOD, "model": 7}),
    "a text for the messages": lambda: make_request({**GOOD, "messages": "two slots"}),
    "an empty list of messages": lambda: make_request({**GOOD, "messages": []}),
    "a negative max_tokens": lambda: make_request({**GOOD, "max_tokens": -1}),
    "a text for max_tokens": lambda: make_request({**GOOD, "max_tokens": "many"}),
    "max_tokens over the model's bound": lambda: make_request(
        {**GOOD, "max_tokens": MAX_ANSWER_TOKENS + 1}
    ),
    "a body over the bound": lambda: make_request(b"x" * OVERSIZED_BODY_BYTES),
    "a chunked body over the bound": lambda: make_head(
        CHAT_PATH, {**AUTHORIZED, "Transfer-Encoding": "chunked"}
    )
    + make_chunks(OVERSIZED_BODY_BYTES),
    "a length over the bound and no body": lambda: make_request(
        b"", Content_Length=str(OVERSIZED_BODY_BYTES)
    ),
    "a body that stops half-way": lambda: make_request(b'{"model": ', Content_Length="100"),
    "a head over the bound": lambda: make_request(X_Long="x" * (MAX_HEAD_BYTES + 1)),
    "a head of 10000 fields": make_many_fields,
    "a request line that is not HTTP": lambda: b"two slots please\r\n\r\n",
    "a length that is not a number": lambda: make_request(Content_Length="many"),
    "a deadline that is not a number": lambda: make_request(X_Deadline_Ms="soon"),
    "a priority that is not a number": lambda: make_request(X_Priority="first"),
    "an idempotency key of 10000 characters": lambda: make_request(
        {}, f"/services/{SERVICE}/confirmations", Idempotency_Key="k" * 10_000
    ),
    "no key": lambda: make_request(Authorization=None),
    "an unknown key": lambda: make_request(Authorization="Bearer nobody"),
    "an unknown model": lambda: make_request({**GOOD, "model": "nobody"}),
    "an unknown service": lambda: make_request({}, "/services/nobody/confirmations"),
    "an unknown operation of a service": lambda: make_request({}, f"/services/{SERVICE}/nobody"),
    "a method that the operation has not": lambda: make_request(
        {}, f"/services/{SERVICE}/slots", "PATCH"
    ),
}


@given("one entry daemon that gives a caller 1 second for a read or a write")
def build_cluster(context):
    cluster = context.cluster
    if not cluster.list_daemons():
        model = {"name": MODEL, "licensed_copies": 8, "max_tokens": MAX_ANSWER_TOKENS}
        file = make_operator_file(ZONES[:1], models=[{**model, "context_tokens": 65_536}])
        cluster.build(
            ZONES[:1],
            entries=1,
            file=file,
            engine_settings={"token_ms": 1},
            entry_settings={"caller_timeout_ms": 1_000},
        )
    context.entry = cluster.list_daemons()[0]
    context.address = context.entry.addresses["callers"]
    context.runs_before = count_runs(cluster)
    context.memory_before_mb = context.entry.read_memory_mb()


def list_standins(cluster, kind):
    return [name for name in cluster.programs if name.startswith(f"{kind}-")]


def count_runs(cluster):
    """Return the number of requests that the stand-ins have started to run."""
    chats = [len(cluster.read_stats(name)["runs"]) for name in list_standins(cluster, "engine")]
    calls = [cluster.read_stats(name)["runs"] for name in list_standins(cluster, "service")]
    return sum(chats) + sum(calls)


@when("a caller sends {what}")
def send_bad_request(context, what):
    context.reply = exchange_raw(context.address, BAD_REQUESTS[what]())


@then('the answer is {status:d} with the kind "{kind}" and ran "{ran}"')
def check_refusal(context, status, kind, ran):
    reply = context.reply
    assert reply is not None, "the connection was closed without an answer"
    assert reply.status == status, f"{reply.status} {reply.body!r}"
    error = reply.json["error"]
    assert (error["kind"], error["ran"]) == (kind, ran), error
    assert error["message"]


@then("no stand-in has run anything")
def check_nothing_run(context):
    assert count_runs(context.cluster) == context.runs_before


@then("no stand-in has run anything but the other caller's request")
def check_one_run(context):
    assert count_runs(context.cluster) == context.runs_before + 1


@then("another caller gets a whole answer")
def check_other_caller(context):
    stream = context.cluster.chat("a group visit", 8).read_all()
    assert stream.check.list_problems() == [], stream.check.list_problems() or stream.reply


@when("{count:d} callers stop half-way through their heads")
def stop_in_heads(context, count):
    context.connections = [connect(context.address) for _ in range(count)]
    for connection in context.connections:
        connection.sendall(make_request()[:60])


@then("the {count:d} connections are closed")
def check_closed(context, count):
    def count_closed():
        return sum(is_closed(connection) for connection in context.connections) == count

    wait_until(count_closed, f"{count} connections closed")


@when("{count:d} callers send {size:d} megabytes each at once")
def send_large_bodies(context, count, size):
    context.replies = []
    head = make_head(CHAT_PATH, {**AUTHORIZED, "Transfer-Encoding": "chunked"})
    content = head + make_chunks(size * MEGABYTE)
    peaks = []

    def send_one():
        with contextlib.closing(connect(context.address)) as connection:
            send_most(connection, content)
            peaks.append(context.entry.read_memory_mb())
            context.replies.append(read_reply(connection))

    senders = [threading.Thread(target=send_one) for _ in range(count)]
    for sender in senders:
        sender.start()
    for sender in senders:
        sender.join()
    context.peak_mb = max(peaks)


@then("each of them is refused or cut off")
def check_large_bodies(context):
    statuses = [reply.status for reply in context.replies if reply is not None]
    assert set(statuses) <= {413}, statuses


@then("the daemon has grown by less than {size:d} megabytes")
def check_memory(context, size):
    peak_mb = max(context.entry.read_memory_mb(), getattr(context, "peak_mb", 0))
    grown_mb = peak_mb - context.memory_before_mb
    assert grown_mb < size, f"memory has grown by {grown_mb:.1f} MB"


@when("{count:d} callers ask for {tokens:d} tokens each and never read")
def send_without_reading(context, count, tokens):
    request = make_request({**GOOD, "max_tokens": tokens})
    context.cancelled_before = count_cancelled(context.cluster)
    context.connections = [connect(context.address, SMALL_BUFFER_BYTES) for _ in range(count)]
    for connection in context.connections:
        connection.sendall(request)


def count_cancelled(cluster):
    names = list_standins(cluster, "engine")
    return sum(len(cluster.read_stats(name)["cancelled"]) for name in names)


@then("the engine has cancelled the {count:d} streams before they ended")
def check_cancelled(context, count):
    wanted = context.cancelled_before + count
    wait_until(lambda: count_cancelled(context.cluster) == wanted, "streams cancelled", 40)
    for connection in context.connections:
        connection.close()
