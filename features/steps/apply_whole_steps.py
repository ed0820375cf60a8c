"""Steps of apply_whole.feature."""

import json

from behave import given, step, then, when

from features.support.calls import call, get_json
from features.support.operator_files import MODEL, make_operator_file
from features.support.operators import Operator, finish
from features.support.processes import ROOT, wait_until

ZONES = ("abdoun-hall", "khalda-hall")
OPERATORS = ("first", "second")
SLOW_MS = 400
LARGE = [f"vm-{number:050}" for number in range(20_000)]
MISTAKES = {
    "a bad field": {"models": [{"name": MODEL, "licensed_copies": 0}]},
    "a licence that cannot be met": {
        "models": [{"name": MODEL, "licensed_copies": 2, "min_copies": 3}]
    },
    "more than the platform stores": {"draining": LARGE},
}


def make_file(copies, **fields):
    models = [{"name": MODEL, "licensed_copies": copies}]
    return make_operator_file(ZONES, **{"models": models, **fields})


def make_invalid_file(mistake):
    if mistake == "an unknown reference":
        file = make_file(1)
        file["client_accounts"][0]["uses"] = ["no-such-model"]
        return file
    return make_file(1, **MISTAKES[mistake])


def read_object(context, kind, name):
    reply = call(context.platform, "GET", f"/objects/{kind}/{name}")
    return reply.json["value"] if reply.status == 200 else None


def read_current_number(context):
    return read_object(context, "pointers", "current")["number"]


def list_revisions(context):
    items = get_json(context.platform, "/objects/revisions")["items"]
    return sorted(item["value"]["number"] for item in items)


@given("the platform behind a link for each of two operators")
def start_platform(context):
    cluster = context.cluster
    cluster.launch_platform()
    cluster.proxy  # noqa: B018 - starts the proxy in parallel with the platform
    context.platform = cluster.platform.addresses["http"]
    context.operators = {
        name: Operator(cluster.folder, cluster.add_link(name, context.platform), name)
        for name in OPERATORS
    }


@given("a file is in force as revision 1")
def apply_first(context):
    assert context.cluster.apply(make_file(1)) == 1


@when('"{name}" applies a file with {mistake}')
def apply_invalid_file(context, name, mistake):
    context.outcome = context.operators[name].run(
        "apply", make_invalid_file(mistake), "--from", "1"
    )


@then('the command refuses it at "{path}" because of "{reason}"')
def check_mistake(context, path, reason):
    check_refusal(context.outcome, path, reason)


@then('the command refuses it at "" because of "{reason}"')
def check_whole_mistake(context, reason):
    check_refusal(context.outcome, "", reason)


def check_refusal(outcome, path, reason):
    assert outcome.code == 2, outcome
    found = {row["path"]: row["reason"] for row in outcome.answer["mistakes"]}
    assert reason in found[path], found


@then("revision 1 alone is in the platform")
def check_only_first_revision(context):
    assert (read_current_number(context), list_revisions(context)) == (1, [1])


@given("the links are slow")
def slow_links(context):
    for name in OPERATORS:
        context.cluster.set_link(name, delay_ms=SLOW_MS)


@when('"{first}" and "{second}" apply different files at the same time')
def apply_concurrently(context, first, second):
    context.files = {first: make_file(5), second: make_file(7)}
    running = {
        name: context.operators[name].start("apply", file, "--from", "1")
        for name, file in context.files.items()
    }
    context.outcomes = {name: finish(process) for name, process in running.items()}


@then("one of them wins and the other gets a conflict with the difference")
def check_race(context):
    codes = {name: outcome.code for name, outcome in context.outcomes.items()}
    assert sorted(codes.values()) == [0, 3], context.outcomes
    context.winner = min(codes, key=lambda name: codes[name])
    loser = context.outcomes[max(codes, key=lambda name: codes[name])].answer
    path = f"models/{MODEL}/licensed_copies = "
    won, lost = (5, 7) if context.winner == "first" else (7, 5)
    assert loser["their_changes"] == [f"{path}{won}"], loser
    assert loser["our_changes"] == [f"{path}{lost}"], loser


@then("the winner's file is in the platform, whole")
def check_winner(context):
    number = read_current_number(context)
    assert number == context.outcomes[context.winner].answer["number"]
    stored = read_object(context, "revisions", str(number))
    assert stored["file"]["models"][0]["licensed_copies"] == (5 if context.winner == "first" else 7)
    assert stored["digest"] == context.outcomes[context.winner].answer["digest"]


@given('"{name}" has applied a change')
def apply_other(context, name):
    outcome = context.operators[name].run("apply", make_file(3), "--from", "1")
    assert outcome.code == 0, outcome


@when('"{name}" applies a file from revision {number:d}')
def apply_from(context, name, number):
    context.outcome = context.operators[name].run("apply", make_file(4), "--from", str(number))


@then('"{name}" gets a conflict that names what "{other}" changed')
def check_conflict(context, name, other):
    assert context.outcome.code == 3, context.outcome
    changes = context.outcome.answer["their_changes"]
    assert changes == [f"models/{MODEL}/licensed_copies = 3"], changes
    assert read_current_number(context) == 2


@given('the answer to the next write of "{kind}" is lost')
def lose_answer(context, kind):
    faults = {"lose_answers": 1, "lose_kinds": [kind]}
    context.writes = count_writes(context, "pointers")
    context.cluster.set_platform_faults(objects=faults)


def count_writes(context, kind):
    return read_counts(context)["writes_by_kind"].get(kind, 0)


def read_counts(context):
    return context.cluster.read_stats("platform")["calls"]


@when('"{name}" applies a change')
def apply_change(context, name):
    context.outcome = context.operators[name].run(
        "apply", make_file(2), "--from", "1", "--patience", "3"
    )


@then('it is applied as revision {number:d} with one write of "{kind}"')
def check_applied(context, number, kind):
    assert context.outcome.code == 0, context.outcome
    assert context.outcome.answer["number"] == number == read_current_number(context)
    assert read_counts(context)["lost_answers"] == 1
    assert count_writes(context, kind) == context.writes + 1


@when('"{name}" applies a change and is killed after the first write')
def kill_between_writes(context, name):
    process = context.operators[name].start("apply", make_file(2), "--from", "1")
    wait_until(lambda: read_object(context, "revisions", "2"), "the write of the revision object")
    process.kill()
    process.communicate()


@then("revision {number:d} is still in force")
def check_in_force(context, number):
    assert read_current_number(context) == number


@step('"{name}" can apply a change, as revision {number:d}')
def check_next(context, name, number):
    context.cluster.set_link(name)
    outcome = context.operators[name].run("apply", make_file(9), "--from", "1")
    assert outcome.code == 0 and outcome.answer["number"] == number, outcome
    assert read_current_number(context) == number


@then("the history shows revision {number:d} as never in force")
def check_history(context, number):
    rows = context.operators["second"].run("history").answer["revisions"]
    states = {row["number"]: row["state"] for row in rows}
    assert states == {3: "in force", number: "never in force", 1: "replaced"}, states


@given("the platform goes down")
def stop_platform(context):
    context.cluster.set_platform_faults(objects={"mode": "down"})


@then("the command says that nothing was changed")
def check_unavailable(context):
    assert context.outcome.code == 4, context.outcome
    context.cluster.set_platform_faults(objects={})
    assert read_current_number(context) == 1


@when('"{name}" applies the example "{example}"')
def apply_example(context, name, example):
    text = (ROOT / "docs" / "examples" / f"{example}.json").read_text()
    context.example = json.loads(text)
    context.outcome = context.operators[name].run("apply", text, "--from", "1")


@then("it is in the platform, whole, as revision {number:d}")
def check_example(context, number):
    assert context.outcome.code == 0 and read_current_number(context) == number, context.outcome
    stored = read_object(context, "revisions", str(number))["file"]
    for field in ("client_accounts", "models", "services"):
        wanted = {row["name"] for row in context.example[field]}
        assert {row["name"] for row in stored[field]} == wanted
