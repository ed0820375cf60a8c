"""Steps of load.feature."""

import json

from behave import given, then, when

from features.support.cluster import LOAD
from features.support.operator_files import (
    ACCOUNT,
    KEY,
    MODEL,
    SERVICE,
    ZONES,
    make_account,
    make_operator_file,
)

EXIT_OK = 0
EXIT_WRONG = 1
CHAT = {"kind": "chat", "model": MODEL, "prompt_words": [10, 40], "max_tokens": [5, 20]}
CALL = {"kind": "call", "service": SERVICE, "path": "/confirmations", "keyed": False}


@given("a running cluster for the load program")
def build_cluster(context):
    context.cluster.build(entries=1)
    context.addresses = [item.addresses["callers"] for item in context.cluster.list_daemons()]


@given("a running cluster for the load program with {rate:d} requests a second for the account")
def build_limited_cluster(context, rate):
    account = make_account(ACCOUNT, KEY, requests_per_second=rate)
    file = make_operator_file(ZONES[:1], client_accounts=[account])
    context.cluster.build(ZONES[:1], entries=1, file=file)
    context.addresses = [context.cluster.find_entry()]


@given("a stand-in engine that swaps answers for the load program")
def start_engine(context):
    engine = context.cluster.launch_engine("engine")
    context.cluster.set_faults("engine", mix_answers=True)
    context.addresses = [engine.addresses["http"]]


def run_load(context, rate, seconds, mix):
    settings = {
        "entries": context.addresses,
        "duration_ms": seconds * 1_000,
        "requests_per_s": rate,
        "accounts": [{"name": ACCOUNT, "key": KEY}],
        "mix": mix,
    }
    program = context.cluster.launch("load", [LOAD], settings)
    context.exit_code = program.wait(60)
    context.results = json.loads(program.output_file.read_text())


@when("{rate:d} mixed requests a second are sent for {seconds:d} seconds")
def send_mixed(context, rate, seconds):
    unstreamed_chat = {**CHAT, "stream": False}
    run_load(context, rate, seconds, [{**CHAT, "weight": 2}, unstreamed_chat, CALL])


@when("{rate:d} model requests a second are sent for {seconds:d} second")
def send_chats(context, rate, seconds):
    run_load(context, rate, seconds, [CHAT])


@then("the load program says that all answers are whole")
def check_complete(context):
    assert context.results["requests"] > 0
    assert context.results["verdicts"] == {"whole": context.results["requests"]}, context.results
    assert context.exit_code == EXIT_OK


@then("the load program says that answers are wrong")
def check_wrong(context):
    assert context.results["verdicts"]["wrong"] > 0, context.results["verdicts"]
    assert context.results["problems"]
    assert context.exit_code == EXIT_WRONG


@then("the stand-ins have run each call once")
def check_runs(context):
    names = [name for name in context.cluster.programs if name.startswith("service-")]
    runs = sum(context.cluster.read_stats(name)["runs"] for name in names)
    calls = context.results["by_kind"]["call"]["whole"]
    paths = [context.cluster.read_stats(name)["runs_by_path"] for name in names]
    assert runs == calls, f"{runs} runs of {calls} calls: {paths}"


@then('the load program was refused with "{kind}" and came back')
def check_refusals(context, kind):
    assert context.results["refusals_retried"][kind] > 0, context.results["refusals_retried"]
