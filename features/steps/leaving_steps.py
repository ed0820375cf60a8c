"""Steps of leaving.feature."""

import time

from behave import given, then, when

from features.support.calls import ChatStream, get_json
from features.support.operator_files import MODEL, SERVICE, make_operator_file
from features.support.processes import wait_until
from features.support.traffic import Traffic
from hemlockswitch.core.identifiers import rank_rendezvous
from hemlockswitch.process.servers.watchers import WATCHERS

LIMIT_MS = 3_000
OBSERVATION_MS = 4_500
NOTICE_MS = 60_000
LONG_TOKENS = 150
ADDRESSES = {"abdoun-hall": "127.1.0.1", "khalda-hall": "127.2.0.1"}


def launch_backends(cluster, zone, engines):
    for number in range(1, engines + 1):
        cluster.launch_engine(f"engine-{zone}-{number}")
    cluster.launch_service(f"service-{zone}-1")


def register_backends(cluster, zone, engines):
    for number in range(1, engines + 1):
        cluster.register(f"engine-{zone}-{number}", zone, MODEL)
    cluster.register(f"service-{zone}-1", zone, SERVICE)


def start_cluster(context, daemons, engines):
    """Start the given numbers of daemons and engines in each zone."""
    cluster = context.cluster
    cluster.launch_platform()
    for zone, count in engines.items():
        launch_backends(cluster, zone, count)
    for zone, count in engines.items():
        register_backends(cluster, zone, count)
    cluster.apply(make_operator_file(tuple(engines)))
    for zone, count in daemons.items():
        cluster.launch_entries((zone,), count)
    for program in cluster.list_daemons():
        wait_until(lambda name=program.name: send(context, name).status == 200, "an answer")


def send(context, entry, max_tokens=2) -> ChatStream:
    """Send one request through a daemon and read the answer to its end."""
    return context.cluster.chat("is the hall free", max_tokens, entry=entry).read_all()


def begin_traffic(context, names):
    context.traffic = Traffic(lambda name: send(context, name)).start(names)
    context.add_cleanup(context.traffic.stop)


def count_runs(context, name) -> int:
    """Return the runs of a backend server; engines count by request, services in total."""
    runs = context.cluster.read_stats(name)["runs"]
    return runs if isinstance(runs, int) else sum(runs.values())


def wait_for_more_runs(context, name, what):
    before = count_runs(context, name)
    wait_until(lambda: count_runs(context, name) > before, what)


@given('{daemons:d} daemons and {engines:d} engines in "{zone}" and 1 daemon and 1 engine in "{o}"')
def start_two_zones(context, daemons, engines, zone, o):
    start_cluster(context, {zone: daemons, o: 1}, {zone: engines, o: 1})


@given('1 daemon and 1 engine in "{zone}"')
def start_one_zone(context, zone):
    start_cluster(context, {zone: 1}, {zone: 1})


@given("1 daemon and 2 engines in each of two zones whose peer streams run through the proxy")
def start_zones_behind_proxy(context):
    cluster = context.cluster
    cluster.launch_platform()
    for zone in ADDRESSES:
        launch_backends(cluster, zone, 2)
    for zone in ADDRESSES:
        register_backends(cluster, zone, 2)
    cluster.apply(make_operator_file(tuple(ADDRESSES)))
    links = {zone: cluster.add_link(zone) for zone in ADDRESSES}
    for zone, address in ADDRESSES.items():
        entry = cluster.launch_entry(
            f"entry-{zone}-1",
            zone,
            peer_listen=f"{address}:0",
            peer_advertise=links[zone],
            seeds=list(links.values()),
        )
        cluster.add_link(zone, entry.addresses["peers"])
        cluster.wait_until_serving(entry)


@given("steady requests through every daemon")
def begin_through_all(context):
    begin_traffic(context, [item.name for item in context.cluster.list_daemons()])


@given('steady requests through "{name}"')
def begin_through_one(context, name):
    begin_traffic(context, [name])


@given('"{engine}" gets requests of "{entry}"')
@then('"{engine}" gets requests of "{entry}" again')
def check_used(context, engine, entry):
    wait_for_more_runs(context, engine, f"{entry} uses {engine}")


@given('3 daemons in "{zone}" that reach the platform each through a link, and 2 engines')
def start_zone_with_links(context, zone):
    cluster = context.cluster
    cluster.launch_platform()
    launch_backends(cluster, zone, 2)
    register_backends(cluster, zone, 2)
    cluster.apply(make_operator_file((zone,)))
    for name in (f"entry-{zone}-1", f"entry-{zone}-2", f"entry-{zone}-3"):
        link = cluster.add_link(name, cluster.platform.addresses["http"])
        cluster.launch_entry(name, zone, platform=link)
    for program in cluster.list_daemons():
        wait_until(lambda name=program.name: send(context, name).status == 200, "an answer")
        wait_for_members(program, 3)


def wait_for_members(program, count):
    def has_joined():
        status = get_json(program.addresses["control"], "/status")
        return sum(one["state"] == "alive" for one in status["members"]) == count

    wait_until(has_joined, f"{program.name} lists {count} members")


def rank_daemons(context, zone):
    names = [item.name for item in context.cluster.list_daemons(zone=zone)]
    return rank_rendezvous(zone, names)


@given('steady requests through the daemon that does not watch for "{zone}"')
def begin_through_other_daemons(context, zone):
    begin_traffic(context, rank_daemons(context, zone)[WATCHERS:])


@when('the daemons that watch for "{zone}" are {state}')
def stop_watchers(context, zone, state):
    for name in rank_daemons(context, zone)[:WATCHERS]:
        if state == "frozen":
            context.cluster.get(name).freeze()
        else:
            context.cluster.set_link(name, mode="black_hole")


@when("{seconds:d} s pass")
def wait_seconds(context, seconds):
    time.sleep(seconds)


@when("the VM list falls 60 s behind and the object service stops answering")
def delay_platform(context):
    context.cluster.set_platform_faults(vm_list_lag_ms=60_000, objects={"mode": "silent"})


@when("the platform stops answering")
def silence_platform(context):
    context.cluster.set_platform_faults(objects={"mode": "silent"}, cloud={"mode": "silent"})


@when('"{name}" gets a reclaim notice')
def give_notice(context, name):
    context.cluster.reclaim(name, notice_ms=NOTICE_MS)
    context.notice_at = time.monotonic()


@when("the peer streams between the zones are {state}")
def cut_zones(context, state):
    for zone in ADDRESSES:
        faults = {"mode": "cut"} if state == "cut" else {}
        context.cluster.set_link(zone, **faults)


@when('the daemons of "{zone}" are {state}')
def freeze_zone(context, zone, state):
    for item in context.cluster.list_daemons(zone=zone):
        if state == "frozen":
            item.freeze()
        else:
            item.thaw()


@when("{count:d} requests wait at the frozen daemons for {seconds:d} s")
def queue_requests(context, count, seconds):
    names = [item.name for item in context.cluster.list_daemons(zone="abdoun-hall")]
    context.traffic = Traffic(lambda name: send(context, name))
    context.add_cleanup(context.traffic.stop)
    context.traffic.start(names, threads_each=count // len(names))
    time.sleep(seconds)


@then('nothing began on "{name}" later than 3 s after the notice')
def check_no_late_starts(context, name):
    time.sleep(max(0, context.notice_at + OBSERVATION_MS / 1_000 - time.monotonic()))
    wait_until(lambda: any(context.traffic.streams.values()), "an answer")
    begun = context.cluster.read_stats(name)["begun_after_leaving_ms"]
    late = [round(at_ms) for at_ms in begun if at_ms > LIMIT_MS]
    assert not late, f"{len(late)} of {len(begun)} began late: {late[:5]} ... {late[-1]} ms"


@then('"{name}" still gets requests of every daemon')
def check_still_used(context, name):
    for entry in context.traffic.streams:
        before = len(context.traffic.streams[entry])
        wait_until(lambda e=entry, n=before: len(context.traffic.streams[e]) > n, entry)
    wait_for_more_runs(context, name, f"{name} is used")


@then("every answer is whole")
def check_answers(context):
    context.traffic.stop()
    wrong = context.traffic.list_failures()
    total = sum(len(streams) for streams in context.traffic.streams.values())
    assert total > 0 and not wrong, f"{len(wrong)} of {total}: {wrong[:3]}"


@given("{count:d} long answers are in progress")
def begin_long_answers(context, count):
    names = [item.name for item in context.cluster.list_daemons()]
    context.long_answers = [
        context.cluster.chat(f"report {number}", LONG_TOKENS, entry=names[number % len(names)])
        for number in range(count)
    ]
    for stream in context.long_answers:
        stream.read_tokens(1)


@when('a configuration that drains "{engine}" and "{service}" is applied')
def drain(context, engine, service):
    context.drained = (engine, service)
    file = make_operator_file(("abdoun-hall", "khalda-hall"), draining=list(context.drained))
    context.cluster.apply(file)
    context.applied_at = time.monotonic()


@then("nothing begins on either from 3 s later on")
def check_drained(context):
    names = [item.name for item in context.cluster.list_daemons()]
    time.sleep(max(0, context.applied_at + LIMIT_MS / 1_000 - time.monotonic()))
    before = [count_runs(context, name) for name in context.drained]
    for number in range(12):
        reply = context.cluster.call_service("/slots", {}, entry=names[number % len(names)])
        assert reply.status == 200, reply
    time.sleep((OBSERVATION_MS - LIMIT_MS) / 1_000)
    after = [count_runs(context, name) for name in context.drained]
    assert after == before, f"{context.drained}: {before} runs at 3 s, {after} later"


@then("the long answers end whole where they began")
def check_long_answers(context):
    for stream in context.long_answers:
        stream.read_all()
        assert stream.check.list_problems() == [], stream.check
    engines = [name for name in context.cluster.vms if name.startswith("engine")]
    stats = [context.cluster.read_stats(name) for name in engines]
    assert not any(stat["cancelled"] for stat in stats), stats
    assert not any(stat["recomputed_tokens"] for stat in stats), stats
