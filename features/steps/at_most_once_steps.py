"""Steps of at_most_once.feature."""

import threading
import time

from behave import given, step, then, when

from features.support.calls import call, get_json
from features.support.operator_files import ACCOUNT, KEY, SERVICE, ZONES, make_operator_file
from features.support.processes import wait_until
from hemlockswitch.core.identifiers import rank_rendezvous
from hemlockswitch.process.claims.routes import find_partition
from hemlockswitch.request.claims import digest_key

ENTRIES = tuple(f"entry-{zone}-{number}" for number in (1, 2) for zone in ZONES)
PATH = "/confirmations"
LIMIT_S = 20
ZONE_HOSTS = dict(zip(ZONES, ("127.0.1.1", "127.0.2.1"), strict=True))
BACKENDS = tuple(f"service-{zone}" for zone in ZONES)


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
        wait_until(lambda name=name: has_joined(cluster, name), f"{name} knows all", LIMIT_S)
    context.sent = {}


def has_joined(cluster, name):
    claims = get_json(cluster.get(name).addresses["control"], "/status")["claims"]
    return claims["peers"] == len(ENTRIES) - 1


def send(context, key, entry, body="slot 7", **options):
    """Send a keyed call and keep what came back."""
    headers = {"Authorization": f"Bearer {KEY}", "Idempotency-Key": key}
    address = context.cluster.find_entry(entry)
    path = f"/services/{SERVICE}{PATH}"
    reply = call(address, "POST", path, body.encode(), headers, **options)
    context.sent.setdefault(key, []).append(reply)
    context.reply = reply
    return reply


def count_runs(context, key):
    stats = [context.cluster.read_stats(name) for name in BACKENDS]
    return sum(counts["runs_by_key"].get(key, 0) for counts in stats)


def list_kinds(replies):
    return [reply.json["error"]["kind"] for reply in replies if reply.status >= 400]


def choose_key(context, home):
    """Return an unused key, and its partition, of which the daemon is the home."""
    for number in range(10_000):
        key = f"chosen{number}"
        partition = find_partition(digest_key(ACCOUNT, key))
        is_home = rank_rendezvous(f"claims/{partition}", ENTRIES)[0] == home
        if is_home and key not in context.sent:
            return key, partition
    raise AssertionError(f"{home} is no partition's home")


def make_key_beside(context, key):
    """Return an unused key of the same partition."""
    partition = find_partition(digest_key(ACCOUNT, key))
    names = (f"beside{number}" for number in range(10_000))
    return next(
        name
        for name in names
        if find_partition(digest_key(ACCOUNT, name)) == partition and name not in context.sent
    )


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
def send_and_lose(context, key, entry):
    link = context.cluster.add_link("caller", context.cluster.find_entry(entry))
    context.cluster.set_link("caller", lose_answer="reset", lose_count=1)
    headers = {"Authorization": f"Bearer {KEY}", "Idempotency-Key": key}
    try:
        call(link, "POST", f"/services/{SERVICE}{PATH}", b"slot 7", headers)
    except OSError:
        return
    raise AssertionError("the answer came")


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
    """Send a call whose daemon may die meanwhile."""

    def run():
        try:
            send(context, key, entry, timeout_s=60)
        except OSError:
            return

    context.background = threading.Thread(target=run, daemon=True)
    context.background.start()


@given('"{entry}" writes its claims itself and their answers are held back')
def hold_answers(context, entry):
    # A first claim of the same partition, so that the next needs no read before its write.
    warm, partition = choose_key(context, entry)
    context.partition = f"p{partition:03d}"
    served = wait_until(
        lambda: find_other_kind(send(context, warm, entry), "claim_unavailable"), "served", LIMIT_S
    )
    assert served.status == 200, served.body
    wait_until(lambda: not list_pending(context), "the outcomes are written")
    context.key = make_key_beside(context, warm)
    for name in ENTRIES:
        context.cluster.set_link(name, freeze="to_caller")


def list_pending(context):
    """Return the partition's claims that have no outcome, past all faults."""
    address = context.cluster.platform.addresses["http"]
    items = get_json(address, f"/standin/objects/claims?prefix={context.partition}")["items"]
    claims = [claim for item in items for claim in item["value"]["claims"].values()]
    return [claim for claim in claims if "outcome" not in claim]


def wait_until_claimed(context):
    wait_until(lambda: len(list_pending(context)) == 1, "the claim stands", LIMIT_S)


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
    wait_until(lambda: count_runs(context, context.key), "the service runs it", LIMIT_S)
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
def answer_old_reads(context, count):
    faults = {"lose_answers": 3, "lose_kinds": ["claims"], "versions_back": count}
    context.cluster.set_platform_faults(objects=faults)


@then("every key is answered in the end and has run 1 time")
def check_all_answered(context):
    for key in list(context.sent):
        wait_until(
            lambda key=key: send(context, key, ENTRIES[1]).status == 200, f"{key} served", LIMIT_S
        )
    check_each_ran(context)


@step('"{zone}" is cut from the platform')
def cut_from_platform(context, zone):
    for name in ENTRIES:
        if zone in name:
            context.cluster.set_link(name, mode="cut")


@step('"{zone}" is cut from the platform and from other zones')
def cut_from_everything(context, zone):
    cut_from_platform(context, zone)
    for name in ENTRIES:
        others = [host for other, host in ZONE_HOSTS.items() if other not in name]
        context.cluster.set_link(f"peers-{name}", mode="cut", source=others[0])


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
    reply = wait_until(lambda: find_good(send(context, key, entry)), "a kept answer", LIMIT_S)
    answer = reply.json
    assert answer["body"] == "slot 7", answer
    assert first is None or first.status != 200 or reply.body == first.body


def find_good(reply):
    """Return the reply if it is good; a claim_conflict asks to come back."""
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
        lambda: find_other_kind(send(context, key, entry), "claim_conflict"), "an end", LIMIT_S
    )
    check_error(reply, kind, ran)


def find_other_kind(reply, passing):
    return None if list_kinds([reply]) == [passing] else reply


def find_served(reply):
    """Return the reply if it is good; refusals that ask to come back pass."""
    coming_back = (["claim_conflict"], ["claim_unavailable"])
    assert reply.status == 200 or list_kinds([reply]) in coming_back, reply.body
    return reply if reply.status == 200 else None


@then('another call with "{key}" at "{entry}" is refused with {kind} and ran {ran}')
def check_other_call(context, key, entry, kind, ran):
    check_error(send(context, key, entry, body="slot 8"), kind, ran)


@then('a repeat of the key at "{entry}" is refused with ran unknown')
def check_repeat_unknown(context, entry):
    # After an outage the daemon leaves the platform alone for a moment; a caller comes back.
    reply = wait_until(
        lambda: find_other_kind(send(context, context.key, entry), "claim_unavailable"),
        "a word on the claim",
        LIMIT_S,
    )
    assert reply.json["error"]["ran"] == "unknown", reply.body
    context.entry = entry


@then("once the daemon is known to be dead a repeat is refused with outcome_unknown")
def check_dead_holder(context):
    reply = wait_until(
        lambda: find_other_kind(send(context, context.key, context.entry), "claim_conflict"),
        "the holder's death is known",
        LIMIT_S,
    )
    check_error(reply, "outcome_unknown", "unknown")


@then("no key has run more than once")
def check_no_key_twice(context):
    runs = {key: count_runs(context, key) for key in context.sent}
    assert all(count <= 1 for count in runs.values()), runs


@then("every key whose answer was good has run 1 time")
def check_good_ran(context):
    for key, replies in context.sent.items():
        if any(reply.status == 200 for reply in replies):
            assert count_runs(context, key) == 1, key


@then("every key that was refused with ran no has run 0 times")
def check_refused_did_not_run(context):
    for key, replies in context.sent.items():
        if all(reply.status >= 400 and reply.json["error"]["ran"] == "no" for reply in replies):
            assert count_runs(context, key) == 0, key


@then("a time to come back is given")
def check_come_back(context):
    assert context.reply.json["error"]["retry_after_ms"] > 0
    assert int(context.reply.headers["retry-after"]) > 0


@then('an idempotent call at "{entry}" is served')
def check_idempotent(context, entry):
    reply = context.cluster.call_service("/slots/today", method="GET", entry=entry)
    assert reply.status == 200, reply.body


@then('when the platform is up again the key "{key}" runs 1 time')
def check_after_outage(context, key):
    set_platform(context, "up")
    wait_until(lambda: find_served(send(context, key, ENTRIES[0])), "served", LIMIT_S)
    assert count_runs(context, key) == 1


@then("when the platform is up again the key runs 1 time")
def check_key_after_outage(context):
    check_after_outage(context, context.key)


@then("every key has run 1 time")
def check_each_ran(context):
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


@when('"{entry}" is frozen, which writes the claims of the next key')
def freeze_home(context, entry):
    context.key, _ = choose_key(context, entry)
    context.frozen = context.cluster.get(entry)
    context.frozen.freeze()


@when('a new key of the partition of "{key}" is sent to "{entry}"')
def send_beside(context, key, entry):
    context.key = make_key_beside(context, key)
    send(context, context.key, entry)


@when('that key is sent to "{entry}"')
def send_that_key(context, entry):
    send(context, context.key, entry)


@then("it is served and has run 1 time")
def check_served_once(context):
    assert context.reply.status == 200, context.reply.body
    check_key_runs(context, 1)


@then("when the daemon thaws it has run 1 time")
def check_thawed_home(context):
    context.frozen.thaw()
    first = context.sent[context.key][0]
    reply = wait_until(
        lambda: find_good(send(context, context.key, context.frozen.name)), "an answer", LIMIT_S
    )
    assert reply.body == first.body
    assert count_runs(context, context.key) == 1
