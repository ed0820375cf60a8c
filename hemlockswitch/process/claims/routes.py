"""Chooses the daemon that writes a claim operation: the partition's owner, this one or a peer."""

from collections.abc import Callable
from dataclasses import dataclass
from functools import partial, singledispatch
from typing import Any, Protocol

from hemlockswitch.connection.messages import register_message
from hemlockswitch.core.clock import Clock
from hemlockswitch.core.errors import ErrorKind, PeerError
from hemlockswitch.core.identifiers import hash_stable, rank_rendezvous
from hemlockswitch.process.claims.ledger import GiveBack, Operation, Place, Record, Result, Verdict
from hemlockswitch.process.claims.writer import PartitionWriter
from hemlockswitch.request.claims import Claim, Outcome

PARTITIONS = 16
OPERATION_TIMEOUT_MS = 8_000
REQUEST_TIMEOUT_MS = 2_000
PEER_RETRY_DELAY_MS = 3_000
PEER_POLL_INTERVAL_MS = 500
MAX_PEERS_TRIED = 2
MAX_RANKED = 32


@register_message("claim_operation")
@dataclass(frozen=True)
class ClaimOperation:
    """Requests that a peer write an operation; fields that do not apply to it are None."""

    digest: str
    claim_id: str = ""
    claim: dict[str, Any] | None = None
    outcome: dict[str, Any] | None = None
    gives_back: bool = False

    def to_operation(self) -> Operation:
        """Return the operation that the message encodes."""
        if self.outcome is not None:
            return Record(self.digest, self.claim_id, Outcome.from_value(self.outcome))
        if self.claim is None:
            raise PeerError(
                ErrorKind.BAD_REQUEST, "claim operation has neither a claim nor an outcome"
            )
        claim = Claim.from_value(self.claim)
        return GiveBack(self.digest, claim) if self.gives_back else Place(self.digest, claim)


@singledispatch
def encode_operation(operation: Any) -> ClaimOperation:
    """Return the message that encodes an operation."""
    raise TypeError(f"not a claim operation: {operation!r}")


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
    """The result of a `ClaimOperation`."""

    verdict: str
    claim: dict[str, Any] | None = None

    @classmethod
    def from_result(cls, result: Result) -> "ClaimResult":
        """Return the message that encodes a result."""
        claim = None if result.claim is None else result.claim.to_value()
        return cls(result.verdict.value, claim)

    def to_result(self) -> Result:
        """Return the result that the message encodes."""
        claim = None if self.claim is None else Claim.from_value(self.claim)
        return Result(Verdict(self.verdict), claim)


Route = Callable[[float], Result]


@dataclass(frozen=True)
class ClaimPeer:
    """Another entry daemon that accepts claim operations."""

    name: str
    zone: str
    address: str


class Peers(Protocol):
    """The requests between daemons that claims need."""

    def request(self, address: str, message: Any, timeout_ms: float) -> Any:
        """Send a request and return its reply."""

    def handle(self, message_type: type, handler: Callable[[str, Any], Any]) -> None:
        """Register the handler of a message type."""


class NoPeers:
    """The `Peers` of a daemon without peers."""

    def request(self, address: str, message: Any, timeout_ms: float) -> Any:
        """Raise `NotImplementedError`: there is no peer to send to."""
        raise NotImplementedError

    def handle(self, message_type: type, handler: Callable[[str, Any], Any]) -> None:
        """Do nothing: no request arrives."""


def list_no_peers() -> list[ClaimPeer]:
    """Return no peers."""
    return []


def find_partition(digest: str) -> int:
    """Return the partition of a key's digest; all daemons compute the same one.

    Examples
    ========

    >>> 0 <= find_partition("00ff") < PARTITIONS
    True
    """
    return hash_stable(digest) % PARTITIONS


class ClaimRoutes:
    """Routes operations to the platform.

    Explanation
    ===========

    The owner of a partition is the first live daemon of its rendezvous order. Sending operations
    through the owner lets the claims of all daemons share a write and makes conflicts rare. The
    owner has no authority: any daemon may write, and the head's version decides. If the owner
    does not answer, this daemon writes the operation itself; if this daemon cannot reach the
    platform, it asks daemons of other zones. Operations are identified by their claim's id, so an
    operation that took two routes counts once.

    Parameters
    ==========

    name, zone : of this daemon.
    writers : one per partition.
    peers : sends requests to peers.
    list_peers : returns the live peers.
    clock : provides the time.
    """

    def __init__(
        self,
        name: str,
        zone: str,
        writers: list[PartitionWriter],
        peers: Peers,
        list_peers: Callable[[], list[ClaimPeer]],
        clock: Clock,
    ) -> None:
        self._name = name
        self._zone = zone
        self._writers = writers
        self._peers = peers
        self._list_peers = list_peers
        self._clock = clock
        self._cached_peers: dict[str, ClaimPeer] = {}
        self._peers_refreshed_ms = float("-inf")
        self._orders: dict[int, list[str]] = {}
        self._avoided_until_ms: dict[str, float] = {}
        peers.handle(ClaimOperation, self._serve)

    def stop(self) -> None:
        """Stop the writers' tasks."""
        for writer in self._writers:
            writer.stop()

    def count_peers(self) -> int:
        """Return the number of live peers."""
        return len(self._list_peers())

    def perform(self, operation: Operation, limit_ms: float = OPERATION_TIMEOUT_MS) -> Result:
        """Return the result of an operation, trying each route in turn for `limit_ms`."""
        deadline_ms = self._clock.now_ms() + limit_ms
        uncertain = False
        for route in self._list_routes(operation):
            left_ms = deadline_ms - self._clock.now_ms()
            if left_ms <= 0:
                break
            result = route(left_ms)
            if result.verdict not in (Verdict.UNAVAILABLE, Verdict.UNCERTAIN):
                return result
            uncertain = uncertain or result.verdict is Verdict.UNCERTAIN
        return Result(Verdict.UNCERTAIN if uncertain else Verdict.UNAVAILABLE)

    def _list_routes(self, operation: Operation) -> list[Route]:
        """Return the routes to the platform: the owner, this daemon, daemons of other zones."""
        self._refresh_peers()
        partition = find_partition(operation.digest)
        order = self._rank(partition)
        own: Route = partial(self._writers[partition].perform, operation)
        if order[0] == self._name:
            owner, remaining = [], order[1:]
        else:
            owner, remaining = [self._make_route(order[0], operation)], order[1:]
        elsewhere = [
            self._make_route(name, operation)
            for name in remaining
            if name in self._cached_peers and self._cached_peers[name].zone != self._zone
        ]
        return [*owner, own, *elsewhere[:MAX_PEERS_TRIED]]

    def _make_route(self, name: str, operation: Operation) -> Route:
        return partial(self._request_write, self._cached_peers[name], operation)

    def _refresh_peers(self) -> None:
        """Update the live peers; the orders are ranked again only when the peers changed."""
        now_ms = self._clock.now_ms()
        if now_ms - self._peers_refreshed_ms < PEER_POLL_INTERVAL_MS:
            return
        self._peers_refreshed_ms = now_ms
        peers = {peer.name: peer for peer in self._list_peers()}
        if peers != self._cached_peers:
            self._cached_peers = peers
            self._orders.clear()

    def _rank(self, partition: int) -> list[str]:
        """Return the first `MAX_RANKED` daemons of a partition's rendezvous order."""
        order = self._orders.get(partition)
        if order is None:
            full = rank_rendezvous(f"claims/{partition}", [*self._cached_peers, self._name])
            order = self._orders[partition] = full[:MAX_RANKED]
        return order

    def _request_write(self, peer: ClaimPeer, operation: Operation, left_ms: float) -> Result:
        """Ask a peer to write; after a failure the peer is skipped for `PEER_RETRY_DELAY_MS`."""
        if self._clock.now_ms() < self._avoided_until_ms.get(peer.name, 0):
            return Result(Verdict.UNAVAILABLE)
        try:
            message = encode_operation(operation)
            timeout_ms = min(left_ms, REQUEST_TIMEOUT_MS)
            return self._peers.request(peer.address, message, timeout_ms).to_result()
        except PeerError:
            self._avoided_until_ms[peer.name] = self._clock.now_ms() + PEER_RETRY_DELAY_MS
            return Result(Verdict.UNCERTAIN)

    def _serve(self, sender: str, message: ClaimOperation) -> ClaimResult:
        """Write a peer's operation; it is never forwarded to another daemon."""
        operation = message.to_operation()
        writer = self._writers[find_partition(operation.digest)]
        return ClaimResult.from_result(writer.perform(operation, REQUEST_TIMEOUT_MS))
