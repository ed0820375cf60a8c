"""Steps of operator_view.feature."""

import json

from behave import given, then, when

from features.support.calls import call, make_chat
from features.support.operator_files import (
    ACCOUNT,
    KEY,
    MODEL,
    SERVICE,
    ZONES,
    make_account,
    make_operator_file,
)
from features.support.operators import Operator
from features.support.processes import wait_until

OTHER_KEY = "notes-only-key-4711"
WRONG_KEY = "wrong-key-0815"
PLAIN_KEY = "plain-key-in-a-file"
ALL_KEYS = (KEY, OTHER_KEY, WRONG_KEY, PLAIN_KEY)


@given("a whole system for the operators' view")
def build(context):
    notes_only = make_account("notes-only", OTHER_KEY) | {"uses": [SERVICE]}
    file = make_operator_file(client_accounts=[make_account(ACCOUNT, KEY), notes_only])
    context.cluster.build(entries=1, file=file)
    platform = context.cluster.platform.addresses["http"]
    context.operator = Operator(context.cluster.folder, platform)


@then(
    '"status" shows both zones in force, {held:d} of {licensed:d} copies of the model, '
    "and every backend server"
)
def check_status(context, held, licensed):
    answer = wait_until(lambda: read_settled_status(context), "both zones in force")
    copies = {row["name"]: row for row in answer["copies"]}[MODEL]
    assert (copies["live"], copies["licensed"]) == (held, licensed), copies
    names = {row["name"] for row in answer["backend_servers"]}
    assert names >= {f"engine-{zone}-1" for zone in ZONES}, names
    outcome = context.operator.run("status", None, "--daemons")
    assert outcome.code == 0


def read_settled_status(context):
    answer = context.operator.run("status").answer
    states = {row["zone"]: row["state"] for row in answer["zones"]}
    ready = all(one["ready"] for row in answer["zones"] for one in row["daemons"])
    return answer if ready and states == dict.fromkeys(ZONES, "in_force") else None


@then('"events" shows the revision, the zones and the backend servers')
def check_events(context):
    process = context.operator.start("events", None, "--seconds", "2")
    output, _ = process.communicate(timeout=30)
    rows = [json.loads(line) for line in output.splitlines()]
    seen = {(row["what"], row["name"]) for row in rows}
    wanted = {("revision", "")} | {("zone", zone) for zone in ZONES}
    assert seen >= wanted | {("vm", f"engine-{zone}-1") for zone in ZONES}, seen


@then('"history" shows one revision in force')
def check_history(context):
    rows = context.operator.run("history", None, "--changes").answer["revisions"]
    assert [(row["number"], row["state"]) for row in rows] == [(1, "in force")]


@when("requests with a right key, a wrong key and an account's key for another service are sent")
def send_requests(context):
    address = context.cluster.find_entry()
    context.texts = []
    for key, status, kind in (
        (KEY, 200, None),
        (WRONG_KEY, 401, "unauthorized"),
        (OTHER_KEY, 404, "unknown_model"),
    ):
        headers = {"Authorization": f"Bearer {key}"}
        body = make_chat(MODEL, "two slots on Sunday", 4, stream=False)
        reply = call(address, "POST", "/v1/chat/completions", body, headers)
        assert reply.status == status, reply
        assert kind is None or reply.json["error"]["kind"] == kind, reply
        context.texts.append(reply.body.decode())


@when("a file that holds a plain key is refused")
def apply_plain_key(context):
    file = make_operator_file(client_accounts=[make_account("a", "b") | {"key_hash": PLAIN_KEY}])
    outcome = context.operator.run("apply", file, "--from", "1")
    assert outcome.code == 2, outcome
    context.texts += [json.dumps(outcome.answer), outcome.errors]


@then("no output of any process or command holds a key")
def search_keys(context):
    cluster = context.cluster
    for program in cluster.list_daemons():
        control = program.addresses["control"]
        context.texts += [call(control, "GET", page).body.decode() for page in PAGES]
    for command in ("status", "history"):
        context.texts.append(json.dumps(context.operator.run(command).answer))
    for program in cluster.programs.values():
        context.texts.append(program.log_file.read_text(errors="replace"))
        context.texts.append(program.output_file.read_text(errors="replace"))
    assert any("revision_in_force" in text for text in context.texts), "no logs were read"
    found = [key for key in ALL_KEYS for text in context.texts if key in text]
    assert not found, found


PAGES = ("/status", "/metrics")
