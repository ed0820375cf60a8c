"""Stores the generations that were handed over to this daemon until their callers fetch them."""

from collections.abc import Callable
from dataclasses import dataclass

from hemlockswitch.core.clock import Clock
from hemlockswitch.core.errors import ErrorKind, PeerError
from hemlockswitch.process.handover.messages import (
    ConfirmTake,
    DropState,
    FindState,
    HandedOver,
    HandOver,
    StateFound,
    StateTaken,
    TakeState,
    decode_state,
    encode_state,
)
from hemlockswitch.request.generation import GenerationState

STATE_RETENTION_MS = 30_000.0
RESERVATION_MS = 3_000.0
SWEEP_INTERVAL_MS = 500.0
MAX_STATES = 4_096
MAX_BYTES = 64 * 1024 * 1024


@dataclass
class StoredState:
    """A generation that waits for its caller.

    Parameters
    ==========

    expires_ms : when it is discarded unless it is fetched.
    taker, reserved_until_ms : the fetch that it is reserved for, and until when.
    """

    state: GenerationState
    hops: int
    size_bytes: int
    expires_ms: float
    taker: str = ""
    reserved_until_ms: float = 0.0


class StateStore:
    """Stores generations until callers fetch them, limited in number, bytes and time.

    Explanation
    ===========

    A fetch takes two steps: the state is sent and reserved, and only the confirmation ends the
    ownership here. If a taker stops in between, the state remains available to the next one.

    Parameters
    ==========

    clock : the process's clock.
    end_stream : called with the engine's address and the stream of a generation that was not
        fetched in time.
    count : called with the outcome of each generation.
    """

    def __init__(
        self,
        clock: Clock,
        end_stream: Callable[[str, str], None],
        count: Callable[[str], None] = lambda outcome: None,
    ) -> None:
        self._clock = clock
        self._end_stream = end_stream
        self._count = count
        self._states: dict[str, StoredState] = {}
        self._confirmed: dict[str, float] = {}
        self._size_bytes = 0
        self.accepting = True

    def __len__(self) -> int:
        return len(self._states)

    def put(self, sender: str, message: HandOver) -> HandedOver:
        """Store a generation, which this daemon then owns.

        Raises
        ======

        PeerError : this daemon is leaving too, or stores too many; the sender still owns it.
        """
        if not self.accepting:
            raise PeerError(ErrorKind.LEAVING, "this daemon is leaving too")
        return self.put_back(message)

    def put_back(self, message: HandOver) -> HandedOver:
        """Store a generation that this daemon took, also while it is leaving.

        Raises
        ======

        PeerError : this daemon stores too many.
        """
        state = decode_state(message.state)
        known = self._states.get(state.request_id)
        if known is not None and known.hops >= message.hops:
            return HandedOver(state.request_id)
        self._remove(state.request_id)
        size_bytes = len(state.body) + sum(map(len, state.tokens))
        if len(self._states) >= MAX_STATES or self._size_bytes + size_bytes > MAX_BYTES:
            raise PeerError(ErrorKind.OVERLOADED, "too many generations are stored here")
        self._count("received")
        self._add(StoredState(state, message.hops, size_bytes, self._find_expiry_ms(state)))
        return HandedOver(state.request_id)

    def find(self, sender: str, message: FindState) -> StateFound:
        """Return whether the account's generation is stored here."""
        held = self._find(message.request_id, message.account)
        return StateFound(held.hops if held is not None else 0)

    def reserve(self, sender: str, message: TakeState) -> StateTaken:
        """Return a generation to a taker, reserving it until the taker has confirmed.

        Raises
        ======

        PeerError : the generation is not stored here, or is reserved for another taker.
        """
        held = self._find(message.request_id, message.account)
        if held is None:
            raise PeerError(ErrorKind.UNKNOWN_REQUEST, "no generation of this request here")
        now_ms = self._clock.now_ms()
        if held.taker not in ("", message.taker) and now_ms < held.reserved_until_ms:
            raise PeerError(ErrorKind.MOVED, "generation is reserved for another fetch")
        held.taker = message.taker
        held.reserved_until_ms = now_ms + RESERVATION_MS
        return StateTaken(encode_state(held.state), held.hops)

    def confirm(self, sender: str, message: ConfirmTake) -> HandedOver:
        """End this daemon's ownership; a repeated confirmation has no further effect.

        Raises
        ======

        PeerError : the generation is no longer reserved for this taker.
        """
        if message.taker in self._confirmed:
            return HandedOver(message.request_id)
        held = self._states.get(message.request_id)
        if held is None or held.taker != message.taker:
            raise PeerError(ErrorKind.UNKNOWN_REQUEST, "generation not reserved for this taker")
        self._remove(message.request_id)
        self._confirmed[message.taker] = self._clock.now_ms() + STATE_RETENTION_MS
        return HandedOver(message.request_id)

    def drop(self, sender: str, message: DropState) -> None:
        """Discard a copy that is older than the one served by another daemon."""
        held = self._states.get(message.request_id)
        if held is not None and held.hops < message.hops:
            self._remove(message.request_id)

    def remove(self, request_id: str) -> None:
        """Discard a generation that another daemon now owns."""
        self._remove(request_id)

    def list_stored(self) -> list[StoredState]:
        """Return the stored generations that are not being fetched."""
        now_ms = self._clock.now_ms()
        return [held for held in self._states.values() if now_ms >= held.reserved_until_ms]

    def sweep(self) -> None:
        """Discard the generations that were not fetched in time, and end their streams."""
        now_ms = self._clock.now_ms()
        for request_id, held in list(self._states.items()):
            if now_ms >= max(held.expires_ms, held.reserved_until_ms):
                self._remove(request_id)
                self._count("ended")
                if held.state.stream_id:
                    self._end_stream(held.state.server_address, held.state.stream_id)
        for taker, until_ms in list(self._confirmed.items()):
            if now_ms >= until_ms:
                del self._confirmed[taker]

    def run(self) -> None:
        """Sweep periodically, without end."""
        while True:
            self._clock.sleep_ms(SWEEP_INTERVAL_MS)
            self.sweep()

    def _find(self, request_id: str, account: str) -> StoredState | None:
        # A caller must not learn that another client account's request is stored here.
        held = self._states.get(request_id)
        return held if held is not None and held.state.account == account else None

    def _find_expiry_ms(self, state: GenerationState) -> float:
        left_ms = state.deadline_wall_ms - self._clock.wall_ms()
        return self._clock.now_ms() + max(min(STATE_RETENTION_MS, left_ms), 0)

    def _add(self, held: StoredState) -> None:
        self._states[held.state.request_id] = held
        self._size_bytes += held.size_bytes

    def _remove(self, request_id: str) -> None:
        held = self._states.pop(request_id, None)
        if held is not None:
            self._size_bytes -= held.size_bytes
