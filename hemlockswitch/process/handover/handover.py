"""Handing over the generations in progress when this daemon's VM leaves."""

from collections.abc import Callable, Iterable
from typing import Any, Protocol

from gevent.pool import Pool

from hemlockswitch.core.clock import Clock
from hemlockswitch.core.errors import ErrorKind, PeerError
from hemlockswitch.core.identifiers import rank_rendezvous
from hemlockswitch.process.handover.messages import HandOver, encode_state
from hemlockswitch.process.handover.state_store import StateStore
from hemlockswitch.process.shares.parts import ShareMember as HandoverMember
from hemlockswitch.request.generation import Generation, GenerationState
from hemlockswitch.request.running import Running

ASK_TIMEOUT_MS = 500.0
MOST_RECEIVERS = 6
ASKS_EACH = 2
HANDOVERS_AT_ONCE = 32
RESERVE_MS = 1_500.0
LOOK_AGAIN_MS = 20.0
UNKNOWN_GAP_MS = 60.0
SLACK = 1.25
REFUSALS = frozenset({ErrorKind.LEAVING, ErrorKind.OVERLOADED, ErrorKind.BAD_REQUEST})


class HandoverNetwork(Protocol):
    """The part of the peer network that a handover uses."""

    def ask(self, address: str, message: Any, timeout_ms: float) -> Any:
        """Return the peer's reply, or raise `PeerError`."""


def rank_receivers(
    request_id: str, zone: str, members: Iterable[HandoverMember]
) -> list[HandoverMember]:
    """Order daemons for a request: those of `zone` first, each part by rendezvous.

    Examples
    ========

    >>> members = [HandoverMember("a", "z1", ""), HandoverMember("b", "z2", "")]
    >>> [member.name for member in rank_receivers("req-1", "z2", members)]
    ['b', 'a']
    """
    by_name = {member.name: member for member in members}
    ranked = [by_name[name] for name in rank_rendezvous(request_id, by_name)]
    return sorted(ranked, key=lambda member: member.zone != zone)


class Handover:
    """Moves generations in progress, and those that wait here, to other daemons.

    Explanation
    ===========

    A generation whose rest fits into the notice ends here. For any other one the relay stops at
    a clean point, its own task hands the state to the first live daemon of the rendezvous order
    that takes it, and only after that daemon's answer is the caller told to move. Where nobody
    takes it the relay goes on and it is tried again. An answer that was lost leaves a copy at a
    daemon that the caller may find first; both copies say the same, and the one with more hops
    is served.

    Parameters
    ==========

    name, zone : of this daemon.
    clock : the process's clock.
    network : the peer network.
    list_members : the live daemons that are not leaving.
    list_running : the generations that this daemon relays.
    store : the generations that wait here.
    count : counts what becomes of generations.
    """

    def __init__(
        self,
        *,
        name: str,
        zone: str,
        clock: Clock,
        network: HandoverNetwork,
        list_members: Callable[[], Iterable[HandoverMember]],
        list_running: Callable[[], list[Running]],
        store: StateStore,
        count: Callable[[str], None] = lambda outcome: None,
    ) -> None:
        self._name = name
        self._zone = zone
        self._clock = clock
        self._network = network
        self._list_members = list_members
        self._list_running = list_running
        self._store = store
        self._count = count
        self._deadline_ms = float("inf")
        self.moved = 0
        self.failed = 0

    def set_deadline(self, deadline_ms: float) -> None:
        """Leave by `deadline_ms`; of several notices the earliest counts."""
        self._deadline_ms = min(self._deadline_ms, deadline_ms)

    def run(self, is_busy: Callable[[], bool]) -> None:
        """Let end what fits and hand over the rest, until nothing is left or time is over.

        Parameters
        ==========

        is_busy : whether callers are still being answered.
        """
        self._store.accepting = False
        while self._clock.now_ms() < self._deadline_ms:
            self._pass_on_held()
            for running in self._list_running():
                if running.hand_over is None and not self._fits(running.generation):
                    running.request_handover(self._hand_over)
            if not is_busy() and not len(self._store):
                return
            self._clock.sleep_ms(LOOK_AGAIN_MS)

    def describe(self) -> dict[str, int]:
        """Return the counts for the daemon's status and log."""
        left = len(self._list_running()) + len(self._store)
        return {"moved": self.moved, "failed": self.failed, "left": left}

    def _pass_on_held(self) -> None:
        """Hand on what was handed over to this daemon and has not been fetched."""
        pool = Pool(HANDOVERS_AT_ONCE)
        for held in self._store.list_held():
            pool.spawn(self._pass_on, held.state, held.hops)
        pool.join()

    def _pass_on(self, state: GenerationState, hops: int) -> None:
        if self._send(state, hops + 1):
            self._store.remove(state.request_id)

    def _hand_over(self, generation: Generation) -> bool:
        """Give a generation whose relay has stopped to another daemon; return whether it has it."""
        state = generation.export_state(self._clock)
        done = self._send(state, generation.hops + 1)
        self.moved += done
        self.failed += not done
        self._count("handed_over" if done else "kept")
        return done

    def _send(self, state: GenerationState, hops: int) -> bool:
        message = HandOver(encode_state(state), hops)
        others = [member for member in self._list_members() if member.name != self._name]
        for receiver in rank_receivers(state.request_id, self._zone, others)[:MOST_RECEIVERS]:
            if self._send_to(receiver, message):
                return True
        return False

    def _send_to(self, receiver: HandoverMember, message: HandOver) -> bool:
        """Ask one daemon; asked again it answers the same, so a lost answer is no harm."""
        for _ in range(ASKS_EACH):
            try:
                self._network.ask(receiver.address, message, ASK_TIMEOUT_MS)
                return True
            except PeerError as error:
                if error.kind in REFUSALS:
                    return False
        return False

    def _fits(self, generation: Generation) -> bool:
        """Return whether the rest is likely to come before this daemon ends."""
        if generation.finish_event:
            return True
        done = len(generation.tokens)
        now_ms = self._clock.now_ms()
        gap_ms = UNKNOWN_GAP_MS
        if generation.first_token_ms is not None and done > 1:
            gap_ms = (now_ms - generation.first_token_ms) / (done - 1)
        rest_ms = (generation.max_tokens - done + 1) * gap_ms * SLACK
        return now_ms + rest_ms + RESERVE_MS < self._deadline_ms
