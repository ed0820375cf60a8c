"""A partition's platform objects: reads of the head and segments, and the conditional write."""

from collections import OrderedDict
from dataclasses import dataclass
from typing import Any, Protocol

from hemlockswitch.connection.stored_objects import Conflict, StoredObject, WriteOutcome, Written
from hemlockswitch.core.errors import ErrorKind, HemlockError, PlatformError
from hemlockswitch.core.identifiers import make_identifier
from hemlockswitch.process.claims.ledger import (
    Draft,
    Head,
    Segment,
    decode_claims,
    encode_claims,
    encode_json,
)
from hemlockswitch.request.claims import Claim

KIND = "claims"
HEAD_BYTES = 65_536
MAX_HEAD_BYTES = 8 * HEAD_BYTES
MAX_SEGMENTS = 512
MAX_CACHED_SEGMENTS = 4
MAX_HEAD_READS = 4


class ObjectService(Protocol):
    """The operations of the object service that claims need."""

    def read(self, kind: str, name: str) -> StoredObject | None:
        """Return an object, or None if it does not exist."""

    def create(self, kind: str, name: str, value: Any) -> WriteOutcome:
        """Create an object; conflicts if it exists."""

    def update(self, kind: str, name: str, value: Any, version: int) -> WriteOutcome:
        """Replace an object if it is at this version."""

    def delete(self, kind: str, name: str, version: int) -> WriteOutcome:
        """Delete an object if it is at this version."""


@dataclass(frozen=True)
class Bounds:
    """Size limits of a partition.

    Parameters
    ==========

    head_bytes : when the head is at least this large, its finished claims move to a new segment.
    max_segments : at this number no segment is added; if the head is also full, the partition
        refuses new claims.
    """

    head_bytes: int = HEAD_BYTES
    max_segments: int = MAX_SEGMENTS


class PartitionObjects:
    """The cached head of one partition, and the index of its segments.

    Explanation
    ===========

    Every change is one conditional update of the head, so a stale cached copy costs only a
    conflict. Segments never change, so each is read once to index its keys; a claim in a segment
    is read when a repeated call needs it.

    Parameters
    ==========

    platform : the object service.
    name : name of the head object, and prefix of the names of segments.
    bounds : size limits.
    """

    def __init__(self, platform: ObjectService, name: str, bounds: Bounds) -> None:
        self._platform = platform
        self._name = name
        self._bounds = bounds
        self._head: Head | None = None
        self._version = 0
        self._head_bytes = 0
        self._min_version = 0
        self._index: dict[str, str] = {}
        self._indexed: set[str] = set()
        self._segment_cache: OrderedDict[str, dict[str, Claim]] = OrderedDict()
        self._unlisted_segments: list[str] = []

    def discard_head(self) -> None:
        """Discard the cached head, so that the next draft reads it again."""
        self._head = None

    def is_head_cached(self) -> bool:
        """Return whether a head is cached."""
        return self._head is not None

    def make_draft(self, oldest_wall_ms: int) -> Draft:
        """Return a draft of the partition, reading the head if it is not cached."""
        head = self._head if self._head is not None else self._read_head()
        draft = Draft(head, self._find_older, oldest_wall_ms)
        no_segment_left = len(draft.segments) >= self._bounds.max_segments
        large = self._head_bytes >= self._bounds.head_bytes
        draft.full = (large and no_segment_left) or self._head_bytes >= MAX_HEAD_BYTES
        return draft

    def write(self, draft: Draft, now_wall_ms: int) -> WriteOutcome:
        """Commit a draft, provided that the head has not changed since it was read."""
        moved = self._move_finished(draft, now_wall_ms)
        head = draft.to_head()
        value = encode_json(head.to_value())
        if self._version:
            outcome = self._platform.update(KIND, self._name, value, self._version)
        else:
            outcome = self._platform.create(KIND, self._name, value)
        if isinstance(outcome, Written):
            self._cache_head(head, outcome.version, len(value))
            self._remove(draft.dropped)
            self._remove_unlisted()
            return outcome
        self.discard_head()
        if isinstance(outcome, Conflict):
            self._min_version = max(self._min_version, outcome.version)
            self._remove(moved)
        return outcome

    def _cache_head(self, head: Head, version: int, size_bytes: int) -> None:
        self._index_segments(head)
        self._head = head
        self._version = version
        self._min_version = max(self._min_version, version)
        self._head_bytes = size_bytes

    def _read_head(self) -> Head:
        """Read a head that is not older than the newest version seen, and index its segments."""
        for _ in range(MAX_HEAD_READS):
            stored = self._platform.read(KIND, self._name)
            version = 0 if stored is None else stored.version
            if version < self._min_version:
                continue
            head = Head() if stored is None else Head.from_value(stored.value)
            self._cache_head(head, version, 0 if stored is None else len(encode_json(stored.value)))
            return head
        raise PlatformError(
            ErrorKind.PLATFORM_UNAVAILABLE, "the platform returned only stale reads of the claims"
        )

    def _index_segments(self, head: Head) -> None:
        listed = [segment.name for segment in head.segments]
        if self._indexed - set(listed):
            self._index = {key: name for key, name in self._index.items() if name in listed}
            self._indexed &= set(listed)
        for name in listed:
            if name not in self._indexed:
                self._index.update(dict.fromkeys(self._read_segment(name), name))
                self._indexed.add(name)

    def _find_older(self, digest: str) -> Claim | None:
        name = self._index.get(digest)
        return None if name is None else self._read_segment(name)[digest]

    def _read_segment(self, name: str) -> dict[str, Claim]:
        cached = self._segment_cache.get(name)
        if cached is not None:
            self._segment_cache.move_to_end(name)
            return cached
        stored = self._platform.read(KIND, name)
        if stored is None:
            # Its claims may still stand: either the head that lists it or this read is stale.
            self.discard_head()
            raise PlatformError(ErrorKind.PLATFORM_UNAVAILABLE, f"claim segment {name} not found")
        return self._cache_segment(name, decode_claims(stored.value))

    def _cache_segment(self, name: str, claims: dict[str, Claim]) -> dict[str, Claim]:
        self._segment_cache[name] = claims
        if len(self._segment_cache) > MAX_CACHED_SEGMENTS:
            self._segment_cache.popitem(last=False)
        return claims

    def _move_finished(self, draft: Draft, now_wall_ms: int) -> tuple[Segment, ...]:
        """Move the finished claims of a large head to a new segment."""
        too_small = self._head_bytes < self._bounds.head_bytes
        if too_small or len(draft.segments) >= self._bounds.max_segments:
            return ()
        finished = draft.pop_finished(now_wall_ms)
        if not finished:
            return ()
        name = make_identifier(f"{self._name}.s")
        outcome = self._platform.create(KIND, name, encode_claims(finished))
        if not isinstance(outcome, Written):
            # The head still contains all claims; the next write tries again.
            draft.claims.update(finished)
            self._unlisted_segments.append(name)
            return ()
        newest = max(claim.made_wall_ms for claim in finished.values())
        segment = Segment(name, outcome.version, newest)
        self._cache_segment(name, finished)
        draft.segments = (*draft.segments, segment)
        return (segment,)

    def _remove(self, segments: tuple[Segment, ...]) -> None:
        """Delete segments that no head lists; one that is not deleted only takes up space."""
        for segment in segments:
            self._segment_cache.pop(segment.name, None)
            try:
                self._platform.delete(KIND, segment.name, segment.version)
            except HemlockError:
                return

    def _remove_unlisted(self) -> None:
        """Delete segments whose creation was not confirmed and which no head lists."""
        for name in self._unlisted_segments:
            try:
                stored = self._platform.read(KIND, name)
            except HemlockError:
                return
            if stored is not None:
                self._remove((Segment(name, stored.version, 0),))
        self._unlisted_segments.clear()
