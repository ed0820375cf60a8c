"""Shares never add up to more than the limit, despite lost messages, partitions, freezes, and kills."""

import random
from dataclasses import replace

import pytest

from hemlockswitch.core.errors import RequestError
from hemlockswitch.process.shares.units import Units
from tests.share_fleet import DriftingClock, Fleet, make_file


def make_fleet(file=None):
    fleet = Fleet(file)
    for number in range(4):
        fleet.add(f"entry-{number}", "ab"[number % 2])
    fleet.renew_all(rounds=4)
    return fleet


def let_lend(fleet, hot):
    """Request a loan from each daemon once, so that the anchor records that they lend from now on."""
    others = [name for name in fleet.daemons if name != hot.name]
    for resource in ("requests", "tokens", "slots"):
        hot.shares.borrower.borrow("abdoun", Units(**{resource: 4_000}), others, 100)
    fleet.tick(3_000)


def test_daemons_divide_the_entire_limit():
    fleet = make_fleet()
    assert fleet.sum_held() == fleet.limit == Units(8, 4_000, 4)
    assert {daemon.held() for daemon in fleet.daemons.values()} == {Units(2, 1_000, 1)}


def test_one_daemon_can_borrow_the_entire_limit_and_returns_it():
    fleet = make_fleet()
    hot = fleet.daemons["entry-0"]
    let_lend(fleet, hot)
    fleet.tick(9_000)
    permits = [hot.admission.admit("abdoun", 100) for _ in range(4)]
    assert hot.held().slots == 4
    for daemon in list(fleet.daemons.values())[1:]:
        with pytest.raises(RequestError):
            daemon.admission.admit("abdoun", 1)
    for permit in permits:
        permit.close()
    fleet.tick(8_000)
    assert {daemon.held() for daemon in fleet.daemons.values()} == {Units(2, 1_000, 1)}


def test_partition_keeps_shares_of_both_sides_and_borrowed_rates_expire():
    fleet = make_fleet()
    hot = fleet.daemons["entry-0"]
    let_lend(fleet, hot)
    fleet.tick(9_000)
    for _ in range(4):
        with hot.admission.admit("abdoun", 900) as permit:
            permit.record_tokens(900)
    assert hot.held().tokens > 2_000
    fleet.cut.add(frozenset("ab"))
    fleet.tick(6_000)
    zone_b = [daemon for daemon in fleet.daemons.values() if daemon.zone == "b"]
    assert sum(daemon.held().tokens for daemon in zone_b) == 2_000
    assert fleet.sum_held().tokens <= 4_000


def test_frozen_daemon_has_only_its_floor_after_its_term():
    fleet = make_fleet()
    frozen = fleet.daemons["entry-0"]
    frozen.frozen = True
    fleet.tick(30_000)
    assert frozen.held() == Units(1, 500, 1)
    assert fleet.daemons["entry-2"].held().requests == 3
    assert fleet.sum_held().requests <= 8


def test_killed_daemon_frees_rates_after_its_term_and_all_after_its_vm_is_removed():
    fleet = make_fleet()
    fleet.kill("entry-0")
    fleet.tick(30_000)
    assert fleet.sum_held() == Units(7, 3_500, 3)
    fleet.gone.add("entry-0")
    fleet.tick(12_000)
    assert fleet.sum_held() == fleet.limit


def test_lendable_slots_are_freed_after_the_longest_loan():
    fleet = make_fleet()
    let_lend(fleet, fleet.daemons["entry-1"])
    fleet.kill("entry-0")
    fleet.gone.add("entry-0")
    fleet.tick(100_000)
    assert fleet.sum_held() == Units(8, 4_000, 3)
    fleet.tick(60_000)
    assert fleet.sum_held() == fleet.limit


def test_restarted_daemon_has_half_at_once_and_all_after_the_loans():
    fleet = Fleet(make_file(zones=("a",), concurrent=5))
    fleet.add("entry-0", "a")
    fleet.renew_all(rounds=2)
    fleet.kill("entry-0")
    restarted = fleet.add("entry-0", "a")
    fleet.renew_all()
    assert restarted.held() == Units(4, 2_000, 3)
    fleet.tick(9_000)
    assert restarted.held() == Units(8, 4_000, 3)
    fleet.tick(150_000)
    assert restarted.held() == fleet.limit


def test_leaving_daemon_returns_its_shares_at_once():
    fleet = make_fleet()
    fleet.daemons["entry-0"].shares.leave()
    fleet.kill("entry-0")
    fleet.renew_all(rounds=2)
    assert fleet.sum_held() == fleet.limit


def test_without_the_platform_daemons_continue_with_half():
    fleet = make_fleet(make_file(requests=16))
    for daemon in fleet.daemons.values():
        daemon.store.down = True
    fleet.tick(60_000)
    assert fleet.sum_held() == Units(8, 2_000, 4)


def test_reduced_limit_applies_with_the_next_renewals():
    fleet = make_fleet()
    fleet.file = make_file(requests=4, tokens=2_000, concurrent=2)
    fleet.renew_all(rounds=2)
    assert fleet.sum_held() == fleet.limit == Units(4, 2_000, 2)


@pytest.mark.parametrize("seed", range(12))
def test_sum_never_exceeds_the_limit_under_random_faults(seed):
    rng = random.Random(seed)
    fleet = Fleet(
        make_file(requests=7, tokens=3_000, concurrent=5),
        lambda base: DriftingClock(base, rng.uniform(0, 1e6), rng.uniform(0.97, 1.03)),
    )
    fleet.lose_reply = lambda: rng.random() < 0.15
    names = [f"entry-{number}" for number in range(6)]
    running = []
    for _ in range(500):
        act(rng, fleet, names, running)
        fleet.base.advance(rng.choice([0, 20, 300, 1_500]))
        check_sum(fleet, running)


def act(rng, fleet, names, running):
    name = rng.choice(names)
    daemon = fleet.daemons.get(name)
    choice = rng.random()
    if daemon is None:
        fleet.add(name, "ab"[names.index(name) % 2])
    elif choice < 0.02:
        fleet.kill(name)
        running[:] = [one for one in running if one[0] is not daemon]
        if rng.random() < 0.5:
            # The name of a removed VM is never reused.
            fleet.gone.add(name)
            names[names.index(name)] = f"{name}x"
    elif choice < 0.06:
        daemon.frozen = not daemon.frozen
    elif choice < 0.1:
        daemon.store.down = not daemon.store.down
        daemon.store.lose_answers = rng.random() < 0.3
    elif choice < 0.13:
        fleet.cut ^= {frozenset("ab")}
    elif daemon.frozen:
        return
    elif choice < 0.4:
        daemon.shares.renewal.renew()
    elif choice < 0.6:
        daemon.shares.borrower.extend_loans()
    else:
        admit(rng, fleet, daemon, running)


def admit(rng, fleet, daemon, running):
    try:
        permit = daemon.admission.admit("abdoun", rng.randrange(1, 1_500))
    except RequestError:
        return
    running.append((daemon, permit, fleet.base.now_ms() + rng.uniform(0, 55_000)))


def check_sum(fleet, running):
    now_ms = fleet.base.now_ms()
    for one in [one for one in running if one[2] <= now_ms]:
        one[1].close()
        running.remove(one)
    held, limit = fleet.sum_held(), fleet.limit
    assert held.requests <= limit.requests, held
    assert held.tokens <= limit.tokens, held
    assert held.slots <= limit.slots, held
    assert len(running) <= limit.slots


def test_malformed_record_does_not_end_the_anchor_task():
    fleet = make_fleet()
    daemon = fleet.daemons["entry-0"]
    stored = fleet.store.objects["shares", "a"]
    broken = {"entries": {"entry-0/x": {"counter": 1}}}
    fleet.store.objects["shares", "a"] = replace(stored, value=broken, version=99)
    assert not daemon.shares.renewal.renew()
    fleet.store.objects["shares", "a"] = replace(stored, version=100)
    assert daemon.shares.renewal.renew()
