"""Steps of membership.feature."""

import json
import time

from behave import given, then, when

from features.support.calls import get_json
from features.support.operator_files import make_operator_file
from features.support.processes import wait_until

LIMIT_S = 15
LIVE = ("alive", "suspect")


def launch_daemons(context, names, seeds=None):
    """Start daemons whose source IP identifies their zone, with peer links through the proxy."""
    advertised = {name: context.cluster.add_link(name) for name in names}
    seeds = seeds or [advertised[names[0]]]
    programs = [launch(context, name, advertised[name], seeds) for name in names]
    for program in programs:
        context.cluster.add_link(program.name, program.addresses["peers"])


def launch(context, name, advertised, seeds):
    zone, number = name.split("-")
    return context.cluster.launch_entry(
        name,
        zone,
        peer_listen=f"127.{10 + ord(zone)}.0.{number}:0",
        peer_advertise=advertised,
        probe_period_ms=context.period_ms,
        seeds=seeds,
    )


def find_source(name):
    """Return the source IP prefix of a zone or a daemon."""
    zone, _, number = name.partition("-")
    return f"127.{10 + ord(zone)}.0.{number}"


def list_running(context, zones=""):
    daemons = context.cluster.list_daemons()
    return [item for item in daemons if not zones or item.settings["zone"] in zones.split()]


def read_members(program):
    status = get_json(program.addresses["control"], "/status")
    return {member["name"]: member["state"] for member in status["members"]}


def list_seen(program):
    return {name for name, state in read_members(program).items() if state in LIVE}


def wait_until_seen(programs, names, limit_s=LIMIT_S):
    wait_until(lambda: all(list_seen(item) == names for item in programs), "members", limit_s)


@given('zones "{zones}" with {count:d} entry daemons each that probe every {period_ms:d} ms')
def start_zones(context, zones, count, period_ms):
    context.period_ms = period_ms
    context.cluster.launch_platform()
    numbers = range(1, count + 1)
    launch_daemons(context, [f"{zone}-{number}" for number in numbers for zone in zones.split()])
    check_all_seen(context)


@given("the entry daemons stand in the VM list and zones in the operator file")
def register_daemons(context):
    programs = list_running(context)
    for program in programs:
        context.cluster.register(
            program.name,
            program.settings["zone"],
            "hemlock-entry",
            address=program.addresses["callers"],
            control_address=program.settings["peer_advertise"],
        )
    zones = sorted({program.settings["zone"] for program in programs})
    context.cluster.apply(make_operator_file(tuple(zones)))


@when('daemon "{name}" is killed')
def kill_daemon(context, name):
    context.cluster.get(name).kill()


@when('the link between "{first}" and "{second}" is cut for {seconds:d} seconds')
def cut_link(context, first, second, seconds):
    context.cluster.set_link(first, source=find_source(second), mode="cut")
    context.cluster.set_link(second, source=find_source(first), mode="cut")
    time.sleep(seconds)


@when('zone "{zone}" is cut off')
def cut_zone(context, zone):
    set_cut(context, zone, "black_hole")
    context.cut_zone = zone


@when("the cut heals")
def heal_zone(context):
    # Reset the connections first: data buffered by the black hole must not heal the cut.
    set_cut(context, context.cut_zone, "cut")
    set_cut(context, context.cut_zone, "pass")


def set_cut(context, zone, mode):
    names = [item.name for item in list_running(context)]
    inside = [name for name in names if name.startswith(zone)]
    outside = {name[0] for name in names} - {zone}
    for name in names:
        for other in outside if name in inside else [zone]:
            context.cluster.set_link(name, source=find_source(other), mode=mode)


@when('all daemons of zone "{zone}" are killed and {count:d} others start with the old seeds')
def replace_zone(context, zone, count):
    old = list_running(context, zone)
    seeds = [item.settings["peer_advertise"] for item in old]
    for item in old:
        item.kill()
    launch_daemons(context, [f"{zone}-{number}" for number in range(11, 11 + count)], seeds)


@when('daemon "{name}" is frozen until the others call it dead')
def freeze_daemon(context, name):
    context.cluster.get(name).freeze()
    others = [item for item in list_running(context) if item.name != name]
    wait_until(lambda: all(name not in list_seen(item) for item in others), "dead", LIMIT_S)


@when('daemon "{name}" goes on')
def thaw_daemon(context, name):
    context.cluster.get(name).thaw()


@then('the others call "{name}" dead within {seconds:d} seconds')
def check_dead(context, name, seconds):
    programs = list_running(context)
    # Only that daemon must be dead: an isolated daemon lists all other members as dead.
    wait_until_seen(programs, {item.name for item in programs}, seconds)
    assert all(read_members(item)[name] == "dead" for item in programs)


@then("nobody was suspected")
def check_none_suspected(context):
    for program in list_running(context):
        lines = [line for line in program.log_file.read_text().splitlines() if line.startswith("{")]
        changes = [json.loads(line) for line in lines if "member_changed" in line]
        assert [one for one in changes if one["state"] != "alive"] == []


@then('the daemons of zones "{zones}" see just zones "{seen}"')
def check_seen(context, zones, seen):
    names = {item.name for item in list_running(context, seen)}
    wait_until_seen(list_running(context, zones), names)


@then("every daemon sees all others")
def check_all_seen(context):
    programs = list_running(context)
    wait_until_seen(programs, {item.name for item in programs})
