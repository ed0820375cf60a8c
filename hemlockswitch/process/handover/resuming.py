"""Serving the rest of a request whose daemon left: find its state, own it, go on."""

import json
from collections.abc import Callable, Iterable
from typing import Any, Protocol

import gevent

from hemlockswitch.connection.callers import CallerAnswer, CallerRequest
from hemlockswitch.core.clock import Clock
from hemlockswitch.core.errors import ErrorKind, PeerError, Ran, RequestError
from hemlockswitch.core.events import Event
from hemlockswitch.core.identifiers import make_identifier
from hemlockswitch.core.logs import log_event
from hemlockswitch.process.handover.handover import HandoverMember, HandoverNetwork, rank_receivers
from hemlockswitch.process.handover.messages import (
    ConfirmTake,
    DropState,
    FindState,
    HandOver,
    StateTaken,
    TakeState,
    decode_state,
)
from hemlockswitch.process.handover.state_store import StateStore
from hemlockswitch.process.records import RequestRecord, RequestRecords
from hemlockswitch.request.chunks import SEPARATOR
from hemlockswitch.request.generation import Generation
from hemlockswitch.request.prefixes import count_tokens

ASK_TIMEOUT_MS = 500.0
ASKED_PER_ZONE = 3
MOST_ASKED = 64
ASKS_EACH = 3
RETRY_MS = 300
LAST_EVENT_HEADER = "last-event-id"


class Readmitter(Protocol):
    """Who gives a permit for a request that another daemon admitted."""

    def readmit(self, account: str, tokens_charged: int) -> Any:
        """Return a permit of which `tokens_charged` were charged elsewhere."""


AnswerRest = Callable[[Generation, CallerRequest, RequestRecord, bytes], CallerAnswer]


class Resuming:
    """Serves ``GET /v1/requests/{id}``.

    Explanation
    ===========

    The daemons that may hold the state are those that the leaving daemon asks first: the first
    of the rendezvous order in each zone, leaving ones too. They are asked together; of several
    copies the newest is taken and the others are told to forget theirs. The state is reserved,
    confirmed, and only then served, so that one daemon owns it at any time.

    Parameters
    ==========

    name : this daemon.
    clock : the process's clock.
    network : the peer network.
    list_members : the daemons that may hold states, this one and leaving ones too.
    store : the generations that wait here.
    admission : gives a permit without a refusal, since the request was admitted before.
    records : begins the request's record.
    answer : relays the rest of a generation after the bytes given.
    count : counts what becomes of generations.
    """

    def __init__(
        self,
        *,
        name: str,
        clock: Clock,
        network: HandoverNetwork,
        list_members: Callable[[], Iterable[HandoverMember]],
        store: StateStore,
        admission: Readmitter,
        records: RequestRecords,
        answer: AnswerRest,
        count: Callable[[str], None] = lambda outcome: None,
    ) -> None:
        self._name = name
        self._clock = clock
        self._network = network
        self._list_members = list_members
        self._store = store
        self._admission = admission
        self._records = records
        self._answer = answer
        self._count = count

    def resume(self, request: CallerRequest, account: str, resumed_id: str) -> CallerAnswer:
        """Return the rest of an earlier request's answer.

        Raises
        ======

        RequestError : nobody holds it, somebody could not be asked, or ``Last-Event-ID`` does
            not fit.
        """
        taken = self._take(resumed_id, account)
        generation = Generation.from_state(decode_state(taken.state), self._clock)
        generation.hops = taken.hops
        try:
            start = _find_start(request, generation)
        except RequestError:
            # The caller may ask again and better; the state waits here now.
            self._store.put("", HandOver(taken.state, taken.hops + 1))
            raise
        done = len(generation.tokens)
        charged = count_tokens(generation.prompt) + done if done else 0
        record = self._records.begin(request, generation.model)
        record.adopt_permit(self._admission.readmit(account, charged))
        self._count("resumed")
        log_event(Event.GENERATION_RESUMED, request=resumed_id, position=start)
        return self._answer(generation, request, record, render_events(generation, start))

    def _take(self, request_id: str, account: str) -> StateTaken:
        question = FindState(request_id, account)
        members = list(self._list_members())
        holders, silent = self._find_holders(question, _choose_first(request_id, members))
        if not holders:
            rest = [member for member in members if member.name not in silent][:MOST_ASKED]
            holders, silent_too = self._find_holders(question, rest)
            silent |= silent_too
        if not holders and silent:
            # It may be at a daemon that did not answer; it is not said to be lost.
            detail = "not found yet: some daemons did not answer"
            raise RequestError(ErrorKind.MOVED, detail, ran=Ran.UNKNOWN, retry_after_ms=RETRY_MS)
        if not holders:
            raise RequestError(ErrorKind.UNKNOWN_REQUEST, "no such request waits to be fetched")
        return self._take_from(holders, request_id, account)

    def _find_holders(
        self, question: FindState, members: list[HandoverMember]
    ) -> tuple[list[tuple[int, HandoverMember]], set[str]]:
        """Ask all of `members` at once; return the holders, newest copy first, and the silent."""
        asks = [(member, gevent.spawn(self._find_at, member, question)) for member in members]
        gevent.joinall([task for _, task in asks])
        answers = [(task.value, member) for member, task in asks]
        # One that was leaving and is silent has most likely gone, with all it had handed over.
        silent = {member.name for hops, member in answers if hops is None and not member.leaving}
        holders = [(hops, member) for hops, member in answers if hops]
        holders.sort(key=lambda holder: holder[0], reverse=True)
        return holders, silent

    def _find_at(self, member: HandoverMember, question: FindState) -> int | None:
        try:
            return self._ask(member, question).hops
        except PeerError:
            return None

    def _take_from(
        self, holders: list[tuple[int, HandoverMember]], request_id: str, account: str
    ) -> StateTaken:
        taker = make_identifier("take")
        for _, member in holders:
            try:
                taken = self._ask_again(member, TakeState(request_id, account, taker))
                self._ask_again(member, ConfirmTake(request_id, taker))
            except PeerError:
                continue
            for _, other in holders:
                if other.name != member.name:
                    gevent.spawn(self._drop_at, other, DropState(request_id, taken.hops + 1))
            return taken
        detail = "its state could not be taken over"
        raise RequestError(ErrorKind.MOVED, detail, ran=Ran.UNKNOWN, retry_after_ms=RETRY_MS)

    def _drop_at(self, member: HandoverMember, message: DropState) -> None:
        try:
            self._ask(member, message)
        except PeerError:
            return

    def _ask_again(self, member: HandoverMember, message: Any) -> Any:
        """Ask up to `ASKS_EACH` times: every question may be repeated with the same effect."""
        for attempt in range(ASKS_EACH):
            try:
                return self._ask(member, message)
            except PeerError as error:
                if error.kind is not ErrorKind.PEER_UNAVAILABLE or attempt == ASKS_EACH - 1:
                    raise
        raise AssertionError("not reached")

    def _ask(self, member: HandoverMember, message: Any) -> Any:
        if member.name == self._name:
            return serve_state_message(self._store, message)
        return self._network.ask(member.address, message, ASK_TIMEOUT_MS)


def serve_state_message(store: StateStore, message: Any) -> Any:
    """Serve a question about waiting generations on this daemon's own store."""
    if isinstance(message, FindState):
        return store.find("", message)
    if isinstance(message, TakeState):
        return store.reserve("", message)
    if isinstance(message, ConfirmTake):
        return store.confirm("", message)
    return store.drop("", message)


def render_events(generation: Generation, start: int) -> bytes:
    """Return the events of the tokens from position `start` on, as the caller gets them."""
    pieces = []
    for position in range(start, len(generation.tokens)):
        content = generation.tokens[position].decode("utf-8", "surrogatepass")
        choice = {"index": 0, "delta": {"content": content}, "finish_reason": None}
        chunk = {
            "id": generation.request_id,
            "object": "chat.completion.chunk",
            "model": generation.model,
            "choices": [choice],
        }
        text = json.dumps(chunk, ensure_ascii=False)
        head = f"id: {generation.request_id}:{position}\ndata: {text}"
        pieces.append(head.encode("utf-8", "surrogatepass") + SEPARATOR)
    return b"".join(pieces)


def _find_start(request: CallerRequest, generation: Generation) -> int:
    """Return the position after the one that the caller names as its last."""
    last = request.headers.get(LAST_EVENT_HEADER, "")
    if not last:
        return 0
    named_id, _, position = last.rpartition(":")
    fits = position.isascii() and position.isdigit() and len(position) < 12
    if named_id != generation.request_id or not fits:
        raise RequestError(ErrorKind.BAD_REQUEST, "Last-Event-ID: not of this request")
    if int(position) >= len(generation.tokens):
        raise RequestError(ErrorKind.BAD_REQUEST, "Last-Event-ID: not sent yet")
    return int(position) + 1


def _choose_first(request_id: str, members: list[HandoverMember]) -> list[HandoverMember]:
    """Return the daemons that a leaving one asks first, whatever its zone was."""
    chosen: list[HandoverMember] = []
    for zone in sorted({member.zone for member in members}):
        here = [member for member in members if member.zone == zone]
        chosen += rank_receivers(request_id, zone, here)[:ASKED_PER_ZONE]
    return chosen[:MOST_ASKED]
