"""Hands over the generations in progress when this daemon's VM is leaving."""

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
from hemlockswitch.request.running import RunningGeneration

REQUEST_TIMEOUT_MS = 500.0
MAX_RECEIVERS = 6
ATTEMPTS_PER_RECEIVER = 2
MAX_PARALLEL_HANDOVERS = 32
RESERVE_MS = 1_500.0
HANDOVER_POLL_INTERVAL_MS = 20.0
DEFAULT_TOKEN_GAP_MS = 60.0
TIME_ESTIMATE_FACTOR = 1.25
REFUSALS = frozenset({ErrorKind.LEAVING, ErrorKind.OVERLOADED, ErrorKind.BAD_REQUEST})


class HandoverNetwork(Protocol):
    """The requests between daemons that a handover needs."""

    def request(self, address: str, message: Any, timeout_ms: float) -> Any:
        """Return the peer's reply, or raise `PeerError`."""


def rank_receivers(
    request_id: str, zone: str, members: Iterable[HandoverMember]
) -> list[HandoverMember]:
    """Order daemons for a request: those of `zone` first, in rendezvous order within each part.

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
    """Moves generations in progress, and those stored for their callers, to other daemons.

    Explanation
    ===========

    A generation that is expected to finish before the deadline is completed here. For any other,
    the relay stops at a consistent point, its task sends the state to the first live daemon of the
    rendezvous order that accepts it, and the caller is redirected only after that daemon has
    answered. If no daemon accepts the state, the relay continues and the handover is retried. A
    lost answer can leave two copies of a state at different daemons; both have the same content,
    and the copy with more hops is served.

    Parameters
    ==========

    name, zone : of this daemon.
    clock : the process's clock.
    network : sends requests to peers.
    list_members : returns the live daemons that are not leaving.
    list_running : returns the generations that this daemon relays.
    store : the generations stored here for their callers.
    count : called with the outcome of each handover.
    """

    def __init__(
        self,
        *,
        name: str,
        zone: str,
        clock: Clock,
        network: HandoverNetwork,
        list_members: Callable[[], Iterable[HandoverMember]],
        list_running: Callable[[], list[RunningGeneration]],
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
        """Set the time by which this daemon must leave; the earliest of several calls counts."""
        self._deadline_ms = min(self._deadline_ms, deadline_ms)

    def run(self, is_busy: Callable[[], bool]) -> None:
        """Hand over what cannot finish in time, until nothing is left or the deadline is over.

        Parameters
        ==========

        is_busy : returns whether callers are still being answered.
        """
        self._store.accepting = False
        while self._clock.now_ms() < self._deadline_ms:
            self._forward_stored()
            for running in self._list_running():
                if running.hand_over is None and not self._fits(running.generation):
                    running.request_handover(self._hand_over)
            if not is_busy() and not len(self._store):
                return
            self._clock.sleep_ms(HANDOVER_POLL_INTERVAL_MS)

    def describe(self) -> dict[str, int]:
        """Return the counters for the daemon's status and log."""
        left = len(self._list_running()) + len(self._store)
        return {"moved": self.moved, "failed": self.failed, "left": left}

    def _forward_stored(self) -> None:
        """Forward the states that were handed over to this daemon and have not been fetched."""
        pool = Pool(MAX_PARALLEL_HANDOVERS)
        for stored in self._store.list_stored():
            pool.spawn(self._forward, stored.state, stored.hops)
        pool.join()

    def _forward(self, state: GenerationState, hops: int) -> None:
        # The copy is as old as the stored state: only a daemon that relayed it has a newer one.
        if self._send(state, hops):
            self._store.remove(state.request_id)

    def _hand_over(self, generation: Generation) -> bool:
        """Send a generation whose relay has stopped to a peer; return whether one accepted it."""
        # A copy of an earlier handover, whose answer was lost, has fewer tokens and fewer hops.
        generation.hops += 1
        done = self._send(generation.export_state(self._clock), generation.hops)
        self.moved += done
        self.failed += not done
        self._count("handed_over" if done else "kept")
        return done

    def _send(self, state: GenerationState, hops: int) -> bool:
        message = HandOver(encode_state(state), hops)
        peers = [member for member in self._list_members() if member.name != self._name]
        for receiver in rank_receivers(state.request_id, self._zone, peers)[:MAX_RECEIVERS]:
            if self._send_to(receiver, message):
                return True
        return False

    def _send_to(self, receiver: HandoverMember, message: HandOver) -> bool:
        """Send to one daemon; the request is idempotent, so it is repeated after a lost answer."""
        for _ in range(ATTEMPTS_PER_RECEIVER):
            try:
                self._network.request(receiver.address, message, REQUEST_TIMEOUT_MS)
                return True
            except PeerError as error:
                if error.kind in REFUSALS:
                    return False
        return False

    def _fits(self, generation: Generation) -> bool:
        """Return whether a generation is likely to finish before this daemon stops."""
        if generation.finish_event:
            return True
        done = len(generation.tokens)
        now_ms = self._clock.now_ms()
        gap_ms = DEFAULT_TOKEN_GAP_MS
        if generation.first_token_ms is not None and done > 1:
            gap_ms = (now_ms - generation.first_token_ms) / (done - 1)
        remaining_ms = (generation.max_tokens - done + 1) * gap_ms * TIME_ESTIMATE_FACTOR
        return now_ms + remaining_ms + RESERVE_MS < self._deadline_ms
