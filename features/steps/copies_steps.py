"""Steps of copies.feature."""

import threading
import time

from behave import given, then, when

from features.support.calls import get_json, post_json
from features.support.controllers import read_copies, wait_for_holder
from features.support.operator_files import MODEL, ZONES, make_operator_file
from features.support.processes import wait_until

ZONE = ZONES[0]
LEASE = {"term_ms": 1_500, "renew_ms": 400, "stop_before_ms": 600, "margin_ms": 200, "look_ms": 100}
COPIES = {
    "pass_ms": 100,
    "gone_after_ms": 2_000,
    "shrink_after_ms": 60_000,
    "report_ms": 500,
    "replace_ms": 1_000,
}
CONTROLLER = {"lease": LEASE, "copies": COPIES, "order_timeout_ms": 500}


def launch_controller(context, name="control-1", zone=ZONE):
    context.cluster.launch_controller(name, zone, **CONTROLLER)


def launch_engines(context, count, zone=ZONE, state="spare", machine_class="reclaimable"):
    """Start engines and register them with the platform."""
    cluster = context.cluster
    begin = len(cluster.programs)
    names = [f"llm-{begin + number}" for number in range(count)]
    for name in names:
        cluster.launch_engine(name, load_lag_ms=50)
    price = 1.0 if machine_class == "reclaimable" else 3.0
    for name in names:
        cluster.register(
            name, zone, MODEL, state=state, machine_class=machine_class, price_per_hour=price
        )
    return names


def apply_file(context, licensed, min_copies):
    models = [{"name": MODEL, "licensed_copies": licensed, "min_copies": min_copies}]
    context.cluster.apply(make_operator_file(ZONES, models=models, services=[]))


def read_cloud(context):
    return get_json(context.cluster.platform.addresses["http"], "/standin/stats")


def list_copies(context, states=("live",), zone=None):
    vms = read_cloud(context)["vms"]
    return [vm for vm in vms if vm["state"] in states and zone in (None, vm["zone"])]


def wait_for_copies(context, count, zone=None):
    wait_until(lambda: len(list_copies(context, zone=zone)) == count, f"{count} copies")


@given(
    "{count:d} copies in the zone, a licence for {licensed:d}, and as spares {spares:d} "
    "reclaimable and {others:d} on demand"
)
def start_zone(context, count, licensed, spares, others):
    cluster = context.cluster
    cluster.launch_platform(start_ms=300)
    context.first = launch_engines(context, count, state="live")
    launch_engines(context, spares)
    launch_engines(context, others, machine_class="on_demand")
    apply_file(context, licensed, min_copies=count)
    cluster.launch_entries((ZONE,), 2)
    launch_controller(context)
    wait_until(lambda: len(read_copies(cluster, MODEL)) == count, "the copies are recorded")


@given("1 copy and 1 reclaimable spare in each of two zones, and a licence for {licensed:d}")
def start_two_zones(context, licensed):
    cluster = context.cluster
    cluster.launch_platform(start_ms=300)
    context.first = [launch_engines(context, 1, zone, "live")[0] for zone in ZONES]
    for zone in ZONES:
        launch_engines(context, 1, zone)
    apply_file(context, licensed, min_copies=1)
    cluster.launch_entries(ZONES, 1)
    for number, zone in enumerate(ZONES, 1):
        launch_controller(context, f"control-{number}", zone)
        wait_for_holder(cluster, f"control-{number}")
    wait_until(lambda: len(read_copies(cluster, MODEL)) == 2, "the copies are recorded")
    apply_file(context, licensed, min_copies=2)


@given("{count:d} answers of {tokens:d} tokens are in progress")
def open_streams(context, count, tokens):
    context.streams = [context.cluster.chat(f"visit {index}", tokens) for index in range(count)]
    for stream in context.streams:
        stream.read_tokens(1)
    context.readers = [threading.Thread(target=stream.read_all) for stream in context.streams]
    for reader in context.readers:
        reader.start()


@given("a weight store that takes {start_ms:d} ms for a copy")
def set_start_time(context, start_ms):
    context.cluster.launch_platform(start_ms=start_ms)


@given("answers to starts are lost")
def lose_start_answers(context):
    context.cluster.launch_platform(start_ms=300)
    context.cluster.set_platform_faults(cloud={"lose_answers": 10_000, "lose_kinds": ["start"]})


@when("{count:d} copies are wanted and there are {spares:d} spares")
def want_copies(context, count, spares):
    launch_engines(context, spares)
    apply_file(context, licensed=count + 1, min_copies=count)
    launch_controller(context)


@when("reclaimable starts are refused")
def refuse_class(context):
    faults = {"refuse_starts": -1, "refuse_classes": ["reclaimable"]}
    context.cluster.set_platform_faults(cloud=faults)


@when("all starts in the first zone are refused")
def refuse_zone(context):
    context.cluster.set_platform_faults(cloud={"refuse_starts": -1, "refuse_zones": [ZONE]})


@when("a copy is reclaimed with a notice of {notice_ms:d} ms")
@when("the copy of the first zone is reclaimed with a notice of {notice_ms:d} ms")
def reclaim_copy(context, notice_ms):
    context.deadline = time.monotonic() + notice_ms / 1_000
    context.cluster.reclaim(context.first[0], notice_ms=notice_ms)


@when("a copy is reclaimed with a notice of {notice_ms:d} ms that is sent {times:d} times")
def reclaim_repeatedly(context, notice_ms, times):
    context.deadline = time.monotonic() + notice_ms / 1_000
    body = {"vms": context.first[:1], "notice_ms": notice_ms, "copies": times}
    post_json(context.cluster.platform.addresses["http"], "/standin/reclaim", body)


@when("the controller is killed once {count:d} copies are starting")
def kill_controller(context, count):
    states = ("starting", "live")
    wait_until(lambda: len(list_copies(context, states)) == count, f"{count} starting")
    context.cluster.get("control-1").kill()
    records = read_copies(context.cluster, MODEL)
    assert len(records) == count
    assert all(not record["vm"] for record in records)


@when("another controller takes over and answers to starts come again")
def start_successor(context):
    context.cluster.set_platform_faults(cloud={})
    launch_controller(context, "control-2")
    wait_for_holder(context.cluster, "control-2")


@then("the zone has {count:d} copies again before the notice runs out")
def check_replaced_in_time(context, count):
    wait_until(lambda: len(list_copies(context)) == count, f"{count} copies")
    assert time.monotonic() < context.deadline


@then("the second zone has {count:d} copies before the notice runs out")
def check_other_zone(context, count):
    wait_for_copies(context, count, ZONES[1])
    assert time.monotonic() < context.deadline


@then("the zone has {count:d} copies after the notice ran out")
def check_replaced(context, count):
    time.sleep(max(0, context.deadline - time.monotonic()))
    wait_for_copies(context, count)
    time.sleep(1)
    assert len(list_copies(context, ("starting", "live"))) == count


@then("the zone has {count:d} copies")
def check_count(context, count):
    context.most_starting = 0

    def are_there():
        starting = len(list_copies(context, ("starting",)))
        context.most_starting = max(context.most_starting, starting)
        return len(list_copies(context)) == count

    wait_until(are_there, f"{count} copies")


@then("never more than {count:d} were starting at once")
def check_starting(context, count):
    assert context.most_starting == count, context.most_starting


@then("the new copy runs on demand")
def check_class(context):
    new = [vm for vm in list_copies(context) if vm["name"] not in context.first]
    assert [vm["machine_class"] for vm in new] == ["on_demand"]


@then("there were never more than {count:d} copies")
def check_licence(context, count):
    assert read_cloud(context)["cloud"]["most_running"][MODEL] <= count


@then("exactly {count:d} copies were started")
def check_starts(context, count):
    cloud = read_cloud(context)["cloud"]
    assert cloud["starts"] == count, cloud


@then("the records name the {count:d} copies")
def check_records(context, count):
    def are_named():
        named = {record["vm"] for record in read_copies(context.cluster, MODEL)}
        return named == {vm["name"] for vm in list_copies(context)} and len(named) == count

    wait_until(are_named, f"{count} recorded copies")


@then("all answers are whole")
def check_answers(context):
    for reader in context.readers:
        reader.join()
    problems = [stream.check.list_problems() for stream in context.streams]
    assert not any(problems), problems
