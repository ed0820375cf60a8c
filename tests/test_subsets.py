from collections import Counter

from hemlockswitch.process.servers.subsets import Subset

DAEMONS = [f"entry-{number}" for number in range(30)]
SERVERS = [f"llm-{number}" for number in range(200)]


def choose(daemon, members=DAEMONS, servers=SERVERS):
    return Subset(daemon, size=20).update(members, servers)


def test_every_server_is_used_by_equally_many_daemons():
    uses = Counter(server for daemon in DAEMONS for server in choose(daemon))
    assert set(uses.values()) == {3}
    assert len(uses) == len(SERVERS)


def test_stopped_daemon_is_replaced_only_at_its_own_servers():
    gone = DAEMONS[0]
    left = DAEMONS[1:]
    before = {daemon: choose(daemon) for daemon in left}
    lost = choose(gone)
    added = Counter()
    for daemon in left:
        after = choose(daemon, members=left)
        assert before[daemon] <= after
        added.update(after - before[daemon])
    assert added == Counter(lost)


def test_incremental_updates_equal_a_new_subset():
    subset = Subset("entry-3", size=20)
    subset.update(DAEMONS[:20], SERVERS[:150])
    subset.update(DAEMONS[2:25], SERVERS[30:])
    assert subset.update(DAEMONS[2:], SERVERS) == choose("entry-3", members=DAEMONS[2:])


def test_few_servers_are_all_used():
    assert choose("entry-1", servers=SERVERS[:20]) == set(SERVERS[:20])
