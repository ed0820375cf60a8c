"""Steps of at_most_once.feature: setup, calls and faults."""

import threading

from behave import given, step, when

from features.support.calls import call, get_json
from features.support.keyed_calls import (
    BACKENDS,
    ENTRIES,
    LIMIT_S,
    PATH,
    choose_key,
    count_runs,
    make_key_in_same_partition,
    send,
    skip_refusal,
)
from features.support.operator_files import KEY, SERVICE, ZONES, make_operator_file
from features.support.processes import wait_until

ZONE_HOSTS = dict(zip(ZONES, ("127.0.1.1", "127.0.2.1"), strict=True))


@given("two zones with two entry daemons each behind links to the platform")
def build_cluster(context):
    cluster = context.cluster
    cluster.launch_platform()
    for name, zone in zip(BACKENDS, ZONES, strict=True):
        cluster.launch_service(name)
        cluster.register(name, zone, SERVICE)
    cluster.apply(make_operator_file())
    target = cluster.platform.addresses["http"]
    for name in ENTRIES:
        zone = name.removeprefix("entry-")[:-2]
        host = ZONE_HOSTS[zone]
        cluster.launch_entry(
            name,
            zone,
            platform=cluster.add_link(name, target),
            peer_listen=f"{host}:0",
            peer_advertise=cluster.add_link(f"peers-{name}"),
            seeds=[cluster.add_link(f"peers-{other}") for other in ENTRIES if other != name],
        )
    for name in ENTRIES:
        program = cluster.get(name)
        cluster.add_link(f"peers-{name}", program.addresses["peers"])
        cluster.wait_until_serving(program)
    for name in ENTRIES:
        wait_until(
            lambda name=name: has_joined(cluster, name), f"{name} has recorded all members", LIMIT_S
        )
    context.sent = {}


def has_joined(cluster, name):
    claims = get_json(cluster.get(name).addresses["control"], "/status")["claims"]
    return claims["peers"] == len(ENTRIES) - 1


@step("the service takes {delay:d} ms")
def slow_service(context, delay):
    for name in BACKENDS:
        context.cluster.set_faults(name, delay_ms=delay)


@step("the service cuts the next connection before its answer")
def cut_service(context):
    for name in BACKENDS:
        context.cluster.set_faults(name, cut_stage="before_answer", count=1)


@when('the key "{key}" is sent to all daemons at once')
def send_to_all(context, key):
    send_together(context, [(key, name) for name in ENTRIES * 2])


def send_together(context, sendings):
    tasks = [threading.Thread(target=send, args=(context, *sending)) for sending in sendings]
    for task in tasks:
        task.start()
    for task in tasks:
        task.join()


@when('the keys "{prefix}1" to "{last}6" are sent to all daemons at once')
def send_many_together(context, prefix, last):
    assert prefix == last
    keys = [f"{prefix}{number}" for number in range(1, 7)]
    send_together(context, [(key, name) for key in keys for name in ENTRIES])


@when('the key "{key}" is sent to "{entry}"')
def send_one(context, key, entry):
    send(context, key, entry)


@when('the key "{key}" is sent to "{entry}" and the caller loses the answer')
def send_and_lose_answer(context, key, entry):
    link = context.cluster.add_link("caller", context.cluster.find_entry(entry))
    context.cluster.set_link("caller", lose_answer="reset", lose_count=1)
    headers = {"Authorization": f"Bearer {KEY}", "Idempotency-Key": key}
    try:
        call(link, "POST", f"/services/{SERVICE}{PATH}", b"slot 7", headers)
    except OSError:
        return
    raise AssertionError("the call was answered, but its answer should have been lost")


@when('the key "{key}" is sent to "{entry}" and it is stopped gracefully at once')
def send_and_stop(context, key, entry):
    assert send(context, key, entry).status == 200, context.reply.body
    assert context.cluster.get(entry).stop() == 0


@when('the keys "{prefix}1" to "{last}6" are sent to each daemon in turn')
def send_many(context, prefix, last):
    assert prefix == last
    for number in range(1, 7):
        for entry in ENTRIES:
            send(context, f"{prefix}{number}", entry)


def send_in_background(context, key, entry):
    """Send a call in a thread; its daemon may be killed before it answers."""

    def run():
        try:
            send(context, key, entry, timeout_s=60)
        except OSError:
            return

    context.background = threading.Thread(target=run, daemon=True)
    context.background.start()


@given('"{entry}" writes its claims itself and their answers are held back')
def hold_answers(context, entry):
    # A first claim in the same partition, after which the next one writes without reading first.
    warm, partition = choose_key(context, entry)
    context.partition = f"p{partition:03d}"
    served = wait_until(
        lambda: skip_refusal(send(context, warm, entry), "claim_unavailable"), "served", LIMIT_S
    )
    assert served.status == 200, served.body
    wait_until(lambda: not list_pending(context), "all outcomes are written")
    context.key = make_key_in_same_partition(context, warm)
    for name in ENTRIES:
        context.cluster.set_link(name, freeze="to_caller")


def list_pending(context):
    """Return the claims of the partition without an outcome, bypassing injected faults."""
    address = context.cluster.platform.addresses["http"]
    items = get_json(address, f"/standin/objects/claims?prefix={context.partition}")["items"]
    claims = [claim for item in items for claim in item["value"]["claims"].values()]
    return [claim for claim in claims if "outcome" not in claim]


def wait_until_claimed(context):
    wait_until(lambda: len(list_pending(context)) == 1, "the claim is written", LIMIT_S)


@when('a key is sent to "{entry}" and it is killed once the claim stands')
def kill_when_claimed(context, entry):
    send_in_background(context, context.key, entry)
    wait_until_claimed(context)
    context.cluster.get(entry).kill()
    release_answers(context)


@when('a key is sent to "{entry}" and it is frozen once the claim stands')
def freeze_when_claimed(context, entry):
    send_in_background(context, context.key, entry)
    wait_until_claimed(context)
    context.frozen = context.cluster.get(entry)
    context.frozen.freeze()
    release_answers(context)


def release_answers(context):
    for name in ENTRIES:
        context.cluster.set_link(name)


@when('a key is sent to "{entry}" and it is killed once the service runs it')
def kill_when_run(context, entry):
    context.key = "k1"
    send_in_background(context, context.key, entry)
    wait_until(lambda: count_runs(context, context.key), "the service runs the call", LIMIT_S)
    context.cluster.get(entry).kill()


@step("the platform is {state}")
def set_platform(context, state):
    context.cluster.set_platform_faults(objects={"mode": state})


@step("the platform takes {delay:d} ms for each call")
def slow_platform(context, delay):
    context.cluster.set_platform_faults(objects={"delay_ms": delay})


@given("the platform loses the answers of the next {count:d} writes of claims")
def lose_answers(context, count):
    faults = {"lose_answers": count, "lose_kinds": ["claims"]}
    context.cluster.set_platform_faults(objects=faults)


@when("the platform also answers reads from {count:d} version before")
def answer_stale_reads(context, count):
    faults = {"lose_answers": 3, "lose_kinds": ["claims"], "versions_back": count}
    context.cluster.set_platform_faults(objects=faults)


@step('"{zone}" is cut from the platform')
def cut_from_platform(context, zone):
    for name in ENTRIES:
        if zone in name:
            context.cluster.set_link(name, mode="cut")


@step('"{zone}" is cut from the platform and from other zones')
def isolate_zone(context, zone):
    cut_from_platform(context, zone)
    for name in ENTRIES:
        others = [host for other, host in ZONE_HOSTS.items() if other not in name]
        context.cluster.set_link(f"peers-{name}", mode="cut", source=others[0])


@when('"{entry}" is frozen, which writes the claims of the next key')
def freeze_owner(context, entry):
    context.key, _ = choose_key(context, entry)
    context.frozen = context.cluster.get(entry)
    context.frozen.freeze()


@when('a new key of the partition of "{key}" is sent to "{entry}"')
def send_in_same_partition(context, key, entry):
    context.key = make_key_in_same_partition(context, key)
    send(context, context.key, entry)


@when('that key is sent to "{entry}"')
def send_that_key(context, entry):
    send(context, context.key, entry)
