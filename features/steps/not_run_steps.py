"""Steps of not_run.feature, checked against the counters of the stand-ins."""

import collections
import operator
import socket
import time

from behave import given, then, when

from features.support.calls import Reply, call, make_chat
from features.support.gathering import run_together
from features.support.operator_files import (
    ACCOUNT,
    KEY,
    MODEL,
    SERVICE,
    make_account,
    make_operator_file,
)
from features.support.processes import wait_until

ZONE = "abdoun-hall"
ENTRY, ENGINE = f"entry-{ZONE}-1", f"engine-{ZONE}-1"
SERVERS = (f"service-{ZONE}-1", f"service-{ZONE}-2")
BODY_LIMIT_BYTES = 400_000
LONG_BODY = "x" * 300_000
LONG_PROMPT = "word " * 8_000
DEADLINE_MS = 1_500
SETTLE_S = 0.05
MIXED_CALLS = 6
PATHS = {"idempotent": "/slots/1", "non-idempotent": "/confirmations/1"}
LIMITED = {
    "busy": {"concurrent_requests": 1},
    "wordy": {"tokens_per_second": 1},
    "quick": {"requests_per_second": 0.01},
}

LINK_FAULTS = {
    "the link refuses": {"mode": "refuse"},
    "the link cuts the send": {"cut_after_bytes": 20_000, "cut_direction": "to_target"},
    "the link loses the answer": {"lose_answer": "reset"},
    "the link goes silent": {"freeze": "to_caller"},
    "the link cuts the answer": {"cut_after_bytes": 150, "cut_direction": "to_caller"},
}
SERVER_FAULTS = {
    "the server cuts the answer": {"cut_after_tokens": 3},
    "the server refuses": {"refuse_status": 503},
    "the server cuts before it ran": {"cut_stage": "before_run"},
    "the server cuts when it ran": {"cut_stage": "before_answer"},
}


@given("one zone with one entry daemon, whose services and engine are reached through links")
def build_linked(context):
    cluster = context.cluster
    cluster.launch_platform()
    cluster.launch_engine(ENGINE)
    for name in SERVERS:
        cluster.launch_service(name)
    for name, serves in ((ENGINE, MODEL), *((name, SERVICE) for name in SERVERS)):
        address = cluster.add_link(name, cluster.get(name).addresses["http"])
        cluster.register(name, ZONE, serves, address=address)
    accounts = [make_account(ACCOUNT, KEY)]
    accounts += [make_account(name, f"{name}-key", **limit) for name, limit in LIMITED.items()]
    models = [{"name": MODEL, "licensed_copies": 8}, {"name": "idle-llm", "licensed_copies": 1}]
    file = make_operator_file((ZONE,), client_accounts=accounts, models=models)
    cluster.apply({**file, "limits": {"body_bytes": BODY_LIMIT_BYTES}})
    cluster.launch_entry(ENTRY, ZONE, caller_timeout_ms=1_000)
    cluster.wait_until_serving(cluster.get(ENTRY))


def set_fault(context, names, fault):
    for name in names:
        if fault in LINK_FAULTS:
            context.cluster.set_link(name, **LINK_FAULTS[fault])
        else:
            context.cluster.set_faults(name, **SERVER_FAULTS[fault])


def heal(context, names, has_recovered):
    """Remove the faults and wait until the daemon uses the servers again."""
    for name in names:
        context.cluster.set_link(name)
        context.cluster.set_faults(name)
    wait_until(has_recovered, f"{names} are used again")


def count_service_runs(context):
    """Return the runs at both servers, which include a call repeated at the other server."""
    found = [context.cluster.read_stats(name) for name in SERVERS]
    return sum(stats["runs"] for stats in found)


def count_engine_runs(context):
    return sum(context.cluster.read_stats(ENGINE)["runs"].values())


def wait_for_stable_count(count, context):
    """Return the count once it is stable, with no request in transit."""
    last = count(context)
    while True:
        time.sleep(SETTLE_S)
        now = count(context)
        if now == last:
            return now
        last = now


def call_with_fault(context, row):
    body = LONG_BODY if row["stage"] == "during send" else "short"
    deadline = str(DEADLINE_MS)
    return context.cluster.call_service(PATHS[row["operation"]], body, X_Deadline_Ms=deadline)


def chat_with_fault(context, row):
    text = LONG_PROMPT if row["stage"] == "during send" else "a short one"
    stream = context.cluster.chat(text, 8, X_Deadline_Ms=str(DEADLINE_MS)).read_all()
    return stream.reply or Reply(200, {}, stream.named[0].data.encode())


def check_rows(context, names, send, count, agrees, has_recovered):
    """Send one request for each row under its fault, and collect all mismatches."""
    wrong = []
    for row in context.table:
        before = wait_for_stable_count(count, context)
        set_fault(context, names, row["fault"])
        reply = send(context, row)
        runs = wait_for_stable_count(count, context) - before
        heal(context, names, has_recovered)
        error = reply.json["error"]
        if error["ran"] != row["ran"] or not agrees(runs, int(row["times"])):
            wrong.append(f"{list(row)}: ran {runs} times, answered {error}")
        if error["ran"] == "no" and runs:
            wrong.append(f"{list(row)}: SAID NO BUT RAN")
    assert not wrong, "\n".join(wrong)


@then("each call is answered as its stage allows, and the services' count agrees")
def check_calls(context):
    def has_recovered():
        replies = [context.cluster.call_service("/slots/1") for _ in range(4)]
        used = {reply.json["service"] for reply in replies if reply.status == 200}
        return used == set(SERVERS)

    check_rows(context, SERVERS, call_with_fault, count_service_runs, operator.eq, has_recovered)


@then("each model request is answered as its stage allows, and the engine's count agrees")
def check_chats(context):
    def has_recovered():
        return context.cluster.chat("are you well", 1).read_all().status == 200

    check_rows(context, (ENGINE,), chat_with_fault, count_engine_runs, operator.le, has_recovered)


def send_raw(context, head, body=b""):
    """Send raw bytes and return the status and body of the answer."""
    host, _, port = context.cluster.find_entry().rpartition(":")
    with socket.create_connection((host, int(port)), timeout=20) as connection:
        connection.sendall(head.encode() + body)
        answer = b""
        while piece := connection.recv(65_536):
            answer += piece
    top, _, content = answer.partition(b"\r\n\r\n")
    return Reply(int(top.split()[1]), {}, content)


def make_head(path, *lines):
    fixed = ["Host: x", f"Authorization: Bearer {KEY}", "Connection: close"]
    return "\r\n".join([f"POST {path} HTTP/1.1", *fixed, *lines, "", ""])


def chat(context, body, key=KEY, **headers):
    all_headers = {"Authorization": f"Bearer {key}", **headers}
    return call(context.cluster.find_entry(), "POST", "/v1/chat/completions", body, all_headers)


def chat_of(context, key, tokens=4, **fields):
    return chat(context, {**make_chat(MODEL, "hello", tokens), **fields}, key)


def fill_and_chat(context, key):
    """Occupy the only permitted concurrent request, then send another."""
    context.running_stream = context.cluster.chat("hold on", 200, key=key).read_tokens(1)
    context.runs_allowed = 1
    return chat_of(context, key)


def repeat_chat(context, key):
    """Send requests until one is refused."""
    for number in range(20):
        reply = chat_of(context, key, stream=False)
        if reply.status != 200:
            context.runs_allowed = number
            return reply
    return reply


CHAT = "/v1/chat/completions"
REQUESTS = {
    "a body that is not JSON": lambda c: chat(c, b"{broken"),
    "a body with wrong types": lambda c: chat(c, {"model": 1, "messages": "x"}),
    "a body with too long a prompt": lambda c: chat(c, make_chat(MODEL, "w " * 9_000, 4)),
    "a deadline that is not a number": lambda c: chat(
        c, make_chat(MODEL, "x", 4), **{"X-Deadline-Ms": "soon"}
    ),
    "an oversized body": lambda c: send_raw(c, make_head(CHAT, f"Content-Length: {10**9}")),
    "an oversized body in chunks": lambda c: send_raw(
        c,
        make_head(CHAT, "Transfer-Encoding: chunked"),
        b"".join(b"%x\r\n%s\r\n" % (65_536, b"x" * 65_536) for _ in range(8)),
    ),
    "an oversized header": lambda c: send_raw(c, make_head(CHAT, "X-Long: " + "x" * 60_000)),
    "a body that stops in the middle": lambda c: send_raw(
        c, make_head(CHAT, "Content-Length: 100"), b'{"model"'
    ),
    "an unknown account key": lambda c: chat(c, make_chat(MODEL, "x", 4), key="guess"),
    "no account key": lambda c: call(c.cluster.find_entry(), "POST", CHAT, {}),
    "an unknown model": lambda c: chat(c, make_chat("no-llm", "x", 4)),
    "an unknown service": lambda c: c.cluster.call_service("/slots/1", service="no-app"),
    "an unknown operation": lambda c: c.cluster.call_service("/other/1"),
    "an operation behind dot segments": lambda c: c.cluster.call_service(
        "/slots/../confirmations/1"
    ),
    "an operation behind an escaped slash": lambda c: c.cluster.call_service("/slots/..%2Fx"),
    "a deadline that has passed": lambda c: chat(
        c, make_chat(MODEL, "x", 4), **{"X-Deadline-Ms": "0"}
    ),
    "a model without a backend server": lambda c: chat(c, make_chat("idle-llm", "x", 4)),
    "one request over the concurrency limit": lambda c: fill_and_chat(c, "busy-key"),
    "one request over the token limit": lambda c: repeat_chat(c, "wordy-key"),
    "one request over the request limit": lambda c: repeat_chat(c, "quick-key"),
}


@then("each is refused as stated with ran no, and nothing of it was run")
def check_refusals(context):
    wrong = []
    for row in context.table:
        context.runs_allowed = 0
        before = count_service_runs(context) + count_engine_runs(context)
        reply = REQUESTS[row["request"]](context)
        error = reply.json["error"] if reply.status >= 400 else {"kind": "", "ran": "yes"}
        found = (str(reply.status), error["kind"], error["ran"])
        if found != (row["status"], row["kind"], "no"):
            wrong.append(f"{row['request']}: {found}")
        runs = count_service_runs(context) + count_engine_runs(context) - before
        if runs != context.runs_allowed:
            wrong.append(f"{row['request']}: ran {runs} times")
    assert not wrong, "\n".join(wrong)


@given("a daemon that has no configuration")
def start_unconfigured(context):
    context.cluster.launch_platform()
    context.cluster.launch_entry(ENTRY, ZONE)


@when("the unconfigured daemon is called")
def call_unconfigured(context):
    context.reply = context.cluster.call_service("/slots/1")


@then("it is refused with 503 as not_ready, ran no")
def check_not_ready(context):
    error = context.reply.json["error"]
    assert (context.reply.status, error["kind"], error["ran"]) == (503, "not_ready", "no"), error


@when("six calls run while the service mixes up their answers")
def call_mixed(context):
    for name in SERVERS:
        context.cluster.set_faults(name, mix_answers=True)
    actions = [
        lambda n=n: context.cluster.call_service(f"/confirmations/{n}", {"call": n})
        for n in range(MIXED_CALLS)
    ]
    context.replies = run_together(actions)


@then("no caller got the other's answer")
def check_own(context):
    for number, reply in enumerate(context.replies):
        if reply.status == 200:
            assert reply.json["path"].endswith(f"/{number}"), reply
        else:
            assert reply.json["error"]["kind"] == "answer_invalid", reply
    assert any(reply.status != 200 for reply in context.replies), context.replies


@then("the service ran each at most once")
def check_once(context):
    runs = collections.Counter()
    for name in SERVERS:
        runs.update(context.cluster.read_stats(name)["runs_by_path"])
    assert len(runs) == MIXED_CALLS and set(runs.values()) == {1}, runs
