"""Steps of lease.feature."""

import time

from behave import given, then, when

from features.support.calls import call, get_json, post_json
from features.support.controllers import (
    count_events,
    is_holder,
    read_lease,
    read_status,
    wait_for_holder,
)
from features.support.operator_files import MODEL, make_operator_file
from features.support.processes import HarnessError, wait_until

ZONE = "abdoun-hall"
ENGINES = ("checking", "ignoring")
CONTROLLER = {
    "lease": {
        "term_ms": 3_000,
        "renew_ms": 700,
        "stop_before_ms": 1_200,
        "margin_ms": 200,
        "look_ms": 200,
    },
    "copies": {"pass_ms": 150, "gone_after_ms": 60_000},
    "order_timeout_ms": 1_000,
}
LONG_LEASE = {**CONTROLLER["lease"], "term_ms": 12_000, "renew_ms": 5_000}
STALE_NUMBER = 1
ORDER_DELAY_MS = 300
MAX_PAUSE_ATTEMPTS = 5


@given(
    'a platform, an engine "{checking}" that checks fencing numbers and an engine "{ignoring}" '
    "that does not"
)
def start_engines(context, checking, ignoring):
    cluster = context.cluster
    cluster.launch_platform()
    cluster.launch_engine(checking, checks_fencing=True, load_lag_ms=50)
    cluster.launch_engine(ignoring, checks_fencing=False, load_lag_ms=50)
    for name in ENGINES:
        address = cluster.add_link(name, cluster.get(name).addresses["http"])
        cluster.register(name, ZONE, MODEL, address=address)
    models = [{"name": MODEL, "licensed_copies": 2, "min_copies": 2}]
    cluster.apply(make_operator_file((ZONE,), models=models))


@given('the controller "{name}" holds the zone\'s lease')
def start_holder(context, name):
    believes = "believe" in context.scenario.name
    lease = LONG_LEASE if believes else CONTROLLER["lease"]
    context.cluster.launch_controller(name, ZONE, **{**CONTROLLER, "lease": lease})
    wait_for_holder(context.cluster, name)
    reset_engines(context)
    wait_until(lambda: all_serve(context), "first orders")


@given('the controller "{name}" is its successor')
def start_successor(context, name):
    context.cluster.launch_controller(name, ZONE, **CONTROLLER)
    wait_until(lambda: read_status(context.cluster, name), f"{name} answers")


def reset_engines(context):
    """Reset the state of both engines, as their restart would.

    This sends no order: the number of an order read a moment before would be stale as soon as
    a successor has sent its first order.
    """
    for name in ENGINES:
        post_json(context.cluster.get(name).addresses["http"], "/standin/drain", {})


def count_orders(context, name):
    return len(context.cluster.read_stats(name)["orders"])


def all_serve(context):
    stats = [context.cluster.read_stats(name) for name in ENGINES]
    return all(not one["draining"] and one["models"] == [MODEL] for one in stats)


@when('"{holder}" is paused between its order to "{first}" and its order to "{second}"')
def pause_holder(context, holder, first, second):
    cluster = context.cluster
    cluster.set_link(first, delay_ms=ORDER_DELAY_MS)
    for _ in range(MAX_PAUSE_ATTEMPTS):
        reset_engines(context)
        given_first, given_second = count_orders(context, first), count_orders(context, second)
        wait_until(lambda count=given_first: count_orders(context, first) > count, "an order")
        cluster.get(holder).freeze()
        if count_orders(context, second) == given_second:
            break
        # On a slow machine the second order was sent before the freeze: let it complete and retry.
        cluster.get(holder).thaw()
        wait_until(lambda: all_serve(context), "orders")
    else:
        raise HarnessError(f"{holder} could not be frozen between two orders")
    cluster.set_link(first)


@when('"{name}" holds the lease and has put both engines in order')
def wait_for_successor(context, name):
    wait_for_holder(context.cluster, name)
    order_both(context, name)


@when('"{name}" has put both engines in order')
def order_both(context, name):
    """Request orders until both engines have recorded the number of the controller `name`."""

    def has_recorded_number(engine):
        number = read_status(context.cluster, name)["lease"]["fencing"]
        return context.cluster.read_stats(engine)["highest_fencing"] >= number - 1

    def is_done():
        reset_engines(context)
        wait_until(lambda: all_serve(context), f"{name} has ordered both engines to serve")
        return all(has_recorded_number(engine) for engine in ENGINES)

    wait_until(is_done, f"both engines have recorded the number of {name}")


@when('"{name}" is woken')
def thaw_holder(context, name):
    context.cluster.get(name).thaw()


@then('"{name}" has given up the lease')
def check_lease_lost(context, name):
    wait_until(
        lambda: count_events(context.cluster, name, "lease_lost"),
        f"{name} has logged the loss of the lease",
    )
    assert not is_holder(context.cluster, name)


@then("no engine has seen an order of an older number")
def check_no_stale(context):
    for name in ENGINES:
        stats = context.cluster.read_stats(name)
        assert stats["stale_orders_refused"] == 0, stats
        assert stats["stale_orders_applied"] == 0, stats


@then("both engines serve")
def check_serving(context):
    wait_until(lambda: all_serve(context), "both engines serve")
    for _ in range(10):
        assert all_serve(context)
        time.sleep(0.05)


@when('"{new}" gets the lease and "{old}" does not hear of it')
def transfer_lease(context, new, old):
    address = context.cluster.platform.addresses["http"]
    released = {"holder": "", "write": "", "term_ms": 0}
    assert call(address, "PUT", f"/objects/leases/{ZONE}", released).status == 200
    wait_for_holder(context.cluster, new)
    assert is_holder(context.cluster, old)


@when("both engines ask for orders {count:d} times")
def reset_engines_repeatedly(context, count):
    for _ in range(count):
        reset_engines(context)
        wait_until(lambda: all_serve(context), "both engines serve")


@then('"{name}" has refused {count:d} order and taken none of an older number')
def check_refusals(context, name, count):
    stats = context.cluster.read_stats(name)
    assert stats["stale_orders_refused"] == count, stats
    assert stats["stale_orders_applied"] == 0, stats


@when("an order of an older number to drain reaches both engines")
def send_stale_order(context):
    wanted = {"models": [MODEL], "role": "mixed", "state": "drained"}
    order = {"fencing": STALE_NUMBER, "wanted": wanted}
    context.answers = {
        name: call(context.cluster.get(name).addresses["http"], "POST", "/v1/orders", order).status
        for name in ENGINES
    }


@then('"{name}" has refused it')
def check_refused(context, name):
    assert context.answers[name] == 409
    assert context.cluster.read_stats(name)["stale_orders_refused"] == 1


@then('"{name}" is put back in order by a newer order')
def check_repaired(context, name):
    def is_repaired():
        last = context.cluster.read_stats(name)["orders"][-1]
        return last["fencing"] > STALE_NUMBER and last["wanted"]["state"] == "serving"

    assert context.answers[name] == 200
    wait_until(is_repaired, f"{name} repaired")


@when("the platform is down")
def stop_platform(context):
    context.cluster.set_platform_faults(objects={"mode": "down"})


@then('the lease of "{name}" lapses')
def check_lapse(context, name):
    wait_until(lambda: not is_holder(context.cluster, name), f"the lease of {name} lapsed")


@then("the engines get no order when they ask for one")
def check_no_orders(context):
    reset_engines(context)
    before = [count_orders(context, name) for name in ENGINES]
    time.sleep(1)
    assert before == [count_orders(context, name) for name in ENGINES]


@when("the platform is up again")
def heal_platform(context):
    context.cluster.set_platform_faults(objects={})


@then("one controller holds the lease")
def check_one_holder(context):
    names = ("control-1", "control-2")
    wait_until(lambda: any(is_holder(context.cluster, name) for name in names), "a holder")


@when("the answers to the next {count:d} writes of the lease are lost")
def lose_answers(context, count):
    faults = {"lose_answers": count, "lose_kinds": ["leases"]}
    context.cluster.set_platform_faults(objects=faults)
    address = context.cluster.platform.addresses["http"]
    wait_until(
        lambda: get_json(address, "/standin/stats")["calls"]["lost_answers"] == count, "lost"
    )
    version = read_lease(context.cluster, ZONE)["version"]
    wait_until(lambda: read_lease(context.cluster, ZONE)["version"] > version, "a renewal")


@then('"{name}" has held the lease all the time')
def check_held(context, name):
    assert is_holder(context.cluster, name)
    assert count_events(context.cluster, name, "lease_taken") == 1
    assert count_events(context.cluster, name, "lease_lost") == 0
    assert read_lease(context.cluster, ZONE)["value"]["holder"] == name


@then("its number is the lease's version")
def check_number(context):
    def is_same():
        fencing = read_status(context.cluster, "control-1")["lease"]["fencing"]
        return fencing == read_lease(context.cluster, ZONE)["version"]

    wait_until(is_same, "the number is the lease's version")
