"""Builds the claim store of an entry daemon, with its view of the peers."""

from collections.abc import Callable

from hemlockswitch.connection.platform import PlatformClient
from hemlockswitch.core.clock import Clock
from hemlockswitch.process.claims.routes import ClaimPeer
from hemlockswitch.process.claims.store import ClaimStore
from hemlockswitch.process.cluster_state import ClusterState
from hemlockswitch.process.membership.members import Member, MemberState
from hemlockswitch.process.membership.membership import Membership
from hemlockswitch.version.models import Limits
from hemlockswitch.version.settings import ProgramSettings

ROLE = "claims"
CALL_TIMEOUT_MS = 1_000
MIN_RETENTION_MS = 300_000


class ClaimMembers:
    """The live entry daemons besides this one, and whether a claim's holder has stopped.

    Parameters
    ==========

    name : name of this daemon.
    find_membership : returns the membership, or None before it started.
    """

    def __init__(self, name: str, find_membership: Callable[[], Membership | None]) -> None:
        self._name = name
        self._find_membership = find_membership

    def list_peers(self) -> list[ClaimPeer]:
        """Return the live peers that serve callers."""
        return [
            ClaimPeer(member.name, member.zone, member.peer_address)
            for member in self._list_members()
            if member.is_live and member.caller_address and member.name != self._name
        ]

    def has_ended(self, holder: str) -> bool:
        """Return whether the process that placed a claim has certainly ended.

        A holder is named ``<daemon>-<random>``. Another holder with this daemon's name is an
        earlier process of the same daemon.
        """
        daemon, _, _ = holder.rpartition("-")
        if daemon == self._name:
            return True
        states = [member.state for member in self._list_members() if member.name == daemon]
        return MemberState.DEAD in states

    def _list_members(self) -> list[Member]:
        membership = self._find_membership()
        return membership.list_members() if membership is not None else []


def build_claims(
    settings: ProgramSettings,
    cluster_state: ClusterState,
    clock: Clock,
    find_limits: Callable[[], Limits],
    count: Callable[[str], None],
) -> ClaimStore:
    """Return the claim store of an entry daemon, with a dedicated platform client.

    Claim calls are short and frequent, and must not wait behind a watch that fails.
    """
    members = ClaimMembers(settings.name, lambda: cluster_state.membership)
    platform = PlatformClient(
        settings.platform, ROLE, settings.name, timeout_ms=CALL_TIMEOUT_MS, clock=clock
    )
    return ClaimStore.from_config(
        settings.name,
        settings.zone,
        platform,
        clock,
        # A claim must outlive the longest dispatch, whatever the operator file sets.
        lambda: max(find_limits().claim_retention_ms, MIN_RETENTION_MS),
        peers=cluster_state.network,
        list_peers=members.list_peers,
        has_ended=members.has_ended,
        count=count,
    )
