"""Tests of the handover of generations between daemons.

They guard against a generation with two owners or none after a lost answer, against one that is
visible to another client account, and against engine streams that run on when no caller returns.
"""

from dataclasses import replace

import gevent
import pytest

from hemlockswitch.connection.callers import CallerRequest
from hemlockswitch.core.clock import ManualClock
from hemlockswitch.core.errors import ErrorKind, PeerError, RequestError
from hemlockswitch.process.handover.handover import (
    ATTEMPTS_PER_RECEIVER,
    Handover,
    HandoverMember,
    rank_receivers,
)
from hemlockswitch.process.handover.messages import (
    ConfirmTake,
    FindState,
    HandOver,
    TakeState,
    decode_state,
    encode_state,
)
from hemlockswitch.process.handover.resuming import (
    LEAVING_SILENCE_MS,
    MAX_ATTEMPTS,
    Resuming,
    render_events,
    serve_state_message,
)
from hemlockswitch.process.handover.state_store import (
    RESERVATION_MS,
    STATE_RETENTION_MS,
    StateStore,
)
from hemlockswitch.request.generation import Generation, GenerationState

BODY = b'{"model": "m", "messages": [{"role": "user", "content": "a"}], "stream": true}'
STATE = GenerationState(
    "req-1", "abdoun", BODY, (b"a ", b"b "), 1, 60_000, 9, "str-1", "engine-1", "127.0.0.1:1"
)
MESSAGE = HandOver(encode_state(STATE), 1)


@pytest.fixture
def store():
    ended = []
    store = StateStore(ManualClock(), lambda address, stream_id: ended.append(stream_id))
    store.streams_ended = ended
    return store


def take(store, taker):
    return store.reserve("", TakeState("req-1", "abdoun", taker))


def test_a_state_is_owned_until_its_taker_confirms(store):
    store.put("", MESSAGE)
    assert decode_state(take(store, "one").state) == STATE
    assert take(store, "one") == take(store, "one")
    with pytest.raises(PeerError) as caught:
        take(store, "two")
    assert caught.value.kind is ErrorKind.MOVED
    store._clock.advance(RESERVATION_MS)
    take(store, "two")
    with pytest.raises(PeerError):
        store.confirm("", ConfirmTake("req-1", "one"))
    store.confirm("", ConfirmTake("req-1", "two"))
    store.confirm("", ConfirmTake("req-1", "two"))
    assert len(store) == 0


def test_a_state_is_invisible_to_another_account(store):
    store.put("", MESSAGE)
    assert store.find("", FindState("req-1", "marka")).hops == 0
    with pytest.raises(PeerError) as caught:
        store.reserve("", TakeState("req-1", "marka", "one"))
    assert caught.value.kind is ErrorKind.UNKNOWN_REQUEST


def test_a_state_not_fetched_in_time_is_discarded_with_its_engine_stream(store):
    store.put("", MESSAGE)
    store._clock.advance(STATE_RETENTION_MS - 1)
    store.sweep()
    assert (len(store), store.streams_ended) == (1, [])
    store._clock.advance(1)
    store.sweep()
    assert (len(store), store.streams_ended) == (0, ["str-1"])


def test_a_state_past_its_deadline_is_discarded(store):
    store.put("", HandOver(encode_state(replace(STATE, deadline_wall_ms=5)), 1))
    store._clock.advance(5)
    store.sweep()
    assert len(store) == 0


def test_an_older_copy_does_not_replace_a_newer(store):
    store.put("", replace(MESSAGE, hops=2))
    store.put("", HandOver(encode_state(replace(STATE, tokens=())), 1))
    assert decode_state(take(store, "one").state) == STATE


class Peers:
    """State stores by address.

    The answers to the message types in `lost` are lost, once each and in this order; addresses in
    `gone` do not answer.
    """

    def __init__(self, *names):
        self.clock = ManualClock()
        self.stores = {name: StateStore(self.clock, lambda *_: None) for name in names}
        self.members = [HandoverMember(name, "a", name) for name in names]
        self.gone = set()
        self.lost = []

    def request(self, address, message, timeout_ms):
        if address in self.gone:
            raise PeerError(ErrorKind.PEER_UNAVAILABLE, "gone")
        store = self.stores[address]
        if isinstance(message, HandOver):
            reply = store.put("", message)
        else:
            reply = serve_state_message(store, message)
        if self.lost[:1] == [type(message)]:
            self.lost.pop(0)
            raise PeerError(ErrorKind.PEER_UNAVAILABLE, "the answer was lost")
        return reply

    def make_handover(self, name):
        return Handover(
            name=name,
            zone="a",
            clock=self.clock,
            network=self,
            list_members=lambda: self.members,
            list_running=list,
            store=self.stores[name],
        )

    def make_resuming(self, name):
        return Resuming(
            name=name,
            clock=self.clock,
            network=self,
            list_members=lambda: self.members,
            store=self.stores[name],
            admission=None,
            records=None,
            answer=None,
        )


def find_holders(peers):
    return [name for name, store in peers.stores.items() if len(store)]


def test_a_state_goes_to_the_first_receiver_that_accepts_it():
    peers = Peers("one", "two", "three", "four")
    order = [member.name for member in rank_receivers("req-1", "a", peers.members)]
    handover = peers.make_handover(order[3])
    peers.stores[order[0]].accepting = False
    peers.gone = {order[1]}
    assert handover._send(STATE, 1)
    assert find_holders(peers) == [order[2]]


def test_a_lost_answer_leaves_one_owner_that_is_served_once():
    peers = Peers("one", "two", "three")
    peers.lost = [HandOver, HandOver]
    assert peers.make_handover("one")._send(STATE, 1)
    assert len(find_holders(peers)) == 2
    resuming = peers.make_resuming("two")
    assert decode_state(resuming._take("req-1", "abdoun").state) == STATE
    while find_holders(peers):
        gevent.sleep(0)  # The messages that discard older copies are in transit.
    with pytest.raises(RequestError) as caught:
        resuming._take("req-1", "abdoun")
    assert caught.value.kind is ErrorKind.UNKNOWN_REQUEST


def test_a_lost_answer_to_a_fetch_does_not_lose_the_state():
    peers = Peers("one", "two", "three")
    peers.stores["three"].put("", MESSAGE)
    peers.lost = [TakeState, ConfirmTake]
    assert decode_state(peers.make_resuming("two")._take("req-1", "abdoun").state) == STATE
    assert find_holders(peers) == [] and peers.lost == []


def test_a_state_survives_a_fetch_whose_confirmation_is_never_answered():
    """Guards against a state that its holder has released and its taker has given up."""
    peers = Peers("one", "two", "three")
    peers.stores["three"].put("", MESSAGE)
    peers.lost = [ConfirmTake] * MAX_ATTEMPTS
    with pytest.raises(RequestError) as caught:
        peers.make_resuming("two")._take("req-1", "abdoun")
    assert caught.value.kind is ErrorKind.MOVED
    assert decode_state(peers.make_resuming("one")._take("req-1", "abdoun").state) == STATE
    assert find_holders(peers) == []


def test_a_state_is_not_reported_lost_while_a_daemon_does_not_answer():
    peers = Peers("one", "two", "three")
    peers.gone = {"three"}
    with pytest.raises(RequestError) as caught:
        peers.make_resuming("two")._take("req-1", "abdoun")
    assert caught.value.kind is ErrorKind.MOVED
    assert caught.value.answer.retry_after_ms > 0


def test_a_wrong_last_event_id_does_not_lose_the_state():
    peers = Peers("one", "two")
    peers.stores["one"].put("", MESSAGE)
    request = CallerRequest("req-2", "GET", "/", headers={"last-event-id": "req-1:7"})
    with pytest.raises(RequestError) as caught:
        peers.make_resuming("two").resume(request, "abdoun", "req-1")
    assert caught.value.kind is ErrorKind.BAD_REQUEST
    assert find_holders(peers) == ["two"]


def test_a_resumed_stream_contains_exactly_the_missed_tokens():
    generation = Generation.from_state(STATE, ManualClock())
    events = render_events(generation, 1)
    assert events.startswith(b"id: req-1:1\ndata: ")
    assert events.endswith(b"\n\n") and events.count(b"\n\n") == 1
    assert b'"content": "b "' in events and b'"id": "req-1"' in events


def test_a_leaving_daemon_keeps_a_state_whose_confirmation_is_never_answered():
    """Guards against a state that a leaving taker has given up after its holder released it."""
    peers = Peers("one", "two", "three")
    peers.stores["three"].put("", MESSAGE)
    peers.stores["two"].accepting = False
    peers.lost = [ConfirmTake] * MAX_ATTEMPTS
    with pytest.raises(RequestError) as caught:
        peers.make_resuming("two")._take("req-1", "abdoun")
    assert caught.value.kind is ErrorKind.MOVED
    assert find_holders(peers) == ["two"]


def test_a_wrong_last_event_id_at_a_leaving_daemon_does_not_lose_the_state():
    """Guards against a state that a leaving daemon takes and does not put back."""
    peers = Peers("one", "two")
    peers.stores["one"].put("", MESSAGE)
    peers.stores["two"].accepting = False
    request = CallerRequest("req-2", "GET", "/", headers={"last-event-id": "req-1:7"})
    with pytest.raises(RequestError) as caught:
        peers.make_resuming("two").resume(request, "abdoun", "req-1")
    assert caught.value.kind is ErrorKind.BAD_REQUEST
    assert find_holders(peers) == ["two"]


def test_a_repeated_handover_replaces_the_copy_of_an_earlier_one():
    """Guards against a receiver that keeps the old copy of a handover whose answer was lost."""
    peers = Peers("one", "two")
    handover = peers.make_handover("one")
    generation = Generation.from_state(STATE, peers.clock)
    peers.lost = [HandOver] * ATTEMPTS_PER_RECEIVER
    assert not handover._hand_over(generation)
    generation.tokens.append(b"c ")
    assert handover._hand_over(generation)
    assert decode_state(take(peers.stores["two"], "one").state).tokens == (b"a ", b"b ", b"c ")


def test_a_stored_state_is_forwarded_with_the_hops_it_has():
    """Guards against a forwarded copy that outranks the handover of the daemon that took it."""
    peers = Peers("one", "two")
    peers.stores["one"].put("", MESSAGE)
    peers.make_handover("one")._forward_stored()
    assert peers.stores["two"].find("", FindState("req-1", "abdoun")).hops == MESSAGE.hops


def test_a_state_is_not_reported_unknown_while_a_leaving_daemon_does_not_answer():
    """Guards against 404 for a state that a slow, leaving daemon still stores."""
    peers = Peers("one", "two")
    peers.members = [replace(member, leaving=member.name == "one") for member in peers.members]
    peers.gone = {"one"}
    resuming = peers.make_resuming("two")
    with pytest.raises(RequestError) as caught:
        resuming._take("req-1", "abdoun")
    assert caught.value.kind is ErrorKind.MOVED
    peers.clock.advance(LEAVING_SILENCE_MS)
    with pytest.raises(RequestError) as caught:
        resuming._take("req-1", "abdoun")
    assert caught.value.kind is ErrorKind.UNKNOWN_REQUEST


def test_an_older_copy_is_not_taken_while_the_newest_is_reserved():
    """Guards against an answer that begins again from an older copy."""
    peers = Peers("one", "two", "three")
    peers.stores["one"].put("", MESSAGE)
    peers.stores["three"].put("", replace(MESSAGE, hops=2))
    take(peers.stores["three"], "another fetch")
    with pytest.raises(RequestError) as caught:
        peers.make_resuming("two")._take("req-1", "abdoun")
    assert caught.value.kind is ErrorKind.MOVED


def test_a_caller_that_is_ahead_of_an_old_copy_is_asked_to_return():
    """Guards against 400 for a caller whose newest state is at a daemon that does not answer."""
    peers = Peers("one", "two", "three")
    peers.stores["one"].put("", MESSAGE)
    peers.gone = {"three"}
    request = CallerRequest("req-2", "GET", "/", headers={"last-event-id": "req-1:7"})
    with pytest.raises(RequestError) as caught:
        peers.make_resuming("two").resume(request, "abdoun", "req-1")
    assert caught.value.kind is ErrorKind.MOVED
    assert find_holders(peers) == ["two"]
