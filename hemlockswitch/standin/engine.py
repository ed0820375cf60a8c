"""The stand-in model engine: its settings, its state, and the counts that tests check."""

from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

import gevent
from pydantic import BaseModel, ConfigDict, Field

from hemlockswitch.core.clock import Clock
from hemlockswitch.core.identifiers import make_identifier
from hemlockswitch.standin.answers import (
    DEFAULT_MAX_TOKENS,
    count_words,
    hash_prefixes,
    join_prompt,
)
from hemlockswitch.standin.batch import NEVER_MS, Batch, BatchSettings, Stream
from hemlockswitch.standin.cache import PrefixCache
from hemlockswitch.standin.faults import ActiveFaults, Faults
from hemlockswitch.standin.kv import KvStore


class EngineSettings(BaseModel):
    """Settings file of a stand-in engine."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    name: str = "engine"
    listen: str = "127.0.0.1:0"
    models: tuple[str, ...] = ("assistant-llm",)
    role: str = "mixed"
    slots: int = 16
    token_ms: float = 20
    prefill_tokens_per_s: float = 8_000
    queue_length: int = 256
    cache_tokens: int = 65_536
    cache_event_delay_ms: float = 500
    cache_event_gap_every: int = 0
    load_lag_ms: float = 500
    checks_fencing: bool = True
    model_load_ms: float = 0
    kv_bytes_per_token: int = 1_024
    kv_bytes_per_s: float = 50_000_000


class ChatRequest(BaseModel):
    """Body of a model request; unknown fields are ignored."""

    model: str
    messages: list[dict[str, Any]] = Field(min_length=1)
    max_tokens: int = Field(default=DEFAULT_MAX_TOKENS, ge=0)
    stream: bool = False
    continue_tokens: list[str] = []
    kv_handle: str | None = None


class KvExport(BaseModel):
    """Body of a KV cache export: the stream whose KV cache to offer."""

    stream_id: str


class KvImport(BaseModel):
    """Body of a KV cache import: the KV cache to pull, and the engine that offers it."""

    source: str
    kv_handle: str


class Order(BaseModel):
    """Body of an order: the wanted state of an engine, with a fencing number."""

    fencing: int
    wanted: dict[str, Any]


@dataclass
class EngineCounts:
    """Counts that tests check, reported by ``GET /standin/stats``."""

    runs: Counter = field(default_factory=Counter)
    trace_parents: dict[str, str] = field(default_factory=dict)
    resumed: list[str] = field(default_factory=list)
    refused: int = 0
    prompt_tokens: int = 0
    foreign_continuations: int = 0
    begun_after_leaving_ms: list[float] = field(default_factory=list)
    orders: list[dict[str, Any]] = field(default_factory=list)
    stale_orders_applied: int = 0
    stale_orders_refused: int = 0


class Engine:
    """State of a stand-in engine, independent of HTTP."""

    def __init__(self, settings: EngineSettings, clock: Clock) -> None:
        self.settings = settings
        self.clock = clock
        self.cache = PrefixCache(
            settings.cache_tokens,
            settings.cache_event_delay_ms,
            settings.cache_event_gap_every,
            clock,
        )
        speed = BatchSettings(
            settings.slots, settings.token_ms, settings.prefill_tokens_per_s, settings.queue_length
        )
        self.batch = Batch(speed, self.cache, clock)
        self.kv = KvStore(settings.kv_bytes_per_token, settings.kv_bytes_per_s, clock)
        self.faults = ActiveFaults()
        self.counts = EngineCounts()
        self.models = list(settings.models)
        self.role = settings.role
        self.draining = False
        self.highest_fencing = 0
        self.leaving_since_ms: float | None = None
        self._awaiting_swap: Stream | None = None
        self._recorded_load: dict[str, Any] = {}
        self._recorded_at_ms = clock.now_ms()
        self.record_load()

    def begin(self, request: ChatRequest, headers: Mapping[str, str]) -> Stream:
        """Queue a validated request and return its stream."""
        prompt = join_prompt(request.messages)
        now_ms = self.clock.now_ms()
        deadline = headers.get("X-DEADLINE-MS")
        stream = Stream(
            stream_id=headers.get("X-REQUEST-ID") or make_identifier("stream"),
            model=request.model,
            prompt=prompt,
            prompt_tokens=count_words(prompt),
            start=len(request.continue_tokens),
            max_tokens=request.max_tokens,
            prefixes=tuple(hash_prefixes(prompt)),
            priority=int(headers.get("X-PRIORITY") or 1),
            linger_ms=float(headers.get("X-LINGER-MS") or 0),
            deadline_ms=now_ms + float(deadline) if deadline else NEVER_MS,
        )
        stream.carried_tokens = self.kv.count_carried_tokens(request.kv_handle, stream.seed)
        self._count(stream, request, now_ms)
        if "TRACEPARENT" in headers:
            self.counts.trace_parents[stream.stream_id] = headers["TRACEPARENT"]
        self.batch.add(stream)
        return stream

    def _count(self, stream: Stream, request: ChatRequest, now_ms: float) -> None:
        self.counts.runs[stream.stream_id] += 1
        self.counts.prompt_tokens += stream.prompt_tokens
        if self.leaving_since_ms is not None:
            self.counts.begun_after_leaving_ms.append(now_ms - self.leaving_since_ms)
        own = [stream.token(index) for index in range(stream.start)]
        if request.continue_tokens != own:
            self.counts.foreign_continuations += 1

    def swap_answers(self, stream: Stream) -> None:
        """Swap the answers of `stream` and the stream that waits for a partner.

        Without such a stream, or if it has ended, `stream` itself waits for a partner.
        """
        other = self._awaiting_swap
        if other is None or other.ended:
            self._awaiting_swap = stream
            return
        self._awaiting_swap = None
        stream.answered_with, other.answered_with = other, stream

    def set_faults(self, faults: Faults) -> None:
        """Replace the active faults."""
        self.faults.set(faults)
        self.batch.slow_factor = faults.slow_factor
        self.batch.frozen_until_ms = self.clock.now_ms() + faults.freeze_ms

    def apply_order(self, order: Order) -> bool:
        """Apply an order; return False if its fencing number is stale and is checked."""
        stale = order.fencing < self.highest_fencing
        if stale and self.settings.checks_fencing:
            self.counts.stale_orders_refused += 1
            return False
        self.counts.stale_orders_applied += stale
        self.highest_fencing = max(order.fencing, self.highest_fencing)
        self.counts.orders.append(order.model_dump())
        gevent.spawn(self._apply_wanted_state, order.wanted)
        return True

    def _apply_wanted_state(self, wanted: dict[str, Any]) -> None:
        self.role = wanted.get("role", self.role)
        self.draining = wanted.get("state", "serving") == "drained"
        models = list(wanted.get("models", self.models))
        self.models = [model for model in self.models if model in models]
        for model in models:
            if model not in self.models:
                self.clock.sleep_ms(self.settings.model_load_ms)
                self.models.append(model)

    def record_load(self) -> None:
        """Record the current load, which `report_load` returns until the next call."""
        self._recorded_at_ms = self.clock.now_ms()
        self._recorded_load = {
            "running": self.batch.running,
            "waiting": self.batch.waiting,
            "slots": self.settings.slots,
            "kv_used": self.cache.used_tokens,
            "kv_total": self.settings.cache_tokens,
            "prefill_tokens_per_s": self.settings.prefill_tokens_per_s,
            "prefill_backlog": self.batch.prefill_backlog,
            "models": list(self.models),
            "role": self.role,
            "draining": self.draining,
        }

    def report_load(self) -> dict[str, Any]:
        """Return the last recorded load and its age."""
        return {**self._recorded_load, "age_ms": self.clock.now_ms() - self._recorded_at_ms}

    def run_reports(self) -> None:
        """Record the load every `load_lag_ms`, indefinitely."""
        while True:
            self.clock.sleep_ms(self.settings.load_lag_ms)
            self.record_load()

    def describe_stats(self) -> dict[str, Any]:
        """Return the counts and the state that tests check."""
        counts = dict(vars(self.counts))
        return {
            **counts,
            "name": self.settings.name,
            "recomputed_tokens": self.batch.recomputed_tokens,
            "prefilled_tokens": self.batch.prefilled_tokens,
            "tokens_produced": self.batch.tokens_produced,
            "cancelled": self.batch.cancelled,
            "kv_exported": self.kv.exported,
            "kv_imported": self.kv.imported,
            "running": self.batch.running,
            "waiting": self.batch.waiting,
            "models": self.models,
            "role": self.role,
            "draining": self.draining,
            "highest_fencing": self.highest_fencing,
        }
