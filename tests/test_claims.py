"""Tests of claims with an in-memory object service that fails on demand.

They guard against a key's call running twice: because daemons claim it at once, because the
answer of a write is lost or a read is stale, or because a claim's holder stops or stalls.
"""

import random
from typing import Any

import gevent
import pytest

from hemlockswitch.connection.stored_objects import (
    StoredObject,
    Unknown,
    WriteOutcome,
)
from hemlockswitch.core.errors import ErrorKind, PlatformError, Ran, RequestError
from hemlockswitch.process.claims import store as claim_store
from hemlockswitch.process.claims.ledger import Draft, GiveBack, Head, Place, Verdict, apply
from hemlockswitch.process.claims.objects import Bounds
from hemlockswitch.process.claims.routes import ClaimPeer
from hemlockswitch.process.claims.store import ClaimStore
from hemlockswitch.request.claims import MAX_RETAINED_BODY_BYTES, Claim
from tests.claim_parts import Network, Objects, Service, make_store, refuse, run


@pytest.fixture(autouse=True)
def short_waits(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(claim_store, "REPEAT_PAUSES_MS", (5, 10))


def test_a_repeated_call_gets_the_stored_answer_at_any_daemon() -> None:
    objects, service = Objects(), Service()
    first, second = make_store(objects), make_store(objects, "b")
    answer = run(first, service)
    assert first.flush(5_000)
    assert run(second, service) == run(first, service) == answer
    assert service.runs == 1
    assert run(second, service, key="k2") == answer and service.runs == 2


def test_concurrent_calls_at_many_daemons_dispatch_once() -> None:
    objects, service = Objects(), Service()
    stores = [make_store(objects, f"d{number}") for number in range(6)]
    tasks = [gevent.spawn(run, store, service) for store in stores for _ in range(3)]
    gevent.joinall(tasks)
    assert service.runs == 1
    for task in tasks:
        if task.exception is not None:
            assert task.exception.kind is ErrorKind.CLAIM_CONFLICT


def test_another_call_with_the_key_is_refused() -> None:
    service, store = Service(), make_store(Objects())
    run(store, service)
    assert refuse(store, service, call="g").kind is ErrorKind.BAD_REQUEST
    assert service.runs == 1


@pytest.mark.parametrize("lost", [1, 2, 3])
def test_lost_answers_to_writes(lost: int) -> None:
    objects, service = Objects(), Service()
    objects.lose = lost
    assert run(make_store(objects), service).status == 201
    assert refuse(make_store(objects, "b"), service, call="g").kind is ErrorKind.BAD_REQUEST
    assert service.runs == 1


def test_stale_reads_do_not_lose_claims() -> None:
    objects, service = Objects(), Service()
    first = make_store(objects)
    run(first, service)
    first.flush(5_000)
    run(first, service, "other")
    first.flush(5_000)
    objects.old_reads = 2
    assert run(make_store(objects, "b"), service).status == 201
    assert service.runs == 2


def test_platform_down_runs_nothing() -> None:
    objects, service = Objects(), Service()
    objects.down = True
    error = refuse(make_store(objects), service)
    assert (error.kind, error.answer.ran) == (ErrorKind.CLAIM_UNAVAILABLE, Ran.NO)
    assert error.answer.retry_after_ms > 0 and service.runs == 0


def test_an_uncertain_claim_is_given_back() -> None:
    objects, service = Objects(), Service()
    # As in `ClaimMembers.has_ended`: a claim of this daemon's name that no task of this process
    # works on is over.
    store = make_store(objects, has_ended=lambda holder: holder.startswith("a-"))
    objects.lose = 1
    task = gevent.spawn(refuse, store, service)
    while not objects.writes:
        gevent.sleep(0)
    objects.down = True
    assert task.get(timeout=10).kind is ErrorKind.CLAIM_UNAVAILABLE
    gevent.sleep(0.05)
    objects.down = False
    # Until the claim is given back, a repeated call is answered with a conflict to retry after,
    # not with an unknown outcome.
    assert refuse(store, service).kind is ErrorKind.CLAIM_CONFLICT
    assert store.flush(10_000)
    assert run(make_store(objects, "b"), service).status == 201 and service.runs == 1


def test_a_call_not_dispatched_gives_its_claim_back() -> None:
    objects, service = Objects(), Service()
    store = make_store(objects)
    service.error = RequestError(ErrorKind.NO_BACKEND, "none")
    assert refuse(store, service).kind is ErrorKind.NO_BACKEND
    store.flush(5_000)
    service.error = None
    assert run(make_store(objects, "b"), service).status == 201


def test_unknown_outcome_is_never_dispatched_again() -> None:
    objects, service = Objects(), Service()
    store = make_store(objects)
    service.error = RequestError(ErrorKind.OUTCOME_UNKNOWN, "cut")
    refuse(store, service)
    store.flush(5_000)
    service.error = None
    error = refuse(make_store(objects, "b"), service)
    assert (error.kind, error.answer.ran) == (ErrorKind.OUTCOME_UNKNOWN, Ran.UNKNOWN)
    assert service.runs == 0


def test_a_claim_of_a_dead_holder_is_not_dispatched_again() -> None:
    objects, service = Objects(), Service()
    service.hold = 30
    dead = gevent.spawn(run, make_store(objects), service)
    while not service.runs:
        gevent.sleep(0.001)
    error = refuse(make_store(objects, "b"), service)
    assert error.kind is ErrorKind.CLAIM_CONFLICT and error.answer.retry_after_ms > 0
    informed = make_store(objects, "c", has_ended=lambda holder: holder.startswith("a-"))
    assert refuse(informed, service).kind is ErrorKind.OUTCOME_UNKNOWN
    dead.kill()
    assert service.runs == 1


def test_given_back_claim_cannot_be_placed_late() -> None:
    draft = Draft(Head(), lambda digest: None, oldest_wall_ms=0)
    late, other = Claim.make("f", "a", 1, 9), Claim.make("f", "b", 1, 9)
    apply(GiveBack("k", late), draft)
    assert apply(Place("k", late), draft).verdict is Verdict.UNAVAILABLE
    assert apply(Place("k", other), draft).verdict is Verdict.PLACED
    apply(GiveBack("k", late), draft)
    assert draft.find("k") == other


def test_a_claim_that_took_too_long_is_not_dispatched(monkeypatch: pytest.MonkeyPatch) -> None:
    objects, service = Objects(), Service()
    store = make_store(objects)
    monkeypatch.setattr(claim_store, "FRESH_MS", 0)
    assert refuse(store, service).kind is ErrorKind.CLAIM_UNAVAILABLE
    store.flush(5_000)
    monkeypatch.undo()
    assert run(make_store(objects, "b"), service).status == 201 and service.runs == 1


class FaultyObjects(Objects):
    """Object service in which every call may fail and a write may take effect late."""

    def __init__(self, seed: int) -> None:
        super().__init__()
        self.random = random.Random(seed)
        self.faulty = True

    def read(self, kind: str, name: str) -> StoredObject | None:
        self._fail_sometimes()
        self.old_reads = self.random.choice((0, 0, 0, 1, 3)) if self.faulty else 0
        return super().read(kind, name)

    def _fail_sometimes(self) -> None:
        if self.faulty and self.random.random() < 0.1:
            raise PlatformError(ErrorKind.PLATFORM_UNAVAILABLE, "down")

    def _write(self, name: str, value: Any, expected: int) -> WriteOutcome:
        self._fail_sometimes()
        fate = self.random.random() if self.faulty else 1.0
        if fate < 0.1:
            return Unknown("not applied")
        if fate < 0.2:
            late_s = self.random.uniform(0, 0.03)
            gevent.spawn_later(late_s, super()._write, name, value, expected)
            return Unknown("applied late")
        outcome = super()._write(name, value, expected)
        return Unknown("applied") if fate < 0.3 else outcome


@pytest.mark.parametrize("seed", range(12))
def test_random_faults_never_run_a_key_twice(seed: int) -> None:
    objects, network = FaultyObjects(seed), Network()
    names = ("d0", "d1", "d2")
    peers = [ClaimPeer(name, f"z{index}", name) for index, name in enumerate(names)]
    stores = [
        make_store(
            objects,
            peer.name,
            peer.zone,
            peers=network.join(peer.address),
            list_peers=lambda me=peer: [other for other in peers if other != me],
            bounds=Bounds(head_bytes=1_500),
        )
        for peer in peers
    ]
    services = {f"k{number}": Service() for number in range(25)}
    refused_all: dict[str, bool] = dict.fromkeys(services, True)

    def call(store: ClaimStore, key: str) -> None:
        try:
            run(store, services[key], key)
            refused_all[key] = False
        except RequestError as error:
            refused_all[key] &= error.answer.ran is Ran.NO

    tasks = []
    for key in services:
        for _ in range(objects.random.randint(1, 4)):
            tasks.append(gevent.spawn(call, objects.random.choice(stores), key))
            if objects.random.random() < 0.1:
                gevent.spawn_later(objects.random.uniform(0, 0.02), tasks[-1].kill)
                refused_all[key] = False
        gevent.sleep(0.002)
    gevent.joinall(tasks)
    assert all(service.runs <= 1 for service in services.values())
    assert all(services[key].runs == 0 for key, refused in refused_all.items() if refused)
    objects.faulty = False
    for store in stores:
        assert store.flush(10_000)
    for key, service in services.items():
        answered = attempt(stores[0], service, key)
        assert service.runs <= 1
        assert answered or not refused_all[key], key


def attempt(store: ClaimStore, service: Service, key: str) -> bool:
    """Repeat the call of a key; return whether it has an answer."""
    try:
        return run(store, service, key).status == 201
    except RequestError as error:
        assert error.kind in (ErrorKind.OUTCOME_UNKNOWN, ErrorKind.CLAIM_CONFLICT)
        return False


def test_a_large_answer_is_reported_as_run_but_not_replayed() -> None:
    objects, service = Objects(), Service()
    store = make_store(objects)
    service.body = b"x" * (MAX_RETAINED_BODY_BYTES + 1)
    run(store, service)
    store.flush(5_000)
    error = refuse(make_store(objects, "b"), service)
    assert (error.kind, error.answer.ran) == (ErrorKind.OUTCOME_UNKNOWN, Ran.YES)


def test_claims_move_to_segments_and_are_found_there() -> None:
    objects, service = Objects(), Service()
    settings = {"bounds": Bounds(head_bytes=600, max_segments=256)}
    store = make_store(objects, **settings)
    keys = [f"k{number}" for number in range(120)]
    gevent.joinall([gevent.spawn(run, store, service, key) for key in keys], raise_error=True)
    store.flush(10_000)
    assert any(".s-" in name for name in objects.history)
    fresh = make_store(objects, "b", **settings)
    for key in keys:
        run(fresh, service, key)
    assert service.runs == len(keys)


def test_full_partition_refuses_and_expiry_makes_room() -> None:
    objects, service = Objects(), Service()
    store = make_store(objects, bounds=Bounds(head_bytes=1, max_segments=1), retention_ms=1_000)
    refused = []
    for number in range(64):
        try:
            run(store, service, f"k{number}")
        except RequestError as error:
            refused.append(error)
    assert refused and all(error.kind is ErrorKind.CLAIM_UNAVAILABLE for error in refused)
    assert service.runs + len(refused) == 64
    gevent.sleep(1.1)
    before = service.runs
    assert run(store, service, "later").status == 201 and service.runs == before + 1


def test_the_owner_writes_for_peers_and_peers_replace_an_unreachable_owner() -> None:
    objects, service, network = Objects(), Service(), Network()
    peers = [ClaimPeer(f"d{number}", f"z{number % 2}", f"d{number}") for number in range(4)]
    unreachable = Objects()
    unreachable.down = True
    stores = {}
    for peer in peers:
        stores[peer.name] = make_store(
            unreachable if peer.zone == "z0" else objects,
            peer.name,
            peer.zone,
            peers=network.join(peer.address),
            list_peers=lambda me=peer: [other for other in peers if other != me],
        )
    for number in range(20):
        assert run(stores["d0"], service, f"k{number}").status == 201
    assert stores["d0"].flush(10_000)
    for number in range(20):
        run(stores["d3"], service, f"k{number}")
    assert service.runs == 20
    assert network.asked["d1"] and network.asked["d3"]
