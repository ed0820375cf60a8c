"""Which daemon writes an operation on a claim: the home, this one, or one that can."""

from collections.abc import Callable
from dataclasses import dataclass
from functools import partial, singledispatch
from typing import Any, Protocol

from hemlockswitch.connection.messages import register_message
from hemlockswitch.core.errors import ErrorKind, PeerError
from hemlockswitch.core.identifiers import hash_stable, rank_rendezvous
from hemlockswitch.process.claim_ledger import GiveBack, Operation, Place, Record, Result, Verdict
from hemlockswitch.process.claim_writer import PartitionWriter
from hemlockswitch.request.claims import Claim, Outcome

PARTITIONS = 16
HOME_TIMEOUT_MS = 2_500
OTHERS_TIMEOUT_MS = 2_500
OTHERS_TRIED = 2


@register_message("claim_operation")
@dataclass(frozen=True)
class ClaimOperation:
    """Asks a peer to write an operation; what is None the operation does not have."""

    digest: str
    claim_id: str = ""
    claim: dict[str, Any] | None = None
    outcome: dict[str, Any] | None = None
    gives_back: bool = False

    def to_operation(self) -> Operation:
        """Return the operation that the message asks for."""
        if self.outcome is not None:
            return Record(self.digest, self.claim_id, Outcome.from_value(self.outcome))
        if self.claim is None:
            raise PeerError(ErrorKind.BAD_REQUEST, "an operation without a claim")
        claim = Claim.from_value(self.claim)
        return GiveBack(self.digest, claim) if self.gives_back else Place(self.digest, claim)


@singledispatch
def encode_operation(operation: Any) -> ClaimOperation:
    """Return the message for an operation."""
    raise TypeError(f"not an operation: {operation!r}")


@encode_operation.register
def _(operation: Place) -> ClaimOperation:
    return ClaimOperation(operation.digest, claim=operation.claim.to_value())


@encode_operation.register
def _(operation: GiveBack) -> ClaimOperation:
    return ClaimOperation(operation.digest, claim=operation.claim.to_value(), gives_back=True)


@encode_operation.register
def _(operation: Record) -> ClaimOperation:
    outcome = operation.outcome.to_value()
    return ClaimOperation(operation.digest, operation.claim_id, outcome=outcome)


@register_message("claim_result")
@dataclass(frozen=True)
class ClaimResult:
    """What became of the operation."""

    verdict: str
    claim: dict[str, Any] | None = None

    @classmethod
    def from_result(cls, result: Result) -> "ClaimResult":
        """Return the message for a result."""
        claim = None if result.claim is None else result.claim.to_value()
        return cls(result.verdict.value, claim)

    def to_result(self) -> Result:
        """Return the result that the message tells."""
        claim = None if self.claim is None else Claim.from_value(self.claim)
        return Result(Verdict(self.verdict), claim)


@dataclass(frozen=True)
class ClaimPeer:
    """Another entry daemon that takes claim operations."""

    name: str
    zone: str
    address: str


class Peers(Protocol):
    """How daemons reach one another."""

    def ask(self, address: str, message: Any, timeout_ms: float) -> Any:
        """Send a question and return its reply."""

    def handle(self, message_type: type, handler: Callable[[str, Any], Any]) -> None:
        """Serve messages of a type."""


class NoPeers:
    """A daemon that knows no others."""

    def ask(self, address: str, message: Any, timeout_ms: float) -> Any:
        """There is nobody to ask."""
        raise NotImplementedError

    def handle(self, message_type: type, handler: Callable[[str, Any], Any]) -> None:
        """Nobody will ask."""


def list_no_peers() -> list[ClaimPeer]:
    """Return no peers."""
    return []


def find_partition(digest: str) -> int:
    """Return the partition of a key's digest, the same in every daemon.

    Examples
    ========

    >>> 0 <= find_partition("00ff") < PARTITIONS
    True
    """
    return hash_stable(digest) % PARTITIONS


class ClaimRoutes:
    """Brings operations to the platform.

    Explanation
    ===========

    The home of a partition is the first live daemon of its rendezvous order. Going through it
    lets the claims of the whole system share one write and makes conflicts rare; it is no
    authority: any daemon may write, and the head's version decides. So when the home does not
    answer, this daemon writes itself; when it cannot reach the platform, it asks daemons of other
    zones. Operations are recognised by their claim's id, so an operation that went two ways
    counts once.

    Parameters
    ==========

    name, zone : of this daemon.
    writers : one for each partition.
    peers : how to reach the others.
    list_peers : returns the other live daemons.
    """

    def __init__(
        self,
        name: str,
        zone: str,
        writers: list[PartitionWriter],
        peers: Peers,
        list_peers: Callable[[], list[ClaimPeer]],
    ) -> None:
        self._name = name
        self._zone = zone
        self._writers = writers
        self._peers = peers
        self._list_peers = list_peers
        peers.handle(ClaimOperation, self._serve)

    def stop(self) -> None:
        """End the writers' tasks."""
        for writer in self._writers:
            writer.stop()

    def count_peers(self) -> int:
        """Return how many other daemons can be asked."""
        return len(self._list_peers())

    def perform(self, operation: Operation) -> Result:
        """Return what became of an operation, trying each way in turn."""
        partition = find_partition(operation.digest)
        peers = {peer.name: peer for peer in self._list_peers()}
        order = rank_rendezvous(f"claims/{partition}", [*peers, self._name])
        uncertain = False
        if order[0] != self._name:
            result = self._ask(peers[order[0]], operation, HOME_TIMEOUT_MS)
            if _is_known(result):
                return result
            uncertain = result.verdict is Verdict.UNCERTAIN
        for way in self._list_other_ways(partition, operation, order, peers):
            result = way()
            if _is_known(result):
                return result
            uncertain = uncertain or result.verdict is Verdict.UNCERTAIN
        return Result(Verdict.UNCERTAIN if uncertain else Verdict.UNAVAILABLE)

    def _list_other_ways(
        self,
        partition: int,
        operation: Operation,
        order: list[str],
        peers: dict[str, ClaimPeer],
    ) -> list[Callable[[], Result]]:
        """Return the ways past the home: this daemon, then daemons of other zones."""
        elsewhere = [peers[name] for name in order[1:] if name in peers]
        elsewhere = [peer for peer in elsewhere if peer.zone != self._zone]
        ways: list[Callable[[], Result]] = [partial(self._writers[partition].perform, operation)]
        for peer in elsewhere[:OTHERS_TRIED]:
            ways.append(partial(self._ask, peer, operation, OTHERS_TIMEOUT_MS))
        return ways

    def _ask(self, peer: ClaimPeer, operation: Operation, timeout_ms: float) -> Result:
        try:
            message = encode_operation(operation)
            return self._peers.ask(peer.address, message, timeout_ms).to_result()
        except PeerError:
            return Result(Verdict.UNCERTAIN)

    def _serve(self, sender: str, message: ClaimOperation) -> ClaimResult:
        """Write a peer's operation; it is never passed on again."""
        operation = message.to_operation()
        writer = self._writers[find_partition(operation.digest)]
        return ClaimResult.from_result(writer.perform(operation))


def _is_known(result: Result) -> bool:
    return result.verdict not in (Verdict.UNAVAILABLE, Verdict.UNCERTAIN)
