"""A partition's objects in the platform: reading a fresh head, segments, the conditional write."""

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
HEAD_BYTES_AT_MOST = 8 * HEAD_BYTES
MAX_SEGMENTS = 512
SEGMENTS_IN_MEMORY = 4
FRESH_READS = 4


class ObjectService(Protocol):
    """What the claims need of the platform."""

    def read(self, kind: str, name: str) -> StoredObject | None:
        """Return an object, or None."""

    def create(self, kind: str, name: str, value: Any) -> WriteOutcome:
        """Write an object that must not exist."""

    def update(self, kind: str, name: str, value: Any, version: int) -> WriteOutcome:
        """Write an object at a version."""

    def delete(self, kind: str, name: str, version: int) -> WriteOutcome:
        """Delete an object at a version."""


@dataclass(frozen=True)
class Bounds:
    """Sizes of a partition.

    Parameters
    ==========

    head_bytes : a larger head moves its finished claims to a new segment.
    max_segments : more are not made; a partition whose head is also full refuses new claims.
    """

    head_bytes: int = HEAD_BYTES
    max_segments: int = MAX_SEGMENTS


class PartitionObjects:
    """The last known head of one partition, and the index of its segments.

    Explanation
    ===========

    The head is the only arbiter: every change is one conditional update of it, so a stale copy
    here costs a conflict and nothing else. Segments never change, so they are read once for the
    index of their keys; a claim in one is read when a repeat asks for it.

    Parameters
    ==========

    platform : the object service.
    name : the head object's name; segments are named after it.
    bounds : sizes.
    """

    def __init__(self, platform: ObjectService, name: str, bounds: Bounds) -> None:
        self._platform = platform
        self._name = name
        self._bounds = bounds
        self._head: Head | None = None
        self._version = 0
        self._head_bytes = 0
        self._least_version = 0
        self._index: dict[str, str] = {}
        self._indexed: set[str] = set()
        self._recent: OrderedDict[str, dict[str, Claim]] = OrderedDict()
        self._strays: list[str] = []

    def forget(self) -> None:
        """Read the head again before the next draft."""
        self._head = None

    def is_known(self) -> bool:
        """Return whether a head is in memory."""
        return self._head is not None

    def make_draft(self, oldest_wall_ms: int) -> Draft:
        """Return a draft of the partition, read from the platform where it is not known."""
        head = self._head if self._head is not None else self._read_head()
        draft = Draft(head, self._find_older, oldest_wall_ms)
        no_segment_left = len(draft.segments) >= self._bounds.max_segments
        large = self._head_bytes >= self._bounds.head_bytes
        draft.full = (large and no_segment_left) or self._head_bytes >= HEAD_BYTES_AT_MOST
        return draft

    def write(self, draft: Draft, now_wall_ms: int) -> WriteOutcome:
        """Make a draft true if nobody changed the head since it was read."""
        moved = self._move_finished(draft, now_wall_ms)
        head = draft.to_head()
        value = encode_json(head.to_value())
        if self._version:
            outcome = self._platform.update(KIND, self._name, value, self._version)
        else:
            outcome = self._platform.create(KIND, self._name, value)
        if isinstance(outcome, Written):
            self._keep(head, outcome.version, len(value))
            self._remove(draft.dropped)
            self._remove_strays()
            return outcome
        self.forget()
        if isinstance(outcome, Conflict):
            self._least_version = max(self._least_version, outcome.version)
            self._remove(moved)
        return outcome

    def _keep(self, head: Head, version: int, size_bytes: int) -> None:
        self._index_segments(head)
        self._head = head
        self._version = version
        self._least_version = max(self._least_version, version)
        self._head_bytes = size_bytes

    def _read_head(self) -> Head:
        """Read a head that is not older than what is known, with the index of its segments."""
        for _ in range(FRESH_READS):
            stored = self._platform.read(KIND, self._name)
            version = 0 if stored is None else stored.version
            if version < self._least_version:
                continue
            head = Head() if stored is None else Head.from_value(stored.value)
            self._keep(head, version, 0 if stored is None else len(encode_json(stored.value)))
            return head
        raise PlatformError(ErrorKind.PLATFORM_UNAVAILABLE, "the platform answers with old reads")

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
        known = self._recent.get(name)
        if known is not None:
            self._recent.move_to_end(name)
            return known
        stored = self._platform.read(KIND, name)
        if stored is None:
            # Its claims may stand: a head that still lists it is old, or this answer is.
            self.forget()
            raise PlatformError(ErrorKind.PLATFORM_UNAVAILABLE, f"segment {name} is not readable")
        return self._remember(name, decode_claims(stored.value))

    def _remember(self, name: str, claims: dict[str, Claim]) -> dict[str, Claim]:
        self._recent[name] = claims
        if len(self._recent) > SEGMENTS_IN_MEMORY:
            self._recent.popitem(last=False)
        return claims

    def _move_finished(self, draft: Draft, now_wall_ms: int) -> tuple[Segment, ...]:
        """Move the finished claims of a large head to a new segment."""
        too_small = self._head_bytes < self._bounds.head_bytes
        if too_small or len(draft.segments) >= self._bounds.max_segments:
            return ()
        finished = draft.take_finished(now_wall_ms)
        if not finished:
            return ()
        name = make_identifier(f"{self._name}.s")
        outcome = self._platform.create(KIND, name, encode_claims(finished))
        if not isinstance(outcome, Written):
            # The head alone still holds all claims; the next write tries again.
            draft.claims.update(finished)
            self._strays.append(name)
            return ()
        newest = max(claim.made_wall_ms for claim in finished.values())
        segment = Segment(name, outcome.version, newest)
        self._remember(name, finished)
        draft.segments = (*draft.segments, segment)
        return (segment,)

    def _remove(self, segments: tuple[Segment, ...]) -> None:
        """Delete segments that no head lists; one that stays costs room and nothing else."""
        for segment in segments:
            self._recent.pop(segment.name, None)
            try:
                self._platform.delete(KIND, segment.name, segment.version)
            except HemlockError:
                return

    def _remove_strays(self) -> None:
        """Delete segments whose creation was not answered and which no head lists."""
        for name in self._strays:
            try:
                stored = self._platform.read(KIND, name)
            except HemlockError:
                return
            if stored is not None:
                self._remove((Segment(name, stored.version, 0),))
        self._strays.clear()
