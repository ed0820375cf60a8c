"""Steps of graceful_stop.feature."""

import threading

from behave import given, then, when

from features.support.calls import call, get_json, post_json
from features.support.gathering import Gathering, run_together
from features.support.operator_files import KEY, SERVICE, make_operator_file
from features.support.processes import wait_until

ZONE = "abdoun-hall"
ENTRY = f"entry-{ZONE}-1"
FIRST_SERVICE, SECOND_SERVICE = f"service-{ZONE}-1", f"service-{ZONE}-2"
NEW_REQUESTS = 12


@given("the plain service takes {delay_ms:d} ms")
def slow_service(context, delay_ms):
    for name in (FIRST_SERVICE, SECOND_SERVICE):
        if name in context.cluster.programs:
            context.cluster.set_faults(name, delay_ms=delay_ms)


@given("one zone with one entry daemon, 2 engines and 2 plain services")
def build_pairs(context):
    context.cluster.build(zones=(ZONE,), entries=1, engines=2, services=2)
    context.gathering = Gathering(context.cluster)


def begin_work(context, callers, tokens, calls):
    """Open streams and calls, and wait until all are in progress."""
    cluster, gathering = context.cluster, context.gathering
    context.replies = []

    def call_once(number):
        context.replies.append(cluster.call_service("/confirmations/1", {"number": number}))

    before = count_service_runs(cluster)
    context.callers = [
        threading.Thread(target=call_once, args=(number,)) for number in range(calls)
    ]
    gathering.open([f"note {number}" for number in range(callers)], tokens)
    for thread in context.callers:
        thread.start()
    gathering.read_some(3)
    wait_until(lambda: count_service_runs(cluster) - before == calls, "the calls run")


def count_service_runs(cluster):
    names = [name for name in (FIRST_SERVICE, SECOND_SERVICE) if name in cluster.programs]
    return sum(cluster.read_stats(name)["runs"] for name in names)


def end_work(context):
    context.gathering.finish()
    for thread in context.callers:
        thread.join(30)


@when(
    "the daemon is told to stop while {callers:d} callers stream {tokens:d} tokens and {calls:d} calls run"
)
def stop_daemon(context, callers, tokens, calls):
    begin_work(context, callers, tokens, calls)
    program = context.cluster.get(ENTRY)
    address = program.addresses["callers"]
    program.terminate()
    wait_until(lambda: call(address, "GET", "/healthz").status == 503, "the daemon stops")
    headers = {"Authorization": f"Bearer {KEY}"}
    runs = count_service_runs(context.cluster)
    context.refused = call(address, "POST", f"/services/{SERVICE}/confirmations/2", {}, headers)
    assert count_service_runs(context.cluster) == runs
    end_work(context)
    context.exit_code = program.wait()


@when(
    "{server} is drained while {callers:d} callers stream {tokens:d} tokens and {calls:d} calls run"
)
def drain_server(context, server, callers, tokens, calls):
    cluster = context.cluster
    begin_work(context, callers, tokens, calls)
    number = cluster.apply(make_operator_file((ZONE,), draining=[server]))
    control = cluster.get(ENTRY).addresses["control"]
    wait_until(lambda: get_json(control, "/status")["revision"] == number, "in force")
    post_json(cluster.get(server).addresses["http"], "/standin/leaving")
    entry = cluster.find_entry()
    headers = {"Authorization": f"Bearer {KEY}"}
    run_together(
        [lambda: call(entry, "POST", f"/services/{SERVICE}/slots/1", {}, headers)] * NEW_REQUESTS
        + [lambda: cluster.chat("a new one", 5).read_all()] * NEW_REQUESTS
    )
    end_work(context)


@then("every call was answered")
def check_calls(context):
    assert len(context.replies) == len(context.callers), context.replies
    assert all(reply.status == 200 for reply in context.replies), context.replies


@then("a new request in the meantime was refused as leaving and not run")
def check_refused(context):
    assert context.refused.status == 503, context.refused
    error = context.refused.json["error"]
    assert (error["kind"], error["ran"]) == ("leaving", "no"), error
    assert int(context.refused.headers["retry-after"]) >= 1


@then("the daemon ended with exit code 0")
def check_exit(context):
    assert context.exit_code == 0, context.exit_code


@then("{server} got no new work once the file was in force")
def check_drained(context, server):
    stats = context.cluster.read_stats(server)
    assert stats["begun_after_leaving_ms"] == [], stats
