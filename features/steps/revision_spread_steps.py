"""Steps of revision_spread.feature."""

import time

from behave import given, step, then, when

from features.support.calls import call, get_json
from features.support.operator_files import MODEL, make_operator_file
from features.support.operators import Operator
from features.support.processes import wait_until
from features.support.zone_links import ZoneLinks


def make_changed_file(zones, copies):
    return make_operator_file(zones, models=[{"name": MODEL, "licensed_copies": copies}])


def read_configuration(program):
    return get_json(program.addresses["control"], "/status")["configuration"]


def list_numbers(program):
    return [row["number"] for row in read_configuration(program)["in_force"]]


def wait_for_number(context, number, seconds, zone=None):
    daemons = context.cluster.list_daemons(zone=zone)
    began = time.monotonic()
    for program in daemons:
        left_s = max(began + seconds - time.monotonic(), 0.1)
        wait_until(
            lambda item=program: read_configuration(item)["number"] == number,
            f"revision {number} at {program.name}",
            left_s,
        )


@given('the platform and two entry daemons in each of "{first}" and "{second}"')
def start_zones(context, first, second):
    cluster, context.zones = context.cluster, (first, second)
    cluster.launch_platform()
    context.links = ZoneLinks(cluster, context.zones)
    context.operator = Operator(cluster.folder, cluster.platform.addresses["http"])
    context.copies = 8
    context.before_kill = {}
    context.links.launch_entries(2)


@given("revision 1 is in force everywhere")
def apply_first(context):
    outcome = context.operator.run("apply", make_changed_file(context.zones, context.copies))
    assert outcome.code == 0, outcome
    context.seen = 1
    wait_for_number(context, 1, 15)
    for program in context.cluster.list_daemons():
        context.cluster.wait_until_serving(program)


def apply_change(context, *options):
    context.copies += 1
    file = make_changed_file(context.zones, context.copies)
    outcome = context.operator.run("apply", file, "--from", str(context.seen), *options)
    context.seen = outcome.answer.get("number", context.seen)
    return outcome


@when("an operator applies a change and waits")
def apply_and_wait(context):
    context.outcome = apply_change(context, "--wait", "15")


@step("an operator applies {count:d} changes")
def apply_changes(context, count):
    for _ in range(count):
        outcome = apply_change(context)
        assert outcome.code == 0, outcome


@then("the command says that it is in force in both zones")
def check_in_force(context):
    assert context.outcome.code == 0, context.outcome
    states = {row["zone"]: row["state"] for row in context.outcome.answer["zones"]}
    assert states == dict.fromkeys(context.zones, "in_force"), states


@step("revision {number:d} is in force everywhere within {seconds:d} seconds")
def check_everywhere(context, number, seconds):
    wait_for_number(context, number, seconds)


@step('revision {number:d} is in force in "{zone}" within {seconds:d} seconds')
def check_zone(context, number, zone, seconds):
    wait_for_number(context, number, seconds, zone)


@then('revision {number:d} is still in force in "{zone}"')
def check_still(context, number, zone):
    for program in context.cluster.list_daemons(zone=zone):
        assert list_numbers(program)[-1] == number


@then("every daemon's revisions only rose")
def check_rising(context):
    for program in context.cluster.list_daemons():
        numbers = context.before_kill.get(program.name, []) + list_numbers(program)
        rising = list_numbers(program)
        assert rising == sorted(set(rising)), (program.name, rising)
        assert numbers == sorted(numbers), (program.name, numbers)


@when('the daemon "{name}" freezes')
def freeze(context, name):
    context.cluster.get(name).freeze()


@when('the daemon "{name}" thaws')
def thaw(context, name):
    context.cluster.get(name).thaw()


@when('the daemon "{name}" dies')
def kill(context, name):
    program = context.cluster.get(name)
    context.before_kill[name] = list_numbers(program)
    program.kill()


@when('every daemon of "{zone}" dies')
def kill_zone(context, zone):
    for program in context.cluster.list_daemons(zone=zone):
        program.kill()


@when('the daemon "{name}" starts again')
def start_again(context, name):
    zone = context.cluster.get(name).settings["zone"]
    context.links.launch_entry(name, zone)


@when('a new daemon "{name}" starts in "{zone}"')
def start_new(context, name, zone):
    context.links.launch_entry(name, zone)


@when("the platform goes down")
def stop_platform(context):
    context.cluster.set_platform_faults(objects={"mode": "down"}, cloud={"mode": "down"})


@when("the platform serves reads from {count:d} versions back")
def serve_stale_reads(context, count):
    context.cluster.set_platform_faults(objects={"versions_back": count})


@then('the daemon "{name}" got the whole file from a peer')
def check_consistent(context, name):
    received = read_configuration(context.cluster.get(name))["received"]
    assert (received["by_whole"], received["by_platform"]) == (1, 0), received


@then('the daemon "{name}" takes new work')
def check_serving(context, name):
    context.cluster.wait_until_serving(context.cluster.get(name))


@then('the daemon "{name}" refuses work for {seconds:d} seconds')
def check_refusing(context, name, seconds):
    program = context.cluster.get(name)
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        assert call(program.addresses["callers"], "GET", "/healthz").status == 503
        time.sleep(0.1)


@when('zone "{zone}" is cut off from the platform')
def cut_platform(context, zone):
    context.links.cut_platform(zone)


@when('zone "{zone}" is cut off from the other zone')
def cut_zone(context, zone):
    context.links.cut_zone(zone)


@when('zone "{zone}" is joined to the platform again')
def heal_platform(context, zone):
    context.links.heal_platform(zone)


@when('zone "{zone}" is joined to the other zone again')
def heal_zone(context, zone):
    context.links.heal_zone(zone)


@then('no daemon of "{zone}" got a whole file or asked the platform for one')
def check_differences(context, zone):
    for program in context.cluster.list_daemons(zone=zone):
        configuration = read_configuration(program)
        late = [row for row in configuration["in_force"] if row["number"] > 1]
        assert all(row["source"] != "platform" for row in late), late
        assert configuration["received"]["by_whole"] <= 1, configuration


@then('waiting for the change names "{zone}" and the age of its last word')
def check_named(context, zone):
    file = make_changed_file(context.zones, context.copies)
    outcome = context.operator.run("apply", file, "--from", str(context.seen), "--wait", "1")
    assert outcome.code == 6, outcome
    rows = {row["zone"]: row for row in outcome.answer["zones"]}
    assert rows[zone]["state"] == "silent" and rows[zone]["age_ms"] > 0, rows
