"""The stand-in engine's prefix cache, whose events arrive late and with gaps."""

from collections import OrderedDict, deque
from collections.abc import Sequence
from dataclasses import dataclass

from hemlockswitch.core.clock import Clock
from hemlockswitch.standin.answers import BLOCK_WORDS

MAX_RETAINED_EVENTS = 4_096


@dataclass(frozen=True)
class CacheEvent:
    """A change of the cache, and the time from which it is published."""

    number: int
    kind: str
    prefix: str
    visible_at_ms: float


class PrefixCache:
    """Prompt blocks in limited memory with least-recently-used eviction.

    Parameters
    ==========

    capacity_tokens : size of the memory, in tokens.
    event_delay_ms : delay before an event is published.
    gap_every : every nth event is never published; 0 disables gaps.
    clock : source of time.

    Examples
    ========

    >>> from hemlockswitch.core.clock import ManualClock
    >>> cache = PrefixCache(32, 0, 0, ManualClock())
    >>> cache.store([1, 2, 3])
    >>> cache.count_cached_tokens([1, 2, 3])
    0
    >>> cache.count_cached_tokens([2, 3])
    32
    """

    def __init__(
        self, capacity_tokens: int, event_delay_ms: float, gap_every: int, clock: Clock
    ) -> None:
        self._capacity_blocks = capacity_tokens // BLOCK_WORDS
        self._event_delay_ms = event_delay_ms
        self._gap_every = gap_every
        self._clock = clock
        self._blocks: OrderedDict[int, None] = OrderedDict()
        self._events: deque[CacheEvent] = deque(maxlen=MAX_RETAINED_EVENTS)
        self._number = 0

    @property
    def used_tokens(self) -> int:
        """Number of tokens in the cache."""
        return len(self._blocks) * BLOCK_WORDS

    def count_cached_tokens(self, prefixes: Sequence[int]) -> int:
        """Return how many leading tokens are cached, and mark their blocks as recently used."""
        blocks = 0
        for prefix in prefixes:
            if prefix not in self._blocks:
                break
            self._blocks.move_to_end(prefix)
            blocks += 1
        return blocks * BLOCK_WORDS

    def store(self, prefixes: Sequence[int]) -> None:
        """Store the blocks of a prompt, evicting the least recently used over capacity."""
        for prefix in prefixes:
            if prefix not in self._blocks:
                self._record_event("stored", prefix)
            self._blocks[prefix] = None
            self._blocks.move_to_end(prefix)
        while len(self._blocks) > self._capacity_blocks:
            oldest, _ = self._blocks.popitem(last=False)
            self._record_event("evicted", oldest)

    def list_events(self, since: int) -> dict[str, object]:
        """Return the published events after number `since`, in the form of the engine's API."""
        now_ms = self._clock.now_ms()
        published = [event for event in self._events if event.visible_at_ms <= now_ms]
        events = [
            {"number": event.number, "kind": event.kind, "prefix": event.prefix}
            for event in published
            if event.number > since and not self._is_gap(event.number)
        ]
        return {"events": events, "number": published[-1].number if published else 0}

    def _is_gap(self, number: int) -> bool:
        return self._gap_every > 0 and number % self._gap_every == 0

    def _record_event(self, kind: str, prefix: int) -> None:
        self._number += 1
        visible_at_ms = self._clock.now_ms() + self._event_delay_ms
        self._events.append(CacheEvent(self._number, kind, f"{prefix:016x}", visible_at_ms))
