"""Continuous batching: streams wait for a slot, prefill, and then produce one token per step."""

import heapq
from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import Enum

import gevent
import gevent.event

from hemlockswitch.core.clock import MS_PER_SECOND, Clock
from hemlockswitch.standin.answers import make_token, seed_answer
from hemlockswitch.standin.cache import PrefixCache

NEVER_MS = float("inf")


class Phase(Enum):
    """Processing phase of a stream."""

    WAITING = "waiting"
    PREFILL = "prefill"
    RUNNING = "running"
    FINISHED = "finished"
    CANCELLED = "cancelled"


ENDED = (Phase.FINISHED, Phase.CANCELLED)


@dataclass(eq=False)
class Stream:
    """A request that an engine processes.

    Parameters
    ==========

    stream_id : identifier of the stream, usually chosen by the caller.
    prompt_tokens : number of words in the prompt.
    start : position of the first token that this engine produces.
    max_tokens : length of the complete answer, including the tokens before `start`.
    prefixes : hashes of the prompt's block prefixes.
    carried_tokens : leading tokens (prompt and answer) covered by an imported KV cache.
    linger_ms : how long the stream continues without a reader.
    deadline_ms : monotonic time at which the stream is cancelled.
    """

    stream_id: str
    model: str
    prompt: str
    prompt_tokens: int
    start: int
    max_tokens: int
    prefixes: tuple[int, ...]
    priority: int = 1
    carried_tokens: int = 0
    linger_ms: float = 0
    deadline_ms: float = NEVER_MS
    phase: Phase = Phase.WAITING
    cached_tokens: int = 0
    prefill_left: float = 0
    recomputed_tokens: int = 0
    produced: int = 0
    readers: int = 0
    expires_at_ms: float = NEVER_MS
    answered_with: "Stream | None" = None
    changed: gevent.event.Event = field(default_factory=gevent.event.Event)
    seed: int = 0

    def __post_init__(self) -> None:
        self.seed = seed_answer(self.model, self.prompt)
        self.produced = self.start

    @property
    def ended(self) -> bool:
        """Whether the stream has finished or was cancelled."""
        return self.phase in ENDED

    @property
    def computed_tokens(self) -> int:
        """Number of tokens of prompt and answer in the engine's KV cache."""
        if self.phase is Phase.WAITING:
            return 0
        if self.phase is Phase.PREFILL:
            return int(self.prompt_tokens + self.start - self.prefill_left)
        return self.prompt_tokens + self.produced

    def token(self, index: int) -> str:
        """Return token `index` of the answer."""
        return make_token(self.seed, index)

    def list_tokens(self) -> Iterator[str]:
        """Yield the tokens that this engine has produced so far."""
        return (self.token(index) for index in range(self.start, self.produced))


@dataclass
class BatchSettings:
    """Speed and capacity of an engine."""

    slots: int = 16
    token_ms: float = 20
    prefill_tokens_per_s: float = 8_000
    queue_length: int = 256


class Batch:
    """The streams of one engine and the loop that advances them.

    Explanation
    ===========

    All running streams produce a token in the same step, as in a real engine. The prefill budget
    of a step is spent on the streams in slots by priority, then in order of admission.
    """

    def __init__(self, settings: BatchSettings, cache: PrefixCache, clock: Clock) -> None:
        self._settings = settings
        self._cache = cache
        self._clock = clock
        self._waiting: list[tuple[int, int, Stream]] = []
        self._arrivals = 0
        self._in_slots: list[Stream] = []
        self.streams: dict[str, Stream] = {}
        self.slow_factor = 1.0
        self.frozen_until_ms = 0.0
        self.tokens_produced = 0
        self.recomputed_tokens = 0
        self.prefilled_tokens = 0
        self.cancelled: list[str] = []

    @property
    def running(self) -> int:
        """Number of streams in slots."""
        return len(self._in_slots)

    @property
    def waiting(self) -> int:
        """Number of queued streams, including cancelled ones not yet dequeued."""
        return len(self._waiting)

    @property
    def is_full(self) -> bool:
        """Whether the queue is full."""
        return len(self._waiting) >= self._settings.queue_length

    @property
    def prefill_backlog(self) -> int:
        """Number of tokens that the streams in slots have still to prefill."""
        return int(sum(stream.prefill_left for stream in self._in_slots))

    def add(self, stream: Stream) -> None:
        """Queue a new stream."""
        self.streams[stream.stream_id] = stream
        self._arrivals += 1
        heapq.heappush(self._waiting, (stream.priority, self._arrivals, stream))

    def cancel(self, stream: Stream) -> None:
        """Cancel a stream and free its slot; does nothing if the stream has ended."""
        if stream.ended:
            return
        self._end(stream, Phase.CANCELLED)
        self.cancelled.append(stream.stream_id)

    def attach(self, stream: Stream) -> None:
        """Add a reader to the stream."""
        stream.readers += 1
        stream.expires_at_ms = NEVER_MS

    def detach(self, stream: Stream) -> None:
        """Remove a reader; without readers the stream is evicted after `linger_ms`."""
        stream.readers -= 1
        if stream.readers > 0:
            return
        stream.expires_at_ms = self._clock.now_ms() + stream.linger_ms
        if stream.linger_ms <= 0:
            self._evict(stream)

    def run(self) -> None:
        """Run steps at the configured pace, indefinitely."""
        next_ms = self._clock.now_ms()
        while True:
            next_ms += self._settings.token_ms * self.slow_factor
            self._clock.sleep_ms(next_ms - self._clock.now_ms())
            now_ms = self._clock.now_ms()
            if now_ms > next_ms + self._settings.token_ms:
                next_ms = now_ms
            if now_ms >= self.frozen_until_ms:
                self.step(now_ms)

    def step(self, now_ms: float) -> None:
        """Expire and admit streams, prefill, and produce a token for every running stream."""
        self._expire(now_ms)
        self._admit()
        self._prefill()
        for stream in [item for item in self._in_slots if item.phase is Phase.RUNNING]:
            self._produce(stream)

    def _expire(self, now_ms: float) -> None:
        for stream in list(self.streams.values()):
            if now_ms >= stream.deadline_ms:
                self.cancel(stream)
            if now_ms >= stream.expires_at_ms:
                self._evict(stream)

    def _evict(self, stream: Stream) -> None:
        self.cancel(stream)
        self.streams.pop(stream.stream_id, None)

    def _admit(self) -> None:
        while self._waiting and len(self._in_slots) < self._settings.slots:
            _, _, stream = heapq.heappop(self._waiting)
            if stream.ended:
                continue
            self._begin_prefill(stream)
            self._in_slots.append(stream)

    def _begin_prefill(self, stream: Stream) -> None:
        stream.phase = Phase.PREFILL
        stream.cached_tokens = self._cache.count_cached_tokens(stream.prefixes)
        available_tokens = max(stream.cached_tokens, stream.carried_tokens)
        stream.prefill_left = max(stream.prompt_tokens + stream.start - available_tokens, 0)
        self.prefilled_tokens += int(stream.prefill_left)
        if stream.start > 0:
            stream.recomputed_tokens = int(stream.prefill_left)
            self.recomputed_tokens += stream.recomputed_tokens

    def _prefill(self) -> None:
        budget = self._settings.prefill_tokens_per_s * self._settings.token_ms / MS_PER_SECOND
        for stream in sorted(self._in_slots, key=lambda item: item.priority):
            if stream.phase is not Phase.PREFILL:
                continue
            done = min(budget, stream.prefill_left)
            stream.prefill_left -= done
            budget -= done
            if stream.prefill_left <= 0:
                self._cache.store(stream.prefixes)
                stream.phase = Phase.RUNNING

    def _produce(self, stream: Stream) -> None:
        if stream.produced < stream.max_tokens:
            stream.produced += 1
            self.tokens_produced += 1
        if stream.produced >= stream.max_tokens:
            self._end(stream, Phase.FINISHED)
        else:
            stream.changed.set()

    def _end(self, stream: Stream, phase: Phase) -> None:
        stream.phase = phase
        if stream in self._in_slots:
            self._in_slots.remove(stream)
        stream.changed.set()


def wait_for_change(stream: Stream, sent: int) -> None:
    """Block until the stream has produced more than `sent` tokens or has ended."""
    while stream.produced <= sent and not stream.ended:
        stream.changed.clear()
        stream.changed.wait()


def spawn_batch(batch: Batch) -> gevent.Greenlet:
    """Run the steps of `batch` in a new greenlet."""
    return gevent.spawn(batch.run)
