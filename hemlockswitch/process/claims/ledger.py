"""The stored form of a claim partition, and the effect of each operation on it.

This module does no input or output: a batch of operations is applied to a `Draft`, a working
copy of the partition's head, which a single conditional write then commits or fails to commit.
"""

import json
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field, replace
from enum import StrEnum
from functools import singledispatch
from typing import Any

from hemlockswitch.core.errors import Ran
from hemlockswitch.request.claims import Claim, Outcome

GIVEN_BACK = Outcome(Ran.NO)


@dataclass(frozen=True)
class Place:
    """Claim a key, unless it has a standing claim."""

    digest: str
    claim: Claim
    lazy = False


@dataclass(frozen=True)
class Record:
    """Write the outcome of the claimed call."""

    digest: str
    claim_id: str
    outcome: Outcome
    lazy = True


@dataclass(frozen=True)
class GiveBack:
    """End a claim whose call was certainly not dispatched and never will be.

    It also prevents a `Place` of the same claim that is still in transit from taking effect.
    """

    digest: str
    claim: Claim
    lazy = True


Operation = Place | Record | GiveBack


class Verdict(StrEnum):
    """The result of an operation.

    ``unavailable``: it certainly had no effect. ``uncertain``: it may have had an effect.
    """

    PLACED = "placed"
    STANDING = "standing"
    DONE = "done"
    FULL = "full"
    UNAVAILABLE = "unavailable"
    UNCERTAIN = "uncertain"


@dataclass(frozen=True)
class Result:
    """The verdict, and the standing claim if there is one."""

    verdict: Verdict
    claim: Claim | None = None


@dataclass(frozen=True)
class Segment:
    """An immutable object of claims that were moved out of the partition's head.

    Parameters
    ==========

    name, version : of the object.
    newest_wall_ms : wall-clock time at which its newest claim was made.
    """

    name: str
    version: int
    newest_wall_ms: int


@dataclass(frozen=True)
class Head:
    """The partition's head object: its version decides every change; it has the newest claims."""

    claims: Mapping[str, Claim] = field(default_factory=dict)
    segments: tuple[Segment, ...] = ()

    @classmethod
    def from_value(cls, value: Mapping[str, Any]) -> "Head":
        """Decode the output of `to_value`."""
        return cls(
            decode_claims(value["claims"]),
            tuple(Segment(*row) for row in value["segments"]),
        )

    def to_value(self) -> dict[str, Any]:
        """Return the JSON-ready form."""
        rows = [[row.name, row.version, row.newest_wall_ms] for row in self.segments]
        return {"claims": encode_claims(self.claims), "segments": rows}


def encode_claims(claims: Mapping[str, Claim]) -> dict[str, Any]:
    """Return the JSON-ready form of claims keyed by digest."""
    return {digest: claim.to_value() for digest, claim in claims.items()}


def decode_claims(value: Mapping[str, Any]) -> dict[str, Claim]:
    """Decode the output of `encode_claims`."""
    return {digest: Claim.from_value(body) for digest, body in value.items()}


def encode_json(value: Any) -> bytes:
    """Return the JSON text of a value; the object service limits its length."""
    return json.dumps(value, separators=(",", ":")).encode()


class Draft:
    """A working copy of a head.

    Parameters
    ==========

    head : the head that was last read or written.
    find_older : returns the claim of a digest from the segments, or None.
    oldest_wall_ms : claims made before this wall-clock time are past their retention.
    full : whether the partition has no room for new claims.

    Examples
    ========

    >>> draft = Draft(Head(), lambda digest: None, oldest_wall_ms=0)
    >>> first, second = Claim.make("f", "a", 1, 9), Claim.make("f", "b", 1, 9)
    >>> apply(Place("k", first), draft).verdict, apply(Place("k", second), draft).verdict
    (<Verdict.PLACED: 'placed'>, <Verdict.STANDING: 'standing'>)
    >>> apply(Place("k", first), draft).verdict
    <Verdict.PLACED: 'placed'>
    """

    def __init__(
        self,
        head: Head,
        find_older: Callable[[str], Claim | None],
        oldest_wall_ms: int,
        full: bool = False,
    ) -> None:
        self.claims = {
            digest: claim
            for digest, claim in head.claims.items()
            if claim.made_wall_ms >= oldest_wall_ms
        }
        self.segments = tuple(row for row in head.segments if row.newest_wall_ms >= oldest_wall_ms)
        self.dropped = tuple(row for row in head.segments if row.newest_wall_ms < oldest_wall_ms)
        self.changed = False
        self.full = full
        self._find_older = find_older
        self._oldest_wall_ms = oldest_wall_ms

    def find(self, digest: str) -> Claim | None:
        """Return the newest claim of a key, including one that was given back."""
        claim = self.claims.get(digest) or self._find_older(digest)
        if claim is None or claim.made_wall_ms < self._oldest_wall_ms:
            return None
        return claim

    def put(self, digest: str, claim: Claim) -> None:
        """Write a claim into the head, where it takes precedence over the segments."""
        self.claims[digest] = claim
        self.changed = True

    def pop_finished(self, now_wall_ms: int) -> dict[str, Claim]:
        """Remove and return the claims that have an outcome or whose dispatch term is over."""
        finished = {
            digest: claim
            for digest, claim in self.claims.items()
            if claim.outcome is not None or claim.ends_wall_ms < now_wall_ms
        }
        for digest in finished:
            del self.claims[digest]
        return finished

    def to_head(self) -> Head:
        """Return the head with the draft's changes."""
        return Head(self.claims, self.segments)


@singledispatch
def apply(operation: Any, draft: Draft) -> Result:
    """Apply an operation to a draft. The operation is idempotent.

    Explanation
    ===========

    Operations are identified by their claim's id, so a batch whose write may or may not have
    taken effect can be applied again to the head that is read back.
    """
    raise TypeError(f"not an operation: {operation!r}")


@apply.register
def _(operation: Place, draft: Draft) -> Result:
    standing = draft.find(operation.digest)
    is_own = standing is not None and standing.claim_id == operation.claim.claim_id
    if standing is None or (standing.outcome == GIVEN_BACK and not is_own):
        return _place_new(operation, draft)
    if is_own and standing.outcome == GIVEN_BACK:
        return Result(Verdict.UNAVAILABLE)
    if is_own and standing.outcome is None:
        return Result(Verdict.PLACED, standing)
    return Result(Verdict.STANDING, standing)


def _place_new(operation: Place, draft: Draft) -> Result:
    if draft.full:
        return Result(Verdict.FULL)
    draft.put(operation.digest, operation.claim)
    return Result(Verdict.PLACED, operation.claim)


@apply.register
def _(operation: Record, draft: Draft) -> Result:
    standing = draft.find(operation.digest)
    if standing is not None and standing.claim_id == operation.claim_id and not standing.outcome:
        draft.put(operation.digest, replace(standing, outcome=operation.outcome))
    return Result(Verdict.DONE)


@apply.register
def _(operation: GiveBack, draft: Draft) -> Result:
    standing = draft.find(operation.digest)
    is_own = standing is not None and standing.claim_id == operation.claim.claim_id
    if standing is None or (is_own and standing.outcome is None):
        draft.put(operation.digest, replace(operation.claim, outcome=GIVEN_BACK))
    return Result(Verdict.DONE)
