"""Steps of planned_stop.feature."""

import threading
import time

from behave import given, then, when

from features.steps.copies_steps import CONTROLLER, launch_controller, read_cloud
from features.support.controllers import count_events, read_copies, wait_for_holder
from features.support.operator_files import MODEL, SERVICE, ZONES, make_operator_file
from features.support.processes import wait_until
from features.support.stopped_vms import StoppedVms

ZONE = ZONES[0]
ENGINES = ("engine-1", "engine-2", "engine-3")
SERVERS = ("server-1", "server-2", "server-3")


def make_file(**fields):
    models = [{"name": MODEL, "licensed_copies": 3, "min_copies": 2}]
    file = make_operator_file((ZONE,), models=models)
    services = [{**file["services"][0], "licensed_copies": 3, "min_copies": 2}]
    return {**file, "services": services, **fields}


@given(
    "a zone with 2 entry daemons, 2 copies of the model and of the service, 1 spare each, and a "
    "controller"
)
def start_zone(context):
    cluster = context.cluster
    cluster.launch_platform(start_ms=200)
    for name in ENGINES:
        cluster.launch_engine(name, load_lag_ms=50)
    for name in SERVERS:
        cluster.launch_service(name, delay_ms=0)
    for names, serves in ((ENGINES, MODEL), (SERVERS, SERVICE)):
        for name in names:
            state = "spare" if name.endswith("3") else "live"
            cluster.register(name, ZONE, serves, state=state)
    context.vms = StoppedVms(cluster)
    context.add_cleanup(context.vms.stop)
    cluster.apply(make_file())
    cluster.launch_entries((ZONE,), 2)
    launch_controller(context)
    for target in (MODEL, SERVICE):
        wait_until(lambda name=target: len(read_copies(cluster, name)) == 2, "recorded copies")


def list_vm_names(context, state="live"):
    return {vm["name"] for vm in read_cloud(context)["vms"] if vm["state"] == state}


@given("{count:d} service calls of {delay_ms:d} ms are in progress")
def open_calls(context, count, delay_ms):
    for name in SERVERS[:2]:
        context.cluster.set_faults(name, delay_ms=delay_ms)
    context.replies = {}

    def send(key):
        context.replies[key] = context.cluster.call_service(
            "/confirmations", {"family": key}, Idempotency_Key=key
        )

    context.callers = [threading.Thread(target=send, args=(f"k{n}",)) for n in range(count)]
    for caller in context.callers:
        caller.start()
    wait_until(lambda: sum_runs(context) == count, "all calls are running")


def sum_runs(context):
    return sum(context.vms.read_stats(name)["runs"] for name in SERVERS)


@given("the controller cannot reach the entry daemons")
def isolate_controller(context):
    cluster = context.cluster
    cluster.get("control-1").stop()
    nobody = cluster.add_link("nobody", "")
    cluster.launch_controller("control-2", ZONE, **CONTROLLER, seeds=[nobody])
    wait_for_holder(cluster, "control-2")


@when("the operators drain an engine")
def drain_engine(context):
    context.drained = ENGINES[0]
    context.cluster.apply(make_file(draining=[ENGINES[0]]))


@when("the operators drain the service's server")
def drain_server(context):
    context.drained = SERVERS[0]
    context.cluster.apply(make_file(draining=[SERVERS[0]]))


@when("the controller is killed before the engine is empty, and another one takes over")
def kill_controller(context):
    def is_recorded():
        records = read_copies(context.cluster, MODEL)
        return any(one["vm"] == context.drained and one["state"] == "stopping" for one in records)

    wait_until(is_recorded, "the stop is recorded")
    context.cluster.get("control-1").kill()
    assert context.vms.read_stats(context.drained)["running"] > 0
    launch_controller(context, "control-2")
    wait_for_holder(context.cluster, "control-2")


@then("the engine's VM is stopped and another one has taken its place")
def check_engine_replaced(context):
    wanted = set(ENGINES) - {context.drained}
    wait_until(lambda: list_vm_names(context) & set(ENGINES) == wanted, "a replaced engine")
    wait_until(lambda: context.drained in context.vms.stats, "the process of the engine has ended")
    context.ended = context.vms.stats[context.drained]


@then("the server's VM is stopped and another one has taken its place")
def check_server_replaced(context):
    wanted = set(SERVERS) - {context.drained}
    wait_until(lambda: list_vm_names(context) & set(SERVERS) == wanted, "a replaced server")


@then("the engine got no new work after its stop was planned and had ended all it had")
def check_ended(context):
    assert context.ended["running"] == 0 and context.ended["waiting"] == 0
    assert context.ended["cancelled"] == []
    assert context.ended["draining"]


@then("all answers are whole and each was run once")
def check_answers(context):
    for reader in context.readers:
        reader.join()
    problems = [stream.check.list_problems() for stream in context.streams]
    assert not any(problems), problems
    runs = [count for name in ENGINES for count in read_runs(context, name)]
    assert runs == [1] * len(context.streams), runs


def read_runs(context, name):
    return context.vms.read_stats(name)["runs"].values()


@then("all calls are answered and each was run once")
def check_calls(context):
    for caller in context.callers:
        caller.join()
    statuses = [reply.status for reply in context.replies.values()]
    assert statuses == [200] * len(context.callers), statuses
    assert sum_runs(context) == len(context.callers)


@then("the engine's VM goes on running")
def check_goes_on(context):
    wait_until(lambda: count_events(context.cluster, "control-2", "daemons_silent") > 2, "tries")
    time.sleep(1)
    assert context.drained in list_vm_names(context)
