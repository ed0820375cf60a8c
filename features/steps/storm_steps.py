"""Steps of storm.feature."""

import json
import threading
import time

from behave import given, then, when

from features.steps.backend_reclaim_steps import reclaim
from features.steps.entry_reclaim_steps import ENTRY_SERVES
from features.support.cluster import LOAD
from features.support.operator_files import ACCOUNT, KEY, MODEL, SERVICE

CHAT = {"kind": "chat", "model": MODEL, "prompt_words": [10, 60], "max_tokens": [60, 300]}
CALL = {"kind": "call", "service": SERVICE, "path": "/confirmations", "keyed": True}
MIX = [{**CHAT, "weight": 3}, {**CHAT, "stream": False}, CALL]
CALLER_TIMEOUT_MS = 30_000
SLOW = "the store takes "
DOWN, UP = {"mode": "down"}, {}


@given("two zones with {entries:d} entry VMs, {engines:d} engines and {services:d} services each")
def build(context, entries, engines, services):
    cluster = context.cluster
    cluster.build(entries=entries, engines=engines, services=services)
    for program in cluster.list_daemons():
        address = program.addresses["callers"]
        cluster.register(program.name, program.settings["zone"], ENTRY_SERVES, address=address)


def inject(context, fault, names, notice_ms):
    if fault == "the store goes down":
        context.cluster.set_platform_faults(objects=DOWN)
    elif fault == "the store is up again":
        context.cluster.set_platform_faults(objects=UP)
    elif fault.startswith(SLOW):
        delay_ms = int(fault.removeprefix(SLOW).removesuffix(" ms"))
        context.cluster.set_platform_faults(objects={"delay_ms": delay_ms})
    elif fault == "kill":
        context.cluster.get(names).kill()
    else:
        assert fault == "reclaim", fault
        context.timers.append(reclaim(context, names.split(", "), notice_ms))


@when("{rate:d} mixed requests a second come for {seconds:d} seconds, and meanwhile")
def run_storm(context, rate, seconds):
    cluster, context.timers = context.cluster, []
    settings = {
        "entries": [item.addresses["callers"] for item in cluster.list_daemons()],
        "duration_ms": seconds * 1_000,
        "requests_per_s": rate,
        "patience_ms": CALLER_TIMEOUT_MS,
        "accounts": [{"name": ACCOUNT, "key": KEY}],
        "mix": MIX,
    }
    load = cluster.launch("load", [LOAD], settings)
    begun = time.monotonic()
    for row in context.table:
        due = begun + int(row["after_ms"]) / 1_000
        threading.Event().wait(max(due - time.monotonic(), 0))
        inject(context, row["fault"], row["names"], int(row["notice_ms"] or 0))
    load.wait(seconds + 2 * CALLER_TIMEOUT_MS / 1_000)
    for timer in context.timers:
        timer.join()
    context.results = json.loads(load.output_file.read_text())


@then("every request got its own whole answer")
def check_complete(context):
    results = context.results
    assert results["requests"] > 0
    assert results["verdicts"] == {"whole": results["requests"]}, (
        results["verdicts"],
        results["errors"],
        results["by_kind"],
        results["problems"][:3],
    )


@then("no call ran twice")
def check_runs(context):
    running = [
        name
        for name, program in context.cluster.programs.items()
        if name.startswith("service-") and program.is_running
    ]
    counts = [context.cluster.read_stats(name)["runs_by_key"] for name in running]
    keys = [key for count in counts for key in count]
    assert len(keys) == len(set(keys))
    assert all(runs == 1 for count in counts for runs in count.values()), counts
