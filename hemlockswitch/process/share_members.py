"""What the shares know of the other entry daemons."""

from hemlockswitch.process.backends import VM_PREFIX
from hemlockswitch.process.membership import Membership
from hemlockswitch.process.news import NewsBoard
from hemlockswitch.process.shares import ShareMember
from hemlockswitch.version.backend import BackendState


def list_share_members(membership: Membership | None) -> list[ShareMember]:
    """Return the live daemons that serve callers; none before the membership started."""
    return [
        ShareMember(member.name, member.zone, member.peer_address)
        for member in (membership.list_live() if membership is not None else ())
        if member.caller_address
    ]


def is_vm_gone(board: NewsBoard, name: str) -> bool:
    """Return whether the platform's VM list once showed a VM and shows it no more.

    Explanation
    ===========

    A member that is counted as dead is no proof: it may be cut off and still admit.
    """
    item = board.find(f"{VM_PREFIX}{name}")
    return item is not None and item.value.get("state") == BackendState.GONE.value
