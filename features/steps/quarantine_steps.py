"""Steps of quarantine.feature, checked against the number of crashed services."""

import time

from behave import given, then, when

from features.support.operator_files import SERVICE, make_operator_file
from features.support.processes import wait_until

ZONE = "abdoun-hall"
CRASHING_CONTENT, HARMLESS_CONTENT = "this content ends its server", "harmless"


@given(
    "one zone with {entries:d} entry daemons and {services:d} services that end on a deadly call"
)
def build(context, entries, services):
    cluster = context.cluster
    cluster.launch_platform()
    context.services = [f"service-{number}" for number in range(services)]
    context.entries = [f"entry-{number}" for number in range(entries)]
    for name in context.services:
        cluster.launch_service(name, ends_on=CRASHING_CONTENT)
        cluster.register(name, ZONE, SERVICE)
    cluster.apply(make_operator_file((ZONE,)))
    start_entries(context)


def start_entries(context):
    for name in context.entries:
        context.cluster.launch_entry(name, ZONE)
    for name in context.entries:
        context.cluster.wait_until_serving(context.cluster.get(name))
        wait_until(
            lambda n=name: call_service(context, n, HARMLESS_CONTENT).status == 200,
            f"{name} serves calls",
        )


def call_service(context, entry, content):
    return context.cluster.call_service("/slots/1", content, entry=entry)


def count_ended(context):
    return sum(not context.cluster.get(name).is_running for name in context.services)


@when(
    "the deadly call is sent {times:d} times over {seconds:d} seconds, to each entry daemon in turn"
)
def send_repeatedly(context, times, seconds):
    context.replies = []
    for turn in range(times):
        entry = context.entries[turn % len(context.entries)]
        context.replies.append(call_service(context, entry, CRASHING_CONTENT))
        time.sleep(seconds / times)


@when("all entry daemons are killed and started again")
def restart(context):
    context.ended_before = count_ended(context)
    for name in context.entries:
        context.cluster.get(name).kill()
    start_entries(context)


@then("at least {fewest:d} and at most {most:d} services have ended")
def check_ended(context, fewest, most):
    assert fewest <= count_ended(context) <= most, count_ended(context)


@then("the last refusals say that it was not run and when to come back")
def check_refusals(context):
    for reply in context.replies[-len(context.entries) :]:
        error = reply.json["error"]
        assert (reply.status, error["kind"], error["ran"]) == (503, "quarantined", "no"), error
        assert float(reply.headers["retry-after"]) > 0


@then("{times:d} harmless calls to each entry daemon are answered")
def check_harmless(context, times):
    for entry in context.entries:
        statuses = [
            call_service(context, entry, f"{HARMLESS_CONTENT} {turn}").status
            for turn in range(times)
        ]
        assert statuses == [200] * times, statuses


@then("the deadly call is refused by each entry daemon and no further service ends")
def check_refused(context):
    for entry in context.entries:
        reply = call_service(context, entry, CRASHING_CONTENT)
        assert (reply.status, reply.json["error"]["kind"]) == (503, "quarantined"), reply
    assert count_ended(context) == context.ended_before
