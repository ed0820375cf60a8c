"""Steps of backend_reclaim.feature; a reclaimed VM's process is killed when its notice ends."""

import threading

from behave import given, then, when

from features.steps.whole_answer_steps import request_unstreamed
from features.support.gathering import Gathering, read_metric
from features.support.processes import wait_until

ZONE, OTHER_ZONE = "abdoun-hall", "khalda-hall"
ENTRY = f"entry-{ZONE}-1"
FIRST_TOKENS = 5
SECOND_NOTICE_AFTER_S = 0.15


def name_engines(numbers, zone=ZONE):
    return [f"engine-{zone}-{number.strip()}" for number in numbers.split(",")]


def begin_streams(context, count, tokens):
    """Open the streams and read the first tokens of each."""
    texts = [f"condition report of object {number} for the lender" for number in range(count)]
    context.gathering.open(texts, tokens, entry=ENTRY)
    context.gathering.read_some(FIRST_TOKENS)


def reclaim(context, names, notice_ms):
    """Announce a reclaim, and kill the processes when the notice ends."""
    cluster = context.cluster
    cluster.reclaim(*names, notice_ms=notice_ms)

    def kill_all():
        for name in names:
            cluster.get(name).kill()

    timer = threading.Timer(notice_ms / 1_000, kill_all)
    timer.start()
    return timer


def finish(context, *timers):
    context.gathering.finish()
    for timer in timers:
        timer.join()


@given("two zones with one entry daemon and {engines:d} engines each")
def build_two_zones(context, engines):
    context.cluster.build(zones=(ZONE, OTHER_ZONE), entries=1, engines=engines)
    context.gathering = Gathering(context.cluster)


@when(
    "{count:d} callers stream {tokens:d} tokens and engines {numbers} are reclaimed"
    " with {notice_ms:d} ms of notice"
)
def reclaim_some(context, count, tokens, numbers, notice_ms):
    begin_streams(context, count, tokens)
    finish(context, reclaim(context, name_engines(numbers), notice_ms))


@when(
    "{count:d} callers of the first zone stream {tokens:d} tokens and its engines are reclaimed"
    " with {notice_ms:d} ms of notice"
)
def reclaim_zone(context, count, tokens, notice_ms):
    begin_streams(context, count, tokens)
    finish(context, reclaim(context, name_engines("1, 2"), notice_ms))


@when(
    "{count:d} callers stream {tokens:d} tokens and engine 1 is reclaimed and engine 2 just after,"
    " with {notice_ms:d} ms of notice"
)
def reclaim_twice(context, count, tokens, notice_ms):
    begin_streams(context, count, tokens)
    first = reclaim(context, name_engines("1"), notice_ms)
    threading.Event().wait(SECOND_NOTICE_AFTER_S)
    finish(context, first, reclaim(context, name_engines("2"), notice_ms))


@when(
    "{count:d} callers stream {tokens:d} tokens, engines {reclaimed} are reclaimed,"
    " and engines {killed} are killed at once"
)
def reclaim_and_kill(context, count, tokens, reclaimed, killed):
    begin_streams(context, count, tokens)
    timer = reclaim(context, name_engines(reclaimed), 2_000)
    for name in name_engines(killed):
        context.cluster.get(name).kill()
    finish(context, timer)


@when("{count:d} callers stream {tokens:d} tokens and engine {number} is killed without notice")
def kill_engine(context, count, tokens, number):
    begin_streams(context, count, tokens)
    context.cluster.get(name_engines(number)[0]).kill()
    finish(context)


@when(
    "{count:d} callers ask for {tokens:d} whole and engine {number} is reclaimed"
    " with {notice_ms:d} ms of notice"
)
def reclaim_during_unstreamed_answer(context, count, tokens, number, notice_ms):
    names = name_engines(number)
    timers = []

    def announce():
        wait_until(lambda: context.cluster.read_stats(names[0])["running"], "an answer has begun")
        timers.append(reclaim(context, names, notice_ms))

    announcer = threading.Thread(target=announce)
    announcer.start()
    request_unstreamed(context, count, tokens)
    announcer.join()
    timers[0].join()


def read_recomputed(context, cause):
    return read_metric(context.cluster, ENTRY, "hemlock_recomputed_tokens_total", cause=cause)


@then("fewer than {limit:d} tokens were recomputed because of the reclaim")
def check_recomputed(context, limit):
    recomputed = read_recomputed(context, "reclaim")
    moved = read_metric(context.cluster, ENTRY, "hemlock_attempts_total", cause="reclaim")
    print(f"moved {moved:.0f} streams, recomputed {recomputed:.0f} tokens")
    assert moved > 0, "no stream was moved"
    assert recomputed < limit, f"{recomputed} tokens recomputed in {moved} moves"


@then("the tokens recomputed because of a failure are counted")
def check_counted(context):
    assert read_recomputed(context, "failure") > 0


@then("nothing was moved")
def check_not_moved(context):
    assert read_metric(context.cluster, ENTRY, "hemlock_attempts_total", cause="reclaim") == 0
