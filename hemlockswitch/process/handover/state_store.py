"""Generations that were handed over to this daemon and wait for their callers."""

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

LINGER_MS = 30_000.0
RESERVED_MS = 3_000.0
SWEEP_MS = 500.0
MOST_STATES = 4_096
MOST_BYTES = 64 * 1024 * 1024


@dataclass
class Held:
    """One generation that waits.

    Parameters
    ==========

    until_ms : when it ends unless it is fetched.
    taker, reserved_until_ms : the fetch that it is reserved for.
    """

    state: GenerationState
    hops: int
    size_bytes: int
    until_ms: float
    taker: str = ""
    reserved_until_ms: float = 0.0


class StateStore:
    """Holds generations until a caller comes for them, bounded in number, bytes and time.

    Explanation
    ===========

    A fetch takes two steps: the state is given and reserved, and only the confirmation ends the
    ownership here. A taker that dies in between leaves it here for the next one.

    Parameters
    ==========

    clock : the process's clock.
    end_stream : told of the engine's address and stream of a generation that nobody fetched.
    count : counts what becomes of generations.
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
        self._held: dict[str, Held] = {}
        self._confirmed: dict[str, float] = {}
        self._size_bytes = 0
        self.accepting = True

    def __len__(self) -> int:
        return len(self._held)

    def put(self, sender: str, message: HandOver) -> HandedOver:
        """Own a generation from now on.

        Raises
        ======

        PeerError : this daemon leaves too, or holds too many; the sender owns it still.
        """
        state = decode_state(message.state)
        if not self.accepting:
            raise PeerError(ErrorKind.LEAVING, "this daemon leaves too")
        known = self._held.get(state.request_id)
        if known is not None and known.hops >= message.hops:
            return HandedOver(state.request_id)
        self._remove(state.request_id)
        size_bytes = len(state.body) + sum(map(len, state.tokens))
        if len(self._held) >= MOST_STATES or self._size_bytes + size_bytes > MOST_BYTES:
            raise PeerError(ErrorKind.OVERLOADED, "too many generations wait here")
        self._count("received")
        self._add(Held(state, message.hops, size_bytes, self._find_end_ms(state)))
        return HandedOver(state.request_id)

    def find(self, sender: str, message: FindState) -> StateFound:
        """Return whether the account's generation waits here."""
        held = self._find(message.request_id, message.account)
        return StateFound(held.hops if held is not None else 0)

    def reserve(self, sender: str, message: TakeState) -> StateTaken:
        """Give a generation to a taker and keep it until the taker has confirmed.

        Raises
        ======

        PeerError : it is not here, or reserved for another taker.
        """
        held = self._find(message.request_id, message.account)
        if held is None:
            raise PeerError(ErrorKind.UNKNOWN_REQUEST, "no such generation here")
        now_ms = self._clock.now_ms()
        if held.taker not in ("", message.taker) and now_ms < held.reserved_until_ms:
            raise PeerError(ErrorKind.MOVED, "another fetch has begun")
        held.taker = message.taker
        held.reserved_until_ms = now_ms + RESERVED_MS
        return StateTaken(encode_state(held.state), held.hops)

    def confirm(self, sender: str, message: ConfirmTake) -> HandedOver:
        """End the ownership here; the same confirmation may come again.

        Raises
        ======

        PeerError : it is not reserved for this taker any more.
        """
        if message.taker in self._confirmed:
            return HandedOver(message.request_id)
        held = self._held.get(message.request_id)
        if held is None or held.taker != message.taker:
            raise PeerError(ErrorKind.UNKNOWN_REQUEST, "not reserved for this taker")
        self._remove(message.request_id)
        self._confirmed[message.taker] = self._clock.now_ms() + LINGER_MS
        return HandedOver(message.request_id)

    def drop(self, sender: str, message: DropState) -> None:
        """Forget a copy that is older than the one served elsewhere."""
        held = self._held.get(message.request_id)
        if held is not None and held.hops < message.hops:
            self._remove(message.request_id)

    def remove(self, request_id: str) -> None:
        """Forget a generation that another daemon owns now."""
        self._remove(request_id)

    def list_held(self) -> list[Held]:
        """Return what waits here and is not being fetched."""
        now_ms = self._clock.now_ms()
        return [held for held in self._held.values() if now_ms >= held.reserved_until_ms]

    def sweep(self) -> None:
        """End the generations that nobody fetched in time."""
        now_ms = self._clock.now_ms()
        for request_id, held in list(self._held.items()):
            if now_ms >= max(held.until_ms, held.reserved_until_ms):
                self._remove(request_id)
                self._count("ended")
                if held.state.stream_id:
                    self._end_stream(held.state.server_address, held.state.stream_id)
        for taker, until_ms in list(self._confirmed.items()):
            if now_ms >= until_ms:
                del self._confirmed[taker]

    def run(self) -> None:
        """Sweep for ever."""
        while True:
            self._clock.sleep_ms(SWEEP_MS)
            self.sweep()

    def _find(self, request_id: str, account: str) -> Held | None:
        # Of another account's request a caller must not even learn that it is here.
        held = self._held.get(request_id)
        return held if held is not None and held.state.account == account else None

    def _find_end_ms(self, state: GenerationState) -> float:
        left_ms = state.deadline_wall_ms - self._clock.wall_ms()
        return self._clock.now_ms() + max(min(LINGER_MS, left_ms), 0)

    def _add(self, held: Held) -> None:
        self._held[held.state.request_id] = held
        self._size_bytes += held.size_bytes

    def _remove(self, request_id: str) -> None:
        held = self._held.pop(request_id, None)
        if held is not None:
            self._size_bytes -= held.size_bytes
