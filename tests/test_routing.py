import random

import pytest

from hemlockswitch.core.errors import ErrorKind, RequestError
from hemlockswitch.request.choices import PredictedTime, ScoredCandidate, find_preferred, pick
from hemlockswitch.request.prefixes import hash_blocks
from hemlockswitch.request.routing import Candidate, RequestNeeds, Router, TargetTraits
from hemlockswitch.standin.answers import hash_prefixes
from hemlockswitch.version.backend import BackendServer

PREFIX = tuple(hash_blocks("rules of the hall " * 40))


def make_server(name, price=1.0):
    return BackendServer(name, "marka-hall", "127.0.0.1:1", "m", price_per_hour=price)


class Source:
    def __init__(self, *candidates, waiting=0):
        self.candidates = list(candidates)
        self.waiting = waiting
        self.overflows = 0

    def list_candidates(self, target):
        return self.candidates

    def count_waiting(self):
        return self.waiting

    def record_overflow(self):
        self.overflows += 1


def make_source(**prefill_tokens):
    return Source(*(Candidate(make_server(n), prefill_tokens=t) for n, t in prefill_tokens.items()))


def expect_refusal(router, needs):
    with pytest.raises(RequestError) as caught:
        router.choose(needs)
    return caught.value


def test_cached_prefix_outweighs_moderate_load():
    source = make_source(a=0, b=0)
    router = Router(source)
    needs = RequestNeeds("m", PREFIX, prompt_tokens=160)
    preferred = router.choose(needs).name
    other = "b" if preferred == "a" else "a"
    router.record_dispatch(preferred, needs)
    source.candidates = list(make_source(**{other: 0, preferred: 80}).candidates)
    assert router.choose(needs).name == preferred
    source.candidates = list(make_source(**{other: 0, preferred: 800}).candidates)
    assert router.choose(needs).name == other


def test_prefix_returns_to_its_preferred_server():
    router = Router(make_source(a=0, b=0, c=0))
    needs = RequestNeeds("m", PREFIX, prompt_tokens=160)
    preferred = router.choose(needs).name
    other = next(name for name in "abc" if name != preferred)
    router.record_dispatch(other, needs)
    assert router.choose(needs).name in (preferred, other)
    router.record_dispatch(preferred, needs)
    assert router.choose(needs).name == preferred


def test_all_daemons_prefer_one_server_for_a_prefix():
    names = {
        Router(make_source(a=0, b=0, c=0)).choose(RequestNeeds("m", PREFIX)).name for _ in range(9)
    }
    assert len(names) == 1


def test_cheaper_server_is_chosen_among_similar_ones():
    dear = Candidate(make_server("a", price=2.0))
    cheap = Candidate(make_server("b", price=1.0), prefill_tokens=15)
    late = Candidate(make_server("c", price=0.5), prefill_tokens=4_000)
    assert Router(Source(dear, cheap, late)).choose(RequestNeeds("m")).name == "b"


def test_overloaded_preferred_server_is_not_chosen():
    names = ["a", "b", "c", "d"]
    scored = [
        ScoredCandidate(make_server(name), 10.0, requests=1, uncached_tokens=0) for name in names
    ]
    needs = RequestNeeds("m", PREFIX)
    preferred = find_preferred(scored, needs, 8)
    busy = [ScoredCandidate(one.server, 10.0, 40 if one is preferred else 1, 0) for one in scored]
    assert pick(PredictedTime(), busy, needs, random.Random(1)).server.name != preferred.server.name


def test_deadline_before_the_first_token_is_refused():
    router = Router(make_source(a=4_000))
    assert router.choose(RequestNeeds("m", deadline_ms=1_500)).name == "a"
    refusal = expect_refusal(router, RequestNeeds("m", deadline_ms=400))
    assert refusal.kind is ErrorKind.OVERLOADED
    assert 600 <= refusal.answer.retry_after_ms <= 1_000


def test_lower_priorities_are_refused_first():
    traits = TargetTraits(first_token_ms=300)
    router = Router(make_source(a=4_000), lambda target: traits)
    assert router.choose(RequestNeeds("m", priority=0)).name == "a"
    assert expect_refusal(router, RequestNeeds("m", priority=2)).kind is ErrorKind.OVERLOADED


def test_queue_of_a_daemon_is_bounded():
    source = make_source(a=0)
    router = Router(source, queue_length=5)
    source.waiting = 4
    router.choose(RequestNeeds("m"))
    source.waiting = 5
    assert expect_refusal(router, RequestNeeds("m")).answer.retry_after_ms > 0


def test_overflow_is_recorded_before_the_target_is_missed():
    source = make_source(a=2_000)
    Router(source).choose(RequestNeeds("m"))
    assert source.overflows == 1


def test_cluster_state_is_awaited_before_each_choice():
    awaited = []
    router = Router(make_source(a=0), await_cluster_state=lambda: awaited.append(1))
    router.choose(RequestNeeds("m"))
    router.choose(RequestNeeds("m"))
    assert len(awaited) == 2


def test_block_hashes_equal_those_of_the_engines():
    text = "user: " + "a summary of the treatment of one map " * 20
    assert hash_blocks(text) == tuple(hash_prefixes(text))
