"""Steps of at_most_once.feature: checks of the runs and of the replies to callers."""

import time

from behave import then

from features.support.keyed_calls import (
    ENTRIES,
    LIMIT_S,
    count_runs,
    list_kinds,
    send,
    skip_refusal,
)
from features.support.processes import wait_until


@then("every key is answered in the end and has run 1 time")
def check_all_answered(context):
    for key in list(context.sent):
        wait_until(
            lambda key=key: send(context, key, ENTRIES[1]).status == 200, f"{key} served", LIMIT_S
        )
    check_each_ran_once(context)


@then('"{key}" has run {count:d} time')
@then('"{key}" has run {count:d} times')
def check_runs(context, key, count):
    assert count_runs(context, key) == count, count_runs(context, key)


@then("the key has run {count:d} time")
@then("the key has run {count:d} times")
def check_key_runs(context, count):
    check_runs(context, context.key, count)


@then("every answer is the one run's or refuses with claim_conflict")
def check_answers(context):
    good = [reply.body for reply in context.sent["k1"] if reply.status == 200]
    assert good and len(set(good)) == 1, good
    assert set(list_kinds(context.sent["k1"])) <= {"claim_conflict"}


@then('a repeat of "{key}" at "{entry}" gets the kept answer')
def check_repeat(context, key, entry):
    first = context.sent.get(key, [None])[0]
    reply = wait_until(
        lambda: expect_success_or_conflict(send(context, key, entry)), "a stored answer", LIMIT_S
    )
    answer = reply.json
    assert answer["body"] == "slot 7", answer
    assert first is None or first.status != 200 or reply.body == first.body


def expect_success_or_conflict(reply):
    """Return a successful reply, or None for a claim_conflict, which asks to retry."""
    assert reply.status == 200 or list_kinds([reply]) == ["claim_conflict"], reply.body
    return reply if reply.status == 200 else None


@then("it is refused with {kind} and ran {ran}")
def check_refused(context, kind, ran):
    check_error(context.reply, kind, ran)


def check_error(reply, kind, ran):
    error = reply.json["error"]
    assert (error["kind"], error["ran"]) == (kind, ran), error


@then('a repeat of "{key}" at "{entry}" is refused with {kind} and ran {ran}')
def check_repeat_refused(context, key, entry, kind, ran):
    reply = wait_until(
        lambda: skip_refusal(send(context, key, entry), "claim_conflict"), "an end", LIMIT_S
    )
    check_error(reply, kind, ran)


def expect_success_or_claim_refusal(reply):
    """Return a successful reply, or None for a claim refusal, which asks to retry."""
    retryable = (["claim_conflict"], ["claim_unavailable"])
    assert reply.status == 200 or list_kinds([reply]) in retryable, reply.body
    return reply if reply.status == 200 else None


@then('another call with "{key}" at "{entry}" is refused with {kind} and ran {ran}')
def check_other_call(context, key, entry, kind, ran):
    check_error(send(context, key, entry, body="slot 8"), kind, ran)


@then('a repeat of the key at "{entry}" is refused with ran unknown')
def check_repeat_unknown(context, entry):
    # After an outage the daemon briefly pauses its calls to the platform, so the caller retries.
    reply = wait_until(
        lambda: skip_refusal(send(context, context.key, entry), "claim_unavailable"),
        "reply with the state of the claim",
        LIMIT_S,
    )
    assert reply.json["error"]["ran"] == "unknown", reply.body
    context.entry = entry


@then("once the daemon is known to be dead a repeat is refused with outcome_unknown")
def check_refused_after_holder_death(context):
    reply = wait_until(
        lambda: skip_refusal(send(context, context.key, context.entry), "claim_conflict"),
        "the holder is recorded as dead",
        LIMIT_S,
    )
    check_error(reply, "outcome_unknown", "unknown")


@then("no key has run more than once")
def check_no_key_twice(context):
    runs = {key: count_runs(context, key) for key in context.sent}
    assert all(count <= 1 for count in runs.values()), runs


@then("every key whose answer was good has run 1 time")
def check_successes_ran_once(context):
    for key, replies in context.sent.items():
        if any(reply.status == 200 for reply in replies):
            assert count_runs(context, key) == 1, key


@then("every key that was refused with ran no has run 0 times")
def check_refused_did_not_run(context):
    for key, replies in context.sent.items():
        if all(reply.status >= 400 and reply.json["error"]["ran"] == "no" for reply in replies):
            assert count_runs(context, key) == 0, key


@then("a time to come back is given")
def check_retry_after(context):
    assert context.reply.json["error"]["retry_after_ms"] > 0
    assert int(context.reply.headers["retry-after"]) > 0


@then('an idempotent call at "{entry}" is served')
def check_idempotent(context, entry):
    reply = context.cluster.call_service("/slots/today", method="GET", entry=entry)
    assert reply.status == 200, reply.body


@then('when the platform is up again the key "{key}" runs 1 time')
def check_after_outage(context, key):
    context.cluster.set_platform_faults(objects={"mode": "up"})
    wait_until(
        lambda: expect_success_or_claim_refusal(send(context, key, ENTRIES[0])), "served", LIMIT_S
    )
    assert count_runs(context, key) == 1


@then("when the platform is up again the key runs 1 time")
def check_key_after_outage(context):
    check_after_outage(context, context.key)


@then("every key has run 1 time")
def check_each_ran_once(context):
    runs = {key: count_runs(context, key) for key in context.sent}
    assert all(count == 1 for count in runs.values()), runs


@then("no answer was refused")
def check_none_refused(context):
    kinds = [kind for replies in context.sent.values() for kind in list_kinds(replies)]
    assert not kinds, kinds


@then('the key "{key}" sent to "{entry}" is served')
def check_served(context, key, entry):
    assert send(context, key, entry).status == 200, context.reply.body


@then("when the daemon thaws the key has run at most 1 time")
def check_thawed(context):
    context.frozen.thaw()
    context.background.join(LIMIT_S)
    assert not context.background.is_alive()
    time.sleep(0.5)
    assert count_runs(context, context.key) <= 1


@then("it is served and has run 1 time")
def check_served_once(context):
    assert context.reply.status == 200, context.reply.body
    check_key_runs(context, 1)


@then("when the daemon thaws it has run 1 time")
def check_thawed_owner(context):
    context.frozen.thaw()
    first = context.sent[context.key][0]
    reply = wait_until(
        lambda: expect_success_or_conflict(send(context, context.key, context.frozen.name)),
        "an answer",
        LIMIT_S,
    )
    assert reply.body == first.body
    assert count_runs(context, context.key) == 1
