"""Steps of gateway.feature."""

import json
import signal

from behave import given, then, when

from features.support.gateways import GatewaySite, Streams, is_ready
from features.support.processes import wait_until
from tests.gateway_site import make_events

NAMES = ("one", "two")
EVENT_MS = 25


@given('a store, a plain runner, an engine and the gateways "one" and "two"')
def build(context):
    context.site = site = GatewaySite(context.cluster)
    site.launch_runner("plain-1", "app")
    site.launch_runner("engine-1", "llm", event_ms=EVENT_MS)
    for name in NAMES:
        site.launch_gateway(name)
    for name in NAMES:
        site.wait_ready(context.cluster.programs[name])


def find_program(context, name):
    return context.cluster.programs[name]


def read_events(context, name, label):
    """Return the events with a label that a gateway wrote to standard output."""
    lines = find_program(context, name).output_file.read_text().splitlines(keepends=True)
    events = [json.loads(line) for line in lines if line.endswith("\n")]
    return [event for event in events if event.get("event") == label]


@when('{count:d} streams of {events:d} events are open at "{name}" and it gets SIGTERM')
def stop_with_streams(context, count, events, name):
    context.events = events
    context.streams = Streams(context.site, find_program(context, name), count, events)
    wait_until(
        lambda: all(
            context.site.count_runs("engine-1", f"stream-{number}") for number in range(count)
        ),
        "the streams are open",
    )
    find_program(context, name).terminate()


@then('"{name}" says that it is not ready while it still serves')
def check_not_ready_and_serving(context, name):
    wait_until(lambda: not is_ready(find_program(context, name)), "not ready")
    reply = context.site.ask(find_program(context, name), "/check/x", "after-sigterm")
    assert reply.status == 200, reply
    assert reply.headers.get("connection") == "close", reply


@then("every stream is whole")
def check_streams_complete(context):
    for request_id, reply in context.streams.wait().items():
        assert reply.is_whole, request_id
        assert reply.body == make_events(request_id, context.events), request_id


@then('"{name}" ends with exit code {code:d}')
def check_exit_code(context, name, code):
    assert find_program(context, name).wait() == code


@then('"{name}" serves')
def wait_until_serving(context, name):
    context.site.wait_ready(find_program(context, name))


def wait_for_holder_call(context, unlike=""):
    """Wait for a scaling call of a holder other than `unlike`, and return the last one."""

    def find_holder_call():
        calls = context.site.list_cloud_calls("/scale")
        return next((call for call in reversed(calls) if call["holder"] != unlike), None)

    return wait_until(find_holder_call, "a lease holder calls the cloud API", limit_s=30)


@when("the holder of the duties is killed")
def kill_holder(context):
    context.first = wait_for_holder_call(context)
    find_program(context, context.first["holder"]).kill()


@then("the other gateway orders copies under a higher number")
def check_other_holder_acts(context):
    second = wait_for_holder_call(context, unlike=context.first["holder"])
    assert second["fence"] > context.first["fence"], (context.first, second)


@when("the holder of the duties is frozen until the other one has acted, and thawed")
def freeze_holder(context):
    first = wait_for_holder_call(context)
    frozen = find_program(context, first["holder"])
    frozen.freeze()
    wait_for_holder_call(context, unlike=first["holder"])
    frozen.thaw()
    context.calls_before = len(context.site.list_cloud_calls("/usage"))


@then("no call comes later with a lower number than the one before")
def check_fences_rise(context):
    # Usage is reported every five seconds; two more reports show which gateway acts after the thaw.
    wait_until(
        lambda: len(context.site.list_cloud_calls("/usage")) >= context.calls_before + 2,
        "two more usage reports",
        limit_s=30,
    )
    for path in ("/scale", "/usage"):
        fences = [call["fence"] for call in context.site.list_cloud_calls(path)]
        assert fences == sorted(fences), fences


@when("a route is taken away and all gateways are killed at once")
def change_and_kill(context):
    context.site.apply(check=None)
    for name in NAMES:
        find_program(context, name).kill()


@when("both gateways are started again")
def start_again(context):
    for name in NAMES:
        context.site.launch_gateway(name)


@then("neither gateway ever serves the old route")
def check_removed_route_refused(context):
    for name in NAMES:
        gateway = find_program(context, name)
        statuses = set()
        wait_until(lambda seen=statuses, one=gateway: _record_status(context, one, seen), "404")
        assert statuses <= {503, 404}, statuses


def _record_status(context, gateway, statuses):
    status = context.site.ask(gateway, "/check/x", "old").status
    statuses.add(status)
    return status == 404


@given("the store is busy")
def make_store_busy(context):
    context.site.call_store("POST", "/standin/faults", {"mode": "busy"})


@when('"{name}" is killed and started again')
def restart(context, name):
    find_program(context, name).kill()
    context.site.launch_gateway(name)


@then('"{name}" answers 503 and says when to come back')
def check_not_ready_reply(context, name):
    reply = context.site.ask(find_program(context, name), "/check/x", "early")
    assert reply.status == 503, reply
    assert float(reply.headers["retry-after"]) > 0, reply


@when("the store is back")
def heal_store(context):
    context.site.call_store("POST", "/standin/faults", {"mode": "none"})


@when('the settings of "{name}" get {repeats:d} repeats, and then a mistake')
def change_settings(context, name, repeats):
    path = context.cluster.folder / f"{name}.json"
    settings = json.loads(path.read_text())
    path.write_text(json.dumps({**settings, "repeat_extra": repeats}))
    find_program(context, name)._process.send_signal(signal.SIGHUP)
    wait_until(lambda: read_events(context, name, "settings_changed"), "the change is logged")
    path.write_text(json.dumps({**settings, "unknown": 1}))


@then('"{name}" has logged the changed field, and the mistake')
def check_change_logged(context, name):
    (changed,) = read_events(context, name, "settings_changed")
    assert changed["fields"] == ["repeat_extra"], changed
    wait_until(
        lambda: read_events(context, name, "settings_unusable"), "the invalid settings are logged"
    )
