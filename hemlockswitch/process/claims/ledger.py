"""One partition of the claims: what its objects hold and what an operation changes in them.

Nothing here talks to anyone: a `Draft` is a working copy to which a batch of operations is
applied, whose result one conditional write then makes true or does not.
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
    """Claim a key, unless a claim stands."""

    digest: str
    claim: Claim
    lazy = False


@dataclass(frozen=True)
class Record:
    """Write how the claimed call ended."""

    digest: str
    claim_id: str
    outcome: Outcome
    lazy = True


@dataclass(frozen=True)
class GiveBack:
    """End a claim whose call was certainly not dispatched and never will be.

    It also keeps a `Place` of the same claim that is still on its way from taking effect.
    """

    digest: str
    claim: Claim
    lazy = True


Operation = Place | Record | GiveBack


class Verdict(StrEnum):
    """What became of an operation.

    ``unavailable``: it certainly took no effect. ``uncertain``: it may have.
    """

    PLACED = "placed"
    STANDING = "standing"
    DONE = "done"
    FULL = "full"
    UNAVAILABLE = "unavailable"
    UNCERTAIN = "uncertain"


@dataclass(frozen=True)
class Result:
    """The verdict, and the claim that stands where there is one."""

    verdict: Verdict
    claim: Claim | None = None


@dataclass(frozen=True)
class Segment:
    """An object that holds claims moved out of the partition's head; it never changes.

    Parameters
    ==========

    name, version : of the object.
    newest_wall_ms : when its newest claim was made.
    """

    name: str
    version: int
    newest_wall_ms: int


@dataclass(frozen=True)
class Head:
    """The partition's head object: the arbiter of every change, and its newest claims."""

    claims: Mapping[str, Claim] = field(default_factory=dict)
    segments: tuple[Segment, ...] = ()

    @classmethod
    def from_value(cls, value: Mapping[str, Any]) -> "Head":
        """Return the head that `to_value` wrote."""
        return cls(
            decode_claims(value["claims"]),
            tuple(Segment(*row) for row in value["segments"]),
        )

    def to_value(self) -> dict[str, Any]:
        """Return the JSON-ready form."""
        rows = [[row.name, row.version, row.newest_wall_ms] for row in self.segments]
        return {"claims": encode_claims(self.claims), "segments": rows}


def encode_claims(claims: Mapping[str, Claim]) -> dict[str, Any]:
    """Return the JSON-ready form of claims by digest."""
    return {digest: claim.to_value() for digest, claim in claims.items()}


def decode_claims(value: Mapping[str, Any]) -> dict[str, Claim]:
    """Return the claims that `encode_claims` wrote."""
    return {digest: Claim.from_value(body) for digest, body in value.items()}


def encode_json(value: Any) -> bytes:
    """Return the JSON text of a value; its length is what the object service counts."""
    return json.dumps(value, separators=(",", ":")).encode()


class Draft:
    """A working copy of a head.

    Parameters
    ==========

    head : what was last read or written.
    find_older : returns a claim of the segments by digest.
    oldest_wall_ms : claims made before this are past their retention.
    full : whether there is no room for new claims.

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
        """Return the newest claim of a key, given back or not."""
        claim = self.claims.get(digest) or self._find_older(digest)
        if claim is None or claim.made_wall_ms < self._oldest_wall_ms:
            return None
        return claim

    def put(self, digest: str, claim: Claim) -> None:
        """Write a claim into the head; it goes before one of the segments."""
        self.claims[digest] = claim
        self.changed = True

    def take_finished(self, now_wall_ms: int) -> dict[str, Claim]:
        """Remove and return the claims that no one is going to change."""
        finished = {
            digest: claim
            for digest, claim in self.claims.items()
            if claim.outcome is not None or claim.ends_wall_ms < now_wall_ms
        }
        for digest in finished:
            del self.claims[digest]
        return finished

    def to_head(self) -> Head:
        """Return the head to write."""
        return Head(self.claims, self.segments)


@singledispatch
def apply(operation: Any, draft: Draft) -> Result:
    """Apply an operation to a draft; applying it again changes nothing more.

    Explanation
    ===========

    Operations are recognised by their claim's id, so a batch whose write may or may not have
    taken effect is simply applied again to what is read back.
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
