"""Replay of states that move between daemons which leave, on a simulated clock.

Explanation
===========

Four daemons in two zones relay generations; daemons leave in groups, and each is replaced. Messages
between them are slow or lost, and daemons freeze. Callers resume at any daemon that is not leaving.
A caller must receive each token once and in order, and must not be told that its request is
unknown or that it names a wrong position.

By hand: ``python -m tests.handover_replay --first 1 --seeds 200 --freeze 1500``.
"""

import argparse
import heapq
import itertools
import random
from dataclasses import dataclass, field
from typing import Any

import gevent
import structlog
from gevent.event import AsyncResult, Event

from hemlockswitch.connection.callers import CallerRequest
from hemlockswitch.core.errors import ErrorKind, PeerError, RequestError
from hemlockswitch.process.handover.handover import Handover, HandoverMember
from hemlockswitch.process.handover.messages import HandOver
from hemlockswitch.process.handover.resuming import Resuming, serve_state_message
from hemlockswitch.process.handover.state_store import StateStore
from hemlockswitch.request.generation import Generation, GenerationState

BODY = b'{"model": "m", "messages": [{"role": "user", "content": "a"}], "stream": true}'
ACCOUNT = "abdoun"
TOKENS = 120
TOKEN_GAP_MS = 60
CALLERS = 8
LEAVING_MS = 6_000
MAX_DURATION_MS = 120_000
REQUEST_DEADLINE_MS = 120_000
MAX_ATTEMPTS = 200
ANNOUNCEMENT_MS = 300
SLOW_DELAYS_MS = (200, 900)
NORMAL_DELAY_MS = 5
SHARES_SLOW = (0.0, 0.02, 0.1)
FINAL_REFUSALS = frozenset({ErrorKind.UNKNOWN_REQUEST, ErrorKind.BAD_REQUEST})


class SimulatedClock:
    """A clock that advances to the next sleeper when no task can run."""

    def __init__(self) -> None:
        self._now_ms = 0.0
        self._sleepers: list[tuple[float, int, Event]] = []
        self._numbers = itertools.count()

    def now_ms(self) -> float:
        return self._now_ms

    def wall_ms(self) -> int:
        return int(self._now_ms)

    def sleep_ms(self, duration_ms: float) -> None:
        woken = Event()
        due_ms = self._now_ms + max(duration_ms, 0)
        heapq.heappush(self._sleepers, (due_ms, next(self._numbers), woken))
        woken.wait()

    def run(self, tasks: list[gevent.Greenlet], until_ms: float) -> bool:
        """Advance until all tasks have ended; return False if `until_ms` was reached first."""
        gevent.idle()
        while not all(task.ready() for task in tasks):
            self._now_ms, _, woken = heapq.heappop(self._sleepers)
            if self._now_ms > until_ms:
                return False
            woken.set()
            gevent.idle()
        return True


class Relayed:
    """A generation that a daemon relays to its caller.

    Parameters
    ==========

    events : what the caller receives: the positions of tokens, then ``moved`` or ``done``.
    """

    def __init__(self, daemon: "Daemon", generation: Generation, events: list[Any]) -> None:
        self.daemon = daemon
        self.generation = generation
        self.events = events
        self.hand_over: Any = None

    def request_handover(self, hand_over: Any) -> None:
        self.hand_over = hand_over

    def run(self, start: int) -> None:
        self.daemon.running.append(self)
        self.daemon.answering += 1
        self.events.extend(range(start, len(self.generation.tokens)))
        last = self._relay()
        self.daemon.running.remove(self)
        self.daemon.answering -= 1
        self.events.append(last)

    def _relay(self) -> str:
        clock = self.daemon.fleet.clock
        while len(self.generation.tokens) < TOKENS:
            hand_over, self.hand_over = self.hand_over, None
            if hand_over is not None and hand_over(self.generation):
                return "moved"
            clock.sleep_ms(TOKEN_GAP_MS)
            self.daemon.await_thaw()
            self.events.append(len(self.generation.tokens))
            self.generation.tokens.append(b"x ")
        return "done"


class Record:
    def adopt_permit(self, permit: Any) -> None:
        pass


class Accounting:
    """Admits and records every request."""

    def readmit(self, account: str, tokens_charged: int) -> None:
        return None

    def begin(self, request: Any, model: str) -> Record:
        return Record()


@dataclass(frozen=True)
class Attempt(CallerRequest):
    """A caller's attempt to fetch the remaining events."""

    start: int = 0
    events: list[Any] = field(default_factory=list)


class Daemon:
    """A daemon with its own view of the other daemons' states."""

    def __init__(self, fleet: "Fleet", name: str, zone: str) -> None:
        self.fleet = fleet
        self.name = name
        self.zone = zone
        self.states: dict[str, str] = {}
        self.running: list[Relayed] = []
        self.answering = 0
        self.leaving = False
        self.dead = False
        self.frozen_until_ms = 0.0
        self.store = StateStore(fleet.clock, lambda *_: None)
        self.handover = Handover(
            name=name,
            zone=zone,
            clock=fleet.clock,
            network=Network(self),
            list_members=lambda: self._list_members({"live"}),
            list_running=lambda: list(self.running),
            store=self.store,
        )
        self.resuming = Resuming(
            name=name,
            clock=fleet.clock,
            network=Network(self),
            list_members=lambda: self._list_members({"live", "leaving"}),
            store=self.store,
            admission=Accounting(),
            records=Accounting(),
            answer=self._answer,
        )

    def await_thaw(self) -> None:
        while self.fleet.clock.now_ms() < self.frozen_until_ms:
            self.fleet.clock.sleep_ms(10)

    def _list_members(self, states: set[str]) -> list[HandoverMember]:
        return [
            HandoverMember(name, self.fleet.daemons[name].zone, name, state == "leaving")
            for name, state in self.states.items()
            if state in states
        ]

    def _answer(self, generation: Generation, attempt: Attempt, *_: Any) -> None:
        relayed = Relayed(self, generation, attempt.events)
        gevent.spawn(relayed.run, attempt.start)

    def resume(self, attempt: Attempt, request_id: str) -> None:
        self.answering += 1
        try:
            self.resuming.resume(attempt, ACCOUNT, request_id)
        finally:
            self.answering -= 1

    def leave(self) -> None:
        self.leaving = True
        self.fleet.announce(self, "leaving")
        self.handover.set_deadline(self.fleet.clock.now_ms() + MAX_DURATION_MS)
        # No generation may end here, so all are handed over.
        self.handover._fits = lambda generation: False
        self.handover.run(lambda: self.answering > 0)
        self.dead = True
        self.fleet.announce(self, "dead")


class Network:
    """The requests of one daemon, with slow and lost messages."""

    def __init__(self, sender: Daemon) -> None:
        self._sender = sender
        self._fleet = sender.fleet

    def request(self, address: str, message: Any, timeout_ms: float) -> Any:
        result = AsyncResult()
        late = PeerError(ErrorKind.PEER_UNAVAILABLE, f"{address} did not reply in time")
        gevent.spawn(self._deliver, self._fleet.daemons[address], message, result)
        gevent.spawn(self._expire, result, late, timeout_ms)
        reply = result.get()
        if isinstance(reply, PeerError):
            raise reply
        return reply

    def _expire(self, result: AsyncResult, late: PeerError, timeout_ms: float) -> None:
        self._fleet.clock.sleep_ms(timeout_ms)
        if not result.ready():
            result.set(late)

    def _deliver(self, target: Daemon, message: Any, result: AsyncResult) -> None:
        self._fleet.clock.sleep_ms(self._fleet.draw_delay_ms())
        target.await_thaw()
        reply = self._serve(target, message)
        self._fleet.clock.sleep_ms(self._fleet.draw_delay_ms())
        self._sender.await_thaw()
        if not result.ready():
            result.set(reply)

    @staticmethod
    def _serve(target: Daemon, message: Any) -> Any:
        if target.dead:
            return PeerError(ErrorKind.PEER_UNAVAILABLE, "the daemon has stopped")
        try:
            if isinstance(message, HandOver):
                return target.store.put("", message)
            return serve_state_message(target.store, message)
        except PeerError as refusal:
            return refusal


class Fleet:
    """Daemons that leave and are replaced, and the callers of their generations.

    Parameters
    ==========

    seed : of all draws.
    freeze_ms : longest time for which a daemon stands still; 0 for none.
    """

    def __init__(self, seed: int, freeze_ms: float = 0) -> None:
        self.clock = SimulatedClock()
        self.daemons: dict[str, Daemon] = {}
        self.problems: list[str] = []
        self.resumed = 0
        self._random = random.Random(seed)
        self._freeze_ms = freeze_ms
        self._share_slow = self._random.choice(SHARES_SLOW)
        for zone in "aabb":
            self._add(zone)

    def draw_delay_ms(self) -> float:
        if self._random.random() < self._share_slow:
            return self._random.uniform(*SLOW_DELAYS_MS)
        return self._random.expovariate(1 / NORMAL_DELAY_MS)

    def _add(self, zone: str) -> None:
        daemon = Daemon(self, f"{zone}{len(self.daemons)}", zone)
        self.daemons[daemon.name] = daemon
        for other in self.daemons.values():
            if not other.dead:
                other.states[daemon.name] = "live"
                daemon.states[other.name] = "leaving" if other.leaving else "live"

    def announce(self, daemon: Daemon, state: str) -> None:
        """Tell all daemons of a change of state, each after a while."""
        for other in list(self.daemons.values()):
            delay_ms = self._random.uniform(0, ANNOUNCEMENT_MS) if other is not daemon else 0
            gevent.spawn(self._tell, other, daemon.name, state, delay_ms)

    def _tell(self, listener: Daemon, name: str, state: str, delay_ms: float) -> None:
        self.clock.sleep_ms(delay_ms)
        if listener.states.get(name) != "dead":
            listener.states[name] = state

    def _list_serving(self) -> list[Daemon]:
        return [daemon for daemon in self.daemons.values() if not daemon.leaving]

    def play(self) -> None:
        """Play the seed; `problems` then lists what callers saw that they must not see."""
        callers = [gevent.spawn(self._call, f"req-{number}") for number in range(CALLERS)]
        others = [gevent.spawn(self._leave_in_groups), gevent.spawn(self._freeze)]
        if not self.clock.run(callers, MAX_DURATION_MS):
            self.problems.append("a caller did not get its whole answer in time")
        gevent.killall([*callers, *others])

    def _leave_in_groups(self) -> None:
        while self.clock.now_ms() < LEAVING_MS:
            self.clock.sleep_ms(self._random.uniform(50, 900))
            serving = self._list_serving()
            count = self._random.randint(1, len(serving) - 1)
            for daemon in self._random.sample(serving, count):
                gevent.spawn(daemon.leave)
                self._add(daemon.zone)

    def _freeze(self) -> None:
        while self._freeze_ms:
            self.clock.sleep_ms(self._random.uniform(100, 800))
            daemon = self._random.choice(list(self.daemons.values()))
            daemon.frozen_until_ms = self.clock.now_ms() + self._random.uniform(0, self._freeze_ms)

    def _call(self, request_id: str) -> None:
        """Follow one request from its first daemon to its last token."""
        daemon = self._random.choice(self._list_serving())
        deadline_ms = int(self.clock.wall_ms() + REQUEST_DEADLINE_MS)
        state = GenerationState(
            request_id,
            ACCOUNT,
            BODY,
            (),
            1,
            deadline_ms,
            TOKENS,
            "str-1",
            "engine-1",
            "127.0.0.1:1",
        )
        events: list[Any] = []
        relayed = Relayed(daemon, Generation.from_state(state, self.clock), events)
        gevent.spawn(relayed.run, 0)
        received = 0
        while True:
            while not events:
                self.clock.sleep_ms(10)
            event = events.pop(0)
            if event == "done":
                return
            if event == "moved":
                events = self._resume(request_id, received)
            elif event != received:
                self.problems.append(f"{request_id}: token {event} in place of {received}")
                return
            else:
                received += 1

    def _resume(self, request_id: str, received: int) -> list[Any]:
        """Return the events of the daemon that goes on with the request."""
        last = {"last-event-id": f"{request_id}:{received - 1}"} if received else {}
        for _ in range(MAX_ATTEMPTS):
            self.clock.sleep_ms(self._random.uniform(0, 20))
            daemon = self._random.choice(self._list_serving())
            attempt = Attempt("req-attempt", "GET", "/", headers=last, start=received)
            try:
                daemon.resume(attempt, request_id)
            except RequestError as refusal:
                if refusal.kind in FINAL_REFUSALS:
                    self.problems.append(f"{request_id}: {refusal} at {daemon.name}")
                    return ["done"]
                self.clock.sleep_ms(100)
                continue
            self.resumed += 1
            return attempt.events
        self.problems.append(f"{request_id}: refused {MAX_ATTEMPTS} times")
        return ["done"]


def play(seed: int, freeze_ms: float) -> Fleet:
    """Return a fleet that has been played; its log lines are dropped."""
    structlog.configure(processors=[_drop_line])
    try:
        fleet = Fleet(seed, freeze_ms)
        fleet.play()
        return fleet
    finally:
        structlog.reset_defaults()


def _drop_line(_logger: Any, _name: str, _event: Any) -> Any:
    raise structlog.DropEvent


def main() -> None:
    """Play seeds and print those with problems."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=20)
    parser.add_argument("--freeze", type=float, default=0, help="longest freeze in ms")
    options = parser.parse_args()
    broken = resumed = 0
    for seed in range(options.first, options.first + options.seeds):
        fleet = play(seed, options.freeze)
        problems = fleet.problems
        broken += bool(problems)
        resumed += fleet.resumed
        for problem in problems:
            print(seed, problem, flush=True)
    print(f"{broken} of {options.seeds} seeds broken, {resumed} requests resumed")


if __name__ == "__main__":
    main()
