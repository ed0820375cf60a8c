"""What is known of contents under which servers end: counting, merging, trials, forgetting."""

import itertools

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from hemlockswitch.core.clock import ManualClock
from hemlockswitch.request.quarantine import (
    CLEARED_RETENTION_MS,
    LIFE_MS,
    MAX_SERVERS_PER_SUSPECT,
    MAX_SUSPECTS,
    MOST_ENDS,
    TRIAL_PAUSES_MS,
    Quarantine,
    SuspectRecord,
)

CONTENT = "content"
SERVERS = [f"s{number}" for number in range(8)]


@pytest.fixture
def clock():
    return ManualClock(now_ms=1_000_000)


@pytest.fixture
def quarantine(clock):
    return Quarantine(clock)


def end_servers(quarantine, count=MOST_ENDS, content=CONTENT):
    for server in SERVERS[:count]:
        quarantine.note_end(content, server)


def copy_to(quarantine, *others):
    for record in quarantine.pop_untold():
        for other in others:
            other.take(SuspectRecord.from_fields(record.list_fields()))


@pytest.mark.parametrize(("ends", "is_careful", "is_held"), [(1, 0, 0), (2, 1, 0), (3, 1, 1)])
def test_a_content_is_held_back_after_three_servers(quarantine, ends, is_careful, is_held):
    end_servers(quarantine, ends)
    standing = quarantine.find_standing(CONTENT)
    assert (standing.is_careful, standing.is_held) == (bool(is_careful), bool(is_held))
    assert quarantine.list_held() == [CONTENT][: int(is_held)]


def test_many_requests_on_one_server_that_ended_count_once(quarantine):
    for _ in range(5):
        quarantine.note_end(CONTENT, "s1")
    assert quarantine.find_standing(CONTENT).ends == 1


def test_ends_seen_at_several_gateways_add_up(clock):
    gateways = [Quarantine(clock) for _ in range(3)]
    for gateway, server in zip(gateways, SERVERS, strict=False):
        gateway.note_end(CONTENT, server)
    for gateway in gateways:
        copy_to(gateway, *gateways)
    assert [one.list_held() for one in gateways] == [[CONTENT]] * 3
    assert len({one.hash_held() for one in gateways}) == 1


def test_a_complete_answer_clears_a_content_everywhere(clock):
    one, other = Quarantine(clock), Quarantine(clock)
    end_servers(one)
    copy_to(one, other)
    other.note_answer(CONTENT)
    copy_to(other, one)
    assert not one.find_standing(CONTENT).is_held
    assert one.hash_held() == 0


def test_late_word_of_ends_before_the_answer_does_not_count(clock):
    one, other = Quarantine(clock), Quarantine(clock)
    end_servers(one)
    late = one.pop_untold()
    other.take(late[0])
    other.note_answer(CONTENT)
    other.take(late[0])
    assert other.find_standing(CONTENT).ends == 0
    other.note_end(CONTENT, "s7")
    assert other.find_standing(CONTENT).ends == 1, "what ends later counts anew"


def test_the_end_of_a_server_that_answers_afterwards_does_not_count(clock, quarantine):
    end_servers(quarantine)
    quarantine.note_alive("s1", sent_ms=clock.now_ms())
    assert quarantine.find_standing(CONTENT).is_held, "it may have been sent before the end"
    clock.advance(10)
    quarantine.note_alive("s1", sent_ms=clock.now_ms())
    assert not quarantine.find_standing(CONTENT).is_held


def test_trials_come_rarely_and_end(clock, quarantine):
    end_servers(quarantine)
    for number, pause_ms in enumerate(TRIAL_PAUSES_MS, start=1):
        assert quarantine.find_standing(CONTENT).trial_in_ms == pause_ms
        clock.advance(pause_ms)
        assert quarantine.find_standing(CONTENT).trial_in_ms == 0
        quarantine.note_trial(CONTENT, number)
    standing = quarantine.find_standing(CONTENT)
    assert standing.trial_in_ms is None
    assert standing.forgotten_in_ms == LIFE_MS


def test_a_trial_that_another_gateway_made_delays_the_next_one_here(clock):
    one, other = Quarantine(clock), Quarantine(clock)
    end_servers(one)
    copy_to(one, other)
    clock.advance(TRIAL_PAUSES_MS[0])
    one.note_trial(CONTENT, 1)
    copy_to(one, other)
    assert other.find_standing(CONTENT).trial_in_ms == TRIAL_PAUSES_MS[1]


def test_contents_are_forgotten_after_their_time(clock, quarantine):
    end_servers(quarantine)
    end_servers(quarantine, content="cleared")
    quarantine.note_answer("cleared")
    clock.advance(CLEARED_RETENTION_MS)
    assert quarantine.forget_old() == []
    assert quarantine.get_record("cleared").ends == ()
    clock.advance(LIFE_MS)
    assert quarantine.forget_old() == [CONTENT]
    assert quarantine.is_empty


def test_many_contents_push_out_those_with_the_fewest_ends(quarantine):
    end_servers(quarantine)
    for number in range(MAX_SUSPECTS + 10):
        quarantine.note_end(f"other-{number}", "s1")
    assert quarantine.list_held() == [CONTENT]
    assert len(quarantine.describe()) == MAX_SUSPECTS


def test_a_content_that_was_cleared_many_times_can_still_be_held_back(quarantine):
    for number in range(MAX_SERVERS_PER_SUSPECT + 4):
        quarantine.note_end(CONTENT, f"reclaimed-{number}")
        quarantine.note_answer(CONTENT)
    end_servers(quarantine)
    assert quarantine.find_standing(CONTENT).is_held


def test_what_the_status_page_shows(clock, quarantine):
    end_servers(quarantine)
    clock.advance(500)
    (shown,) = quarantine.describe()
    assert shown == {
        "fingerprint": CONTENT,
        "held": True,
        "ends": SERVERS[:3],
        "trials": 0,
        "trial_in_ms": 1_500.0,
        "changed_ms_ago": 500,
    }


records = st.builds(
    SuspectRecord,
    st.just(CONTENT),
    st.lists(st.sampled_from(SERVERS), unique=True).map(tuple),
    st.lists(st.sampled_from(SERVERS), unique=True).map(tuple),
    st.integers(0, 3),
)


@given(st.lists(records, min_size=1, max_size=4))
def test_the_order_and_number_of_messages_makes_no_difference(told):
    """Of what is counted; the time of the next trial goes by the last word."""
    results = set()
    for order in itertools.permutations(told):
        quarantine = Quarantine(ManualClock(now_ms=1_000_000))
        for record in (*order, *order):
            quarantine.take(record)
        known = quarantine.get_record(CONTENT)
        counted = frozenset(known.ends) - frozenset(known.excused)
        results.add((counted, quarantine.hash_held()))
    assert len(results) == 1


@settings(max_examples=300)
@given(st.lists(st.tuples(st.integers(0, 2), st.sampled_from(SERVERS + ["answer"])), max_size=30))
def test_no_history_holds_a_content_back_that_was_answered_last(history):
    clock = ManualClock(now_ms=1_000_000)
    gateways = [Quarantine(clock) for _ in range(3)]
    for number, event in history:
        if event == "answer":
            gateways[number].note_answer(CONTENT)
        else:
            gateways[number].note_end(CONTENT, event)
    for gateway in gateways:
        copy_to(gateway, *gateways)
    gateways[0].note_answer(CONTENT)
    copy_to(gateways[0], *gateways)
    assert [one.list_held() for one in gateways] == [[], [], []]
