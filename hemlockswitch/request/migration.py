"""Moving generations away from a backend server whose reclaim was announced."""

import json
from collections.abc import Callable
from dataclasses import dataclass, replace
from http import HTTPStatus

import gevent
from gevent.lock import BoundedSemaphore

from hemlockswitch.connection.backends import BackendCall, BackendClient
from hemlockswitch.connection.exchange_errors import ExchangeError
from hemlockswitch.core.clock import Clock
from hemlockswitch.core.errors import RequestError
from hemlockswitch.request.generation import Generation, Move
from hemlockswitch.request.running import Chooser, Directory, MoveReady, RunningGeneration
from hemlockswitch.version.backend import BackendServer

MAX_CONCURRENT_TRANSFERS = 16
DEFAULT_NOTICE_MS = 5_000.0
RESERVE_MS = 700.0
FINISH_POLL_INTERVAL_MS = 200.0
CHOICE_POLL_INTERVAL_MS = 100.0
STEP_TIMEOUT_MS = 2_000.0
MIN_STEP_MS = 50.0
REMAINING_TIME_FACTOR = 1.25
DEFAULT_TOKEN_GAP_MS = 50.0


@dataclass(frozen=True)
class _Departure:
    """The leaving server and stream that a generation is moved from."""

    server: BackendServer
    stream_id: str
    deadline_ms: float


class Mover:
    """Moves each running generation off a leaving server, or lets it finish there.

    Explanation
    ===========

    A generation whose remaining tokens are expected within the notice period finishes in place. For any
    other one, the KV cache is exported and imported by another server, and the relay then switches
    between two tokens. The old stream continues while the cache is transferred. Near the end of the
    notice period, generations switch without a cache, which costs recomputed tokens but loses no
    answer.

    The number of concurrent cache transfers is bounded, so that many simultaneous notices do not
    overload the network. A target that is itself announced to leave during the transfer is abandoned.

    Parameters
    ==========

    running : returns the generations in progress.
    chooser : chooses the targets.
    directory : tells which servers are leaving.
    client : sends the calls.
    clock : the process's clock.
    """

    def __init__(
        self,
        running: Callable[[], list[RunningGeneration]],
        chooser: Chooser,
        directory: Directory,
        client: BackendClient,
        clock: Clock,
    ) -> None:
        self._running = running
        self._chooser = chooser
        self._directory = directory
        self._client = client
        self._clock = clock
        self._transfers = BoundedSemaphore(MAX_CONCURRENT_TRANSFERS)

    def leave(self, name: str, deadline_wall_ms: float) -> None:
        """Start to move all generations off a server, without waiting for the moves.

        Parameters
        ==========

        name : name of the server.
        deadline_wall_ms : time at which the server is stopped; 0 if it was not announced.
        """
        left_ms = deadline_wall_ms - self._clock.wall_ms()
        if not deadline_wall_ms:
            left_ms = DEFAULT_NOTICE_MS
        deadline_ms = self._clock.now_ms() + left_ms
        for running in self._running():
            generation = running.generation
            server = generation.server
            if server is not None and server.name == name:
                departure = _Departure(server, generation.stream_id, deadline_ms)
                gevent.spawn(self._move, running, departure)

    def _move(self, running: RunningGeneration, departure: _Departure) -> None:
        """Move one generation, unless it ends or its attempt is lost first."""
        while self._is_current(running, departure):
            if self._finishes_in_time(running.generation, departure):
                self._clock.sleep_ms(FINISH_POLL_INTERVAL_MS)
            elif self._prepare(running, departure):
                return
            else:
                self._clock.sleep_ms(CHOICE_POLL_INTERVAL_MS)

    @staticmethod
    def _is_current(running: RunningGeneration, departure: _Departure) -> bool:
        generation = running.generation
        same = generation.stream_id == departure.stream_id
        return same and not generation.finish_event and running.stopped is None

    def _finishes_in_time(self, generation: Generation, departure: _Departure) -> bool:
        """Return whether the remaining tokens are expected before the server is stopped."""
        if generation.first_token_ms is None:
            return False
        done = len(generation.tokens)
        now_ms = self._clock.now_ms()
        gap_ms = DEFAULT_TOKEN_GAP_MS
        if done > 1:
            gap_ms = (now_ms - generation.first_token_ms) / (done - 1)
        remaining_ms = (generation.max_tokens - done + 1) * gap_ms * REMAINING_TIME_FACTOR
        return now_ms + remaining_ms + RESERVE_MS < departure.deadline_ms

    def _prepare(self, running: RunningGeneration, departure: _Departure) -> bool:
        """Prepare another server and interrupt the relay to switch; return False to try again."""
        target = self._choose(running, departure)
        if target is None:
            return self._left_ms(departure) <= 0
        kv_handle = None
        if running.connection_has_token and self._left_ms(departure) > RESERVE_MS:
            with self._transfers:
                if self._left_ms(departure) > RESERVE_MS and self._is_current(running, departure):
                    kv_handle = self._transfer_cache(departure, target)
        if self._directory.is_leaving(target.name):
            return False
        if self._is_current(running, departure):
            running.generation.move = Move(target, kv_handle)
            running.interrupt(MoveReady())
        return True

    def _choose(self, running: RunningGeneration, departure: _Departure) -> BackendServer | None:
        needs = running.build_needs()
        try:
            return self._chooser.choose(
                replace(needs, exclude=needs.exclude | {departure.server.name})
            )
        except RequestError:
            return None

    def _transfer_cache(self, departure: _Departure, target: BackendServer) -> str | None:
        """Transfer the KV cache to `target`; return its handle there, or None if that failed."""
        timeout_ms = min(STEP_TIMEOUT_MS, max(self._left_ms(departure) - RESERVE_MS, MIN_STEP_MS))
        source = departure.server.address
        try:
            exported = self._post(
                source, "/v1/kv/export", {"stream_id": departure.stream_id}, timeout_ms
            )
            offer = {"source": source, "kv_handle": str(exported["kv_handle"])}
            imported = self._post(target.address, "/v1/kv/import", offer, timeout_ms)
            return str(imported["kv_handle"])
        except (ExchangeError, ValueError, KeyError, TypeError):
            return None

    def _post(
        self, address: str, path: str, body: dict[str, str], timeout_ms: float
    ) -> dict[str, object]:
        headers = {"Content-Type": "application/json"}
        call = BackendCall("POST", path, json.dumps(body).encode(), headers)
        answer = self._client.call(address, call, timeout_ms)
        if answer.status != HTTPStatus.OK:
            raise ValueError(f"{path} answered with status {answer.status}, expected 200")
        return json.loads(answer.body)

    def _left_ms(self, departure: _Departure) -> float:
        return departure.deadline_ms - self._clock.now_ms()
