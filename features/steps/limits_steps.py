"""Steps of limits.feature."""

import threading
import time
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass

from behave import given, then, when

from features.support.calls import call, get_json
from features.support.operator_files import (
    ACCOUNT,
    KEY,
    SERVICE,
    ZONES,
    make_account,
    make_operator_file,
)
from features.support.processes import wait_until
from features.support.zone_links import ZoneLinks

AUTHORIZATION = {"Authorization": f"Bearer {KEY}"}
THREADS = 48
BURST_S = 1
LAST_PERIOD_S = 2
SETTLE_LIMIT_S = 15


@dataclass(frozen=True)
class Outcome:
    """The outcome of one offered request."""

    zone: str
    sent_s: float
    status: int
    error: dict


@given(
    "two zones with two entry VMs each and an account of {rate:d} requests a second "
    "and {slots:d} at a time"
)
def build(context, rate, slots):
    cluster = context.cluster
    context.rate, context.slots = rate, slots
    account = make_account(ACCOUNT, KEY, requests_per_second=rate, concurrent_requests=slots)
    cluster.build(entries=0, engines=0, file=make_operator_file(client_accounts=[account]))
    context.links = ZoneLinks(cluster, ZONES)
    context.links.launch_entries(2)
    for program in cluster.list_daemons():
        cluster.wait_until_serving(program)
    wait_until(lambda: is_divided(context), "the limit is divided", SETTLE_LIMIT_S)


def read_limits(program):
    accounts = get_json(program.addresses["control"], "/status")["limits"]["accounts"]
    return accounts.get(ACCOUNT, {"held": [0, 0, 0], "granted": [0, 0, 0], "lent": [0, 0, 0]})


def is_divided(context):
    held = [read_limits(program)["held"] for program in context.cluster.list_daemons()]
    return sum(one[0] for one in held) == context.rate and all(one[0] for one in held)


@given('the only service is in "{zone}" and takes {ms:d} ms')
def keep_one_service(context, zone, ms):
    context.cluster.set_faults(f"service-{zone}-1", delay_ms=ms)
    for other in set(ZONES) - {zone}:
        context.cluster.reclaim(f"service-{other}-1")
    context.only_service = f"service-{zone}-1"
    names = [f"service-{other}-1" for other in ZONES if other != zone]
    wait_until(lambda: is_unused(context, names), "the other services get no calls")


def is_unused(context, names):
    """Return whether calls through every entry VM reach none of these services."""
    before = [context.cluster.read_stats(name)["runs"] for name in names]
    for program in context.cluster.list_daemons():
        for _ in range(2):
            path = f"/services/{SERVICE}/slots"
            call(program.addresses["callers"], "GET", path, None, AUTHORIZATION)
    return before == [context.cluster.read_stats(name)["runs"] for name in names]


def offer(context, programs, rate, seconds):
    """Send requests at a steady rate to the programs in turn, and record every outcome."""
    before = count_runs(context)
    targets = [(item.settings["zone"], item.addresses["callers"]) for item in programs]
    began = time.monotonic()

    def send(number):
        due = began + number / rate
        time.sleep(max(due - time.monotonic(), 0))
        zone, address = targets[number % len(targets)]
        try:
            reply = call(address, "GET", f"/services/{SERVICE}/slots", None, AUTHORIZATION)
        except OSError:
            return Outcome(zone, due - began, 0, {})
        error = {} if reply.status == 200 else reply.json["error"]
        return Outcome(zone, due - began, reply.status, error)

    with ThreadPoolExecutor(THREADS) as pool:
        context.outcomes = list(pool.map(send, range(int(rate * seconds))))
    context.took_s = time.monotonic() - began
    context.ran = count_runs(context) - before


def count_runs(context):
    return sum(context.cluster.read_stats(f"service-{zone}-1")["runs"] for zone in ZONES)


@when("{rate:d} requests a second go to all entry VMs for {seconds:d} seconds")
def offer_everywhere(context, rate, seconds):
    offer(context, context.cluster.list_daemons(), rate, seconds)


@when('{rate:d} requests a second go to "{name}" for {seconds:d} seconds')
def offer_at_one(context, rate, name, seconds):
    offer(context, [context.cluster.get(name)], rate, seconds)


@when(
    '"{name}" is killed while {rate:d} requests a second go to all entry VMs for {seconds:d} seconds'
)
def kill_under_load(context, name, rate, seconds):
    limits = read_limits(context.cluster.get(name))
    assert limits["borrowed"][0] > 0, limits
    programs = context.cluster.list_daemons()
    timer = threading.Timer(0.5, context.cluster.get(name).kill)
    timer.start()
    offer(context, programs, rate, seconds)
    timer.join()


@when('"{name}" is frozen until another daemon has a part of its share')
def freeze(context, name):
    cluster = context.cluster
    frozen = cluster.get(name)
    granted = read_limits(frozen)["granted"][0]
    zone = frozen.settings["zone"]
    others = [item for item in cluster.list_daemons(zone=zone) if item.name != name]
    frozen.freeze()
    context.frozen = frozen
    wait_until(
        lambda: sum(read_limits(item)["granted"][0] for item in others) > granted,
        "a part of the frozen daemon's share is granted to others",
        30,
    )


@when("it wakes while {rate:d} requests a second go to all entry VMs for {seconds:d} seconds")
def thaw_under_load(context, rate, seconds):
    timer = threading.Timer(0.2, context.frozen.thaw)
    timer.start()
    offer(context, context.cluster.list_daemons(), rate, seconds)


@when('"{zone}" is cut off from the other zone and the platform')
def cut_off(context, zone):
    context.links.cut_zone(zone)
    context.links.cut_platform(zone)


@when("the platform answers nobody any more")
def stop_platform(context):
    context.cluster.set_platform_faults(objects={"mode": "refused"})


@then("the account ran no more than its limit, and at least {percent:d} % of it")
def check_rate(context, percent):
    most = context.rate * (context.took_s + BURST_S)
    least = context.rate * context.took_s * percent / 100
    rate = context.ran / context.took_s
    figures = f"{context.ran} ran in {context.took_s:.2f} s, {rate:.1f} a second"
    print(f"    {figures}; allowed {most:.0f}")
    assert context.ran <= most, f"{figures}: over {most:.0f}"
    assert context.ran >= least, f"{figures}: under {least:.0f}"


@then("each refusal says that nothing ran and when to come back")
def check_refusals(context):
    refused = [outcome.error for outcome in context.outcomes if outcome.status != 200]
    assert refused
    assert {error["kind"] for error in refused} <= {"request_limit", "concurrency_limit"}, refused
    assert {error["ran"] for error in refused} == {"no"}
    assert all(0 < error["retry_after_ms"] <= 60_000 for error in refused)


@then("never more than {slots:d} ran at a time, and {least:d} did")
def check_slots(context, slots, least):
    most = context.cluster.read_stats(context.only_service)["most_running"]
    print(f"    at most {most} ran at a time, {context.ran} in all")
    assert least <= most <= slots, most


@then("each zone ran some in the last {seconds:d} seconds")
def check_last(context, seconds):
    end_s = max(outcome.sent_s for outcome in context.outcomes)
    late = [item for item in context.outcomes if item.sent_s > end_s - seconds]
    counts = {zone: sum(o.status == 200 for o in late if o.zone == zone) for zone in ZONES}
    print(f"    in the last {seconds} s: {counts}")
    assert all(counts.values()), counts


@then("the others have back what they had lent")
def check_returned(context):
    lent = [read_limits(program)["lent"][0] for program in context.cluster.list_daemons()]
    assert sum(lent) <= context.rate // 2, lent
    held = [read_limits(program)["held"][0] for program in context.cluster.list_daemons()]
    assert sum(held) >= context.rate // 2, held
