"""What the claims know of the other entry daemons."""

from collections.abc import Callable

from hemlockswitch.process.claim_routes import ClaimPeer
from hemlockswitch.process.members import Member, MemberState
from hemlockswitch.process.membership import Membership


class ClaimMembers:
    """The live entry daemons besides this one, and whether a claim's holder has gone.

    Parameters
    ==========

    name : this daemon.
    find_membership : returns the membership, or None before it started.
    """

    def __init__(self, name: str, find_membership: Callable[[], Membership | None]) -> None:
        self._name = name
        self._find_membership = find_membership

    def list_peers(self) -> list[ClaimPeer]:
        """Return the other live daemons that serve callers."""
        return [
            ClaimPeer(member.name, member.zone, member.peer_address)
            for member in self._list_members()
            if member.is_live and member.caller_address and member.name != self._name
        ]

    def is_gone(self, holder: str) -> bool:
        """Return whether the process that made a claim is known to have ended.

        A holder is named ``<daemon>-<random>``; another one of this daemon's name was here
        before it.
        """
        daemon, _, _ = holder.rpartition("-")
        if daemon == self._name:
            return True
        states = [member.state for member in self._list_members() if member.name == daemon]
        return MemberState.DEAD in states

    def _list_members(self) -> list[Member]:
        membership = self._find_membership()
        return membership.list_members() if membership is not None else []
