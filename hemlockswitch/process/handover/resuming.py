"""Resumes a request whose daemon left: finds its state, takes ownership of it and continues."""

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

REQUEST_TIMEOUT_MS = 500.0
MAX_QUERIED_PER_ZONE = 3
MAX_QUERIED = 64
MAX_ATTEMPTS = 3
LEAVING_SILENCE_MS = 3_000.0
RETRY_MS = 300
LAST_EVENT_HEADER = "last-event-id"


class Readmitter(Protocol):
    """Issues permits for requests that another daemon admitted."""

    def readmit(self, account: str, tokens_charged: int) -> Any:
        """Return a permit; another daemon has already charged `tokens_charged` tokens of it."""


class PositionError(RequestError):
    """The caller's ``Last-Event-ID`` does not fit the state of the request.

    Parameters
    ==========

    is_later : the event is later than the state, which may be an old copy.
    """

    def __init__(self, detail: str, *, is_later: bool = False) -> None:
        super().__init__(ErrorKind.BAD_REQUEST, detail)
        self.is_later = is_later


AnswerRemaining = Callable[[Generation, CallerRequest, RequestRecord, bytes], CallerAnswer]


class Resuming:
    """Serves ``GET /v1/requests/{id}``.

    Explanation
    ===========

    A state is most likely at one of the daemons that a leaving daemon tries first: the first of
    the rendezvous order in each zone, including leaving ones. These are queried concurrently. Of
    several copies the newest is taken, and the daemons with older copies discard them. The state
    is reserved, then confirmed, and only then served, so that exactly one daemon owns it.

    A state is reported as unknown only if every daemon that may store it has answered. A leaving
    daemon that has answered nothing for `LEAVING_SILENCE_MS` counts as stopped.

    Parameters
    ==========

    name : name of this daemon.
    clock : the process's clock.
    network : sends requests to peers.
    list_members : returns the daemons that may store states, including this and leaving ones.
    store : the generations stored here for their callers.
    admission : issues a permit without a refusal, since the request was admitted before.
    records : creates the request's record.
    answer : relays the remaining part of a generation after the given bytes.
    count : called with the outcome of each resumption.
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
        answer: AnswerRemaining,
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
        self._silent_since_ms: dict[str, float] = {}

    def resume(self, request: CallerRequest, account: str, resumed_id: str) -> CallerAnswer:
        """Return the remaining part of an earlier request's answer.

        Raises
        ======

        RequestError : no daemon stores the request's state, some daemons did not answer, or
            ``Last-Event-ID`` is not valid for the request.
        """
        taken = self._take(resumed_id, account)
        generation = Generation.from_state(decode_state(taken.state), self._clock)
        generation.hops = taken.hops
        try:
            start = _find_start(request, generation)
        except PositionError as error:
            self._give_back(FindState(resumed_id, account), taken, error)
            raise
        done = len(generation.tokens)
        charged = count_tokens(generation.prompt) + done if done else 0
        record = self._records.begin(request, generation.model)
        record.adopt_permit(self._admission.readmit(account, charged))
        self._count("resumed")
        log_event(Event.GENERATION_RESUMED, request=resumed_id, position=start)
        return self._answer(generation, request, record, render_events(generation, start))

    def _give_back(self, query: FindState, taken: StateTaken, error: PositionError) -> None:
        """Store a state for the next attempt of a caller whose position does not fit it.

        Raises
        ======

        RequestError : the caller names a later event, so that there may be a newer copy.
        """
        holders: list[tuple[int, HandoverMember]] = []
        unresponsive: set[str] = set()
        if error.is_later:
            members = list(self._list_members())[:MAX_QUERIED]
            holders, unresponsive = self._find_holders(query, members)
        is_old_copy = any(hops > taken.hops for hops, _ in holders)
        if not is_old_copy:
            self._store.put_back(HandOver(taken.state, taken.hops))
        if is_old_copy or unresponsive:
            raise self._build_not_found_yet() from error

    def _take(self, request_id: str, account: str) -> StateTaken:
        query = FindState(request_id, account)
        members = list(self._list_members())
        self._forget_absent(members)
        holders, unresponsive = self._find_holders(query, _choose_first(request_id, members))
        if not holders:
            remaining = [member for member in members if member.name not in unresponsive][
                :MAX_QUERIED
            ]
            holders, more_unresponsive = self._find_holders(query, remaining)
            unresponsive |= more_unresponsive
        if not holders and unresponsive:
            # The state may be at a daemon that did not answer, so it is not reported as lost.
            raise self._build_not_found_yet()
        if not holders:
            raise RequestError(
                ErrorKind.UNKNOWN_REQUEST, "no request with this id is waiting to be resumed"
            )
        return self._take_from(holders, request_id, account)

    @staticmethod
    def _build_not_found_yet() -> RequestError:
        detail = "state of the request not found yet: some daemons did not answer"
        return RequestError(ErrorKind.MOVED, detail, ran=Ran.UNKNOWN, retry_after_ms=RETRY_MS)

    def _find_holders(
        self, query: FindState, members: list[HandoverMember]
    ) -> tuple[list[tuple[int, HandoverMember]], set[str]]:
        """Query `members` concurrently.

        Returns
        =======

        tuple : the members that store the state with their hops, the newest copy first, and the
            names of the members that did not answer.
        """
        queries = [(member, gevent.spawn(self._find_at, member, query)) for member in members]
        gevent.joinall([task for _, task in queries])
        answers = [(task.value, member) for member, task in queries]
        unresponsive = {
            member.name for hops, member in answers if hops is None and self._may_run(member)
        }
        holders = [(hops, member) for hops, member in answers if hops]
        holders.sort(key=lambda holder: holder[0], reverse=True)
        return holders, unresponsive

    def _find_at(self, member: HandoverMember, query: FindState) -> int | None:
        try:
            hops = self._request(member, query).hops
        except PeerError:
            return None
        self._silent_since_ms.pop(member.name, None)
        return hops

    def _may_run(self, member: HandoverMember) -> bool:
        """Return whether a daemon that did not answer may still run and store states."""
        if not member.leaving:
            return True
        now_ms = self._clock.now_ms()
        return now_ms - self._silent_since_ms.setdefault(member.name, now_ms) < LEAVING_SILENCE_MS

    def _forget_absent(self, members: list[HandoverMember]) -> None:
        for name in self._silent_since_ms.keys() - {member.name for member in members}:
            del self._silent_since_ms[name]

    def _take_from(
        self, holders: list[tuple[int, HandoverMember]], request_id: str, account: str
    ) -> StateTaken:
        taker = make_identifier("take")
        newest_hops = holders[0][0]
        for _, member in [holder for holder in holders if holder[0] == newest_hops]:
            try:
                taken = self._request_with_retries(member, TakeState(request_id, account, taker))
            except PeerError:
                continue
            if not self._confirm(member, ConfirmTake(request_id, taker), taken):
                continue
            others = [other for _, other in holders if other.name != member.name]
            self._drop_copies(others, DropState(request_id, taken.hops + 1))
            return taken
        detail = "state of the request could not be taken over"
        raise RequestError(ErrorKind.MOVED, detail, ran=Ran.UNKNOWN, retry_after_ms=RETRY_MS)

    def _confirm(self, member: HandoverMember, message: ConfirmTake, taken: StateTaken) -> bool:
        """Confirm that this daemon has a state; return whether the holder has released it."""
        try:
            self._request_with_retries(member, message)
        except PeerError as error:
            log_event(
                Event.TAKE_UNCONFIRMED,
                "warning",
                request=message.request_id,
                holder=member.name,
                detail=error.detail,
            )
            if error.kind is ErrorKind.PEER_UNAVAILABLE:
                self._keep_copy(taken)
            return False
        return True

    def _keep_copy(self, taken: StateTaken) -> None:
        """Store a state that its holder may have released, for the caller's next attempt."""
        try:
            self._store.put_back(HandOver(taken.state, taken.hops))
        except PeerError as error:
            log_event(Event.STATE_COPY_REFUSED, "error", detail=error.detail)

    def _drop_copies(self, holders: list[HandoverMember], message: DropState) -> None:
        """Discard older copies: an own one at once, since a newer one may be stored here next."""
        for member in holders:
            if member.name == self._name:
                self._store.drop("", message)
            else:
                gevent.spawn(self._drop_at, member, message)

    def _drop_at(self, member: HandoverMember, message: DropState) -> None:
        try:
            self._request(member, message)
        except PeerError:
            return

    def _request_with_retries(self, member: HandoverMember, message: Any) -> Any:
        """Send a request up to `MAX_ATTEMPTS` times; all these requests are idempotent."""
        for attempt in range(MAX_ATTEMPTS):
            try:
                return self._request(member, message)
            except PeerError as error:
                if error.kind is not ErrorKind.PEER_UNAVAILABLE or attempt == MAX_ATTEMPTS - 1:
                    raise
        raise AssertionError("not reached")

    def _request(self, member: HandoverMember, message: Any) -> Any:
        if member.name == self._name:
            return serve_state_message(self._store, message)
        return self._network.request(member.address, message, REQUEST_TIMEOUT_MS)


def serve_state_message(store: StateStore, message: Any) -> Any:
    """Serve a message about stored generations from this daemon's own store."""
    if isinstance(message, FindState):
        return store.find("", message)
    if isinstance(message, TakeState):
        return store.reserve("", message)
    if isinstance(message, ConfirmTake):
        return store.confirm("", message)
    return store.drop("", message)


def render_events(generation: Generation, start: int) -> bytes:
    """Return the events of the tokens from position `start` on, in the caller's format."""
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
    """Return the position after the caller's ``Last-Event-ID``."""
    last = request.headers.get(LAST_EVENT_HEADER, "")
    if not last:
        return 0
    named_id, _, position = last.rpartition(":")
    fits = position.isascii() and position.isdigit() and len(position) < 12
    if named_id != generation.request_id or not fits:
        raise PositionError("Last-Event-ID is not an event id of this request")
    if int(position) >= len(generation.tokens):
        raise PositionError("Last-Event-ID names an event that was not sent yet", is_later=True)
    return int(position) + 1


def _choose_first(request_id: str, members: list[HandoverMember]) -> list[HandoverMember]:
    """Return the daemons that a leaving daemon tries first, for any zone of that daemon."""
    chosen: list[HandoverMember] = []
    for zone in sorted({member.zone for member in members}):
        here = [member for member in members if member.zone == zone]
        chosen += rank_receivers(request_id, zone, here)[:MAX_QUERIED_PER_ZONE]
    return chosen[:MAX_QUERIED]
